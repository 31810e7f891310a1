// How long after a fault the service was whole again: from the service over time, in spans that slide. Pure.
// Cost: O(n log n) in arrivals for each fault.
#pragma once

#include <cstddef>
#include <limits>
#include <vector>

namespace burlwind::rehearsal {

// The worth of arrivals by their intended time, and what of it was served.
class ServiceOverTime {
 public:
  void add(double at, double offered, double served);  // ms; in any order, before the first question
  // Served over offered of the arrivals within [from, until); 1 where there are none.
  double share(double from, double until) const;

 private:
  void settle() const;
  struct Point {
    double at, offered, served;
  };
  mutable std::vector<Point> points_;  // by time, summed up once settled
  mutable bool settled_ = true;
};

struct Healing {
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  std::size_t fault = 0;                // by its place in the scenario
  double before = 1;                    // service in the spans before it
  double lowest = 1, lowestAt = 0;      // the worst span's service, and its begin in ms from the fault's
  double to90 = kNever, to98 = kNever;  // ms from the fault's begin until that share of `before` is back
};

// A fault of [begin, begin + length), looked at until `until`: the next one's begin or the run's end. The
// worst span is looked for until kAfterSpans after its end, what comes back from there on: the first span
// (three in a row for 0.98, which one alone is too noisy for) that has that share of what was before.
constexpr double kSpanMs = 1000;
constexpr double kAfterSpans = 10;
Healing heal(const ServiceOverTime& service, std::size_t fault, double begin, double length, double until);

}  // namespace burlwind::rehearsal
