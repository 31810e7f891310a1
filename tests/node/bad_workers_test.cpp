// Workers whose answers are spoilt or bring more than belongs to them, and workers that come and go.
#include "support/sides.hpp"

namespace burlwind::test {
namespace {

using irisring::Result;
using namespace std::chrono_literals;

class BadWorkers : public Pool {
 protected:
  // One attempt that is answered so; its end.
  AttemptEnd answeredWith(const std::string& text) {
    ends.clear();
    const std::size_t before = worker.count("\r\n\r\n");
    start(1);
    untilSeen(before + 1);
    worker.peers.back()->send(text);
    until([&] { return ends.size() == 1; }, text.substr(0, 200).c_str());
    return ends.empty() ? AttemptEnd{} : std::move(ends[0]);
  }
};

TEST_F(BadWorkers, InterimAnswersArePassedOver) {
  open({});
  const std::string interim = "HTTP/1.1 102 Processing\r\nX-Some: thing\r\n\r\n";
  auto end = answeredWith("HTTP/1.1 100 Continue\r\n\r\n" + interim + reply("200 OK", "mine"));
  EXPECT_EQ(end.outcome.result, Result::ok);
  EXPECT_EQ(end.body, "mine");
  EXPECT_EQ(pool->connections(), 1u);
  std::string many;
  for (int i = 0; i < 100; ++i) many += interim;
  EXPECT_EQ(answeredWith(many).outcome.result, Result::spoilt);
  EXPECT_EQ(pool->connections(), 0u);
}

// What the module takes in once stays in its means: a figure that cannot be so is dropped, the answer is
// kept.
TEST_F(BadWorkers, AFigureThatCannotBeSoIsDropped) {
  open({});
  for (const char* load : {"util=inf,queue=1", "util=nan,queue=1", "util=-0.5,queue=1", "util=1e300,queue=1",
                           "util=0.5,queue=1,util=0.7", "util=0.5", "util=0.5;queue=1", "util=,queue=1"}) {
    const auto end = answeredWith(reply("200 OK", "mine", "Srv-Load: " + std::string(load) + "\r\n"));
    EXPECT_EQ(end.outcome.result, Result::ok) << load;
    EXPECT_TRUE(end.outcome.report.empty()) << load;
  }
  const std::string fine = "Srv-Load: util=0.5,queue=1\r\n";
  EXPECT_TRUE(answeredWith(reply("200 OK", "", fine + fine)).outcome.report.empty());
  for (const char* used : {"-5", "1e3", "99999999999", "999999999", "85%", "nan"}) {
    const auto end = answeredWith(reply("200 OK", "", "X-RateLimit-Used: " + std::string(used) + "\r\n"));
    EXPECT_EQ(end.outcome.usePercent, -1) << used;
  }
  EXPECT_EQ(
      answeredWith(reply("200 OK", "", "X-RateLimit-Used: 5\r\nX-RateLimit-Used: 6\r\n")).outcome.usePercent,
      -1);
}

// A spoilt answer has run: never served, and its connection of no further use.
TEST_F(BadWorkers, ASpoiltAnswerIsAFailureThatMayHaveRunAndEndsTheConnection) {
  open({});
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const std::string& text : {
           std::string("\x01\x02 noise \xff\xfe\r\n\r\n"),
           std::string("HTTP/1.1 2x0 OK\r\n\r\n"),
           ok + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
           ok + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
           ok + "Content-Length: 5, 5\r\n\r\nhello",
           ok + "Content-Length: -5\r\n\r\nhello",
           ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
           ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
           ok + "Transfer-Encoding: gzip\r\n\r\nhello",
           ok + "Content-Length: 2000000\r\n\r\n" + std::string(3000, 'x'),
           ok + "Content-Length: 3000000000\r\n\r\n" + std::string(3000, 'x'),
           ok + "Transfer-Encoding: chunked\r\n\r\nb2d05e00\r\n" + std::string(3000, 'x'),
           ok + "Transfer-Encoding: chunked\r\n\r\n5;" + std::string(40000, 'x'),
           ok + "Endless: " + std::string(40000, 'x'),
           std::string("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n"),
       }) {
    const auto end = answeredWith(text);
    EXPECT_EQ(end.outcome.result, Result::spoilt) << text.substr(0, 100);
    EXPECT_EQ(end.body, "");
    EXPECT_EQ(pool->connections(), 0u) << text.substr(0, 100);
    EXPECT_EQ(budget.held(), 0u);
  }
}

// What is held whole is held within the budget.
TEST_F(BadWorkers, AnAnswerBeyondTheBudgetIsNotHeld) {
  open({});
  const std::string held(60000, 'x');
  EXPECT_EQ(answeredWith(reply("200 OK", held)).body, held);
  EXPECT_EQ(pool->connections(), 1u);
  EXPECT_EQ(budget.held(), 0u);
  Budget::Share others(budget);
  ASSERT_TRUE(others.growTo(1040000));
  EXPECT_EQ(answeredWith(reply("200 OK", held)).outcome.result, Result::spoilt);
  EXPECT_EQ(pool->connections(), 0u);
}

// It stays open and silent, and would hold the request until the client gives up.
TEST_F(BadWorkers, AnAnswerThatStopsHalfWayIsGivenUpSoon) {
  WorkerPool::Limits limits;
  limits.answerWithin = 50ms;
  open(limits);
  for (const char* text :
       {"HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"}) {
    EXPECT_EQ(answeredWith(text).outcome.result, Result::spoilt);
    EXPECT_EQ(pool->connections(), 0u);
  }
}

TEST_F(BadWorkers, AWorkerThatHasGoneIsForgottenAndANewOneAtItsAddressGetsNothingOfIt) {
  open({});
  EXPECT_EQ(answeredWith(reply("200 OK", "old")).body, "old");
  EXPECT_EQ(pool->connections(), 1u);
  pool->place(2, {worker.address(), 0});
  pool->start(2, 0, 2, {"GET / HTTP/1.1\r\n\r\n", nullptr}, {});
  until([&] { return worker.peers.size() == 2; }, "a connection of its own");
  pool->retire(1);
  EXPECT_EQ(pool->workers(), 1u);
  until([&] { return worker.peers[0]->ended; }, "the idle connection ends");
  start(3);
  untilEnds(2);
  EXPECT_EQ(ends[1].outcome.result, Result::connectFailed);
  pool->retire(2);  // with an attempt out, which goes on
  EXPECT_EQ(pool->workers(), 0u);
  worker.peers[1]->send(reply("200 OK", "new"));
  untilEnds(3);
  EXPECT_EQ(ends[2].body, "new");
  EXPECT_EQ(pool->connections(), 0u);
}

}  // namespace
}  // namespace burlwind::test
