#include "consensus/core.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

#include "consensus/state_patch.hpp"

namespace burlwind::consensus {
namespace {

constexpr std::size_t kLeastPatched = 1024;  // bytes of a state
constexpr unsigned kMostPatchFailures = 2;   // in a row, then whole states

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
  if (out.empty() || !std::holds_alternative<Persist>(out.back())) out.emplace_back(Persist{});
}

}  // namespace

Core::Core(PersistentState record, Timeouts timeouts, unsigned seats, double (*draw)(void*), void* drawer,
           Time now)
    : record_(std::move(record)),
      timeouts_(timeouts),
      seats_(seats),
      draw_(draw),
      drawer_(drawer),
      incarnation_(drawIncarnation(draw, drawer)),
      tickedAt_(now) {
  rest(now);
}

// After a start there is most likely no leader to wait for, and the others come up one by one: tries follow
// soon, until the first leader has been heard. They are trials, which do no harm where there is one.
void Core::rest(Time now) {
  const bool first = heard_ < 0;
  const Time least = first ? timeouts_.firstLeast : timeouts_.electLeast;
  const Time most = first ? timeouts_.firstMost : timeouts_.electMost;
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
  if (led) out.emplace_back(Stepped{});
}

std::vector<Effect> Core::tick(Time now) {
  std::vector<Effect> out;
  // After a short pause (a disk's, a processor's) answers may wait that show authority still: the next tick
  // judges by them. After a longer one all of them are too old.
  const Time pause = now - std::exchange(tickedAt_, now);
  const bool answersMayWait = pause > timeouts_.heartbeat && pause < timeouts_.electLeast;
  if (!answersMayWait) stepDownIfStale(now, out);
  if (role_ == Role::leader) {
    if (hasAuthority(now)) handOver(now, out);
    if (role_ == Role::leader && now >= heartbeatAt_) {
      sendHeartbeats(now, out);
      if (hasAuthority(now)) changeMembers(now, out);
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
  votes_ = {{record_.self, lastEntry()}};
  rest(now);
  for (const Id id : everyone())
    out.emplace_back(
        Send{id, rpc::VoteRequest{record_.term + 1, record_.self, record_.lastTerm, record_.index, true}});
  countVotes(now, out);
}

void Core::elect(Time now, bool handover, std::vector<Effect>& out) {
  role_ = Role::candidate;
  ++record_.term;
  record_.votedFor = record_.self;
  persist(out);
  votes_ = {{record_.self, lastEntry()}};
  rest(now);
  for (const Id id : everyone())
    out.emplace_back(Send{
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
  for (const auto& [voter, held] : votes_) {
    if (voter == record_.self) continue;
    Peer& peer = peers_[voter];
    peer.known = true;
    peer.lastTerm = held.term, peer.index = held.index;
  }
  begin(now, out);  // its state under its own term: what was there before is committed by this or not at all
}

void Core::begin(Time now, std::vector<Effect>& out) {
  inFlight_ = true;
  entryBefore_ = lastEntry();
  if (!history_.find(lastEntry())) rememberState(shareState());
  record_.lastTerm = record_.term;
  ++record_.index;
  payloads_.clear();
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
  rpc::AppendRequest m;
  m.term = record_.term, m.from = record_.self, m.round = round_;
  m.lastTerm = record_.lastTerm, m.index = record_.index, m.committed = committed_;
  if (!holdsAll(peer) && !peer.transfer) beginTransfer(to, peer);
  if (peer.transfer && peer.transfer->inOneMessage() && !peer.transfer->begun()) {
    const Payload& payload = peer.transfer->payload();
    m.whole = !payload.isPatch(), m.patch = payload.isPatch();
    m.members = payload.members, m.former = payload.former, m.state = *payload.bytes;
    m.baseTerm = payload.base.term, m.baseIndex = payload.base.index, m.hash = payload.hash;
    peer.transfer->sentInOneMessage(round_);
  }
  out.emplace_back(Send{to, std::move(m)});
  sendPieces(to, peer, now, out);
}

void Core::sendPieces(Id to, Peer& peer, Time now, std::vector<Effect>& out) const {
  if (!peer.transfer || peer.transfer->inOneMessage()) return;
  const Payload& payload = peer.transfer->payload();
  while (const auto piece = peer.transfer->next(round_, now)) {
    rpc::StatePiece m;
    m.term = record_.term, m.from = record_.self, m.round = round_;
    m.lastTerm = payload.entry.term, m.index = payload.entry.index;
    m.baseTerm = payload.base.term, m.baseIndex = payload.base.index;
    m.members = payload.members, m.former = payload.former;
    m.hash = payload.hash, m.size = payload.bytes->size(), m.offset = piece->offset;
    m.data = payload.bytes->substr(piece->offset, piece->size);
    out.emplace_back(Send{to, std::move(m)});
  }
}

// What it holds has just become known: the rest follows at once, but after repeated failures with the next
// heartbeat.
void Core::sendMissing(Id to, Time now, std::vector<Effect>& out) {
  const auto found = peers_.find(to);
  if (role_ != Role::leader || found == peers_.end()) return;
  Peer& peer = found->second;
  if (peer.transfer) return sendPieces(to, peer, now, out);
  if (holdsAll(peer) || peer.failures >= kMostPatchFailures) return;
  beginRound(now);
  sendTo(to, now, out);
}

void Core::beginTransfer(Id to, Peer& peer) {
  // A member that has not said what it holds most likely holds the entry before; a newcomer most likely
  // nothing.
  EntryId held{peer.lastTerm, peer.index};
  if (!peer.known && isMember(to)) held = entryBefore_;
  auto payload = payloadFor(peer.failures < kMostPatchFailures ? held : EntryId{});
  // A large one waits until it is known what the other one holds: one round trip.
  if (!peer.known && payload->bytes->size() > kInlineBytes) return;
  peer.transfer.emplace(std::move(payload));
}

std::shared_ptr<const std::string> Core::shareState() {
  const auto whole = payloads_.find(EntryId{});
  return whole != payloads_.end() ? whole->second->bytes : std::make_shared<const std::string>(record_.state);
}

// Before another entry takes its place.
void Core::rememberState(std::shared_ptr<const std::string> state) {
  if (record_.index == 0) return;
  std::set<EntryId> wanted;
  for (const auto& [id, peer] : peers_) {
    wanted.insert({peer.lastTerm, peer.index});
    if (peer.transfer) wanted.insert(peer.transfer->payload().entry);
  }
  history_.remember(lastEntry(), std::move(state), wanted);
}

// For who holds that one.
std::shared_ptr<const Payload> Core::payloadFor(EntryId base) {
  const auto known = history_.find(base);
  if (!known || record_.state.size() < kLeastPatched) base = {};
  if (const auto made = payloads_.find(base); made != payloads_.end()) return made->second;
  auto payload = std::make_shared<Payload>();
  payload->entry = lastEntry();
  payload->members = record_.members, payload->former = record_.former;
  payload->hash = hashOf(record_.state);
  if (base != EntryId{}) {
    std::string patch = makePatch(*known, record_.state);
    if (patch.size() < record_.state.size()) {
      payload->base = base;
      payload->bytes = std::make_shared<const std::string>(std::move(patch));
      return payloads_[base] = std::move(payload);
    }
  }
  payload->bytes = shareState();
  return payloads_[EntryId{}] = std::move(payload);
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
    out.emplace_back(Confirmed{best});
  }
  if (!inFlight_) return;
  const bool held = quorum([&](Id id) {
    return id == record_.self ||
           (peers_[id].lastTerm == record_.lastTerm && peers_[id].index == record_.index);
  });
  if (!held) return;
  inFlight_ = false;
  committed_ = record_.index;
  out.emplace_back(Committed{});
  if (!std::exchange(led_, true)) out.emplace_back(Led{});
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
  if (!known) {
    beginRound(now);
    sendTo(member.id, now, out);
  }
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
  auto before = std::make_shared<const std::string>(std::move(record_.state));
  record_.state = std::move(state);
  rememberState(std::move(before));
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
  out.emplace_back(Send{*to, message});
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
    out.emplace_back(Send{m.from, rpc::AppendResponse{record_.term, record_.self, 0, 0, 0, incarnation_}});
    return;
  }
  follow(m.term, m.from, now, out);
  heard_ = now;
  heardLeader_ = m.from;
  if (m.whole || m.patch) {
    Payload payload;
    payload.entry = {m.lastTerm, m.index};
    if (m.patch) payload.base = {m.baseTerm, m.baseIndex};
    payload.hash = m.hash, payload.members = m.members, payload.former = m.former;
    if (!m.patch || payload.isPatch()) take(payload, m.state, out);  // what it holds says the answer
  }
  // The leader's numbers are those of its entries: one of another term here has a number of its own.
  if (record_.lastTerm == m.lastTerm) committed_ = std::max(committed_, std::min(m.committed, record_.index));
  out.emplace_back(Send{m.from, rpc::AppendResponse{record_.term, record_.self, m.round, record_.lastTerm,
                                                    record_.index, incarnation_}});
}

// The entry with these bytes is held from now on, or one that is as new was before. False: they don't make
// it.
bool Core::take(const Payload& payload, const std::string& bytes, std::vector<Effect>& out) {
  if (payload.entry <= lastEntry()) return true;
  std::string state;
  if (!payload.isPatch())
    state = bytes;
  else if (payload.base != lastEntry() || !applyPatch(record_.state, bytes, kMostStateBytes, state))
    return false;
  if (payload.hash != 0 && hashOf(state) != payload.hash) return false;
  rememberState(std::make_shared<const std::string>(std::move(record_.state)));
  record_.lastTerm = payload.entry.term, record_.index = payload.entry.index;
  record_.members = payload.members, record_.former = payload.former, record_.state = std::move(state);
  payloads_.clear();
  persist(out);
  return true;
}

void Core::on(const rpc::StatePiece& m, Time now, std::vector<Effect>& out) {
  if (m.term < record_.term) {
    ++late_;
    out.emplace_back(Send{m.from, rpc::AppendResponse{record_.term, record_.self, 0, 0, 0, incarnation_}});
    return;
  }
  follow(m.term, m.from, now, out);
  heard_ = now;
  heardLeader_ = m.from;
  Payload payload;
  payload.entry = {m.lastTerm, m.index}, payload.base = {m.baseTerm, m.baseIndex};
  payload.hash = m.hash, payload.members = m.members, payload.former = m.former;
  const auto answer = [&](bool refused) {
    out.emplace_back(Send{m.from, rpc::StatePieceResponse{record_.term, record_.self, m.round, m.lastTerm,
                                                          m.index, refused ? 0 : incoming_.held(), refused}});
  };
  if (payload.entry > lastEntry()) {
    if (m.size > kMostStateBytes || (payload.isPatch() && payload.base != lastEntry())) return answer(true);
    if (!incoming_.isOf(m)) incoming_.begin(m);
    incoming_.add(m);
    if (!incoming_.whole()) return answer(false);
    const bool taken = take(payload, incoming_.bytes(), out);
    incoming_ = Incoming();
    if (!taken) return answer(true);
  }
  out.emplace_back(Send{m.from, rpc::AppendResponse{record_.term, record_.self, m.round, record_.lastTerm,
                                                    record_.index, incarnation_}});
}

// Who has answered a round of this leader; nobody where the answer is not for it.
Core::Peer* Core::answering(std::uint64_t term, Id from, std::uint64_t round, Time now,
                            std::vector<Effect>& out) {
  if (term > record_.term) {
    follow(term, 0, now, out);
    return nullptr;
  }
  const auto found = peers_.find(from);
  if (role_ != Role::leader || term < record_.term || found == peers_.end()) {
    ++late_;
    return nullptr;
  }
  if (const auto sent = sentAt(round)) found->second.heard = std::max(found->second.heard, *sent);
  return &found->second;
}

void Core::on(const rpc::AppendResponse& m, Time now, std::vector<Effect>& out) {
  Peer* peer = answering(m.term, m.from, m.round, now, out);
  if (!peer) return;
  if (m.round < peer->round) {
    ++late_;
    return;
  }
  peer->round = m.round;
  peer->known = true;
  peer->lastTerm = m.lastTerm, peer->index = m.index;
  peer->incarnation = m.incarnation;
  settleTransfer(*peer, now);
  if (!hasAuthority(now)) return;
  advance(now, out);
  handOver(now, out);
  if (applicants_.contains(m.from)) changeMembers(now, out);
  sendMissing(m.from, now, out);
}

// After an answer that tells what it holds.
void Core::settleTransfer(Peer& peer, Time now) {
  if (holdsAll(peer)) peer.failures = 0;
  if (!peer.transfer) return;
  if (EntryId{peer.lastTerm, peer.index} >= peer.transfer->payload().entry) {
    peer.failures = 0;
    peer.transfer.reset();
  } else if (!peer.transfer->inOneMessage()) {
    peer.transfer->answered(peer.round, now);
  } else if (peer.round >= peer.transfer->round()) {
    ++peer.failures;
    peer.transfer.reset();
  }
}

void Core::on(const rpc::StatePieceResponse& m, Time now, std::vector<Effect>& out) {
  Peer* peer = answering(m.term, m.from, m.round, now, out);
  if (!peer || !peer->transfer || peer->transfer->inOneMessage()) return;
  if (peer->transfer->payload().entry != EntryId{m.lastTerm, m.index}) return;
  if (m.refused) {
    ++peer->failures;
    peer->transfer.reset();
  } else {
    peer->transfer->held(static_cast<std::size_t>(m.held), now);
  }
  if (hasAuthority(now)) sendMissing(m.from, now, out);
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
    out.emplace_back(Send{m.from, rpc::VoteResponse{granted ? m.term : record_.term, record_.self, true,
                                                    granted, record_.lastTerm, record_.index}});
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
  out.emplace_back(Send{m.from, rpc::VoteResponse{record_.term, record_.self, false, granted,
                                                  record_.lastTerm, record_.index}});
}

void Core::on(const rpc::VoteResponse& m, Time now, std::vector<Effect>& out) {
  if (!m.granted && m.term > record_.term) return follow(m.term, 0, now, out);
  const bool fits = m.preVote ? role_ == Role::preCandidate && m.term == record_.term + 1
                              : role_ == Role::candidate && m.term == record_.term;
  if (!fits || !m.granted) {
    ++late_;
    return;
  }
  votes_[m.from] = {m.lastTerm, m.index};
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
