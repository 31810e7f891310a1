// What an exhaustive search starts from, and how often each kind of event may happen in one history. A search
// is exhaustive within these bounds and its depth; several scenarios with few events each reach deeper than
// one with all.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model_checking/properties.hpp"

namespace burlwind::model_checking {

struct Budget {
  unsigned orders = 0;
  unsigned reads = 0;
  unsigned elections = 0;    // a follower's or candidate's clock reaches its deadline
  unsigned heartbeats = 0;   // a leader's clock does
  unsigned pauses = 0;       // a replica stands still past the shortest election timeout
  unsigned repeats = 0;      // a message arrives and stays on its way
  unsigned restarts = 0;     // the process ends; its disk stays
  unsigned powerLosses = 0;  // before a write is synced
  unsigned disksLost = 0;    // at the same address or at another one
  unsigned joins = 0;        // a replica that is no member asks a leader
  unsigned leaves = 0;       // a member tells a leader that it goes
  unsigned transfers = 0;    // a leader is about to end, and hands leadership over
  bool operator==(const Budget&) const = default;
};

enum class Start {
  cold,      // nobody has been elected yet
  settled,   // the first replica leads, its first entry is held by all members and committed
  ordered,   // settled, with one order committed and held by all members
  silent,    // ordered, and the last member has said nothing for so long that it may be replaced
  learner,   // silent, and its successor at another address has got the state; its first answer is on its way
  divided,   // each of the first two has led and holds an entry that nobody else has; nobody leads
  reelected  // divided, and the first one has been elected again: what it tells the others is on its way
};

struct Scenario {
  std::string name = {};
  std::string summary = {};
  Start start = Start::settled;
  Budget budget = {};
  unsigned depth = 0;  // unless another is asked for
  unsigned members = 3;
  unsigned applicants = 0;  // empty replicas that nobody knows yet
  consensus::Timeouts timeouts = {};
  std::vector<Property> unchecked = {};
};

const std::vector<Scenario>& scenarios();
std::optional<Scenario> findScenario(const std::string& name);

}  // namespace burlwind::model_checking
