// Checks under virtual time: who is told what, what is remembered, what checkers see, and the invariants over
// random sequences of events.
#include "auth/core.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace burlwind::auth {
namespace {

using What = Do::What;

VerdictPtr verdict(bool allows) {
  Verdict out;
  out.allows = allows;
  return std::make_shared<const Verdict>(out);
}

Ask about(const std::string& text, WhenDown whenDown = WhenDown::closed, SourceId source = 0) {
  return {std::make_shared<const std::string>(text), whenDown, source};
}

std::vector<Do> only(const Todo& todo, What what) {
  std::vector<Do> out;
  std::copy_if(todo.begin(), todo.end(), std::back_inserter(out),
               [&](const Do& one) { return one.what == what; });
  return out;
}
std::vector<Do> starts(const Todo& todo) { return only(todo, What::start); }
std::vector<Do> tells(const Todo& todo) { return only(todo, What::tell); }

Freshness forMs(Time ms) { return {true, ms}; }

// Brings the only checker up to its limit.
void warm(Core& core, unsigned answers) {
  for (unsigned i = 0; i < answers; ++i) {
    const Todo todo = core.ask(0, 1000000 + i, about("warm" + std::to_string(i)));
    core.answered(0, starts(todo).at(0).check, verdict(true), {false, {}});
  }
}

TEST(Auth, AsksTellsAndRemembersForAsLongAsItMay) {
  Core core({});
  const Todo asked = core.ask(0, 1, about("a"));
  ASSERT_EQ(starts(asked).size(), 1u);
  EXPECT_EQ(*starts(asked)[0].text, "a");
  const Todo told = core.answered(5, starts(asked)[0].check, verdict(true), forMs(100));
  ASSERT_EQ(tells(told).size(), 1u);
  EXPECT_EQ(tells(told)[0].waiter, 1u);
  EXPECT_TRUE(tells(told)[0].verdict->allows);
  EXPECT_EQ(tells(core.ask(104, 2, about("a"))).size(), 1u) << "remembered";
  EXPECT_EQ(starts(core.ask(105, 3, about("a"))).size(), 1u) << "its time is up";
}

TEST(Auth, WhatTheCheckerDoesNotSayIsNotRememberedWhatItForbidsNever) {
  Core core({});
  core.answered(0, starts(core.ask(0, 1, about("a")))[0].check, verdict(true), {});
  EXPECT_EQ(core.remembered(), 0u);
  core.answered(0, starts(core.ask(0, 2, about("a")))[0].check, verdict(true), {false, 1e6});
  EXPECT_EQ(core.remembered(), 0u);
}

TEST(Auth, ADenialIsRememberedForAShorterTime) {
  Settings settings;
  settings.denyMost = 50;
  Core core(settings);
  core.answered(0, starts(core.ask(0, 1, about("a")))[0].check, verdict(false), forMs(1e9));
  EXPECT_FALSE(tells(core.ask(49, 2, about("a"))).at(0).verdict->allows);
  EXPECT_EQ(starts(core.ask(50, 3, about("a"))).size(), 1u);
}

TEST(Auth, AThousandWithOneNewTokenAreOneCheck) {
  Settings settings;
  settings.waitersPerCheck = 2000;
  Core core(settings);
  const CheckId check = starts(core.ask(0, 1, about("new")))[0].check;
  for (WaiterId waiter = 2; waiter <= 1000; ++waiter) EXPECT_TRUE(core.ask(0, waiter, about("new")).empty());
  core.left(500);
  const auto told = tells(core.answered(9, check, verdict(true), {}));
  EXPECT_EQ(told.size(), 999u);
  EXPECT_EQ(core.counts().started, 1u);
}

TEST(Auth, OthersGoOnWaitingWhenTheFirstHasLeft) {
  Core core({});
  const CheckId check = starts(core.ask(0, 1, about("a")))[0].check;
  core.ask(0, 2, about("a"));
  core.left(1);
  const auto told = tells(core.answered(1, check, verdict(false), {}));
  ASSERT_EQ(told.size(), 1u);
  EXPECT_EQ(told[0].waiter, 2u);
}

// The check goes on when all have left: were it given up, clients that come and go would put more on the
// checker than its limit.
TEST(Auth, ClientsThatComeAndGoDoNotRaiseWhatIsOut) {
  Core core({});
  std::size_t started = 0;
  for (WaiterId waiter = 1; waiter <= 100; ++waiter) {
    started += starts(core.ask(0, waiter, about(std::to_string(waiter)))).size();
    core.left(waiter);
  }
  EXPECT_EQ(started, 1u) << "a checker that has shown nothing gets one";
  EXPECT_EQ(core.out(), 1u);
  EXPECT_EQ(core.queued(), 0u);
}

TEST(Auth, AnAnswerToWhatIsNotOutIsCountedAndPassedOver) {
  Core core({});
  const CheckId check = starts(core.ask(0, 1, about("a")))[0].check;
  core.answered(1, check, verdict(true), forMs(1000));
  EXPECT_TRUE(core.answered(2, check, verdict(false), forMs(1000)).empty()) << "a second answer";
  EXPECT_TRUE(core.failed(2, check, Fault::broken).empty());
  EXPECT_TRUE(core.answered(2, 4711, verdict(true), {}).empty());
  EXPECT_EQ(core.counts().late, 3u);
  EXPECT_TRUE(tells(core.ask(3, 2, about("a"))).at(0).verdict->allows);
}

TEST(Auth, ADenialTakesThePlaceOfAnAllowance) {
  Settings settings;
  settings.lastFor = 1e6;
  Core core(settings);
  core.answered(0, starts(core.ask(0, 1, about("a")))[0].check, verdict(true), forMs(10));
  core.answered(20, starts(core.ask(20, 2, about("a")))[0].check, verdict(false), {false, {}});
  const Todo down =
      core.failed(30, starts(core.ask(30, 3, about("a", WhenDown::last)))[0].check, Fault::broken);
  Todo all = down;
  for (int i = 0; i < 4 && tells(all).empty(); ++i)
    all = core.failed(30, starts(all).at(0).check, Fault::broken);
  EXPECT_EQ(tells(all).at(0).told, Told::down) << "the allowance is gone, and the denial was not to be kept";
}

TEST(Auth, ACheckIsSentAgainOnlyWithinTheBudget) {
  Settings settings;
  settings.checkers = 2;
  settings.retryBurst = 2;
  settings.retryShare = 0;
  settings.ejectAfter = 1000;
  Core core(settings);
  unsigned resent = 0;
  for (WaiterId waiter = 1; waiter <= 20; ++waiter) {
    Todo todo = core.ask(0, waiter, about(std::to_string(waiter)));
    const auto first = starts(todo).at(0);
    todo = core.failed(0, first.check, Fault::broken);
    if (starts(todo).empty()) continue;
    ++resent;
    EXPECT_NE(starts(todo)[0].checker, first.checker) << "elsewhere";
    todo = core.failed(0, first.check, Fault::broken);
    EXPECT_EQ(tells(todo).at(0).told, Told::down) << "twice at most";
  }
  EXPECT_EQ(resent, 2u);
}

TEST(Auth, AKeptConnectionThatHadEndedIsNobodysFaultOnce) {
  Core core({});
  const CheckId check = starts(core.ask(0, 1, about("a")))[0].check;
  const auto again = starts(core.failed(0, check, Fault::staleLine));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_TRUE(again[0].fresh);
  EXPECT_EQ(core.counts().resent, 0u);
  EXPECT_TRUE(starts(core.failed(0, check, Fault::staleLine)).empty() || core.counts().resent == 1u);
}

TEST(Auth, AnAttemptIsGivenUpInTime) {
  Settings settings;
  settings.timeout = 100;
  settings.attempts = 1;
  Core core(settings);
  const CheckId check = starts(core.ask(0, 1, about("a")))[0].check;
  EXPECT_EQ(core.next(), 100);
  EXPECT_TRUE(core.tick(99).empty());
  const Todo todo = core.tick(100);
  EXPECT_EQ(only(todo, What::abandon).at(0).check, check);
  EXPECT_EQ(tells(todo).at(0).told, Told::down);
  EXPECT_FALSE(core.next());
}

TEST(Auth, WithoutACheckerTheRouteDecides) {
  Settings settings;
  settings.attempts = 1;
  settings.ejectAfter = 1;
  settings.ejectFor = 1000;
  settings.lastFor = 5000;
  Core core(settings);
  core.answered(0, starts(core.ask(0, 1, about("known")))[0].check, verdict(true), forMs(10));
  core.failed(100, starts(core.ask(100, 2, about("x")))[0].check, Fault::broken);
  ASSERT_TRUE(core.down(100));
  EXPECT_EQ(tells(core.ask(101, 3, about("y", WhenDown::closed))).at(0).told, Told::down);
  EXPECT_EQ(tells(core.ask(101, 4, about("y", WhenDown::open))).at(0).told, Told::open);
  EXPECT_EQ(tells(core.ask(101, 5, about("y", WhenDown::last))).at(0).told, Told::down) << "none is known";
  EXPECT_TRUE(tells(core.ask(101, 6, about("known", WhenDown::last))).at(0).verdict->allows);
  EXPECT_EQ(tells(core.ask(101, 7, about("known", WhenDown::closed))).at(0).told, Told::down) << "not fresh";
  EXPECT_EQ(core.counts().started, 2u);
  EXPECT_EQ(starts(core.ask(1100, 8, about("z"))).size(), 1u) << "asked again";
}

// No stampede at a checker that comes back: one, and as many more as have been answered.
TEST(Auth, AReturningCheckerIsAskedSlowlyAndOneThatFailsAgainLater) {
  Settings settings;
  settings.attempts = 1;
  settings.ejectAfter = 1;
  settings.ejectFor = 1000;
  Core core(settings);
  warm(core, 40);
  core.failed(0, starts(core.ask(0, 1, about("x")))[0].check, Fault::timeout);
  std::vector<Do> out;
  for (WaiterId waiter = 100; waiter < 150; ++waiter)
    for (const Do& one : starts(core.ask(1000, waiter, about(std::to_string(waiter))))) out.push_back(one);
  ASSERT_EQ(out.size(), 1u);
  const Todo two = core.answered(1001, out[0].check, verdict(true), {});
  EXPECT_EQ(starts(two).size(), 2u);
  const Todo none = core.failed(1002, starts(two)[0].check, Fault::timeout);
  EXPECT_TRUE(core.down(1002));
  EXPECT_EQ(tells(none).size(), 48u) << "those that wait are told at once";
  core.failed(1003, starts(two)[1].check, Fault::timeout);
  EXPECT_FALSE(core.down(2003));
  core.failed(2003, starts(core.ask(2003, 200, about("again")))[0].check, Fault::timeout);
  EXPECT_TRUE(core.down(3500)) << "for twice as long";
}

TEST(Auth, TheQueueIsBoundedInAllAndForOneSource) {
  Settings settings;
  settings.queue = 10;
  settings.queuePerSource = 4;
  Core core(settings);
  core.ask(0, 1, about("out"));
  WaiterId waiter = 1;
  const auto fill = [&](SourceId source) {
    std::size_t taken = 0;
    for (int i = 0; i < 10; ++i) {
      ++waiter;
      taken += core.ask(0, waiter, about(std::to_string(waiter), WhenDown::open, source)).empty();
    }
    return taken;
  };
  EXPECT_EQ(fill(7), 4u);
  EXPECT_EQ(fill(8), 4u);
  EXPECT_EQ(fill(9), 2u);
  EXPECT_EQ(core.counts().busy, 20u) << "refused also where the route is open: the checker is there";
}

TEST(Auth, WhatIsRememberedIsBoundedByEntriesAndBytes) {
  Settings settings;
  settings.cacheEntries = 10;
  settings.cacheBytes = 3000;
  settings.cacheText = 1000;
  Core core(settings);
  for (WaiterId waiter = 1; waiter <= 100; ++waiter) {
    const std::string text(waiter * 12, 'x');
    core.answered(0, starts(core.ask(0, waiter, about(text)))[0].check, verdict(true), forMs(1000));
    ASSERT_LE(core.remembered(), 10u);
    ASSERT_LE(core.rememberedBytes(), 3000u);
  }
}

TEST(Auth, TextsThatDifferInOneByteShareNothing) {
  Core core({});
  core.answered(0, starts(core.ask(0, 1, about("token a")))[0].check, verdict(true), forMs(1000));
  EXPECT_EQ(starts(core.ask(1, 2, about("token b"))).size(), 1u);
}

// --- Invariants over random events ---

struct Watch {
  std::map<CheckId, std::size_t> out;  // by check, its checker
  std::map<CheckId, std::string> textOf;
  std::map<WaiterId, std::string> waiting;
  std::map<std::string, bool> lastSaid;  // by text, what a checker said last

  void follow(const Todo& todo, const Settings& settings) {
    for (const Do& one : todo) {
      if (one.what == What::start) {
        ASSERT_FALSE(out.contains(one.check)) << "two attempts of a check out";
        for (const auto& [check, checker] : out)
          ASSERT_NE(textOf[check], *one.text) << "two checks of a text";
        out[one.check] = one.checker;
        textOf[one.check] = *one.text;
        const auto there =
            std::count_if(out.begin(), out.end(), [&](auto& o) { return o.second == one.checker; });
        ASSERT_LE(static_cast<std::size_t>(there), settings.outPerChecker);
      } else if (one.what == What::abandon) {
        ASSERT_EQ(out.erase(one.check), 1u);
      } else {
        const auto found = waiting.find(one.waiter);
        ASSERT_NE(found, waiting.end()) << "told twice, or after it left";
        if (one.told == Told::verdict) {
          ASSERT_EQ(one.verdict->allows, lastSaid.at(found->second)) << "not what was said last";
        }
        waiting.erase(found);
      }
    }
  }
};

void explore(unsigned seed) {
  std::mt19937 random(seed);
  const auto below = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
  Settings settings;
  settings.checkers = 1 + below(3);
  settings.outPerChecker = 1 + below(6);
  settings.queue = below(8);
  settings.queuePerSource = 1 + below(4);
  settings.waitersPerCheck = 1 + below(5);
  settings.timeout = 50;
  settings.ejectAfter = 1 + below(3);
  settings.ejectFor = 40;
  settings.cacheEntries = below(6);
  settings.lastFor = below(2) * 300;
  Core core(settings);
  Watch watch;
  Time now = 0;
  WaiterId last = 0;
  for (int step = 0; step < 20000; ++step) {
    now += below(8);
    Todo todo;
    const auto some = [&]() -> CheckId {  // one that is out, at times one that is not
      if (watch.out.empty() || below(10) == 0) return below(100);
      auto at = watch.out.begin();
      std::advance(at, below(static_cast<unsigned>(watch.out.size())));
      return at->first;
    };
    switch (below(8)) {
      case 0:
      case 1:
      case 2: {
        const std::string text = "t" + std::to_string(below(12));
        watch.waiting[++last] = text;
        todo = core.ask(now, last, about(text, static_cast<WhenDown>(below(3)), below(3)));
        break;
      }
      case 3:
        if (watch.waiting.empty()) break;
        {
          auto at = watch.waiting.begin();
          std::advance(at, below(static_cast<unsigned>(watch.waiting.size())));
          core.left(at->first);
          watch.waiting.erase(at);
        }
        break;
      case 4:
      case 5: {
        const CheckId check = some();
        const bool allows = below(2) == 0;
        if (watch.out.erase(check) > 0) watch.lastSaid[watch.textOf[check]] = allows;
        todo = core.answered(now, check, verdict(allows),
                             {below(4) != 0, below(2) ? std::optional<Time>(below(200)) : std::nullopt});
        break;
      }
      case 6: {
        const CheckId check = some();
        watch.out.erase(check);
        todo = core.failed(now, check, static_cast<Fault>(below(4)));
        break;
      }
      default:
        todo = core.tick(now);
    }
    watch.follow(todo, settings);
    if (::testing::Test::HasFatalFailure()) FAIL() << "seed " << seed << " step " << step;
    ASSERT_EQ(core.waiting(), watch.waiting.size());
    ASSERT_EQ(core.out(), watch.out.size());
    ASSERT_LE(core.queued(), settings.queue);
    ASSERT_LE(core.remembered(), settings.cacheEntries);
  }
  // Whatever is left ends by time alone: nobody waits for good.
  for (int i = 0; i < 1000 && core.waiting() > 0; ++i) {
    now = std::max(now, core.next().value_or(now));
    watch.follow(core.tick(now), settings);
  }
  EXPECT_EQ(watch.waiting.size(), 0u) << "seed " << seed;
}

TEST(Auth, InvariantsHoldOverRandomEvents) {
  for (unsigned seed = 1; seed <= 30; ++seed) explore(seed);
}

}  // namespace
}  // namespace burlwind::auth
