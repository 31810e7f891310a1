// The workers that a gateway knows: which one a request goes to, what answers say of their speed, load and
// health, how much may be out at them, and how slowly cold ones are filled. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "chances/draws.hpp"
#include "irisring/decide.hpp"
#include "meter/pace.hpp"

namespace irisring::policy {

using namespace burlwind::meter;

constexpr double kColdMargin = 0.8;  // of a cold worker's told share; above 1 eats into the rule's multiple
constexpr Time kRateTau = 4000;  // ms, memory of the rate of good answers that cold workers are held against
// Server choice and health.
constexpr Time kSlowTau = 30000;    // ms, memory of a worker's latency
constexpr double kSlowKeep = 0.8;   // and of its older answers; higher: late to see a slow machine
constexpr double kSlowDoubt = 1;    // answers that its kind's usual latency counts for; 0: one answer decides
constexpr double kSlowMost = 20;    // usual latencies that one answer counts for at most
constexpr double kKindNews = 0.02;  // of an answer in its kind's latency; higher: follows one worker
constexpr double kTie = 0.02;  // of a worker's cost, by chance; 0: gateways alike all take the first listed
constexpr double kShunned = 10000;  // cost factor of an ejected or silent worker: where there is no other
constexpr double kTried = 30;       // of one that has failed this request
constexpr Time kOthersKeep = 2400;  // ms until one without reports counts as the average; longer: old news
constexpr Time kOthersSpan = 50;    // ms that a report stands for at least; 0: two at once count as one
constexpr std::size_t kOthersMean = 10;  // reports at least behind the fleet's mean
constexpr double kOthersTau = 600;       // ms, memory of load reports
constexpr double kSilent = 3;  // usual latencies without an answer, two or more out; lower: bad luck ejects
constexpr double kZoneWeight = 15;     // cost factor per unit of cross-zone price; higher: one zone fills up
constexpr unsigned kFailsToEject = 2;  // failures in a row; 1: a single lost packet empties the pool
constexpr Time kEjectFirst = 1000;     // ms of the first ejection; doubles up to kEjectMost
constexpr Time kEjectMost = 8000;
constexpr Time kEjectRare = 10000;  // ms of it at most where this gateway meets a worker seldom
constexpr double kGapKeep = 20;     // attempts behind the usual time between two
constexpr double kLimitFirst = 12;  // in flight at a start, over all gateways; higher: a start overdrives
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
constexpr Time kFullPause = 150;      // ms without sends after an answer "full"; doubles up to kFullMost
constexpr Time kFullMost = 2000;

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

struct Flight {  // one attempt under way
  CustomerId customer = 0;
  unsigned klass = 0;
  bool loads = false;   // its worker: not while its body still comes, nor once its long answer has begun
  bool counts = false;  // as out against its customer's cap: not while its body still comes
};

class Workers {
 public:
  Workers(const Settings& settings, Pace& pace, burlwind::chances::Draws& random)
      : set_(settings), pace_(pace), random_(random) {}

  Worker* find(WorkerId id) {
    for (Worker& worker : workers_)
      if (worker.listed.worker == id) return &worker;
    return nullptr;
  }

  // The list, or the entries that have changed.
  void list(Time now, ListKind kind, const std::vector<Member>& told) {
    if (kind != ListKind::delta)
      for (Worker& worker : workers_) worker.listed.phase = Phase::gone;
    for (const Member& entry : told) {
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

  // The least loaded ready worker, weighted by how slow it has been. Ejected
  // ones serve where no other is. Where there is none, noWorker() tells why.
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

  Reason noWorker() const { return noWorker_; }  // why the last pick found none

  // An attempt goes out.
  void send(Time now, Worker& worker) {
    if (sentAt_ > 0) sendGap_ = toward(sendGap_, now - sentAt_, 1, kGapKeep);
    sentAt_ = now;
    worker.coldTokens -= 1;
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

  // What an attempt's end says of its worker. True: it is ejected for it.
  bool judge(Worker& w, Time now, Flight flight, const Outcome& end) {
    unload(flight, w);
    if (end.result != Result::timeout && end.result != Result::connectFailed) w.heardAt = now;
    if (!end.report.empty()) noteReport(w, now, end.report);
    const Result result = end.result;
    steerLimits(w, now, set_.classes[flight.klass].aim, end);
    if (result == Result::full) {
      w.fullFor = std::clamp(2 * w.fullFor, kFullPause, kFullMost);
      w.fullUntil = now + w.fullFor;
      return false;
    }
    if (result == Result::cancelled || result == Result::moot || result == Result::spoilt) return false;
    if (result == Result::ok || result == Result::error || result == Result::timeout) {
      if (result == Result::ok) pace_.note(flight.klass, end.elapsed, now);
      const double ratio = std::min(kSlowMost, end.elapsed / pace_.usual(flight.klass));
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
      return true;
    }
    return false;
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

  void actAs(double part) { part_ = part; }

  // --- Hand-over ---
  template <class Do>
  void eachMean(Do& go) {
    go(meanOthers_);
  }
  template <class Do>
  void eachLimit(Do& go) {
    go(limit_), go(limitAt_), go(sendGap_);
  }
  template <class Do>
  void eachWarm(Do& go) {
    go(warmRate_), go(warmAt_), go(warmWorkers_);
  }
  template <class Do>
  void eachWorker(Do& go) {
    go.list(workers_, kMostWorkers, [&](Worker& w) { eachOf(w, go); });
  }
  // What another one knew of the workers that are listed here and have not restarted since.
  void takeWorkers(const Workers& other) {
    for (Worker theirs : other.workers_) {
      Worker* mine = find(theirs.listed.worker);
      if (!mine || mine->listed.started != theirs.listed.started) continue;
      theirs.listed = mine->listed;
      theirs.inFlight = mine->inFlight;
      *mine = theirs;
    }
  }

 private:
  static constexpr std::size_t kMostWorkers = 100000;
  template <class Do>
  static void eachOf(Worker& w, Do& go) {
    go(w.listed.worker), go(w.listed.started), go(w.others), go(w.limit), go(w.limitAt), go(w.fullFor);
    go(w.slowSum), go(w.slowCount), go(w.slowAt), go(w.othersAt), go(w.heardAt), go(w.earlyAt), go(w.fails);
    go(w.ejectedUntil), go(w.ejectFor), go(w.fullUntil), go(w.coldTokens), go(w.coldAt);
  }

  // The cold tokens start at chance, so that gateways alike do not all send at the same moment.
  void fresh(Worker& worker, Time now) {
    worker.slowAt = worker.othersAt = worker.coldAt = now;
    worker.coldTokens = random_.next();
    worker.limit = std::max(1.0, kLimitFirst / set_.gateways);
  }

  bool inGroup(const Held& held, const Worker& w) const {
    const ClassSettings& klass = set_.classes[held.ask.klass];
    if (!held.mayHaveRun || klass.repeat == Repeat::safe || klass.scope == Scope::all) return true;
    return klass.scope == Scope::zone ? w.listed.zone == held.ranZone : w.listed.cell == held.ranCell;
  }

  // One limit for all that this gateway has out; a fraction of one is kept by chance. Two processes of it
  // keep to it each: they share one traffic, and what is out at the one is over when the other's is many.
  bool room() { return inFlight_ + random_.next() < limit_; }

  // Sent to only where there is no other.
  bool shunned(const Worker& w, Time now) const {
    return w.ejectedUntil > now || (w.ejectFor > 0 && w.inFlight > 0) || silent(w, now);
  }

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

  double load(const Worker& w, Time now) const {
    return w.inFlight + toward(w.others, meanOthers_, now - w.othersAt, kOthersKeep);
  }

  // Attempts out and no answer for several usual latencies: cut off, paused or dead, whatever the list says.
  // Seen long before the time-outs; may hurt where a single attempt is very long, so it takes two.
  bool silent(const Worker& w, Time now) const {
    return w.inFlight >= 2 && now - w.heardAt > kSilent * pace_.longest();
  }

  // The most attempts out lately; it fades.
  double mostOut(Time now) const {
    return std::max<double>(inFlight_, toward(mostOut_, 0, now - mostOutAt_, kPoolMemory));
  }

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

  const Settings& set_;
  Pace& pace_;
  burlwind::chances::Draws& random_;
  std::vector<Worker> workers_;       // in the order of their listing
  std::map<unsigned, double> kinds_;  // latency over the class's usual of each kind of worker
  double meanOthers_ = 0;             // of load reports: what the others have out at a worker
  double part_ = 1;        // of what this gateway may do; less while another process of it does the rest
  unsigned inFlight_ = 0;  // attempts out, at all workers
  double mostOut_ = 0;     // the most of late, as of mostOutAt_
  double limit_ = 0;       // and how many may be
  Time limitAt_ = 0, mostOutAt_ = 0;
  Time sentAt_ = 0, sendGap_ = 0;  // the last attempt, and the usual time between two
  double warmRate_ = 0;            // good answers of warm workers a ms
  Time warmAt_ = 0;
  unsigned warmWorkers_ = 0;
  Reason noWorker_ = Reason::nobody;
};

}  // namespace irisring::policy
