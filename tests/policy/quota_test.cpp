#include <cmath>
#include <list>
#include <map>
#include <memory>

#include "policy/recorder.hpp"

namespace irisring::test {
namespace {

// Asks and, when sent, serves at once. Returns whether it was let in.
bool served(Bench& b, unsigned plan = 0, CustomerId customer = 1, int percent = -1, double units = 1,
            unsigned setSize = 2) {
  const RequestId id = b.ask(0, plan, customer, units, setSize);
  if (!b.wasSent(id)) return false;
  b.end(id, Result::ok, 50, percent);
  return true;
}

// What a meter of all gateways tells of a customer of plan 0 (ten a second): the units of the last finished
// second in percent, some time after its end; below 0 before the first.
class Meter {
 public:
  explicit Meter(Time lag) : lag_(lag) {}
  void add(Time now) { ++units_[static_cast<long>(now / 1000)]; }
  int percent(Time now) const {
    const long second = static_cast<long>(std::floor((now - lag_) / 1000)) - 1;
    if (second < 0) return -1;
    const auto found = units_.find(second);
    return found == units_.end() ? 0 : 10 * found->second;
  }

 private:
  Time lag_;
  std::map<long, int> units_;
};

std::vector<Member> fleet() {
  std::vector<Member> all;
  for (WorkerId w = 1; w <= 50; ++w) all.push_back(member(w));
  return all;
}

TEST(Quota, NewCustomerStartsAtBurstOverItsGateways) {
  Bench b;
  b.list({member(1)});
  int in = 0;
  while (served(b)) ++in;
  EXPECT_EQ(in, 10);
}

TEST(Quota, FillsTowardTheWholeRateAndBurst) {
  Settings s = settings();
  s.gateways = 1;
  Bench b(s);
  b.list({member(1)});
  while (served(b, 0, 1, -1, 1, 1)) {
  }
  b.now += 500;
  int in = 0;
  while (served(b, 0, 1, -1, 1, 1)) ++in;
  EXPECT_EQ(in, 5);
  b.now += 60000;
  in = 0;
  while (served(b, 0, 1, -1, 1, 1)) ++in;
  EXPECT_EQ(in, 20);
}

TEST(Quota, EmptyBucketRefusesAtOnceWithAnHonestRetryAfter) {
  Bench b;
  b.list({member(1)});
  while (served(b)) {
  }
  EXPECT_TRUE(b.wasRefused(b.last));
  EXPECT_NEAR(b.recorder.refused[b.last], 100, 1);  // one unit at ten a second
  EXPECT_TRUE(b.recorder.timers.empty());
}

TEST(Quota, TrueUnitsSquareTheGuess) {
  Settings s = settings();
  s.gateways = 1, s.settlesUnits = true;
  Bench b(s);
  b.list({member(1)});
  const RequestId id = b.ask(0, 0, 1, 8, 1);
  b.end(id, Result::ok, 50, -1, true, 3);  // five come back
  int in = 0;
  while (served(b, 0, 1, -1, 1, 1)) ++in;
  EXPECT_EQ(in, 17);
}

// A reading counts once, however many answers of its period it rides on.
TEST(Quota, RepeatedReadingTrimsOnce) {
  Settings s = settings();
  s.gateways = 1;
  const auto admitted = [&](int repeats) {
    Bench b(s);
    b.list({member(1)});
    for (int i = 0; i < 20; ++i) served(b, 0, 1, -1, 1, 1);
    b.now += 1100;
    for (int i = 0; i < repeats; ++i) served(b, 0, 1, 200, 1, 1);
    int in = 0;
    for (int i = 0; i < 400; ++i) {
      b.now += 100;
      in += served(b, 0, 1, -1, 1, 1);
    }
    return in;
  };
  EXPECT_NEAR(admitted(1), admitted(6), 12);
}

// Two gateways' worth of traffic: readings well above the quota trim what is let in past it.
TEST(Quota, ReadingsAboveTheQuotaTrim) {
  const auto admitted = [](int percent) {
    Bench b;
    b.list({member(1)});
    int in = 0;
    for (int i = 0; i < 600; ++i) {
      b.now += 50;
      in += served(b, 0, 1, percent);
    }
    return in;
  };
  EXPECT_LT(admitted(200), 0.75 * admitted(100));
}

TEST(Quota, FractionClimbsBackWithoutReadings) {
  Bench b;
  b.list({member(1)});
  for (int i = 0; i < 200; ++i) {
    b.now += 50;
    served(b, 0, 1, 400);
  }
  b.now += 60000;
  int in = 0;
  for (int i = 0; i < 40; ++i) {
    b.now += 500;  // two a second against ten
    in += served(b);
  }
  EXPECT_EQ(in, 40);
}

// A gateway that refuses is told nothing; it keeps believing the others for a while, not for ever.
TEST(Quota, BelievesOthersForAWhileWithoutReadings) {
  Settings s = settings();
  s.plans[1].overCost = 1.2;
  Bench b(s);
  b.list({member(1)});
  for (int i = 0; i < 40; ++i) {
    b.now += 500;
    const RequestId id = b.ask(0, 1);
    if (b.wasSent(id)) b.end(id, Result::ok, 50, 400);
  }
  b.now += 3000;
  int soon = 0, late = 0;
  for (int i = 0; i < 20; ++i) soon += b.wasSent(b.ask(0, 1));
  EXPECT_EQ(soon, 0);
  b.now += 300000;
  for (int i = 0; i < 20; ++i) late += b.wasSent(b.ask(0, 1));
  EXPECT_EQ(late, 2);
}

// Several gateways, none of which sees the others, before one customer whose tries come by chance and whose
// plan caps what it has out at once.
struct Capped {
  unsigned sent = 0, beyond = 0, refused = 0;
};
Capped underACap(unsigned gateways, unsigned cap, double triesPerSecond, Time length, Time span) {
  Settings s = settings();
  s.gateways = gateways;
  s.plans[1].openLimit = cap;
  s.plans[1].overCost = 1.2;
  std::vector<Member> fleet;
  for (WorkerId id = 1; id <= 100; ++id) fleet.push_back(member(id));
  std::vector<std::unique_ptr<Bench>> all;
  for (unsigned i = 0; i < gateways; ++i) {
    all.push_back(std::make_unique<Bench>(s));
    all.back()->list(fleet);
  }
  std::multimap<Time, std::pair<Bench*, RequestId>> out;
  Capped counts;
  std::uint64_t state = 1;
  for (Time now = 0; now < span; now += 1) {
    while (!out.empty() && out.begin()->first <= now) {
      const auto [gate, id] = out.begin()->second;
      out.erase(out.begin());
      gate->now = now;
      gate->end(id, Result::ok, length);
    }
    for (const auto& gate : all) {
      state = state * 6364136223846793005 + 1442695040888963407;
      if (static_cast<double>(state >> 40) >= std::ldexp(triesPerSecond / 1000, 24)) continue;
      gate->now = now;
      const RequestId id = gate->ask(0, 1, 1, 1, gateways);
      if (!gate->wasSent(id)) {
        ++counts.refused;
        continue;
      }
      ++counts.sent;
      counts.beyond += out.size() >= cap;
      out.emplace(now + length, std::pair{gate.get(), id});
    }
  }
  return counts;
}

// A customer that asks for more does so at all of its gateways, and its metered peaks tell of it too late.
TEST(Quota, ACapHoldsOverGatewaysThatAreToldNothing) {
  for (const unsigned gateways : {2u, 3u, 4u}) {
    const Capped busy = underACap(gateways, 2, 12, 80, 60000);
    EXPECT_LT(busy.beyond, busy.sent * 3 / 10) << gateways << " gateways, " << busy.sent << " sent";
    EXPECT_GT(busy.sent, 600u) << gateways << " gateways";
  }
}

TEST(Quota, ACapLeavesALightCustomerAlone) {
  const Capped light = underACap(3, 2, 0.5, 80, 120000);
  EXPECT_LE(light.refused, light.sent / 50) << light.sent << " sent";
}

// Also a cap of hundreds, of which each gateway may use its part.
TEST(Quota, ALargeCapIsUsedUpToItsPart) {
  const Capped busy = underACap(2, 400, 2000, 150, 20000);
  EXPECT_GT(busy.sent, 20u * 1000);
  EXPECT_LT(busy.beyond, busy.sent / 20);
}

TEST(Quota, CapOnAttemptsOutAtOnce) {
  Bench b;
  b.list({member(1)});
  const RequestId first = b.ask(0, 1), second = b.ask(0, 1), third = b.ask(0, 1);
  EXPECT_TRUE(b.wasSent(first));
  EXPECT_TRUE(b.wasSent(second));
  EXPECT_TRUE(b.wasRefused(third));
  b.end(first, Result::ok);
  EXPECT_TRUE(b.wasSent(b.ask(0, 1)));
}

TEST(Quota, OneOffCustomersDoNotBringAHeavyOneBackRefilled) {
  Settings s = settings();
  s.plans[0].rate = 0.001;
  Bench b(s);
  b.list({member(1)});
  while (served(b)) {
  }
  for (CustomerId c = 100; c < 9000; ++c) {
    b.gateway.request(b.now, {++b.last, 0, 0, c, b.now + 3000, 100000, 2});  // never let in: loses nothing
  }
  EXPECT_LE(b.gateway.customersHeld(), 4096u);
  EXPECT_FALSE(served(b));
}

// A trickle past the fraction's floor, for a customer that asks many times its quota, adds up to a good part
// of it.
TEST(Quota, NoTrickleWhileTheEstimateOwes) {
  Bench b;
  b.list({member(1)});
  int in = 0;
  for (int i = 0; i < 4000; ++i) {
    b.now += 5;  // 200 a second against ten, and the meter tells twice the rate
    in += served(b, 0, 1, 200);
  }
  EXPECT_LT(in, 20 * 10 / 2 + 20);  // half the rate, and the first burst
}

// Many gateways: each meets a customer rarely, and its part of a small burst is under one request. A gateway
// that has long been up lets the first one in.
TEST(Quota, FirstRequestOfACustomerAtAGatewayLongUpIsLetIn) {
  Settings s = settings();
  s.gateways = 200;
  s.plans[0].rate = 1, s.plans[0].burst = 4;
  Bench b(s);
  b.list(fleet());
  b.now += 20000;
  EXPECT_TRUE(served(b, 0, 1, -1, 1, 30));
}

// Its own rare requests and readings of little use say nothing against a calm customer among thirty gateways;
// readings of three times the quota trim it.
TEST(Quota, RareRequestsGoByTheReadings) {
  const auto admitted = [](int percent) {
    Settings s = settings();
    s.gateways = 200;
    s.plans[0].rate = 1, s.plans[0].burst = 4;
    Bench b(s);
    b.list(fleet());
    int in = 0;
    for (int i = 0; i < 40; ++i) {
      b.now += 5000;
      in += served(b, 0, 1, percent, 1, 30);
    }
    return in;
  };
  EXPECT_EQ(admitted(0), 40);
  EXPECT_LT(admitted(300), 25);
}

// A customer far past its quota, spread evenly over ten gateways: each lets in about its tenth of the rate,
// whatever it makes of the demand. Together they would else go past the quota by what they misjudge.
TEST(Quota, WhileTheStoreIsEmptyAGatewayLetsInItsShareOfTheRate) {
  Settings s = settings();
  s.gateways = 10;
  std::list<Bench> gates;
  for (s.self = 0; s.self < s.gateways; ++s.self) gates.emplace_back(s).list({member(1)});
  Meter meter(500);
  int in = 0;
  for (Time now = 50; now < 60000; now += 50) {  // twenty a second at each, two hundred in all, against ten
    for (Bench& gate : gates) {
      gate.now = now;
      const bool let = served(gate, 0, 1, meter.percent(now), 1, 10);
      if (let) meter.add(now);
      if (now > 10000) in += let;
    }
  }
  EXPECT_GT(in, 250);
  EXPECT_LT(in, 750);  // of 50 seconds at ten a second
}

// A gateway through which all of a customer's requests come, at odd times and inside its quota. Held against
// another time than the meter's, its own sends look like those of others, and the room is refused.
TEST(Quota, FindsOutWhatTimeReadingsTellOf) {
  for (const Time lag : {300.0, 900.0, 1700.0}) {
    Bench b;
    b.list(fleet());
    Meter meter(lag);
    int asked = 0, in = 0;
    std::uint32_t dice = 1;
    for (Time now = 0; now < 60000; now += 100) {
      dice = dice * 1664525 + 1013904223;
      if ((dice >> 16) % 50 >= 10) continue;
      for (int i = 0; i < 4; ++i) {  // eight a second against ten, four at a time
        b.now = now + 10 * i;
        const bool let = served(b, 0, 1, meter.percent(b.now));
        if (let) meter.add(b.now);
        if (now > 10000) ++asked, in += let;
      }
    }
    EXPECT_GT(in, 0.9 * asked) << "lag " << lag;
  }
}

TEST(Quota, ZeroRatesAndAbsentReadingsAreLegal) {
  Settings s = settings();
  s.meterPeriod = 0;
  s.plans = {PlanSettings{}};
  Bench b(s);
  b.list({member(1)});
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(served(b, 0, 1, i % 2 ? 0 : -1));
}

// --- Requests that somebody else sends on ---

TEST(Leave, TakesUnitsOfTheSameQuotaAndNeedsNoWorker) {
  Bench b;
  const auto leave = [&] { return b.gateway.leave(b.now, {0, 0, 0, 1, b.now, 1, 1}, true); };
  unsigned granted = 0;
  while (leave().granted) ++granted;
  EXPECT_EQ(granted, 20u) << "the burst";
  EXPECT_GT(leave().retryAfter, 0);
  b.list({member(1)});
  EXPECT_TRUE(b.wasRefused(b.ask(0, 0, 1, 1, 1))) << "one quota";
  EXPECT_TRUE(b.recorder.sends.empty());
  EXPECT_EQ(b.gateway.requestsHeld(), 0u);
}

TEST(Leave, CountsAsOutUntilItHasReturned) {
  Bench b;
  const auto leave = [&] { return b.gateway.leave(b.now, {0, 0, 1, 1, b.now, 1, 1}, true).granted; };
  EXPECT_TRUE(leave());
  EXPECT_TRUE(leave());
  EXPECT_FALSE(leave()) << "the cap of two";
  b.gateway.returned(b.now, 1);
  EXPECT_TRUE(leave());
  for (int i = 0; i < 5; ++i) b.gateway.returned(b.now, 1);  // more than are out
  b.gateway.returned(b.now, 99);
  b.now += 5000;
  EXPECT_TRUE(leave());
}

TEST(Leave, TheCeilingHolds) {
  Settings s = settings();
  s.plans[2].burst = 1000, s.plans[2].rate = 1000;
  Bench b(s);
  b.now += 60000;
  double granted = 0;
  while (b.gateway.leave(b.now, {0, 0, 2, 1, b.now, 1, 2}, true).granted) ++granted;
  EXPECT_LE(granted, s.plans[2].ceilingBurst / 2);
}

TEST(Leave, WhatCannotBeIsRefused) {
  Bench b;
  EXPECT_FALSE(b.gateway.leave(0, {0, 99, 0, 1, 0, 1, 1}, true).granted);
  EXPECT_FALSE(b.gateway.leave(0, {0, 0, 99, 1, 0, 1, 1}, true).granted);
  EXPECT_FALSE(b.gateway.leave(0, {0, 0, 0, 1, 0, std::nan(""), 1}, true).granted);
}

// What the meter does not count must not be taken off the others' use that it tells of.
TEST(Leave, UnmeteredUseIsNotHeldAgainstTheMeter) {
  const auto refusedAfter = [](bool metered) {
    Bench b;
    b.list({member(1)});
    unsigned refused = 0;
    for (int i = 0; i < 200; ++i) {
      b.now += 100;
      refused += !b.gateway.leave(b.now, {0, 0, 0, 1, b.now, 0.5, 2}, metered).granted;
      refused += !served(b, 0, 1, 70, 0.1);  // of that a tenth of the quota is used here
    }
    return refused;
  };
  EXPECT_GT(refusedAfter(false), refusedAfter(true));
}

}  // namespace
}  // namespace irisring::test
