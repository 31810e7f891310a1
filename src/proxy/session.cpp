#include "proxy/session.hpp"

#include <utility>

#include "program/log.hpp"
#include "program/start.hpp"

namespace burlwind::proxy {
namespace {

using program::now;

constexpr double kSessionTimeout = 1300;       // ms without a word: another registry is tried
constexpr double kConfirmationTimeout = 1600;  // ms without the leader's word
constexpr double kReached = 450;               // ms until a trial has at least a link
constexpr double kTrial = 900;                 // ms that a trial has to come up
constexpr double kStatus = 500;                // ms between two words of this proxy
constexpr double kNearer = 2000;               // ms between two tries of a nearer one
constexpr double kFailed = 1500;               // ms that one that failed comes last

}  // namespace

Sessions::Sessions(asio::io_context& io, const config::Settings& settings, Hooks hooks)
    : io_(io), settings_(settings), hooks_(std::move(hooks)) {
  std::random_device device;
  random_.seed(std::uint64_t{device()} << 32 | device());
  incarnation_ = random_() | 1;
  meetSeeds();
}

// A dialer and its link hold each other until it is closed.
Sessions::~Sessions() {
  for (const auto& session : {current_, trial_})
    if (session) session->dialer->close();
}

void Sessions::meetSeeds() {
  for (const auto& seed : settings_.seeds) cores_.try_emplace(seed.ip, rpc::Core{seed.ip, "", ""});
}

void Sessions::start() { tick(now()); }

bool Sessions::good(const Session& s, double at) const {
  return s.dialer->link() && s.news && s.workers && at - s.heard < kSessionTimeout &&
         at - s.confirmed < kConfirmationTimeout;
}

bool Sessions::inTouch(double at) const { return current_ && good(*current_, at); }

unsigned Sessions::distance(const std::string& ip) const {
  const auto found = cores_.find(ip);
  if (found == cores_.end() || found->second.zone.empty()) return 2;
  if (found->second.zone == settings_.zone) return 0;
  return found->second.region == settings_.region ? 1 : 2;
}

// The nearest that has not failed of late, by chance among equals.
std::string Sessions::next() {
  std::string best;
  std::pair<bool, unsigned> bestRank;
  unsigned ties = 0;
  for (const auto& [ip, core] : cores_) {
    if (current_ && current_->ip == ip && current_->dialer->link()) continue;
    const auto failed = failedAt_.find(ip);
    const std::pair rank(failed != failedAt_.end() && now() - failed->second < kFailed, distance(ip));
    if (best.empty() || rank < bestRank)
      best = ip, bestRank = rank, ties = 1;
    else if (rank == bestRank && random_() % ++ties == 0)
      best = ip;
  }
  return best;
}

void Sessions::open(const std::string& ip, double at) {
  auto session = std::make_shared<Session>();
  session->ip = ip;
  session->since = at;
  session->dialer =
      std::make_shared<rpc::Dialer>(io_, ip, static_cast<std::uint16_t>(settings_.portFrom + 1));
  trial_ = session;
  trialAt_ = at;
  const std::string front =
      settings_.front ? settings_.front->ip + ":" + std::to_string(settings_.front->port) : std::string();
  const std::weak_ptr<Session> weak = session;
  session->dialer->start(
      [this, front](std::shared_ptr<rpc::Link> link) {
        link->tell(rpc::Handshake{"proxy", settings_.name, settings_.ip, settings_.zone, settings_.region,
                                  incarnation_, front, settings_.linkMbps});
        link->tell(hooks_.status());
      },
      [this, weak](const rpc::Arrived& a) {
        if (const auto s = weak.lock()) arrived(s, a);
      },
      [weak] {
        if (const auto s = weak.lock()) s->news = s->workers = false;
      });
}

void Sessions::arrived(const SessionPtr& session, const rpc::Arrived& a) {
  const double at = now();
  session->heard = at;
  if (rpc::Heartbeat b; a.kind == rpc::kHeartbeat && a.read(b)) {
    if (b.confirmed) session->confirmed = at;
  } else if (rpc::ConfigUpdate n; a.kind == rpc::kConfigUpdate && a.read(n)) {
    session->news = true;
    hooks_.news(n);
    if (session == current_) tellStatus();
  } else if (rpc::Workers w; a.kind == rpc::kWorkers && a.read(w)) {
    // A list counts from the session that counts, or from one that comes up with a whole one.
    const bool joins =
        w.whole || (session->workers && w.term == session->workersTerm && w.before == session->workersNumber);
    if (!joins) {
      if (session->dialer->link()) session->dialer->link()->close();
      return;
    }
    session->workers = true;
    session->workersTerm = w.term, session->workersNumber = w.number;
    if (session == current_)
      hooks_.workers(w);
    else
      session->early.push_back(std::move(w));
  } else if (rpc::Cores c; a.kind == rpc::kCores && a.read(c)) {
    for (const auto& core : c.cores) cores_[core.ip] = core;
    hooks_.cores(c);
  } else if (rpc::TokenResponse t; a.kind == rpc::kTokenResponse && a.read(t)) {
    hooks_.tokens(t);
  }
  if (session == trial_ && good(*session, at)) {
    program::info("session", {{"registry", session->ip}});
    if (current_) current_->dialer->close();
    current_ = std::move(trial_);
    trial_.reset();
    // Not before: a trial that fails may have told an old list, and nothing would tell what it took back.
    for (const auto& early : std::exchange(current_->early, {})) hooks_.workers(early);
    tellStatus();
  }
}

void Sessions::tick(double at) {
  if (trial_ && at - trialAt_ > (trial_->dialer->link() ? kTrial : kReached)) {
    failedAt_[trial_->ip] = at;
    trial_->dialer->close();
    trial_.reset();
  }
  const bool well = inTouch(at);
  if (!well && !trial_) {
    if (const std::string ip = next(); !ip.empty()) open(ip, at);
  } else if (well && !trial_ && at >= nearerAt_) {
    nearerAt_ = at + kNearer;
    const std::string ip = next();
    if (!ip.empty() && distance(ip) < distance(current_->ip) &&
        !(failedAt_.contains(ip) && at - failedAt_[ip] < 10 * kFailed))
      open(ip, at);
  }
  if (at >= statusAt_) tellStatus();
}

void Sessions::tell(const std::string& frame) {
  if (current_ && current_->dialer->link()) current_->dialer->link()->send(frame);
}

void Sessions::tellStatus() {
  statusAt_ = now() + kStatus;
  const std::string frame = rpc::frame(hooks_.status());
  tell(frame);
  if (trial_ && trial_->dialer->link()) trial_->dialer->link()->send(frame);
}

}  // namespace burlwind::proxy
