// What is learned of the meter of all customers' use: when its readings come out, how late they tell, and
// whether one is new. Decisions only, times in ms. Cost: kLags sums of eight slots a new reading.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

#include "meter/beat.hpp"

namespace burlwind::meter {

constexpr Time kMeterLag = 800;    // ms from a metered period's end to its reading, until it is learned
constexpr double kLagDoubt = 0.3;  // units of misfit that a slot's distance from that counts for at first
constexpr double kLagKeep =
    0.995;  // of the misfits by reading; lower: sways; higher: late to see a late meter
constexpr double kMisfitMost = 2;  // requests of misfit that one reading counts for at most
constexpr double kNewReading =
    0.3;  // metered periods after which another value is a new reading, until the meter's beat is known
constexpr int kPeriodSlots = 8;  // of a metered period; fewer: windows do not fit the meter's
constexpr int kSlots = 64;       // eight metered periods
constexpr int kLags = kSlots - 2 * kPeriodSlots;  // slots of lag told apart

constexpr Time kNever = -1e18;

class Meter {
 public:
  explicit Meter(Time period) : period_(period), beat_(period) {
    for (int lag = 0; lag < kLags; ++lag)
      misfit_[static_cast<std::size_t>(lag)] = kLagDoubt * std::abs(lag - kMeterLag / slotLength());
  }

  Time slotLength() const { return std::max(period_, 1000.0) / kPeriodSlots; }
  long slotAt(Time now) const { return static_cast<long>(now / slotLength()); }
  static std::size_t at(long slot) { return static_cast<std::size_t>((slot % kSlots + kSlots) % kSlots); }

  // A reading rides on every answer until the next one comes out; only a new one counts. Until it is known
  // when they come out, another value is held to be new after a while. Where an answer was still on its way
  // when they did, the value that follows takes its place.
  bool isNew(int reading, Time readingAt, Time now, int percent) const {
    if (reading < 0) return true;
    const bool changed = percent != reading;
    if (beat_.known()) return changed || readingAt < beat_.before(now);
    const Time since = now - readingAt;
    return (changed && since >= kNewReading * period_) || since >= period_;
  }

  // An answer with a reading; `lookedAt`: the last one of this customer with one, new or not.
  void sight(int reading, Time lookedAt, Time now, int percent) {
    // The first reading of all came out after the last answer that had none.
    if (percent != reading) beat_.sighted(told_ ? lookedAt : std::max(lookedAt, noneToldAt_), now);
    told_ = true;
  }

  // An answer that might have had one, and had none.
  void none(Time now) {
    if (!told_) noneToldAt_ = now;
  }

  // The slot of the last time at which readings came out, as far as is known.
  bool known() const { return beat_.known(); }
  long out(Time now) const { return std::lround((known() ? beat_.before(now) : now) / slotLength()); }

  // Sum of the slots of the metered period that ends before `end`.
  static double overPeriod(const std::array<float, kSlots>& slots, long end) {
    double sum = 0;
    for (long i = end - kPeriodSlots; i < end; ++i) sum += slots[at(i)];
    return sum;
  }

  int lag() const {
    return static_cast<int>(std::min_element(misfit_.begin(), misfit_.end()) - misfit_.begin());
  }

  // A period in which this gateway alone has sent more than was metered for all is not the one that the
  // reading tells of: the lag with the least of that is the meter's. Covers meters of any lag, also one that
  // changes; may hurt where use is metered so late or so evenly that no lag stands out.
  void learnLag(const std::array<float, kSlots>& sent, double units, long out, double metered) {
    if (units <= 0) return;
    for (int lag = 0; lag < kLags; ++lag) {
      const double over = (overPeriod(sent, out - lag) - metered) / units - 0.5;
      double& misfit = misfit_[static_cast<std::size_t>(lag)];
      misfit = kLagKeep * misfit + std::clamp(over, 0.0, kMisfitMost);
    }
  }

  template <class Do>
  void eachMisfit(Do& go) {
    for (double& misfit : misfit_) go(misfit);
  }
  template <class Do>
  void eachOwn(Do& go) {
    beat_.each(go), go(noneToldAt_), go(told_);
  }

 private:
  Time period_;
  Beat beat_;
  std::array<double, kLags> misfit_{};  // own use over the metered one, by the lag held against it
  Time noneToldAt_ = kNever;            // the last answer without a reading, before any came
  bool told_ = false;                   // any reading has come
};

}  // namespace burlwind::meter
