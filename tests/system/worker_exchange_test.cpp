// One request and its answer on a connection to a worker, byte by byte, without sockets; and what follows.
#include "proxy/worker_exchange.hpp"

#include <doctest/doctest.h>

#include "program/deadline.hpp"
#include "proxy/idle_connections.hpp"
#include "proxy/message_text.hpp"
#include "proxy/retry_policy.hpp"

namespace burlwind::proxy {
namespace {

const std::string kOwn = "Try-Id: own\r\n";
const std::string kForeign = "Try-Id: other\r\n";

std::string head(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + " x\r\n" + fields + "\r\n";
}
std::string answer(const std::string& status, const std::string& fields, const std::string& body = "yarn") {
  return head(status, fields + "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}
std::string success(const std::string& fields = kOwn) { return answer("200", fields + "Server-Seal: s\r\n"); }

struct Case {
  explicit Case(bool isHead = false, const std::string& tryId = "own")
      : exchange({tryId, isHead, kMostBody}) {
    exchange.requestWritten(100, true);
  }
  Case& reads(const std::string& bytes) {
    exchange.received(bytes);
    return *this;
  }
  Case& ends() {
    exchange.connectionEnded();
    return *this;
  }
  bool is(ExchangeOutcome outcome, bool reusable) const {
    return exchange.finished() && exchange.outcome() == outcome && exchange.connectionReusable() == reusable;
  }
  WorkerExchange exchange;
};

TEST_CASE("an own answer is taken whole, and its connection is used again") {
  Case c;
  const std::string text = success();
  for (const char byte : text) c.reads(std::string(1, byte));
  CHECK(c.is(ExchangeOutcome::answered, true));
  CHECK(c.exchange.response().body() == "yarn");
  CHECK(Case().reads(answer("503", kOwn + "Not-Run: full\r\n")).is(ExchangeOutcome::notRun, true));
  CHECK(Case().reads(answer("500", kOwn)).is(ExchangeOutcome::answered, true));
}

TEST_CASE("a promise without the request's own id is nobody's: the own answer is waited for") {
  for (const std::string& fields :
       {std::string(), std::string("Try-Id:\r\n"), kForeign, kOwn + kForeign, kForeign + kOwn, kOwn + kOwn})
    for (const std::string status : {"503", "429", "400", "421", "408"}) {
      CAPTURE(fields);
      CAPTURE(status);
      const std::string surplus = answer(status, fields + "Not-Run: full\r\n");
      Case c;
      c.reads(surplus);
      CHECK_FALSE(c.exchange.finished());
      CHECK(c.reads(success()).is(ExchangeOutcome::answered, false));
      CHECK(Case().reads(surplus).ends().is(ExchangeOutcome::broken, false));
      Case late;
      late.reads(surplus);
      late.exchange.deadlinePassed();
      CHECK(late.is(ExchangeOutcome::timedOut, false));
    }
  CHECK(Case().reads(answer("421", kOwn)).is(ExchangeOutcome::wrongServer, false));
}

TEST_CASE("a connection on which anything unasked came is not used again") {
  CHECK(Case().reads(success(kForeign) + success()).is(ExchangeOutcome::answered, false));
  CHECK(Case().reads(success() + "x").is(ExchangeOutcome::answered, false));
  CHECK(Case().reads(success() + success()).is(ExchangeOutcome::answered, false));
  CHECK(Case().reads(success(kOwn + "Connection: close\r\n")).is(ExchangeOutcome::answered, false));
  CHECK(Case().reads(head("100", "") + success()).is(ExchangeOutcome::answered, false));
  Case early;
  WorkerExchange writing({"own", false, kMostBody});
  writing.received(answer("503", kOwn + "Not-Run: full\r\n"));
  CHECK(writing.outcome() == ExchangeOutcome::notRun);
  CHECK_FALSE(writing.connectionReusable());
}

TEST_CASE("interim answers are no answers, whatever they carry") {
  for (const std::string status : {"100", "102", "103"}) {
    Case c;
    c.reads(head(status, kOwn + "Not-Run: full\r\n"));
    CHECK_FALSE(c.exchange.finished());
    CHECK(c.reads(success()).is(ExchangeOutcome::answered, false));
  }
  CHECK(Case().reads(head("101", kOwn)).is(ExchangeOutcome::broken, false));
  Case endless;
  for (int i = 0; i < 5; ++i) endless.reads(head("102", kOwn));
  CHECK(endless.is(ExchangeOutcome::broken, false));
}

TEST_CASE("an answer that ends early, contradicts itself or has no seal is none") {
  const std::string whole = success();
  for (std::size_t length = 0; length < whole.size(); ++length) {
    Case c;
    c.reads(whole.substr(0, length));
    CHECK_FALSE(c.exchange.finished());
    CHECK(c.ends().is(ExchangeOutcome::broken, false));
  }
  CHECK(Case().reads(answer("200", kOwn)).is(ExchangeOutcome::broken, false));
  CHECK(Case()
            .reads(answer("200", kOwn + "Server-Seal: s\r\nNot-Run: full\r\n"))
            .is(ExchangeOutcome::broken, false));
  CHECK(Case().reads("it is no answer\r\n\r\n").is(ExchangeOutcome::broken, false));
  // No length is told: where it ends can't be known.
  CHECK(Case()
            .reads(head("200", kOwn + "Server-Seal: s\r\n") + "yarn")
            .ends()
            .is(ExchangeOutcome::broken, false));
  const std::string twoLengths = kOwn + "Server-Seal: s\r\nContent-Length: 4\r\n";
  CHECK(Case().reads(answer("200", twoLengths)).is(ExchangeOutcome::broken, false));
}

TEST_CASE("an answer to HEAD has no body, and a surplus answer before it has an unknown one") {
  CHECK(Case(true)
            .reads(head("200", kOwn + "Server-Seal: s\r\nContent-Length: 9\r\n"))
            .is(ExchangeOutcome::answered, true));
  CHECK(Case(true).reads(success()).is(ExchangeOutcome::answered, false));  // with a body all the same
  CHECK(Case(true).reads(success(kForeign) + success()).is(ExchangeOutcome::broken, false));
}

TEST_CASE("a request without an id takes the first answer without one, and nothing else") {
  const std::string refused = answer("400", "Not-Run: no id\r\n");
  CHECK(Case(false, "").reads(refused).is(ExchangeOutcome::notRun, false));
  Case c(false, "");
  CHECK_FALSE(c.reads(success(kForeign)).exchange.finished());
  CHECK_FALSE(c.reads(refused).exchange.finished());
}

TEST_CASE("only what took not a byte of the request has certainly not got it") {
  WorkerExchange refused({"own", false, kMostBody});
  refused.requestWritten(0, false);
  CHECK(refused.outcome() == ExchangeOutcome::notSent);
  WorkerExchange partly({"own", false, kMostBody});
  partly.requestWritten(10, false);
  CHECK_FALSE(partly.finished());  // what the worker has said before is read yet
  SUBCASE("and it has said nothing") {
    partly.connectionEnded();
    CHECK(partly.outcome() == ExchangeOutcome::broken);
  }
  SUBCASE("and it has turned the request away") {
    partly.received(answer("503", kOwn + "Not-Run: full\r\n"));
    CHECK(partly.outcome() == ExchangeOutcome::notRun);
    CHECK_FALSE(partly.connectionReusable());
  }
}

TEST_CASE("idle connections: the latest first, none that is too old or has something on it") {
  IdleConnections<int> idle;
  idle.add("w", 1, 0, 1000);
  idle.add("w", 2, 100, 1000);
  idle.add("w", 3, 200, 100);
  const auto any = [](int) { return true; };
  CHECK(idle.take("w", 400, any) == 2);
  CHECK_FALSE(idle.take("w", 400, [](int) { return false; }).has_value());
  CHECK(idle.size() == 0);
  idle.add("w", 4, 0, 1000);
  idle.sweep(1000);
  CHECK(idle.size() == 0);
  idle.add("w", 5, 0, 1000);
  idle.forget("w");
  CHECK_FALSE(idle.take("w", 1, any).has_value());
  for (int i = 0; i < 100; ++i) idle.add("w", i, 0, 1000);
  CHECK(idle.size() == kMaxIdlePerWorker);
}

TEST_CASE("a deadline that became due in the turn in which it was disarmed or armed anew does not pass") {
  asio::io_context loop;
  program::Deadline first(loop), second(loop), third(loop);
  bool disarmedPassed = false, formerPassed = false;
  unsigned passed = 0;
  first.arm(0, [&] {
    ++passed;
    second.disarm();
    third.arm(0, [&] { ++passed; });
  });
  second.arm(0, [&] { disarmedPassed = true; });
  third.arm(0, [&] { formerPassed = true; });
  loop.run();
  CHECK(passed == 2);
  CHECK_FALSE(disarmedPassed);
  CHECK_FALSE(formerPassed);
}

TEST_CASE("a refusal of HEAD has no body: its bytes would stand where the next answer is due") {
  ClientRequest request;
  request.message.method(http::verb::head);
  request.message.set("Try-Id", "t1");
  request.answer.refuse(404, "no such route");
  const std::string text = clientAnswerText(request, false) + std::string(workerBodyOf(request));
  CHECK(text.starts_with("HTTP/1.1 404 Not Found\r\nTry-Id: t1\r\n"));
  CHECK(text.ends_with("\r\n\r\n"));
  request.message.method(http::verb::get);
  CHECK(clientAnswerText(request, false).ends_with("{\"message\":\"no such route\"}"));
}

TEST_CASE("a worker's answer goes out with its own status, seal and body, and a refusal never bears a seal") {
  ClientRequest request;
  request.answer.fromWorker.emplace(http::status::internal_server_error, 11);
  request.answer.fromWorker->set("Server-Seal", "s");
  request.answer.fromWorker->set("Server-Load", "1,2,3");
  request.answer.fromWorker->body() = "broke";
  request.answer.refuse(502, "later");  // nothing that is said later changes it
  const std::string text = clientAnswerText(request, true) + std::string(workerBodyOf(request));
  CHECK(text.starts_with("HTTP/1.1 500 "));
  CHECK(text.find("Server-Seal: s\r\n") != std::string::npos);
  CHECK(text.find("Server-Load") == std::string::npos);
  CHECK(text.ends_with("Content-Length: 5\r\nConnection: close\r\n\r\nbroke"));
}

}  // namespace
}  // namespace burlwind::proxy
