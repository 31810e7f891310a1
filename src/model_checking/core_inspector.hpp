// Reads the whole state of a consensus core: for the fingerprint by which the search tells visited states
// apart, and for the deadline at which a replica's clock makes it act. It decides nothing and changes
// nothing.
//
// Times enter a fingerprint relative to the replica's own clock, and only as far as the core can tell them
// apart: an age beyond the longest timeout it is compared with is that timeout, a deadline that has passed is
// now. What only a leader reads enters only for a leader.
#pragma once

#include "consensus/core.hpp"
#include "model_checking/fingerprint.hpp"

namespace burlwind::model_checking {

struct CoreInspector {
  static void add(FingerprintBuilder& out, const consensus::Core& core, consensus::Time now);
  // When `tick` does something: the next heartbeat of a leader, else the next try to be elected.
  static consensus::Time deadline(const consensus::Core& core);
  static bool isLeader(const consensus::Core& core);  // also before its first entry is committed
  static const char* roleName(const consensus::Core& core);
  // A replica that asked this leader to be a member and is not yet one.
  static bool isApplicant(const consensus::Core& core, consensus::Id id);

 private:
  static void addStates(FingerprintBuilder& out, const consensus::Core& core);
  static void addTransfer(FingerprintBuilder& out, const consensus::Outgoing& transfer, consensus::Time now,
                          consensus::Time longest);
  static void addOther(FingerprintBuilder& out, const consensus::Core& core, consensus::Time now);
  static void addLeader(FingerprintBuilder& out, const consensus::Core& core, consensus::Time now,
                        consensus::Time longest);
};

void add(FingerprintBuilder& out, const consensus::PersistentState& record);

}  // namespace burlwind::model_checking
