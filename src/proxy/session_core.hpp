// Which registry a proxy listens to, and what of its words comes into force: decisions only, no I/O, time and
// randomness handed in.
//
// One session counts at a time, the near registries first. While it is silent, or its registry's state is no
// longer known to be the newest, another one is tried beside it and takes over once it is good.
//
// Properties:
//  - What is in force never goes back: a configuration by term and index, the list of workers by epoch and
//    number. A list with epoch 0 (a registry read it for itself at its start) replaces only such a list.
//  - Nothing comes into force from a session before it has been good: linked, its registry confirmed by the
//    stores' leader, a configuration and a whole list received.
//  - A registry's word counts from when the Status was sent that it answers, less the age that it tells: what
//    waited in a buffer, or came while this process stood still, makes nothing fresher than it is.
// Cost: a map entry for each registry known; two sessions at most.
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

#include "rpc/messages.hpp"

namespace burlwind::proxy {

using SessionId = std::uint64_t;

struct Place {
  std::string zone, region;
};

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
                                   rpc::Workers, rpc::Cores, rpc::TokenResponse>;
using SessionEffects = std::vector<SessionEffect>;
using FromRegistry =
    std::variant<rpc::Heartbeat, rpc::ConfigUpdate, rpc::Workers, rpc::Cores, rpc::TokenResponse>;

class SessionCore {
 public:
  SessionCore(Place self, std::uint64_t seed) : self_(std::move(self)), random_(seed) {}

  void meet(const std::string& ip) { registries_.try_emplace(ip, rpc::Core{ip, "", ""}); }
  SessionEffects tick(double now);  // each 100 ms
  SessionEffects linked(SessionId id, double now);
  void unlinked(SessionId id);
  SessionEffects arrived(SessionId id, FromRegistry message, double now);
  SessionEffects statusNow(double now);  // this proxy has changed

  bool inTouch(double now) const { return current_ && good(*current_, now); }
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
    std::optional<rpc::ConfigUpdate> update;  // of a trial: in force once it counts
    std::deque<rpc::Workers> workers;         // the same
  };
  Session* find(SessionId id);
  bool good(const Session& session, double now) const;
  unsigned distance(const std::string& ip) const;
  std::string next(double now);
  void open(const std::string& ip, double now, SessionEffects& out);
  void on(Session& session, const rpc::Heartbeat& heartbeat);
  void on(Session& session, rpc::ConfigUpdate update, SessionEffects& out);
  void on(Session& session, rpc::Workers workers, SessionEffects& out);
  void on(const Session& session, rpc::TokenResponse tokens, SessionEffects& out);
  void on(rpc::Cores cores, SessionEffects& out);
  void putInForce(rpc::ConfigUpdate update, SessionEffects& out);
  void putInForce(Session& session, rpc::Workers workers, SessionEffects& out);
  void promote(double now, SessionEffects& out);
  void sendStatus(Session& session, double now, SessionEffects& out);
  void restart(Session& session, SessionEffects& out);

  const Place self_;
  std::mt19937_64 random_;
  std::map<std::string, rpc::Core> registries_;  // by ip; zone empty where not told yet
  std::map<std::string, double> failedAt_;       // by ip
  std::optional<Session> current_, trial_;
  SessionId ids_ = 0;
  std::uint64_t statusNumber_ = 0, dropped_ = 0;
  double statusAt_ = 0, nearerAt_ = 0;
  // In force.
  std::uint64_t term_ = 0, index_ = 0;
  std::uint64_t workersEpoch_ = 0, workersNumber_ = 0;
};

}  // namespace burlwind::proxy
