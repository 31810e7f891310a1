// Coming back: what a gatekeeper knows after its start or after a stop, how surely, what may be done at each
// degree of it, and when it is whole. Decisions only: no I/O, no clock, no randomness of its own; times in ms
// of a clock that does not go back. Cost: O(1) an event, a few words of memory.
//
// Promises, kept whatever order the events come in:
//  1. A thing is `sure` only by what came after the start, or after the last stop: never by what was stored.
//  2. What was stored is taken up only if its age is known, it is whole, of this gatekeeper and not too old
//     for that thing; else the start is as one without state. None of it holds up the service.
//  3. Whole is reached once, when every thing has been sure; a stop takes back what time has made stale and
//     nothing else, and each thing that it took back is sure again in bounded time or by the same news.
//  4. Nothing new is let in on a list that a stop may have made stale, for as long as kHold at most: then the
//     last list serves, since a gatekeeper whose discovery is away must go on.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace burlwind::recovery {

using Time = double;  // ms
constexpr Time kNever = std::numeric_limits<Time>::infinity();

enum class Thing : std::uint8_t {
  list,      // which workers there are
  warmth,    // what they can do
  use,       // what customers have used over all gatekeepers
  ceilings,  // what is left of this gatekeeper's part of hard ceilings
  out        // attempts of the process before, which may still run
};
constexpr std::size_t kThings = 5;
enum class Degree : std::uint8_t { nothing, doubtful, sure };
const char* nameOf(Thing thing);
const char* nameOf(Degree degree);

// What was found of the process before.
enum class Found : std::uint8_t {
  unkept,   // nothing is kept here: a first start and a restart are alike
  none,     // nothing there: a first start, or its folder is lost
  spoilt,   // cut, changed, of another version, gatekeeper or settings
  ageless,  // whole, but its age cannot be told: from the future, or of another boot and clock
  whole
};
const char* nameOf(Found found);

struct Stored {
  Found found = Found::unkept;
  Time age = 0;              // of what is whole: since it was written, which the process outlived by `unseen`
  Time unseen = 0;           // for at most: it may have let in for so long what the store does not tell of
  double goodPerSecond = 0;  // what it served then
};

// After so long of serving with news a thing is sure; from the platform's settings.
struct Horizons {
  Time use = 3000;       // the meter's periods, with their delay, that must lie after the start
  Time ceilings = 5000;  // the longest time in which an empty ceiling is full
  Time out = 3000;       // the longest deadline
  Time warmth = 4000;    // of good answers, until a rate is known
  bool metered = true;   // readings come; else customers' use is sure by time alone
};

enum class Event : std::uint8_t {
  cached,   // a list that was at hand
  listed,   // discovery itself has told
  reading,  // the meter's
  good      // a good answer
};

// What may be done now.
struct Permits {
  bool takesList = false;     // of what was stored, each by its own age
  bool takesUse = false;      // with what may have been spent unseen taken off
  bool takesWorkers = false;  // their slowness and limits
  bool operator==(const Permits&) const = default;
};

// How old a stored thing may be. Customers' use and ceilings fill with time by their own rules, so that what
// is old is full, as it should be; what is learned of workers fades in half a minute.
constexpr Time kListMost = 24 * 3600e3;
constexpr Time kUseMost = 3600e3;
constexpr Time kWorkersMost = 30e3;
constexpr Time kHold = 250;       // after a stop, until the list has been heard of
constexpr Time kCrowd = 1000;     // after a start or a stop, in which those who are refused are many at once
constexpr Time kStopLeast = 250;  // a gap that is a stop and not a late timer
constexpr Time kTurn = 50;        // after a stop, what is read may have come while it lasted
constexpr Time kAnyway = 60e3;    // without news a thing is sure by then: what was learned of it has faded
constexpr double kRateKeep = 1000;  // ms, memory of the rate of good answers

class Core {
 public:
  Core(Time now, const Stored& stored, const Horizons& horizons);

  Permits permits() const { return permits_; }
  // Each says whether something changed that is worth a line: a degree, ready, nine tenths, whole.
  bool on(Time now, Event event);
  bool look(Time now);  // by time alone, at `next`
  // It serves clients from here on.
  bool ready(Time now);
  // It was stopped, from `since` at the earliest until now. False: too short for a stop.
  bool woke(Time since, Time now);
  // The earliest time at which what is read now may have come: after a stop its age is not known.
  Time cameAt(Time now) const { return now < staleUntil_ ? stoppedSince_ : now; }
  // Of what began so long ago: whether the last stop lies in it, and how long it lasted but for that.
  bool stoppedDuring(Time elapsed, Time now) const { return stops_ > 0 && now - elapsed < freshSince_; }
  Time lived(Time elapsed, Time now) const {
    if (!stoppedDuring(elapsed, now)) return elapsed;
    return std::max(0.0, elapsed - (freshSince_ - std::max(stoppedSince_, now - elapsed)));
  }

  Degree degree(Thing thing, Time now) const;
  bool whole(Time now) const;
  // Until when what is new waits for the list; kNever backwards: nothing waits.
  Time holdsUntil() const { return holdsUntil_; }
  // When time alone changes a degree, if it does: to be asked again then.
  std::optional<Time> next(Time now) const;

  // When who is refused for want of workers is to come back: after `wait`, and in the first second drawn from
  // there up to `most` (0: twice the wait), so that a crowd that came in one moment does not come back in
  // one.
  Time comeBack(Time wait, Time most, double draw, Time now) const {
    if (now - freshSince_ >= kCrowd) return wait;
    return wait + draw * std::max(0.0, (most > 0 ? most : 2 * wait) - wait);
  }

  // Since the start; kNever: not yet. Nine tenths only where the rate before is known.
  Time toReady() const { return toReady_; }
  Time toNineTenths() const { return toNineTenths_; }
  Time toWhole() const { return toWhole_; }
  unsigned stops() const { return stops_; }
  double goodPerSecond(Time now) const;

  std::string describe(Time now) const;  // "list sure, warmth doubtful, ...; ready after 0.2 s"

 private:
  struct Knowledge {
    Degree least = Degree::nothing;  // until it is sure
    Time sureAt = kNever;
  };
  Knowledge& at(Thing thing) { return known_[static_cast<std::size_t>(thing)]; }
  const Knowledge& at(Thing thing) const { return known_[static_cast<std::size_t>(thing)]; }
  unsigned sureCount(Time now) const;

  const Stored stored_;
  const Horizons horizons_;
  Permits permits_;
  const Time startedAt_;
  Time freshSince_;  // the start, or the end of the last stop
  std::array<Knowledge, kThings> known_;
  Time firstGood_ = kNever;  // since freshSince_
  double rate_ = 0;          // of good answers a ms
  Time rateAt_;
  Time holdsUntil_ = -kNever, staleUntil_ = -kNever, stoppedSince_ = 0;
  Time toReady_ = kNever, toNineTenths_ = kNever, toWhole_ = kNever;
  unsigned stops_ = 0, told_ = 0;  // how many things were sure when it was last asked
};

// When the next try follows one that failed: the span grows to `most`, and is drawn evenly from its upper
// half, so that those who failed together do not come back together (`draw`: from 0, below 1).
// Over n askers: at most n / (most / 2) tries a second once the span has grown.
class Backoff {
 public:
  Backoff(Time first, Time most) : first_(first), most_(most) {}
  Time next(double draw);
  void reset() { span_ = 0; }

 private:
  Time first_, most_, span_ = 0;
};

}  // namespace burlwind::recovery
