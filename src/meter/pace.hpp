// The usual latency of each class of requests, by the good answers of late.
#pragma once

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace burlwind::meter {

using Time = double;  // ms

constexpr double kUsualOfAim = 0.2;  // usual latency of a class without answers
constexpr Time kBaseSpan = 1000;     // ms that one answer stands for at most
constexpr Time kBaseTau = 20000;     // ms, memory of a class's usual latency

inline double toward(double old, double sample, Time dt, Time tau) {
  return old + (sample - old) * (1 - std::exp(-std::max(dt, 0.0) / tau));
}

class Pace {
 public:
  // `aims`: of each class.
  Pace(std::vector<Time> aims, Time now)
      : aims_(std::move(aims)), base_(aims_.size(), 0), at_(aims_.size(), now) {}
  unsigned classes() const { return static_cast<unsigned>(base_.size()); }
  Time usual(unsigned klass) const { return base_[klass] > 0 ? base_[klass] : aims_[klass] * kUsualOfAim; }
  Time longest() const { return *std::max_element(base_.begin(), base_.end()); }
  void note(unsigned klass, Time elapsed, Time now) {
    Time& base = base_[klass];
    base = base > 0 ? toward(base, elapsed, std::min(kBaseSpan, now - at_[klass]), kBaseTau) : elapsed;
    at_[klass] = now;
  }
  template <class Do>
  void each(Do& go) {
    for (Time& base : base_) go(base);
  }

 private:
  std::vector<Time> aims_;
  std::vector<Time> base_, at_;
};

}  // namespace burlwind::meter
