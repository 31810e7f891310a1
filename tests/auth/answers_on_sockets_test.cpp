// burlwind as the checker of a proxy elsewhere, on loopback: the proxy is scripted.
#include "support/loopback.hpp"

namespace burlwind::test {
namespace {

class Proxied : public Loopback {
 protected:
  void SetUp() override {
    settings.answer.path = "/auth";
    settings.answer.convention = auth::Convention::traefik;
    settings.answer.proxies = {boost::asio::ip::make_network_v6("::ffff:127.0.0.0/104")};
    settings.answer.gatekeepers = 1;
  }
  void open(const json& known = json::array()) {
    node.emplace(io, parseConfig(configJson(discovery.text(), known).dump()), settings);
    node->start();
  }
  static std::string question(const std::string& id, const std::string& plan = "large",
                              const std::string& extra = "",
                              const std::string& customer = "00000000b4d65521") {
    return "GET /auth/ HTTP/1.1\r\nHost: gate\r\nX-Forwarded-Uri: /look?client=1\r\nX-Customer: " + customer +
           "\r\nX-Tier: " + plan + "\r\nX-Request-Id: " + id + "\r\n" + extra + "\r\n";
  }
  // One answer to one question, each on the same connection.
  std::string told(const std::string& text) {
    if (!proxy) proxy = dial(node->address());
    const std::size_t before = proxy->got.size();
    proxy->send(text);
    until([&] { return whole(proxy->got.substr(before)); }, "an answer");
    return proxy->got.substr(before, proxy->got.find("\r\n", before) - before);
  }
  static bool whole(const std::string& answer) {
    const auto end = answer.find("\r\n\r\n"), length = answer.find("Content-Length: ");
    return end != std::string::npos && length < end &&
           answer.size() >= end + 4 + std::stoul(answer.substr(length + 16));
  }

  Listener discovery{io}, worker{io};
  OperatorSettings settings;
  std::optional<Gatekeeper> node;
  PeerPtr proxy;
};

// The plan has one unit.
TEST_F(Proxied, UnitsAreTakenOnceForAnIdAndARefusalSaysWhen) {
  open();
  EXPECT_EQ(told(question("a", "small")), "HTTP/1.1 200 OK");
  EXPECT_EQ(told(question("a", "small")), "HTTP/1.1 200 OK") << "the proxy asks twice for one id";
  EXPECT_EQ(node->answers().counts.repeated, 1u);
  EXPECT_EQ(told(question("b", "small")), "HTTP/1.1 429 Too Many Requests");
  EXPECT_TRUE(proxy->has("Retry-After: 1\r\n"));
  EXPECT_EQ(node->held(), 0u);
}

// A proxy's request and one that comes here itself use one quota.
TEST_F(Proxied, TheQuotaIsThatOfTheRequestsThatComeHere) {
  open(json::array({entry("s-1", worker.text())}));
  EXPECT_EQ(told(question("a", "small")), "HTTP/1.1 200 OK");
  Ask own;
  own.plan = "small";
  own.terms = "units=1,spread=1,first=0";
  const auto client = dial(node->address());
  client->send(own.text());
  until([&] { return client->has("HTTP/1.1 429"); }, "the refusal");
  EXPECT_EQ(worker.peers.size(), 0u);
}

TEST_F(Proxied, ItNeedsNoWorkersAndSendsNothingToThem) {
  open();
  for (unsigned i = 0; i < 50; ++i)
    EXPECT_EQ(told(question("r" + std::to_string(i))), "HTTP/1.1 200 OK") << "no worker is listed";
  EXPECT_EQ(node->answers().counts.allowed, 50u);
}

TEST_F(Proxied, WhatCannotBeReadIsRejectedAndTakesNothing) {
  open();
  EXPECT_EQ(told(question("a", "gold")), "HTTP/1.1 400 Bad Request");
  EXPECT_EQ(told(question("b", "small", "X-Units: many\r\n")), "HTTP/1.1 400 Bad Request");
  EXPECT_EQ(told(question("c", "small", "X-Customer: 0000000000000001\r\n")), "HTTP/1.1 400 Bad Request");
  EXPECT_EQ(told(question("d", "small")), "HTTP/1.1 200 OK") << "the unit is still there";
  EXPECT_EQ(node->answers().counts.unusable, 3u);
}

TEST_F(Proxied, OneIdForTwoRequestsIsAConflict) {
  open();
  EXPECT_EQ(told(question("a")), "HTTP/1.1 200 OK");
  EXPECT_EQ(told(question("a", "small")), "HTTP/1.1 409 Conflict");
}

TEST_F(Proxied, AnAddressThatIsNoProxysIsTurnedAway) {
  settings.answer.proxies = {boost::asio::ip::make_network_v6("::ffff:10.0.0.0/104")};
  open();
  EXPECT_EQ(told(question("a", "small")), "HTTP/1.1 403 Forbidden");
  EXPECT_EQ(node->answers().counts.strangers, 1u);
}

TEST_F(Proxied, AProxyThatGivesUpLeavesNothingHeld) {
  open();
  for (int i = 0; i < 20; ++i) {
    const auto gone = dial(node->address());
    gone->send(question("g" + std::to_string(i)));
    gone->end();
  }
  EXPECT_EQ(told(question("a")), "HTTP/1.1 200 OK");
  EXPECT_EQ(node->held(), 0u);
}

// A cap of two: what was let go counts as out for its time, and no longer.
TEST_F(Proxied, WhatWasLetGoCountsAsOutForItsTime) {
  settings.answer.outFor = 60000;
  json config = configJson(discovery.text(), json::array());
  config["settings"]["plans"].push_back({{"name", "capped"}, {"atOnce", 2}, {"overrunCost", 1.0}});
  node.emplace(io, parseConfig(config.dump()), settings);
  node->start();
  EXPECT_EQ(told(question("a", "capped")), "HTTP/1.1 200 OK");
  EXPECT_EQ(told(question("b", "capped")), "HTTP/1.1 200 OK");
  EXPECT_EQ(told(question("c", "capped")), "HTTP/1.1 429 Too Many Requests");
  settings.answer.outMost = 0;
  node->reload(parseConfig(config.dump()), settings);
  EXPECT_EQ(told(question("d", "large", "", "0000000000000007")),
            "HTTP/1.1 200 OK");  // what is let go next ends those before it
  EXPECT_EQ(node->answers().out(), 0u);
  EXPECT_EQ(told(question("e", "capped")), "HTTP/1.1 200 OK");
}

// None of it counts as out: each that is let go is over at once, however many there were.
TEST_F(Proxied, WithNoTimeNothingStaysOut) {
  json config = configJson(discovery.text(), json::array());
  config["settings"]["plans"].push_back({{"name", "capped"}, {"atOnce", 2}, {"overrunCost", 1.0}});
  for (const bool byTime : {true, false}) {
    settings.answer.outFor = byTime ? 0 : 60000;
    settings.answer.outMost = byTime ? 10 : 0;
    proxy.reset();
    node.emplace(io, parseConfig(config.dump()), settings);
    node->start();
    for (int i = 0; i < 20; ++i)
      EXPECT_EQ(told(question("r" + std::to_string(i), "capped")), "HTTP/1.1 200 OK") << i;
    EXPECT_EQ(node->answers().out(), 0u);
  }
}

TEST_F(Proxied, ItsTimeEndsByItself) {
  settings.answer.outFor = 5;
  open();
  EXPECT_EQ(told(question("a")), "HTTP/1.1 200 OK");
  until([&] { return node->answers().out() == 0; }, "it counts as out no longer");
}

TEST_F(Proxied, AReloadSwitchesItOffAndAPathThatIsAClassChangesNothing) {
  open();
  const auto config = parseConfig(configJson(discovery.text(), json::array()).dump());
  auto wrong = settings;
  wrong.answer.path = "/look";
  EXPECT_THROW(node->reload(config, wrong), std::runtime_error);
  EXPECT_EQ(told(question("a")), "HTTP/1.1 200 OK");
  node->reload(config, OperatorSettings{});
  EXPECT_EQ(told(question("b")), "HTTP/1.1 404 Not Found");
}

TEST_F(Proxied, ABodyAndAMessageOfTwoLengthsAreNoQuestion) {
  open();
  EXPECT_EQ(told(question("a", "small", "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n")),
            "HTTP/1.1 400 Bad Request");
}

}  // namespace
}  // namespace burlwind::test
