// What one proxy's session is told of the configuration, and how surely: decisions only, time handed in.
// Nothing is told as configuration while the registry's own state isn't confirmed; it follows as soon as it
// is. Cost: a few numbers a session.
#pragma once

#include <cstdint>

#include "registry/leader_tracker.hpp"
#include "rpc/messages.hpp"

namespace burlwind::registry {

class ProxyFeed {
 public:
  // The update that is to be sent now; null: none, or sent before.
  const rpc::ConfigUpdate* due(const LeaderTracker& tracker, double now) {
    const rpc::ConfigUpdate* const update = tracker.publishable(now);
    if (!update || told_ >= tracker.contentIndex()) return nullptr;
    told_ = update->index;
    return update;
  }
  void heard(const rpc::Status& status) {
    if (status.number > statusNumber_) statusNumber_ = status.number;
  }
  // The proxy counts it from when it sent that Status, less the age told here.
  rpc::Heartbeat heartbeat(const LeaderTracker& tracker, double now) const {
    if (!tracker.confirmed(now)) return {false, 0, statusNumber_};
    return {true, static_cast<std::uint64_t>(tracker.confirmationAge(now)) + 1, statusNumber_};
  }

 private:
  std::uint64_t told_ = 0;  // index
  std::uint64_t statusNumber_ = 0;
};

}  // namespace burlwind::registry
