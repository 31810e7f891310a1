// A simulated process: what reaches it waits while it is frozen or blocked by a write, and is lost with it.
#pragma once

#include <deque>
#include <functional>
#include <utility>

namespace burlwind::order_simulation {

class Process {
 public:
  bool up() const { return up_; }
  bool awake() const { return up_ && !frozen_ && !blocked_; }
  unsigned incarnation() const { return incarnation_; }

  void start() {
    ++incarnation_;
    up_ = true;
    frozen_ = blocked_ = false;
  }
  void kill() {
    ++incarnation_;
    up_ = false;
    inbox_.clear();
    afterThaw_ = nullptr;
  }
  void freeze() { frozen_ = true; }
  void thaw() {
    if (!std::exchange(frozen_, false)) return;
    if (auto resume = std::exchange(afterThaw_, nullptr)) resume();
    drain();
  }
  void block() { blocked_ = true; }
  // The write is done; `resume` goes on with what it held up.
  void unblock(std::function<void()> resume) {
    if (frozen_) {
      afterThaw_ = [this, resume = std::move(resume)] { unblock(resume); };
      return;
    }
    blocked_ = false;
    resume();
    drain();
  }
  void deliver(std::function<void()> input) {
    if (!up_) return;
    inbox_.push_back(std::move(input));
    drain();
  }

 private:
  void drain() {
    while (awake() && !inbox_.empty()) {
      const auto input = std::move(inbox_.front());
      inbox_.pop_front();
      input();
    }
  }
  std::deque<std::function<void()>> inbox_;
  std::function<void()> afterThaw_;
  bool up_ = false;
  bool frozen_ = false;
  bool blocked_ = false;
  unsigned incarnation_ = 0;
};

}  // namespace burlwind::order_simulation
