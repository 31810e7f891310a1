// The judge, on traces made by hand: a good run has no breach, and each bug is reported as exactly its rule,
// at its time, with limits tried just inside and just outside.
#include "rehearsal/judge.hpp"

#include <gtest/gtest.h>

#include <sstream>

#include "checked_toml/checked_toml.hpp"

namespace burlwind::rehearsal {
namespace {

const std::string kScenario =
    "name = 'made'\nlength_s = 20\n"
    "[fleet]\nservers = 4\nzones = 2\n[gatekeepers]\ncount = 2\n"
    "[rules]\ndrain_grace_ms = 1000\nfall_multiple = 2\nfall_span_ms = 1000\nanswer_grace_ms = 8\nslack_ms = "
    "50\n"
    "[[class]]\nname = 'look'\nrepeat = 'safe'\nwork_ms = 100\naim_ms = 1000\ndeadline_ms = 3000\n"
    "[[class]]\nname = 'edit'\nrepeat = 'keyed'\nwork_ms = 100\naim_ms = 1000\ndeadline_ms = 3000\nwindow_ms "
    "= 2000\n"
    "[[class]]\nname = 'order'\nrepeat = 'unsafe'\nwork_ms = 100\naim_ms = 1000\ndeadline_ms = 3000\nworth = "
    "3\n"
    "[[plan]]\nname = 'small'\ncustomers = 2\nrate = 1\nburst = 3\n"
    "[[plan]]\nname = 'big'\ncustomers = 1\nrate = 10\nburst = 100\nceiling_rate = 10\nceiling_burst = "
    "5\nceiling_slack = 1\n"
    "[[fault]]\nkind = 'cut'\nstart_s = 12\nlength_s = 4\ntargets = [1]\n"
    "[[fault]]\nkind = 'late_meter'\nstart_s = 13\nlength_s = 20\nsize = 1500\n";

enum Class : std::uint16_t { look, edit, order };

class JudgeTest : public ::testing::Test {
 protected:
  JudgeTest() {
    trace.scenarioText = kScenario;
    trace.scenario = paced(parseScenario(kScenario, "made"));
  }

  std::uint64_t ask(double at, Class klass, std::uint64_t customer = 1, std::uint16_t plan = 0,
                    double patience = 3000) {
    const std::uint64_t id = ++last;
    for (const Kind kind : {Kind::want, Kind::ask}) {
      Event& event = trace.add(at, kind);
      event.request = kind == Kind::ask ? id : 0;
      event.number = id;
      event.gatekeeper = 0;
      event.klass = klass;
      event.plan = plan;
      event.customer = customer;
      event.value = 1;
      event.extra = patience;
    }
    return id;
  }
  Event& begin(double at, std::uint64_t id, int server, std::uint64_t connection, int gatekeeper = 0) {
    Event& event = trace.add(at, Kind::begin);
    event.since = at;
    event.request = id;
    event.server = static_cast<std::int16_t>(server);
    event.gatekeeper = static_cast<std::int16_t>(gatekeeper);
    event.connection = connection;
    event.value = 100;
    event.extra = 3;
    return event;
  }
  void end(double at, std::uint64_t id, int server, std::uint64_t connection, const char* result) {
    Event& event = trace.add(at, Kind::end);
    event.request = id;
    event.server = static_cast<std::int16_t>(server);
    event.connection = connection;
    event.text = result;
  }
  Event& answer(double at, std::uint64_t id, unsigned status = 200) {
    Event& event = trace.add(at, Kind::answer);
    event.request = id;
    event.part = static_cast<std::uint16_t>(status);
    event.good = status == 200;
    event.gatekeeper = 0;
    return event;
  }
  Event& plainEvent(double at, Kind kind, std::uint64_t id) {
    Event& event = trace.add(at, kind);
    event.request = id;
    event.gatekeeper = 0;
    return event;
  }
  void told(double at, int server, const char* state, double startedAt = -1, int gatekeeper = 0) {
    Event& event = trace.add(at, Kind::told);
    event.gatekeeper = static_cast<std::int16_t>(gatekeeper);
    event.server = static_cast<std::int16_t>(server);
    event.text = state;
    event.value = startedAt;
  }
  // One that goes well.
  std::uint64_t good(double at, Class klass, std::uint64_t customer = 1, std::uint16_t plan = 0) {
    const auto id = ask(at, klass, customer, plan);
    begin(at + 1, id, 0, id);
    end(at + 101, id, 0, id, "served");
    answer(at + 102, id);
    return id;
  }

  Verdict verdict() { return judge(trace); }
  // Exactly this rule is broken, once, at this time and for this request.
  void expectOnly(Rule rule, double at, std::uint64_t request) {
    const Verdict v = verdict();
    for (std::size_t i = 0; i < kRules; ++i)
      EXPECT_EQ(v.broken[i], i == static_cast<std::size_t>(rule) ? 1u : 0u) << nameOf(static_cast<Rule>(i));
    ASSERT_EQ(v.breaches.size(), 1u);
    EXPECT_EQ(v.breaches[0].rule, rule);
    EXPECT_DOUBLE_EQ(v.breaches[0].at, at);
    EXPECT_EQ(v.breaches[0].request, request);
    EXPECT_FALSE(v.breaches[0].proof.empty());
  }
  void expectHeld() {
    const Verdict v = verdict();
    EXPECT_TRUE(v.held());
    for (const Breach& breach : v.breaches) ADD_FAILURE() << nameOf(breach.rule) << " " << breach.why;
  }

  Trace trace;
  std::uint64_t last = 0;
};

TEST_F(JudgeTest, AGoodRunHasNoBreachAndFullService) {
  good(0, look);
  good(100, edit);
  good(200, order);
  expectHeld();
  EXPECT_DOUBLE_EQ(verdict().whole.value(), 1);
  EXPECT_EQ(verdict().served, 3u);
}

// --- Service ---
TEST_F(JudgeTest, AnAnswerPastTheAimServesNothing) {
  const auto just = ask(0, look);
  begin(1, just, 0, 1), end(999, just, 0, 1, "served"), answer(1000, just);
  const auto late = ask(0, look);
  begin(1, late, 0, 2), end(999, late, 0, 2, "served"), answer(1000.1, late);
  const Verdict v = verdict();
  EXPECT_DOUBLE_EQ(v.whole.offered, 2);
  EXPECT_DOUBLE_EQ(v.whole.served, 1);
}

TEST_F(JudgeTest, LatencyCountsFromTheIntendedStart) {
  const auto id = good(500, look);
  for (Event& event : trace.events)
    if (event.kind == Kind::want && event.number == id) event.at = 100;
  EXPECT_NEAR(verdict().classes[look].latency.most(), 502, 1e-9);
}

TEST_F(JudgeTest, LatencyAndRequestsAreToldByClassAndDaemonOverTime) {
  good(0, look);
  good(11000, order);
  const Verdict v = verdict();
  EXPECT_EQ(v.windows[0].classes[look].count(), 1u);
  EXPECT_EQ(v.windows[0].classes[order].count(), 0u);
  EXPECT_EQ(v.windows[1].classes[order].count(), 1u);
  EXPECT_NEAR(v.windows[1].classes[order].percentile(99), 102, 1);
  EXPECT_EQ(v.windows[1].daemons[0].asked, 1u);
}

TEST_F(JudgeTest, WhatIsServedBeyondTheQuotaIsNoService) {
  for (int i = 0; i < 5; ++i) good(10 * i, look);  // a store of three
  const Verdict v = verdict();
  EXPECT_DOUBLE_EQ(v.whole.offered, 3);
  EXPECT_DOUBLE_EQ(v.whole.served, 3);
  EXPECT_DOUBLE_EQ(v.unitsBeyond, 2);
  EXPECT_EQ(v.served, 5u);
}

TEST_F(JudgeTest, ARefusalWithRoomIsCountedAndOneWithoutIsNot) {
  answer(1, ask(0, look), 429);
  for (int i = 0; i < 3; ++i) good(10, look);
  answer(20, ask(19, look), 429);
  const Verdict v = verdict();
  EXPECT_EQ(v.refused, 2u);
  EXPECT_EQ(v.refusedWithRoom, 1u);
  EXPECT_TRUE(v.held());
}

TEST_F(JudgeTest, TwoFaultsAtOnceAreBothNamedByTheWindowsThatTheyTouch) {
  good(0, look);
  const Verdict v = verdict();
  ASSERT_EQ(v.windows.size(), 2u);  // of 10 s
  EXPECT_TRUE(v.windows[0].faults.empty());
  EXPECT_EQ(v.windows[1].faults, (std::vector<std::size_t>{0, 1}));
}

// --- Rule: answer ---
TEST_F(JudgeTest, AnswerInTimeJustInsideAndJustOutside) {
  const auto id = ask(0, look);
  begin(1, id, 0, 1), end(3000, id, 0, 1, "served");
  const std::size_t at = trace.events.size();
  answer(3057.9, id);  // 3000 + 8 + 50
  expectHeld();
  trace.events[at].at = 3058.1;
  expectOnly(Rule::answer, 3058.1, id);
}

TEST_F(JudgeTest, TheKitsOwnLagIsNotHeldAgainstTheDaemon) {
  const auto id = ask(0, look);
  begin(1, id, 0, 1), end(3000, id, 0, 1, "served");
  answer(3080, id);
  trace.add(3081, Kind::lag).value = 30;
  expectHeld();
  trace.events.back().at = 5000;  // late at another time: that excuses nothing
  expectOnly(Rule::answer, 3080, id);
}

TEST_F(JudgeTest, AnsweredTwice) {
  const auto id = good(0, order);
  answer(150, id);
  expectOnly(Rule::answer, 150, id);
}

TEST_F(JudgeTest, BytesBehindTheFinalAnswer) {
  const auto id = good(0, order);
  plainEvent(160, Kind::noise, id);
  expectOnly(Rule::answer, 160, id);
}

TEST_F(JudgeTest, AConnectionThatEndsWithNoAnswer) {
  const auto id = ask(0, look);
  begin(1, id, 0, 1), end(5, id, 0, 1, "closed");
  plainEvent(10, Kind::lost, id);
  expectOnly(Rule::answer, 10, id);
}

TEST_F(JudgeTest, TheFirstOfAConnectionThatWasNeverSentOnHasFailedAndIsNotLost) {
  const auto id = ask(0, look);
  plainEvent(10, Kind::lost, id).good = true;
  expectHeld();
  EXPECT_EQ(verdict().failed, 1u);
}

TEST_F(JudgeTest, WhatAKilledGatekeeperHeldIsNotItsBreach) {
  const auto id = ask(0, look);
  begin(1, id, 0, 1), end(10, id, 0, 1, "closed");
  plainEvent(10, Kind::lost, id);
  trace.add(9, Kind::daemon).text = "kill";
  trace.events.back().gatekeeper = 0;
  expectHeld();
  trace.events.back().gatekeeper = 1;  // another one was
  expectOnly(Rule::answer, 10, id);
}

TEST_F(JudgeTest, NoAnswerAtAll) {
  const auto id = ask(0, look);
  plainEvent(3400, Kind::overdue, id);
  expectOnly(Rule::answer, 3400, id);
}

TEST_F(JudgeTest, ServedWithWhatNoWorkerMade) {
  const auto id = ask(0, look);
  answer(100, id).good = false;
  expectOnly(Rule::answer, 100, id);
}

TEST_F(JudgeTest, SentOnAfterTheFinalAnswer) {
  const auto id = ask(0, look);
  answer(100, id, 502);
  const std::size_t at = trace.events.size();
  begin(104, id, 0, 1), end(110, id, 0, 1, "served");
  expectHeld();  // the two may have crossed
  trace.events[at].at = trace.events[at].since = 106;
  expectOnly(Rule::answer, 106, id);
}

TEST_F(JudgeTest, AClientThatLeavesIsOwedNothing) {
  const auto id = ask(0, look);
  begin(1, id, 0, 1), end(50, id, 0, 1, "closed");
  plainEvent(50, Kind::left, id);
  expectHeld();
}

// The client goes as its answer is being written: the server has served, nobody was answered.
TEST_F(JudgeTest, AClientThatLeavesAtTheInstantOfItsAnswer) {
  const auto id = ask(0, order);
  begin(1, id, 0, 1), end(50, id, 0, 1, "served");
  plainEvent(50, Kind::ran, id);
  plainEvent(50, Kind::left, id);
  expectHeld();
}

// A kept connection's close crosses a request that was not read: sent once more. Had it been sent on, it was
// read.
TEST_F(JudgeTest, ARequestThatCrossedACloseIsNotLostUnlessItWasSentOn) {
  const auto id = ask(0, look);
  plainEvent(5, Kind::crossed, id);
  Event again = trace.events[1];
  again.at = 6;
  trace.events.push_back(again);
  begin(7, id, 0, 1), end(50, id, 0, 1, "served"), answer(51, id);
  expectHeld();
  begin(-1, id, 0, 9), end(-0.5, id, 0, 9, "served");
  trace.events.back().at = -0.5;
  EXPECT_GE(verdict().broken[static_cast<std::size_t>(Rule::answer)], 1u);
}

// Seen in the busy hour: a kept connection of a gatekeeper that the scenario kills ends with nothing
// answered.
TEST_F(JudgeTest, WhatAKilledGatekeeperHadSentOnAndItsClientSendsOnceMoreIsNoBreach) {
  const auto id = ask(0, order);
  begin(1, id, 0, 1), end(20, id, 0, 1, "closed");
  trace.add(19, Kind::daemon).text = "kill";
  trace.events.back().gatekeeper = 0;
  plainEvent(20, Kind::crossed, id);
  Event again = trace.events[1];
  again.at = 21;
  trace.events.push_back(again);
  begin(30, id, 1, 2), end(90, id, 1, 2, "served"), answer(91, id);
  expectHeld();
}

// Seen with nine of twelve killed at once: what was asked on a kept connection of a killed gatekeeper was
// asked there once more and found nobody.
TEST_F(JudgeTest, WhatIsAskedOnceMoreAndFindsNobodyIsTakenByTheKillAndByNothingElse) {
  const auto id = ask(0, order);
  begin(1, id, 0, 1), end(20, id, 0, 1, "closed");
  plainEvent(20, Kind::crossed, id);
  Event& lost = plainEvent(21, Kind::lost, id);
  lost.good = true, lost.text = "refused";
  EXPECT_FALSE(verdict().held());  // nobody killed it: it took the request, sent it on and did not answer
  trace.add(19, Kind::daemon).text = "kill";
  trace.events.back().gatekeeper = 0;
  expectHeld();
  EXPECT_EQ(verdict().taken, 1u);
}

TEST_F(JudgeTest, WhatCrossedACloseAndFoundNobodyHasFailedWhereItWasNeverSentOn) {
  const auto id = ask(0, order);
  plainEvent(20, Kind::crossed, id);
  plainEvent(21, Kind::lost, id).good = true;
  expectHeld();
  EXPECT_EQ(verdict().failed, 1u);
  EXPECT_EQ(verdict().taken, 0u);
}

// --- What faults take ---
TEST_F(JudgeTest, AStopOverARequestsTimeTakesItAndAnEarlierOneDoesNot) {
  const auto note = [&](double at, const char* text) {
    Event& event = trace.add(at, Kind::daemon);
    event.text = text;
    event.gatekeeper = 0;
  };
  const auto id = ask(0, look);
  plainEvent(3400, Kind::overdue, id);
  note(1000, "stop"), note(2600, "wake");
  expectOnly(Rule::answer, 3400, id);  // it had 458 ms left
  trace.events.back().at = 2900;
  expectHeld();
  EXPECT_EQ(verdict().taken, 1u);
}

TEST_F(JudgeTest, AttemptsBegunAfterTheRequestsTimeAreCounted) {
  const auto id = ask(0, look);
  begin(10, id, 0, 1), end(3100, id, 0, 1, "closed");
  answer(3050, id, 503);
  EXPECT_EQ(verdict().sentLate, 0u);
  begin(3070, id, 1, 2), end(3080, id, 1, 2, "served");
  EXPECT_EQ(verdict().sentLate, 1u);
}

class LinksJudged : public JudgeTest {
 protected:
  void fault(const std::string& rest) {
    trace.scenarioText =
        kScenario + "[[fault]]\nkind = 'link'\nstart_s = 1\nlength_s = 2\ntargets = [0]\n" + rest;
    trace.scenario = paced(parseScenario(trace.scenarioText, "made"));
  }
};

TEST_F(LinksJudged, ALinkToClientsThatBreaksTakesWhatWasOnItAndNothingElse) {
  fault("to = 'clients'\nway = 'reset'\n");
  const auto id = ask(500, look);
  begin(501, id, 0, 1), end(1001, id, 0, 1, "closed");
  plainEvent(1000, Kind::lost, id);
  expectHeld();
  EXPECT_EQ(verdict().taken, 1u);
  const auto later = ask(3500, look);
  begin(3501, later, 0, 2), end(3600, later, 0, 2, "closed");
  plainEvent(3600, Kind::lost, later);
  expectOnly(Rule::answer, 3600, later);
}

// The gatekeeper ended its first attempt and began another; a held link delivered the first one last.
TEST_F(LinksJudged, AnAttemptCountsFromWhenItWasSentUntilItsGatekeeperEndedIt) {
  fault("way = 'held'\nservers = [0]\n");
  const auto id = ask(1100, look);
  begin(1700, id, 1, 2), end(1800, id, 1, 2, "served");
  answer(1801, id);
  const std::size_t at = trace.events.size();
  begin(3000, id, 0, 1).since = 1101;
  end(3000, id, 0, 1, "closed");
  trace.events.back().since = 1600;
  expectHeld();
  trace.events.back().since = 1720;  // it was out while the second began
  expectOnly(Rule::effect, 1700, id);
  trace.events.back().since = 1600;
  trace.events[at].since = 1900;  // sent after the answer
  EXPECT_EQ(verdict().broken[static_cast<std::size_t>(Rule::answer)], 1u);
}

TEST_F(LinksJudged, WhatDiscoveryWroteToALinkThatHeldItCountsAsToldWhenItHeals) {
  fault("to = 'discovery'\nway = 'held'\nsides = 'back'\n");
  told(1500, 0, "draining");
  const auto id = ask(3900, look);
  begin(3901, id, 0, 1), end(3950, id, 0, 1, "served"), answer(3951, id);  // 901 ms after 3000
  expectHeld();
  const auto later = ask(4100, look);
  begin(4101, later, 0, 1), end(4150, later, 0, 1, "served"), answer(4151, later);
  expectOnly(Rule::drain, 4101, later);
}

TEST_F(LinksJudged, AColdServerIsNotOverrunByWhatALinkLetGo) {
  fault("way = 'held'\nservers = [0]\n");
  Event& cold = trace.add(500, Kind::server);
  cold.server = 0, cold.text = "cold";
  told(500, 0, "ready", 500);
  const auto burst = [&](double since) {
    for (int i = 0; i < 80; ++i) {
      const auto id = ask(1100, look);
      Event& event = begin(3000, id, 0, id);
      event.since = since, event.good = true;
      end(3100, id, 0, id, "served"), answer(3101, id);
    }
  };
  burst(1101);
  EXPECT_EQ(verdict().broken[static_cast<std::size_t>(Rule::cold)], 0u);
  burst(2990);  // sent then: the gatekeeper's doing
  EXPECT_EQ(verdict().broken[static_cast<std::size_t>(Rule::cold)], 1u);
}

TEST_F(JudgeTest, TheBusiestSecondOfEachTargetIsTold) {
  const auto opened = [&](double at, int server) {
    trace.add(at, Kind::opened).server = static_cast<std::int16_t>(server);
  };
  opened(0, 0), opened(500, 0), opened(1000, 0), opened(600, 1), opened(0, -1), opened(999, -1);
  const Verdict v = verdict();
  EXPECT_EQ(v.mostOpenedAtOne, 2u);
  EXPECT_EQ(v.mostOpened, 3u);
  EXPECT_EQ(v.mostAskedDiscovery, 2u);
}

// --- Time to full service ---
TEST(Healing, CountsFromTheFaultsBeginUntilTheServiceIsBack) {
  ServiceOverTime service;
  // Full service; from 10 s on a fifth, from 12 s evenly up to all at 20 s.
  for (double at = 0; at < 40000; at += 10) {
    const double share = at < 10000 ? 1 : at < 12000 ? 0.2 : std::min(1.0, 0.2 + 0.8 * (at - 12000) / 8000);
    service.add(at, 1, share);
  }
  const Healing h = heal(service, 3, 10000, 2000, 40000);
  EXPECT_EQ(h.fault, 3u);
  EXPECT_DOUBLE_EQ(h.before, 1);
  EXPECT_NEAR(h.lowest, 0.2, 0.01);
  EXPECT_NEAR(h.to90, 8500, 150);  // the span of 1 s around 19 s has 0.9
  EXPECT_NEAR(h.to98, 9500, 500);  // three spans in a row
}

TEST(Healing, WhatNeverComesBackIsNever) {
  ServiceOverTime service;
  for (double at = 0; at < 20000; at += 10) service.add(at, 1, at < 10000 ? 1 : 0.5);
  const Healing h = heal(service, 0, 10000, 1000, 20000);
  EXPECT_EQ(h.to90, Healing::kNever);
  EXPECT_EQ(h.to98, Healing::kNever);
}

TEST(Healing, AFaultThatTakesNothingNeedsNoTime) {
  ServiceOverTime service;
  for (double at = 0; at < 20000; at += 10) service.add(at, 1, 0.9);
  const Healing h = heal(service, 0, 10000, 1000, 20000);
  EXPECT_EQ(h.to90, 0);
  EXPECT_EQ(h.to98, 0);
}

// --- Rule: effect ---
TEST_F(JudgeTest, AnUnsafeOneIsNotSentAgainOnceItMayHaveRun) {
  const auto id = ask(0, order);
  begin(1, id, 0, 1), end(50, id, 0, 1, "reset");
  begin(60, id, 2, 2), end(160, id, 2, 2, "served"), answer(161, id);
  expectOnly(Rule::effect, 60, id);
}

TEST_F(JudgeTest, AnUnsafeOneThatWasDeclinedMayGoElsewhere) {
  const auto id = ask(0, order);
  begin(1, id, 0, 1), end(2, id, 0, 1, "declined");
  begin(3, id, 2, 2), end(100, id, 2, 2, "served"), answer(101, id);
  expectHeld();
}

TEST_F(JudgeTest, ASafeOneMayBeSentAgain) {
  const auto id = ask(0, look);
  begin(1, id, 0, 1), end(50, id, 0, 1, "reset");
  begin(60, id, 1, 2), end(160, id, 1, 2, "served"), answer(161, id);
  expectHeld();
}

TEST_F(JudgeTest, AKeyedOneIsSentAgainOnlyInItsZone) {
  const auto id = ask(0, edit);
  begin(1, id, 0, 1), end(50, id, 0, 1, "reset");
  const std::size_t at = trace.events.size();
  begin(60, id, 2, 2), end(160, id, 2, 2, "served"), answer(161, id);
  expectHeld();  // servers 0 and 2 are in one zone
  trace.events[at].server = trace.events[at + 1].server = 3;
  expectOnly(Rule::effect, 60, id);
}

TEST_F(JudgeTest, AKeyedOneIsSentAgainOnlyInItsWindow) {
  const auto id = ask(0, edit, 1, 0, 5000);
  begin(1, id, 0, 1), end(50, id, 0, 1, "reset");
  const std::size_t at = trace.events.size();
  begin(2050.9, id, 2, 2), end(2100, id, 2, 2, "served"), answer(2101, id);  // 1 + 2000 + 50
  expectHeld();
  trace.events[at].at = 2051.1;
  expectOnly(Rule::effect, 2051.1, id);
}

TEST_F(JudgeTest, NoSecondAttemptWhileOneIsOut) {
  const auto id = ask(0, look);
  begin(1, id, 0, 1);
  begin(60, id, 1, 2);
  const std::size_t at = trace.events.size();
  end(64.9, id, 0, 1, "closed");  // seen a moment later: the close and the send have crossed
  end(160, id, 1, 2, "served"), answer(161, id);
  expectHeld();
  trace.events[at].at = 65.1;
  expectOnly(Rule::effect, 60, id);
}

TEST_F(JudgeTest, ARefusalSaysThatItHasNotRun) {
  const auto id = ask(0, order);
  begin(1, id, 0, 1), end(50, id, 0, 1, "closed");
  const std::size_t at = trace.events.size();
  answer(51, id, 503);
  expectOnly(Rule::effect, 51, id);
  trace.events[at].part = 502;  // failed: no promise
  expectHeld();
}

// Its connection broke, and the effect came all the same: a refusal, or another attempt, would be a lie.
TEST_F(JudgeTest, AnEffectThatRanThoughItsConnectionBroke) {
  const auto id = ask(0, order);
  begin(1, id, 0, 1), end(10, id, 0, 1, "closed");
  answer(11, id, 429);
  plainEvent(90, Kind::ran, id);
  expectOnly(Rule::effect, 11, id);
}

TEST_F(JudgeTest, AServersAnswerThatCrossesTheDaemonsCloseHasRun) {
  const auto id = ask(0, order);
  begin(1, id, 0, 1), end(10, id, 0, 1, "served");  // written, and never read
  begin(11, id, 2, 2), end(60, id, 2, 2, "served"), answer(61, id);
  expectOnly(Rule::effect, 11, id);
}

// --- Rule: drain ---
TEST_F(JudgeTest, NothingNewToADrainingServerAfterTheGrace) {
  told(0, 0, "ready");
  told(100, 0, "draining");
  const auto id = ask(1100, look);
  const std::size_t at = trace.events.size();
  begin(1149.9, id, 0, 1), end(1200, id, 0, 1, "served"), answer(1201, id);  // 100 + 1000 + 50
  expectHeld();
  trace.events[at].at = trace.events[at].since = 1150.1;
  expectOnly(Rule::drain, 1150.1, id);
}

TEST_F(JudgeTest, GoneAfterDrainingCountsFromTheDrain) {
  told(100, 0, "draining");
  told(1100, 0, "gone");
  const auto id = ask(1200, look);
  begin(1201, id, 0, 1), end(1300, id, 0, 1, "served"), answer(1301, id);
  expectOnly(Rule::drain, 1201, id);
}

TEST_F(JudgeTest, AServerThatIsBackMayBeSentTo) {
  told(100, 0, "draining");
  told(2000, 0, "ready", 1900);
  good(2500, look);
  expectHeld();
}

TEST_F(JudgeTest, AnotherGatekeeperThatWasNotToldBreaksNothing) {
  told(100, 0, "draining", -1, 1);
  good(3000, look);
  expectHeld();
}

// --- Rule: cold ---
// So many attempts of 100 ms in half a second at a cold server that can do 0.5 ms in a ms: it stands 1000 and
// a job.
class ColdTest : public JudgeTest {
 protected:
  void coldAt(double at, int gatekeepersTold) {
    Event& event = trace.add(at, Kind::server);
    event.server = 3;
    event.text = "cold";
    for (int g = 0; g < gatekeepersTold; ++g) told(at + 10, 3, "ready", at, g);
  }
  void send(int count, double from) {
    for (int i = 0; i < count; ++i) {
      const auto id = ask(from + i, look, 100 + static_cast<std::uint64_t>(i));
      Event& event = begin(from + i, id, 3, id, i % 4 == 0 ? 1 : 0);
      event.good = true;
      event.extra = 0.5;
      end(from + i + 0.5, id, 3, id, "declined");
      answer(from + i + 1, id, 503);
    }
  }
};

TEST_F(ColdTest, ACountJustInsideStandsAndOneMoreOverruns) {
  coldAt(1000, 2);
  send(11, 1100);
  expectHeld();
  send(1, 1111);
  const Verdict v = verdict();
  EXPECT_EQ(v.broken[static_cast<std::size_t>(Rule::cold)], 1u);
  ASSERT_EQ(v.breaches.size(), 1u);
  EXPECT_DOUBLE_EQ(v.breaches[0].at, 1111);
  EXPECT_NE(v.breaches[0].why.find("gatekeepers 0 (67%), 1 (33%)"), std::string::npos) << v.breaches[0].why;
}

TEST_F(ColdTest, TheSameWorkOverALongerTimeIsFine) {
  coldAt(1000, 2);
  send(8, 1100);
  send(8, 2200);
  expectHeld();
}

TEST_F(ColdTest, WhoWasNotToldOfTheStartBreaksNothing) {
  coldAt(1000, 0);
  send(20, 1100);
  expectHeld();
}

// --- Rule: ceiling ---
TEST_F(JudgeTest, TheCeilingHoldsWithItsSlack) {
  // 5 units, 1 of slack, and what the rate gives in 150 ms: 7.5 below nothing would be too many by one.
  for (int i = 0; i < 7; ++i) good(0, look, 9, 1);
  expectHeld();
  const auto id = good(0, look, 9, 1);
  expectOnly(Rule::ceiling, 1, id);
}

TEST_F(JudgeTest, MoreAttemptsOfOneRequestTakeTheCeilingOnce) {
  for (int i = 0; i < 7; ++i) {
    const auto id = good(0, look, 9, 1);
    begin(102, id, 1, 1000 + id), end(103, id, 1, 1000 + id, "closed");
    trace.events.back().at = 103;
    // Behind the answer: another rule, which is not the point here.
    for (Event& event : trace.events)
      if (event.kind == Kind::answer && event.request == id) event.at = 104;
  }
  expectHeld();
}

// --- The kit's own state, daemons, and the trace ---
TEST_F(JudgeTest, AMachineThatIsTooSlowIsSaidSo) {
  good(0, look);
  trace.add(100, Kind::lag).value = 399;
  EXPECT_FALSE(verdict().tooSlow);
  trace.add(5000, Kind::lag).value = 10;
  EXPECT_TRUE(verdict().tooSlow) << "over 2% of 20 s";
}

TEST_F(JudgeTest, ACrashIsReported) {
  good(0, look);
  trace.add(100, Kind::daemon).text = "crash";
  trace.events.back().gatekeeper = 1;
  EXPECT_TRUE(verdict().crashed());
  EXPECT_TRUE(verdict().daemons[1].crashed);
}

TEST_F(JudgeTest, CpuIsCountedOverRestarts) {
  for (const double cpu : {1.0, 2.0, 0.5}) {
    Event& event = trace.add(100 * static_cast<double>(trace.events.size()), Kind::usage);
    event.gatekeeper = 0;
    event.value = cpu;
    event.extra = 10 * cpu;
    event.number = 7;
  }
  EXPECT_DOUBLE_EQ(verdict().daemons[0].cpuSeconds, 2.5);
  EXPECT_DOUBLE_EQ(verdict().daemons[0].peakMemoryMb, 20);
  const Window window = verdict().windows[0];
  EXPECT_DOUBLE_EQ(window.daemons[0].cpu, 0.25) << "2.5 s of 10";
  EXPECT_DOUBLE_EQ(window.daemons[0].memoryMb, 20);
  EXPECT_EQ(window.daemons[0].descriptors, 7u);
  EXPECT_EQ(window.daemons[1].descriptors, 0u);
}

TEST_F(JudgeTest, ATraceThatIsReadAgainIsJudgedTheSame) {
  good(0, look);
  const auto id = good(50, order);
  answer(160, id);
  trace.seed = 77;
  trace.digest = ~std::uint64_t{0};
  std::stringstream file;
  writeTrace(file, trace);
  const Trace again = readTrace(file, "t");
  EXPECT_EQ(again.seed, 77u);
  EXPECT_EQ(again.digest, ~std::uint64_t{0});
  ASSERT_EQ(again.events.size(), trace.events.size());
  const Verdict a = verdict(), b = judge(again);
  EXPECT_EQ(a.broken, b.broken);
  EXPECT_EQ(a.whole.served, b.whole.served);
  EXPECT_EQ(a.breaches[0].proof, b.breaches[0].proof);
}

TEST_F(JudgeTest, ABadTraceIsNamedByItsLine) {
  const auto errorOf = [](const std::string& text) -> std::string {
    std::istringstream in(text);
    try {
      readTrace(in, "t");
    } catch (const FileError& error) {
      return error.what();
    }
    return "";
  };
  good(0, look);
  std::stringstream file;
  writeTrace(file, trace);
  EXPECT_EQ(errorOf(""), "t: line 1: the trace is empty");
  EXPECT_NE(errorOf("{\"schema\":\"other\"}\n").find("t: line 1: schema is not"), std::string::npos);
  EXPECT_NE(errorOf(file.str() + "{\"at\":1,\"kind\":\"nonsense\"}\n").find("unknown kind"),
            std::string::npos);
  EXPECT_NE(errorOf(file.str() + "{\"at\":1").find(": line "), std::string::npos);
}

// --- Checks ---
class ChecksJudged : public JudgeTest {
 protected:
  ChecksJudged() {
    trace.scenarioText = kScenario +
                         "[[fault]]\nkind = 'checker_flips'\nstart_s = 4\nlength_s = 6\nsize = 1\n"
                         "[checkers]\ncount = 1\nmax_age_s = 1\nbad_share = 0.5\n";
    trace.scenario = paced(parseScenario(trace.scenarioText, "made"));
  }
  std::uint64_t askAs(bool proven, double at) {
    const auto id = ask(at, order);
    for (Event& event : trace.events)
      if (event.number == id) event.good = proven;
    return id;
  }
  void serve(std::uint64_t id, double at) {
    begin(at, id, 0, id);
    end(at + 100, id, 0, id, "served");
    answer(at + 101, id);
  }
};

TEST_F(ChecksJudged, ADenialOfWhatProvesNothingIsNoLossOfService) {
  answer(110, askAs(false, 100), 401);
  serve(askAs(true, 200), 201);
  expectHeld();
  const Verdict v = verdict();
  EXPECT_EQ(v.denied, 1u);
  EXPECT_EQ(v.failed, 0u);
  EXPECT_DOUBLE_EQ(v.whole.value(), 1);
}

TEST_F(ChecksJudged, ADenialOfWhatProvesItselfIsAFailure) {
  answer(110, askAs(true, 100), 401);
  EXPECT_EQ(verdict().failed, 1u);
  EXPECT_LT(verdict().whole.value(), 1);
}

TEST_F(ChecksJudged, WhatProvesNothingMustNotReachAServer) {
  const auto id = askAs(false, 100);
  serve(id, 101);
  expectOnly(Rule::effect, 101, id);
}

// The flip begins at 4 s; an allowance may be remembered for 1 s and be 2 s on its way.
TEST_F(ChecksJudged, AFlipHoldsOnceNoAllowanceCanBeLeft) {
  serve(askAs(true, 6900), 6901);
  expectHeld();
  const auto id = askAs(true, 7200);
  serve(id, 7201);
  expectOnly(Rule::effect, 7201, id);
}

TEST_F(ChecksJudged, AfterAFlipItIsAllowedAgain) {
  serve(askAs(true, 10100), 10101);
  expectHeld();
}

}  // namespace
}  // namespace burlwind::rehearsal
