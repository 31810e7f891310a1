#include "operator/operator.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <charconv>
#include <cstring>
#include <filesystem>

#include "checked_toml/checked_toml.hpp"
#include "node/config.hpp"

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
  out.readAheadShare = section.number("read_ahead_share", out.readAheadShare, {0, 0.5});
  section.finish();
}

admission::Prefix readPrefix(const CheckedTable& section, const char* key, const std::string& text) {
  constexpr unsigned kV4Offset = 96;  // bits before an IPv4 address among an IPv6 one's
  const auto slash = text.find('/');
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(text.substr(0, slash), error);
  if (error) section.fail(key, "'" + text + "' is not an address or a prefix");
  const unsigned most = address.is_v4() ? 32 : 128;
  unsigned bits = most;
  if (slash != std::string::npos) {
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + slash + 1, end, bits);
    if (read.ec != std::errc() || read.ptr != end || bits > most)
      section.fail(key, "'" + text + "' has no length from 0 to " + std::to_string(most));
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
    settings.trusted.push_back(readPrefix(section, "trusted", text));
  section.finish();
}

auth::Route readRoute(CheckedTable table) {
  auth::Route out;
  out.classes = table.texts("classes", std::vector<std::string>{});
  out.plans = table.texts("plans", std::vector<std::string>{});
  out.check = table.truth("check", true);
  const std::string whenDown = table.text("when_down", "closed", {"closed", "open", "last"});
  out.whenDown = whenDown == "open"   ? auth::WhenDown::open
                 : whenDown == "last" ? auth::WhenDown::last
                                      : auth::WhenDown::closed;
  table.finish();
  return out;
}

// A name that can stand in a message's head.
bool isToken(const std::string& name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) ||
           (c != 0 && std::strchr("!#$%&'*+-.^_`|~", c) != nullptr);
  });
}

std::vector<std::string> readNames(CheckedTable& section, const char* key) {
  auto out = section.texts(key, std::vector<std::string>{});
  for (const std::string& name : out)
    if (!isToken(name)) section.fail(key, "'" + name + "' is not the name of a header");
  return out;
}

auth::Convention readConvention(CheckedTable& section) {
  const std::string name = section.text("convention", "nginx", {"nginx", "traefik", "envoy"});
  return name == "envoy"     ? auth::Convention::envoy
         : name == "traefik" ? auth::Convention::traefik
                             : auth::Convention::nginx;
}

// Empty only where that is the default.
std::string readPath(CheckedTable& section, const char* key, const std::string& otherwise) {
  const std::string out = section.text(key, otherwise);
  const bool plain = std::all_of(out.begin(), out.end(), [](char c) { return c > 0x20 && c < 0x7f; });
  if (out != otherwise && (!out.starts_with('/') || !plain)) section.fail(key, "'" + out + "' is not a path");
  return out;
}

void readTerms(CheckedTable& section, auth::Terms& out) {
  out.convention = readConvention(section);
  out.path = readPath(section, "path", out.path);
  out.host = section.text("host", out.host);
  const auto inHost = [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) || std::strchr(".-:[]", c);
  };
  if (!std::all_of(out.host.begin(), out.host.end(), inHost))
    section.fail("host", "'" + out.host + "' is not a host");
  out.send = readNames(section, "send_headers");
  out.take = readNames(section, "take_headers");
  for (const std::string& name : out.take)
    if (!auth::mayTake(name))
      section.fail("take_headers", "'" + name + "' is the message's or the platform's own");
  out.tell = readNames(section, "tell_headers");
  out.bodyBytes = static_cast<std::size_t>(section.whole("body_bytes", 0, {0, 65536}));
}

boost::asio::ip::network_v6 readNetwork(const CheckedTable& section, const char* key,
                                        const std::string& text) {
  const admission::Prefix prefix = readPrefix(section, key, text);
  return {boost::asio::ip::address_v6(prefix.address.bytes), static_cast<unsigned short>(prefix.bits)};
}

void readAnswer(CheckedTable section, auth::AnswerSettings& out) {
  out.path = readPath(section, "path", out.path);
  if (out.path.ends_with('/') || out.path.find('?') != std::string::npos)
    section.fail("path", "'" + out.path + "' ends in / or holds a question mark");
  out.convention = readConvention(section);
  for (const std::string& text : section.texts("proxies", std::vector<std::string>{}))
    out.proxies.push_back(readNetwork(section, "proxies", text));
  if (out.on() && out.proxies.empty()) section.fail("proxies", "is missing: nobody could ask");
  for (const auto& [key, name] : {std::pair{"customer_header", &out.customer},
                                  {"plan_header", &out.plan},
                                  {"class_header", &out.klass},
                                  {"units_header", &out.units},
                                  {"id_header", &out.id}}) {
    *name = section.text(key, *name);
    if (!isToken(*name)) section.fail(key, "'" + *name + "' is not the name of a header");
  }
  const auto whole = [&](const char* key, auto& target, Range range) {
    target =
        static_cast<std::decay_t<decltype(target)>>(section.whole(key, static_cast<long>(target), range));
  };
  whole("gatekeepers", out.gatekeepers, {0, 100000});
  out.metered = section.truth("metered", out.metered);
  out.outFor = section.number("out_ms", out.outFor, {0, 60000});
  whole("out_most", out.outMost, {0, 1000000});
  out.rememberFor = section.number("remember_ms", out.rememberFor, {0, 3600000});
  whole("remembered", out.remembered, {0, 1000000});
  section.finish();
}

void readAuth(CheckedTable section, auth::Asked& out, auth::AnswerSettings& answer) {
  readAnswer(section.table("answer"), answer);
  readTerms(section, out.terms);
  for (const std::string& text : section.texts("checkers", std::vector<std::string>{})) {
    try {
      out.checkers.push_back(parseEndpoint(text));
    } catch (const std::runtime_error&) {
      section.fail("checkers", "'" + text + "' is not ADDRESS:PORT");
    }
  }
  auth::Settings& settings = out.settings;
  const auto count = [&](const char* key, std::size_t& target, Range range) {
    target = static_cast<std::size_t>(section.whole(key, static_cast<long>(target), range));
  };
  const auto ms = [&](const char* key, auth::Time& target, Range range) {
    target = section.number(key, target, range);
  };
  count("out_per_checker", settings.outPerChecker, {1, 4096});
  count("queue", settings.queue, {0, 100000});
  count("queue_per_source", settings.queuePerSource, {1, 100000});
  count("waiters_per_check", settings.waitersPerCheck, {1, 100000});
  ms("timeout_ms", settings.timeout, {10, 60000});
  settings.attempts = static_cast<unsigned>(section.whole("attempts", settings.attempts, {1, 5}));
  settings.retryShare = section.number("retry_share", settings.retryShare, {0, 1});
  settings.retryBurst = section.number("retry_burst", settings.retryBurst, {0, 1000});
  settings.ejectAfter = static_cast<unsigned>(section.whole("eject_after", settings.ejectAfter, {1, 1000}));
  ms("eject_ms", settings.ejectFor, {10, 600000});
  ms("eject_most_ms", settings.ejectMost, {10, 3600000});
  if (settings.ejectMost < settings.ejectFor) section.fail("eject_most_ms", "is less than eject_ms");
  count("cache_entries", settings.cacheEntries, {0, 10000000});
  count("cache_bytes", settings.cacheBytes, {0, 1 << 30});
  count("cache_text", settings.cacheText, {0, 65536});
  ms("allow_ms", settings.allowFor, {0, 3600000});
  ms("allow_most_ms", settings.allowMost, {0, 86400000});
  ms("deny_most_ms", settings.denyMost, {0, 3600000});
  ms("last_ms", settings.lastFor, {0, 86400000});
  out.errorStatus = static_cast<unsigned>(section.whole("error_status", out.errorStatus, {400, 599}));
  for (CheckedTable& route : section.tables("route")) out.routes.push_back(readRoute(route));
  section.finish();
}

void readWorkers(CheckedTable section, OperatorSettings::Workers& out) {
  readMs(section, "answer_within_ms", out.answerWithin, {10, 60000});
  out.idlePerWorker = static_cast<std::size_t>(
      section.whole("idle_per_worker", static_cast<long>(out.idlePerWorker), {1, 4096}));
  section.finish();
}

void readSnapshot(CheckedTable section, OperatorSettings::Snapshot& out) {
  out.enabled = section.truth("enabled", false);
  out.folder = section.text("folder", "");
  readMs(section, "every_ms", out.every, {50, 600000});
  std::error_code error;
  if (out.enabled && out.folder.empty()) section.fail("folder", "is missing");
  if (out.enabled && !std::filesystem::is_directory(out.folder, error))
    section.fail("folder", "'" + out.folder + "' is not a folder");
  section.finish();
}

void readDiscovery(CheckedTable section, OperatorSettings::Discovery& out) {
  readMs(section, "silence_ms", out.silence, {500, 60000});
  readMs(section, "backoff_most_ms", out.backoffMost, {50, 60000});
  section.finish();
}

OperatorSettings fromTable(CheckedTable file, const std::string& name) {
  OperatorSettings out;
  out.file = name;
  readClients(file.table("clients"), out.clients);
  readAdmission(file.table("admission"), out.admission);
  readAuth(file.table("auth"), out.auth, out.answer);
  readWorkers(file.table("workers"), out.workers);
  readDiscovery(file.table("discovery"), out.discovery);
  readSnapshot(file.table("snapshot"), out.snapshot);
  file.finish();
  return out;
}

}  // namespace

OperatorSettings readOperatorFile(const std::string& path) {
  return fromTable(CheckedTable::read(path), path);
}

OperatorSettings parseOperatorFile(std::string_view text, const std::string& name) {
  return fromTable(CheckedTable::parse(text, name), name);
}

}  // namespace burlwind
