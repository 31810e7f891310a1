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

void addEntry(FingerprintBuilder& out, const consensus::EntryId& entry) {
  out.add(entry.term);
  out.add(entry.index);
}

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
  static_assert(sizeof(Core) == 768, "the core has changed: bring this fingerprint up to date");
  const consensus::Timeouts& timeouts = core.timeouts_;
  const Time longest = std::max({timeouts.electLeast, timeouts.gone, timeouts.goneAfterLeave,
                                 timeouts.roundKept, 3 * timeouts.heartbeat}) +
                       1;
  const auto addAge = [&](Time then) { out.add(age(now, then, longest)); };
  model_checking::add(out, core.record_);
  out.add(core.seats_);
  out.add(core.incarnation_);
  out.add(static_cast<std::uint64_t>(core.role_));
  out.add(core.led_);
  out.add(core.inFlight_);
  out.add(core.leader_);
  out.add(core.heardLeader_);
  out.add(core.heard_ < 0);
  addAge(core.heard_);
  out.add(core.committed_);
  out.add(core.round_);
  out.add(core.confirmed_);
  addAge(core.tickedAt_);
  addStates(out, core);
  if (core.role_ == Core::Role::leader)
    addLeader(out, core, now, longest);
  else
    addOther(out, core, now);
}

void CoreInspector::addOther(FingerprintBuilder& out, const Core& core, Time now) {
  out.add(remaining(now, core.electAt_));
  if (core.role_ == Core::Role::follower) return;
  out.add(core.votes_.size());
  for (const auto& [id, held] : core.votes_) {
    out.add(id);
    addEntry(out, held);
  }
}

// One message or many pieces on their way. The bytes are those of the entry, as a patch of the base or whole.
void CoreInspector::addTransfer(FingerprintBuilder& out, const consensus::Outgoing& transfer, Time now,
                                Time longest) {
  addEntry(out, transfer.payload_->entry);
  addEntry(out, transfer.payload_->base);
  out.add(transfer.begun_);
  out.add(transfer.sent_);
  out.add(transfer.held_);
  out.add(transfer.window_);
  out.add(transfer.round_);
  out.add(age(now, transfer.sentAt_, longest));
  out.add(quantized(std::min(transfer.leastDelay_, longest)));
  out.add(transfer.inFlight_.size());
  for (const auto& piece : transfer.inFlight_) {
    out.add(piece.end);
    out.add(age(now, piece.sentAt, longest));
  }
}

// States that were held before, and what has come of the next one. `payloads_` is left out: it keeps what can
// be made again from the record and these.
void CoreInspector::addStates(FingerprintBuilder& out, const Core& core) {
  addEntry(out, core.entryBefore_);
  out.add(core.history_.states_.size());
  for (const auto& [entry, state] : core.history_.states_) addEntry(out, entry);
  addEntry(out, core.incoming_.entry_);
  addEntry(out, core.incoming_.base_);
  out.add(core.incoming_.size_);
  out.add(core.incoming_.bytes_.size());
}

void CoreInspector::addLeader(FingerprintBuilder& out, const Core& core, Time now, Time longest) {
  const auto addAge = [&](Time then) { out.add(age(now, then, longest)); };
  out.add(remaining(now, core.heartbeatAt_));
  addAge(core.wonAt_);
  out.add(core.formerLeader_);
  addAge(core.formerLeaderHeard_);
  out.add(core.transferUntil_.has_value());
  out.add(remaining(now, core.transferUntil_.value_or(now)));
  out.add(core.peers_.size());
  for (const auto& [id, peer] : core.peers_) {
    out.add(id);
    out.add(peer.round);
    out.add(peer.lastTerm);
    out.add(peer.index);
    addAge(peer.heard);
    addAge(peer.asked);
    out.add(peer.known);
    out.add(peer.failures);
    out.add(peer.transfer.has_value());
    if (peer.transfer) addTransfer(out, *peer.transfer, now, longest);
    out.add(peer.incarnation);
    out.add(peer.left.has_value());
    out.add(peer.left.value_or(0));
  }
  out.add(core.applicants_.size());
  for (const auto& [id, member] : core.applicants_) {
    out.add(id);
    out.add(member.ip);
  }
  out.add(core.sentAt_.size());
  for (const Time sent : core.sentAt_) addAge(sent);
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
