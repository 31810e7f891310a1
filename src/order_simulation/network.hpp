// Machines of the core with directed cuts between them, and one-way pipes that keep the order of what is
// sent, as TCP does: over a cut it waits, and a pipe that waits longer than kUserTimeout breaks.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "order_simulation/event_queue.hpp"

namespace burlwind::order_simulation {

class Network {
 public:
  static constexpr double kLeastDelay = 3;
  static constexpr double kMostDelay = 25;
  static constexpr double kUserTimeout = 1500;
  static constexpr double kRetransmission = 20;

  Network(EventQueue& events, std::mt19937_64& random) : events_(events), random_(random) {}
  void cut(unsigned from, unsigned to) { cuts_.emplace(from, to); }
  void heal(unsigned from, unsigned to) { cuts_.erase({from, to}); }
  void healAll() { cuts_.clear(); }
  bool isCut(unsigned from, unsigned to) const { return cuts_.contains({from, to}); }
  double delay() { return std::uniform_real_distribution<double>(kLeastDelay, kMostDelay)(random_); }
  EventQueue& events() { return events_; }

 private:
  EventQueue& events_;
  std::mt19937_64& random_;
  std::set<std::pair<unsigned, unsigned>> cuts_;
};

class Pipe : public std::enable_shared_from_this<Pipe> {
 public:
  Pipe(Network& network, unsigned from, unsigned to, std::function<void()> broken)
      : network_(network), from_(from), to_(to), broken_(std::move(broken)) {}

  void send(std::function<void()> arrival) {
    if (closed_) return;
    lastDue_ = std::max(lastDue_, network_.events().now() + network_.delay());
    waiting_.push_back({lastDue_, std::move(arrival)});
    wake(lastDue_ - network_.events().now());
  }
  void close() {
    closed_ = true;
    waiting_.clear();
  }
  bool open() const { return !closed_; }

 private:
  struct Item {
    double due;
    std::function<void()> arrival;
  };
  void wake(double span) {
    network_.events().after(span, [self = shared_from_this()] { self->pump(); });
  }
  void pump() {
    const double now = network_.events().now();
    while (!closed_ && !waiting_.empty() && waiting_.front().due <= now) {
      if (network_.isCut(from_, to_)) {
        if (now - waiting_.front().due < Network::kUserTimeout) return wake(Network::kRetransmission);
        waiting_.clear();
        if (broken_) broken_();
        return;
      }
      const auto arrival = std::move(waiting_.front().arrival);
      waiting_.pop_front();
      arrival();
    }
  }
  Network& network_;
  const unsigned from_, to_;
  const std::function<void()> broken_;
  std::deque<Item> waiting_;
  double lastDue_ = 0;
  bool closed_ = false;
};

}  // namespace burlwind::order_simulation
