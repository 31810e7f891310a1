// When a meter brings out its readings, learned from answers that carry them. Decisions only, times in ms.
#pragma once

#include <algorithm>
#include <cmath>

namespace burlwind::meter {

using Time = double;
constexpr Time kSightSlack = 5;      // ms that an answer may have been on its way when a reading came out
constexpr unsigned kSightsLost = 8;  // sights elsewhere in a row until the meter's beat is learned anew

// When a meter that adds up all customers at once brings out its readings: a value that has changed since the
// answer before came out between the two, and the narrowest such spans of all customers, put over one
// another, leave a few ms of the period.
class Beat {
 public:
  explicit Beat(Time period) : period_(period) {}
  bool known() const { return known_; }
  template <class Do>
  void each(Do& go) {
    go(low_), go(high_), go(misses_), go(known_);
  }
  // The last time by `now` at which readings came out.
  Time before(Time now) const { return high_ + std::floor((now - high_) / period_) * period_; }

  void sighted(Time after, Time by) {
    if (period_ <= 0 || by - after >= period_ / 2) return;
    after -= kSightSlack;
    const Time shift = std::round((after + by - low_ - high_) / 2 / period_) * period_;
    if (known_ && after - shift < high_ && by - shift > low_) {
      low_ = std::max(low_, after - shift), high_ = std::min(high_, by - shift);
      misses_ = 0;
    } else if (!known_ || ++misses_ >= kSightsLost) {
      low_ = after, high_ = by;
      misses_ = 0;
      known_ = true;
    }
  }

 private:
  Time period_, low_ = 0, high_ = 0;
  unsigned misses_ = 0;
  bool known_ = false;
};

}  // namespace burlwind::meter
