// Coming back under virtual time: each degree by its own news, what age does to what was stored, stops, and
// random plays against a model that keeps no state but what happened.
#include "recovery/core.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "faults/random.hpp"

namespace burlwind::recovery {
namespace {

const Horizons kHorizons{3000, 5000, 2000, 4000, true};

Stored stored(Found found, Time age = 0, double rate = 0) {
  Stored out;
  out.found = found, out.age = age, out.goodPerSecond = rate;
  return out;
}

std::vector<Degree> degrees(const Core& core, Time now) {
  std::vector<Degree> out;
  for (std::size_t i = 0; i < kThings; ++i) out.push_back(core.degree(static_cast<Thing>(i), now));
  return out;
}

constexpr Degree N = Degree::nothing, D = Degree::doubtful, S = Degree::sure;

TEST(Recovery, WithoutStateNothingIsKnown) {
  for (const Found found : {Found::unkept, Found::none, Found::spoilt}) {
    const Core core(0, stored(found), kHorizons);
    EXPECT_EQ(degrees(core, 0), (std::vector{N, N, N, N, N})) << nameOf(found);
    EXPECT_EQ(core.permits(), Permits{}) << nameOf(found);
  }
}

TEST(Recovery, EachThingThatWasStoredHasAnAgeOfItsOwn) {
  const auto permits = [](Found found, Time age) { return Core(0, stored(found, age), kHorizons).permits(); };
  EXPECT_EQ(permits(Found::whole, 0), (Permits{true, true, true}));
  EXPECT_EQ(permits(Found::whole, kWorkersMost), (Permits{true, true, true}));
  EXPECT_EQ(permits(Found::whole, kWorkersMost + 1), (Permits{true, true, false}));
  EXPECT_EQ(permits(Found::whole, kUseMost + 1), (Permits{true, false, false}));
  EXPECT_EQ(permits(Found::whole, kListMost + 1), (Permits{false, false, false}));
  EXPECT_EQ(permits(Found::whole, -1), (Permits{false, false, false}));  // from the future
  EXPECT_EQ(permits(Found::ageless, 0), (Permits{true, false, false}));
}

TEST(Recovery, WhatWasStoredIsNeverSure) {
  const Core core(0, stored(Found::whole), kHorizons);
  for (const Degree degree : degrees(core, 0)) EXPECT_NE(degree, S);
}

TEST(Recovery, IsWholeWhenEachThingHasBeenSure) {
  Core core(100, stored(Found::none), kHorizons);
  core.on(100, Event::cached);
  EXPECT_EQ(core.degree(Thing::list, 100), D);
  EXPECT_TRUE(core.on(150, Event::listed));
  EXPECT_FALSE(core.on(160, Event::listed));  // nothing new
  core.on(200, Event::good), core.on(300, Event::reading);
  EXPECT_EQ(degrees(core, 300), (std::vector{S, D, D, N, N}));
  EXPECT_TRUE(core.look(2100));                 // out
  EXPECT_FALSE(core.on(3099, Event::reading));  // tells of time before the start
  EXPECT_TRUE(core.on(3100, Event::reading));
  EXPECT_EQ(core.next(3100), 5100);  // out is over by then
  EXPECT_EQ(core.degree(Thing::out, 2099), N);
  EXPECT_EQ(core.degree(Thing::out, 2100), S);
  EXPECT_TRUE(core.on(4200, Event::good));
  EXPECT_FALSE(core.whole(5099));
  EXPECT_EQ(core.toWhole(), kNever);
  EXPECT_TRUE(core.look(5100));
  EXPECT_EQ(core.toWhole(), 5000);
  EXPECT_FALSE(core.look(5200));
}

TEST(Recovery, WithoutNewsAThingIsSureOnceNothingOfItCanBeLeft) {
  Core core(0, stored(Found::none), kHorizons);
  core.on(0, Event::listed);
  EXPECT_FALSE(core.whole(kAnyway - 1));
  EXPECT_TRUE(core.whole(kAnyway));
  Horizons unmetered = kHorizons;
  unmetered.metered = false;
  EXPECT_EQ(Core(0, stored(Found::none), unmetered).degree(Thing::use, 3000), S);
}

TEST(Recovery, NineTenthsIsOfTheRateThatTheStoreTellsOf) {
  Core core(0, stored(Found::whole, 10, 100), kHorizons);
  Time now = 0;
  for (; core.toNineTenths() == kNever && now < 10000; now += 10) core.on(now, Event::good);  // 100 a second
  // The rate's memory is 1 s: 1 - e^-2.3 is nine tenths.
  EXPECT_NEAR(core.toNineTenths(), 2300, 50);
  Core none(0, stored(Found::none), kHorizons);
  for (now = 0; now < 10000; now += 10) none.on(now, Event::good);
  EXPECT_EQ(none.toNineTenths(), kNever);
}

TEST(Recovery, AStopTakesBackWhatTimeHasMadeStaleAndNothingElse) {
  const auto whole = [] {
    Core core(0, stored(Found::none), kHorizons);
    core.on(0, Event::listed), core.on(10, Event::good);
    core.on(6000, Event::good), core.on(6000, Event::reading);
    return core;
  };
  Core core = whole();
  ASSERT_TRUE(core.whole(6000));
  EXPECT_FALSE(core.woke(6000, 6000 + kStopLeast - 1));  // a late timer
  EXPECT_TRUE(core.whole(6300));
  EXPECT_TRUE(core.woke(6000, 7000));
  EXPECT_EQ(degrees(core, 7000), (std::vector{D, S, S, S, S}));
  EXPECT_EQ(core.holdsUntil(), 7000 + kHold);
  core.on(7010, Event::listed);
  EXPECT_LT(core.holdsUntil(), 0);
  EXPECT_TRUE(core.whole(7010));
  EXPECT_EQ(core.toWhole(), 6000);  // once

  Core longer = whole();
  longer.woke(6000, 9500);
  EXPECT_EQ(degrees(longer, 9500), (std::vector{D, S, D, S, S}));
  Core longest = whole();
  longest.woke(6000, 16000);
  EXPECT_EQ(degrees(longest, 16000), (std::vector{D, D, D, S, S}));
  longest.on(16100, Event::good), longest.on(16100, Event::listed);
  longest.on(18999, Event::reading);
  EXPECT_EQ(longest.degree(Thing::use, 18999), D);
  longest.on(19000, Event::reading), longest.on(20100, Event::good);
  EXPECT_TRUE(longest.whole(20100));
  EXPECT_EQ(longest.stops(), 1u);
}

TEST(Recovery, WhatIsReadAfterAStopMayHaveComeAtItsBegin) {
  Core core(0, stored(Found::none), kHorizons);
  EXPECT_EQ(core.cameAt(500), 500);
  core.woke(1000, 4000);
  EXPECT_EQ(core.cameAt(4000), 1000);
  EXPECT_EQ(core.cameAt(4000 + kTurn - 1), 1000);
  EXPECT_EQ(core.cameAt(4000 + kTurn), 4000 + kTurn);
}

TEST(Recovery, WhatAStopLengthensIsMeasuredWithoutIt) {
  Core core(0, stored(Found::none), kHorizons);
  EXPECT_EQ(core.lived(500, 2000), 500);
  core.woke(1000, 4000);
  EXPECT_TRUE(core.stoppedDuring(3100, 4000));
  EXPECT_EQ(core.lived(3100, 4000), 100);  // began 100 ms before it
  EXPECT_EQ(core.lived(3200, 4100), 200);
  EXPECT_EQ(core.lived(2000, 4500), 500);  // told to have begun while it lasted: when it could go on
  EXPECT_FALSE(core.stoppedDuring(400, 4500));
  EXPECT_EQ(core.lived(400, 4500), 400);
}

// 300 clients that are refused in the first tenth of a second, told to come back after 250 ms, 1 s at most.
TEST(Recovery, WhoIsRefusedInTheFirstSecondDoesNotComeBackInOneMoment) {
  const Core core(0, stored(Found::none), kHorizons);
  faults::Random random(7, "refused");
  const auto most = [&](bool drawn) {
    std::vector<int> tenths(20);
    for (int i = 0; i < 300; ++i) {
      const Time now = i / 3.0;
      ++tenths[static_cast<std::size_t>((now + core.comeBack(250, 1000, drawn ? random.unit() : 0, now)) /
                                        100)];
    }
    return *std::max_element(tenths.begin(), tenths.end());
  };
  EXPECT_GE(most(false), 140);  // 300 over one tenth of a second
  EXPECT_LE(most(true), 60);    // over 0.75 s
  // Bounds, and later on as the module says.
  EXPECT_EQ(core.comeBack(250, 1000, 0, 999), 250);
  EXPECT_LE(core.comeBack(250, 1000, 0.999999, 999), 1000);
  EXPECT_EQ(core.comeBack(250, 0, 0.5, 0), 375);
  EXPECT_EQ(core.comeBack(2000, 1000, 0.5, 0), 2000);
  EXPECT_EQ(core.comeBack(250, 1000, 0.5, kCrowd), 250);
}

TEST(Backoff, GrowsToItsBoundAndIsDrawnFromItsUpperHalf) {
  Backoff backoff{50, 500};
  EXPECT_DOUBLE_EQ(backoff.next(0), 25);
  EXPECT_DOUBLE_EQ(backoff.next(0), 50);
  for (int i = 0; i < 10; ++i) backoff.next(0.5);
  EXPECT_DOUBLE_EQ(backoff.next(0), 250);
  EXPECT_LE(backoff.next(0.999999), 500);
  backoff.reset();
  EXPECT_DOUBLE_EQ(backoff.next(0), 25);
}

// A fleet that lost its discovery in one moment does not come back in one: no tenth of a second, once the
// span has grown, has more than three times its even part of the tries. Without the draw it has all of them.
TEST(Backoff, AFleetThatFailedTogetherComesBackApart) {
  const auto most = [](bool drawn) {
    constexpr int kAskers = 300;
    faults::Random random(7, "backoff");
    std::vector<int> tenths(120);
    for (int i = 0; i < kAskers; ++i) {
      Backoff backoff{50, 500};
      for (Time at = 0; at < 10000; at += backoff.next(drawn ? random.unit() : 1))
        ++tenths[static_cast<std::size_t>(at / 100)];
    }
    return *std::max_element(tenths.begin() + 20, tenths.begin() + 99);
  };
  const int even = 300 * 100 / 375;  // a mean span of 375 ms
  EXPECT_LE(most(true), 3 * even / 2);
  EXPECT_EQ(most(false), 300);
}

// --- Random plays against a model ---
struct Happened {
  Time at;
  enum What { cached, listed, reading, good, woke } what;
  Time since = 0;  // of a stop
};

// What is known at `now` by everything that happened, looked at anew each time.
class Model {
 public:
  std::vector<Happened> all;
  Stored stored;
  Time start = 0;

  Degree list(Time now) const {
    const Time stop = lastStop(now, kStopLeast);
    if (any(Happened::listed, stop, now)) return S;
    return any(Happened::listed, -1, now) || any(Happened::cached, -1, now) ? D : N;
  }
  Degree byNews(Happened::What what, Time horizon, bool fromFirst, bool kept, Time now) const {
    const Time stop = lastStop(now, horizon);
    const Time fresh = fromFirst ? first(what, stop, now) : lastStop(now, kStopLeast);
    // Sure from the first news that lies so long after, unless a later short stop had moved the begin on.
    for (const Happened& h : all)
      if (h.what == what && h.at > stop && h.at <= now) {
        const Time from = fromFirst ? fresh : std::max(lastStop(h.at, kStopLeast), start);
        if (h.at - from >= horizon) return S;
      }
    if (now >= std::max(stop, start) + kAnyway) return S;
    return stop > start || kept || any(what, -1, now) ? D : N;
  }

 private:
  bool any(Happened::What what, Time after, Time now) const {
    return std::any_of(all.begin(), all.end(),
                       [&](const Happened& h) { return h.what == what && h.at > after && h.at <= now; });
  }
  Time first(Happened::What what, Time after, Time now) const {
    for (const Happened& h : all)
      if (h.what == what && h.at > after && h.at <= now) return h.at;
    return kNever;
  }
  // The end of the last stop that lasted longer than this (at least kStopLeast); the start where none did.
  Time lastStop(Time now, Time longer) const {
    Time out = -1;
    for (const Happened& h : all)
      if (h.what == Happened::woke && h.at <= now && h.at - h.since >= kStopLeast &&
          (longer == kStopLeast || h.at - h.since > longer))
        out = h.at;
    return out;
  }
};

TEST(Recovery, TenThousandRandomPlaysAgreeWithTheModel) {
  for (std::uint64_t seed = 0; seed < 10000; ++seed) {
    faults::Random random(seed, "recovery");
    Model model;
    model.stored = stored(random.chance(0.5) ? Found::whole : Found::none,
                          random.chance(0.5) ? 0 : random.between(0, 2 * kUseMost));
    Core core(0, model.stored, kHorizons);
    const Permits permits = core.permits();
    Time now = 0;
    for (int step = 0; step < 30; ++step) {
      now += random.chance(0.1) ? random.between(0, 70e3) : random.between(1, 2500);
      Happened h{now, static_cast<Happened::What>(random.below(5))};
      if (h.what == Happened::woke) {
        h.since = now - random.between(0, random.chance(0.5) ? 500 : 6000);
        core.woke(h.since, now);
      } else {
        core.on(now, static_cast<Event>(h.what));
      }
      model.all.push_back(h);
      ASSERT_EQ(core.degree(Thing::list, now), model.list(now)) << "seed " << seed << " step " << step;
      ASSERT_EQ(core.degree(Thing::use, now),
                model.byNews(Happened::reading, kHorizons.use, false, permits.takesUse, now))
          << "seed " << seed << " step " << step;
      ASSERT_EQ(core.degree(Thing::warmth, now),
                model.byNews(Happened::good, kHorizons.warmth, true, permits.takesWorkers, now))
          << "seed " << seed << " step " << step;
      ASSERT_EQ(core.degree(Thing::ceilings, now) == S, now >= kHorizons.ceilings);
      ASSERT_EQ(core.degree(Thing::out, now) == S, now >= kHorizons.out);
    }
  }
}

}  // namespace
}  // namespace burlwind::recovery
