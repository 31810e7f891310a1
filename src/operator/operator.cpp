#include "operator/operator.hpp"

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
