// One gateway in two processes: what the one hands over the other goes on with, and together they do no more.
#include "recorder.hpp"

namespace irisring::test {
namespace {

constexpr double kPart = 0.75;

Settings alone() {
  Settings s = settings();
  s.gateways = 1;
  return s;
}

std::vector<Member> many() {
  std::vector<Member> out;
  for (WorkerId id = 1; id <= 20; ++id) out.push_back(member(id));
  return out;
}

// Lets a customer ask every `step` for so long, at both in turn; how much was sent on.
unsigned sentBy(std::vector<Bench*> benches, unsigned plan, Time span, Time step) {
  unsigned sent = 0;
  std::size_t turn = 0;
  for (Time passed = 0; passed < span; passed += step) {
    for (Bench* bench : benches) bench->now += step;
    Bench& bench = *benches[turn++ % benches.size()];
    const RequestId id = bench.ask(0, plan, 1, 1, 1);
    if (!bench.wasSent(id)) continue;
    ++sent;
    bench.end(id, Result::ok, 20);
  }
  return sent;
}

TEST(TwoProcesses, ACeilingHoldsOverBoth) {
  Settings s = alone();
  s.plans[2].rate = 0, s.plans[2].burst = 0;
  for (const bool used : {false, true}) {
    Bench old(s), fresh(s);
    old.list(many()), fresh.list(many());
    old.now = fresh.now = 10000;
    // Filled while it was not asked for; then drawn on before the hand-over, or not.
    sentBy({&old}, 2, 10, 10);
    old.now = fresh.now = 20000;
    const unsigned before = used ? sentBy({&old}, 2, 500, 5) : 0;
    fresh.now = old.now;
    std::vector<CustomerId> out;
    ASSERT_TRUE(fresh.gateway.takeOver(fresh.now, old.gateway.handOver(old.now, kPart), kPart, out));
    const unsigned both = sentBy({&old, &fresh}, 2, 4000, 5);
    EXPECT_LE(before + both, 40 + 20 * (used ? 4.5 : 4.0) + 1) << used;
    EXPECT_GE(before + both, 80u) << used;  // and not much less
    fresh.gateway.actAs(fresh.now, 1);
    EXPECT_LE(sentBy({&fresh}, 2, 2000, 5), 20 * 2 + 40 * 0.25 + 2);
  }
}

TEST(TwoProcesses, ABucketThatIsSpentIsSpentAtTheOther) {
  Bench old(alone()), fresh(alone());
  old.list(many()), fresh.list(many());
  EXPECT_GE(sentBy({&old}, 0, 1000, 10), 20u);
  fresh.now = old.now;
  std::vector<CustomerId> out;
  ASSERT_TRUE(fresh.gateway.takeOver(fresh.now, old.gateway.handOver(old.now, kPart), kPart, out));
  EXPECT_LE(sentBy({&fresh}, 0, 500, 10), 5u);
}

TEST(TwoProcesses, WhatIsOutCountsAgainstACapUntilItsEndIsTold) {
  Bench old(alone()), fresh(alone());
  old.list(many()), fresh.list(many());
  const RequestId first = old.ask(0, 1, 1, 1, 1), second = old.ask(0, 1, 1, 1, 1);
  ASSERT_TRUE(old.wasSent(first) && old.wasSent(second));
  std::vector<CustomerId> out;
  ASSERT_TRUE(fresh.gateway.takeOver(0, old.gateway.handOver(0, kPart), kPart, out));
  EXPECT_EQ(out, (std::vector<CustomerId>{1, 1}));
  EXPECT_TRUE(fresh.wasRefused(fresh.ask(0, 1, 1, 1, 1)));
  fresh.now = 500;
  for (const CustomerId customer : out) fresh.gateway.returned(fresh.now, customer);
  EXPECT_TRUE(fresh.wasSent(fresh.ask(0, 1, 1, 1, 1)));
}

TEST(TwoProcesses, AnEjectedWorkerStaysEjected) {
  Settings s = alone();
  Bench old(s), fresh(s);
  old.list({member(1)}), fresh.list({member(1)});
  for (int i = 0; i < 2; ++i) old.end(old.ask(2, 0, 1, 1, 1), Result::error);
  ASSERT_EQ(old.gateway.fleet(0).avoided, 1u);
  std::vector<CustomerId> out;
  ASSERT_TRUE(fresh.gateway.takeOver(0, old.gateway.handOver(0, kPart), kPart, out));
  EXPECT_EQ(fresh.gateway.fleet(0).avoided, 1u);
}

// A table full of customers that came once: what is handed over is a small part of a gatekeeper's memory.
TEST(TwoProcesses, AFullTableIsASmallState) {
  Bench old(alone()), fresh(alone());
  old.list(many()), fresh.list(many());
  for (CustomerId customer = 1; customer <= 4096; ++customer) {
    old.now += 5;
    const RequestId id = old.ask(0, 0, customer, 1, 1);
    if (old.wasSent(id)) old.end(id, Result::ok, 20);
  }
  const State state = old.gateway.handOver(old.now, kPart);
  EXPECT_LT(state.size() * sizeof(std::uint64_t), std::size_t{2} << 20);
  std::vector<CustomerId> out;
  ASSERT_TRUE(fresh.gateway.takeOver(old.now, state, kPart, out));
  EXPECT_EQ(fresh.gateway.customersHeld(), 4096u);
}

TEST(TwoProcesses, WhatIsCutOrOfOtherSettingsIsNotTaken) {
  Bench old(alone());
  old.list(many());
  sentBy({&old}, 0, 200, 10);
  const State state = old.gateway.handOver(old.now, kPart);
  std::vector<CustomerId> out;
  for (std::size_t at = 0; at < state.size(); at += 7) {
    Bench fresh(alone());
    fresh.list(many());
    EXPECT_FALSE(
        fresh.gateway.takeOver(0, State(state.begin(), state.begin() + static_cast<long>(at)), kPart, out));
    EXPECT_EQ(fresh.gateway.customersHeld(), 0u);
  }
  Settings other = alone();
  other.plans.pop_back();
  Bench fresh(other);
  EXPECT_FALSE(fresh.gateway.takeOver(0, state, kPart, out));
  EXPECT_TRUE(out.empty());
}

}  // namespace
}  // namespace irisring::test
