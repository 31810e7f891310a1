// The data plane of one edge machine: takes clients' requests, decides each at once, sends it to a worker and
// answers truthfully. Decisions stand in distributed_quota (quotas, budget), sorting (choice of worker) and
// address (routes, keys); here they meet the sockets.
//
// What a status promises: 429, 503, 408 and 421 are sent only for requests that have run nowhere and never
// will; what may have run and has no whole answer gets 502 or 504. Nothing that is given up is held.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "config/configuration.hpp"
#include "config/settings.hpp"
#include "distributed_quota/budget.hpp"
#include "distributed_quota/token_cache.hpp"
#include "load_balancing/core.hpp"
#include "node/budget.hpp"
#include "proxy/session.hpp"
#include "proxy/worker_side.hpp"

namespace burlwind::proxy {

class Proxy {
 public:
  Proxy(asio::io_context& io, config::Settings settings);
  void adopt(const config::Settings& settings);  // what a running program may take of a changed file
  Error start();  // takes its addresses; nothing is served before it has a configuration
  void leave();   // SIGTERM: serves what it has, takes little more, ends the loop
  bool ready() const;

 private:
  struct Client;
  using ClientPtr = std::shared_ptr<Client>;
  struct Job;  // one request on its way
  asio::awaitable<void> accept();
  asio::awaitable<void> serve(ClientPtr client);
  asio::awaitable<void> handle(Job& job);
  asio::awaitable<bool> takeToken(Job& job);
  asio::awaitable<void> forward(Job& job);
  bool route(Job& job);
  std::string outgoing(const Job& job, const std::string& worker, double left) const;
  void note(const std::string& worker, const Answer& answer);
  void takeConfigUpdate(const rpc::ConfigUpdate& news);
  void takeCounts();
  rpc::Status status() const;
  double draw();  // from 0 to under 1
  void askTokens();
  void takeTokens(const rpc::TokenResponse& say);
  void tick();
  void report(double now);
  static void reportTraffic();  // of its sessions, by kind of message

  asio::io_context& io_;
  config::Settings settings_;
  std::shared_ptr<const config::Configuration> configuration_;
  std::uint64_t index_ = 0;  // of the news in force
  Sessions sessions_;
  WorkerSide workers_;
  load_balancing::Core balancer_;
  distributed_quota::TokenCache tokenCache_;
  distributed_quota::TryBudget budget_;
  Budget bytes_;  // of bodies that are held whole, both ways
  Tcp::acceptor front_;
  asio::steady_timer timer_;
  std::list<std::pair<std::string, asio::steady_timer*>> waiting_;  // for word of a tenant's store
  std::mt19937_64 random_;
  std::set<ClientPtr> clients_;
  std::size_t working_ = 0;
  std::map<std::string, unsigned> proxies_;  // known, by zone
  std::uint64_t asks_ = 0;
  double lastTick_ = 0, askAt_ = 0, reportAt_ = 0, leaveAt_ = 0;
  double bornAt_ = 0, beganAt_ = 0;  // of the process; of its first request let in
  bool leaving_ = false;
  struct Sent {
    std::uint64_t count = 0, bytes = 0;
  } sent_[3];  // to workers of this zone, this region, others
  std::map<std::pair<int, std::string_view>, std::uint64_t> counts_;  // answers by status and reason
};

}  // namespace burlwind::proxy
