// What one proxy's session is told of the configuration, and how surely: decisions only, time handed in.
//
// Properties:
//  - Nothing is told as configuration while the registry's own state isn't confirmed; it follows as soon as
//  it
//    is.
//  - At most one update is under way on a session: the next is sent once the proxy's Status tells that it has
//    this one in force, or that it doesn't read, and it is the newest then. What came between is never sent.
//  - A proxy that tells that it lacks nothing is sent nothing.
// Cost: a few numbers a session.
#pragma once

#include <algorithm>
#include <cstdint>

#include "registry/leader_tracker.hpp"
#include "rpc/messages.hpp"

namespace burlwind::registry {

// ms until an update that a proxy says nothing of holds up no newer one: it may have been dropped there.
constexpr double kUpdateTimeout = 1500;

class ProxyFeed {
 public:
  // The update that is to be sent now; null: none, or one is under way.
  const rpc::ConfigUpdate* due(const LeaderTracker& tracker, double now) {
    const rpc::ConfigUpdate* const update = tracker.publishable(now);
    if (!update || statusNumber_ == 0) return nullptr;
    if (std::max(told_, held_) >= tracker.contentIndex()) return nullptr;
    const bool underWay = told_ > std::max(held_, unreadable_) && now - toldAt_ < kUpdateTimeout;
    if (underWay) return nullptr;
    told_ = update->index;
    toldAt_ = now;
    return update;
  }
  void heard(const rpc::Status& status) {
    if (status.number <= statusNumber_) return;
    statusNumber_ = status.number;
    held_ = status.index;
    unreadable_ = status.unreadable;
  }
  // The proxy counts it from when it sent that Status, less the age told here.
  rpc::Heartbeat heartbeat(const LeaderTracker& tracker, double now) const {
    if (!tracker.confirmed(now)) return {false, 0, statusNumber_, 0};
    const auto age = static_cast<std::uint64_t>(tracker.confirmationAge(now)) + 1;
    return {true, age, statusNumber_, tracker.contentIndex()};
  }

 private:
  std::uint64_t told_ = 0, held_ = 0, unreadable_ = 0;  // indices: sent last; in force and not read there
  std::uint64_t statusNumber_ = 0;
  double toldAt_ = -1e18;
};

}  // namespace burlwind::registry
