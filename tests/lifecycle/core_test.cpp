// The life of the process: what holds in each state, and when, under virtual time.
#include "lifecycle/core.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace burlwind::lifecycle {
namespace {

constexpr Event kEvents[] = {Event::listed,    Event::drain, Event::undrain,  Event::empty,
                             Event::takenOver, Event::alone, Event::terminate};

Core serving() {
  Core core;
  core.on(0, Event::listed);
  return core;
}

TEST(Life, SaysReadyOnceThereIsAListAndKeepsConnections) {
  Core core;
  EXPECT_FALSE(core.conduct(0).saysReady);
  EXPECT_TRUE(core.conduct(0).accepts);
  EXPECT_TRUE(core.on(5, Event::listed));
  EXPECT_EQ(core.state(), State::serving);
  EXPECT_TRUE(core.conduct(5).saysReady);
  EXPECT_TRUE(core.conduct(5).keeps);
  EXPECT_FALSE(core.next(5));
}

TEST(Life, ADrainSaysNoAtOnceServesWhatComesAndLeavesNothingIdleByFourSeconds) {
  Core core = serving();
  EXPECT_TRUE(core.on(1000, Event::drain));
  const Conduct first = core.conduct(1000);
  EXPECT_FALSE(first.saysReady);
  EXPECT_FALSE(first.keeps);
  EXPECT_TRUE(first.accepts && first.takes);
  EXPECT_FALSE(first.idleMost);
  EXPECT_TRUE(core.conduct(1300).takes);  // what the front sends for 0.2 s after it has asked
  EXPECT_TRUE(core.conduct(3000).accepts);
  EXPECT_FALSE(core.conduct(3000).takes);
  EXPECT_EQ(core.conduct(3000).idleMost, 0);
}

TEST(Life, IdleConnectionsCloseTheLongestIdleFirst) {
  Core core = serving();
  core.on(0, Event::drain);
  Time last = 1e9;
  for (Time now = 400; now <= 1400; now += 50) {
    const auto most = core.conduct(now).idleMost;
    ASSERT_TRUE(most);
    EXPECT_LT(*most, last);
    last = *most;
  }
  EXPECT_EQ(last, 0);
}

// The host sleeps until `next`: what holds must not change between two of these times.
TEST(Life, EveryChangeByTimeIsForetold) {
  for (const std::vector<Event>& events : {std::vector{Event::drain},
                                           {Event::takenOver},
                                           {Event::terminate},
                                           {Event::takenOver, Event::terminate}}) {
    Core core = serving();
    for (const Event event : events) core.on(100, event);
    Time now = 100;
    while (const auto next = core.next(now)) {
      ASSERT_GT(*next, now);
      ASSERT_EQ(core.conduct(*next - 0.5), core.conduct(now)) << now;
      now = *next;
    }
    EXPECT_EQ(core.conduct(now), core.conduct(now + 1e6));
    EXPECT_LT(now, 100 + 3700);
  }
}

TEST(Life, UndrainServesAgainAtOnceAlsoInTheMidstOfADrain) {
  for (const bool emptied : {false, true}) {
    Core core = serving();
    core.on(0, Event::drain);
    if (emptied) core.on(300, Event::empty);
    EXPECT_EQ(core.state(), emptied ? State::drained : State::draining);
    EXPECT_TRUE(core.on(5000, Event::undrain));
    EXPECT_EQ(core.conduct(5000), serving().conduct(0));
    EXPECT_FALSE(core.next(5000));
  }
}

TEST(Life, ADrainBeforeThereIsAListIsUndoneToStarting) {
  Core core;
  core.on(0, Event::drain);
  core.on(10, Event::listed);
  EXPECT_EQ(core.state(), State::draining);
  core.on(20, Event::undrain);
  EXPECT_EQ(core.state(), State::serving);
  Core unlisted;
  unlisted.on(0, Event::drain);
  unlisted.on(20, Event::undrain);
  EXPECT_EQ(unlisted.state(), State::starting);
}

TEST(Life, ASecondDrainDoesNotBeginAnew) {
  Core core = serving();
  core.on(0, Event::drain);
  EXPECT_FALSE(core.on(1000, Event::drain));
  EXPECT_FALSE(core.conduct(2000).takes);
}

TEST(Life, TheEndIsNeverLeftAndAnswersWhatItHas) {
  Core core = serving();
  core.on(0, Event::drain);
  EXPECT_TRUE(core.on(1000, Event::terminate));
  for (const Event event : kEvents) {
    if (event == Event::takenOver) continue;
    EXPECT_FALSE(core.on(1100, event));
  }
  EXPECT_TRUE(core.conduct(1400).accepts);  // connections go on coming for 0.4 s
  EXPECT_FALSE(core.conduct(1500).accepts);
  Core replaced = core;
  EXPECT_FALSE(replaced.on(1100, Event::takenOver));  // it ends all the same, and the other one accepts
  EXPECT_FALSE(replaced.conduct(1100).accepts);
  EXPECT_TRUE(core.conduct(4300).takes);
  EXPECT_FALSE(core.conduct(4300).givesUp);
  EXPECT_TRUE(core.conduct(4400).givesUp);
}

TEST(Life, AProcessThatIsReplacedAcceptsNoMoreAndOneThatIsLeftAloneServesAgain) {
  Core core = serving();
  EXPECT_TRUE(core.on(0, Event::takenOver));
  EXPECT_FALSE(core.conduct(0).accepts);
  EXPECT_TRUE(core.conduct(0).takes);
  EXPECT_FALSE(core.conduct(0).keeps);
  Core alone = core;
  EXPECT_TRUE(alone.on(700, Event::alone));
  EXPECT_EQ(alone.conduct(700), serving().conduct(0));
  core.on(800, Event::terminate);
  EXPECT_FALSE(core.conduct(800).accepts);  // the other one does
}

}  // namespace
}  // namespace burlwind::lifecycle
