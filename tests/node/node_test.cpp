// The parts of the program one by one: the clients' side, the workers' side, the configuration.
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>

#include "support/sides.hpp"

namespace burlwind::test {
namespace {

using irisring::Result;
using namespace std::chrono_literals;

// A client that stops in the middle must not hold its connection for ever.
TEST_F(Clients, AHalfSentRequestIsTimedOut) {
  ClientServer::Limits limits;
  limits.wholeWithin = 50ms;
  open(limits);
  const auto client = dial(server->address());
  client->send(Ask().text().substr(0, 40));
  until([&] { return client->ended; }, "the connection ends");
  EXPECT_TRUE(client->has("HTTP/1.1 408")) << client->got;
  EXPECT_EQ(holder.last, 0u);
}

TEST_F(Clients, AtTheLimitTheOldestIdleConnectionMakesRoom) {
  ClientServer::Limits limits;
  limits.connections = 2;
  open(limits);
  const auto first = dial(server->address());
  first->send(Ask().text());
  until([&] { return holder.last == 1; }, "a held request");
  const auto second = dial(server->address());
  const auto third = dial(server->address());
  third->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  until([&] { return third->has("HTTP/1.1 200"); }, "the third is served");
  EXPECT_TRUE(second->ended);
  EXPECT_FALSE(first->ended);
}

// Where every connection holds a request the next waits in the machine's queue, and comes in when one ends.
TEST_F(Clients, AtTheLimitWithNoneIdleTheNextWaits) {
  ClientServer::Limits limits;
  limits.connections = 1;
  open(limits);
  const auto first = dial(server->address());
  first->send(Ask().text());
  until([&] { return holder.last == 1; }, "a held request");
  const auto second = dial(server->address());
  second->send(Ask().text());
  io.restart();
  io.run_for(50ms);
  EXPECT_EQ(holder.last, 1u);
  first->end();
  until([&] { return holder.last == 2; }, "the second request");
  EXPECT_EQ(holder.gone, 1);
}

TEST_F(Clients, OneFinalAnswerOnly) {
  open({});
  const auto client = dial(server->address());
  client->send(Ask().text());
  until([&] { return holder.asker != nullptr; }, "a held request");
  Answer answer;
  answer.body = "only";
  holder.asker->answer(Answer(answer));
  holder.asker->answer(Answer(answer));
  until([&] { return client->has("only"); }, "the answer");
  client->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  until([&] { return client->has("ready"); }, "the next answer");
  EXPECT_EQ(client->count("only"), 1u);
}

TEST_F(Pool, TellsTheReportAndTheMeterOfAnAnswer) {
  open({});
  start(1);
  untilSeen(1);
  worker.peers[0]->send(
      reply("200 OK", "body", "Srv-Load: inflight=7,queue=2,util=0.61\r\nX-RateLimit-Used: 85\r\n"));
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, Result::ok);
  EXPECT_EQ(ends[0].outcome.report, (std::vector<double>{0.61, 2}));
  EXPECT_EQ(ends[0].outcome.usePercent, 85);
  EXPECT_EQ(ends[0].body, "body");
}

TEST_F(Pool, HasNoReportWhereAFigureIsMissingOrMalformed) {
  open({});
  for (const char* load : {"Srv-Load: queue=2\r\n", "Srv-Load: queue=2,util=high\r\n", ""}) {
    ends.clear();
    start(1);
    untilSeen(worker.count("\r\n\r\n") + 1);
    worker.peers[0]->send(reply("200 OK", "", load));
    untilEnds(1);
    EXPECT_TRUE(ends[0].outcome.report.empty()) << load;
    EXPECT_EQ(ends[0].outcome.usePercent, -1);
  }
}

TEST_F(Pool, AnEarlyTimeOutIsToldOnceAndEndsTheConnection) {
  open({});
  start(1, 50ms);
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, Result::timeout);
  until([&] { return worker.peers.size() == 1 && worker.peers[0]->ended; }, "the connection ends");
  EXPECT_EQ(pool->connections(), 0u);
  EXPECT_FALSE(pool->giveUp(1, Result::timeout));
}

TEST_F(Pool, ABrokenAnswerMayHaveRun) {
  open({});
  start(1);
  untilSeen(1);
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  worker.peers[0]->end();
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, Result::reset);
}

TEST_F(Pool, AnUnknownWorkerCannotBeReachedAndIsToldLater) {
  open({});
  pool->retire(1);
  start(1);
  EXPECT_TRUE(ends.empty());
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, Result::connectFailed);
}

// Retired before the worker ends it: a request written to it from then on would be lost.
TEST_F(Pool, AnIdleConnectionIsRetiredInTime) {
  WorkerPool::Limits limits;
  limits.idleFor = 50ms;
  open(limits);
  start(1);
  untilSeen(1);
  worker.peers[0]->send(reply("200 OK", ""));
  untilEnds(1);
  EXPECT_EQ(pool->connections(), 1u);
  until([&] { return worker.peers[0]->ended; }, "the connection ends");
  EXPECT_EQ(pool->connections(), 0u);
}

TEST_F(Pool, ARestartedWorkersConnectionsAreDropped) {
  open({});
  start(1);
  untilSeen(1);
  pool->place(1, {worker.address(), 4e12});  // started after this connection was opened
  EXPECT_TRUE(ends.empty());
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, Result::reset);
  EXPECT_EQ(pool->connections(), 0u);
}

TEST_F(Pool, HoldsNoMoreConnectionsThanItMay) {
  WorkerPool::Limits limits;
  limits.total = 1;
  open(limits);
  start(1);
  start(2);
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.id, 2u);
  EXPECT_EQ(ends[0].outcome.result, Result::moot);  // no fault of the worker's
  Listener second(io);
  pool->place(2, {second.address(), 0});
  untilSeen(1);
  worker.peers[0]->send(reply("200 OK", ""));
  untilEnds(2);
  pool->start(3, 0, 2, {"GET / HTTP/1.1\r\n\r\n", nullptr}, {});  // the idle one makes room
  until([&] { return second.count("\r\n\r\n") == 1; }, "a request at the other worker");
  EXPECT_EQ(pool->connections(), 1u);
}

TEST(Configuration, ReadsWhatItIsTold) {
  const Config config =
      parseConfig(configJson("127.0.0.1:8500", json::array({entry("s", "127.0.0.1:9")})).dump());
  EXPECT_EQ(config.discovery.port(), 8500);
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config.sockets, 256u);
  EXPECT_EQ(config.host.classes, (std::vector<std::string>{"look", "edit", "order"}));
  EXPECT_EQ(config.host.zones, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(config.settings.classes[1].repeat, irisring::Repeat::keyed);
  EXPECT_EQ(config.settings.plans[1].rate, 1000);
  EXPECT_EQ(config.settings.reportFields, (std::vector<std::string>{"util", "queue"}));
  EXPECT_EQ(parseRoster(config.known).instances.at(0).id, "s");
}

TEST(Configuration, SaysPlainlyWhatIsWrong) {
  for (const char* text : {"", "[]", "{}", R"({"name":"n","listen":"here","discovery":"127.0.0.1:1"})"})
    EXPECT_THROW(parseConfig(text), std::runtime_error) << text;
  json file = configJson("127.0.0.1:1");
  file["settings"]["nInstances"] = "many";
  EXPECT_THROW(parseConfig(file.dump()), std::runtime_error);
}

TEST(Configuration, TheProgramEndsWithOneLineOnABadOne) {
  const std::string out = ::testing::TempDir() + "burlwind-bad-" + std::to_string(getpid());
  const std::string command =
      "BALANCER_CONFIG=/nonexistent " BURLWIND_PROGRAM " 2>" + out + " >/dev/null </dev/null";
  const int status = std::system(command.c_str());
  EXPECT_EQ(WEXITSTATUS(status), 1);
  std::ifstream in(out);
  std::string first, second;
  EXPECT_TRUE(std::getline(in, first));
  EXPECT_FALSE(std::getline(in, second)) << second;
  EXPECT_NE(first.find("/nonexistent"), std::string::npos);
}

}  // namespace
}  // namespace burlwind::test
