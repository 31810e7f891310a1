// Whether this process was stopped and continued (SIGSTOP, SIGCONT) since somebody last asked. The handler
// sets a flag and nothing else: it runs before anything that the loop then does, whereas a signal told
// through the loop may come behind what has waited meanwhile.
#pragma once

#include <csignal>

namespace burlwind {

class WakeSignal {
 public:
  static void install() { std::signal(SIGCONT, &WakeSignal::on); }
  // True once for each stop.
  static bool take() {
    if (woken_ == 0) return false;
    woken_ = 0;
    return true;
  }

 private:
  static void on(int) { woken_ = 1; }
  static inline volatile std::sig_atomic_t woken_ = 0;
};

}  // namespace burlwind
