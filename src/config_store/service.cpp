#include "config_store/service.hpp"

#include <utility>

namespace burlwind::config_store {
namespace {

constexpr Time kProcessStallThreshold = 1000;  // ms between two inputs: this process stood still

}  // namespace

Service::Service(consensus::Core core, State state, Time now)
    : core_(std::move(core)), state_(std::move(state)), lastInput_(now) {}

// --- Inputs ---

Effects Service::tick(Time now) {
  Effects out;
  detectStall(now, out);
  const bool busy = lease_.busy(now);
  if (std::exchange(leaseWasBusy_, busy) && !busy) hintIsDue_ = true;  // who waits for the duties asks now
  translate(core_.tick(now), now, out);
  return out;
}

Effects Service::fromStore(const consensus::Message& message, Time now) {
  Effects out;
  detectStall(now, out);
  translate(core_.receive(message, now), now, out);
  return out;
}

Effects Service::joinRequested(const rpc::Member& member, Time now) {
  Effects out;
  detectStall(now, out);
  translate(core_.join(member, now), now, out);
  return out;
}

Effects Service::leaveAnnounced(consensus::Id member, Time now, std::uint64_t incarnation) {
  Effects out;
  detectStall(now, out);
  translate(core_.leave(member, now, incarnation), now, out);
  return out;
}

Effects Service::transferLeadership(Time now) {
  Effects out;
  detectStall(now, out);
  translate(core_.transferLeadership(now), now, out);
  return out;
}

Effects Service::storeReached(Time now) {
  core_.reached(now);
  return {};
}

Effects Service::readerGreeted(ReaderId reader, Time now) {
  Effects out;
  detectStall(now, out);
  readers_[reader] = {};
  return out;
}

Effects Service::fromReader(ReaderId reader, const ReaderRequest& request, Time now) {
  Effects out;
  detectStall(now, out);
  if (!readers_.contains(reader)) return out;
  std::visit([&](const auto& m) { on(reader, m, now, out); }, request);
  return out;
}

// What it has asked and nobody has decided is dropped: above all, no lease is granted to who can't hear of
// it.
void Service::readerEnded(ReaderId reader) {
  readers_.erase(reader);
  std::erase_if(reads_, [&](const PendingRead& read) { return read.reader == reader; });
  std::erase_if(leases_, [&](const PendingLease& asked) { return asked.reader == reader; });
}

// Who has stood still answers nothing that came before it woke: orders may have been sent again meanwhile,
// and taken back.
void Service::detectStall(Time now, Effects& out) {
  const bool stalled = now - lastInput_ > kProcessStallThreshold;
  lastInput_ = now;
  if (!stalled) return;
  out.emplace_back(StallDetected{});
  translate(core_.tick(now), now, out);
  for (const auto& [reader, known] : readers_) out.emplace_back(CloseReader{reader});
  readers_.clear();
}

// --- What the agreement says ---

void Service::translate(const std::vector<consensus::Effect>& effects, Time now, Effects& out) {
  for (const auto& effect : effects) translateOne(effect, now, out);
  judgeWaiting(now, out);
}

void Service::translateOne(const consensus::Effect& effect, Time now, Effects& out) {
  if (std::holds_alternative<consensus::Persist>(effect)) {
    out.emplace_back(Persist{});
  } else if (const auto* send = std::get_if<consensus::Send>(&effect)) {
    out.emplace_back(SendToStore{send->to, send->message});
  } else if (std::holds_alternative<consensus::Committed>(effect)) {
    committed(now, out);
  } else if (std::holds_alternative<consensus::Led>(effect)) {
    leadershipGained(now, out);
  } else if (std::holds_alternative<consensus::Stepped>(effect)) {
    leadershipLost(out);
  } else if (const auto* confirmed = std::get_if<consensus::Confirmed>(&effect)) {
    roundConfirmed(confirmed->round, now, out);
  }
}

void Service::committed(Time now, Effects& out) {
  unpack(core_.record().state, state_);
  stateIndex_ = core_.committed();
  ownerAgreed(now, out);
  for (const JudgedOrder& order : std::exchange(underWay_, {})) send(order.reader, order.response, out);
  for (const auto& member : core_.record().members) out.emplace_back(DialStore{member.ip});
  if (core_.leads()) pushConfigUpdate(out);
}

void Service::leadershipGained(Time now, Effects& out) {
  out.emplace_back(LeadershipGained{core_.record().term, core_.record().index});
  lease_.lead(state_.owner, now);
  nextOwner_.reset();
  sendToAll(leaderConfirmation(now, 0), out);
}

// Whether what was under way lasts is not known here: the links' ends say so, as no clear answer.
void Service::leadershipLost(Effects& out) {
  out.emplace_back(LeadershipLost{core_.record().term});
  underWay_.clear();
  unchanging_.clear();
  orders_.clear();
  reads_.clear();
  leases_.clear();
  nextOwner_.reset();
  for (const auto& [reader, known] : readers_) out.emplace_back(CloseReader{reader});
  readers_.clear();
}

void Service::roundConfirmed(std::uint64_t round, Time now, Effects& out) {
  if (!core_.leads()) return;
  std::erase_if(reads_, [&](const PendingRead& read) {
    if (read.round > round) return false;
    send(read.reader, rpc::CommandResponse{read.number, 200, state_.configuration, true}, out);
    return true;
  });
  std::erase_if(leases_, [&](const PendingLease& asked) {
    if (asked.round > round) return false;
    answerLease(asked, now, out);
    return true;
  });
  std::erase_if(unchanging_, [&](const UnchangingOrder& waiting) {
    if (waiting.round > round) return false;
    send(waiting.order.reader, waiting.order.response, out);
    return true;
  });
  for (auto& [id, reader] : readers_) answerQuestions(id, reader, round, now, out);
  if (std::exchange(hintIsDue_, false)) sendToAll(leaderConfirmation(now, 0), out);
}

// All that waits becomes one entry, each order judged on top of those before it. What changes nothing costs
// no entry: where none of the batch does, it is answered once a round that begins now is confirmed, so that
// the state it was judged by was the newest one.
void Service::judgeWaiting(Time now, Effects& out) {
  if ((orders_.empty() && !nextOwner_) || !core_.mayPropose()) return;
  State next = state_;
  const std::uint64_t entry = core_.record().index + 1;
  bool changes = nextOwner_.has_value();
  if (nextOwner_)
    next.owner = {nextOwner_->request.ip, nextOwner_->request.incarnation, state_.owner.epoch + 1};
  std::vector<JudgedOrder> judgedOrders;
  for (const WaitingOrder& order : std::exchange(orders_, {})) {
    const Judged judged = apply(next, order.request, entry, regions_);
    out.emplace_back(OrderJudged{order.request.what, judged.subject, judged.status, judged.text});
    judgedOrders.push_back({order.reader, {order.request.number, judged.status, judged.text, true}});
    changes = changes || judged.changes;
  }
  if (changes) {
    underWay_ = std::move(judgedOrders);
    return translate(core_.propose(pack(next), now), now, out);
  }
  std::vector<consensus::Effect> effects;
  const std::uint64_t round = core_.confirm(now, effects);
  for (JudgedOrder& order : judgedOrders) unchanging_.push_back({round, std::move(order)});
  translate(effects, now, out);
}

// --- What readers ask ---

void Service::on(ReaderId reader, const rpc::CommandRequest& request, Time now, Effects& out) {
  if (!core_.leads()) return send(reader, rpc::CommandResponse{request.number, 503, "does not lead"}, out);
  orders_.push_back({reader, request});
  judgeWaiting(now, out);
}

void Service::on(ReaderId reader, const rpc::ReadRequest& request, Time now, Effects& out) {
  if (!core_.leads()) return send(reader, rpc::CommandResponse{request.number, 503, "does not lead"}, out);
  std::vector<consensus::Effect> effects;
  const std::uint64_t round = core_.confirm(now, effects);
  reads_.push_back({round, reader, request.number});
  translate(effects, now, out);
}

void Service::on(ReaderId reader, const rpc::LeaseRequest& request, Time now, Effects& out) {
  if (!core_.leads()) return;
  const PendingLease asked{core_.nextRound(), reader, request};
  // What the owner asks waits for the next heartbeat; a change of it is confirmed by its being agreed on.
  if (request.incarnation == state_.owner.incarnation) return leases_.push_back(asked);
  answerLease(asked, now, out);
  judgeWaiting(now, out);
}

// The first question of a reader begins a round at once, later ones wait for the next heartbeat.
void Service::on(ReaderId id, const rpc::ConfirmationRequest& request, Time now, Effects& out) {
  if (!core_.leads()) return;
  Reader& reader = readers_.at(id);
  if (std::exchange(reader.hasAsked, true)) {
    const std::uint64_t round = core_.nextRound();
    if (!reader.questions.empty() && reader.questions.back().round == round)
      reader.questions.back().number = request.number;
    else
      reader.questions.push_back({round, request.number});
    return;
  }
  std::vector<consensus::Effect> effects;
  reader.questions.push_back({core_.confirm(now, effects), request.number});
  translate(effects, now, out);
}

// --- The lease of the registries' duties ---

void Service::answerLease(const PendingLease& asked, Time now, Effects& out) {
  if (nextOwner_) return sendLease(asked, 0, out);  // also to the owner: it may be none in a moment
  const rpc::LeaseRequest& request = asked.request;
  const lease::Applicant applicant{request.ip, request.incarnation, request.epoch, request.wants};
  const auto decision = lease_.ask(state_.owner, applicant, now);
  if (decision == lease::LeaseGrantor::Decision::grant)
    sendLease(asked, lease::kLeaseSpan, out);
  else if (decision == lease::LeaseGrantor::Decision::agree)
    nextOwner_ = asked;  // proposed with the next entry
  else
    sendLease(asked, 0, out);
}

void Service::sendLease(const PendingLease& asked, double span, Effects& out) {
  send(asked.reader, rpc::LeaseResponse{asked.request.number, span, state_.owner.epoch}, out);
}

// It is the owner that all agree on now, and nobody else was granted anything since it asked.
void Service::ownerAgreed(Time now, Effects& out) {
  if (!nextOwner_ || state_.owner.incarnation != nextOwner_->request.incarnation) return;
  lease_.granted(now);
  sendLease(*nextOwner_, lease::kLeaseSpan, out);
  nextOwner_.reset();
  hintIsDue_ = true;
}

// --- What readers are told ---

void Service::send(ReaderId reader, ReaderMessage message, Effects& out) {
  if (readers_.contains(reader)) out.emplace_back(SendToReaders{{reader}, std::move(message)});
}

void Service::sendToAll(ReaderMessage message, Effects& out) {
  if (readers_.empty()) return;
  std::vector<ReaderId> all;
  for (const auto& [reader, known] : readers_) all.push_back(reader);
  out.emplace_back(SendToReaders{std::move(all), std::move(message)});
}

// Data, no confirmation: to those only that have been told a confirmed state on this link.
void Service::pushConfigUpdate(Effects& out) {
  std::vector<ReaderId> told;
  for (auto& [id, reader] : readers_) {
    if (reader.updateIndex == 0) continue;
    reader.updateTerm = core_.record().term;
    reader.updateIndex = stateIndex_;
    told.push_back(id);
  }
  if (!told.empty()) out.emplace_back(SendToReaders{std::move(told), configUpdate()});
}

// `round` is confirmed: the newest question that it covers is answered, after the state where it is another
// one than the reader has been sent.
void Service::answerQuestions(ReaderId id, Reader& reader, std::uint64_t round, Time now, Effects& out) {
  std::uint64_t newest = 0;
  std::erase_if(reader.questions, [&](const Question& question) {
    if (question.round > round) return false;
    newest = question.number;
    return true;
  });
  if (newest == 0) return;
  sendConfigUpdate(id, reader, out);
  send(id, leaderConfirmation(now, newest), out);
}

void Service::sendConfigUpdate(ReaderId id, Reader& reader, Effects& out) {
  const std::uint64_t term = core_.record().term;
  const std::uint64_t index = stateIndex_;
  if (reader.updateTerm == term && reader.updateIndex == index) return;
  reader.updateTerm = term;
  reader.updateIndex = index;
  send(id, configUpdate(), out);
}

std::vector<std::string> Service::storeIps() const {
  std::vector<std::string> out;
  for (const auto& member : core_.record().members) out.push_back(member.ip);
  return out;
}

rpc::ConfigUpdate Service::configUpdate() const {
  std::vector<std::string> zones;
  for (const auto& [zone, count] : state_.evacuated) zones.push_back(zone);
  return {core_.record().term, stateIndex_, state_.configuration,
          std::move(zones),    storeIps(),  state_.proxies};
}

rpc::LeaderConfirmation Service::leaderConfirmation(Time now, std::uint64_t number) const {
  const std::string holder = lease_.busy(now) ? state_.owner.ip : std::string();
  return {core_.record().term, stateIndex_, holder, state_.owner.epoch, storeIps(), number};
}

}  // namespace burlwind::config_store
