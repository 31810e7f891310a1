// The parts of a quota that the gatekeeper's module and the system's proxies share: a bucket and the admit
// fraction. Plain values, no I/O, time handed in; what fills them and when is the owner's to decide.
// Source: the EventRateLimit proposal (bucket of burst and qps); the fraction and its floor are the design's.
#pragma once

#include <algorithm>

namespace burlwind::quota {

constexpr double kFractionFloor = 0.05;  // lowest admit fraction; lower: no reading ever lifts it

// Holds `level` tokens, of which a request takes one or more; it may owe (below 0), and never holds over
// `most`.
struct Bucket {
  double level = 0;
  void fill(double most, double tokens) { level = std::min(most, level + tokens); }
  bool take(double tokens) {
    if (level < tokens) return false;
    level -= tokens;
    return true;
  }
};

// The part of a tenant's requests that is let in while its store is held to be empty, within [floor, 1].
struct AdmitFraction {
  double value = 1;
  void set(double fraction) { value = std::clamp(fraction, kFractionFloor, 1.0); }
  // A reading of use in percent of the limit: what it lets in shrinks by as much as was used too much.
  void read(double percent) { set(value * 100 / percent); }
  // Without readings it goes back to 1: `part` of the way from nothing.
  void climb(double part) { value = std::min(1.0, value + part); }
};

}  // namespace burlwind::quota
