// Lets a tenant's requests in by its quota: asks the registry for tokens ahead of need, and holds a request
// back for a moment where a token is under way. What may be let in is decided in distributed_quota.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <optional>
#include <string>

#include "config/configuration.hpp"
#include "distributed_quota/token_cache.hpp"
#include "proxy/client_presence.hpp"
#include "rpc/messages.hpp"

namespace burlwind::proxy {

namespace asio = boost::asio;

class TokenGate {
 public:
  using Send = std::function<void(const rpc::TokenRequest&)>;
  // beganAt: ms, of this process. `ownPartChanged`: the registry must be told at once that this proxy spends
  // its own part from now on, or no longer.
  TokenGate(asio::io_context& io, double beganAt, Send send, std::function<void()> ownPartChanged)
      : io_(io), send_(std::move(send)), ownPartChanged_(std::move(ownPartChanged)), cache_(beganAt) {}
  struct Admission {
    bool admitted = false;
    std::optional<double> tokenEndsAt;  // ms, of a token that came off the stock
  };
  // Whether a request of that tenant may go on. chance: drawn from 0 to under 1. until: ms, its time is over.
  // A client that leaves while its request waits is refused at once, and takes no token.
  asio::awaitable<Admission> admit(const config::Tenant& tenant, double chance, double until,
                                   std::shared_ptr<ClientPresence> client);
  // The token of a request that was admitted from stock and has reached no worker.
  void giveBack(const std::string& tenant, double endsAt);
  void take(const rpc::TokenResponse& response);
  void request();  // what is due
  // A new holder of the quotas asks: its tokens are drawn on from now on.
  rpc::UsageReport usage();
  void setProxies(unsigned ceiling, double slack) { cache_.setProxies(ceiling, slack); }
  // `contact`: of the session with the registries.
  void tick(distributed_quota::Contact contact, double now);
  bool spendsOwnPart() const { return cache_.contact() != distributed_quota::Contact::held; }
  std::optional<double> firstGrantAt() const { return cache_.firstGrantAt(); }  // ms
  void report();  // logs the grants that were dropped since the last report, and pressing tenants' tokens
  std::string metrics() const;                               // Prometheus text format
  double lastAdmittedAt() const { return lastAdmittedAt_; }  // ms; 0: nobody yet

 private:
  struct Waiting {
    std::string tenant;
    asio::steady_timer* timer;  // of the coroutine that waits, which takes it out of the list
  };
  asio::io_context& io_;
  void update(double now);
  const Send send_;
  const std::function<void()> ownPartChanged_;
  distributed_quota::TokenCache cache_;
  distributed_quota::Contact sessionContact_ = distributed_quota::Contact::lost;
  std::list<Waiting> waiting_;
  double lastAdmittedAt_ = 0;
  std::uint64_t droppedTold_ = 0;
};

}  // namespace burlwind::proxy
