// Sessions of the proxies with this registry: who is linked, what each has told of itself, and what it is
// told of the configuration. The newest session of a proxy is the one that counts.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "registry/dialer_set.hpp"
#include "registry/leader_tracker.hpp"
#include "registry/proxy_feed.hpp"
#include "registry/registry.hpp"
#include "rpc/link.hpp"
#include "rpc/messages.hpp"

namespace burlwind::registry {

class ProxySessions {
 public:
  struct Hooks {
    std::function<void(const LinkPtr&)> welcome;  // a new session: tell it of workers and registries
    std::function<void()> changed;                // other registries must be told
    std::function<void(const rpc::TokenRequest&)> demand;
    std::function<void(const rpc::UsageReport&)> usage;
  };
  ProxySessions(Registry& registry, const LeaderTracker& tracker, Hooks hooks)
      : registry_(registry), tracker_(tracker), hooks_(std::move(hooks)) {}

  void greet(const LinkPtr& link, const rpc::Handshake& handshake, double now);
  // False where the link is no session.
  bool arrived(const LinkPtr& link, const rpc::Arrived& arrived, double now);
  void ended(const LinkPtr& link, double now);
  void closeSilent(double now);
  void broadcast(const std::string& frame);
  void publish(double now);         // the configuration, to those that lack it, where it may be told
  void sendHeartbeats(double now);  // to all, unasked
  void tell(const rpc::TokenResponse& response);  // to the proxy that it names, where it is here

 private:
  struct Session {
    rpc::ProxySession seat;
    std::uint64_t number = 0;  // grows with each
    double heard = 0;
    std::uint64_t index = 0, workers = 0;  // in force there
    ProxyFeed feed;
  };
  void presumeOwnPart(Session& session, double now);
  void onStatus(const LinkPtr& link, Session& session, const rpc::Status& status, double now);

  Registry& registry_;
  const LeaderTracker& tracker_;
  const Hooks hooks_;
  std::map<LinkPtr, Session> sessions_;
  std::uint64_t numbers_ = 0;
};

}  // namespace burlwind::registry
