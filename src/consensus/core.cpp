#include "consensus/core.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace burlwind::consensus {
namespace {

bool newer(std::uint64_t termA, std::uint64_t indexA, std::uint64_t termB, std::uint64_t indexB) {
  return std::pair(termA, indexA) > std::pair(termB, indexB);
}

// Never 0. Exact as a double.
std::uint64_t drawIncarnation(double (*draw)(void*), void* drawer) {
  constexpr double kMost = 9007199254740992;  // 2^53
  return 1 + static_cast<std::uint64_t>(draw(drawer) * (kMost - 1));
}

// Once for all that an event changes before it tells of it.
void persist(std::vector<Effect>& out) {
  if (out.empty() || !std::holds_alternative<Persist>(out.back())) out.push_back(Persist{});
}

}  // namespace

Core::Core(PersistentState record, Timeouts timeouts, unsigned seats, double (*draw)(void*), void* drawer,
           Time now)
    : record_(std::move(record)),
      timeouts_(timeouts),
      seats_(seats),
      draw_(draw),
      drawer_(drawer),
      incarnation_(drawIncarnation(draw, drawer)) {
  rest(now);
}

// After a start there is most likely no leader to wait for, and the others come up one by one: tries follow
// soon, until the first leader has been heard. They are trials, which do no harm where there is one.
void Core::rest(Time now) {
  const bool first = heard_ < 0;
  const Time least = first ? timeouts_.firstLeast : timeouts_.electLeast,
             most = first ? timeouts_.firstMost : timeouts_.electMost;
  electAt_ = now + least + draw_(drawer_) * (most - least);
}

void Core::reached(Time now) {
  if (heard_ >= 0 || role_ == Role::leader || role_ == Role::candidate) return;
  electAt_ = std::min(electAt_, now + draw_(drawer_) * timeouts_.reachedMost);
}

bool Core::isMember(Id id) const {
  const auto has = [id](const std::vector<Member>& all) {
    return std::any_of(all.begin(), all.end(), [id](const Member& m) { return m.id == id; });
  };
  return has(record_.members) || has(record_.former);
}

template <class Holds>
bool Core::majority(const std::vector<Member>& of, Holds holds) const {
  const auto n = std::count_if(of.begin(), of.end(), [&](const Member& m) { return holds(m.id); });
  return 2 * static_cast<std::size_t>(n) > of.size();
}

template <class Holds>
bool Core::quorum(Holds holds) const {
  return majority(record_.members, holds) && (record_.former.empty() || majority(record_.former, holds));
}

Time Core::heardFrom(Id id) const {
  const auto peer = peers_.find(id);
  return peer == peers_.end() ? wonAt_ : std::max(peer->second.heard, wonAt_);
}

bool Core::hasAuthority(Time now) const {
  return quorum([&](Id id) { return id == record_.self || now - heardFrom(id) < timeouts_.electLeast; });
}

void Core::stepDownIfStale(Time now, std::vector<Effect>& out) {
  if (role_ == Role::leader && !hasAuthority(now)) follow(record_.term, 0, now, out);
}

void Core::beginRound(Time now) {
  ++round_;
  sentAt_.push_back(now);
  while (now - sentAt_.front() > timeouts_.roundKept) sentAt_.pop_front();
}

std::optional<Time> Core::sentAt(std::uint64_t round) const {
  const std::uint64_t oldest = round_ + 1 - sentAt_.size();
  if (round < oldest || round > round_) return std::nullopt;
  return sentAt_[round - oldest];
}

Time Core::lastWordOf(Id id) const {
  if (id == formerLeader_ && wonAt_ > formerLeaderHeard_) {
    const auto peer = peers_.find(id);
    return peer == peers_.end() ? formerLeaderHeard_ : std::max(peer->second.heard, formerLeaderHeard_);
  }
  return heardFrom(id);
}

std::set<Id> Core::everyone() const {
  std::set<Id> out;
  for (const Member& m : record_.members) out.insert(m.id);
  for (const Member& m : record_.former) out.insert(m.id);
  for (const auto& [id, m] : applicants_) out.insert(id);
  out.erase(record_.self);
  return out;
}

void Core::follow(std::uint64_t term, Id leader, Time now, std::vector<Effect>& out) {
  const bool led = role_ == Role::leader;
  role_ = Role::follower;
  led_ = inFlight_ = false;
  transferUntil_.reset();
  if (term > record_.term) {
    record_.term = term, record_.votedFor = 0;
    persist(out);
  }
  leader_ = leader;
  rest(now);
  if (led) out.push_back(Stepped{});
}

std::vector<Effect> Core::tick(Time now) {
  std::vector<Effect> out;
  stepDownIfStale(now, out);
  if (role_ == Role::leader) {
    handOver(now, out);
    if (role_ == Role::leader && now >= heartbeatAt_) {
      sendHeartbeats(now, out);
      changeMembers(now, out);
    }
  } else if (now >= electAt_) {
    if (member() && !record_.members.empty())
      stand(now, out);
    else
      rest(now);
  }
  return out;
}

// A pre-vote first: who can't win does not push the others' term up.
void Core::stand(Time now, std::vector<Effect>& out) {
  role_ = Role::preCandidate;
  leader_ = 0;
  votes_ = {record_.self};
  rest(now);
  for (const Id id : everyone())
    out.push_back(
        Send{id, rpc::VoteRequest{record_.term + 1, record_.self, record_.lastTerm, record_.index, true}});
  countVotes(now, out);
}

void Core::elect(Time now, bool handover, std::vector<Effect>& out) {
  role_ = Role::candidate;
  ++record_.term;
  record_.votedFor = record_.self;
  persist(out);
  votes_ = {record_.self};
  rest(now);
  for (const Id id : everyone())
    out.push_back(Send{
        id, rpc::VoteRequest{record_.term, record_.self, record_.lastTerm, record_.index, false, handover}});
  countVotes(now, out);
}

void Core::countVotes(Time now, std::vector<Effect>& out) {
  if (!quorum([&](Id id) { return votes_.contains(id); })) return;
  if (role_ == Role::preCandidate) return elect(now, false, out);
  if (role_ == Role::candidate) lead(now, out);
}

void Core::lead(Time now, std::vector<Effect>& out) {
  role_ = Role::leader;
  leader_ = record_.self;
  formerLeader_ = heardLeader_, formerLeaderHeard_ = heard_;
  wonAt_ = heard_ = now;
  heardLeader_ = record_.self;
  peers_.clear();
  applicants_.clear();
  sentAt_.clear();
  begin(now, out);  // its state under its own term: what was there before is committed by this or not at all
}

void Core::begin(Time now, std::vector<Effect>& out) {
  inFlight_ = true;
  record_.lastTerm = record_.term;
  ++record_.index;
  for (const Id id : everyone()) peers_[id].sentWhole = -1e9;
  sendHeartbeats(now, out);  // before the own write: both disks work at the same time
  persist(out);
  advance(now, out);
}

void Core::sendHeartbeats(Time now, std::vector<Effect>& out) {
  heartbeatAt_ = now + timeouts_.heartbeat;
  beginRound(now);
  for (const Id id : everyone()) sendTo(id, now, out);
}

void Core::sendTo(Id to, Time now, std::vector<Effect>& out) {
  Peer& peer = peers_[to];
  rpc::AppendRequest m{record_.term, record_.self, round_, record_.lastTerm, record_.index, committed_, false,
                       {},           {},           {}};
  const bool has = peer.lastTerm == record_.lastTerm && peer.index == record_.index;
  if (!has && now - peer.sentWhole > 3 * timeouts_.heartbeat) {
    m.whole = true;
    m.members = record_.members, m.former = record_.former, m.state = record_.state;
    peer.sentWhole = now;
  }
  out.push_back(Send{to, std::move(m)});
}

// Called where an acknowledgement or the own write may have completed a majority.
void Core::advance(Time now, std::vector<Effect>& out) {
  const auto answered = [&](std::uint64_t round) {
    return quorum([&](Id id) { return id == record_.self || peers_[id].round >= round; });
  };
  std::uint64_t best = confirmed_;
  for (const auto& [id, peer] : peers_)
    if (peer.round > best && answered(peer.round)) best = peer.round;
  if (record_.members.size() == 1 && record_.former.empty()) best = round_;
  if (best > confirmed_) {
    confirmed_ = best;
    out.push_back(Confirmed{best});
  }
  if (!inFlight_) return;
  const bool held = quorum([&](Id id) {
    return id == record_.self ||
           (peers_[id].lastTerm == record_.lastTerm && peers_[id].index == record_.index);
  });
  if (!held) return;
  inFlight_ = false;
  committed_ = record_.index;
  out.push_back(Committed{});
  if (!std::exchange(led_, true)) out.push_back(Led{});
  if (!record_.former.empty()) {  // both majorities have the new members: the old ones are done with
    record_.former.clear();
    return begin(now, out);
  }
  changeMembers(now, out);  // here as well: where change follows change, nothing else finds none under way
}

void Core::forgetApplicants(Time now) {
  std::erase_if(applicants_, [&](const auto& a) {
    const Peer& peer = peers_[a.first];
    return isMember(a.first) || now - std::max(peer.heard, peer.asked) > timeouts_.gone;
  });
  const std::set<Id> known = everyone();
  std::erase_if(peers_, [&](const auto& peer) { return !known.contains(peer.first); });
}

bool Core::isHeard(Id member, Time now) const {
  return member == record_.self || now - lastWordOf(member) < timeouts_.electLeast;
}

bool Core::isGone(const Member& member, Time now) const {
  if (member.id == record_.self) return false;
  const auto peer = peers_.find(member.id);
  const bool leaving = peer != peers_.end() && peer->second.leaving();
  return now - lastWordOf(member.id) > (leaving ? timeouts_.goneAfterLeave : timeouts_.gone);
}

// It answers and holds all but the entry under way.
bool Core::isReady(Id applicant, Time now) const {
  const auto found = peers_.find(applicant);
  if (found == peers_.end()) return false;
  const Peer& peer = found->second;
  return now - peer.heard < timeouts_.electLeast && peer.lastTerm == record_.lastTerm &&
         peer.index + 1 >= record_.index;
}

bool Core::addressIsInUse(const std::string& ip, Time now) const {
  return std::any_of(record_.members.begin(), record_.members.end(),
                     [&](const Member& m) { return m.ip == ip && isHeard(m.id, now); });
}

// The change can be agreed on without this silent one.
bool Core::mayReplace(const Member& member, Time now) const {
  return majority(record_.members, [&](Id id) { return id != member.id && isHeard(id, now); });
}

Core::Seat Core::seatOfAddress(const Member& applicant, Time now) {
  return std::find_if(record_.members.begin(), record_.members.end(), [&](const Member& m) {
    return m.ip == applicant.ip && !isHeard(m.id, now) && mayReplace(m, now);
  });
}

Core::Seat Core::seatOfGone(Time now) {
  return std::find_if(record_.members.begin(), record_.members.end(),
                      [&](const Member& m) { return isGone(m, now) && mayReplace(m, now); });
}

void Core::seat(Seat seat, const Member& applicant, Time now, std::vector<Effect>& out) {
  std::vector<Member> members = record_.members;
  if (seat == record_.members.end())
    members.push_back(applicant);
  else
    members[static_cast<std::size_t>(seat - record_.members.begin())] = applicant;
  record_.former = std::exchange(record_.members, std::move(members));
  begin(now, out);
}

void Core::changeMembers(Time now, std::vector<Effect>& out) {
  if (!mayPropose()) return;
  forgetApplicants(now);
  std::vector<Member> ready;
  for (const auto& [id, applicant] : applicants_)
    if (isReady(id, now) && !addressIsInUse(applicant.ip, now)) ready.push_back(applicant);
  for (const Member& applicant : ready)
    if (const Seat own = seatOfAddress(applicant, now); own != record_.members.end())
      return seat(own, applicant, now, out);
  for (const Member& applicant : ready) {
    if (const Seat free = seatOfGone(now); free != record_.members.end())
      return seat(free, applicant, now, out);
    const bool allHeard = std::all_of(record_.members.begin(), record_.members.end(),
                                      [&](const Member& m) { return isHeard(m.id, now); });
    if (allHeard && record_.members.size() < seats_) return seat(record_.members.end(), applicant, now, out);
  }
}

std::vector<Effect> Core::join(const Member& member, Time now) {
  std::vector<Effect> out;
  stepDownIfStale(now, out);
  if (role_ != Role::leader || isMember(member.id) || member.id == 0) return out;
  const bool known = applicants_.contains(member.id);
  if (!known && applicants_.size() >= kMostApplicants) return out;
  applicants_[member.id] = member;
  peers_[member.id].asked = now;
  if (!known) sendTo(member.id, now, out);
  return out;
}

std::vector<Effect> Core::leave(Id member, Time now, std::uint64_t incarnation) {
  std::vector<Effect> out;
  stepDownIfStale(now, out);
  if (role_ != Role::leader || !isMember(member)) return out;
  Peer& peer = peers_[member];
  peer.left = incarnation ? incarnation : peer.incarnation;
  return out;
}

std::vector<Effect> Core::propose(std::string state, Time now) {
  assert(mayPropose());
  std::vector<Effect> out;
  stepDownIfStale(now, out);
  if (!mayPropose()) return out;
  record_.state = std::move(state);
  begin(now, out);
  return out;
}

std::vector<Effect> Core::transferLeadership(Time now) {
  std::vector<Effect> out;
  stepDownIfStale(now, out);
  if (role_ != Role::leader) return out;
  transferUntil_ = now + timeouts_.electLeast;
  handOver(now, out);
  return out;
}

void Core::handOver(Time now, std::vector<Effect>& out) {
  if (!transferUntil_) return;
  if (now >= *transferUntil_) return transferUntil_.reset();
  if (inFlight_) return;
  const auto to = successor(now);
  if (!to) return;
  const rpc::TimeoutNow message{record_.term, record_.self, record_.lastTerm, record_.index};
  follow(record_.term, 0, now, out);  // before anybody else may lead
  out.push_back(Send{*to, message});
}

// Of the members that hold everything and stay, the one that was heard last.
std::optional<Id> Core::successor(Time now) const {
  std::optional<Id> best;
  Time heard = now - timeouts_.electLeast;
  for (const Member& m : record_.members) {
    const auto found = peers_.find(m.id);
    if (m.id == record_.self || found == peers_.end()) continue;
    const Peer& peer = found->second;
    const bool holdsAll = peer.lastTerm == record_.lastTerm && peer.index == record_.index;
    if (!holdsAll || peer.leaving() || peer.heard <= heard) continue;
    best = m.id;
    heard = peer.heard;
  }
  return best;
}

std::uint64_t Core::confirm(Time now, std::vector<Effect>& out) {
  stepDownIfStale(now, out);
  if (!led_) return kNeverConfirmed;
  sendHeartbeats(now, out);
  const std::uint64_t mine = round_;
  advance(now, out);
  return mine;
}

std::vector<Effect> Core::receive(const Message& message, Time now) {
  std::vector<Effect> out;
  // First. But an answer may show that there is authority still: it is as old as its round, however long it
  // has waited, and nothing follows from it without authority.
  if (!std::holds_alternative<rpc::AppendResponse>(message)) stepDownIfStale(now, out);
  std::visit([&](const auto& m) { on(m, now, out); }, message);
  return out;
}

void Core::on(const rpc::AppendRequest& m, Time now, std::vector<Effect>& out) {
  if (m.term < record_.term) {
    ++late_;
    out.push_back(Send{m.from, rpc::AppendResponse{record_.term, record_.self, 0, 0, 0, incarnation_}});
    return;
  }
  follow(m.term, m.from, now, out);
  heard_ = now;
  heardLeader_ = m.from;
  if (m.whole && newer(m.lastTerm, m.index, record_.lastTerm, record_.index)) {
    record_.lastTerm = m.lastTerm, record_.index = m.index;
    record_.members = m.members, record_.former = m.former, record_.state = m.state;
    persist(out);
  }
  committed_ = std::max(committed_, std::min(m.committed, record_.index));
  out.push_back(Send{m.from, rpc::AppendResponse{record_.term, record_.self, m.round, record_.lastTerm,
                                                 record_.index, incarnation_}});
}

void Core::on(const rpc::AppendResponse& m, Time now, std::vector<Effect>& out) {
  if (m.term > record_.term) return follow(m.term, 0, now, out);
  if (role_ != Role::leader || m.term < record_.term) {
    ++late_;
    return;
  }
  const auto found = peers_.find(m.from);
  if (found == peers_.end()) {
    ++late_;
    return;
  }
  Peer& peer = found->second;
  if (const auto sent = sentAt(m.round)) peer.heard = std::max(peer.heard, *sent);
  if (m.round < peer.round) {
    ++late_;
    return;
  }
  peer.round = m.round;
  peer.lastTerm = m.lastTerm, peer.index = m.index;
  peer.incarnation = m.incarnation;
  if (!hasAuthority(now)) return;
  advance(now, out);
  handOver(now, out);
  if (applicants_.contains(m.from)) changeMembers(now, out);
}

void Core::on(const rpc::VoteRequest& m, Time now, std::vector<Effect>& out) {
  const bool hasAll = !newer(record_.lastTerm, record_.index, m.lastTerm, m.index);
  // Who hears a leader, or is one, takes part in no election against it.
  const bool handedOver = m.handover && m.term == record_.term + 1;
  const bool content = role_ == Role::leader || (!handedOver && now - heard_ < timeouts_.electLeast);
  if (m.preVote) {
    // Of several that try at the same time and know as much, the one with the highest id goes on: they would
    // split the votes.
    const bool sameLog = m.lastTerm == record_.lastTerm && m.index == record_.index;
    const bool yields = !(role_ == Role::preCandidate && sameLog && record_.self > m.from);
    const bool granted = m.term > record_.term && hasAll && !content && yields;
    out.push_back(
        Send{m.from, rpc::VoteResponse{granted ? m.term : record_.term, record_.self, true, granted}});
    return;
  }
  if (m.term > record_.term && !content) follow(m.term, 0, now, out);
  const bool granted = m.term == record_.term && hasAll && !content &&
                       (record_.votedFor == 0 || record_.votedFor == m.from) &&
                       (role_ == Role::follower || role_ == Role::preCandidate);
  if (granted && record_.votedFor == 0) {
    role_ = Role::follower;
    record_.votedFor = m.from;
    persist(out);
    rest(now);
  }
  out.push_back(Send{m.from, rpc::VoteResponse{record_.term, record_.self, false, granted}});
}

void Core::on(const rpc::VoteResponse& m, Time now, std::vector<Effect>& out) {
  if (!m.granted && m.term > record_.term) return follow(m.term, 0, now, out);
  const bool fits = m.preVote ? role_ == Role::preCandidate && m.term == record_.term + 1
                              : role_ == Role::candidate && m.term == record_.term;
  if (!fits || !m.granted) {
    ++late_;
    return;
  }
  votes_.insert(m.from);
  countVotes(now, out);
}

// Late is harmless: nobody leads that term any more, and a later one is not disturbed.
void Core::on(const rpc::TimeoutNow& m, Time now, std::vector<Effect>& out) {
  const bool holdsAll = !newer(m.lastTerm, m.index, record_.lastTerm, record_.index);
  if (m.term != record_.term || role_ != Role::follower || !member() || !holdsAll) {
    ++late_;
    return;
  }
  elect(now, true, out);
}

}  // namespace burlwind::consensus
