// The data plane of one edge machine: takes clients' requests, decides each at once, sends it to a worker and
// answers truthfully. Here the parts are wired: clients' side, routing, quotas, forwarding, and the sessions
// with the registries that bring configuration, workers and tokens.
//
// What a status promises: 429, 503, 408 and 421 are sent only for requests that have run nowhere and never
// will; what may have run and has no whole answer gets 502 or 504. Nothing that is given up is held.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "config/configuration.hpp"
#include "config/settings.hpp"
#include "load_balancing/core.hpp"
#include "node/budget.hpp"
#include "proxy/client_server.hpp"
#include "proxy/forwarder.hpp"
#include "proxy/session.hpp"
#include "proxy/token_gate.hpp"

namespace burlwind::proxy {

class Proxy {
 public:
  Proxy(asio::io_context& io, config::Settings settings);
  void adopt(const config::Settings& settings);  // what a running program may take of a changed file
  Error start();  // takes its addresses; nothing is served before it has a configuration
  void leave();   // SIGTERM: serves what it has, takes little more, ends the loop
  bool ready() const;
  // Prometheus text format.
  std::string metrics() const { return departures_->text() + answerFigures_->text() + tokens_.metrics(); }

 private:
  Sessions::Hooks hooks();
  asio::awaitable<void> handle(ClientRequest& request);
  void takeConfigUpdate(const rpc::ConfigUpdate& update);
  void takeProxyCounts();
  rpc::Status status() const;
  double draw();  // from 0 to under 1
  void tick();
  void finishLeaving(double now);
  void report(double now);

  asio::io_context& io_;
  config::Settings settings_;
  std::shared_ptr<const config::Configuration> configuration_;
  std::uint64_t index_ = 0;       // of the configuration in force
  std::uint64_t unreadable_ = 0;  // of the last one that didn't read
  Sessions sessions_;
  const std::shared_ptr<AnswerBudget> answerBudget_;
  load_balancing::Core balancer_;
  const std::shared_ptr<DepartureFigures> departures_ = std::make_shared<DepartureFigures>();
  const std::shared_ptr<AnswerFigures> answerFigures_ = std::make_shared<AnswerFigures>();
  Forwarder forwarder_;
  TokenGate tokens_;
  const std::shared_ptr<Budget> bytes_;  // of requests
  ClientServer clients_;
  asio::steady_timer timer_;
  std::mt19937_64 random_;
  std::map<std::string, unsigned> proxies_;  // known, by zone
  double startedAt_ = 0, lastTick_ = 0, reportAt_ = 0, leaveAt_ = 0;
  bool leaving_ = false;
};

}  // namespace burlwind::proxy
