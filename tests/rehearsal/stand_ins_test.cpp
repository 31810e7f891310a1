// Conformance of the stand-ins, each alone on loopback: what the platform's protocol says they do.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "rehearsal/checker_stand_in.hpp"
#include "rehearsal/discovery_stand_in.hpp"
#include "rehearsal/front.hpp"
#include "rehearsal/order_server.hpp"
#include "support/peers.hpp"

namespace burlwind::rehearsal {
namespace {

using nlohmann::json;
using test::PeerPtr;
using tcp = boost::asio::ip::tcp;

const std::string kScenario =
    "name = 'stand-ins'\nlength_s = 3600\n"
    "[fleet]\nservers = 2\nzones = 2\ncores = 1\nspeed_cv = 0\nslots_per_core = 1\nqueue_per_core = "
    "1\nwarm_ms = 60000\n"
    "report_period_ms = 100\nreport_delay_ms = 0\nreport_noise = 0\nmeter_period_ms = 500\nmeter_lag_ms = "
    "0\ntell_ms = 0\n"
    "connections = 3\nhandshake_ms = 0\n"
    "[gatekeepers]\ncount = 2\n[clients]\nretries = 0\n"
    "[[class]]\nname = 'look'\nrepeat = 'safe'\nwork_ms = 5\ncv = 0\naim_ms = 1000\ndeadline_ms = 60000\n"
    "[[class]]\nname = 'edit'\nrepeat = 'keyed'\nwork_ms = 5\ncv = 0\naim_ms = 1000\ndeadline_ms = "
    "60000\nwindow_ms = 600000\n"
    "[[plan]]\nname = 'small'\ncustomers = 1\nrate = 10\nburst = 5\nuse = 0.01\n";

tcp::endpoint endpointOf(const std::string& text) {
  const auto colon = text.rfind(':');
  return {boost::asio::ip::make_address(text.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
}

class StandIns : public test::Loopback {
 protected:
  explicit StandIns(const std::string& text = kScenario)
      : scenario(paced(parseScenario(text, "s"))), plan(planLoad(scenario, 1)) {
    trace.scenario = scenario;
    world.startClock();
    if (plan.arrivals.empty()) plan.arrivals.push_back({});
  }
  std::size_t count(Kind kind, const std::string& text = "") const {
    return static_cast<std::size_t>(
        std::count_if(trace.events.begin(), trace.events.end(),
                      [&](const Event& e) { return e.kind == kind && (text.empty() || e.text == text); }));
  }
  const Event& lastOf(Kind kind) const {
    return *std::find_if(trace.events.rbegin(), trace.events.rend(),
                         [&](const Event& e) { return e.kind == kind; });
  }

  Scenario scenario;
  LoadPlan plan;
  Trace trace;
  World world{io, scenario, plan, trace, 1, {}, 0, {}};
};

// --- Order server ---
class OrderServerTest : public StandIns {
 protected:
  void open(double startedAt = -1e12) {
    server.emplace(world, fleet, 0, startedAt);
    server->listen();
  }
  PeerPtr dialServer(unsigned gatekeeper = 0) { return dial(endpointOf(server->addressFor(gatekeeper))); }
  std::string request(std::uint64_t id, float work, std::uint16_t klass = 0, const std::string& extra = "") {
    world.book[id] = {0, klass, 0, work, 1};
    char name[17];
    std::snprintf(name, sizeof name, "%016llx", static_cast<unsigned long long>(id));
    return std::string("GET /look HTTP/1.1\r\nHost: b\r\nReq-Id: ") + name + "\r\n" + extra + "\r\n";
  }
  FleetState fleet{scenario};
  std::optional<OrderServer> server;
};

TEST_F(OrderServerTest, ServesAndTellsWhoSentItWhenAndHowMuch) {
  open();
  const auto peer = dialServer(1);
  peer->send(request(0xab, 5));
  until([&] { return peer->has("done 00000000000000ab\n"); }, "the answer");
  EXPECT_TRUE(peer->has("HTTP/1.1 200 OK"));
  const Event& begin = lastOf(Kind::begin);
  EXPECT_EQ(begin.gatekeeper, 1);
  EXPECT_EQ(begin.request, 0xabu);
  EXPECT_GT(begin.value, 0);
  EXPECT_FALSE(begin.good) << "it is warm";
  until([&] { return count(Kind::end, "served") == 1; }, "its end");
  EXPECT_EQ(count(Kind::ran), 1u);
}

TEST_F(OrderServerTest, DeclinesWhatIsBeyondItsQueueAndSaysThatItNeverRan) {
  open();
  std::vector<PeerPtr> peers;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    peers.push_back(dialServer());
    peers.back()->send(request(id, 60000));
    until([&] { return count(Kind::begin) == id; }, "it has come");
  }
  until([&] { return peers[2]->has("Srv-Declined: 1"); }, "the refusal");
  EXPECT_TRUE(peers[2]->has("HTTP/1.1 503"));
  until([&] { return count(Kind::end, "declined") == 1; }, "its end");
  EXPECT_TRUE(peers[0]->got.empty());
}

TEST_F(OrderServerTest, TellsItsLoadAndTheCustomersUse) {
  open();
  server->sample();
  const auto peer = dialServer();
  // Readings tell a period that is over: the second answer, a period later, tells of the first request.
  std::uint64_t id = 0;
  peer->send(request(++id, 1));
  until([&] { return peer->count("done ") == 1; }, "the first answer");
  EXPECT_TRUE(peer->has("Srv-Load: util="));
  until([&] { return fleet.meter.read(world.now(), 0, plan.customers[0].id, 10) > 0; }, "a period's end");
  peer->send(request(++id, 1));
  until([&] { return peer->count("done ") == 2; }, "the second answer");
  EXPECT_TRUE(peer->has("X-RateLimit-Used: "));
}

TEST_F(OrderServerTest, DropsAKeyedRepeatInItsZone) {
  open();
  const auto peer = dialServer();
  peer->send(request(1, 5, 1, "Idempotency-Key: k1\r\n"));
  until([&] { return peer->count("done ") == 1; }, "the first answer");
  peer->send(request(2, 5, 1, "Idempotency-Key: k1\r\n"));
  until([&] { return peer->count("done ") == 2; }, "the answer to the repeat");
  EXPECT_EQ(count(Kind::ran), 1u) << "one effect";
  OrderServer elsewhere(world, fleet, 1, -1e12);  // another zone has not seen the key
  elsewhere.listen();
  const auto other = dial(endpointOf(elsewhere.addressFor(0)));
  other->send(request(3, 5, 1, "Idempotency-Key: k1\r\n"));
  until([&] { return other->count("done ") == 1; }, "the answer elsewhere");
  EXPECT_EQ(count(Kind::ran), 2u);
}

TEST_F(OrderServerTest, AnEffectRunsOnThoughItsConnectionIsClosed) {
  open();
  const auto peer = dialServer();
  peer->send(request(1, 100));
  until([&] { return count(Kind::begin) == 1; }, "it has come");
  peer->end();
  until([&] { return count(Kind::end, "closed") == 1; }, "the close");
  until([&] { return count(Kind::ran) == 1; }, "the effect");
}

TEST_F(OrderServerTest, WhatOnlyWaitsIsDroppedWithItsConnection) {
  open();
  const auto first = dialServer(), second = dialServer();
  first->send(request(1, 60000));
  until([&] { return count(Kind::begin) == 1; }, "the first");
  second->send(request(2, 60000));
  until([&] { return server->model().waiting() == 1; }, "the second waits");
  second->end();
  until([&] { return server->model().waiting() == 0; }, "it is dropped");
}

TEST_F(OrderServerTest, TurnsAwayWhatItDoesNotKnow) {
  open();
  const auto peer = dialServer();
  peer->send("GET /look HTTP/1.1\r\nHost: b\r\n\r\n");
  until([&] { return peer->has("HTTP/1.1 404"); }, "404");
  peer->send("GET /look HTTP/1.1\r\nHost: b\r\nReq-Id: 00000000000000ff\r\n\r\n");
  until([&] { return peer->has("HTTP/1.1 400"); }, "400");
  EXPECT_EQ(count(Kind::stray), 1u);
}

TEST_F(OrderServerTest, HoldsOnlySoManyConnections) {
  open();
  std::vector<PeerPtr> peers;
  for (int i = 0; i < 4; ++i) peers.push_back(dialServer());
  until([&] { return peers[3]->ended; }, "the fourth is ended");
  EXPECT_FALSE(peers[0]->ended);
}

TEST_F(OrderServerTest, ClosesAConnectionThatStandsIdle) {
  scenario.fleet.idleMs = 50;
  open();
  const auto peer = dialServer();
  peer->send(request(1, 1));
  until([&] { return peer->has("done "); }, "an answer first");
  until([&] { return peer->ended; }, "the close");
  EXPECT_EQ(count(Kind::end, "served"), 1u);
}

TEST_F(OrderServerTest, ACrashResetsAndRefusesAndARestartIsCold) {
  open();
  const auto peer = dialServer();
  peer->send(request(1, 60000));
  until([&] { return count(Kind::begin) == 1; }, "it has come");
  const tcp::endpoint address = endpointOf(server->addressFor(0));
  server->crash();
  until([&] { return peer->ended; }, "the reset");
  EXPECT_EQ(count(Kind::end, "reset"), 1u);
  tcp::socket refused(io);
  Error error;
  refused.connect(address, error);
  EXPECT_EQ(error, boost::asio::error::connection_refused);
  server->restart();
  EXPECT_EQ(endpointOf(server->addressFor(0)), address) << "at the same address";
  const auto again = dialServer();
  again->send(request(2, 1));
  until([&] { return again->has("done "); }, "an answer");
  EXPECT_TRUE(lastOf(Kind::begin).good) << "cold";
  EXPECT_EQ(count(Kind::server, "cold"), 1u);
}

TEST_F(OrderServerTest, OverdrivenWhileColdItFallsOver) {
  open(world.now());
  const auto peer = dialServer();
  for (std::uint64_t id = 1; count(Kind::server, "fallen") == 0; ++id) {
    ASSERT_LT(id, 100u);
    const auto one = dialServer();
    one->send(request(id, 3000));
    until([&] { return count(Kind::begin) == id; }, "it has come");
    one->end();
    until([&] { return count(Kind::end) == id; }, "its end");
  }
  until([&] { return peer->ended; }, "all connections are reset");
}

// Both ways: what is sent is not seen, what is answered does not come, and new connections never come up.
TEST_F(OrderServerTest, ACutLinkIsSilentAndHealsWhileOthersGoOn) {
  open();
  const auto cut = dialServer(0), other = dialServer(1);
  cut->send(request(1, 1));
  until([&] { return cut->count("done ") == 1; }, "an answer before");
  server->cut(0, true);
  cut->send(request(2, 1));
  other->send(request(3, 1));
  until([&] { return other->count("done ") == 1; }, "the other link goes on");
  tcp::socket never(io);
  bool came = false;
  never.async_connect(endpointOf(server->addressFor(0)), [&](const Error&) { came = true; });
  other->send(request(4, 20));
  until([&] { return other->count("done ") == 2; }, "time passes");
  EXPECT_FALSE(came);
  EXPECT_FALSE(cut->ended);
  EXPECT_EQ(cut->count("done "), 1u);
  server->cut(0, false);
  until([&] { return cut->count("done ") == 2; }, "what was held back comes");
  never.close();
  const auto fresh = dialServer(0);
  fresh->send(request(5, 1));
  until([&] { return fresh->has("done "); }, "new connections come up again");
}

TEST_F(OrderServerTest, WhatAGatekeeperGaveUpDuringACutNeverArrives) {
  open();
  const auto peer = dialServer(0);
  peer->send(request(1, 1));
  until([&] { return peer->count("done ") == 1; }, "an answer before");
  server->cut(0, true);
  peer->send(request(2, 1));
  peer->end();
  const auto other = dialServer(1);
  other->send(request(3, 20));
  until([&] { return other->has("done "); }, "time passes");
  server->cut(0, false);
  other->send(request(4, 1));
  until([&] { return other->count("done ") == 2; }, "time passes");
  for (const Event& event : trace.events) EXPECT_FALSE(event.kind == Kind::begin && event.request == 2);
}

TEST_F(OrderServerTest, ADrainingOneTurnsNewWorkAway) {
  open();
  const auto peer = dialServer();
  server->drain();
  peer->send(request(1, 1));
  until([&] { return peer->has("Srv-Declined: 1"); }, "the refusal");
}

class SpoiltServerTest : public OrderServerTest {
 protected:
  SpoiltServerTest() {
    scenario.faults.push_back({FaultKind::spoilt, 0, 1e9, {0}, 1});
    scenario.faults.push_back({FaultKind::falseUtil, 0, 1e9, {0}, 0});
  }
};

TEST_F(SpoiltServerTest, ItsAnswersCannotBeReadThoughTheyHaveRun) {
  open();
  const auto peer = dialServer();
  peer->send(request(1, 1));
  until([&] { return peer->has("??"); }, "noise");
  EXPECT_FALSE(peer->has("HTTP/1.1 200"));
  until([&] { return count(Kind::end, "spoilt") == 1; }, "its end");
  EXPECT_EQ(count(Kind::ran), 1u);
  EXPECT_FALSE(peer->ended) << "the connection stays open and is of no further use";
}

// --- Discovery ---
class DiscoveryTest : public StandIns {
 protected:
  DiscoveryTest() {
    agent.change({0, "s-0", "127.0.0.1:1", "building-a", "ready", -1}, 0);
    agent.listen();
  }
  PeerPtr ask(const std::string& target) {
    const auto peer = dial(endpointOf(agent.address()));
    peer->send("GET " + target + " HTTP/1.1\r\nHost: d\r\n\r\n");
    return peer;
  }
  DiscoveryAgent agent{world, 0};
};

TEST_F(DiscoveryTest, GivesTheWholeList) {
  const auto peer = ask("/registry/instances");
  until([&] { return peer->has("]}") || peer->has("\"reset\""); }, "the list");
  const json list = json::parse(peer->got.substr(peer->got.find("\r\n\r\n") + 4));
  EXPECT_TRUE(list["reset"]);
  EXPECT_EQ(list["instances"][0]["instanceId"], "s-0");
  EXPECT_EQ(list["instances"][0]["lifecycle"], "Ready");
  EXPECT_EQ(list["instances"][0]["startedAtMs"], 0);
  EXPECT_EQ(count(Kind::told, "ready"), 1u);
}

TEST_F(DiscoveryTest, AWatchTellsChangesAsTheyAreToldAndTracesWhen) {
  const auto peer = ask("/registry/instances?watch=1");
  until([&] { return peer->has("s-0"); }, "the list");
  agent.change({0, "s-0", "127.0.0.1:1", "building-a", "draining", -1}, 0);
  until([&] { return peer->has("Terminating"); }, "the change");
  EXPECT_EQ(count(Kind::told, "draining"), 1u);
  agent.change({0, "s-0", "127.0.0.1:1", "building-a", "gone", -1}, 0);
  until([&] { return peer->has("Gone"); }, "the end");
}

TEST_F(DiscoveryTest, AWatchFromTheNewestVersionIsNotToldTheListAgain) {
  const auto peer = ask("/registry/instances?watch=1&from=1");
  until([&] { return peer->has("\r\n\r\n"); }, "the head");
  agent.change({1, "s-1", "127.0.0.1:2", "building-a", "ready", 5}, 0);
  until([&] { return peer->has("s-1"); }, "the change");
  EXPECT_FALSE(peer->has("s-0"));
}

TEST_F(DiscoveryTest, DownItIsSilentAndTellsWhatWasMissedWhenItIsBack) {
  const auto peer = ask("/registry/instances?watch=1");
  until([&] { return peer->has("s-0"); }, "the list");
  agent.setDown(true);
  agent.change({1, "s-1", "127.0.0.1:2", "building-a", "ready", 5}, 0);
  const auto late = ask("/registry/instances");
  agent.change({2, "s-2", "127.0.0.1:3", "building-a", "ready", 5}, 20);
  for (int i = 0; i < 5; ++i) io.restart(), io.run_one_for(std::chrono::milliseconds(20));
  EXPECT_FALSE(peer->has("s-1"));
  EXPECT_TRUE(late->got.empty());
  agent.setDown(false);
  until([&] { return peer->has("s-1") && late->has("s-1"); }, "what was missed");
}

TEST_F(DiscoveryTest, MovedTheOldAddressTakesNobodyAndEndsItsWatches) {
  const auto peer = ask("/registry/instances?watch=1");
  until([&] { return peer->has("s-0"); }, "the list");
  const tcp::endpoint old = endpointOf(agent.address());
  agent.listen();
  EXPECT_NE(endpointOf(agent.address()), old);
  tcp::socket refused(io);
  Error error;
  refused.connect(old, error);
  EXPECT_TRUE(error);
  until([&] { return peer->ended; }, "the old watch ends");
  const auto fresh = ask("/registry/instances");
  until([&] { return fresh->has("s-0"); }, "the list at the new address");
}

// --- The front ---
// One arrival of a class at once, against a scripted gatekeeper.
class FrontTest : public StandIns {
 protected:
  void open(float leaves = 0, unsigned retries = 0) {
    scenario.clients.retries = retries;
    scenario.clients.backoffMs = 1;
    scenario.gatekeepers.count = 1;
    plan.customers[0].first = 0;
    plan.customers[0].spread = 1;
    plan.arrivals.assign(1, Arrival{0, 0, 0, 0, 5, leaves});
    front.emplace(world, std::vector<tcp::endpoint>{gate.address()});
    bool ready = false;
    front->watch(0, [&] { ready = true; });
    until([&] { return gate.count("/health/ready") > 0; }, "the question for readiness");
    gate.peers.back()->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    until([&] { return ready; }, "readiness");
    world.startClock();
    front->start();
    front->whenDone([&] { done = true; });
  }
  PeerPtr asked(std::size_t n = 1) {
    until([&] { return gate.count("Req-Id: ") == n; }, "the request");
    for (const auto& peer : gate.peers)
      if (peer->has("Req-Id: ")) last = peer;
    return last;
  }
  std::string idOf(const PeerPtr& peer) const {
    return peer->got.substr(peer->got.rfind("Req-Id: ") + 8, 16);
  }
  void serve(const PeerPtr& peer) { peer->send(test::reply("200 OK", bodyFor(idOf(peer)))); }

  test::Listener gate{io};
  std::optional<Front> front;
  PeerPtr last;
  bool done = false;
};

TEST_F(FrontTest, AsksAsTheProtocolSaysAndKnowsItsAnswer) {
  open();
  const auto peer = asked();
  for (const char* part : {"GET /look?client=", "X-Tier: small\r\n",
                           "Req-Deadline-Ms: ", "X-Call-Terms: units=1,spread=1,first=0\r\n"})
    EXPECT_TRUE(peer->has(part)) << part << peer->got;
  serve(peer);
  until([&] { return done; }, "the end");
  EXPECT_TRUE(lastOf(Kind::answer).good);
  EXPECT_EQ(lastOf(Kind::answer).part, 200);
}

TEST_F(FrontTest, AnotherBodyIsNotTheAnswer) {
  open();
  asked()->send(test::reply("200 OK", "done 0000000000000000\n"));
  until([&] { return done; }, "the end");
  EXPECT_FALSE(lastOf(Kind::answer).good);
}

TEST_F(FrontTest, SeesWhatComesBehindAnAnswer) {
  open();
  const auto peer = asked();
  const std::string answer = test::reply("200 OK", bodyFor(idOf(peer)));
  peer->send(answer);
  until([&] { return done; }, "the end");
  peer->send(answer);
  until([&] { return count(Kind::noise) == 1; }, "the noise");
}

TEST_F(FrontTest, SeesAConnectionThatEndsInTheMiddleOfAnAnswer) {
  open();
  const auto peer = asked();
  peer->send("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
  until([&] { return count(Kind::ask) == 1; }, "sent");
  peer->end();
  until([&] { return done; }, "the end");
  EXPECT_EQ(count(Kind::lost), 1u);
  EXPECT_FALSE(lastOf(Kind::lost).good);
}

TEST_F(FrontTest, ARefusalIsTriedAgainUnderANewIdAndAFailureOfASafeOneOnlyIfAllowed) {
  open(0, 1);
  const auto peer = asked();
  const std::string first = idOf(peer);
  peer->send(test::reply("429 Too Many Requests", "", "Retry-After: 0.01\r\n"));
  asked(2);
  EXPECT_NE(idOf(last), first);
  serve(last);
  until([&] { return done; }, "the end");
  EXPECT_EQ(lastOf(Kind::answer).part, 200);
  EXPECT_EQ(count(Kind::want), 1u) << "both belong to one arrival";
}

TEST_F(FrontTest, AnArrivalDoesNotWaitForTheAnswerToTheOneBefore) {
  open();
  asked();
  plan.arrivals.assign(3, plan.arrivals[0]);
  front->start();  // two more are due
  asked(3);
  EXPECT_EQ(count(Kind::answer), 0u);
  EXPECT_EQ(front->open(), 3u);
}

TEST_F(FrontTest, WhoHonoursRetryAfterComesNoSooner) {
  scenario.clients.honourShare = 1;
  open(0, 1);
  asked()->send(test::reply("429 Too Many Requests", "", "Retry-After: 0.3\r\n"));
  asked(2);
  const double answered = lastOf(Kind::answer).at, again = lastOf(Kind::ask).at;
  EXPECT_GE(again - answered, 299);
}

TEST_F(FrontTest, AGatekeeperThatWasDownIsAskedAgainUntilItIsReady) {
  open();
  serve(asked());
  until([&] { return done; }, "the end");
  bool back = false;
  front->watch(0, [&] { back = true; });
  const auto health = gate.count("/health/ready");
  until([&] { return gate.count("/health/ready") > health; }, "the question");
  gate.peers.back()->send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  until([&] { return gate.count("/health/ready") > health + 1; }, "the question again");
  EXPECT_FALSE(back);
  gate.peers.back()->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  until([&] { return back; }, "readiness");
}

TEST_F(FrontTest, AClientLeavesWhenItHasHadEnough) {
  open(20);
  const auto peer = asked();
  until([&] { return peer->ended; }, "it has gone");
  until([&] { return done; }, "the end");
  EXPECT_EQ(count(Kind::left), 1u);
  EXPECT_EQ(count(Kind::overdue), 0u);
}

TEST_F(FrontTest, AGatekeeperThatNobodyListensAtIsNotTaken) {
  open();
  serve(asked());
  until([&] { return done; }, "the end");
  EXPECT_EQ(count(Kind::untaken), 0u);
  Front other(world, {endpointOf(nobody())});
  bool over = false;
  other.start();
  other.whenDone([&] { over = true; });
  until([&] { return over; }, "given up");
  EXPECT_GE(count(Kind::untaken), 1u);
}

// --- Checker ---
class CheckerTest : public StandIns {
 protected:
  CheckerTest()
      : StandIns(kScenario +
                 "[checkers]\ncount = 1\ndelay_ms = 0.01\nmax_age_s = 30\n"
                 "[[fault]]\nkind = 'checker_flips'\nstart_s = 1800\nlength_s = 600\nsize = 1\n"
                 "[[fault]]\nkind = 'checker_slow'\nstart_s = 2700\nlength_s = 600\ntargets = [0]\nsize = "
                 "60000\n") {
    checker.listen();
  }
  static std::string question(const std::string& credentials) {
    return "GET /check HTTP/1.1\r\nHost: c\r\n" + credentials + "\r\n";
  }
  std::string good() const { return "Authorization: " + tokenOf(plan.customers[0]) + "\r\n"; }
  // As if the run had begun so much earlier.
  void passed(double ms) { world.begin -= World::span(ms); }
  CheckerStandIn checker{world, 0};
};

TEST_F(CheckerTest, AllowsACustomersTokenAndSaysWhoItIs) {
  const auto peer = dial(endpointOf(checker.address()));
  peer->send(question(good()));
  until([&] { return peer->has("\r\n\r\n"); }, "the answer");
  EXPECT_TRUE(peer->has("HTTP/1.1 204"));
  EXPECT_TRUE(peer->has("X-Checked-Customer: " + hex16(plan.customers[0].id) + "\r\n"));
  EXPECT_TRUE(peer->has("Cache-Control: max-age=30\r\n"));
  EXPECT_TRUE(lastOf(Kind::check).good);
}

TEST_F(CheckerTest, DeniesAllElseAndKeepsItsConnection) {
  const auto peer = dial(endpointOf(checker.address()));
  std::size_t asked = 0;
  for (const std::uint64_t number : {0u, 1u, 2u, 3u}) {
    peer->send(question(badCredentials(number)));
    ++asked;
    until([&] { return peer->count("HTTP/1.1 401 Unauthorized") == asked; }, "a denial");
  }
  EXPECT_EQ(peer->count("WWW-Authenticate: Bearer"), asked);
  EXPECT_EQ(count(Kind::check), asked);
  EXPECT_FALSE(peer->ended);
}

TEST_F(CheckerTest, AFlipDeniesWhatWasGood) {
  passed(1900 * 1000);
  const auto peer = dial(endpointOf(checker.address()));
  peer->send(question(good()));
  until([&] { return peer->has("HTTP/1.1 401"); }, "the denial");
}

TEST_F(CheckerTest, SlowItKeepsQuestionsOut) {
  passed(2800 * 1000);
  const auto first = dial(endpointOf(checker.address())), second = dial(endpointOf(checker.address()));
  first->send(question(good()));
  second->send(question(good()));
  checker.setDown(true);
  until([&] { return first->ended && second->ended; }, "both end");
  EXPECT_TRUE(first->got.empty());
  EXPECT_EQ(count(Kind::check), 0u);
}

TEST_F(CheckerTest, DownItRefusesAndComesBackAtItsAddress) {
  const auto before = checker.address();
  checker.setDown(true);
  EXPECT_THROW(dial(endpointOf(before)), boost::system::system_error);
  checker.setDown(false);
  EXPECT_EQ(checker.address(), before);
  const auto peer = dial(endpointOf(before));
  peer->send(question(good()));
  until([&] { return peer->has("HTTP/1.1 204"); }, "the answer");
}

}  // namespace
}  // namespace burlwind::rehearsal
