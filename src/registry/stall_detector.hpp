// Notices that this process has stood still (it was stopped, or its machine was): decisions only, time handed
// in.
//
// What lies in its buffers when it wakes may have been sent again elsewhere, and taken back since: callers go
// on to another registry after a second of silence. So calls that are read within kWakeSpan of the waking are
// not acted on. A shorter stop passes unseen: whoever called during it still waits for the answer.
#pragma once

namespace burlwind::registry {

constexpr double kProcessStallThreshold = 1000;  // ms between two observations
constexpr double kWakeSpan = 150;                // ms until what came before the waking has been read

class StallDetector {
 public:
  explicit StallDetector(double now) : last_(now) {}
  // To be called with each input, at least every 100 ms. True where it stood still until now.
  bool observe(double now) {
    const bool stalled = now - last_ > kProcessStallThreshold;
    last_ = now;
    if (stalled) wakingUntil_ = now + kWakeSpan;
    return stalled;
  }
  bool waking(double now) const { return now < wakingUntil_; }

 private:
  double last_, wakingUntil_ = -1e18;
};

}  // namespace burlwind::registry
