// A deadline on something that may end before. A timer's cancel does not take back a handler that the loop
// has already queued: two things that become ready in one turn would both happen. Here a deadline that was
// disarmed, or armed anew, never fires for what it was armed for before.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace burlwind::program {

class Deadline {
 public:
  explicit Deadline(boost::asio::io_context& io) : timer_(io) {}
  // Calls `passed` from the loop after `ms`, unless it is disarmed, armed anew or destroyed before.
  void arm(double ms, std::function<void()> passed) {
    const std::uint64_t mine = ++*generation_;
    timer_.expires_after(std::chrono::microseconds(static_cast<long>(std::max(0.0, ms) * 1000)));
    timer_.async_wait([mine, generation = std::weak_ptr<std::uint64_t>(generation_),
                       passed = std::move(passed)](const boost::system::error_code& cancelled) {
      const auto current = generation.lock();
      if (!cancelled && current && *current == mine) passed();
    });
  }
  void disarm() {
    ++*generation_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  std::shared_ptr<std::uint64_t> generation_ = std::make_shared<std::uint64_t>(0);
};

}  // namespace burlwind::program
