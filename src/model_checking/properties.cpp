#include "model_checking/properties.hpp"

#include <algorithm>
#include <utility>

namespace burlwind::model_checking {
namespace {

std::string text(EntryNumber number) {
  return std::to_string(number.term) + "/" + std::to_string(number.index);
}

std::vector<Id> ids(const std::vector<rpc::Member>& members) {
  std::vector<Id> out;
  out.reserve(members.size());
  for (const auto& member : members) out.push_back(member.id);
  std::sort(out.begin(), out.end());
  return out;
}

bool contains(const std::vector<Id>& all, Id id) {
  return std::find(all.begin(), all.end(), id) != all.end();
}

Fingerprint contentOf(const PersistentState& record) {
  FingerprintBuilder content;
  for (const auto* members : {&record.members, &record.former}) {
    content.add(members->size());
    for (const auto& member : *members) {
      content.add(member.id);
      content.add(member.ip);
    }
  }
  content.add(record.state);
  return content.result();
}

struct Description {
  Property property;
  const char* name;
  const char* text;
};
constexpr Description kDescriptions[] = {
    {Property::oneLeaderPerTerm, "one-leader-per-term", "one leader a term"},
    {Property::oneContentPerEntry, "one-content-per-entry", "one content under one number of an entry"},
    {Property::committedByMajorities, "committed-by-majorities",
     "an entry is committed when majorities have it synced"},
    {Property::committedIsOneChain, "committed-is-one-chain",
     "of two committed entries one was made from the other"},
    {Property::leaderHasCommitted, "leader-has-committed",
     "what was committed is in each later leader's state"},
    {Property::confirmedByMajorities, "confirmed-by-majorities",
     "a round is confirmed when majorities have processed it"},
    {Property::confirmationIsFresh, "confirmation-is-fresh",
     "a round is confirmed before those who answered it may elect another leader"},
    {Property::handedOutIsCurrent, "handed-out-is-current",
     "what is handed out holds what was committed before it was asked for"},
    {Property::nothingGoesBack, "nothing-goes-back", "no replica's committed index or kept state goes back"},
    {Property::committedIsHeld, "committed-is-held",
     "what a replica counts as committed is so, and it holds it"},
    {Property::majoritiesIntersect, "majorities-intersect",
     "a change of members leaves no two disjoint majorities"},
    {Property::memberHasState, "member-has-state", "who is made a member has held the state"},
    {Property::handedOverIsOver, "handed-over-is-over",
     "who has handed leadership over confirms and commits nothing more"},
    {Property::goesOn, "goes-on", "after all faults have ended, orders are taken"},
};

}  // namespace

EntryNumber lastEntry(const PersistentState& record) { return {record.lastTerm, record.index}; }

Membership membershipOf(const PersistentState& record) { return {ids(record.members), ids(record.former)}; }

const char* describe(Property property) { return kDescriptions[static_cast<std::size_t>(property)].text; }

const char* nameOf(Property property) { return kDescriptions[static_cast<std::size_t>(property)].name; }

const std::vector<Property>& allProperties() {
  static const std::vector<Property> all = [] {
    std::vector<Property> out;
    for (const Description& description : kDescriptions) out.push_back(description.property);
    return out;
  }();
  return all;
}

std::optional<Property> findProperty(const std::string& name) {
  for (const Property property : allProperties())
    if (name == nameOf(property)) return property;
  return std::nullopt;
}

bool haveDisjointQuorums(const Membership& a, const Membership& b) {
  std::vector<Id> all;
  for (const auto* some : {&a.members, &a.former, &b.members, &b.former})
    for (const Id id : *some)
      if (!contains(all, id)) all.push_back(id);
  const auto chosen = [&](std::uint64_t set, Id id) {
    const auto position = std::find(all.begin(), all.end(), id) - all.begin();
    return (set >> position & 1) == 1;
  };
  for (std::uint64_t set = 0; set < std::uint64_t{1} << all.size(); ++set)
    if (isQuorum(a, [&](Id id) { return chosen(set, id); }) &&
        isQuorum(b, [&](Id id) { return !chosen(set, id); }))
      return true;
  return false;
}

void Properties::violate(Property property, std::string detail) {
  const bool checked = std::find(unchecked_.begin(), unchecked_.end(), property) == unchecked_.end();
  if (checked && !violation_) violation_ = Violation{property, std::move(detail)};
}

// The newest are asked for most.
std::optional<std::size_t> Properties::find(EntryNumber number) const {
  for (std::size_t i = entries_.size(); i-- > 0;)
    if (entries_[i].number == number) return i;
  return std::nullopt;
}

bool Properties::descends(std::size_t from, std::size_t ancestor) const {
  while (from > ancestor) from = entries_[from].parent;  // a parent stands before its children
  return from == ancestor;
}

bool Properties::holds(Id replica, std::size_t entry) const {
  if (entry == 0) return true;  // nothing
  for (std::size_t i = entries_.size(); i-- > entry;)
    if (contains(entries_[i].holders, replica) && descends(i, entry)) return true;
  return false;
}

void Properties::begin(const PersistentState& record) {
  entries_.push_back({lastEntry(record), 0, contentOf(record), membershipOf(record), {}, true, 0});
  newestCommitted_ = lastEntry(record);
}

void Properties::recordChanged(const PersistentState& before, const PersistentState& after) {
  const EntryNumber old = lastEntry(before);
  const EntryNumber now = lastEntry(after);
  if (now == old) return;
  if (now < old)
    violate(Property::nothingGoesBack, "the state of entry " + text(old) + " was replaced by " + text(now));
  const auto known = find(now);
  if (!known) {
    create(before, after);
  } else if (entries_[*known].content != contentOf(after)) {
    violate(Property::oneContentPerEntry, "entry " + text(now) + " has two contents");
  }
}

void Properties::create(const PersistentState& before, const PersistentState& after) {
  const auto parent = find(lastEntry(before));
  const std::size_t position = entries_.size();
  entries_.push_back(
      {lastEntry(after), parent.value_or(0), contentOf(after), membershipOf(after), {}, false, 0});
  checkMembershipChange(entries_[position]);
  checkNewMembers(entries_[position]);
  checkLeaderHasCommitted(after.lastTerm, position);
}

// Every set of members back to the newest committed one may still be in force.
void Properties::checkMembershipChange(const Entry& created) {
  for (std::size_t i = created.parent;; i = entries_[i].parent) {
    if (haveDisjointQuorums(created.membership, entries_[i].membership))
      violate(Property::majoritiesIntersect,
              "the members of entry " + text(created.number) + " and those of " + text(entries_[i].number));
    if (entries_[i].committed || i == entries_[i].parent) return;
  }
}

void Properties::checkNewMembers(const Entry& created) {
  const Entry& parent = entries_[created.parent];
  for (const Id id : created.membership.members) {
    if (contains(parent.membership.members, id) || contains(parent.membership.former, id)) continue;
    if (!holds(id, parent.parent))
      violate(Property::memberHasState, "entry " + text(created.number) + " makes " + std::to_string(id) +
                                            " a member, which never held " + text(parent.number) +
                                            " nor the one before");
  }
}

void Properties::checkLeaderHasCommitted(std::uint64_t term, std::size_t entry) {
  for (std::size_t i = entries_.size(); i-- > 0;) {
    if (!entries_[i].committed || entries_[i].committedInTerm >= term) continue;
    if (!descends(entry, i))
      violate(Property::leaderHasCommitted,
              "entry " + text(entries_[entry].number) + " of the leader of term " + std::to_string(term) +
                  " was not made from the committed " + text(entries_[i].number));
    return;  // the others are what this one was made from
  }
}

void Properties::persisted(const PersistentState& before, const PersistentState& after) {
  if (before.self == after.self && (after.term < before.term || lastEntry(after) < lastEntry(before)))
    violate(Property::nothingGoesBack, "an older record was written over a newer one");
  const auto entry = find(lastEntry(after));
  if (entry && !contains(entries_[*entry].holders, after.self)) {
    auto& holders = entries_[*entry].holders;
    holders.insert(std::upper_bound(holders.begin(), holders.end(), after.self), after.self);
  }
}

void Properties::leaderSpoke(std::uint64_t term, Id leader, EntryNumber held) {
  for (std::size_t i = leaders_.size(); i-- > 0;) {
    if (leaders_[i].term != term) continue;
    if (leaders_[i].id != leader)
      violate(Property::oneLeaderPerTerm, "term " + std::to_string(term) + " has the leaders " +
                                              std::to_string(leaders_[i].id) + " and " +
                                              std::to_string(leader));
    return;
  }
  const auto later = std::find_if(leaders_.begin(), leaders_.end(),
                                  [term](const Leader& known) { return known.term > term; });
  leaders_.insert(later, {term, leader, false});
  if (const auto entry = find(held)) checkLeaderHasCommitted(term, *entry);
}

void Properties::handedOver(std::uint64_t term) {
  for (Leader& leader : leaders_)
    if (leader.term == term) leader.handedOver = true;
}

void Properties::acted(std::uint64_t term) {
  for (const Leader& leader : leaders_)
    if (leader.term == term && leader.handedOver)
      violate(Property::handedOverIsOver, std::to_string(leader.id) + " still acts as leader of term " +
                                              std::to_string(term) + ", which it handed over");
}

void Properties::answered(Id replica, std::uint64_t term, std::uint64_t round) {
  for (Answer& answer : answers_) {
    if (answer.replica != replica) continue;
    if (std::pair(term, round) > std::pair(answer.term, answer.round)) answer = {replica, term, round};
    return;
  }
  const auto later = std::find_if(answers_.begin(), answers_.end(),
                                  [replica](const Answer& answer) { return answer.replica > replica; });
  answers_.insert(later, {replica, term, round});
}

void Properties::committed(Id leader, std::uint64_t term, EntryNumber number) {
  const auto entry = find(number);
  if (!entry) {
    violate(Property::committedByMajorities, "nobody made the committed entry " + text(number));
    return;
  }
  if (!isQuorum(entries_[*entry].membership, [&](Id id) { return holds(id, *entry); }))
    violate(Property::committedByMajorities, std::to_string(leader) + " commits " + text(number) +
                                                 ", which no majorities have ever had synced");
  const std::size_t newest = find(newestCommitted_).value_or(0);
  if (!descends(*entry, newest) && !descends(newest, *entry))
    violate(Property::committedIsOneChain,
            text(number) + " and " + text(newestCommitted_) + " are both committed");
  for (std::size_t i = *entry; !entries_[i].committed; i = entries_[i].parent) {
    entries_[i].committed = true;
    entries_[i].committedInTerm = term;
  }
  if (descends(*entry, newest)) newestCommitted_ = number;
  for (std::size_t i = entries_.size(); i-- > 0;)
    if (entries_[i].number.term > term && !descends(i, *entry))
      violate(Property::leaderHasCommitted,
              "entry " + text(entries_[i].number) + " was not made from the committed " + text(number));
}

void Properties::confirmed(std::uint64_t term, std::uint64_t round, Time age, const Membership& before,
                           const Membership& after) {
  const auto processed = [&](Id id) {
    for (const Leader& leader : leaders_)
      if (leader.term == term && leader.id == id) return true;
    for (const Answer& answer : answers_)
      if (answer.replica == id && std::pair(answer.term, answer.round) >= std::pair(term, round)) return true;
    return false;
  };
  if (!isQuorum(before, processed) && !isQuorum(after, processed))
    violate(Property::confirmedByMajorities, "round " + std::to_string(round) + " of term " +
                                                 std::to_string(term) + " was processed by no majorities");
  if (age >= electLeast_)
    violate(Property::confirmationIsFresh,
            "the confirmed round was begun " + std::to_string(static_cast<long>(age)) + " ms ago");
}

void Properties::handedOut(Id leader, EntryNumber served, EntryNumber committedBefore) {
  const auto given = find(served);
  const auto due = find(committedBefore);
  if (!given || !due || !descends(*given, *due))
    violate(Property::handedOutIsCurrent, std::to_string(leader) + " hands out " + text(served) + ", but " +
                                              text(committedBefore) + " was committed before");
}

void Properties::committedIndex(const PersistentState& record, std::uint64_t before, std::uint64_t after) {
  if (after < before)
    violate(Property::nothingGoesBack,
            "the committed index went from " + std::to_string(before) + " to " + std::to_string(after));
  if (after > record.index)
    violate(Property::committedIsHeld, "the committed index is " + std::to_string(after) + ", its entry " +
                                           std::to_string(record.index));
  if (after == 0 || after != record.index) return;
  const auto entry = find(lastEntry(record));
  if (!entry || !entries_[*entry].committed)
    violate(Property::committedIsHeld,
            "counts its entry " + text(lastEntry(record)) + " as committed, which it is not");
}

// The same whatever the order in which entries were made and rounds were answered.
Fingerprint Properties::fingerprint() const {
  FingerprintBuilder out;
  std::vector<const Entry*> sorted;
  for (const Entry& entry : entries_) sorted.push_back(&entry);
  std::sort(sorted.begin(), sorted.end(),
            [](const Entry* a, const Entry* b) { return a->number < b->number; });
  for (const Entry* entry : sorted) {
    out.add(entry->number.term);
    out.add(entry->number.index);
    out.add(entries_[entry->parent].number.term);
    out.add(entries_[entry->parent].number.index);
    out.add(entry->content);
    out.add(entry->committed);
    out.add(entry->committedInTerm);
    out.add(entry->holders.size());
    for (const Id id : entry->holders) out.add(id);
  }
  out.add(leaders_.size());
  for (const Leader& leader : leaders_) {
    out.add(leader.term);
    out.add(leader.id);
    out.add(leader.handedOver);
  }
  for (const Answer& answer : answers_) {
    out.add(answer.replica);
    out.add(answer.term);
    out.add(answer.round);
  }
  out.add(newestCommitted_.term);
  out.add(newestCommitted_.index);
  return out.result();
}

}  // namespace burlwind::model_checking
