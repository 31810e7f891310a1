// irisring: the decision module. Its interface (settings, events, actions) is include/irisring/decide.hpp.
// Reading order: the tuned values; Core's events at the end of its class (request, outcome, members, timer);
// then the sections they call: 1 quota, 2 guards (ceiling, cold workers, drains), 3 server choice and
// health, 4 attempts and final answers. Why each departs from the source design stands where it does.
#include "irisring/decide.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <list>
#include <map>
#include <optional>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "chances/chances.hpp"
#include "words/words.hpp"

namespace irisring {
namespace {

namespace chances = burlwind::chances;

// --- Tuned values --------------------------------------------------------------------------------------
// Quota.
constexpr std::size_t kTable = 4096;     // customers held (the source's default); fewer: heavy ones return
constexpr std::size_t kEvictScan = 32;   // oldest entries looked at for one that loses nothing by eviction
constexpr double kFractionFloor = 0.05;  // lowest admit fraction (design); lower: no reading ever lifts it
constexpr Time kClimb = 5000;  // ms from the floor back to 1 without readings; longer: refuses on old news
constexpr double kClimbGaps =
    3;                           // and at least this many usual gaps between readings, where they come rarely
constexpr Time kForget = 60000;  // ms, memory of the usual demand and others' peaks; shorter: gateways swing
constexpr Time kNews = 3000;  // ms, memory of readings and own sends in the use; longer: late to see a spike
constexpr Time kMeterLag = 800;    // ms from a metered period's end to its reading, until it is learned
constexpr double kLagDoubt = 0.3;  // units of misfit that a slot's distance from that counts for at first
constexpr double kLagKeep =
    0.995;  // of the misfits by reading; lower: sways; higher: late to see a late meter
constexpr double kMisfitMost = 2;    // requests of misfit that one reading counts for at most
constexpr Time kSightSlack = 5;      // ms that an answer may have been on its way when a reading came out
constexpr unsigned kSightsLost = 8;  // sights elsewhere in a row until the meter's beat is learned anew
constexpr double kDoubt = 0.5;  // requests that an assumed demand counts for; higher: late to believe news
constexpr double kUsualDemand = 1;  // of the rate: demand of a customer that nothing is known of
constexpr double kShareWeight =
    4;                            // requests that a share of 1/setSize counts for; lower: one request is news
constexpr double kUnitsKeep = 8;  // requests behind the usual size
constexpr double kNewReading =
    0.3;  // metered periods after which another value is a new reading, until the meter's beat is known
constexpr double kOwnTries = 0.2;       // own tries of late that the meter counts for where caps are judged
constexpr Time kOpenTau = 1000;         // ms, memory of own attempts out
constexpr Time kShareTau = 10000;       // ms, memory of the share; longer: slow after traffic moves
constexpr double kLogisticScale = 1.7;  // of a normal spread in the logistic one that stands for it
constexpr double kPaceMost =
    1.5;  // usual requests that a gateway's part of the rate saves up while the store is empty
constexpr double kCaution =
    1;  // spreads of doubt kept from the estimate; higher: refuses with room; lower: goes past
constexpr double kManyWays = 2;  // stores or caps in the gateways of a set from which strangers are weighed
constexpr double kAskLeast = 0.25;    // of its rate, what a stranger may ask for
constexpr double kAskMost = 6;        // higher: fewer strangers are let in
constexpr double kTarget = 0.6;       // of the rate, what the fraction aims at
constexpr Time kPressedTau = 4000;    // ms, memory of how often the workers are full
constexpr double kPressedMost = 0.8;  // higher: nothing is let in on a doubtful estimate
constexpr double kDebt =
    0.5;  // metered periods of the rate that the estimate may owe; 0: noise only ever adds room
// A metered peak of attempts out stands about kPeakSpread deviations and kPeakStep over their mean.
constexpr double kPeakSpread = 1.2;  // higher: caps go past
constexpr double kPeakStep = 0.5;
constexpr double kPeakNews = 0.3;  // weight of a new peak; higher: one crowd closes a cap
constexpr double kComesBack =
    0.6;  // of its worth, what a try refused at a cap still brings; 0: sends where even odds pay
constexpr double kHopeMost = 0.9;     // and what it is held to bring at most; 1: caps are never used up
constexpr unsigned kCapCounted = 16;  // caps up to this are counted one by one; higher: dear
// Guards.
constexpr double kKeptRoom = 2;  // requests of a ceiling that no state gives back; lower: waits for the disk
constexpr Time kAway = 1000;     // ms that a gateway is away at least for a restart; longer: passes ceilings
constexpr double kColdMargin = 0.8;  // of a cold worker's told share; above 1 eats into the rule's multiple
constexpr Time kRateTau = 4000;  // ms, memory of the rate of good answers that cold workers are held against
// Server choice and health.
constexpr Time kSlowTau = 30000;   // ms, memory of a worker's latency
constexpr double kSlowKeep = 0.8;  // and of its older answers; higher: late to see a slow machine
constexpr double kSlowDoubt = 1;   // answers that its kind's usual latency counts for; 0: one answer decides
constexpr double kSlowMost = 20;   // usual latencies that one answer counts for at most
constexpr double kKindNews =
    0.02;  // weight of an answer in its kind's latency; higher: the kind follows one worker
constexpr Time kBaseSpan = 1000;     // ms that one answer stands for at most
constexpr double kUsualOfAim = 0.2;  // usual latency of a class without answers
constexpr double kTie = 0.02;  // of a worker's cost, by chance; 0: gateways alike all take the first listed
constexpr double kShunned =
    10000;                        // cost factor of an ejected or silent worker: only where there is no other
constexpr double kTried = 30;     // of one that has failed this request
constexpr Time kBaseTau = 20000;  // ms, memory of a class's usual latency
constexpr Time kOthersKeep =
    2400;  // ms until a worker without reports counts as the average; longer: old news decides
constexpr Time kOthersSpan = 50;         // ms that a report stands for at least; 0: two at once count as one
constexpr std::size_t kOthersMean = 10;  // reports at least behind the fleet's mean
constexpr double kOthersTau = 600;       // ms, memory of load reports
constexpr double kSilent = 3;  // usual latencies without an answer, two or more out; lower: bad luck ejects
constexpr double kZoneWeight = 15;     // cost factor per unit of cross-zone price; higher: one zone fills up
constexpr unsigned kFailsToEject = 2;  // failures in a row; 1: a single lost packet empties the pool
constexpr Time kEjectFirst = 1000;     // ms of the first ejection; doubles up to kEjectMost
constexpr Time kEjectMost = 8000;
constexpr Time kEjectRare = 10000;  // ms of it at most where this gateway meets a worker seldom
constexpr double kGapKeep = 20;     // attempts behind the usual time between two
constexpr double kLimitFirst =
    12;  // in-flight a worker starts with, over all gateways; higher: a start overdrives
constexpr double kLimitMost = 200;
constexpr double kLimitLeast = 0.1;   // lower: workers that recover are found too late
constexpr double kLimitCut = 0.85;    // factor when an answer comes late; lower: half-empty workers
constexpr double kLimitUsed = 0.7;    // share of a limit that must be in use for it to grow
constexpr Time kLimitHold = 200;      // ms between cuts; one crowd of late answers is one cut
constexpr double kPoolCut = 2;        // the gateway's limit: e-folds a second while answers are late
constexpr double kPoolSpare = 2;      // times the most out lately, the limit that a first late answer leaves
constexpr Time kPoolMemory = 5000;    // ms, memory of the most out; shorter: a lull before a late answer cuts
constexpr double kPoolRise = 0.6;     // and early; the two hold late answers near a quarter in overload
constexpr double kLimitLate = 0.75;   // of the aim: an answer this late cuts the limit; lower: so do long
                                      // requests at workers that wait for work
constexpr double kLimitEarly = 0.25;  // of the aim: an answer within this lets a used-up limit grow
constexpr Time kFullPause =
    150;  // ms without sends to a worker that answered "full"; doubles up to kFullMost
constexpr Time kFullMost = 2000;
// Attempts.
constexpr unsigned kMostAttempts = 4;  // more than this on one request only adds load
constexpr double kPatience = 5;        // usual latencies before an attempt that may be repeated is given up
constexpr double kPatienceOfAim =
    1.5;  // and at least this share of the aim; 1: cuts off work whose client asks anew at once
constexpr double kBudgetMost = 5;     // early time-outs in a row
constexpr double kBudgetStep = 0.05;  // earned by each good answer; higher: time-outs feed an overload
constexpr Time kHoldStep = 40;        // ms between looks for a worker for a request that must not be refused
constexpr Time kRetryAfter = 250;     // ms advised when no worker can take the request
constexpr Time kLogEvery = 2000;      // ms between log lines

constexpr int kPeriodSlots = 8;  // of a metered period; fewer: windows do not fit the meter's
constexpr int kSlots = 64;       // eight metered periods
constexpr int kLags = kSlots - 2 * kPeriodSlots;  // slots of lag told apart

constexpr Time kNever = -1e18;

class Random {  // splitmix64: the same numbers with every library
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  double next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

double toward(double old, double sample, Time dt, Time tau) {
  return old + (sample - old) * (1 - std::exp(-std::max(dt, 0.0) / tau));
}

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

struct Customer {
  CustomerId id = 0;
  unsigned plan = 0;
  unsigned setSize = 1;
  Time at = 0;                    // bucket, store and ceiling are filled up to here
  double tokens = 0;              // this gateway's bucket
  double store = 0;               // estimate of the customer's global store
  double ceiling = 0;             // this gateway's part of the hard ceiling
  double kept = 0, keptNext = 0;  // of that, what the state on the disk gives back, or the next
  double fraction = 1;            // admit fraction
  int reading = -1;
  Time readingAt = 0, readingGap = 0;  // the last reading, and the usual time between two
  Time lookedAt = kNever;              // the last answer that brought one, new or not
  Time bornAt = 0, toldTo = 0;  // the entry's making; the end of the period that the last reading tells of
  double credit = 0;            // units that the fraction has let in here and that are unused
  double units = 0;             // usual units of a request
  double newsUnits = 0,
         newsTime = 0;               // all gateways' demand as seen lately: units, and seconds they stand for
  double oldUnits = 0, oldTime = 0;  // the same over a longer memory
  double ownUse = 0, allUse = 0;     // decayed sums behind the share
  unsigned open = 0;                 // attempts out
  double meanOpen = 0, allOpen = 0;  // own on average; all gateways' by their metered peaks
  double wantOpen = 0;               // own if every try of late had been let in
  std::array<float, kSlots> sent{};  // own units by slot
  std::array<float, kSlots> taken{};  // what the others are held to have taken from the estimate
  std::array<float, kSlots> in{};     // admit fraction in force
  long slot = 0;
};

struct Worker {
  Member listed;
  unsigned inFlight = 0;
  double others = 0;  // estimate of what the other gateways have out here
  double limit = 1;   // own in-flight allowed
  Time limitAt = 0, fullFor = 0;
  double slowSum = 0, slowCount = 0;  // latencies over the class's usual, fading by answer and by time
  Time slowAt = 0, othersAt = 0, heardAt = 0;
  Time earlyAt = 0;  // the last answer that came early
  unsigned fails = 0;
  Time ejectedUntil = 0, ejectFor = 0, fullUntil = 0;
  double coldTokens = 0;
  Time coldAt = 0;
};

struct Held {
  Request ask;
  Time arrived = 0;
  unsigned attempts = 0;
  bool out = false;         // an attempt is under way
  bool mayHaveRun = false;  // some attempt may have run
  WorkerId ranAt = 0;       // the first that may have; its group and window bind keyed repeats
  unsigned ranZone = 0, ranCell = 0;
  Time ranSince = 0, sentAt = 0;
  std::vector<WorkerId> tried;
};

struct Refusal {
  Time wait = 0;  // ms until it may find room
  Reason reason = Reason::unreadable;
};

bool provesUnrun(Result result) {
  return result == Result::full || result == Result::connectFailed || result == Result::moot;
}

void require(bool holds, const char* what) {
  if (!holds) throw std::invalid_argument(std::string("settings: ") + what);
}

bool sane(double value) { return std::isfinite(value) && value >= 0; }

}  // namespace

class Gateway::Core {
 public:
  Core(const Settings& settings, std::uint64_t salt, Time now, Actions& actions)
      : set_(settings),
        actions_(actions),
        random_(salt),
        beat_(settings.meterPeriod),
        startedAt_(now),
        bucketSince_(now),
        ceilingSince_(now) {
    require(set_.gateways >= 1 && set_.self < set_.gateways, "gateway number out of range");
    require(!set_.classes.empty(), "no classes");
    require(!set_.plans.empty(), "no plans");
    require(sane(set_.meterPeriod) && sane(set_.warmUp) && sane(set_.drainGrace) &&
                sane(set_.maxRetryAfter) && sane(set_.coldFrom) && sane(set_.fallMultiple) &&
                sane(set_.fallSpan) && sane(set_.mostUnits) && sane(set_.crossZonePrice) &&
                sane(set_.askWithin),
            "a figure is negative or not finite");
    for (const auto& c : set_.classes)
      require(sane(c.aim) && sane(c.deadline) && sane(c.window) && sane(c.worth) && sane(c.lateWorth),
              "a class's figure is negative or not finite");
    for (const auto& p : set_.plans)
      require(sane(p.rate) && sane(p.burst) && sane(p.ceilingRate) && sane(p.ceilingBurst) &&
                  sane(p.ceilingSlack) && sane(p.price) && sane(p.overWorth) && sane(p.overCost),
              "a plan's figure is negative or not finite");
    base_.resize(set_.classes.size(), 0);
    baseAt_.resize(set_.classes.size(), now);
    for (int lag = 0; lag < kLags; ++lag)
      misfit_[static_cast<std::size_t>(lag)] = kLagDoubt * std::abs(lag - kMeterLag / slotLength());
    if (set_.askDiscovery) actions_.subscribe();
  }

  // --- Events -------------------------------------------------------------------------------------------

  void request(Time now, const Request& ask) {
    if (held_.contains(ask.id)) return;
    if (!readable(ask)) {
      actions_.refuse(ask.id, kRetryAfter, Reason::unreadable);
      return;
    }
    Customer& customer = lookUp(now, ask);
    if (const auto no = admit(customer, ask)) return refuse(ask.id, *no);
    // After admit, which notes the demand: a stranger that asks again is likelier one that asks too much.
    if (isStranger(customer)) return refuse(ask.id, {usual(ask.klass), Reason::stranger});
    Held held;
    held.ask = ask;
    held.arrived = now;
    Worker* worker = pick(now, held);
    pressed_ = std::min(kPressedMost, toward(pressed_, worker ? 0 : 1, now - pressedAt_, kPressedTau));
    pressedAt_ = now;
    if (!worker) return refuse(ask.id, {kRetryAfter, noWorker_});
    debit(customer, ask.units, true);
    send(now, held_.emplace(ask.id, held).first->second, *worker);
  }

  Leave leave(Time now, const Request& ask, bool metered) {
    if (!readable(ask)) return {false, kRetryAfter, Reason::unreadable};
    Customer& customer = lookUp(now, ask);
    if (const auto no = admit(customer, ask)) return {false, advice(no->wait), no->reason};
    debit(customer, ask.units, metered);
    noteOpen(customer, now, 1);
    return {.granted = true};
  }

  void returned(Time now, CustomerId id) {
    Customer* customer = peek(id);
    if (customer && customer->open > 0) noteOpen(*customer, now, -1);
  }

  void outcome(Time now, const Outcome& end) {
    const auto found = held_.find(end.id);
    const auto worker = find(end.worker);
    const auto sent = out_.find(outKey(end.id, end.attempt));
    if (sent == out_.end()) return;  // repeated or unknown
    const Flight flight = sent->second;
    out_.erase(sent);
    Customer* customer = peek(flight.customer);
    if (flight.counts && customer && customer->open > 0) noteOpen(*customer, now, -1);
    if (worker) judge(*worker, now, flight, end);
    if (end.result == Result::ok) budget_ = std::min(kBudgetMost, budget_ + kBudgetStep);
    if (end.result == Result::timeout) budget_ = std::max(0.0, budget_ - 1);
    if (customer && end.usePercent >= 0) read(*customer, now, end.usePercent);
    if (end.result == Result::ok && end.usePercent < 0 && !told_) noneToldAt_ = now;
    if (found == held_.end()) return;
    Held& held = found->second;
    held.out = false;
    if (set_.settlesUnits && end.result == Result::ok && customer && end.trueUnits > 0)
      settle(*customer, now, held.ask.units - end.trueUnits);
    if (end.finished || end.result == Result::ok) {
      held_.erase(found);
      return;
    }
    if (!provesUnrun(end.result) && !held.mayHaveRun) {
      held.mayHaveRun = true;
      held.ranAt = end.worker;
      held.ranSince = held.sentAt;
      if (worker) held.ranZone = worker->listed.zone, held.ranCell = worker->listed.cell;
    }
    if (end.result == Result::moot) return giveUp(held, held.attempts > 1 ? Reason::lost : Reason::time);
    again(now, held);
  }

  void whole(Time now, RequestId id, Time expires) {
    const auto found = held_.find(id);
    if (found == held_.end() || found->second.ask.whole) return;
    Held& held = found->second;
    held.ask.whole = true;
    held.ask.expires = expires;
    held.arrived = now;
    const auto flight = out_.find(outKey(id, held.attempts - 1));
    if (!held.out || flight == out_.end()) return;
    held.sentAt = now;
    count(now, flight->second);
    if (Worker* worker = find(held.tried.back())) load(now, flight->second, *worker);
  }

  // What reads a long answer slowly holds up no worker: were it counted, two such readers would have a worker
  // taken for silent.
  void answering(Time now, RequestId id) {
    const auto found = held_.find(id);
    if (found == held_.end() || !found->second.out) return;
    const auto flight = out_.find(outKey(id, found->second.attempts - 1));
    Worker* worker = find(found->second.tried.back());
    if (flight == out_.end() || !worker) return;
    worker->heardAt = now;
    unload(flight->second, *worker);
  }

  void clientLeft(Time, RequestId id) { held_.erase(id); }

  void timer(Time now, std::uint64_t tag) {
    if (tag == kAskTag) return actions_.subscribe();
    const auto found = held_.find(static_cast<RequestId>(tag));
    if (found == held_.end() || found->second.out) return;
    again(now, found->second);
  }

  void members(Time now, ListKind kind, const std::vector<Member>& list) {
    if (kind == ListKind::failed) return actions_.setTimer(kRetryAfter, kAskTag);
    if (kind != ListKind::delta)
      for (Worker& worker : workers_) worker.listed.phase = Phase::gone;
    for (const Member& entry : list) {
      Worker* worker = find(entry.worker);
      if (!worker) {
        workers_.emplace_back();
        worker = &workers_.back();
        fresh(*worker, now);
      } else if (entry.started != worker->listed.started) {  // restarted: what was learned is void
        const unsigned inFlight = worker->inFlight;
        *worker = Worker{};
        worker->inFlight = inFlight;
        fresh(*worker, now);
      }
      worker->listed = entry;
    }
    if (limit_ <= 0) limit_ = kLimitFirst * static_cast<double>(workers_.size()) / set_.gateways;
    std::erase_if(workers_, [](const Worker& w) { return w.listed.phase == Phase::gone && w.inFlight == 0; });
  }

  // A part grows to the whole at once, but what is stored only by its rate.
  void actAs(Time now, double part) {
    const double cut = std::min(1.0, part / part_);
    for (Customer& c : table_) {
      fill(c, now);
      c.tokens *= cut, c.ceiling *= cut;
    }
    part_ = part;
  }

  State handOver(Time now, double part) {
    actAs(now, 1 - part);
    return written([&](Customer& c) { c.tokens *= part / part_, c.ceiling *= part / part_; });
  }

  State remember(Time now) {
    for (Customer& c : table_) {
      fill(c, now);
      c.keptNext = std::max(0.0, c.ceiling - std::max(kKeptRoom * c.units, c.ceiling / 2));
      c.kept = std::max(c.kept, c.keptNext);  // it may be on the disk before that is told
    }
    return written([](Customer& c) { c.ceiling = c.keptNext; });
  }

  void remembered() {
    for (Customer& c : table_) c.kept = c.keptNext;
  }

  bool takeOver(Time now, const State& state, double part, std::vector<CustomerId>& out, Kept kept) {
    burlwind::words::Reader unpack{state};
    const std::array<std::uint64_t, kStateHead> head{kStateVersion, base_.size(), set_.plans.size()};
    if (state.size() < kStateHead || !std::equal(head.begin(), head.end(), state.begin())) return false;
    unpack.at = kStateHead;
    Core other(set_, 0, now, actions_);
    other.eachOwn(unpack);
    unpack.list(other.table_, kTable, [&](Customer& c) {
      eachOf(c, unpack);
      unpack.good = unpack.good && c.plan < set_.plans.size() && c.setSize >= 1 && c.setSize <= set_.gateways;
      if (!unpack.good || kept == Kept::no) return;
      c.kept = c.ceiling;  // which may have been drawn on until a moment ago: it does not fill meanwhile
      fill(c, now);
      c.ceiling = c.kept;
    });
    unpack.list(other.workers_, kMostWorkers, [&](Worker& w) { eachOf(w, unpack); });
    if (!unpack.whole()) return false;
    if (kept == Kept::longAgo) other.workers_.clear();
    burlwind::words::Reader own{state, kStateHead};
    if (kept != Kept::longAgo) eachOwn(own);
    if (kept != Kept::no) bucketSince_ = ceilingSince_ = startedAt_;  // whom it does not name it may have met
    part_ = part;
    table_ = std::move(other.table_);
    index_.clear();
    for (auto it = table_.begin(); it != table_.end(); ++it) {
      index_[it->id] = it;
      out.insert(out.end(), it->open, it->id);
    }
    for (Worker& theirs : other.workers_) {
      Worker* mine = find(theirs.listed.worker);
      if (!mine || mine->listed.started != theirs.listed.started) continue;
      theirs.listed = mine->listed;
      theirs.inFlight = mine->inFlight;
      *mine = theirs;
    }
    return true;
  }

  Fleet fleet(Time now) const {
    Fleet out;
    for (const Worker& w : workers_) {
      if (w.listed.phase == Phase::gone) continue;
      ++out.listed;
      out.avoided += w.listed.phase != Phase::ready || shunned(w, now);
    }
    return out;
  }

  std::size_t customersHeld() const { return index_.size(); }
  std::size_t requestsHeld() const { return held_.size(); }

 private:
  static constexpr std::uint64_t kAskTag = ~std::uint64_t{0};

  // --- Hand-over: the same lists of fields are read and written, in 64-bit words ------------------------

  template <class Change>
  State written(Change change) {  // with each customer as `change` makes it
    State out{kStateVersion, base_.size(), set_.plans.size()};
    burlwind::words::Writer pack{out};
    eachOwn(pack);
    pack.list(table_, [&](Customer& c) {
      Customer theirs = c;
      change(theirs);
      eachOf(theirs, pack);
    });
    pack.list(workers_, [&](Worker& w) { eachOf(w, pack); });
    return out;
  }

  static constexpr std::uint64_t kStateVersion = 1;
  static constexpr std::size_t kStateHead = 3;  // words: the version, how many classes and plans
  static constexpr std::size_t kMostWorkers = 100000;

  template <class Do>
  static void eachOf(Customer& c, Do& go) {
    go(c.id), go(c.plan), go(c.setSize), go(c.at), go(c.tokens), go(c.store), go(c.ceiling), go(c.fraction);
    go(c.reading), go(c.readingAt), go(c.readingGap), go(c.lookedAt), go(c.bornAt), go(c.toldTo),
        go(c.credit);
    go(c.units), go(c.newsUnits), go(c.newsTime), go(c.oldUnits), go(c.oldTime), go(c.ownUse), go(c.allUse);
    go(c.open), go(c.meanOpen), go(c.allOpen), go(c.wantOpen), go(c.slot);
    go.sparse(c.sent, 0), go.sparse(c.taken, 0), go.sparse(c.in, 1);
  }

  template <class Do>
  static void eachOf(Worker& w, Do& go) {
    go(w.listed.worker), go(w.listed.started), go(w.others), go(w.limit), go(w.limitAt), go(w.fullFor);
    go(w.slowSum), go(w.slowCount), go(w.slowAt), go(w.othersAt), go(w.heardAt), go(w.earlyAt), go(w.fails);
    go(w.ejectedUntil), go(w.ejectFor), go(w.fullUntil), go(w.coldTokens), go(w.coldAt);
  }

  template <class Do>
  void eachOwn(Do& go) {
    for (Time& base : base_) go(base);
    for (double& misfit : misfit_) go(misfit);
    go(meanOthers_), beat_.each(go);
    go(noneToldAt_), go(told_), go(bucketSince_), go(ceilingSince_), go(limit_), go(limitAt_), go(sendGap_);
    go(pressed_), go(pressedAt_), go(warmRate_), go(warmAt_), go(warmWorkers_);
  }

  struct Flight {  // one attempt under way
    CustomerId customer = 0;
    unsigned klass = 0;
    bool loads = false;   // its worker: not while its body still comes, nor once its long answer has begun
    bool counts = false;  // as out against its customer's cap: not while its body still comes
  };

  bool readable(const Request& ask) const {
    return ask.klass < set_.classes.size() && ask.plan < set_.plans.size() && std::isfinite(ask.units) &&
           std::isfinite(ask.expires);
  }

  static std::uint64_t outKey(RequestId id, unsigned attempt) {
    return std::uint64_t{id} << 16 | (attempt & 0xffff);
  }

  // The cold tokens start at chance, so that gateways alike do not all send at the same moment.
  void fresh(Worker& worker, Time now) {
    worker.slowAt = worker.othersAt = worker.coldAt = now;
    worker.coldTokens = random_.next();
    worker.limit = std::max(1.0, kLimitFirst / set_.gateways);
  }

  // --- 1. Quota -----------------------------------------------------------------------------------------

  Customer* peek(CustomerId id) {
    const auto found = index_.find(id);
    return found == index_.end() ? nullptr : &*found->second;
  }

  // The customer's entry, filled up to now and moved to the recent end of the table.
  Customer& lookUp(Time now, const Request& ask) {
    const PlanSettings& plan = set_.plans[ask.plan];
    if (const auto found = index_.find(ask.customer); found != index_.end()) {
      table_.splice(table_.end(), table_, found->second);
      // The set may have changed; what is over its new part of the ceiling is gone at once (fill).
      found->second->setSize = std::max(1u, std::min(ask.setSize, set_.gateways));
      fill(*found->second, now);
      return *found->second;
    }
    if (index_.size() >= kTable) evict(now);
    table_.emplace_back();
    Customer& fresh = table_.back();
    index_[ask.customer] = std::prev(table_.end());
    fresh.id = ask.customer;
    fresh.plan = ask.plan;
    fresh.setSize = std::max(1u, std::min(ask.setSize, set_.gateways));
    fresh.at = fresh.readingAt = now;
    fresh.bornAt = now;
    fresh.toldTo = now - set_.meterPeriod;
    // A part of a request is nothing: all gateways of a large set would turn the first ones away. Where the
    // table has let go of spent buckets it stays so, or a thousand customers could draw it anew and anew.
    const double first = bucketSince_ == startedAt_ ? std::min(plan.burst, ask.units) : 0;
    fresh.tokens = std::max(freshTokens(plan, fresh.setSize, now), first);
    fresh.store = plan.burst;
    fresh.units = std::max(0.0, ask.units);
    fresh.in.fill(1);
    fresh.credit = random_.next() * fresh.units;
    fresh.oldTime = share(fresh) * (now - bucketSince_) / 1000;
    fresh.newsTime = share(fresh) * std::min(kNews, now - bucketSince_) / 1000;
    // The ceiling's store lives on over restarts and evictions, so nothing is taken to be left in it but
    // what has come in since this gateway could last have sent for the customer.
    const double since = std::min(plan.ceilingBurst, plan.ceilingRate * (now - ceilingSince_) / 1000);
    fresh.ceiling = std::max(freshCeiling(fresh), ceilingPart(fresh) * since);
    fresh.slot = slotAt(now);
    return fresh;
  }

  // What a gateway may take to be left of a ceiling at its start. Where its part of the rate is less than a
  // request in the time that a restart takes at least, that is one request, if all gateways' first ones are
  // no more than the ceiling gives in this time, with its slack, and the table has let go of no spent part;
  // else nothing.
  double freshCeiling(const Customer& c) const {
    const PlanSettings& plan = set_.plans[c.plan];
    if (ceilingSince_ != startedAt_) return 0;
    const double given = plan.ceilingRate * kAway / 1000;
    const bool slow = ceilingPart(c) * given < c.units;
    return slow && c.units * c.setSize <= given + plan.ceilingSlack ? c.units : 0;
  }

  // What a bucket holds by now that was made at this gateway's start, or when one that lost by it was
  // evicted.
  double freshTokens(const PlanSettings& plan, unsigned setSize, Time now) const {
    return std::min(plan.burst, plan.burst / setSize + plan.rate * (now - bucketSince_) / 1000);
  }

  // Drops the oldest entry that loses nothing by it, so that a stream of one-off customers does not bring
  // heavy ones back refilled; else the oldest.
  void evict(Time now) {
    auto victim = table_.begin();
    std::size_t seen = 0;
    for (auto it = table_.begin(); it != table_.end() && seen < kEvictScan; ++it, ++seen) {
      fill(*it, now);
      const PlanSettings& plan = set_.plans[it->plan];
      if (it->open == 0 && it->fraction >= 1 && it->tokens >= freshTokens(plan, it->setSize, now) &&
          it->ceiling >= ceilingPart(*it) * plan.ceilingBurst) {
        victim = it;
        break;
      }
    }
    if (victim->tokens < freshTokens(set_.plans[victim->plan], victim->setSize, now)) bucketSince_ = now;
    if (victim->ceiling < ceilingPart(*victim) * set_.plans[victim->plan].ceilingBurst) ceilingSince_ = now;
    index_.erase(victim->id);
    table_.erase(victim);
  }

  // This gateway's part of a ceiling that all of them must keep without hearing of one another: an even one.
  // By metered use few gateways that carry most of a customer's traffic could have more, but where the meter
  // is late and the demand surges each finds its own sends of now to be most of the use of then, and their
  // parts add up to more than one.
  double ceilingPart(const Customer& c) const { return part_ / c.setSize; }

  double debt(const PlanSettings& plan) const { return kDebt * plan.rate * set_.meterPeriod / 1000; }

  // The part of the customer's use that this gateway sends.
  double share(const Customer& c) const {
    const double doubt = kShareWeight * c.units + 1e-9;
    return std::min(1.0, (c.ownUse + doubt / c.setSize) / (c.allUse + doubt));
  }

  // All gateways' demand in units a second: what is seen lately against what is usual, and that against what
  // nothing is known of, each by its weight.
  double demand(const Customer& c) const {
    const double doubt = kDoubt * c.units;
    const double assumed = std::max(1e-6, kUsualDemand * set_.plans[c.plan].rate);
    const double usual = (c.oldUnits + doubt) / (c.oldTime + doubt / assumed);
    return (c.newsUnits + doubt) / (c.newsTime + doubt / usual);
  }

  // What the other gateways take from the store in units a second.
  double othersUse(const Customer& c) const { return demand(c) * (1 - share(c)) * c.in[at(c.slot)]; }

  // What the others are held to take within a time from a store of so much. They keep to the same quota: what
  // is empty gives them their part of the rate and no more, whatever is asked of them.
  double othersTake(const Customer& c, double store, double seconds) const {
    const double most = std::max(0.0, store) + set_.plans[c.plan].rate * (1 - share(c)) * seconds;
    return std::min(othersUse(c) * seconds, most);
  }

  void noteDemand(Customer& c, double units, double seconds) {
    c.newsUnits += units, c.oldUnits += units;
    c.newsTime += seconds, c.oldTime += seconds;
  }

  void fill(Customer& c, Time now) {
    const PlanSettings& plan = set_.plans[c.plan];
    const Time span = std::max(0.0, now - c.at);
    const double dt = span / 1000;
    c.tokens = std::min(plan.burst, c.tokens + part_ * plan.rate * dt);
    const double taken = othersTake(c, c.store, dt);
    c.store = std::min(plan.burst, c.store + plan.rate * dt - taken);
    const double most = ceilingPart(c) * plan.ceilingBurst;
    c.ceiling = std::min(most, c.ceiling + ceilingPart(c) * plan.ceilingRate * dt);
    const double keepNews = std::exp(-span / kNews), keep = std::exp(-span / kForget);
    c.newsUnits *= keepNews, c.newsTime = c.newsTime * keepNews + share(c) * dt;
    c.oldUnits *= keep, c.oldTime = c.oldTime * keep + share(c) * dt;
    const double keepShare = std::exp(-span / kShareTau);
    c.ownUse *= keepShare, c.allUse *= keepShare;
    if (now - c.readingAt > 2 * set_.meterPeriod) {  // a gateway that lets nothing in is told nothing
      c.fraction = std::min(1.0, c.fraction + span / std::max(kClimb, kClimbGaps * c.readingGap));
      c.allOpen = toward(c.allOpen, 0, span, kForget);
    }
    c.meanOpen = toward(c.meanOpen, c.open, span, kOpenTau);
    c.wantOpen = toward(c.wantOpen, 0, span, kOpenTau);
    c.credit = std::min(kPaceMost * c.units, c.credit + plan.rate * share(c) * dt);
    touchSlot(c, now, taken);
    c.at = std::max(c.at, now);
  }

  // Whether a try is turned away as one of a customer that this gateway has no reading of. Only where answers
  // come here that may bring one: who is let go to a proxy stays unknown. Where a set is far larger than the
  // customer's store or cap, all its gateways' first tries are more than there is room for, though each of
  // them by itself would more likely than not find some.
  bool isStranger(const Customer& c) {
    const PlanSettings& plan = set_.plans[c.plan];
    const double holds = plan.rate > 0 ? plan.burst / std::max(c.units, 1e-9) : plan.openLimit;
    if (c.reading >= 0 || set_.meterPeriod <= 0 || holds <= 0 || c.setSize <= kManyWays * holds) return false;
    return random_.next() >= strangersPart(plan) + (plan.rate > 0 ? holds / c.setSize : 0);
  }

  // The part of strangers' tries that is worth most if it is sent on. A try's customer may ask for any
  // multiple of its rate between the least and the most, each doubling as likely. Of a multiple m only 1 / m
  // (and what the store holds, which is that part of a set's first tries; added where it is asked for)
  // finds room, and what is sent on above that costs the plan's price: the worth grows with the part for as
  // long as the multiples under 1 / part are more than the price times those over it.
  static double strangersPart(const PlanSettings& plan) {
    const double loss = std::max(0.0, plan.overCost - plan.overWorth);
    return std::min(1.0, 1 / (kAskLeast * std::pow(kAskMost / kAskLeast, loss / (1 + loss))));
  }

  // Nothing: admitted. Else why not, and the time after which the customer may find room.
  std::optional<Refusal> admit(Customer& c, const Request& ask) {
    const PlanSettings& plan = set_.plans[c.plan];
    const double units = std::max(0.0, ask.units);
    const double left = c.ceiling - c.kept;
    if (plan.ceilingRate > 0 && left < units)
      return Refusal{1000 * (units - left) / (ceilingPart(c) * plan.ceilingRate), Reason::ceiling};
    const double want = std::min(units, plan.burst);
    c.units = toward(c.units, units, 1, kUnitsKeep);
    if (plan.rate > 0 && c.tokens < want)
      return Refusal{1000 * (want - c.tokens) / plan.rate, Reason::bucket};
    if (plan.openLimit > 0) {
      const bool crowded = isCrowded(c);
      c.wantOpen += usual(ask.klass) / kOpenTau;
      if (crowded) return Refusal{usual(ask.klass), Reason::cap};
    }
    noteDemand(c, units, 0);
    const bool empty = plan.rate > 0 && isEmpty(c, want);
    c.in[at(c.slot)] = static_cast<float>(empty ? c.fraction : 1);
    // The fraction times the demand is the rate: what it lets in here is this gateway's share of the rate,
    // measured out over time, so that a demand misjudged by some gateways does not add up past the quota.
    if (empty && c.credit < units)
      return Refusal{1000 * (units - c.credit) / (plan.rate * share(c)), Reason::store};
    if (empty) c.credit -= units;
    return std::nullopt;
  }

  // Whether a try would more likely than pays find the global store without its units: the estimate against
  // what is not known of it, at the plan's own price of being wrong.
  bool isEmpty(const Customer& c, double want) const {
    const PlanSettings& plan = set_.plans[c.plan];
    const double price = (plan.overCost - plan.overWorth + pressed_) / (1 - pressed_);
    if (price <= 0) return false;
    // Own sends are known; what the others have sent since the last reading's period is not.
    const double age = std::min((c.at - c.toldTo) / 1000, plan.burst / plan.rate);
    const double doubt = std::sqrt(std::min(demand(c), plan.rate) * (1 - share(c)) * c.units * age);
    return c.store < want + (std::log(price) / kLogisticScale + kCaution) * doubt;
  }

  // Whether a try would more likely than pays find the cap on attempts out used
  // up by the other gateways: at the plan's own price of being wrong, and by what the try still brings if it
  // is refused and comes back. Within its part of the cap a gateway takes the others to have out what it lets
  // out itself, as they keep to the same rule; were it what they are asked for, all would wait for all. What
  // is beyond its part it takes only where they do not want theirs, by the tries that come here: a customer
  // that asks for more does so everywhere at once, and its metered peaks tell of that too late. Where a rate
  // binds too, nobody sends more than that. Covers caps of a few attempts as well as large ones; may hurt
  // where a customer's tries stay at one gateway although its set has several.
  bool isCrowded(const Customer& c) const {
    const PlanSettings& plan = set_.plans[c.plan];
    const unsigned part = partOf(plan.openLimit, c.setSize);
    const double others = (1 - share(c)) / share(c);
    const double wanted = (c.open < part ? c.meanOpen : c.wantOpen) * others;
    if (c.open >= plan.openLimit) return true;
    const unsigned room = plan.openLimit - c.open, most = (c.setSize - 1) * part;
    const double chance = plan.rate > 0
                              ? chances::under(room, othersOpen(c, c.meanOpen * others))
                              : std::min(plan.openLimit > kCapCounted
                                             ? chances::under(room, std::min(wanted, 1.0 * most))
                                             : chances::underOfQueues(room, wanted, c.setSize - 1, part),
                                         chances::under(room, c.allOpen * (1 - share(c))));
    const double loss = plan.overCost - plan.overWorth;
    return chance * (1 + loss) < loss + std::min(kHopeMost, pressed_ + kComesBack);
  }

  // What the others have out where a rate binds too: by what this gateway has out itself, as far as its tries
  // of late tell, else by what is metered of them and stays out for the usual time. A gateway of many meets a
  // customer too seldom to tell of the others by itself.
  double othersOpen(const Customer& c, double byOwn) const {
    Time out = 0;
    for (unsigned klass = 0; klass < base_.size(); ++klass) out += usual(klass);
    const double perMs = 1 / (1000 * std::max(c.units, 1e-9));
    const double byMeter = othersUse(c) * perMs * out / static_cast<double>(base_.size());
    const double tries = demand(c) * share(c) * perMs * kOpenTau;
    const double own = tries * tries, metered = kOwnTries * kOwnTries;
    return (own * byOwn + metered * byMeter) / (own + metered);
  }

  static unsigned partOf(unsigned cap, unsigned setSize) {
    return std::max(1u, static_cast<unsigned>(std::lround(static_cast<double>(cap) / setSize)));
  }

  void debit(Customer& c, double units, bool metered) {
    c.tokens -= units;
    c.ceiling -= units;
    c.store -= units;
    if (metered) c.sent[at(c.slot)] += static_cast<float>(units);
  }

  void settle(Customer& c, Time now, double back) {
    fill(c, now);
    const PlanSettings& plan = set_.plans[c.plan];
    c.tokens = std::min(plan.burst, c.tokens + back);
    c.store = std::min(plan.burst, c.store + back);
  }

  Time slotLength() const { return std::max(set_.meterPeriod, 1000.0) / kPeriodSlots; }
  long slotAt(Time now) const { return static_cast<long>(now / slotLength()); }
  static std::size_t at(long slot) { return static_cast<std::size_t>((slot % kSlots + kSlots) % kSlots); }

  // Moves on to the slot of now; `taken` is spread over those that have passed.
  void touchSlot(Customer& c, Time now, double taken) {
    const long to = slotAt(now), passed = std::max(0L, to - c.slot);
    const auto each = static_cast<float>(taken / static_cast<double>(passed + 1));
    const std::size_t from = at(c.slot);
    c.taken[from] += each;
    for (c.slot = std::max(c.slot, to - kSlots); c.slot < to;) {
      const std::size_t next = at(++c.slot);
      c.sent[next] = 0, c.taken[next] = each, c.in[next] = c.in[from];
    }
  }

  void noteOpen(Customer& c, Time now, int change) {
    fill(c, now);
    c.open = static_cast<unsigned>(static_cast<int>(c.open) + change);
  }

  // A reading rides on every answer until the next one comes out; only a new one counts. Until it is known
  // when they come out, another value is held to be new after a while. Where an answer was still on its way
  // when they did, the value that follows takes its place.
  bool isNew(const Customer& c, Time now, int percent) const {
    if (c.reading < 0) return true;
    const bool changed = percent != c.reading;
    if (beat_.known()) return changed || c.readingAt < beat_.before(now);
    const Time since = now - c.readingAt;
    return (changed && since >= kNewReading * set_.meterPeriod) || since >= set_.meterPeriod;
  }

  void sight(Customer& c, Time now, int percent) {
    // The first reading of all came out after the last answer that had none.
    if (percent != c.reading) beat_.sighted(told_ ? c.lookedAt : std::max(c.lookedAt, noneToldAt_), now);
    told_ = true;
    c.lookedAt = now;
  }

  void read(Customer& c, Time now, int percent) {
    sight(c, now, percent);
    if (!isNew(c, now, percent)) return;
    const Time since = now - c.readingAt;
    c.readingGap = c.reading < 0 ? since : toward(c.readingGap, since, 1, 3);
    c.reading = percent;
    c.readingAt = now;
    fill(c, now);
    const PlanSettings& plan = set_.plans[c.plan];
    if (plan.rate <= 0) {
      const double over = std::max(0.0, percent / 100.0 * plan.openLimit - kPeakStep);
      const double root = std::sqrt(kPeakSpread * kPeakSpread / 4 + over) - kPeakSpread / 2;
      c.allOpen += kPeakNews * (root * root - c.allOpen);
      return;
    }
    const long out = std::lround((beat_.known() ? beat_.before(now) : now) / slotLength());
    const double metered = percent / 100.0 * plan.rate * set_.meterPeriod / 1000;
    if (beat_.known()) learnLag(c, out, metered);
    settleOthers(c, now, out - lag(), metered);
  }

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
  void learnLag(const Customer& c, long out, double metered) {
    if (c.units <= 0) return;
    for (int lag = 0; lag < kLags; ++lag) {
      const double over = (overPeriod(c.sent, out - lag) - metered) / c.units - 0.5;
      double& misfit = misfit_[static_cast<std::size_t>(lag)];
      misfit = kLagKeep * misfit + std::clamp(over, 0.0, kMisfitMost);
    }
  }

  // The share over the time that no reading has told of, by the use of the period that one has. Readings come
  // with answers: a gateway that sends rarely would else count its part by periods in which it has never
  // sent.
  void noteShare(Customer& c, long to, double metered) {
    const double known =
        std::max({c.toldTo, c.bornAt, static_cast<double>(c.slot - kSlots + 1) * slotLength()});
    double own = 0;
    const long from = slotAt(known);
    for (long i = from; i < to; ++i) own += c.sent[at(i)];
    if (from >= to) return;
    c.ownUse += own;
    c.allUse += std::max(own, metered * static_cast<double>(to - from) / kPeriodSlots);
  }

  // What the estimate took for the metered period gives way to what was metered, and the time since then to
  // the use as it is now known. The slots keep what has been put in, so that periods that follow one another,
  // overlap or are told anew leave no remainder: one that stays counts until the store is full, which it
  // never is where a customer asks for more than its rate.
  void settleOthers(Customer& c, Time now, long end, double metered) {
    const PlanSettings& plan = set_.plans[c.plan];
    const double own = overPeriod(c.sent, end), in = overPeriod(c.in, end) / kPeriodSlots;
    const double others = std::max(0.0, metered - own);
    noteShare(c, end - kPeriodSlots, metered);
    c.ownUse += own, c.allUse += own + others;
    noteDemand(c, others, set_.meterPeriod / 1000 * (1 - share(c)) * in);
    // The reading tells what the fraction of its own period let in, whatever the fraction is by now.
    c.fraction = std::clamp(kTarget * plan.rate / demand(c), kFractionFloor, 1.0);
    double sent = 0;  // since then
    for (long i = end - kPeriodSlots; i <= c.slot; ++i) {
      const double put = i < end ? others / kPeriodSlots : 0;
      c.store += c.taken[at(i)] - put;
      c.taken[at(i)] = static_cast<float>(put);
      if (i >= end) sent += c.sent[at(i)];
    }
    c.toldTo = static_cast<double>(end) * slotLength();
    const double seconds = std::max(0.0, now - std::max(c.toldTo, c.bornAt)) / 1000;
    const double taken = othersTake(c, c.store + sent - plan.rate * seconds, seconds);
    for (long i = end; i <= c.slot; ++i)
      c.taken[at(i)] = static_cast<float>(taken / static_cast<double>(c.slot - end + 1));
    c.store = std::clamp(c.store - taken, -debt(plan), plan.burst);
  }

  // --- 2. Guards ----------------------------------------------------------------------------------------

  // 1 for a warm worker, else the told lower bound of what it can do.
  double warmth(const Worker& w, Time now) const {
    if (w.listed.started <= 0 || set_.warmUp <= 0) return 1;
    const double age = std::clamp((now - w.listed.started) / set_.warmUp, 0.0, 1.0);
    return set_.coldFrom + (1 - set_.coldFrom) * age;
  }

  // Keeps this gateway's sends to a cold worker under its share of the good answers that it has of a warm
  // one. Every gateway does so, so all together stay under the cold worker's share of what a warm one can do,
  // also while retries are sent many times over. One that knows no such rate (all cold, just restarted) keeps
  // to its part of what even a worker of one request a span bears. Hurts where the told lower bound is far
  // under what the worker can do: it fills more slowly than it could.
  bool coldRoom(Worker& w, Time now) {
    const double warm = warmth(w, now);
    if (warm >= 1) return true;
    const double least = set_.fallMultiple / std::max(set_.fallSpan, 1.0) / set_.gateways;
    const double known = toward(warmRate_, 0, now - warmAt_, kRateTau) / std::max(1u, warmWorkers_);
    w.coldTokens =
        std::min(1.0, w.coldTokens + part_ * kColdMargin * warm * std::max(known, least) * (now - w.coldAt));
    w.coldAt = now;
    return w.coldTokens >= 1;
  }

  void noteGood(const Worker& w, Time now) {
    if (warmth(w, now) < 1) return;
    warmRate_ = toward(warmRate_, 0, now - warmAt_, kRateTau) + 1 / kRateTau;
    warmAt_ = now;
    warmWorkers_ = 0;
    for (const Worker& other : workers_)
      warmWorkers_ +=
          other.listed.phase == Phase::ready && warmth(other, now) >= 1 && other.ejectedUntil <= now;
  }

  // --- 3. Server choice and health ----------------------------------------------------------------------

  Worker* find(WorkerId id) {
    for (Worker& worker : workers_)
      if (worker.listed.worker == id) return &worker;
    return nullptr;
  }

  Time usual(unsigned klass) const {
    return base_[klass] > 0 ? base_[klass] : set_.classes[klass].aim * kUsualOfAim;
  }

  double load(const Worker& w, Time now) const {
    return w.inFlight + toward(w.others, meanOthers_, now - w.othersAt, kOthersKeep);
  }

  // Attempts out and no answer for several usual latencies: cut off, paused or dead, whatever the list says.
  // Seen long before the time-outs; may hurt where a single attempt is very long, so it takes two.
  bool silent(const Worker& w, Time now) const {
    return w.inFlight >= 2 && now - w.heardAt > kSilent * *std::max_element(base_.begin(), base_.end());
  }

  // Sent to only where there is no other.
  bool shunned(const Worker& w, Time now) const {
    return w.ejectedUntil > now || (w.ejectFor > 0 && w.inFlight > 0) || silent(w, now);
  }

  // The most attempts out lately; it fades.
  double mostOut(Time now) const {
    return std::max<double>(inFlight_, toward(mostOut_, 0, now - mostOutAt_, kPoolMemory));
  }

  // One limit for all that this gateway has out; a fraction of one is kept by chance. Two processes of it
  // keep to it each: they share one traffic, and what is out at the one is over when the other's is many.
  bool room() { return inFlight_ + random_.next() < limit_; }

  // How slow a worker is, as far as its few answers tell against those of all workers of its kind.
  double slow(const Worker& w) const {
    const auto kind = kinds_.find(w.listed.kind);
    const double usual = kind == kinds_.end() ? 1 : kind->second;
    return (kSlowDoubt * usual + w.slowSum) / (kSlowDoubt + w.slowCount);
  }

  void noteSlow(Worker& w, Time now, double ratio) {
    const double keep = kSlowKeep * std::exp(-(now - w.slowAt) / kSlowTau);
    w.slowSum = keep * w.slowSum + ratio;
    w.slowCount = keep * w.slowCount + 1;
    w.slowAt = now;
    double& kind = kinds_.try_emplace(w.listed.kind, 1).first->second;
    kind += kKindNews * (ratio - kind);
  }

  bool inGroup(const Held& held, const Worker& w) const {
    const ClassSettings& klass = set_.classes[held.ask.klass];
    if (!held.mayHaveRun || klass.repeat == Repeat::safe || klass.scope == Scope::all) return true;
    return klass.scope == Scope::zone ? w.listed.zone == held.ranZone : w.listed.cell == held.ranCell;
  }

  // The least loaded ready worker, weighted by how slow it has been. Ejected
  // ones serve where no other is. Where there is none, `noWorker_` tells why.
  Worker* pick(Time now, const Held& held) {
    noWorker_ = Reason::limit;
    if (!held.mayHaveRun && !room()) return nullptr;
    noWorker_ = Reason::nobody;
    Worker* best = nullptr;
    double least = 0;
    for (Worker& w : workers_) {
      if (w.listed.phase != Phase::ready || !inGroup(held, w)) continue;
      const bool cold = !coldRoom(w, now);
      const bool full = w.fullUntil > now || (!held.mayHaveRun && w.inFlight + 1 > w.limit);
      if (cold || full) noWorker_ = std::max(noWorker_, full ? Reason::full : Reason::cold);
      if (cold || full) continue;
      double cost = slow(w) * (load(w, now) + 1) * warmth(w, now);
      if (w.listed.zone != set_.zone) cost *= 1 + kZoneWeight * set_.crossZonePrice;
      cost *= 1 + kTie * random_.next();
      if (shunned(w, now)) cost *= kShunned;
      if (std::find(held.tried.begin(), held.tried.end(), w.listed.worker) != held.tried.end())
        cost *= kTried;
      if (!best || cost < least) best = &w, least = cost;
    }
    return best;
  }

  void judge(Worker& w, Time now, Flight flight, const Outcome& end) {
    unload(flight, w);
    if (end.result != Result::timeout && end.result != Result::connectFailed) w.heardAt = now;
    if (!end.report.empty()) noteReport(w, now, end.report);
    const Result result = end.result;
    steerLimits(w, now, set_.classes[flight.klass].aim, end);
    if (result == Result::full) {
      w.fullFor = std::clamp(2 * w.fullFor, kFullPause, kFullMost);
      w.fullUntil = now + w.fullFor;
      return;
    }
    if (result == Result::cancelled || result == Result::moot || result == Result::spoilt) return;
    if (result == Result::ok || result == Result::error || result == Result::timeout) {
      if (result == Result::ok) {
        Time& base = base_[flight.klass];
        base = base > 0
                   ? toward(base, end.elapsed, std::min(kBaseSpan, now - baseAt_[flight.klass]), kBaseTau)
                   : end.elapsed;
        baseAt_[flight.klass] = now;
      }
      const double ratio = std::min(kSlowMost, end.elapsed / usual(flight.klass));
      if (result != Result::error && (result == Result::ok || ratio > slow(w))) noteSlow(w, now, ratio);
    }
    if (result == Result::ok) {
      noteGood(w, now);
      w.fails = 0;
      w.fullFor = 0;
      w.ejectFor = 0;
      w.ejectedUntil = 0;
    } else if (++w.fails >= (visitGap() > kEjectFirst ? 1 : kFailsToEject)) {
      const Time first = std::clamp(visitGap(), kEjectFirst, kEjectRare);
      w.ejectFor = std::clamp(2 * w.ejectFor, first, std::max(kEjectMost, first));
      w.ejectedUntil = now + w.ejectFor;
      log(now, "worker ejected: attempts in a row failed");
    }
  }

  // Time between two attempts of this gateway at one worker, were all sent alike. One of many meets each so
  // seldom that an ejection of a second or two would be over before the next, and that a second failure would
  // come only after many seconds: there one failure is all the evidence there is, and to do without one of
  // many workers costs it next to nothing.
  Time visitGap() const { return sendGap_ * static_cast<double>(workers_.size()); }

  // Two in-flight limits, raised and cut by how an answer's time stands to the class's aim; they keep the
  // queues at the workers short enough that what is sent is still worth answering, whatever made them long.
  // The worker's own holds where a gateway has several attempts at a worker; that of the whole gateway goes
  // as far below one for each worker as it must where gateways outnumber what the workers hold. It moves by
  // time, not by answer, so that many answers a second say no more than a few. A late answer takes away at
  // once only what has not been used lately: held against what is out at that very moment, any answer of the
  // tail that came in a lull closed a gateway that was far from its limit, for seconds. That covers all that
  // is late for once, be it a long request, a machine's pause or a worker cut off; a connection that failed
  // tells nothing of load at all, nor does an attempt without a good answer where the worker
  // has answered later ones at once: it was lost, not waiting. It may hurt where a crowd that overdrives the
  // workers comes right after a peak that they bore, and where one worker's answers alone are late: it then
  // sends less to all.
  void steerLimits(Worker& w, Time now, Time aim, const Outcome& end) {
    const bool telling = end.result != Result::connectFailed && end.result != Result::moot &&
                         (end.result == Result::ok || w.earlyAt < now - end.elapsed);
    const bool late = end.result == Result::full || (telling && end.elapsed > kLimitLate * aim);
    const bool early = end.result == Result::ok && end.elapsed < kLimitEarly * aim;
    if (early) w.earlyAt = now;
    if (late && now - w.limitAt >= kLimitHold) {
      w.limit = std::max(1.0, kLimitCut * std::min(w.limit, w.inFlight + 1.0));
      w.limitAt = now;
    } else if (early && w.inFlight + 1 >= kLimitUsed * w.limit) {
      w.limit = std::min(kLimitMost, w.limit + 1 / w.limit);
    }
    const double span = std::min(now - limitAt_, kLimitHold) / 1000;
    limitAt_ = now;
    if (late)
      limit_ = std::max(kLimitLeast,
                        std::min(limit_, kPoolSpare * (mostOut(now) + 1)) * std::exp(-kPoolCut * span));
    else if (early && inFlight_ + 1 >= kLimitUsed * limit_)
      limit_ *= std::exp(kPoolRise * span);
  }

  void noteReport(Worker& w, Time now, const std::vector<double>& report) {
    const std::size_t n = std::min(report.size(), set_.reportFields.size());
    for (std::size_t i = 0; i < n; ++i) {
      double sample = -1;
      if (set_.reportFields[i] == "inflight") sample = report[i] - w.inFlight - 1;
      if (set_.reportFields[i] == "queue") sample = report[i] * (set_.gateways - 1) / set_.gateways;
      if (sample < 0 && set_.reportFields[i] != "inflight") continue;
      sample = std::max(0.0, sample);
      w.others = toward(w.others, sample, now - w.othersAt + kOthersSpan, kOthersTau);
      w.othersAt = now;
      meanOthers_ = toward(meanOthers_, sample, 1,
                           static_cast<double>(std::max<std::size_t>(kOthersMean, workers_.size())));
    }
  }

  // --- 4. Attempts and final answers --------------------------------------------------------------------

  void send(Time now, Held& held, Worker& worker) {
    const ClassSettings& klass = set_.classes[held.ask.klass];
    const Time left = held.ask.expires - now;
    Time timeout = 0;
    const bool last = held.attempts + 1 >= std::min(set_.maxAttempts, kMostAttempts);
    if (klass.repeat != Repeat::unsafe && !last && budget_ >= 1) {
      timeout = std::max(kPatience * usual(held.ask.klass), kPatienceOfAim * klass.aim);
      if (timeout >= left) timeout = 0;
    }
    held.sentAt = now;
    held.out = true;
    held.tried.push_back(worker.listed.worker);
    Flight& flight = out_[outKey(held.ask.id, held.attempts)] = Flight{held.ask.customer, held.ask.klass};
    ++held.attempts;
    if (held.ask.whole) count(now, flight), load(now, flight, worker);
    if (sentAt_ > 0) sendGap_ = toward(sendGap_, now - sentAt_, 1, kGapKeep);
    sentAt_ = now;
    worker.coldTokens -= 1;
    actions_.send(held.ask.id, worker.listed.worker, timeout);
  }

  // A whole request is with a worker from now on. Before that its attempt is not out: a body that comes for
  // seconds would hold a cap that its plan needs for other requests.
  void count(Time now, Flight& flight) {
    flight.counts = true;
    if (Customer* customer = peek(flight.customer)) noteOpen(*customer, now, 1);
  }

  void load(Time now, Flight& flight, Worker& worker) {
    flight.loads = true;
    ++inFlight_;
    mostOut_ = mostOut(now);
    mostOutAt_ = now;
    if (++worker.inFlight == 1) worker.heardAt = now;
  }

  void unload(Flight& flight, Worker& worker) {
    if (!std::exchange(flight.loads, false)) return;
    if (worker.inFlight > 0) --worker.inFlight;
    if (inFlight_ > 0) --inFlight_;
  }

  // Another attempt where the class and the time allow one, else the final answer.
  void again(Time now, Held& held) {
    const ClassSettings& klass = set_.classes[held.ask.klass];
    const bool bound = held.mayHaveRun && klass.repeat != Repeat::safe;
    if (now >= held.ask.expires || (klass.lateWorth <= 0 && now > held.arrived + klass.aim))
      return giveUp(held, Reason::time);
    if (held.attempts >= std::min(set_.maxAttempts, kMostAttempts) ||
        (bound && klass.repeat == Repeat::unsafe) || (bound && now > held.ranSince + klass.window) ||
        (held.mayHaveRun && budget_ < 1))
      return giveUp(held, Reason::lost);
    Worker* worker = pick(now, held);
    if (worker) return send(now, held, *worker);
    if (!held.mayHaveRun || now + kHoldStep >= held.ask.expires) return giveUp(held, noWorker_);
    actions_.setTimer(kHoldStep, held.ask.id);
  }

  // A refusal says that trying again is harmless; where that is not known the answer is a failure.
  void giveUp(Held& held, Reason reason) {
    const ClassSettings& klass = set_.classes[held.ask.klass];
    const RequestId id = held.ask.id;
    const bool harmless = !held.mayHaveRun || klass.repeat == Repeat::safe ||
                          (klass.repeat == Repeat::keyed && klass.scope == Scope::all);
    held_.erase(id);
    if (harmless)
      refuse(id, {kRetryAfter, reason});
    else
      actions_.fail(id, reason);
  }

  Time advice(Time wait) const {
    const Time most = set_.maxRetryAfter > 0 ? set_.maxRetryAfter : wait;
    return std::clamp(wait, 1.0, std::max(1.0, most));
  }

  void refuse(RequestId id, Refusal why) { actions_.refuse(id, advice(why.wait), why.reason); }

  void log(Time now, const char* line) {
    if (now - loggedAt_ < kLogEvery) return;
    loggedAt_ = now;
    actions_.log(line);
  }

  const Settings set_;
  Actions& actions_;
  Random random_;
  std::list<Customer> table_;  // least recent first
  std::unordered_map<CustomerId, std::list<Customer>::iterator> index_;
  std::map<unsigned, double> kinds_;  // latency over the class's usual of each kind of worker
  double meanOthers_ = 0;             // of load reports: what the others have out at a worker
  std::vector<Worker> workers_;       // in the order of their listing
  std::unordered_map<RequestId, Held> held_;
  std::unordered_map<std::uint64_t, Flight> out_;
  std::vector<Time> base_, baseAt_;     // usual latency of each class
  Beat beat_;                           // of the meter
  std::array<double, kLags> misfit_{};  // own use over the metered one, by the lag held against it
  Time noneToldAt_ = kNever;            // the last answer without a reading, before any came
  bool told_ = false;                   // any reading has come
  const Time startedAt_;
  Time bucketSince_, ceilingSince_;
  double part_ = 1;        // of what this gateway may do; less while another process of it does the rest
  unsigned inFlight_ = 0;  // attempts out, at all workers
  double mostOut_ = 0;     // the most of late, as of mostOutAt_
  double limit_ = 0;       // and how many may be
  Time limitAt_ = 0, mostOutAt_ = 0;
  Time sentAt_ = 0, sendGap_ = 0;  // the last attempt, and the usual time between two
  double pressed_ = 0;             // share of admitted tries that find no worker
  Time pressedAt_ = 0;
  double budget_ = kBudgetMost;  // early time-outs and repeats after them that are left
  double warmRate_ = 0;          // good answers of warm workers a ms
  Time warmAt_ = 0;
  unsigned warmWorkers_ = 0;
  Time loggedAt_ = -kLogEvery;
  Reason noWorker_ = Reason::nobody;  // why the last pick found none
};

Gateway::Gateway(const Settings& settings, std::uint64_t salt, Time now, Actions& actions)
    : core_(std::make_unique<Core>(settings, salt, now, actions)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
void Gateway::members(Time now, ListKind kind, const std::vector<Member>& list) {
  core_->members(now, kind, list);
}
void Gateway::request(Time now, const Request& request) { core_->request(now, request); }
void Gateway::outcome(Time now, const Outcome& outcome) { core_->outcome(now, outcome); }
void Gateway::whole(Time now, RequestId id, Time expires) { core_->whole(now, id, expires); }
void Gateway::answering(Time now, RequestId id) { core_->answering(now, id); }
void Gateway::clientLeft(Time now, RequestId id) { core_->clientLeft(now, id); }
void Gateway::timer(Time now, std::uint64_t tag) { core_->timer(now, tag); }
Leave Gateway::leave(Time now, const Request& request, bool metered) {
  return core_->leave(now, request, metered);
}
void Gateway::returned(Time now, CustomerId customer) { core_->returned(now, customer); }
void Gateway::actAs(Time now, double part) { core_->actAs(now, part); }
State Gateway::handOver(Time now, double part) { return core_->handOver(now, part); }
State Gateway::remember(Time now) { return core_->remember(now); }
void Gateway::remembered() { core_->remembered(); }
bool Gateway::takeOver(Time now, const State& state, double part, std::vector<CustomerId>& out, Kept kept) {
  return core_->takeOver(now, state, part, out, kept);
}
Fleet Gateway::fleet(Time now) const { return core_->fleet(now); }
std::size_t Gateway::customersHeld() const { return core_->customersHeld(); }
std::size_t Gateway::requestsHeld() const { return core_->requestsHeld(); }

}  // namespace irisring
