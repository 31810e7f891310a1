// What must hold in every history of the replicas, checked after each step from what can be seen from
// outside: records as they stand, writes that are synced, messages as they leave and arrive, and what a
// leader tells its host. Nothing here is shared with the core: entries, their descent and majorities are
// counted anew.
//
//  1. One leader a term. One content under one number (term, index) of an entry.
//  2. Of two committed entries, one was made from the other. An entry is committed only when majorities of
//  its
//     members, and of the outgoing ones while they change, have it synced.
//  3. What was committed is in the state of each leader of a later term: later than that of the leader which
//     committed it, or an entry that was made from it.
//  4. A round is confirmed only when majorities have processed it or a later one of the same term, and less
//     than the shortest election timeout after it was begun on the leader's clock. What the leader hands out
//     then holds everything that was committed anywhere before the round was begun.
//  5. Within one life of a replica its committed index does not go back; what it keeps never becomes older;
//     an entry that it counts as committed is one.
//  6. No change of members leaves two disjoint majorities: each set of members that may still be in force has
//     none that is disjoint from one of the new set.
//  7. Who is made a member has held the state before (all but the entry that was under way).
//  8. Who has told another one to take over leadership confirms and commits nothing more in that term.
//  9. In plays only: some time after the last fault, orders are taken again.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/core.hpp"
#include "model_checking/fingerprint.hpp"

namespace burlwind::model_checking {

using consensus::Id;
using consensus::PersistentState;
using consensus::Time;

struct EntryNumber {
  std::uint64_t term = 0, index = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): it takes the comparison that is generated for a null pointer
  auto operator<=>(const EntryNumber&) const = default;
};
EntryNumber lastEntry(const PersistentState& record);

struct Membership {  // of one entry
  std::vector<Id> members, former;
};
Membership membershipOf(const PersistentState& record);

enum class Property {
  oneLeaderPerTerm,
  oneContentPerEntry,
  committedByMajorities,
  committedIsOneChain,
  leaderHasCommitted,
  confirmedByMajorities,
  confirmationIsFresh,
  handedOutIsCurrent,
  nothingGoesBack,
  committedIsHeld,
  majoritiesIntersect,
  memberHasState,
  handedOverIsOver,
  goesOn
};
const char* describe(Property property);
const char* nameOf(Property property);  // for the command line
const std::vector<Property>& allProperties();
std::optional<Property> findProperty(const std::string& name);

struct Violation {
  Property property;
  std::string detail;
};

class Properties {
 public:
  explicit Properties(Time electLeast, std::vector<Property> unchecked = {})
      : electLeast_(electLeast), unchecked_(std::move(unchecked)) {}

  // The record of all before anything happens.
  void begin(const PersistentState& record);
  // A replica's record after a step in which it may have made or taken an entry.
  void recordChanged(const PersistentState& before, const PersistentState& after);
  // A write is synced over what stood on the same disk.
  void persisted(const PersistentState& before, const PersistentState& after);
  // `held`: the last entry of its record then.
  void leaderSpoke(std::uint64_t term, Id leader, EntryNumber held);
  void handedOver(std::uint64_t term);  // the leader of this term told another one to stand
  // A leader confirmed or committed something.
  void acted(std::uint64_t term);
  // A replica has processed a leader's round in that leader's term.
  void answered(Id replica, std::uint64_t term, std::uint64_t round);
  // The leader of `term` tells its host that this entry is committed.
  void committed(Id leader, std::uint64_t term, EntryNumber number);
  // `before`, `after`: the members by the leader's record on both sides of the step that confirms.
  void confirmed(std::uint64_t term, std::uint64_t round, Time age, const Membership& before,
                 const Membership& after);
  // A leader gives the state of `served` to who asked when `committedBefore` was the newest committed entry.
  void handedOut(Id leader, EntryNumber served, EntryNumber committedBefore);
  // What a replica counts as committed, within one life.
  void committedIndex(const PersistentState& record, std::uint64_t before, std::uint64_t after);

  EntryNumber newestCommitted() const { return newestCommitted_; }
  const std::optional<Violation>& violation() const { return violation_; }
  Fingerprint fingerprint() const;

 private:
  struct Entry {
    EntryNumber number;
    std::size_t parent = 0;  // in entries_; the first is its own
    Fingerprint content = 0;
    Membership membership;
    std::vector<Id> holders;  // have had it synced
    bool committed = false;   // or made into one that is
    std::uint64_t committedInTerm = 0;
  };
  struct Leader {
    std::uint64_t term;
    Id id;
    bool handedOver = false;
  };
  struct Answer {
    Id replica;
    std::uint64_t term, round;
  };

  std::optional<std::size_t> find(EntryNumber number) const;
  bool descends(std::size_t from, std::size_t ancestor) const;
  bool holds(Id replica, std::size_t entry) const;
  void create(const PersistentState& before, const PersistentState& after);
  void checkMembershipChange(const Entry& created);
  void checkNewMembers(const Entry& created);
  void checkLeaderHasCommitted(std::uint64_t term, std::size_t entry);
  void violate(Property property, std::string detail);

  Time electLeast_;
  std::vector<Property> unchecked_;
  std::vector<Entry> entries_;
  std::vector<Leader> leaders_;
  std::vector<Answer> answers_;
  EntryNumber newestCommitted_;
  std::optional<Violation> violation_;
};

// Whether a set of replicas decides under a membership.
template <class Holds>
bool isQuorum(const Membership& membership, Holds holds) {
  const auto majority = [&](const std::vector<Id>& of) {
    std::size_t count = 0;
    for (const Id id : of) count += holds(id);
    return 2 * count > of.size();
  };
  return majority(membership.members) && (membership.former.empty() || majority(membership.former));
}

bool haveDisjointQuorums(const Membership& a, const Membership& b);

}  // namespace burlwind::model_checking
