// Lets a tenant's requests in by its quota: asks the registry for tokens ahead of need, and holds a request
// back for a moment where a token is under way. What may be let in is decided in distributed_quota.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <string>

#include "config/configuration.hpp"
#include "distributed_quota/token_cache.hpp"
#include "rpc/messages.hpp"

namespace burlwind::proxy {

namespace asio = boost::asio;

class TokenGate {
 public:
  using Send = std::function<void(const rpc::TokenRequest&)>;
  TokenGate(asio::io_context& io, Send send) : io_(io), send_(std::move(send)) {}
  // Whether a request of that tenant may go on. chance: drawn from 0 to under 1. until: ms, its time is over.
  asio::awaitable<bool> admit(const config::Tenant& tenant, double chance, double until);
  void take(const rpc::TokenResponse& response);
  void request();  // what is due
  void setProxies(unsigned known, double slack) { cache_.setProxies(known, slack); }
  // inTouch: with a registry that hears the store's leader.
  void tick(bool inTouch, double now);
  void report();  // logs the grants that were dropped since the last report
  double firstAdmittedAt() const { return firstAdmittedAt_; }  // ms; 0: nobody yet

 private:
  struct Waiting {
    std::string tenant;
    asio::steady_timer* timer;  // of the coroutine that waits, which takes it out of the list
  };
  asio::io_context& io_;
  const Send send_;
  distributed_quota::TokenCache cache_;
  std::list<Waiting> waiting_;
  double firstAdmittedAt_ = 0;
  std::uint64_t droppedTold_ = 0;
};

}  // namespace burlwind::proxy
