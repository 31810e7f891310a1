// The proxy's connections on loopback, clients' side and workers' side: whose answer goes where when peers
// close, answer late or say what nobody asked for.
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

#include "loop_peer.hpp"
#include "program/start.hpp"
#include "proxy/client_server.hpp"
#include "proxy/forwarder.hpp"
#include "proxy/worker_side.hpp"

namespace burlwind::proxy {
namespace {

using loop::Peer;
using loop::runUntil;

// --- Clients ---
// Refuses each request with 404; those whose path begins with /slow once the test lets them.
struct Clients {
  Clients() {
    limits.idle = limits.headerRead = 60000;
    REQUIRE_FALSE(server.listen("127.0.0.1", 0));
  }
  asio::awaitable<void> handle(ClientRequest& request) {
    handled.emplace_back(view(request.message.target()));
    if (handled.back().starts_with("/slow")) {
      auto release = std::make_shared<asio::steady_timer>(io, asio::steady_timer::time_point::max());
      held.push_back(release);
      Error ignored;
      co_await release->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    request.answer.refuse(404, "no");
  }
  static std::string request(const std::string& path, const std::string& fields = {}) {
    return "GET " + path + " HTTP/1.1\r\nHost: c\r\nTry-Id: " + path + "\r\n" + fields + "\r\n";
  }
  static std::string answer(const std::string& path) {
    return "HTTP/1.1 404 Not Found\r\nTry-Id: " + path +
           "\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"message\":\"no\"}";
  }
  asio::io_context io{1};
  config::ClientLimits limits;
  std::vector<std::string> handled;
  std::vector<std::shared_ptr<asio::steady_timer>> held;
  ClientServer server{io,
                      std::make_shared<Budget>(100000),
                      std::make_shared<DepartureFigures>(),
                      std::make_shared<AnswerFigures>(),
                      [this] { return limits; },
                      [this](ClientRequest& request) { return handle(request); }};
};

TEST_CASE("requests that a client sends at once are answered one after the other, in their order") {
  Clients clients;
  Peer client(clients.io, clients.server.port());
  client.say(Clients::request("/slow") + Clients::request("/b") + Clients::request("/c"));
  runUntil(clients.io, [&] { return !clients.held.empty(); });
  clients.io.poll();
  CHECK(clients.handled.size() == 1);
  clients.held[0]->cancel();
  const std::string expected = Clients::answer("/slow") + Clients::answer("/b") + Clients::answer("/c");
  CHECK(client.hears(expected.size()) == expected);
}

TEST_CASE("the answer to a client that has gone does not reach the one that came next") {
  Clients clients;
  auto former = std::make_unique<Peer>(clients.io, clients.server.port());
  former->say(Clients::request("/slow"));
  runUntil(clients.io, [&] { return !clients.held.empty(); });
  SUBCASE("it has closed") {}
  SUBCASE("it has reset its connection") { former->reset(); }
  former.reset();
  Peer next(clients.io, clients.server.port());
  next.say(Clients::request("/b"));
  clients.held[0]->cancel();
  CHECK(next.hears(Clients::answer("/b").size()) == Clients::answer("/b"));
}

TEST_CASE("a body that is refused unread is not read as the next request") {
  Clients clients;
  Peer client(clients.io, clients.server.port());
  client.say("POST /a HTTP/1.1\r\nHost: c\r\nContent-Length: 190000\r\n\r\n" + Clients::request("/smuggled"));
  const std::string heard = client.hearsHead();
  CHECK(heard.starts_with("HTTP/1.1 503 "));
  CHECK(heard.find("Connection: close\r\n") != std::string::npos);
  runUntil(clients.io, [&] { return clients.server.empty(); });
  CHECK(clients.handled.empty());
}

TEST_CASE(
    "a request's told length over the bound is refused as such, with bytes of its body behind the head") {
  Clients clients;
  clients.limits.body = 50000;
  Peer client(clients.io, clients.server.port());
  SUBCASE("just over it") {
    client.say("POST /a HTTP/1.1\r\nHost: c\r\nContent-Length: 50001\r\n\r\nraw wool\r\n");
  }
  SUBCASE("beyond all memory") {
    client.say("POST /a HTTP/1.1\r\nHost: c\r\nContent-Length: 1099511627776\r\n\r\n" +
               std::string(3000, 'w'));
  }
  CHECK(client.hearsHead().starts_with("HTTP/1.1 413 "));
  runUntil(clients.io, [&] { return clients.server.empty(); });
  CHECK(clients.handled.empty());
}

TEST_CASE("who asks whether to go on is told so once, and its answer follows its body") {
  Clients clients;
  Peer client(clients.io, clients.server.port());
  client.say(
      "POST /a HTTP/1.1\r\nHost: c\r\nTry-Id: /a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
  CHECK(client.hearsHead() == "HTTP/1.1 100 Continue\r\n\r\n");
  client.say("wo");
  clients.io.poll();
  client.say("ol");
  CHECK(client.hears(Clients::answer("/a").size()) == Clients::answer("/a"));
}

TEST_CASE("leaving closes idle connections alone, and one at work behind its answer") {
  Clients clients;
  Peer idle(clients.io, clients.server.port()), working(clients.io, clients.server.port());
  working.say(Clients::request("/slow"));
  runUntil(clients.io, [&] { return !clients.held.empty(); });
  clients.server.closeBehindAnswers();
  clients.server.stopAccepting();
  clients.server.closeIdle();
  CHECK(idle.hearsAll().empty());
  clients.held[0]->cancel();
  const std::string heard = working.hearsAll();
  CHECK(heard.starts_with("HTTP/1.1 404 "));
  CHECK(heard.find("Connection: close\r\n") != std::string::npos);
  runUntil(clients.io, [&] { return clients.server.empty(); });
}

// --- Workers ---
struct Workers {
  Workers()
      : acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
        address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())) {}
  // Begins an exchange; `result` holds what came of it.
  void send(const std::string& tryId, double withinMs = 60000, bool runsOnce = false) {
    WorkerCall call;
    call.worker = "w";
    call.address = address;
    call.share = budget->open("s", "w");
    call.head = "GET / HTTP/1.1\r\nTry-Id: " + tryId + "\r\n\r\n";
    call.request.tryId = tryId;
    call.withinMs = withinMs;
    call.connectWithin = 60000;
    call.runsOnce = runsOnce;
    call.client = std::make_shared<ClientPresence>();
    result.reset();
    asio::co_spawn(
        io,
        [this, call]() mutable -> asio::awaitable<void> {
          ExchangeResult got = co_await side.exchange(std::move(call));
          result = std::move(got);
        },
        asio::detached);
  }
  // The worker's end of the next connection, with the request read.
  std::unique_ptr<Peer> takes() {
    auto peer = std::make_unique<Peer>(io);
    bool done = false;
    acceptor.async_accept(peer->socket, [&](const Error&) { done = true; });
    runUntil(io, [&] { return done; });
    peer->hearsHead();
    return peer;
  }
  const ExchangeResult& awaitResult() {
    runUntil(io, [&] { return result.has_value(); });
    return *result;
  }
  static std::string success(const std::string& tryId) {
    return "HTTP/1.1 200 OK\r\nTry-Id: " + tryId + "\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\n" + tryId;
  }
  asio::io_context io{1};
  Tcp::acceptor acceptor;
  const std::string address;
  std::shared_ptr<AnswerBudget> budget =
      std::make_shared<AnswerBudget>(AnswerBudget::Limits{64, std::size_t{64} << 20});
  WorkerSide side{io, std::make_shared<AnswerFigures>()};
  std::optional<ExchangeResult> result;
};

TEST_CASE("a connection is used again after its own whole answer, and only while nothing comes on it") {
  Workers workers;
  workers.send("a");
  const auto first = workers.takes();
  first->say(Workers::success("a"));
  CHECK(workers.awaitResult().outcome == ExchangeOutcome::answered);
  workers.send("b");
  CHECK(first->hearsHead().find("Try-Id: b") != std::string::npos);
  first->say(Workers::success("b"));
  CHECK(workers.awaitResult().response.body() == "b");
  first->say(Workers::success("b"));  // a surplus one
  first->awaitDelivery();
  workers.send("c");
  const auto second = workers.takes();
  second->say(Workers::success("c"));
  CHECK(workers.awaitResult().response.body() == "c");
}

TEST_CASE("an answer that comes when its request's time is over reaches nobody") {
  Workers workers;
  workers.send("a", 1);
  const auto first = workers.takes();
  CHECK(workers.awaitResult().outcome == ExchangeOutcome::timedOut);
  Error ignored;
  asio::write(first->socket, asio::buffer(Workers::success("a")), ignored);
  workers.send("b");
  const auto second = workers.takes();
  second->say(Workers::success("b"));
  CHECK(workers.awaitResult().response.body() == "b");
}

TEST_CASE("connecting counts toward a request's time, and what could not be sent has not run") {
  Workers workers;
  workers.send("a", 0);
  CHECK(workers.awaitResult().outcome == ExchangeOutcome::notSent);
  workers.acceptor.close();
  workers.send("b");
  CHECK(workers.awaitResult().outcome == ExchangeOutcome::notSent);
}

TEST_CASE("after a reset of a used connection what may run once goes on one of its own") {
  Workers workers;
  workers.send("a");
  const auto first = workers.takes();
  first->say(Workers::success("a"));
  workers.awaitResult();
  workers.send("b");
  first->hearsHead();
  first->reset();
  CHECK(workers.awaitResult().outcome == ExchangeOutcome::broken);
  workers.send("c");
  const auto second = workers.takes();
  second->say(Workers::success("c"));
  workers.awaitResult();  // its connection waits, and is not taken for what may run once
  workers.send("d", 60000, true);
  const auto third = workers.takes();
  third->say(Workers::success("d"));
  CHECK(workers.awaitResult().outcome == ExchangeOutcome::answered);
}

// --- One request over several workers ---
struct Forwarding {
  explicit Forwarding(bool safe, double timeLeftMs = 60000) {
    rpc::Workers told;
    told.whole = true;
    for (unsigned i = 0; i < 3; ++i) {
      acceptors.emplace_back(io, Tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0});
      const std::string address = "127.0.0.1:" + std::to_string(acceptors[i].local_endpoint().port());
      told.put.push_back({"w" + std::to_string(i), "s", address, "z", 4, false, 0});
      listen(i);
    }
    balancer.take(told, 0);
    forwarder.setBudget(1, 1000, 1);
    route.safe = safe, route.tries = 2;
    request.message.method(http::verb::get);
    request.message.target("/");
    request.message.set("Try-Id", "a");
    request.bytes = &bytes;
    request.client = std::make_shared<ClientPresence>();
    request.route = &route;
    request.service = "s";
    request.arrivedAt = program::now();
    request.until = request.arrivedAt + timeLeftMs;
    asio::co_spawn(
        io,
        [this]() -> asio::awaitable<void> {
          co_await forwarder.forward(request);
          done = true;
        },
        asio::detached);
  }
  void listen(unsigned i) {
    taken.push_back(std::make_unique<Peer>(io));
    acceptors[i].async_accept(taken.back()->socket, [this, i](const Error& error) {
      if (!error) reached.push_back(i);
    });
  }
  // The worker that the request reaches next, with the request read.
  Peer& takes() {
    const std::size_t before = heard;
    runUntil(io, [&] { return reached.size() > before; });
    Peer& peer = *taken[reached[heard++]];
    peer.hearsHead();
    return peer;
  }
  void awaitEnd() {
    runUntil(io, [&] { return done; });
  }
  asio::io_context io{1};
  std::vector<Tcp::acceptor> acceptors;
  std::vector<std::unique_ptr<Peer>> taken;
  std::vector<unsigned> reached;
  std::size_t heard = 0;
  Budget all{1000000};
  Budget::Share bytes{all};
  load_balancing::Core balancer{{"z", "r"}, {{"z", "r"}}, 1, 1};
  Forwarder forwarder{io,
                      balancer,
                      std::make_shared<DepartureFigures>(),
                      std::make_shared<AnswerFigures>(),
                      std::make_shared<AnswerBudget>(AnswerBudget::Limits{64, std::size_t{64} << 20}),
                      [] { return 0.0; }};
  config::Route route;
  ClientRequest request;
  bool done = false;
};

const std::string kTurnedAway = "HTTP/1.1 503 x\r\nTry-Id: a\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n";

TEST_CASE("a request that may run once goes on where it was turned away, and never after a silence") {
  Forwarding one(false);
  one.takes().say(kTurnedAway);
  one.takes().say(Workers::success("a"));
  one.awaitEnd();
  CHECK(one.request.answer.statusCode() == 200);
  CHECK(one.reached.size() == 2);

  Forwarding silent(false, 60);
  silent.takes();
  silent.awaitEnd();
  CHECK(silent.request.answer.statusCode() == 504);
  CHECK(silent.reached.size() == 1);

  Forwarding ended(false);
  ended.takes().socket.close();
  ended.awaitEnd();
  CHECK(ended.request.answer.statusCode() == 502);
  CHECK(ended.reached.size() == 1);
}

TEST_CASE(
    "tries are counted over workers that were reached, and a promise stands only where none has run it") {
  Forwarding full(true);
  full.takes().say(kTurnedAway);
  full.takes().say(kTurnedAway);
  full.awaitEnd();
  CHECK(full.request.answer.statusCode() == 503);
  CHECK(full.reached.size() == 2);

  Forwarding ran(true);
  ran.takes().socket.close();
  ran.takes().say(kTurnedAway);
  ran.awaitEnd();
  CHECK(ran.request.answer.statusCode() == 502);

  Forwarding failed(true);
  failed.takes().say("HTTP/1.1 500 x\r\nTry-Id: a\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n");
  failed.takes().say(kTurnedAway);
  failed.awaitEnd();
  CHECK(failed.request.answer.statusCode() == 500);  // the worker's own, with its own seal
  CHECK(failed.request.answer.fromWorker->at("Server-Seal") == "s");
}

}  // namespace
}  // namespace burlwind::proxy
