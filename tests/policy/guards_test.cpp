#include <deque>

#include "policy/recorder.hpp"

namespace irisring::test {
namespace {

double ceilingUnits(Bench& b, Time span, CustomerId customer = 1) {
  double units = 0;
  for (Time end = b.now + span; b.now < end; b.now += 10) {
    const RequestId id = b.ask(0, 2, customer, 2);
    if (!b.wasSent(id)) continue;
    units += 2;
    b.end(id, Result::ok, 10, 0);
  }
  return units;
}

TEST(Ceiling, OneGatewayKeepsToItsShareHoweverTheTrafficIsSplit) {
  Settings s = settings();
  s.plans[2].rate = 1000, s.plans[2].burst = 1000;  // the quota is not what holds here
  Bench b(s);
  b.list({member(1)});
  b.now += 60000;
  EXPECT_LE(ceilingUnits(b, 10000), 20 + 10 * 10);
}

TEST(Ceiling, ARestartDoesNotRefillIt) {
  Settings s = settings();
  s.plans[2].rate = 1000, s.plans[2].burst = 1000;
  Bench b(s, 50000);
  b.list({member(1)});
  EXPECT_LE(ceilingUnits(b, 1000), 10);
}

TEST(Ceiling, AnEvictionDoesNotRefillIt) {
  Settings s = settings();
  s.plans[2].rate = 1000, s.plans[2].burst = 1000;
  Bench b(s);
  b.list({member(1)});
  b.now += 60000;
  ceilingUnits(b, 5000);
  for (CustomerId c = 100; c < 9000; ++c) {
    const RequestId id = b.ask(0, 2, c, 2);
    if (b.wasSent(id)) b.end(id, Result::ok, 10);
  }
  EXPECT_LE(ceilingUnits(b, 1000), 12);
}

TEST(Drain, NothingNewToADrainingGoneOrUnlistedWorker) {
  Bench b;
  b.list({member(1), member(2), member(3), member(4)});
  Member draining = member(1), gone = member(2);
  draining.phase = Phase::draining, gone.phase = Phase::gone;
  b.list({draining, gone}, ListKind::delta);
  b.list({draining, member(4)});  // worker 3 is missing from the whole list
  for (CustomerId c = 0; c < 40; ++c) {
    const RequestId id = b.ask(0, 0, c);
    ASSERT_TRUE(b.wasSent(id));
    EXPECT_EQ(b.lastWorker(), 4u);
    b.end(id, Result::ok);
  }
}

TEST(Drain, EmptyListRefuses) {
  Bench b;
  const RequestId id = b.ask();
  EXPECT_TRUE(b.wasRefused(id));
}

TEST(Cold, SendsStayUnderTheColdShareOfAWarmWorkersAndAreSpreadOut) {
  Settings s = settings();
  Bench b(s, 100000);
  b.list({member(1), member(2), member(3)});
  std::map<WorkerId, int> first, count;
  std::deque<RequestId> out;
  const auto drive = [&](Time span, std::map<WorkerId, int>& into) {
    for (Time end = b.now + span; b.now < end; b.now += 10) {
      const RequestId id = b.ask(0, 0, b.last);
      if (!b.wasSent(id)) continue;
      ++into[b.lastWorker()];
      out.push_back(id);
      if (out.size() > 8) {
        b.end(out.front(), Result::ok, 50);
        out.pop_front();
      }
    }
  };
  drive(5000, first);
  b.list({member(4, 0, b.now)}, ListKind::delta);
  std::map<WorkerId, int> burst;
  drive(100, burst);
  EXPECT_LE(burst[4], 1);
  drive(2000, count);
  const double warm = (count[1] + count[2] + count[3]) / 3.0;
  EXPECT_GT(count[4], 0);
  EXPECT_LE(count[4], 0.36 * warm + 1);
}

// Every gateway has just restarted and the whole fleet is cold: together they keep to what one request a span
// at every worker allows, instead of one each at once.
TEST(Cold, RestartedGatewaysBeforeAColdFleetSendLittleAtFirst) {
  Settings s = settings();
  s.gateways = 200;
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  unsigned sent = 0;
  for (unsigned g = 0; g < s.gateways; ++g) {
    s.self = g;
    Recorder recorder;
    Gateway gateway(s, 1000 + g, 50000, recorder);
    gateway.members(50000, ListKind::cached, {member(1, 0, 50000), member(2, 0, 50000)});
    for (RequestId i = 0; i < 20; ++i) gateway.request(50000 + 50 * i, {i, 0, 0, 1, 60000, 1, 200});
    sent += static_cast<unsigned>(recorder.sends.size());
  }
  EXPECT_LE(sent, 2 * s.fallMultiple);  // a multiple of one for each of two workers in one span
}

// A customer whose set of gateways grows leaves this gateway a smaller part of its ceiling at once.
TEST(Ceiling, FollowsTheCustomersSetOfGateways) {
  Settings s = settings();
  s.gateways = 40;
  s.plans[2].rate = 1000, s.plans[2].burst = 1000;
  Bench b(s);
  b.list({member(1), member(2), member(3), member(4)});
  b.now += 60000;
  b.end(b.ask(0, 2, 1, 1, 2), Result::ok);
  int in = 0;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = b.ask(0, 2, 1, 1, 20);
    if (!b.wasSent(id)) continue;
    ++in;
    b.end(id, Result::ok);
  }
  EXPECT_LE(in, 2);  // a twentieth of a store of forty
}

TEST(Workers, ListedTwiceOrBackUnderANewStartAreOne) {
  Bench b(settings(), 50000);
  b.list({member(1), member(1), member(2)});
  const RequestId id = b.ask();
  b.list({member(1, 0, 50000), member(2, 0, 50000), member(2, 0, 50000)}, ListKind::delta);
  b.end(id, Result::reset);
  EXPECT_LE(b.attempts(id), 2u);
  b.now += 60000;
  EXPECT_TRUE(b.wasSent(b.ask()));
}

TEST(Clock, AGapOfAnHourIsLegal) {
  Bench b;
  b.list({member(1)});
  const RequestId id = b.ask(0, 0, 1, 1, 2, 5e6);
  b.now += 3.6e6;
  b.end(id, Result::ok, 3.6e6, 300);
  int in = 0;
  for (int i = 0; i < 10; ++i) {
    const RequestId next = b.ask();
    if (!b.wasSent(next)) continue;
    ++in;
    b.end(next, Result::ok);
  }
  EXPECT_GT(in, 0);
}

// Memory over a long stream of new customers, with answers that never come but end by their time-outs.
TEST(Memory, StaysBoundedOverALongStreamOfNewCustomers) {
  Bench b;
  b.list({member(1), member(2)});
  for (int i = 0; i < 20000; ++i) {
    b.now += 20;
    const RequestId id = b.ask(0, 0, 1000 + i);
    if (b.wasSent(id)) b.end(id, i % 3 ? Result::ok : Result::timeout, 100, -1, true);
  }
  EXPECT_LE(b.gateway.customersHeld(), 4096u);
  EXPECT_EQ(b.gateway.requestsHeld(), 0u);
}

// An attempt that gets no answer while the worker answers later ones at once
// was lost on the way, or its answer was: that tells nothing of load, however
// long it took.
TEST(Limits, AnAttemptLostAtAWorkerThatAnswersCutsNothing) {
  Bench b;
  b.list({member(1)});
  CustomerId customer = 1;
  for (int i = 0; i < 20; ++i) {
    const RequestId lost = b.ask(2, 0, customer++);
    ASSERT_TRUE(b.wasSent(lost));
    for (int j = 0; j < 10; ++j) {
      b.now += 100;
      const RequestId quick = b.ask(0, 0, customer++);
      if (b.wasSent(quick)) b.end(quick, Result::ok, 10);
    }
    b.end(lost, i % 2 ? Result::timeout : Result::spoilt, 1000);
  }
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(b.wasSent(b.ask(0, 0, customer++)));
}

}  // namespace
}  // namespace irisring::test
