#include "proxy/session_core.hpp"

#include <algorithm>
#include <set>
#include <type_traits>

namespace burlwind::proxy {
namespace {

constexpr double kSessionTimeout = 1300;       // ms without a message: another registry is tried
constexpr double kConfirmationTimeout = 2600;  // ms since the question that the leader confirmed
constexpr double kLinkTimeout = 450;           // ms until a trial has at least a link
constexpr double kStatusPause = 400;           // ms between two Status messages of this proxy
constexpr double kNearerPause = 2000;          // ms between two tries of a nearer one

}  // namespace

const std::string& SessionCore::currentIp() const {
  static const std::string none;
  return current_ ? current_->ip : none;
}

SessionCore::Session* SessionCore::find(SessionId id) {
  if (current_ && current_->id == id) return &*current_;
  const auto found =
      std::find_if(trials_.begin(), trials_.end(), [&](const Session& s) { return s.id == id; });
  return found == trials_.end() ? nullptr : &*found;
}

bool SessionCore::good(const Session& s, double now) const {
  const bool lacksNothing = s.hasUpdate || (s.contentIndex > 0 && s.contentIndex <= index_);
  return s.isLinked && lacksNothing && s.hasWorkers && now - s.heardAt < kSessionTimeout &&
         now - s.confirmedFrom < kConfirmationTimeout;
}

distributed_quota::Contact SessionCore::contact(double now) const {
  using distributed_quota::Contact;
  if (inTouch(now)) return Contact::held;
  const bool mayCount =
      current_ && current_->isLinked && now - current_->confirmedFrom < kConfirmationTimeout;
  return mayCount ? Contact::unsure : Contact::lost;
}

void SessionCore::open(const std::string& ip, double now, SessionEffects& out) {
  Session& trial = trials_.emplace_back();
  trial.id = ++ids_;
  trial.ip = ip;
  trial.openedAt = trialAt_ = now;
  out.push_back(OpenSession{trial.id, ip});
}

void SessionCore::closeOverdueTrials(double now, SessionEffects& out) {
  std::erase_if(trials_, [&](const Session& trial) {
    if (now - trial.openedAt <= (trial.isLinked ? kTrialTimeout : kLinkTimeout)) return false;
    registries_.failed(trial.ip, now);
    out.push_back(CloseSession{trial.id});
    return true;
  });
}

// The current session's own link is dialled again by itself, beside the trials.
void SessionCore::openTrial(double now, SessionEffects& out) {
  if (trials_.size() >= kMostTrials || now - trialAt_ < kTrialPause) return;
  std::set<std::string> open;
  if (current_) open.insert(current_->ip);
  for (const Session& trial : trials_) open.insert(trial.ip);
  if (const std::string ip = registries_.next(open, now); !ip.empty()) this->open(ip, now, out);
}

void SessionCore::openNearer(double now, SessionEffects& out) {
  if (!trials_.empty() || now < nearerAt_) return;
  nearerAt_ = now + kNearerPause;
  if (const std::string ip = registries_.nearer(current_->ip, now); !ip.empty()) open(ip, now, out);
}

SessionEffects SessionCore::tick(double now) {
  SessionEffects out;
  closeOverdueTrials(now, out);
  if (inTouch(now))
    openNearer(now, out);
  else
    openTrial(now, out);
  if (now >= statusAt_)
    for (auto& effect : statusNow(now)) out.push_back(std::move(effect));
  return out;
}

SessionEffects SessionCore::linked(SessionId id, double now) {
  SessionEffects out;
  Session* const session = find(id);
  if (!session) return out;
  session->isLinked = true;
  sendStatus(*session, now, out);
  return out;
}

// The next link begins with everything.
void SessionCore::unlinked(SessionId id) {
  Session* const session = find(id);
  if (!session) return;
  session->isLinked = session->hasUpdate = session->hasWorkers = false;
  session->contentIndex = 0;
  session->statuses.clear();
  session->update.reset();
  session->cores.reset();
  session->query.reset();
  session->workers.clear();
}

SessionEffects SessionCore::statusNow(double now) {
  SessionEffects out;
  statusAt_ = now + kStatusPause;
  if (current_ && current_->isLinked) sendStatus(*current_, now, out);
  for (Session& trial : trials_)
    if (trial.isLinked) sendStatus(trial, now, out);
  return out;
}

void SessionCore::sendStatus(Session& session, double now, SessionEffects& out) {
  std::erase_if(session.statuses, [&](const auto& sent) { return now - sent.second > kConfirmationTimeout; });
  session.statuses[++statusNumber_] = now;
  out.push_back(SendStatus{session.id, statusNumber_});
}

void SessionCore::restart(Session& session, SessionEffects& out) {
  out.push_back(RestartLink{session.id});
  unlinked(session.id);
}

SessionEffects SessionCore::arrived(SessionId id, FromRegistry message, double now) {
  SessionEffects out;
  Session* const session = find(id);
  if (!session || !session->isLinked) return out;
  session->heardAt = now;
  std::visit(
      [&](auto& m) {
        using Message = std::decay_t<decltype(m)>;
        if constexpr (std::is_same_v<Message, rpc::Heartbeat>)
          on(*session, m);
        else if constexpr (std::is_same_v<Message, rpc::Cores>)
          on(*session, std::move(m), now, out);
        else
          on(*session, std::move(m), out);
      },
      message);
  if (!counts(*session) && good(*session, now)) promote(id, now, out);
  return out;
}

void SessionCore::on(Session& session, const rpc::Heartbeat& heartbeat) {
  const auto sent = session.statuses.find(heartbeat.number);
  if (sent == session.statuses.end()) return;
  if (heartbeat.confirmed) {
    session.contentIndex = heartbeat.index;
    session.confirmedFrom =
        std::max(session.confirmedFrom, sent->second - static_cast<double>(heartbeat.age));
  }
  // The newest one stays: where the registry becomes confirmed it says so by the same number again.
  session.statuses.erase(session.statuses.begin(), sent);
}

void SessionCore::on(Session& session, rpc::ConfigUpdate update, SessionEffects& out) {
  session.hasUpdate = true;
  if (counts(session))
    putInForce(std::move(update), out);
  else
    session.update = std::move(update);
}

// An earlier leader's word with a later index can't be, where both were committed: it is dropped all the
// same.
void SessionCore::putInForce(rpc::ConfigUpdate update, SessionEffects& out) {
  if (update.term < term_ || update.index <= index_) {
    dropped_ += update.index != index_;
    return;
  }
  term_ = update.term, index_ = update.index;
  out.push_back(std::move(update));
}

// A difference must join what the session has told before.
void SessionCore::on(Session& session, rpc::Workers workers, SessionEffects& out) {
  const bool joins = workers.whole || (session.hasWorkers && workers.term == session.workersEpoch &&
                                       workers.before == session.workersNumber);
  if (!joins) return restart(session, out);
  session.hasWorkers = true;
  session.workersEpoch = workers.term, session.workersNumber = workers.number;
  if (counts(session))
    putInForce(session, std::move(workers), out);
  else
    session.workers.push_back(std::move(workers));
}

void SessionCore::putInForce(Session& session, rpc::Workers workers, SessionEffects& out) {
  const std::pair told(workers.term, workers.number);
  const std::pair held(workersEpoch_, workersNumber_);
  const bool readAtStart = workers.term == 0 && workersEpoch_ == 0;
  if (told <= held && !(workers.whole && readAtStart)) {
    dropped_ += told != held;
    return;
  }
  if (!workers.whole && held != std::pair(workers.term, workers.before)) return restart(session, out);
  workersEpoch_ = workers.term, workersNumber_ = workers.number;
  out.push_back(std::move(workers));
}

// A registry that isn't confirmed may be right about who is there besides, not about who is gone.
void SessionCore::on(Session& session, rpc::Cores cores, double now, SessionEffects& out) {
  if (counts(session)) return putInForce(std::move(cores), now, out);
  for (const rpc::Core& registry : cores.cores) registries_.mention(registry, now);
  session.cores = std::move(cores);
}

void SessionCore::putInForce(rpc::Cores cores, double now, SessionEffects& out) {
  registries_.setListed(cores.version, cores.cores, now);
  out.push_back(std::move(cores));
}

// A trial was asked for nothing.
void SessionCore::on(const Session& session, rpc::TokenResponse tokens, SessionEffects& out) {
  if (counts(session)) out.push_back(std::move(tokens));
}

// What is told on another session than the one that counts would be told to a registry that is left.
void SessionCore::on(Session& session, const rpc::UsageQuery& query, SessionEffects& out) {
  if (counts(session))
    out.push_back(query);
  else
    session.query = query;
}

// The trial counts from now on, and what it has told comes into force.
void SessionCore::promote(SessionId id, double now, SessionEffects& out) {
  if (current_) out.push_back(CloseSession{current_->id});
  for (Session& trial : trials_) {
    if (trial.id == id)
      current_ = std::move(trial);
    else
      out.push_back(CloseSession{trial.id});
  }
  trials_.clear();
  registries_.succeeded(current_->ip);
  trialAt_ = -1e18;  // the next search begins without a pause
  if (auto cores = std::exchange(current_->cores, std::nullopt)) putInForce(std::move(*cores), now, out);
  if (auto update = std::exchange(current_->update, std::nullopt)) putInForce(std::move(*update), out);
  for (auto& workers : std::exchange(current_->workers, {})) putInForce(*current_, std::move(workers), out);
  if (const auto query = std::exchange(current_->query, std::nullopt)) out.push_back(*query);
  for (auto& effect : statusNow(now)) out.push_back(std::move(effect));
}

}  // namespace burlwind::proxy
