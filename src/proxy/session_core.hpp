// Which registry a proxy listens to, and what of its words comes into force: decisions only, no I/O, time and
// randomness handed in.
//
// One session counts at a time, the near registries first. While it is silent, or its registry's state is no
// longer known to be the newest, others are tried beside it, up to kMostTrials at a time, and the first that
// is good takes over. Which one is tried next is decided in registry_selector.hpp.
//
// Properties:
//  - What is in force never goes back: a configuration by term and index, the list of workers by epoch and
//    number. A list with epoch 0 (a registry read it for itself at its start) replaces only such a list.
//  - Nothing comes into force from a session before it has been good: linked, its registry confirmed by the
//    stores' leader, a configuration and a whole list received.
//  - A registry's word counts from when the Status was sent that it answers, less the age that it tells: what
//    waited in a buffer, or came while this process stood still, makes nothing fresher than it is.
//  - With n registries known, of which one lives and is confirmed, a session with it is opened at most
//    n x kTrialPause after the last good one was lost, whatever the others do (kMostTrials trials may each
//    last kTrialTimeout, which is no more than kMostTrials x kTrialPause).
// Cost: a map entry for each registry known; 1 + kMostTrials sessions at most, and 2 while there is a good
// one.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "distributed_quota/token_cache.hpp"
#include "proxy/registry_selector.hpp"
#include "rpc/messages.hpp"

namespace burlwind::proxy {

using SessionId = std::uint64_t;

constexpr double kTrialPause = 250;    // ms between the beginnings of two trials
constexpr double kTrialTimeout = 900;  // ms that a trial has to become good
constexpr std::size_t kMostTrials = 4;
static_assert(kTrialTimeout <= kMostTrials * kTrialPause);

struct OpenSession {  // dial this registry, and again after each loss, until it is closed
  SessionId id = 0;
  std::string ip;
};
struct CloseSession {
  SessionId id = 0;
};
struct RestartLink {  // something is missing: a new link begins with everything
  SessionId id = 0;
};
struct SendStatus {
  SessionId id = 0;
  std::uint64_t number = 0;
};
using SessionEffect = std::variant<OpenSession, CloseSession, RestartLink, SendStatus, rpc::ConfigUpdate,
                                   rpc::Workers, rpc::Cores, rpc::TokenResponse, rpc::UsageQuery>;
using SessionEffects = std::vector<SessionEffect>;
using FromRegistry = std::variant<rpc::Heartbeat, rpc::ConfigUpdate, rpc::Workers, rpc::Cores,
                                  rpc::TokenResponse, rpc::UsageQuery>;

class SessionCore {
 public:
  SessionCore(Place self, std::uint64_t seed) : registries_(std::move(self), seed) {}

  // Those that the settings name now, by address.
  void setSeeds(const std::vector<std::string>& ips, double now) { registries_.setSeeds(ips, now); }
  SessionEffects tick(double now);  // each 100 ms
  SessionEffects linked(SessionId id, double now);
  void unlinked(SessionId id);
  SessionEffects arrived(SessionId id, FromRegistry message, double now);
  SessionEffects statusNow(double now);  // this proxy has changed

  bool inTouch(double now) const { return current_ && good(*current_, now); }
  // Whether the holder of the quotas may still count this proxy among those that draw on it. `lost`: the link
  // has ended, or the registry was not known to be confirmed for so long that it is counted no more.
  distributed_quota::Contact contact(double now) const;
  SessionId current() const { return current_ ? current_->id : 0; }  // 0: none
  const std::string& currentIp() const;
  std::uint64_t dropped() const { return dropped_; }  // messages that were behind what is in force

 private:
  struct Session {
    SessionId id = 0;
    std::string ip;
    bool isLinked = false, hasWorkers = false;
    double openedAt = 0, heardAt = -1e18, confirmedFrom = -1e18;
    std::map<std::uint64_t, double> statuses;           // sent on this link and not answered: number, when
    std::uint64_t workersEpoch = 0, workersNumber = 0;  // of the list as this session tells it
    bool hasUpdate = false;
    std::uint64_t contentIndex =
        0;  // from which on a proxy lacks no configuration, as told here; 0: not told
    std::optional<rpc::ConfigUpdate> update;  // of a trial: in force once it counts
    std::optional<rpc::Cores> cores;          // the same
    std::optional<rpc::UsageQuery> query;     // the same
    std::deque<rpc::Workers> workers;         // the same
  };
  Session* find(SessionId id);
  bool good(const Session& session, double now) const;
  bool counts(const Session& session) const { return current_ && session.id == current_->id; }
  void closeOverdueTrials(double now, SessionEffects& out);
  void openTrial(double now, SessionEffects& out);
  void openNearer(double now, SessionEffects& out);
  void open(const std::string& ip, double now, SessionEffects& out);
  void on(Session& session, const rpc::Heartbeat& heartbeat);
  void on(Session& session, rpc::ConfigUpdate update, SessionEffects& out);
  void on(Session& session, rpc::Workers workers, SessionEffects& out);
  void on(const Session& session, rpc::TokenResponse tokens, SessionEffects& out);
  void on(Session& session, const rpc::UsageQuery& query, SessionEffects& out);
  void on(Session& session, rpc::Cores cores, double now, SessionEffects& out);
  void putInForce(rpc::Cores cores, double now, SessionEffects& out);
  void putInForce(rpc::ConfigUpdate update, SessionEffects& out);
  void putInForce(Session& session, rpc::Workers workers, SessionEffects& out);
  void promote(SessionId id, double now, SessionEffects& out);
  void sendStatus(Session& session, double now, SessionEffects& out);
  void restart(Session& session, SessionEffects& out);

  RegistrySelector registries_;
  std::optional<Session> current_;
  std::vector<Session> trials_;  // oldest first
  SessionId ids_ = 0;
  std::uint64_t statusNumber_ = 0, dropped_ = 0;
  double statusAt_ = 0, nearerAt_ = 0, trialAt_ = -1e18;
  // In force.
  std::uint64_t term_ = 0, index_ = 0;
  std::uint64_t workersEpoch_ = 0, workersNumber_ = 0;
};

}  // namespace burlwind::proxy
