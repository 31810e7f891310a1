// Asks checkers whether clients' requests may go on: the core's decisions turned into socket work. It belongs
// to one gatekeeper and one thread.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "auth/checkers.hpp"

namespace burlwind::auth {

// Which requests are checked: the first route that names the request's class and plan. None does: it is
// checked and closed.
struct Route {
  std::vector<std::string> classes, plans;  // empty: all
  bool check = true;
  WhenDown whenDown = WhenDown::closed;
};

struct Asked {
  Terms terms;
  Settings settings;
  Checkers::Limits pool;
  std::vector<boost::asio::ip::tcp::endpoint> checkers;  // empty: nothing is checked
  std::vector<Route> routes;
  // What a client is told where no checker has said anything (Envoy's status_on_error). 503 and 429 say that
  // it may come again; any other is a failure. What is beyond the queue's bound is 503 whatever this says.
  unsigned errorStatus = 503;
  bool on() const { return !checkers.empty(); }
};

const Route& routeOf(const Asked& asked, const std::string& klass, const std::string& plan);

class Asking {
 public:
  // What was decided for a request; once for each that `ask` was called for and that has not left, maybe
  // before `ask` returns.
  using Decided = std::function<void(WaiterId, Told, const VerdictPtr&)>;

  Asking(boost::asio::io_context& io, const Asked& asked, Decided decided);
  ~Asking();

  void ask(WaiterId waiter, const Route& route, const Message& message, const std::string& from);
  void left(WaiterId waiter);
  const Core& core() const { return core_; }
  const Asked& asked() const { return asked_; }

 private:
  static Time now();
  void ended(CheckId check, Reply* reply, Fault fault);
  void carryOut(Todo&& todo);
  void arm();

  const Asked asked_;
  const Decided decided_;
  Core core_;
  Checkers checkers_;
  boost::asio::steady_timer timer_;
  std::optional<Time> armed_;  // when it will end
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burlwind::auth
