// Checks before orders, on loopback: scripted checkers that hang, end, talk nonsense and change their mind.
#include "auth/asking.hpp"

#include <sys/resource.h>

#include "support/loopback.hpp"

namespace burlwind::test {
namespace {

using namespace std::chrono_literals;

class Checks : public Loopback {
 protected:
  void SetUp() override {
    settings.auth.checkers = {checker.address()};
    settings.auth.terms.path = "/check";
    settings.auth.terms.take = {"X-User"};
    settings.auth.settings.outPerChecker = 64;
  }
  void open(unsigned sockets = 256) {
    json config = configJson(discovery.text(), json::array({entry("s-1", worker.text())}));
    config["limits"]["sockets"] = sockets;
    node.emplace(io, parseConfig(config.dump()), settings);
    node->start();
  }
  static Ask asking(const std::string& token, unsigned number = 1) {
    Ask out;
    char id[17];
    std::snprintf(id, sizeof id, "%016x", number);
    out.id = id;
    out.extra = "Authorization: Bearer " + token + "\r\n";
    return out;
  }
  PeerPtr ask(const std::string& token, unsigned number = 1) {
    const auto client = dial(node->address());
    client->send(asking(token, number).text());
    return client;
  }
  void untilChecks(std::size_t n) {
    until([&] { return checker.count("GET /check") == n; }, "a check");
  }
  void untilOrders(std::size_t n) {
    until([&] { return worker.count("\r\n\r\n") == n; }, "a request at the worker");
  }
  // By the checker's connection that holds the last check.
  void say(const std::string& text) { lastOf(checker)->send(text); }
  void serve(const std::string& body) { lastOf(worker)->send(reply("200 OK", body)); }
  static PeerPtr lastOf(Listener& listener) { return listener.peers.back(); }
  // Nothing has come to the worker, also after what is under way.
  void nothingAtTheWorker() {
    io.restart();
    io.poll();
    EXPECT_EQ(worker.count("\r\n\r\n"), 0u);
  }

  Listener discovery{io}, worker{io}, checker{io};
  OperatorSettings settings;
  std::optional<Gatekeeper> node;
};

TEST_F(Checks, AnAllowedRequestGoesOnWithWhatTheCheckerSaid) {
  open();
  const auto client = dial(node->address());
  Ask forged = asking("good");
  forged.extra += "X-User: root\r\n";
  client->send(forged.text());
  untilChecks(1);
  EXPECT_TRUE(checker.peers[0]->has("Authorization: Bearer good"));
  EXPECT_TRUE(checker.peers[0]->has("X-Original-URI: /look?client="));
  EXPECT_FALSE(checker.peers[0]->has("X-User")) << "not even the checker sees what is forged";
  nothingAtTheWorker();
  say(reply("204 No Content", "", "X-User: ana\r\n"));
  untilOrders(1);
  EXPECT_TRUE(lastOf(worker)->has("X-User: ana\r\n"));
  EXPECT_EQ(worker.count("X-User"), 1u);
  serve("served");
  until([&] { return client->has("served"); }, "the answer");
}

TEST_F(Checks, ADenialIsFinalAndNothingReachesAWorker) {
  open();
  const auto client = ask("bad");
  untilChecks(1);
  say(reply("401 Unauthorized", "no", "WWW-Authenticate: Bearer realm=\"pedidos\"\r\n"));
  until([&] { return client->has("HTTP/1.1 401"); }, "the denial");
  EXPECT_TRUE(client->has("WWW-Authenticate: Bearer realm=\"pedidos\"\r\n"));
  EXPECT_FALSE(client->has("Retry-After"));
  nothingAtTheWorker();
}

// A plan with one unit for each thousand seconds: the denied ones have not taken it.
TEST_F(Checks, ADeniedRequestTakesNoUnits) {
  open();
  for (unsigned i = 1; i <= 20; ++i) {
    const auto client = dial(node->address());
    Ask one = asking("bad" + std::to_string(i), i);
    one.plan = "small";
    one.terms = "units=1,spread=1,first=0";
    client->send(one.text());
    untilChecks(i);
    say(reply("403 Forbidden", ""));
    until([&] { return client->has("HTTP/1.1 403"); }, "the denial");
  }
  const auto client = dial(node->address());
  Ask good = asking("good", 99);
  good.plan = "small";
  good.terms = "units=1,spread=1,first=0";
  client->send(good.text());
  untilChecks(21);
  say(reply("200 OK", ""));
  untilOrders(1);
  Ask next = good;  // the unit is gone now
  next.id = "00000000000000ff";
  const auto late = dial(node->address());
  late->send(next.text());
  untilChecks(22);
  say(reply("200 OK", ""));
  until([&] { return late->has("HTTP/1.1 429"); }, "the refusal");
}

// The checker hangs while an order that must not run twice waits.
TEST_F(Checks, AHangingCheckerCostsAnOrderAtMostItsDeadline) {
  settings.auth.settings.timeout = 60000;
  open();
  Ask order = asking("good");
  order.klass = "order";
  order.deadline = "150";
  const auto client = dial(node->address());
  client->send(order.text());
  untilChecks(1);
  until([&] { return client->has("HTTP/1.1 503"); }, "the answer");
  EXPECT_TRUE(client->has("Retry-After: 1"));
  say(reply("200 OK", ""));
  until([&] { return node->held() == 0; }, "nothing held");
  nothingAtTheWorker();
  EXPECT_EQ(client->count("HTTP/1.1"), 1u);
}

TEST_F(Checks, OneThatDoesNotAnswerInTimeIsGivenUpAndTheRouteDecides) {
  settings.auth.settings.timeout = 50;
  settings.auth.settings.attempts = 1;
  settings.auth.routes = {{{"order"}, {}, true, auth::WhenDown::closed},
                          {{}, {}, true, auth::WhenDown::open}};
  open();
  const auto look = ask("good", 1);
  untilOrders(1);
  serve("open");
  until([&] { return look->has("open"); }, "the answer of the open route");
  Ask order = asking("good", 2);
  order.klass = "order";
  const auto client = dial(node->address());
  client->send(order.text());
  until([&] { return client->has("HTTP/1.1 503"); }, "the refusal of the closed one");
  EXPECT_EQ(worker.count("\r\n\r\n"), 1u);
}

TEST_F(Checks, ALateAnswerOfTheCheckerFindsNothing) {
  open();
  auto client = ask("good");
  untilChecks(1);
  client->end();
  until([&] { return node->held() == 0; }, "the client has left");
  say(reply("200 OK", ""));
  nothingAtTheWorker();
}

TEST_F(Checks, TwoAnswersAreOneAndEndTheConnection) {
  open();
  const auto client = ask("bad");
  untilChecks(1);
  say(reply("403 Forbidden", "") + reply("200 OK", ""));
  until([&] { return client->has("HTTP/1.1 403"); }, "the denial");
  until([&] { return checker.peers[0]->ended; }, "what comes unasked ends the connection");
  nothingAtTheWorker();
}

TEST_F(Checks, WhatCannotBeReadIsTheCheckersFailure) {
  settings.auth.settings.attempts = 1;
  settings.auth.settings.ejectAfter = 1000;
  open();
  const std::string big = "Content-Length: 3000000000\r\n\r\n";
  const std::vector<std::string> answers{
      "noise\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + big,
      "HTTP/1.1 200 OK\r\nX-Long: " + std::string(20000, 'x'),
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-User: a\nX-Admin: 1\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
      reply("500 Internal Server Error", ""),
      reply("302 Found", "", "Location: /login\r\n"),
  };
  unsigned number = 0;
  for (const std::string& answer : answers) {
    const auto client = ask("good", ++number);
    untilChecks(number);
    say(answer);
    until([&] { return client->has("HTTP/1.1 503"); }, answer.substr(0, 40).c_str());
  }
  nothingAtTheWorker();
}

TEST_F(Checks, InterimAnswersAndSinglesBytesAreRead) {
  open();
  const auto client = ask("good");
  untilChecks(1);
  const std::string all = "HTTP/1.1 100 Continue\r\n\r\n" + reply("200 OK", "", "X-User: ana\r\n");
  for (const char byte : all) {
    say(std::string(1, byte));
    io.restart();
    io.poll();
  }
  untilOrders(1);
}

TEST_F(Checks, AKeptConnectionThatHasEndedIsReplacedOnce) {
  open();
  const auto first = ask("a", 1);
  untilChecks(1);
  say(reply("200 OK", ""));
  untilOrders(1);
  checker.peers[0]->end();  // the end and the next check cross
  const auto second = ask("b", 2);
  untilChecks(1 + 1);
  EXPECT_EQ(checker.peers.size(), 2u);
  say(reply("200 OK", ""));
  untilOrders(2);
}

TEST_F(Checks, OneConnectionCarriesChecksInTurn) {
  open();
  for (unsigned i = 1; i <= 5; ++i) {
    const auto client = ask("t" + std::to_string(i), i);
    untilChecks(i);
    say(reply("403 Forbidden", ""));
    until([&] { return client->has("HTTP/1.1 403"); }, "the denial");
  }
  EXPECT_EQ(checker.peers.size(), 1u);
}

TEST_F(Checks, ManyWithOneNewTokenAreOneCheckAndADisconnectSparesTheOthers) {
  open();
  std::vector<PeerPtr> clients;
  for (unsigned i = 1; i <= 40; ++i) clients.push_back(ask("new", i));
  until([&] { return node->held() == 40; }, "all are held");
  clients[0]->end();
  until([&] { return node->held() == 39; }, "one has left");
  say(reply("403 Forbidden", ""));
  until(
      [&] { return std::all_of(clients.begin() + 1, clients.end(), [](auto& c) { return c->has("403"); }); },
      "all are told");
  EXPECT_EQ(checker.count("GET /check"), 1u);
}

// A thousand, or as many as this process may have descriptors for both ends of.
TEST_F(Checks, AThousandWithOneNewTokenAtOnceAreOneCheck) {
  constexpr unsigned kWanted = 1000, kOwn = 100;
  rlimit limit{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
  const rlimit before = limit;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 2 * kWanted + kOwn);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
  const auto many = static_cast<unsigned>(std::min<rlim_t>(kWanted, (limit.rlim_cur - kOwn) / 2));
  settings.auth.settings.waitersPerCheck = many;
  settings.auth.settings.timeout = 60000;  // the checker says nothing until all have come
  open(4 * kWanted);
  std::vector<PeerPtr> clients;
  for (unsigned i = 1; i <= many; ++i) {
    clients.push_back(ask("new", i));
    io.restart();
    io.poll();
  }
  until([&] { return node->held() == many; }, "all are held");
  EXPECT_EQ(checker.count("GET /check"), 1u);
  say(reply("403 Forbidden", ""));
  until(
      [&] {
        return std::all_of(clients.begin(), clients.end(), [](auto& c) { return c->count("HTTP/1.1") == 1; });
      },
      "each has one answer");
  EXPECT_TRUE(std::all_of(clients.begin(), clients.end(), [](auto& c) { return c->has("HTTP/1.1 403"); }));
  EXPECT_EQ(checker.count("GET /check"), 1u);
  nothingAtTheWorker();
  clients.clear();
  node.reset();
  setrlimit(RLIMIT_NOFILE, &before);
}

TEST_F(Checks, AFlipWhileARequestIsInFlightCountsForWhatIsDecidedLater) {
  open();
  const auto first = ask("a", 1);
  untilChecks(1);
  say(reply("200 OK", ""));
  untilOrders(1);
  const auto second = ask("a", 2);
  untilChecks(2);
  say(reply("403 Forbidden", ""));
  until([&] { return second->has("HTTP/1.1 403"); }, "the denial");
  serve("served");
  until([&] { return first->has("served"); }, "the answer of what was under way");
  EXPECT_EQ(worker.count("\r\n\r\n"), 1u);
}

TEST_F(Checks, AHugeTokenIsAskedOneThatIsNoneIsTurnedAway) {
  open();
  const auto huge = ask(std::string(12000, 'x'), 1);
  untilChecks(1);
  say(reply("401 Unauthorized", ""));
  until([&] { return huge->has("HTTP/1.1 401"); }, "the denial");
  const auto larger = ask(std::string(20000, 'x'), 2);
  until([&] { return larger->has("HTTP/1.1 431"); }, "the rejection by its size");
  const auto control = ask("good\x01\x02", 3);
  until([&] { return control->has("HTTP/1.1 400"); }, "the rejection of control characters");
  EXPECT_EQ(checker.count("GET /check"), 1u);
  nothingAtTheWorker();
}

TEST_F(Checks, AVerdictAfterTheDrainHasBegunStillCounts) {
  open();
  const auto client = ask("a");
  untilChecks(1);
  bool done = false;
  node->drain([&] { done = true; });
  say(reply("200 OK", ""));
  untilOrders(1);
  serve("served");
  until([&] { return client->has("served") && done; }, "its answer, then the end");
}

TEST_F(Checks, AVerdictIsRememberedAsItSaysAndAFlipCountsFromThenOn) {
  open();
  ask("a", 1);
  untilChecks(1);
  say(reply("200 OK", "", "Cache-Control: max-age=3600\r\n"));
  untilOrders(1);
  ask("a", 2);
  untilOrders(2);
  EXPECT_EQ(checker.count("GET /check"), 1u);
  node->reload(parseConfig(configJson(discovery.text()).dump()), settings);  // forgets
  const auto client = ask("a", 3);
  untilChecks(2);
  say(reply("403 Forbidden", ""));
  until([&] { return client->has("403"); }, "the denial");
  EXPECT_EQ(worker.count("\r\n\r\n"), 2u);
}

TEST_F(Checks, AReloadAsksTheNewCheckerWhatWaitsAtTheOld) {
  open();
  const auto client = ask("a");
  untilChecks(1);
  Listener other{io};
  settings.auth.checkers = {other.address()};
  node->reload(parseConfig(configJson(discovery.text()).dump()), settings);
  until([&] { return other.count("GET /check") == 1; }, "the check at the new one");
  say(reply("403 Forbidden", ""));  // the old one's word counts no more
  other.peers.back()->send(reply("200 OK", ""));
  untilOrders(1);
  settings.auth.checkers.clear();
  node->reload(parseConfig(configJson(discovery.text()).dump()), settings);
  ask("b", 2);
  untilOrders(2);
}

TEST_F(Checks, AReloadToARouteOfNoClassChangesNothing) {
  open();
  auto wrong = settings;
  wrong.auth.routes = {{{"dance"}, {}, true, auth::WhenDown::open}};
  EXPECT_THROW(node->reload(parseConfig(configJson(discovery.text()).dump()), wrong), std::runtime_error);
  ask("a");
  untilChecks(1);
}

TEST_F(Checks, ADrainAnswersWhatStillWaitsForAVerdict) {
  settings.auth.settings.timeout = 60000;
  open();
  const auto client = ask("a");
  untilChecks(1);
  bool done = false;
  node->drain([&] { done = true; });
  until([&] { return client->has("HTTP/1.1 503") && client->ended; }, "its answer");
  until([&] { return done; }, "the drain's end");
  nothingAtTheWorker();
}

TEST_F(Checks, ARouteWithoutACheckIsNotCheckedButStrippedAllTheSame) {
  settings.auth.routes = {{{"look"}, {}, false, auth::WhenDown::closed}};
  open();
  const auto client = dial(node->address());
  Ask forged = asking("none");
  forged.extra += "X-User: root\r\n";
  client->send(forged.text());
  untilOrders(1);
  EXPECT_EQ(worker.count("X-User"), 0u);
  EXPECT_EQ(checker.peers.size(), 0u);
}

// What a checker sees that has come back: one check, then as many more as it has answered.
TEST_F(Checks, OneThatComesBackSeesNoStampede) {
  settings.auth.settings.attempts = 1;
  settings.auth.settings.ejectAfter = 1;
  settings.auth.settings.ejectFor = settings.auth.settings.ejectMost = 20;
  open();
  const auto first = ask("first");
  untilChecks(1);
  checker.peers[0]->end();
  until([&] { return first->has("HTTP/1.1 503"); }, "the refusal");
  PeerPtr back;
  unsigned number = 1;
  until(
      [&] {  // asked again each time that it was refused, until the checker is back
        if (back && !back->has("HTTP/1.1 503")) return checker.count("GET /check") == 2;
        ++number;
        back = ask("back" + std::to_string(number), number);
        return false;
      },
      "it is asked again");
  std::vector<PeerPtr> clients;
  const std::size_t before = node->held();
  for (unsigned i = 0; i < 40; ++i) clients.push_back(ask("more" + std::to_string(i), 1000 + i));
  until([&] { return node->held() == before + 40; }, "all wait");
  EXPECT_EQ(checker.count("GET /check"), 2u);
  say(reply("403 Forbidden", ""));
  untilChecks(4);
  io.restart();
  io.poll();
  EXPECT_EQ(checker.count("GET /check"), 4u) << "two at once after one answer";
}

// Envoy's status_on_error; what is beyond the bound of the queue is a refusal all the same.
TEST_F(Checks, WithoutACheckerTheClientIsToldTheStatusThatIsSet) {
  settings.auth.errorStatus = 403;
  settings.auth.settings.attempts = 1;
  settings.auth.settings.ejectAfter = 1000;
  settings.auth.settings.outPerChecker = 1;
  settings.auth.settings.queue = 0;
  open();
  const auto out = ask("a", 1);
  untilChecks(1);
  const auto beyond = ask("b", 2);
  until([&] { return beyond->has("HTTP/1.1 503") && beyond->has("Retry-After: 1"); }, "the refusal");
  say(reply("500 Internal Server Error", ""));
  until([&] { return out->has("HTTP/1.1 403"); }, "the status that is set");
  nothingAtTheWorker();
}

// Down at the start, refused connections: told at once, and the checker is left alone meanwhile.
TEST_F(Checks, OneThatIsNotThereIsAskedSeldom) {
  std::optional<Listener> gone(std::in_place, io);
  settings.auth.checkers = {gone->address()};
  gone.reset();
  settings.auth.settings.ejectFor = settings.auth.settings.ejectMost = 3600e3;
  open();
  for (unsigned i = 1; i <= 50; ++i) {
    const auto client = ask("t" + std::to_string(i), i);
    until([&] { return client->has("HTTP/1.1 503"); }, "a refusal");
  }
  EXPECT_LE(node->checks().started, 6u);
  nothingAtTheWorker();
}

}  // namespace
}  // namespace burlwind::test
