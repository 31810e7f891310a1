// Who does what part while two processes are one gatekeeper, and what they tell each other.
#include "handover/core.hpp"

#include <gtest/gtest.h>

#include <queue>
#include <set>

namespace burlwind::handover {
namespace {

constexpr Event kEvents[] = {Event::nobody,  Event::found,     Event::state,
                             Event::noState, Event::otherGone, Event::overlapEnds,
                             Event::asks,    Event::tooLate,   Event::again};

Core after(std::initializer_list<Event> events) {
  Core core;
  for (const Event event : events) core.on(event);
  return core;
}

TEST(Handover, AloneItServesAtOnceAsTheWhole) {
  Core core;
  const Steps steps = core.on(Event::nobody);
  EXPECT_TRUE(steps.serve && steps.listen);
  EXPECT_EQ(core.part(), 1);
}

TEST(Handover, TheNewOneServesOnceItHasTakenOverAndIsTheWholeWhenTheOldOneIsGone) {
  Core old = after({Event::nobody}), fresh = after({Event::found});
  EXPECT_TRUE(old.on(Event::asks).give);
  EXPECT_TRUE(fresh.on(Event::state).serve);
  EXPECT_LE(old.part() + fresh.part(), 1);
  EXPECT_TRUE(fresh.on(Event::otherGone).listen);
  EXPECT_EQ(fresh.part(), 1);
}

TEST(Handover, TheOldOneGoesOnIfTheNewOneDies) {
  Core old = after({Event::nobody, Event::asks});
  EXPECT_TRUE(old.on(Event::otherGone).resume);
  EXPECT_EQ(old.part(), 1);
  EXPECT_TRUE(old.on(Event::asks).give);  // and hands over to the next
}

TEST(Handover, AThirdOneIsDeclinedWhileTwoShare) {
  for (Core core : {after({Event::nobody, Event::asks}), after({Event::found, Event::state})}) {
    const double part = core.part();
    const Steps steps = core.on(Event::asks);
    EXPECT_TRUE(steps.decline);
    EXPECT_FALSE(steps.give);
    EXPECT_EQ(core.part(), part);
  }
}

TEST(Handover, OneThatIsNotAnsweredServesWithHalfUntilTheOtherMustBeGone) {
  for (const Event why : {Event::noState, Event::otherGone}) {
    Core core = after({Event::found});
    EXPECT_TRUE(core.on(why).serve);
    EXPECT_EQ(core.part(), kCautious);
    EXPECT_FALSE(core.on(Event::state).serve);  // too late
    EXPECT_TRUE(core.on(Event::overlapEnds).listen);
    EXPECT_EQ(core.part(), 1);
  }
}

// Every order of events: it begins to serve exactly once on every way that goes on, and gives only as the
// whole.
TEST(Handover, OverAllOrdersOfEventsItServesOnceAndGivesOnlyWhatItHas) {
  struct Way {
    Core core;
    int served = 0;
  };
  std::queue<std::pair<Way, int>> ways;
  ways.push({Way{}, 0});
  while (!ways.empty()) {
    const auto [way, depth] = ways.front();
    ways.pop();
    EXPECT_EQ(way.served, way.core.state() == State::joining || way.core.state() == State::asked ? 0 : 1);
    if (depth == 6) continue;
    for (const Event event : kEvents) {
      Way next = way;
      const bool whole = way.core.state() == State::whole;
      const Steps steps = next.core.on(event);
      next.served += steps.serve;
      EXPECT_TRUE(!steps.give || whole);
      const bool waits = way.core.state() == State::gave || way.core.state() == State::superseded;
      EXPECT_EQ(steps.resume, waits && event == Event::otherGone);
      EXPECT_EQ(steps.yield, whole && event == Event::tooLate);
      ways.push({next, depth + 1});
    }
  }
}

}  // namespace
}  // namespace burlwind::handover
