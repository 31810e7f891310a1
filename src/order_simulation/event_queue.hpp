// Virtual time: events in order of their time, and of their coming where times are equal.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace burlwind::order_simulation {

class EventQueue {
 public:
  double now() const { return now_; }  // ms
  void after(double span, std::function<void()> action) {
    events_.emplace(std::pair(now_ + span, ++sequence_), std::move(action));
  }
  void runUntil(double end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }

 private:
  std::map<std::pair<double, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t sequence_ = 0;
  double now_ = 0;
};

}  // namespace burlwind::order_simulation
