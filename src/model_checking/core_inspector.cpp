#include "model_checking/core_inspector.hpp"

#include <algorithm>
#include <cmath>

namespace burlwind::model_checking {
namespace {

using consensus::Core;
using consensus::Time;

// Microseconds, so that clocks which differ by rounding alone are equal.
std::uint64_t quantized(Time span) { return static_cast<std::uint64_t>(std::llround(span * 1000)); }
std::uint64_t age(Time now, Time then, Time longest) {
  return quantized(std::clamp(now - then, Time{0}, longest));
}
std::uint64_t remaining(Time now, Time deadline) { return quantized(std::max(Time{0}, deadline - now)); }

void addMembers(FingerprintBuilder& out, const std::vector<rpc::Member>& members) {
  out.add(members.size());
  for (const auto& member : members) {
    out.add(member.id);
    out.add(member.ip);
  }
}

}  // namespace

void add(FingerprintBuilder& out, const consensus::PersistentState& record) {
  out.add(record.self);
  out.add(record.term);
  out.add(record.votedFor);
  out.add(record.lastTerm);
  out.add(record.index);
  addMembers(out, record.members);
  addMembers(out, record.former);
  out.add(record.state);
}

void CoreInspector::add(FingerprintBuilder& out, const Core& core, Time now) {
  // A member of the core that is not added below would make different states look equal.
  static_assert(sizeof(Core) == 424, "the core has changed: bring this fingerprint up to date");
  const consensus::Timeouts& timeouts = core.timeouts_;
  const bool leads = core.role_ == Core::Role::leader;
  model_checking::add(out, core.record_);
  out.add(core.seats_);
  out.add(static_cast<std::uint64_t>(core.role_));
  out.add(core.led_);
  out.add(core.inFlight_);
  out.add(core.leader_);
  out.add(core.heard_ < 0);
  out.add(age(now, core.heard_, timeouts.electLeast));
  out.add(core.committed_);
  out.add(core.round_);
  out.add(core.confirmed_);
  if (!leads) {
    out.add(remaining(now, core.electAt_));
    const bool stands = core.role_ != Core::Role::follower;
    out.add(stands ? core.votes_.size() : 0);
    if (stands)
      for (const auto id : core.votes_) out.add(id);
    return;
  }
  out.add(remaining(now, core.heartbeatAt_));
  out.add(age(now, core.wonAt_, timeouts.gone));
  out.add(core.peers_.size());
  for (const auto& [id, peer] : core.peers_) {
    out.add(id);
    out.add(peer.round);
    out.add(peer.lastTerm);
    out.add(peer.index);
    out.add(age(now, peer.heard, timeouts.gone + 1));
    out.add(age(now, peer.sentWhole, 3 * timeouts.heartbeat + 1));
    out.add(peer.leaving);
  }
  out.add(core.applicants_.size());
  for (const auto& [id, member] : core.applicants_) {
    out.add(id);
    out.add(member.ip);
  }
}

Time CoreInspector::deadline(const Core& core) { return isLeader(core) ? core.heartbeatAt_ : core.electAt_; }

bool CoreInspector::isLeader(const Core& core) { return core.role_ == Core::Role::leader; }

bool CoreInspector::isApplicant(const Core& core, consensus::Id id) { return core.applicants_.contains(id); }

const char* CoreInspector::roleName(const Core& core) {
  switch (core.role_) {
    case Core::Role::follower:
      return "follower";
    case Core::Role::preCandidate:
      return "pre-candidate";
    case Core::Role::candidate:
      return "candidate";
    case Core::Role::leader:
      return "leader";
  }
  return "";
}

}  // namespace burlwind::model_checking
