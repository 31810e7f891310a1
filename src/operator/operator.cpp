#include "operator/operator.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "checked_toml/checked_toml.hpp"

namespace burlwind {
namespace {

using std::chrono::milliseconds;

void readMs(CheckedTable& section, const char* key, milliseconds& target, Range range) {
  target = milliseconds(section.whole(key, target.count(), range));
}

void readClients(CheckedTable section, OperatorSettings::Clients& out) {
  readMs(section, "idle_ms", out.idle, {100, 3600000});
  readMs(section, "whole_within_ms", out.wholeWithin, {100, 60000});
  readMs(section, "write_within_ms", out.writeWithin, {100, 600000});
  section.finish();
}

admission::Prefix readPrefix(const CheckedTable& section, const std::string& text) {
  constexpr unsigned kV4Offset = 96;  // bits before an IPv4 address among an IPv6 one's
  const auto slash = text.find('/');
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(text.substr(0, slash), error);
  if (error) section.fail("trusted", "'" + text + "' is not an address or a prefix");
  const unsigned most = address.is_v4() ? 32 : 128;
  unsigned bits = most;
  if (slash != std::string::npos) {
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + slash + 1, end, bits);
    if (read.ec != std::errc() || read.ptr != end || bits > most)
      section.fail("trusted", "'" + text + "' has no length from 0 to " + std::to_string(most));
  }
  const auto v6 = address.is_v4()
                      ? boost::asio::ip::make_address_v6(boost::asio::ip::v4_mapped, address.to_v4())
                      : address.to_v6();
  return {{v6.to_bytes()}, address.is_v4() ? kV4Offset + bits : bits};
}

void readAdmission(CheckedTable section, OperatorSettings::Admission& out) {
  const auto count = [&](const char* key, std::size_t otherwise, Range range) {
    return static_cast<std::size_t>(section.whole(key, static_cast<long>(otherwise), range));
  };
  admission::Settings& settings = out.settings;
  out.reserveShare = section.number("reserve_share", out.reserveShare, {0, 0.9});
  out.idleShare = section.number("idle_share", out.idleShare, {0.01, 1});
  settings.acceptWait = section.number("accept_wait_ms", settings.acceptWait, {0, 10000});
  settings.prefixV4 = static_cast<unsigned>(count("prefix_v4", settings.prefixV4, {1, 32}));
  settings.prefixV6 = static_cast<unsigned>(count("prefix_v6", settings.prefixV6, {1, 128}));
  settings.perSource = count("per_source", settings.perSource, {0, 1000000});
  settings.unfinishedPerSource = count("unfinished_per_source", settings.unfinishedPerSource, {0, 1000000});
  settings.newPerSecond = section.number("new_per_second", settings.newPerSecond, {0, 1000000});
  settings.rememberedSources = count("remembered_sources", settings.rememberedSources, {1, 1000000});
  for (const std::string& text : section.texts("trusted", std::vector<std::string>{}))
    settings.trusted.push_back(readPrefix(section, text));
  section.finish();
}

void readWorkers(CheckedTable section, OperatorSettings::Workers& out) {
  readMs(section, "answer_within_ms", out.answerWithin, {10, 60000});
  out.idlePerWorker = static_cast<std::size_t>(
      section.whole("idle_per_worker", static_cast<long>(out.idlePerWorker), {1, 4096}));
  section.finish();
}

void readDiscovery(CheckedTable section, OperatorSettings::Discovery& out) {
  readMs(section, "silence_ms", out.silence, {500, 60000});
  readMs(section, "backoff_most_ms", out.backoffMost, {50, 60000});
  section.finish();
}

OperatorSettings fromTable(CheckedTable file) {
  OperatorSettings out;
  readClients(file.table("clients"), out.clients);
  readAdmission(file.table("admission"), out.admission);
  readWorkers(file.table("workers"), out.workers);
  readDiscovery(file.table("discovery"), out.discovery);
  file.finish();
  return out;
}

}  // namespace

OperatorSettings readOperatorFile(const std::string& path) { return fromTable(CheckedTable::read(path)); }

OperatorSettings parseOperatorFile(std::string_view text, const std::string& name) {
  return fromTable(CheckedTable::parse(text, name));
}

}  // namespace burlwind
