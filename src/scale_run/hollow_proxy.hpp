// A proxy without clients and workers: the real session with a registry (proxy/session.hpp), the real cache
// of quota tokens, and requests that are only let in or refused. It acknowledges configurations and lists of
// workers by number and keeps neither. Many live in one process and on one loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>

#include "distributed_quota/token_cache.hpp"
#include "proxy/session.hpp"
#include "scale_run/fleet_plan.hpp"

namespace burlwind::scale_run {

class HollowProxy {
 public:
  HollowProxy(boost::asio::io_context& io, const FleetPlan& plan, unsigned number);
  void start();
  bool inTouch() const;

  // What it has: the newest configuration and change of the list, and when (ms, steady) they came.
  std::uint64_t configIndex() const { return configIndex_; }
  double configAt() const { return configAt_; }
  std::uint64_t listChange() const { return listChange_; }
  double listChangeAt() const { return listChangeAt_; }

  struct Requests {
    std::uint64_t letIn = 0, refused = 0;
  };
  const Requests& requests() const { return requests_; }

 private:
  struct Waiting {
    std::size_t tenant = 0;
    double until = 0;
  };
  proxy::Sessions::Hooks hooks();
  rpc::Status status() const;
  void takeWorkers(const rpc::Workers& workers);
  void takeTokens(const rpc::TokenResponse& response);
  void askTokens();
  void tick();
  void tickIn(double ms);
  void request(double at);
  void resumeWaiting(double at);

  const FleetPlan& plan_;
  const config::Settings settings_;
  std::mt19937_64 random_;
  proxy::Sessions sessions_;
  distributed_quota::TokenCache tokens_;
  boost::asio::steady_timer timer_;
  // A timer that has run out calls its handler also after it is gone: the handler looks here first.
  const std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
  std::deque<Waiting> waiting_;
  Requests requests_;
  std::uint64_t configIndex_ = 0, listNumber_ = 0, listChange_ = 0;
  double configAt_ = 0, listChangeAt_ = 0, bornAt_ = 0, tickAt_ = 0, due_ = 0;
};

}  // namespace burlwind::scale_run
