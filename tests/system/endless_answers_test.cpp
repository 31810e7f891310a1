// Answers without end at the proxy's reader, and what becomes of requests where something is thrown: in one
// loop.
#include "endless_answers.hpp"

#include <doctest/doctest.h>

#include <new>

#include "edge_loop.hpp"
#include "proxy/worker_exchange.hpp"

namespace burlwind::proxy {
namespace {

constexpr std::size_t kMaxBodyBytes = 256 * 1024;
constexpr std::size_t kMaxSentBytes = 8 * kMaxBodyBytes;  // of chunks of one byte most are not body
constexpr std::size_t kMaxHeldBytes = 4 * kMaxBodyBytes;  // body, and twice as much while it grows
constexpr std::size_t kWholeWrites = 0;

// Gives the exchange an answer without end, `step` bytes at a time; how many bytes it took.
std::size_t feedWithoutEnd(WorkerExchange& exchange, const EndlessAnswer& answer, std::size_t step) {
  std::size_t sent = 0;
  std::string next = answer.begin + answer.repeat;
  while (!exchange.finished() && sent < kMaxSentBytes) {
    std::string_view left = next;
    while (!exchange.finished() && !left.empty()) {
      const std::size_t size = step == kWholeWrites ? left.size() : std::min(step, left.size());
      exchange.received(left.substr(0, size));
      left.remove_prefix(size);
      sent += size;
    }
    next = answer.repeat;
  }
  return sent;
}

TEST_CASE("an answer without end stays in its bound however it is cut") {
  for (const EndlessAnswer& answer : endlessAnswers("own"))
    for (const std::size_t step : {std::size_t{1}, std::size_t{64}, std::size_t{4096}, kWholeWrites})
      for (const bool head : {false, true}) {
        CAPTURE(answer.name);
        CAPTURE(step);
        CAPTURE(head);
        WorkerExchange exchange({"own", head, kMaxBodyBytes});
        exchange.requestWritten(100, true);
        CHECK_NOTHROW(feedWithoutEnd(exchange, answer, step));
        if (!head) CHECK(exchange.finished());
        // An answer to HEAD ends with its head: what comes in a later read is found on the idle connection.
        if (!head || step == kWholeWrites) CHECK_FALSE(exchange.connectionReusable());
        CHECK(exchange.heldBytes() < kMaxHeldBytes);
      }
}

TEST_CASE("a told length beyond all memory gets its client an answer, and nothing stays behind") {
  EdgeLoop edge;
  auto [client, worker] = edge.atWorker("/once");
  worker->say(
      "HTTP/1.1 200 x\r\nTry-Id: /once\r\nServer-Seal: s\r\nContent-Length: 1099511627776\r\n\r\nwool");
  std::string heard;
  asio::async_read_until(client->socket, asio::dynamic_buffer(heard), "\r\n\r\n",
                         [](const Error&, std::size_t) {});
  CHECK(comesWithin(edge.io, kToldWithinMs, [&] { return heard.find("\r\n\r\n") != std::string::npos; }));
  CHECK(heard.starts_with("HTTP/1.1 502 "));
  client.reset();
  CHECK(edge.allEnd());
}

TEST_CASE("a request whose handling throws gets an answer, and its connection goes on") {
  asio::io_context io{1};
  config::ClientLimits limits;
  limits.idle = limits.headerRead = 60000;
  const auto figures = std::make_shared<AnswerFigures>();
  bool throws = true;
  ClientServer server(
      io, std::make_shared<Budget>(100000), std::make_shared<DepartureFigures>(), figures,
      [&] { return limits; },
      [&](ClientRequest& request) -> asio::awaitable<void> {
        if (std::exchange(throws, false)) throw std::bad_alloc();
        request.answer.refuse(404, "nothing here");
        co_return;
      });
  REQUIRE_FALSE(server.listen("127.0.0.1", 0));
  Peer client(io, server.port());
  std::string heard;
  asio::async_read_until(client.socket, asio::dynamic_buffer(heard), "\r\n\r\n",
                         [](const Error&, std::size_t) {});
  client.say(EdgeLoop::request("/a"));
  CHECK(comesWithin(io, kToldWithinMs, [&] { return heard.starts_with("HTTP/1.1 502 "); }));
  CHECK(figures->exceptions() == 1);
  client.say(EdgeLoop::request("/b"));
  const std::string next = client.hearsHead();
  CHECK(next.find("HTTP/1.1 404 ") != std::string::npos);
}

TEST_CASE("an exchange that throws gives its worker's count of running requests back") {
  EdgeLoop edge;
  ClientRequest request;
  request.client = std::make_shared<ClientPresence>([] { throw std::bad_alloc(); });
  Budget::Share share(*edge.bytes);
  request.bytes = &share;
  request.route = &edge.onceOnly;
  request.service = "s";
  request.until = program::now() + 60000;
  bool done = false;
  bool thrown = false;
  asio::co_spawn(edge.io, edge.forwarder.forward(request), [&](const std::exception_ptr& exception) {
    done = true;
    thrown = exception != nullptr;
  });
  runUntil(edge.io, [&] { return done; });
  CHECK_FALSE(thrown);
  CHECK(request.answer.stands());
  CHECK(edge.balancer.outstanding("w0") == 0);
}

TEST_CASE("answers at a time hold no more together than their budget") {
  constexpr unsigned kAtOnce = 16;
  constexpr std::size_t kEachBytes = 8 * 1024 * 1024;
  EdgeLoop edge;
  std::vector<std::unique_ptr<Peer>> clients;
  std::vector<Peer*> workers;
  for (unsigned i = 0; i < kAtOnce; ++i) {
    auto [client, worker] = edge.atWorker("/once" + std::to_string(i));
    clients.push_back(std::move(client));
    workers.push_back(worker);
  }
  const std::string piece(64 * 1024, 'b');
  for (unsigned i = 0; i < kAtOnce; ++i)
    workers[i]->say("HTTP/1.1 200 x\r\nTry-Id: /once" + std::to_string(i) + "\r\nServer-Seal: s\r\n\r\n");
  std::size_t peak = 0;
  for (std::size_t sent = 0; sent < kEachBytes; sent += piece.size()) {
    for (Peer* worker : workers) {
      Error ignored;
      worker->socket.non_blocking(true, ignored);
      worker->socket.write_some(asio::buffer(piece), ignored);
    }
    edge.io.restart();
    edge.io.poll();
    peak = std::max(peak, edge.answerFigures->heldBytes(AnswerHolder::reading));
  }
  CHECK(peak <= edge.answerBudgetBytes);
}

TEST_CASE("an answer of usual length needs nothing of the pool, and its connection is kept") {
  EdgeLoop edge;
  auto [client, worker] = edge.atWorker("/once");
  const std::string text = EdgeLoop::answer("/once", std::string(9000, 'y'));
  worker->say(text);
  REQUIRE(client->hears(text.size()).size() == text.size());
  CHECK(edge.answerBudget->poolBytes() == 0);
  client->say(EdgeLoop::request("/once"));
  CHECK(worker->hearsHead().starts_with("POST /once"));
  CHECK(edge.reached() == 1);
}

TEST_CASE("bytes that come on an idle connection end it soon, used or not") {
  EdgeLoop edge;
  auto [client, worker] = edge.atWorker("/once");
  const std::string text = EdgeLoop::answer("/once");
  worker->say(text);
  REQUIRE(client->hears(text.size()).size() == text.size());
  edge.forwarder.tick(program::now());
  worker->say("more");
  worker->awaitDelivery();
  edge.forwarder.tick(program::now() + 1000);
  CHECK(edge.workerIsTold(*worker));
}

TEST_CASE("where no more exchanges fit, a request is refused before any worker sees it") {
  EdgeLoop edge;
  edge.answerBudget->setLimits({2, 1 << 20});  // one of a service
  auto [first, worker] = edge.atWorker("/once1");
  auto second = edge.client();
  second->say(EdgeLoop::request("/once2"));
  const std::string heard = second->hearsHead();
  CHECK(heard.starts_with("HTTP/1.1 503 "));
  CHECK(heard.find("Retry-After: ") != std::string::npos);
  CHECK(edge.reached() == 1);
  const std::string text = EdgeLoop::answer("/once1");
  worker->say(text);
  CHECK(first->hears(text.size()).starts_with("HTTP/1.1 200 "));
  CHECK(edge.answerBudget->exchanges() == 0);
}

TEST_CASE("answers that wait for room end with their time or their client, and give all back") {
  constexpr std::size_t kLongBytes = 6 << 20;
  EdgeLoop edge;
  edge.answerBudget->setLimits({64, 12 << 20});
  const std::string head =
      "HTTP/1.1 200 x\r\nServer-Seal: s\r\nContent-Length: " + std::to_string(kLongBytes);
  auto [holder, holderWorker] = edge.atWorker("/once0");
  holderWorker->say(head + "\r\nTry-Id: /once0\r\n\r\nbegun");
  runUntil(edge.io, [&] { return edge.answerBudget->poolBytes() >= kLongBytes; });
  edge.timeLeftMs = 300;
  auto [late, lateWorker] = edge.atWorker("/once1");
  lateWorker->say(head + "\r\nTry-Id: /once1\r\n\r\nbegun");
  CHECK(late->hearsHead().starts_with("HTTP/1.1 504 "));
  edge.timeLeftMs = 60000;
  auto [leaver, leaverWorker] = edge.atWorker("/may-repeat");
  leaverWorker->say(head + "\r\nTry-Id: /may-repeat\r\n\r\nbegun");
  edge.io.poll();
  closes(leaver);
  CHECK(edge.workerIsTold(*leaverWorker));
  CHECK(edge.answerBudget->exchanges() == 1);
  const std::string rest(kLongBytes - std::string("begun").size(), 'x');
  asio::async_write(holderWorker->socket, asio::buffer(rest), [](const Error&, std::size_t) {});
  CHECK(holder->hearsHead().starts_with("HTTP/1.1 200 "));
}

}  // namespace
}  // namespace burlwind::proxy
