// A state that is kept on a disk: whenever the process dies, what the next one takes up passes no ceiling.
#include <deque>

#include "faults/random.hpp"
#include "recorder.hpp"

namespace irisring::test {
namespace {

using burlwind::faults::Random;

Settings alone() {
  Settings s = settings();
  s.gateways = 1;
  s.plans[2].rate = 0, s.plans[2].burst = 0;  // the ceiling alone binds
  return s;
}

constexpr unsigned kCeiling = 2;  // plan: 20 units a second, 40 at once

// The customer's store as one that sees all would have it.
struct Truth {
  double store = 40, least = 40;
  Time at = 0;
  void spend(Time now, double units) {
    store = std::min(40.0, store + 20 * (now - at) / 1000) - units;
    at = now;
    least = std::min(least, store);
  }
};

std::vector<Member> many() {
  std::vector<Member> out;
  for (WorkerId id = 1; id <= 20; ++id) out.push_back(member(id));
  return out;
}

// One customer at its ceiling, or in bursts; states are made at random, are on the disk some time later or
// never, and the process dies at any moment. `early`: it is told that a state is on the disk when it is not
// yet.
Truth play(std::uint64_t seed, bool early, unsigned& sent) {
  Random random(seed, "kept");
  Truth truth;
  std::optional<State> disk;
  std::optional<std::pair<Time, State>> writing;
  auto bench = std::make_unique<Bench>(alone());
  bench->list(many());
  Time now = 0;
  for (int step = 0; step < 1500; ++step) {
    now += random.chance(0.02) ? random.between(0, 3000) : random.between(0, 20);
    bench->now = now;
    if (writing && writing->first <= now) {
      disk = std::move(writing->second);
      writing.reset();
      bench->gateway.remembered();
    }
    if (!writing && random.chance(0.03)) {
      writing = {now + random.between(0, 300), bench->gateway.remember(now)};
      if (early) bench->gateway.remembered();
    }
    if (random.chance(0.01)) {  // what is being written is lost or there, and nobody was told
      if (writing && random.chance(0.5)) disk = std::move(writing->second);
      writing.reset();
      now += random.between(0, 500);
      bench = std::make_unique<Bench>(alone(), now);
      bench->list(many());
      std::vector<CustomerId> out;
      if (disk) {
        EXPECT_TRUE(bench->gateway.takeOver(now, *disk, 1, out, Kept::lately));
      }
      for (const CustomerId customer : out) bench->gateway.returned(now, customer);
    }
    const double units = random.chance(0.2) ? 3 : 1;
    const RequestId id = bench->ask(0, kCeiling, 1, units, 1);
    if (!bench->wasSent(id)) continue;
    ++sent;
    truth.spend(now, units);
    bench->end(id, Result::ok, 5);
  }
  return truth;
}

TEST(Kept, NoCeilingIsPassedWheneverTheProcessDies) {
  unsigned sent = 0;
  for (std::uint64_t seed = 0; seed < 500; ++seed)
    ASSERT_GE(play(seed, false, sent).least, -1e-6) << "seed " << seed;
  EXPECT_GT(sent, 500u * 100);
}

// The planted bug: a state counts as kept before it is on the disk.
TEST(Kept, SpendingBeforeTheStateIsOnTheDiskIsCaught) {
  unsigned sent = 0, passed = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) passed += play(seed, true, sent).least < -1e-6;
  EXPECT_GT(passed, 0u);
}

TEST(Kept, AQuietCustomersCeilingGoesOnAndASpentOneStaysSpent) {
  for (const bool spent : {false, true}) {
    Bench old(alone());
    old.list(many());
    old.ask(0, kCeiling, 1, 1, 1);
    old.now = 10000;
    for (int i = 0; spent && i < 45; ++i)
      if (const RequestId id = old.ask(0, kCeiling, 1, 1, 1); old.wasSent(id)) old.end(id, Result::ok, 5);
    const State state = old.gateway.remember(old.now);
    Bench fresh(alone(), old.now + 500);
    fresh.list(many());
    std::vector<CustomerId> out;
    ASSERT_TRUE(fresh.gateway.takeOver(fresh.now, state, 1, out, Kept::lately));
    fresh.gateway.remember(fresh.now);
    fresh.gateway.remembered();  // half of it may be spent
    unsigned sent = 0;
    for (int i = 0; i < 40; ++i) sent += fresh.wasSent(fresh.ask(0, kCeiling, 1, 1, 1));
    EXPECT_EQ(sent, spent ? 0u : 10u);
  }
}

TEST(Kept, OfLongAgoNothingIsTakenOfWorkers) {
  Settings s = alone();
  Bench old(s);
  old.list({member(1)});
  for (int i = 0; i < 2; ++i) old.end(old.ask(2, 0, 1, 1, 1), Result::error);
  const State state = old.gateway.remember(old.now);
  for (const Kept kept : {Kept::lately, Kept::longAgo}) {
    Bench fresh(s);
    fresh.list({member(1)});
    std::vector<CustomerId> out;
    ASSERT_TRUE(fresh.gateway.takeOver(0, state, 1, out, kept));
    EXPECT_EQ(fresh.gateway.fleet(0).avoided, kept == Kept::lately ? 1u : 0u);
    EXPECT_EQ(fresh.gateway.customersHeld(), 1u);
  }
}

}  // namespace
}  // namespace irisring::test
