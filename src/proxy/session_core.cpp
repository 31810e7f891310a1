#include "proxy/session_core.hpp"

#include <algorithm>
#include <type_traits>

namespace burlwind::proxy {
namespace {

constexpr double kSessionTimeout = 1300;       // ms without a word: another registry is tried
constexpr double kConfirmationTimeout = 2600;  // ms since the question that the leader confirmed
constexpr double kLinkWithin = 450;            // ms until a trial has at least a link
constexpr double kTrialWithin = 900;           // ms that a trial has to become good
constexpr double kStatusPause = 400;           // ms between two words of this proxy
constexpr double kNearerPause = 2000;          // ms between two tries of a nearer one
constexpr double kFailedFor = 1500;            // ms that one that failed comes last
constexpr double kFailedNearerFor = 10 * kFailedFor;

}  // namespace

const std::string& SessionCore::currentIp() const {
  static const std::string none;
  return current_ ? current_->ip : none;
}

SessionCore::Session* SessionCore::find(SessionId id) {
  if (current_ && current_->id == id) return &*current_;
  if (trial_ && trial_->id == id) return &*trial_;
  return nullptr;
}

bool SessionCore::good(const Session& s, double now) const {
  return s.isLinked && s.hasUpdate && s.hasWorkers && now - s.heardAt < kSessionTimeout &&
         now - s.confirmedFrom < kConfirmationTimeout;
}

unsigned SessionCore::distance(const std::string& ip) const {
  const auto found = registries_.find(ip);
  if (found == registries_.end() || found->second.zone.empty()) return 2;
  if (found->second.zone == self_.zone) return 0;
  return found->second.region == self_.region ? 1 : 2;
}

// The nearest that has not failed of late, by chance among equals.
std::string SessionCore::next(double now) {
  std::string best;
  std::pair<bool, unsigned> bestRank;
  unsigned ties = 0;
  for (const auto& [ip, registry] : registries_) {
    if (current_ && current_->ip == ip && current_->isLinked) continue;
    const auto failed = failedAt_.find(ip);
    const std::pair rank(failed != failedAt_.end() && now - failed->second < kFailedFor, distance(ip));
    if (best.empty() || rank < bestRank)
      best = ip, bestRank = rank, ties = 1;
    else if (rank == bestRank && random_() % ++ties == 0)
      best = ip;
  }
  return best;
}

void SessionCore::open(const std::string& ip, double now, SessionEffects& out) {
  trial_ = Session{};
  trial_->id = ++ids_;
  trial_->ip = ip;
  trial_->openedAt = now;
  out.push_back(OpenSession{trial_->id, ip});
}

SessionEffects SessionCore::tick(double now) {
  SessionEffects out;
  if (trial_ && now - trial_->openedAt > (trial_->isLinked ? kTrialWithin : kLinkWithin)) {
    failedAt_[trial_->ip] = now;
    out.push_back(CloseSession{trial_->id});
    trial_.reset();
  }
  const bool well = inTouch(now);
  if (!well && !trial_) {
    if (const std::string ip = next(now); !ip.empty()) open(ip, now, out);
  } else if (well && !trial_ && now >= nearerAt_) {
    nearerAt_ = now + kNearerPause;
    const std::string ip = next(now);
    const auto failed = failedAt_.find(ip);
    const bool failedOfLate = failed != failedAt_.end() && now - failed->second < kFailedNearerFor;
    if (!ip.empty() && distance(ip) < distance(current_->ip) && !failedOfLate) open(ip, now, out);
  }
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
  session->statuses.clear();
  session->update.reset();
  session->workers.clear();
}

SessionEffects SessionCore::statusNow(double now) {
  SessionEffects out;
  statusAt_ = now + kStatusPause;
  for (auto* session : {&current_, &trial_})
    if (*session && (*session)->isLinked) sendStatus(**session, now, out);
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
          on(std::move(m), out);
        else
          on(*session, std::move(m), out);
      },
      message);
  if (trial_ && trial_->id == id && good(*trial_, now)) promote(now, out);
  return out;
}

void SessionCore::on(Session& session, const rpc::Heartbeat& heartbeat) {
  const auto sent = session.statuses.find(heartbeat.number);
  if (sent == session.statuses.end()) return;
  if (heartbeat.confirmed)
    session.confirmedFrom =
        std::max(session.confirmedFrom, sent->second - static_cast<double>(heartbeat.age));
  // The newest one stays: where the registry becomes confirmed it says so by the same number again.
  session.statuses.erase(session.statuses.begin(), sent);
}

void SessionCore::on(Session& session, rpc::ConfigUpdate update, SessionEffects& out) {
  session.hasUpdate = true;
  if (current_ && session.id == current_->id)
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
  if (current_ && session.id == current_->id)
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

void SessionCore::on(rpc::Cores cores, SessionEffects& out) {
  for (const auto& registry : cores.cores) registries_[registry.ip] = registry;
  out.push_back(std::move(cores));
}

// A trial was asked for nothing.
void SessionCore::on(const Session& session, rpc::TokenResponse tokens, SessionEffects& out) {
  if (current_ && session.id == current_->id) out.push_back(std::move(tokens));
}

// The trial counts from now on, and what it has told comes into force.
void SessionCore::promote(double now, SessionEffects& out) {
  if (current_) out.push_back(CloseSession{current_->id});
  current_ = std::exchange(trial_, std::nullopt);
  if (auto update = std::exchange(current_->update, std::nullopt)) putInForce(std::move(*update), out);
  for (auto& workers : std::exchange(current_->workers, {})) putInForce(*current_, std::move(workers), out);
  for (auto& effect : statusNow(now)) out.push_back(std::move(effect));
}

}  // namespace burlwind::proxy
