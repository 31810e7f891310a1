// Connections to checkers: one check at a time on each, and what stands idle between checks. What it is told
// by a checker that it cannot read, or that is too much, is a fault; it never waits for longer than it is
// let.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "auth/convention.hpp"

namespace burlwind::auth {

class Checkers {
 public:
  struct Limits {
    std::chrono::milliseconds idleFor{10000};
    std::size_t idlePerChecker = 32;
  };
  // Once for each check that was started and not abandoned, never from within `start`. `reply` where there is
  // one, else `fault`.
  using Ended = std::function<void(CheckId, Reply* reply, Fault fault)>;

  Checkers(boost::asio::io_context& io, std::vector<boost::asio::ip::tcp::endpoint> addresses,
           const Limits& limits, Ended ended);
  ~Checkers();
  Checkers(const Checkers&) = delete;
  Checkers& operator=(const Checkers&) = delete;

  // `fresh`: on a new connection, whatever stands idle.
  void start(CheckId check, std::size_t checker, std::shared_ptr<const std::string> text, bool fresh);
  // Closes the connection that the check is out on; `ended` is not called for it.
  void abandon(CheckId check);

 private:
  class Line;
  using Shared = std::shared_ptr<Line>;
  Shared takeIdle(std::size_t checker);
  void finish(Line& line, bool keep, Reply* reply, Fault fault);
  void drop(Line& line);

  boost::asio::io_context& io_;
  const std::vector<boost::asio::ip::tcp::endpoint> addresses_;
  const Limits limits_;
  const Ended ended_;
  std::vector<std::vector<Shared>> idle_;  // by checker, the most recent last
  std::unordered_map<CheckId, Shared> busy_;
};

}  // namespace burlwind::auth
