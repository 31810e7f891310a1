// Clients that send what they should not, or nothing: each gets an error or an end soon, and nobody else a
// loss.
#include "support/sides.hpp"

namespace burlwind::test {
namespace {

using namespace std::chrono_literals;

class BadClients : public Clients {
 protected:
  // Turned away by the head alone: the body that it announces never comes.
  void isRejected(const std::string& text, const std::string& status) {
    const auto client = dial(server->address());
    client->send(text);
    until([&] { return client->ended; }, "the connection ends");
    EXPECT_EQ(client->got.substr(0, 12), "HTTP/1.1 " + status) << text.substr(0, 400);
    EXPECT_EQ(client->count("HTTP/1.1"), 1u) << text.substr(0, 400);
    EXPECT_EQ(holder.last, 0u) << text.substr(0, 400);
  }
  // A request of a class with a body, with these lines in the place of its length.
  static std::string posted(const std::string& lines, const std::string& body = "") {
    Ask what;
    what.klass = "order";
    std::string text = what.text();
    const std::string length = "Content-Length: 0\r\n";
    text.replace(text.find(length), length.size(), lines);
    return text + body;
  }
};

TEST_F(BadClients, ALengthToldInTwoWaysOrOddlyIsRejectedOnTheHead) {
  open({});
  const std::string hidden = "0\r\n\r\nGET /look HTTP/1.1\r\n\r\n";
  for (const char* lines : {
           "Content-Length: 44\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: chunked\r\nContent-Length: 44\r\n",
           "Transfer-Encoding: gzip, chunked\r\n",
           "Transfer-Encoding: gzip\r\n",
           "Transfer-Encoding: chunked, chunked\r\n",
           "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: gzip\r\nContent-Length: 44\r\n",
           "Content-Length: 44\r\nContent-Length: 44\r\n",
           "Content-Length: 44, 44\r\n",
           "Content-Length: -1\r\n",
           "Content-Length: +44\r\n",
           "Content-Length: 4x\r\n",
           "Content-Length: 18446744073709551620\r\n",
       })
    isRejected(posted(lines, hidden), "400");
}

TEST_F(BadClients, AHugeBodyIsRejectedOnTheHead) {
  open({});
  isRejected(posted("Content-Length: 60000000\r\n", std::string(5000, 'x')), "413");
  isRejected(posted("Transfer-Encoding: chunked\r\n", "3938700\r\n" + std::string(5000, 'x')), "413");
}

TEST_F(BadClients, FiguresAndNamesThatAreOddAreRejectedAndTheConnectionEnds) {
  open({});
  const auto with = [&](const std::function<void(Ask&)>& change, const std::string& status = "400") {
    Ask what;
    change(what);
    isRejected(what.text(), status);
  };
  for (const char* id :
       {"", "12", "00000000000000g1", "00000000000000a1f", " 0x0000000000a1", "-00000000000000a"})
    with([&](Ask& a) { a.id = id; });
  for (const char* terms :
       {"units=1x,spread=2,first=1", "units=inf,spread=2,first=1", "units=-1,spread=2,first=1",
        "units=1e999,spread=2,first=1", "units=3,spread=2,first=1", "units=1,spread=2.5,first=1",
        "units=1,spread=0,first=1", "units=1,spread=2,first=2", "units=1,spread=2,first=-1",
        "units=1,units=1,spread=2,first=1", "units=1,spread=2,spread=2,first=1",
        "units=1,spread=2,first=1,first=0"})
    with([&](Ask& a) { a.terms = terms; });
  for (const char* deadline : {"60000ms", "1e3", "-1", "nan", "", "99999999999999999999"})
    with([&](Ask& a) { a.deadline = deadline; });
  for (const char* line : {"Req-Id: 00000000000000a2\r\n", "X-Tier: small\r\n", "Req-Deadline-Ms: 5\r\n",
                           "X-Call-Terms: units=1,spread=2,first=1\r\n", "Host: other\r\n"})
    with([&](Ask& a) { a.extra = line; });
  with([](Ask& a) { a.query += "&client=0000000000000001"; });
  with([](Ask& a) { a.extra = "Content-Length: 5\r\n"; });  // a body where the class has none
  with([](Ask& a) { a.klass = "order", a.extra = "Idempotency-Key: 1\r\n"; });
}

// The id tells the workers, and those who count, which request is meant.
TEST_F(BadClients, TheIdOfARequestThatIsOpenIsRejected) {
  open({});
  const auto first = dial(server->address());
  first->send(Ask().text());
  until([&] { return holder.last == 1; }, "a held request");
  const auto second = dial(server->address());
  second->send(Ask().text());
  until([&] { return second->ended; }, "the second connection ends");
  EXPECT_TRUE(second->has("HTTP/1.1 409")) << second->got;
  EXPECT_EQ(holder.last, 1u);
  EXPECT_FALSE(first->ended);
}

TEST_F(BadClients, ASilentConnectionEnds) {
  ClientServer::Limits limits;
  limits.wholeWithin = 50ms;
  open(limits);
  const auto client = dial(server->address());
  until([&] { return client->ended; }, "the connection ends");
  EXPECT_EQ(client->got, "");
  EXPECT_EQ(server->connections(), 0u);
}

// The time for the first request runs from the connection's begin: one byte does not win more.
TEST_F(BadClients, AByteDoesNotExtendTheTime) {
  ClientServer::Limits limits;
  limits.wholeWithin = 1000ms;
  open(limits);
  const auto begin = std::chrono::steady_clock::now();
  const auto client = dial(server->address());
  until([&] { return std::chrono::steady_clock::now() > begin + 100ms; }, "some of the time is over");
  client->send("G");
  until([&] { return client->has("HTTP/1.1 408"); }, "an error");
  until([&] { return client->ended; }, "the connection ends");
  EXPECT_LT(std::chrono::steady_clock::now() - begin, 10s);
}

TEST_F(BadClients, WhoGoesOnSendingAfterARejectionIsCutOff) {
  ClientServer::Limits limits;
  limits.lingerFor = 100ms;
  open(limits);
  const auto client = dial(server->address());
  client->send("what is this\r\n\r\n");
  until([&] { return client->has("HTTP/1.1 400"); }, "an error");
  until(
      [&] {
        client->send(std::string(4096, 'x'));
        io.poll();
        return server->connections() == 0;
      },
      "the connection ends");
}

TEST_F(BadClients, AtTheLimitAHalfSentRequestMakesRoomBeforeAnIdleConnection) {
  ClientServer::Limits limits;
  limits.connections = 2;
  open(limits);
  const auto usual = dial(server->address());
  const std::string question = "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n";
  usual->send(question);
  until([&] { return usual->has("ready"); }, "an answer");
  const auto half = dial(server->address());
  half->send(Ask().text().substr(0, 40));
  io.poll();
  const auto next = dial(server->address());
  next->send(question);
  until([&] { return next->has("ready"); }, "the third is served");
  until([&] { return half->ended; }, "the half-sent one ends");
  EXPECT_FALSE(usual->ended);
}

// Its time counts from its last byte, also while it waits behind another.
TEST_F(BadClients, ARequestSentAheadLosesTheTimeThatItWaits) {
  open({});
  const auto client = dial(server->address());
  Ask second;
  second.id = "00000000000000a2";
  client->send(Ask().text() + second.text());
  until([&] { return holder.last == 1; }, "the first request");
  EXPECT_GT(holder.call.patience, 59000);
  const auto begin = std::chrono::steady_clock::now();
  until([&] { return std::chrono::steady_clock::now() > begin + 100ms; }, "some time");
  holder.asker->answer({});
  until([&] { return holder.last == 2; }, "the second request");
  EXPECT_LE(holder.call.patience, 59900);
  EXPECT_EQ(holder.call.id, 0xa2u);
}

TEST_F(BadClients, WhatIsHeldStaysWithinTheBudgetAndIsGivenBack) {
  open({});
  std::vector<PeerPtr> clients;
  const std::string text = posted("Content-Length: 60000\r\n", "half");
  std::size_t most = 0, refused = 0;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(dial(server->address()));
    clients.back()->send(text);
  }
  until(
      [&] {
        most = std::max(most, budget.held());
        refused = 0;
        for (const auto& client : clients) refused += client->has("HTTP/1.1 503");
        return refused >= 20;
      },
      "refusals");
  EXPECT_LE(most, std::size_t{1} << 20);
  EXPECT_LT(refused, 40u);
  for (const auto& client : clients) client->end();
  until([&] { return server->connections() == 0; }, "all have gone");
  EXPECT_EQ(budget.held(), 0u);
  EXPECT_EQ(holder.last, 0u);
}

}  // namespace
}  // namespace burlwind::test
