#include <limits>
#include <random>
#include <set>

#include "policy/recorder.hpp"

namespace irisring::test {
namespace {

TEST(Attempts, UnsafeThatMayHaveRunFails) {
  for (const Result result :
       {Result::error, Result::timeout, Result::reset, Result::cancelled, Result::spoilt}) {
    Bench b;
    b.list({member(1), member(2)});
    const RequestId id = b.ask(2);
    EXPECT_EQ(b.recorder.sends.back().timeout, 0);  // an early time-out would end it
    b.end(id, result);
    EXPECT_TRUE(b.hasFailed(id));
    EXPECT_EQ(b.attempts(id), 1u);
  }
}

// Spoilt answers come from any worker alike: they fail the attempt and leave the worker in.
TEST(Attempts, ASpoiltAnswerMayHaveRunAndDoesNotEjectItsWorker) {
  for (const Result result : {Result::spoilt, Result::error}) {
    Bench b;
    b.list({member(1), member(2)});
    std::map<WorkerId, unsigned> sent;
    for (int i = 0; i < 40; ++i) {
      b.now += 50;
      const RequestId id = b.ask(2, 0, static_cast<CustomerId>(i));
      ASSERT_TRUE(b.wasSent(id));
      ++sent[b.lastWorker()];
      b.end(id, b.lastWorker() == 1 ? result : Result::ok);
      EXPECT_EQ(b.hasFailed(id), b.lastWorker() == 1);
    }
    EXPECT_EQ(sent[1] > 8, result == Result::spoilt) << sent[1];
  }
}

TEST(Attempts, UnsafeThatNeverRanGoesElsewhere) {
  for (const Result result : {Result::full, Result::connectFailed}) {
    Bench b;
    b.list({member(1), member(2)});
    const RequestId id = b.ask(2);
    const WorkerId first = b.lastWorker();
    b.end(id, result);
    EXPECT_EQ(b.attempts(id), 2u);
    EXPECT_NE(b.lastWorker(), first);
  }
}

TEST(Attempts, KeyedStaysInItsZoneAndWindowAndEndsInAFailure) {
  Bench b;
  b.list({member(1, 0), member(2, 0), member(3, 1), member(4, 1)});
  const RequestId id = b.ask(1);
  const unsigned zone = b.lastWorker() > 2;
  b.end(id, Result::reset);
  ASSERT_EQ(b.attempts(id), 2u);
  EXPECT_EQ(b.lastWorker() > 2, zone != 0);
  b.now += 2500;  // past the window
  b.end(id, Result::reset);
  EXPECT_EQ(b.attempts(id), 2u);
  EXPECT_TRUE(b.hasFailed(id));
}

TEST(Attempts, TimeOutAtTheDeadlineStillGetsItsAnswer) {
  for (unsigned klass = 0; klass < 3; ++klass) {
    Bench b;
    b.list({member(1)});
    const RequestId id = b.ask(klass, 0, 1, 1, 2, 500);
    b.now += 500;
    b.end(id, Result::timeout, 500);
    EXPECT_EQ(b.recorder.finals[id], 1u);
    EXPECT_EQ(b.gateway.requestsHeld(), 0u);
  }
}

TEST(Attempts, HeldRequestKeepsATimerAndIsAnswered) {
  Bench b;
  b.list({member(1)});
  const RequestId id = b.ask(1);
  Member gone = member(1);
  gone.phase = Phase::gone;
  b.list({gone}, ListKind::delta);
  b.end(id, Result::reset);
  ASSERT_FALSE(b.recorder.timers.empty());
  for (int i = 0; i < 200 && b.recorder.finals[id] == 0; ++i) {
    b.now += b.recorder.timers.back().first;
    b.gateway.timer(b.now, id);
  }
  EXPECT_EQ(b.recorder.finals[id], 1u);
  EXPECT_LE(b.now, 3000);
}

TEST(Attempts, NothingAfterTheClientLeft) {
  Bench b;
  b.list({member(1), member(2)});
  const RequestId id = b.ask();
  b.gateway.clientLeft(b.now, id);
  b.end(id, Result::reset, 10, -1, true);
  EXPECT_EQ(b.attempts(id), 1u);
  EXPECT_EQ(b.recorder.finals[id], 0u);
}

TEST(Attempts, FurtherAttemptsTakeNoQuota) {
  Bench b;
  b.list({member(1), member(2)});
  const RequestId id = b.ask();
  b.end(id, Result::full);
  ASSERT_EQ(b.attempts(id), 2u);
  b.end(id, Result::ok);
  int in = 0;
  for (;;) {
    const RequestId next = b.ask();
    if (!b.wasSent(next)) break;
    b.end(next, Result::ok);
    ++in;
  }
  EXPECT_EQ(in, 9);
}

TEST(Health, AWorkerThatKeepsFailingIsLeftAloneAndReturns) {
  Bench b;
  b.list({member(1), member(2)});
  int toBad = 0;
  CustomerId c = 0;
  const auto drive = [&](Time span, bool bad) {
    for (Time end = b.now + span; b.now < end; b.now += 20) {
      const RequestId id = b.ask(0, 0, ++c);
      while (b.recorder.sends.back().id == id && b.recorder.finals[id] == 0) {
        const bool hit = b.lastWorker() == 1;
        toBad += hit;
        const unsigned before = b.attempts(id);
        b.end(id, hit && bad ? Result::connectFailed : Result::ok, 50);
        if (b.attempts(id) == before) break;
      }
    }
  };
  drive(3000, true);
  EXPECT_LT(toBad, 12);
  toBad = 0;
  drive(15000, false);
  EXPECT_GT(toBad, 100);
}

// Least-loaded choice herds onto workers that turn work away at once: they look idle.
TEST(Health, FullWorkersAreNotHerdedOn) {
  Bench b;
  std::vector<Member> all;
  for (WorkerId w = 1; w <= 6; ++w) all.push_back(member(w));
  b.list(all);
  CustomerId c = 0;
  for (int i = 0; i < 300; ++i) {
    b.now += 10;
    const RequestId id = b.ask(0, 0, ++c);
    while (b.wasSent(id) && b.recorder.finals[id] == 0) b.end(id, Result::full, 2);
  }
  EXPECT_LT(b.recorder.sends.size(), 60u);
}

// Latencies near the aim shrink what is sent, so that a start or a slow spell does not drive workers
// over.
TEST(Health, LateAnswersShrinkTheInFlightLimit) {
  const auto outAtOnce = [](Time elapsed) {
    Bench b;
    b.list({member(1)});
    CustomerId c = 0;
    for (int i = 0; i < 60; ++i) {
      b.now += 250;
      const RequestId id = b.ask(2, 0, ++c);
      if (b.wasSent(id)) b.end(id, Result::ok, elapsed);
    }
    int out = 0;
    while (b.wasSent(b.ask(2, 0, ++c))) ++out;
    return out;
  };
  EXPECT_GE(outAtOnce(100), 6);
  EXPECT_LE(outAtOnce(900), 2);
}

// Work is spread widely: where the aim is a few usual latencies, one answer in twenty takes half of it at
// workers that wait for work.
TEST(Health, LongRequestsAreNoSignOfLoad) {
  Bench b;
  b.list({member(1)});
  CustomerId c = 0;
  for (int i = 0; i < 200; ++i) {
    b.now += 250;
    const RequestId id = b.ask(2, 0, ++c);
    ASSERT_TRUE(b.wasSent(id)) << i;
    b.end(id, Result::ok, i % 20 == 0 ? 650 : 150);
  }
  int out = 0;
  while (b.wasSent(b.ask(2, 0, ++c))) ++out;
  EXPECT_GE(out, 6);
}

// An attempt cut off at its aim is asked for anew by its client: the work is done twice and earns nothing.
TEST(Attempts, WorkThatMayStillBeAnsweredIsNotCutOffAtItsAim) {
  Bench b;
  b.list({member(1)});
  const RequestId id = b.ask(0);
  ASSERT_TRUE(b.wasSent(id));
  EXPECT_GE(b.recorder.sends.back().timeout, 1.5 * settings().classes[0].aim);
}

// A worker that is cut off keeps its attempts and answers nothing: passed over long before they time out.
TEST(Health, ASilentWorkerIsPassedOver) {
  Bench b;
  b.list({member(1), member(2)});
  CustomerId c = 0;
  const auto drive = [&](Time span, bool cut) {
    int toCut = 0;
    for (Time end = b.now + span; b.now < end; b.now += 25) {
      const RequestId id = b.ask(2, 0, ++c);
      if (!b.wasSent(id)) continue;
      toCut += b.lastWorker() == 1;
      if (!cut || b.lastWorker() != 1) b.end(id, Result::ok, 50);
    }
    return toCut;
  };
  drive(2000, false);
  const int first = drive(500, true);
  EXPECT_LE(first, 3);
  EXPECT_EQ(drive(1500, true), 0);
}

TEST(Settings, NonsenseIsRefusedAtConstruction) {
  Recorder r;
  const auto broken = [&](auto change) {
    Settings s = settings();
    change(s);
    EXPECT_THROW(Gateway(s, 1, 0, r), std::invalid_argument);
  };
  broken([](Settings& s) { s.plans[0].rate = -1; });
  broken([](Settings& s) { s.plans[0].burst = std::numeric_limits<double>::quiet_NaN(); });
  broken([](Settings& s) { s.warmUp = std::numeric_limits<double>::infinity(); });
  broken([](Settings& s) { s.self = 2; });
  broken([](Settings& s) { s.gateways = 0; });
  broken([](Settings& s) { s.classes.clear(); });
}

// Arbitrary legal orders of events: every request gets one final answer in time, attempts obey its class.
TEST(Rules, HoldUnderArbitraryLegalEvents) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    std::mt19937 rng(seed);
    Bench b;
    std::vector<Member> all;
    for (WorkerId w = 1; w <= 6; ++w) all.push_back(member(w, w > 3));
    b.list(all);
    struct Open {
      unsigned klass;
      Time expires, ranSince = -1;
      bool out = false, done = false, ran = false;
      unsigned zone = 0;
    };
    std::map<RequestId, Open> open;
    std::set<WorkerId> barred;
    std::vector<std::pair<Time, std::uint64_t>> due;
    std::size_t seenSends = 0, seenTimers = 0;
    const auto check = [&] {
      for (; seenSends < b.recorder.sends.size(); ++seenSends) {
        const Sent& s = b.recorder.sends[seenSends];
        Open& o = open.at(s.id);
        EXPECT_FALSE(o.out) << "two attempts out at once";
        EXPECT_FALSE(o.done);
        EXPECT_FALSE(barred.contains(s.worker));
        if (o.ran && o.klass == 2) ADD_FAILURE() << "an unsafe request was repeated";
        if (o.ran && o.klass == 1) {
          EXPECT_EQ(o.zone, static_cast<unsigned>(s.worker > 3));
          EXPECT_LE(b.now, o.ranSince + 2000);
        }
        o.out = true;
      }
      for (auto& [id, o] : open) {
        if (b.recorder.refused.contains(id) && o.ran) {
          EXPECT_EQ(o.klass, 0u);
        }
        if (b.recorder.finals[id]) o.done = true;
      }
      for (; seenTimers < b.recorder.timers.size(); ++seenTimers)
        due.emplace_back(b.now + b.recorder.timers[seenTimers].first, b.recorder.timers[seenTimers].second);
    };
    for (int step = 0; step < 4000; ++step) {
      b.now += rng() % 8;
      for (std::size_t i = 0; i < due.size();) {
        if (due[i].first > b.now) {
          ++i;
          continue;
        }
        const auto tag = due[i].second;
        due.erase(due.begin() + static_cast<long>(i));
        b.gateway.timer(b.now, tag);
        check();
      }
      if (step < 3400 && rng() % 3 == 0) {
        const unsigned klass = rng() % 3;
        const Time patience = 200 + rng() % 2500;
        open.emplace(b.last + 1, Open{klass, b.now + patience});
        b.ask(klass, rng() % 3, rng() % 40, 1 + rng() % 3, 2, patience);
        check();
      }
      for (auto& [id, o] : open) {
        if (!o.out || (b.now < o.expires && rng() % 12)) continue;
        constexpr Result results[] = {Result::ok,    Result::error, Result::full,         Result::timeout,
                                      Result::reset, Result::ok,    Result::connectFailed};
        const Result result = b.now >= o.expires ? Result::timeout : results[rng() % 7];
        WorkerId at = 0;
        for (const Sent& s : b.recorder.sends)
          if (s.id == id) at = s.worker;
        o.out = false;
        if (result != Result::full && result != Result::connectFailed && !o.ran) {
          o.ran = true, o.zone = at > 3;
          o.ranSince = b.now;
        }
        if (result == Result::ok) o.done = true;
        b.end(id, result, 30, rng() % 2 ? static_cast<int>(rng() % 300) : -1, o.done);
        check();
      }
      if (rng() % 60 == 0) {
        Member m = all[rng() % all.size()];
        m.phase = rng() % 2 ? Phase::ready : rng() % 2 ? Phase::draining : Phase::gone;
        if (m.phase == Phase::ready)
          barred.erase(m.worker);
        else
          barred.insert(m.worker);
        b.list({m}, ListKind::delta);
      }
    }
    for (auto& [id, o] : open) EXPECT_TRUE(o.done || b.now < o.expires + 8) << "request " << id << " is lost";
  }
}

// Two hundred gateways before twenty workers: one attempt of each at every worker would be ten times what
// they hold. Late answers bring what a gateway has out far below one for each worker, and early ones bring it
// back.
TEST(Limit, OfAWholeGatewayFallsFarBelowOneForEachWorker) {
  Settings s = settings();
  s.gateways = 200;
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  Bench b(s);
  std::vector<Member> fleet;
  for (WorkerId w = 1; w <= 20; ++w) fleet.push_back(member(w));
  b.list(fleet);
  const auto sent = [&](Time latency) {
    int in = 0;
    for (int i = 0; i < 40; ++i) {
      b.now += 250;
      const RequestId id = b.ask(0, 0, b.last, 1, 200);
      if (!b.wasSent(id)) continue;
      ++in;
      b.now += 10;
      b.end(id, Result::ok, latency);
    }
    return in;
  };
  EXPECT_EQ(sent(100), 40);
  sent(900);
  EXPECT_LT(sent(900), 20);
  sent(100);
  sent(100);
  EXPECT_GT(sent(100), 30);
}

}  // namespace
}  // namespace irisring::test
