// A customer's quota as one gateway sees it: its bucket, the estimate of the customer's global store with the
// admit fraction, its part of hard ceilings, caps on attempts out, in an LRU table. No I/O, no clock.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <list>
#include <optional>

#include "chances/chances.hpp"
#include "chances/draws.hpp"
#include "irisring/decide.hpp"
#include "meter/meter.hpp"
#include "meter/pace.hpp"
#include "quota/bucket.hpp"
#include "quota/lru_table.hpp"

namespace irisring::policy {

namespace chances = burlwind::chances;
using namespace burlwind::meter;
using namespace burlwind::quota;

constexpr std::size_t kTable = 4096;    // customers held (the source's default); fewer: heavy ones return
constexpr std::size_t kEvictScan = 32;  // oldest entries looked at for one that loses nothing by eviction
constexpr Time kClimb = 5000;     // ms from the floor back to 1 without readings; longer: refuses on old news
constexpr double kClimbGaps = 3;  // and at least so many usual gaps between readings, where they are rare
constexpr Time kForget = 60000;   // ms, memory of the usual demand and others' peaks; shorter: gateways swing
constexpr Time kNews = 3000;  // ms, memory of readings and own sends in the use; longer: late to see a spike
constexpr double kDoubt = 0.5;  // requests that an assumed demand counts for; higher: late to believe news
constexpr double kUsualDemand = 1;      // of the rate: demand of a customer that nothing is known of
constexpr double kShareWeight = 4;      // requests that a share of 1/setSize counts for; lower: one is news
constexpr double kUnitsKeep = 8;        // requests behind the usual size
constexpr double kOwnTries = 0.2;       // own tries of late that the meter counts for where caps are judged
constexpr Time kOpenTau = 1000;         // ms, memory of own attempts out
constexpr Time kShareTau = 10000;       // ms, memory of the share; longer: slow after traffic moves
constexpr double kLogisticScale = 1.7;  // of a normal spread in the logistic one that stands for it
constexpr double kPaceMost =
    1.5;                         // usual requests that its part of the rate saves up while the store is empty
constexpr double kCaution = 1;   // spreads of doubt kept from the estimate; higher: refuses with room
constexpr double kManyWays = 2;  // stores or caps in the gateways of a set from which strangers are weighed
constexpr double kAskLeast = 0.25;    // of its rate, what a stranger may ask for
constexpr double kAskMost = 6;        // higher: fewer strangers are let in
constexpr double kTarget = 0.6;       // of the rate, what the fraction aims at
constexpr Time kPressedTau = 4000;    // ms, memory of how often the workers are full
constexpr double kPressedMost = 0.8;  // higher: nothing is let in on a doubtful estimate
constexpr double kDebt = 0.5;  // periods of the rate that the estimate may owe; 0: noise only ever adds room
// A metered peak of attempts out stands about kPeakSpread deviations and kPeakStep over their mean.
constexpr double kPeakSpread = 1.2;  // higher: caps go past
constexpr double kPeakStep = 0.5;
constexpr double kPeakNews = 0.3;  // weight of a new peak; higher: one crowd closes a cap
constexpr double kComesBack =
    0.6;                           // of its worth, what a try refused at a cap still brings; 0: even odds pay
constexpr double kHopeMost = 0.9;  // and what it is held to bring at most; 1: caps are never used up
constexpr unsigned kCapCounted = 16;  // caps up to this are counted one by one; higher: dear
constexpr double kKeptRoom = 2;  // requests of a ceiling that no state gives back; lower: waits for the disk
constexpr Time kAway = 1000;     // ms that a gateway is away at least for a restart; longer: passes ceilings

struct Customer {
  CustomerId id = 0;
  unsigned plan = 0;
  unsigned setSize = 1;
  Time at = 0;                    // bucket, store and ceiling are filled up to here
  Bucket tokens;                  // this gateway's bucket
  double store = 0;               // estimate of the customer's global store
  Bucket ceiling;                 // this gateway's part of the hard ceiling
  double kept = 0, keptNext = 0;  // of that, what the state on the disk gives back, or the next
  AdmitFraction fraction;         // of the design
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

struct Refusal {
  Time wait = 0;  // ms until it may find room
  Reason reason = Reason::unreadable;
};

class Quota {
 public:
  Quota(const Settings& settings, const Pace& pace, chances::Draws& random, Time now)
      : set_(settings),
        pace_(pace),
        random_(random),
        meter_(settings.meterPeriod),
        startedAt_(now),
        bucketSince_(now),
        ceilingSince_(now) {}

  Customer* peek(CustomerId id) { return table_.peek(id); }
  std::size_t size() const { return table_.size(); }
  Meter& meter() { return meter_; }

  // The customer's entry, filled up to now and moved to the recent end of the table.
  Customer& lookUp(Time now, const Request& ask) {
    if (Customer* const known = table_.touch(ask.customer)) {
      // The set may have changed; what is over its new part of the ceiling is gone at once (fill).
      known->setSize = std::max(1u, std::min(ask.setSize, set_.gateways));
      fill(*known, now);
      return *known;
    }
    if (table_.size() >= kTable) evict(now);
    return table_.add(ask.customer, make(now, ask));
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

  // Nothing: admitted. Else why not, and the time after which the customer may find room.
  std::optional<Refusal> admit(Customer& c, const Request& ask) {
    const PlanSettings& plan = set_.plans[c.plan];
    const double units = std::max(0.0, ask.units);
    const double left = c.ceiling.level - c.kept;
    if (plan.ceilingRate > 0 && left < units)
      return Refusal{1000 * (units - left) / (ceilingPart(c) * plan.ceilingRate), Reason::ceiling};
    const double want = std::min(units, plan.burst);
    c.units = toward(c.units, units, 1, kUnitsKeep);
    if (plan.rate > 0 && c.tokens.level < want)
      return Refusal{1000 * (want - c.tokens.level) / plan.rate, Reason::bucket};
    if (plan.openLimit > 0) {
      const bool crowded = isCrowded(c);
      c.wantOpen += pace_.usual(ask.klass) / kOpenTau;
      if (crowded) return Refusal{pace_.usual(ask.klass), Reason::cap};
    }
    noteDemand(c, units, 0);
    const bool empty = plan.rate > 0 && isEmpty(c, want);
    c.in[Meter::at(c.slot)] = static_cast<float>(empty ? c.fraction.value : 1);
    // The fraction times the demand is the rate: what it lets in here is this gateway's share of the rate,
    // measured out over time, so that a demand misjudged by some gateways does not add up past the quota.
    if (empty && c.credit < units)
      return Refusal{1000 * (units - c.credit) / (plan.rate * share(c)), Reason::store};
    if (empty) c.credit -= units;
    return std::nullopt;
  }

  void debit(Customer& c, double units, bool metered) {
    c.tokens.level -= units;
    c.ceiling.level -= units;
    c.store -= units;
    if (metered) c.sent[Meter::at(c.slot)] += static_cast<float>(units);
  }

  void settle(Customer& c, Time now, double back) {
    fill(c, now);
    const PlanSettings& plan = set_.plans[c.plan];
    c.tokens.fill(plan.burst, back);
    c.store = std::min(plan.burst, c.store + back);
  }

  void noteOpen(Customer& c, Time now, int change) {
    fill(c, now);
    c.open = static_cast<unsigned>(static_cast<int>(c.open) + change);
  }

  void read(Customer& c, Time now, int percent) {
    meter_.sight(c.reading, c.lookedAt, now, percent);
    c.lookedAt = now;
    if (!meter_.isNew(c.reading, c.readingAt, now, percent)) return;
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
    const long out = meter_.out(now);
    const double metered = percent / 100.0 * plan.rate * set_.meterPeriod / 1000;
    if (meter_.known()) meter_.learnLag(c.sent, c.units, out, metered);
    settleOthers(c, now, out - meter_.lag(), metered);
  }

  // Whether a worker was found for a try that was admitted.
  void notePressed(Time now, bool found) {
    pressed_ = std::min(kPressedMost, toward(pressed_, found ? 0 : 1, now - pressedAt_, kPressedTau));
    pressedAt_ = now;
  }

  // A part grows to the whole at once, but what is stored only by its rate.
  double part() const { return part_; }
  void actAs(Time now, double part) {
    const double cut = std::min(1.0, part / part_);
    for (Customer& c : table_) {
      fill(c, now);
      c.tokens.level *= cut, c.ceiling.level *= cut;
    }
    part_ = part;
  }

  // A state of now is made, and is on the disk: what it gives back of ceilings stays unspent.
  void keep(Time now) {
    for (Customer& c : table_) {
      fill(c, now);
      c.keptNext = std::max(0.0, c.ceiling.level - std::max(kKeptRoom * c.units, c.ceiling.level / 2));
      c.kept = std::max(c.kept, c.keptNext);  // it may be on the disk before that is told
    }
  }
  void kept() {
    for (Customer& c : table_) c.kept = c.keptNext;
  }

  // --- Hand-over ---
  template <class Do>
  void eachSince(Do& go) {
    go(bucketSince_), go(ceilingSince_);
  }
  template <class Do>
  void eachPressed(Do& go) {
    go(pressed_), go(pressedAt_);
  }
  template <class Change, class Do>  // with each customer as `change` makes it
  void writeTable(Change change, Do& pack) {
    pack.list(table_, kTable, [&](Customer& c) {
      Customer theirs = c;
      change(theirs);
      eachOf(theirs, pack);
    });
  }
  template <class Do>
  void readTable(Time now, Kept kept, Do& unpack) {
    std::list<Customer> read;
    unpack.list(read, kTable, [&](Customer& c) {
      eachOf(c, unpack);
      unpack.good = unpack.good && c.plan < set_.plans.size() && c.setSize >= 1 && c.setSize <= set_.gateways;
      if (!unpack.good || kept == Kept::no) return;
      c.kept = c.ceiling.level;  // drawn on until a moment ago, maybe: it does not fill meanwhile
      fill(c, now);
      c.ceiling.level = c.kept;
    });
    for (Customer& c : read) table_.add(c.id, c);
  }
  // From one that has read it. Whom the state does not name may have been met, unless it is handed over now.
  void takeTable(Quota& other, double part, Kept kept, std::vector<CustomerId>& out) {
    if (kept != Kept::no) bucketSince_ = ceilingSince_ = startedAt_;
    part_ = part;
    table_ = std::move(other.table_);
    for (const Customer& c : table_) out.insert(out.end(), c.open, c.id);
  }

 private:
  template <class Do>
  static void eachOf(Customer& c, Do& go) {
    go(c.id), go(c.plan), go(c.setSize), go(c.at), go(c.tokens.level), go(c.store), go(c.ceiling.level),
        go(c.fraction.value);
    go(c.reading), go(c.readingAt), go(c.readingGap), go(c.lookedAt), go(c.bornAt), go(c.toldTo),
        go(c.credit);
    go(c.units), go(c.newsUnits), go(c.newsTime), go(c.oldUnits), go(c.oldTime), go(c.ownUse), go(c.allUse);
    go(c.open), go(c.meanOpen), go(c.allOpen), go(c.wantOpen), go(c.slot);
    go.sparse(c.sent, 0), go.sparse(c.taken, 0), go.sparse(c.in, 1);
  }

  // A new customer's entry. A part of a request is nothing: all gateways of a large set would turn the first
  // ones away. Where the table has let go of spent buckets it stays so, or a thousand customers could draw it
  // anew and anew.
  Customer make(Time now, const Request& ask) {
    const PlanSettings& plan = set_.plans[ask.plan];
    Customer fresh;
    fresh.id = ask.customer;
    fresh.plan = ask.plan;
    fresh.setSize = std::max(1u, std::min(ask.setSize, set_.gateways));
    fresh.at = fresh.readingAt = now;
    fresh.bornAt = now;
    fresh.toldTo = now - set_.meterPeriod;
    const double first = bucketSince_ == startedAt_ ? std::min(plan.burst, ask.units) : 0;
    fresh.tokens.level = std::max(freshTokens(plan, fresh.setSize, now), first);
    fresh.store = plan.burst;
    fresh.units = std::max(0.0, ask.units);
    fresh.in.fill(1);
    fresh.credit = random_.next() * fresh.units;
    fresh.oldTime = share(fresh) * (now - bucketSince_) / 1000;
    fresh.newsTime = share(fresh) * std::min(kNews, now - bucketSince_) / 1000;
    // The ceiling's store lives on over restarts and evictions, so nothing is taken to be left in it but
    // what has come in since this gateway could last have sent for the customer.
    const double since = std::min(plan.ceilingBurst, plan.ceilingRate * (now - ceilingSince_) / 1000);
    fresh.ceiling.level = std::max(freshCeiling(fresh), ceilingPart(fresh) * since);
    fresh.slot = meter_.slotAt(now);
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
      if (it->open == 0 && it->fraction.value >= 1 &&
          it->tokens.level >= freshTokens(plan, it->setSize, now) &&
          it->ceiling.level >= ceilingPart(*it) * plan.ceilingBurst) {
        victim = it;
        break;
      }
    }
    if (victim->tokens.level < freshTokens(set_.plans[victim->plan], victim->setSize, now))
      bucketSince_ = now;
    if (victim->ceiling.level < ceilingPart(*victim) * set_.plans[victim->plan].ceilingBurst)
      ceilingSince_ = now;
    table_.drop(victim->id, victim);
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
  double othersUse(const Customer& c) const { return demand(c) * (1 - share(c)) * c.in[Meter::at(c.slot)]; }

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
    c.tokens.fill(plan.burst, part_ * plan.rate * dt);
    const double taken = othersTake(c, c.store, dt);
    c.store = std::min(plan.burst, c.store + plan.rate * dt - taken);
    c.ceiling.fill(ceilingPart(c) * plan.ceilingBurst, ceilingPart(c) * plan.ceilingRate * dt);
    const double keepNews = std::exp(-span / kNews), keep = std::exp(-span / kForget);
    c.newsUnits *= keepNews, c.newsTime = c.newsTime * keepNews + share(c) * dt;
    c.oldUnits *= keep, c.oldTime = c.oldTime * keep + share(c) * dt;
    const double keepShare = std::exp(-span / kShareTau);
    c.ownUse *= keepShare, c.allUse *= keepShare;
    if (now - c.readingAt > 2 * set_.meterPeriod) {  // a gateway that lets nothing in is told nothing
      c.fraction.climb(span / std::max(kClimb, kClimbGaps * c.readingGap));
      c.allOpen = toward(c.allOpen, 0, span, kForget);
    }
    c.meanOpen = toward(c.meanOpen, c.open, span, kOpenTau);
    c.wantOpen = toward(c.wantOpen, 0, span, kOpenTau);
    c.credit = std::min(kPaceMost * c.units, c.credit + plan.rate * share(c) * dt);
    touchSlot(c, now, taken);
    c.at = std::max(c.at, now);
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
    for (unsigned klass = 0; klass < pace_.classes(); ++klass) out += pace_.usual(klass);
    const double perMs = 1 / (1000 * std::max(c.units, 1e-9));
    const double byMeter = othersUse(c) * perMs * out / static_cast<double>(pace_.classes());
    const double tries = demand(c) * share(c) * perMs * kOpenTau;
    const double own = tries * tries, metered = kOwnTries * kOwnTries;
    return (own * byOwn + metered * byMeter) / (own + metered);
  }

  static unsigned partOf(unsigned cap, unsigned setSize) {
    return std::max(1u, static_cast<unsigned>(std::lround(static_cast<double>(cap) / setSize)));
  }

  // Moves on to the slot of now; `taken` is spread over those that have passed.
  void touchSlot(Customer& c, Time now, double taken) {
    const long to = meter_.slotAt(now), passed = std::max(0L, to - c.slot);
    const auto each = static_cast<float>(taken / static_cast<double>(passed + 1));
    const std::size_t from = Meter::at(c.slot);
    c.taken[from] += each;
    for (c.slot = std::max(c.slot, to - kSlots); c.slot < to;) {
      const std::size_t next = Meter::at(++c.slot);
      c.sent[next] = 0, c.taken[next] = each, c.in[next] = c.in[from];
    }
  }

  // The share over the time that no reading has told of, by the use of the period that one has. Readings come
  // with answers: a gateway that sends rarely would else count its part by periods in which it has never
  // sent.
  void noteShare(Customer& c, long to, double metered) {
    const double known =
        std::max({c.toldTo, c.bornAt, static_cast<double>(c.slot - kSlots + 1) * meter_.slotLength()});
    double own = 0;
    const long from = meter_.slotAt(known);
    for (long i = from; i < to; ++i) own += c.sent[Meter::at(i)];
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
    const double own = Meter::overPeriod(c.sent, end), in = Meter::overPeriod(c.in, end) / kPeriodSlots;
    const double others = std::max(0.0, metered - own);
    noteShare(c, end - kPeriodSlots, metered);
    c.ownUse += own, c.allUse += own + others;
    noteDemand(c, others, set_.meterPeriod / 1000 * (1 - share(c)) * in);
    // The reading tells what the fraction of its own period let in, whatever the fraction is by now.
    c.fraction.set(kTarget * plan.rate / demand(c));
    double sent = 0;  // since then
    for (long i = end - kPeriodSlots; i <= c.slot; ++i) {
      const double put = i < end ? others / kPeriodSlots : 0;
      c.store += c.taken[Meter::at(i)] - put;
      c.taken[Meter::at(i)] = static_cast<float>(put);
      if (i >= end) sent += c.sent[Meter::at(i)];
    }
    c.toldTo = static_cast<double>(end) * meter_.slotLength();
    const double seconds = std::max(0.0, now - std::max(c.toldTo, c.bornAt)) / 1000;
    const double taken = othersTake(c, c.store + sent - plan.rate * seconds, seconds);
    for (long i = end; i <= c.slot; ++i)
      c.taken[Meter::at(i)] = static_cast<float>(taken / static_cast<double>(c.slot - end + 1));
    c.store = std::clamp(c.store - taken, -debt(plan), plan.burst);
  }

  const Settings& set_;
  const Pace& pace_;
  chances::Draws& random_;
  LruTable<CustomerId, Customer> table_;
  Meter meter_;
  const Time startedAt_;
  Time bucketSince_, ceilingSince_;
  double part_ = 1;     // of what this gateway may do; less while another process of it does the rest
  double pressed_ = 0;  // share of admitted tries that find no worker
  Time pressedAt_ = 0;
};

}  // namespace irisring::policy
