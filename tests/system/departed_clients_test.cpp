// Clients that leave before they have their answers: what their requests may still cost, case by case. The
// stages of a request and the ways to leave are those of docs/design/departed-clients.md.
#include <doctest/doctest.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "edge_loop.hpp"
#include "proxy/retry_policy.hpp"
#include "proxy/token_gate.hpp"

namespace burlwind::proxy {
namespace {

constexpr double kWellBeforeConnectTimeoutMs = 250;
constexpr double kWellBeforeTokenTimeoutMs = 200;
constexpr std::size_t kMoreThanBuffersHold = 24 * 1024 * 1024;

const std::string kTurnedAway =
    "HTTP/1.1 503 x\r\nTry-Id: /once\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n";
const std::string kWrongServer = "HTTP/1.1 421 x\r\nTry-Id: /once\r\nContent-Length: 0\r\n\r\n";

// Waits for the end of a client's connection whose sending side it has shut: the departure was noted.
void awaitNoted(const std::unique_ptr<Peer>& client) { CHECK(client->hearsAll().empty()); }

TEST_CASE("a worker is told in time that the client of a repeatable request has left") {
  EdgeLoop edge;
  auto [client, worker] = edge.atWorker("/a");
  SUBCASE("it closes") { closes(client); }
  SUBCASE("it resets its connection") { resets(client); }
  SUBCASE("it shuts its sending side") { shutsSending(client); }
  SUBCASE("it closes behind a whole next request") {
    client->say(EdgeLoop::request("/b"));
    closes(client);
  }
  SUBCASE("it closes behind a part of one") {
    client->say("POST /b HTTP/1.1\r\nHost");
    closes(client);
  }
  SUBCASE("it closes behind more than is read ahead") {
    client->say(EdgeLoop::request("/b", std::string(40000, 'b')));
    edge.io.poll();
    closes(client);
  }
  CHECK(edge.workerIsTold(*worker));
  CHECK(edge.allEnd());
  CHECK(edge.handled == std::vector<std::string>{"/a"});
  CHECK(edge.reached() == 1);
  CHECK(edge.departures->count(RequestKind::repeatable, RequestStage::atWorker) == 1);
  CHECK(edge.departures->longWork(RequestKind::repeatable) == 0);
}

TEST_CASE("a worker is told of a departure after hundreds of requests on a kept connection") {
  EdgeLoop edge;
  auto [client, worker] = edge.atWorker("/a");
  for (int i = 0; i < 300; ++i) {
    worker->say(EdgeLoop::answer("/a"));
    const std::string answer = EdgeLoop::answer("/a");
    REQUIRE(client->hears(answer.size()) == answer);
    client->say(EdgeLoop::request("/a"));
    REQUIRE(worker->hearsHead().starts_with("POST /a "));
  }
  closes(client);
  CHECK(edge.workerIsTold(*worker));
  CHECK(edge.allEnd());
  CHECK(edge.departures->total() == 1);
}

TEST_CASE("a request whose client has left is sent to no worker") {
  EdgeLoop edge;
  std::string path;
  SUBCASE("repeatable") { path = "/a"; }
  SUBCASE("once only") { path = "/once"; }
  auto client = edge.client();
  client->say(EdgeLoop::request(path));
  client->awaitDelivery();
  closes(client);  // both are there before the proxy reads
  runUntil(edge.io, [&] { return !edge.server.empty(); });
  CHECK(edge.allEnd());
  CHECK(edge.reached() == 0);
}

TEST_CASE("a client that leaves while its body still comes has sent no request") {
  EdgeLoop edge;
  auto client = edge.client();
  client->say("POST /a HTTP/1.1\r\nHost: c\r\nTry-Id: /a\r\nContent-Length: 9\r\n\r\nwool");
  client->awaitDelivery();
  closes(client);
  runUntil(edge.io, [&] { return !edge.server.empty(); });
  CHECK(edge.allEnd());
  CHECK(edge.handled.empty());
  CHECK(edge.departures->count(RequestKind::unrouted, RequestStage::reading) == 1);
}

TEST_CASE("a request that may run once is left to run, and its connection serves the next one") {
  EdgeLoop edge;
  auto [client, worker] = edge.atWorker("/once");
  shutsSending(client);
  awaitNoted(client);
  CHECK_FALSE(edge.workerIsTold(*worker));
  worker->say(EdgeLoop::answer("/once"));
  CHECK(edge.allEnd());
  auto next = edge.client();
  next->say(EdgeLoop::request("/once2"));
  CHECK(worker->hearsHead().starts_with("POST /once2 "));
  worker->say(EdgeLoop::answer("/once2"));
  CHECK(next->hearsHead().find("Try-Id: /once2\r\n") != std::string::npos);
  CHECK(edge.reached() == 1);
  CHECK(edge.departures->count(RequestKind::onceOnly, RequestStage::atWorker) == 1);
}

TEST_CASE("once-only work goes on if the client leaves before the end of its write is known") {
  EdgeLoop edge;
  auto [first, worker] = edge.atWorker("/once");
  const std::string firstAnswer = EdgeLoop::answer("/once");
  worker->say(firstAnswer);
  CHECK(first->hears(firstAnswer.size()) == firstAnswer);

  WorkerSide side(edge.io, edge.answerFigures);
  WorkerCall call;
  call.worker = "w";
  call.address = edge.workers[0]->entry().address;
  call.head = EdgeLoop::request("/once2");
  call.share = edge.answerBudget->open("s", "w0");
  call.request.tryId = "/once2";
  call.runsOnce = true;
  call.withinMs = call.connectWithin = 60000;
  // The client leaves at each turn of the loop: also between the write and the moment at which it is known.
  for (unsigned turns = 1; turns < 12; ++turns) {
    CAPTURE(turns);
    call.client = std::make_shared<ClientPresence>();
    std::optional<ExchangeResult> result;
    const std::size_t before = edge.reached();
    asio::co_spawn(
        edge.io,
        [&]() -> asio::awaitable<void> {
          ExchangeResult got = co_await side.exchange(call);
          result.emplace(std::move(got));
        },
        asio::detached);
    for (unsigned turn = 0; turn < turns; ++turn) {
      edge.io.restart();
      edge.io.poll_one();
    }
    call.client->noteLeft(program::now());
    std::string heard;
    Peer* peer = nullptr;
    const auto answerWhatComes = [&] {
      if (!peer && edge.reached() > before) peer = edge.workers[0]->connections.back().get();
      if (!peer || peer->socket.available() == 0) return result.has_value();
      peer->hearsHead();
      peer->say(EdgeLoop::answer("/once2"));
      return result.has_value();
    };
    if (edge.reached() > 1) peer = edge.workers[0]->connections.back().get();
    REQUIRE(comesWithin(edge.io, kToldWithinMs, answerWhatComes));
    const bool leftAlone =
        result->outcome == ExchangeOutcome::answered || result->outcome == ExchangeOutcome::notSent;
    CHECK(leftAlone);
  }
}

TEST_CASE("no other worker is tried for a client that has left") {
  EdgeLoop edge(3);
  auto [client, worker] = edge.atWorker("/once");
  shutsSending(client);
  awaitNoted(client);
  SUBCASE("its worker turns the request away") { worker->say(kTurnedAway); }
  SUBCASE("it is another worker") { worker->say(kWrongServer); }
  SUBCASE("it resets") { worker->reset(); }
  SUBCASE("it closes") { worker->socket.close(); }
  CHECK(edge.allEnd());
  CHECK(edge.reached() == 1);
}

TEST_CASE("a departure in the turn in which a worker turns the request away wins over the next try") {
  EdgeLoop edge(3);
  std::string path;
  SUBCASE("repeatable") { path = "/a"; }
  SUBCASE("once only") { path = "/once"; }
  auto [client, worker] = edge.atWorker(path);
  worker->say("HTTP/1.1 503 x\r\nTry-Id: " + path + "\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n");
  worker->awaitDelivery();
  closes(client);
  CHECK(edge.allEnd());
  CHECK(edge.reached() == 1);
}

TEST_CASE("a departure in the turn of the worker's answer harms neither side's next exchange") {
  EdgeLoop edge;
  auto [client, worker] = edge.atWorker("/a");
  worker->say(EdgeLoop::answer("/a"));
  worker->awaitDelivery();
  closes(client);
  CHECK(edge.allEnd());
  auto next = edge.client();
  next->say(EdgeLoop::request("/b"));
  runUntil(edge.io, [&] { return edge.handled.size() == 2; });
  Peer* second = worker;
  if (comesWithin(edge.io, kWellBeforeConnectTimeoutMs, [&] { return edge.reached() == 2; }))
    second = &edge.nextWorkerConnection();
  CHECK(second->hearsHead().starts_with("POST /b "));
  second->say(EdgeLoop::answer("/b"));
  CHECK(next->hearsHead().find("Try-Id: /b\r\n") != std::string::npos);
}

TEST_CASE("a connection that is being opened is given up with its client") {
  EdgeLoop edge;
  // A worker whose queue of connections is full: it answers no more of them.
  Tcp::acceptor silent(edge.io, Tcp::v4());
  silent.bind({asio::ip::make_address("127.0.0.1"), 0});
  silent.listen(0);
  Tcp::socket fills(edge.io);
  fills.connect(silent.local_endpoint());
  rpc::Workers told;
  told.whole = true, told.number = 2;
  told.put.push_back(
      {"silent", "s", "127.0.0.1:" + std::to_string(silent.local_endpoint().port()), "z", 4, false, 0});
  edge.balancer.take(told, 0);
  std::string path;
  RequestKind kind = RequestKind::repeatable;
  SUBCASE("repeatable") { path = "/a"; }
  SUBCASE("once only") {
    path = "/once";
    kind = RequestKind::onceOnly;
  }
  auto client = edge.client();
  client->say(EdgeLoop::request(path));
  runUntil(edge.io, [&] { return !edge.handled.empty(); });
  edge.io.poll();
  closes(client);
  CHECK(comesWithin(edge.io, kWellBeforeConnectTimeoutMs, [&] { return edge.server.empty(); }));
  CHECK(edge.departures->count(kind, RequestStage::connecting) == 1);
  load_balancing::Ask ask;
  ask.service = "s";
  CHECK(edge.balancer.choose(ask, 0, program::now()).id == "silent");
}

TEST_CASE("a body on its way is broken off: what is still queued does not reach the worker") {
  EdgeLoop edge;
  std::string path;
  SUBCASE("repeatable") { path = "/a"; }
  SUBCASE("once only") { path = "/once"; }
  auto client = edge.client();
  const std::string text = EdgeLoop::request(path, std::string(kMoreThanBuffersHold, 'w'));
  bool said = false;
  asio::async_write(client->socket, asio::buffer(text), [&](const Error&, std::size_t) { said = true; });
  Peer& worker = edge.nextWorkerConnection();
  runUntil(edge.io, [&] { return said; });
  edge.io.poll();
  closes(client);
  CHECK(edge.allEnd());
  std::string heard;
  CHECK(edge.workerIsTold(worker, &heard));
  CHECK(heard.size() < kMoreThanBuffersHold);
  CHECK(edge.bytes->held() == 0);
}

TEST_CASE(
    "a request that waits in the system's own queue for a slow worker is broken off, once only as well") {
  EdgeLoop edge(1, 2048);
  auto client = edge.client();
  const std::string body(12000, 'w');
  client->say(EdgeLoop::request("/once", body));
  Peer& worker = edge.nextWorkerConnection();
  edge.io.poll();
  shutsSending(client);
  awaitNoted(client);
  std::string heard;
  CHECK(edge.workerIsTold(worker, &heard));
  CHECK(heard.size() < body.size());
  CHECK(edge.allEnd());
}

TEST_CASE("an answer that is being written ends with its client, and gives its bytes back") {
  EdgeLoop edge;
  auto [client, worker] = edge.atWorker("/a");
  const std::string text = EdgeLoop::answer("/a", std::string(kMoreThanBuffersHold, 'y'));
  bool said = false;
  asio::async_write(worker->socket, asio::buffer(text), [&](const Error&, std::size_t) { said = true; });
  runUntil(edge.io, [&] { return said; });
  edge.io.poll();
  SUBCASE("it closes") { closes(client); }
  SUBCASE("it shuts its sending side") { shutsSending(client); }
  CHECK(edge.allEnd());
  CHECK(edge.bytes->held() == 0);
}

TEST_CASE(
    "what a client sends behind its request is read ahead within a bound, and a reset shows through it") {
  EdgeLoop edge;
  auto [client, worker] = edge.atWorker("/a");
  const std::string flood(kMoreThanBuffersHold, 'f');
  asio::async_write(client->socket, asio::buffer(flood), [](const Error&, std::size_t) {});
  CHECK_FALSE(comesWithin(edge.io, 2 * kEndCheckMs, [&] { return edge.bytes->held() > kMaxReadAhead; }));
  client->socket.cancel();
  resets(client);
  CHECK(edge.workerIsTold(*worker));
  CHECK(edge.allEnd());
}

TEST_CASE("a proxy that ends waits for what runs once, although its client has left") {
  EdgeLoop edge;
  auto [client, worker] = edge.atWorker("/once");
  edge.server.closeBehindAnswers();
  shutsSending(client);
  awaitNoted(client);
  edge.server.stopAccepting();
  edge.server.closeIdle();
  edge.io.poll();
  CHECK_FALSE(edge.server.empty());
  worker->say(EdgeLoop::answer("/once"));
  CHECK(edge.allEnd());
}

TEST_CASE("hundreds that leave at once say nothing bad of their worker") {
  EdgeLoop edge;
  std::vector<std::unique_ptr<Peer>> clients;
  for (int i = 0; i < 300; ++i) {
    clients.push_back(edge.client());
    clients.back()->say(EdgeLoop::request("/a"));
  }
  runUntil(edge.io, [&] { return edge.reached() == clients.size(); });
  edge.io.poll();
  clients.clear();
  CHECK(edge.allEnd());
  CHECK(edge.departures->total() == 300);
  auto payer = edge.client();
  payer->say(EdgeLoop::request("/once"));
  runUntil(edge.io, [&] { return edge.reached() == 301; });
  Peer& worker = *edge.workers[0]->connections.back();
  CHECK(worker.hearsHead().starts_with("POST /once "));
  worker.say(EdgeLoop::answer("/once"));
  CHECK(payer->hearsHead().starts_with("HTTP/1.1 200"));
}

TEST_CASE("a worker that is silent until clients' time is over is ejected, whether or not they close first") {
  EdgeLoop edge;
  edge.timeLeftMs = 300;
  bool close = false;
  SUBCASE("they stay") {}
  SUBCASE("they close as their time ends") { close = true; }
  for (int i = 0; i < 2; ++i) {
    auto [client, worker] = edge.atWorker("/once");
    if (close) {
      CHECK_FALSE(comesWithin(edge.io, 285, [] { return false; }));
      closes(client);
    } else {
      CHECK(client->hearsHead().starts_with("HTTP/1.1 504 "));
      closes(client);
    }
    CHECK(edge.allEnd());
  }
  load_balancing::Ask ask;
  ask.service = "s";
  CHECK(edge.balancer.choose(ask, 0, program::now()).why == load_balancing::Why::failing);
}

TEST_CASE("a client that leaves while its request waits for tokens takes none") {
  asio::io_context io{1};
  std::vector<rpc::TokenRequest> sent;
  const auto send = [&](const rpc::TokenRequest& request) { sent.push_back(request); };
  TokenGate gate(io, program::now(), send, [] {});
  gate.setProxies(1, 0);
  gate.tick(distributed_quota::Contact::held, program::now());
  config::Tenant tenant;
  tenant.name = "t", tenant.rate = 10, tenant.burst = 10;
  std::vector<std::shared_ptr<ClientPresence>> clients;
  std::vector<std::optional<TokenGate::Admission>> admissions(2);
  for (std::size_t i = 0; i < 2; ++i) {
    clients.push_back(std::make_shared<ClientPresence>());
    asio::co_spawn(
        io,
        [&, i]() -> asio::awaitable<void> {
          admissions[i] = co_await gate.admit(tenant, 0.5, program::now() + 60000, clients[i]);
        },
        asio::detached);
  }
  io.poll();
  REQUIRE_FALSE(sent.empty());
  rpc::TokenResponse response;
  response.number = sent.back().number;
  response.grants.push_back({"t", 1, false, 0, 60000});
  SUBCASE("before the grant") {
    clients[0]->noteLeft(program::now());
    CHECK(comesWithin(io, kWellBeforeTokenTimeoutMs, [&] { return admissions[0].has_value(); }));
    CHECK_FALSE(admissions[1].has_value());
    gate.take(response);
  }
  SUBCASE("in the turn of the grant") {
    gate.take(response);
    clients[0]->noteLeft(program::now());
  }
  runUntil(io, [&] { return admissions[0].has_value() && admissions[1].has_value(); });
  CHECK_FALSE(admissions[0]->admitted);
  CHECK(admissions[1]->admitted);
  CHECK(admissions[1]->tokenEndsAt.has_value());
}

TEST_CASE("a connection that this side closes is no departure, its client's end is one") {
  asio::io_context io{1};
  Tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  Peer client(io, acceptor.local_endpoint().port());
  const auto connection =
      ClientConnection::create(acceptor.accept(), io, std::make_shared<Budget>(kMoreThanBuffersHold));
  connection->beginRequest();
  bool departed = false;
  SUBCASE("this side") { connection->close(); }
  SUBCASE("the client") {
    client.socket.close();
    departed = true;
  }
  runUntil(io, [&] { return !connection->isOpen(); });
  io.restart();
  io.poll();
  CHECK(connection->presence()->left() == departed);
}

// --- Decisions, without sockets ---
TEST_CASE("a departure is noted once, with the stage of its moment, and told to who asks later as well") {
  unsigned looks = 0;
  ClientPresence client([&] { ++looks; });
  client.enter(RequestStage::connecting);
  CHECK_FALSE(client.leftNow());
  unsigned told = 0;
  const std::stop_callback early(client.departure(), [&] { ++told; });
  client.noteLeft(5);
  client.enter(RequestStage::choosing);
  client.noteLeft(9);
  const std::stop_callback late(client.departure(), [&] { ++told; });
  CHECK(told == 2);
  CHECK(client.leftNow());
  CHECK(looks == 1);
  CHECK(client.leftAt() == 5);
  CHECK(client.stageAtDeparture() == RequestStage::connecting);
}

TEST_CASE(
    "an exchange that was broken off may have run as soon as a byte was handed over, and is not used again") {
  WorkerExchange unsent({"own", false, kMostBody});
  unsent.requestWritten(0, false);
  unsent.brokenOff();
  CHECK(unsent.outcome() == ExchangeOutcome::notSent);
  for (const bool whole : {false, true}) {
    WorkerExchange sent({"own", false, kMostBody});
    sent.requestWritten(10, whole);
    sent.brokenOff();
    CHECK(sent.outcome() == ExchangeOutcome::abandoned);
    CHECK_FALSE(certainlyNotRun(sent.outcome()));
    CHECK_FALSE(sent.connectionReusable());
  }
  RetryPolicy policy(true, 3);
  CHECK(policy.after(ExchangeOutcome::abandoned, 0, true) == NextStep::giveUpNoAnswer);
  CHECK(policy.mayHaveRun());
}

TEST_CASE("a worker that goes on with what was broken off counts as busy as before, and as no worse") {
  load_balancing::Core core({"z", "r"}, {{"z", "r"}}, 1, 1);
  rpc::Workers told;
  told.whole = true;
  told.put.push_back({"busy", "s", "a", "z", 1, false, 0});
  told.put.push_back({"free", "s", "b", "z", 1, false, 0});
  core.take(told, 0);
  load_balancing::Ask ask;
  ask.service = "s";
  for (int i = 0; i < 5; ++i) core.sent("busy", 0);
  for (int i = 0; i < 5; ++i) core.abandoned("busy", 0);
  CHECK(core.choose(ask, 0.0, 1).id == "free");
  CHECK(core.choose(ask, 0.9, 1).id == "free");
  core.load("busy", 0, 0, 2);  // it has dropped them, as it says
  CHECK(core.choose(ask, 0.0, 3).id != core.choose(ask, 0.9, 3).id);
  for (int i = 0; i < 100; ++i) {
    core.sent("free", 10);
    core.abandoned("free", 10);
    core.sent("busy", 10);
    core.abandoned("busy", 10);
  }
  CHECK_FALSE(core.choose(ask, 0.5, 11).id.empty());
  // What no report corrects is forgotten.
  CHECK(core.choose(ask, 0.0, 60000).id != core.choose(ask, 0.9, 60000).id);
}

TEST_CASE("a further try that no worker has seen goes back to the budget, and no more than it holds") {
  distributed_quota::TryBudget budget;
  budget.set(0, 10, 1);  // holds six
  CHECK(budget.take("s"));
  const double left = budget.left("s");
  budget.giveBack("s");
  CHECK(budget.left("s") == left + 1);
  for (int i = 0; i < 20; ++i) budget.giveBack("s");
  unsigned taken = 0;
  while (budget.take("s")) ++taken;
  CHECK(taken == 6);
}

TEST_CASE(
    "a token that let nothing in is in stock again, and what was let in and is held stays the same sum") {
  using distributed_quota::Admit;
  distributed_quota::TokenCache cache;
  cache.setProxies(1, 0);
  cache.setContact(distributed_quota::Contact::held, 0);
  REQUIRE(cache.admit("t", 10, 10, 0.5, 1) == Admit::wait);
  const rpc::TokenRequest asked = cache.request(1);
  cache.granted(asked.number, {"t", 2, false, 0}, 2);
  REQUIRE(cache.again("t", 10, false, 3) == Admit::yes);
  const std::optional<double> endsAt = cache.lastTokenEnds();
  REQUIRE(endsAt.has_value());
  const double held = cache.stock("t");
  const double sum = cache.usage(4).uses.at(0).used;
  cache.giveBack("t", *endsAt, 5);
  CHECK(cache.stock("t") == held + 1);
  CHECK(cache.usage(6).uses.at(0).used == sum);
  cache.giveBack("t", *endsAt, 7);  // none was let in: nothing to give back
  CHECK(cache.stock("t") == held + 1);
  cache.setContact(distributed_quota::Contact::lost, 8);
  REQUIRE(cache.admit("t", 10, 10, 0.5, 9) == Admit::yes);
  const double outOfTouch = cache.stock("t");
  cache.giveBack("t", *endsAt, 10);
  CHECK(cache.stock("t") == outOfTouch);
}

TEST_CASE("figures of departures name kind and stage, and how long workers went on") {
  DepartureFigures figures;
  figures.left(RequestKind::repeatable, RequestStage::atWorker);
  figures.workEnded(RequestKind::repeatable, 200);
  figures.workEnded(RequestKind::repeatable, 1500);
  const std::string text = figures.text();
  CHECK(text.find("burlwind_clients_left_total{kind=\"repeatable\",stage=\"at_worker\"} 1.0") !=
        std::string::npos);
  CHECK(text.find("burlwind_work_after_departure_seconds_sum{kind=\"repeatable\"} 1.7") != std::string::npos);
  CHECK(text.find("burlwind_long_work_after_departure_total{kind=\"repeatable\"} 1.0") != std::string::npos);
  CHECK(figures.longestWorkMs(RequestKind::repeatable) == 1500);
}

}  // namespace
}  // namespace burlwind::proxy
