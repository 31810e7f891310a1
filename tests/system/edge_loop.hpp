// A proxy's path from client to worker in one loop, on loopback sockets: clients' side, forwarding and
// workers that the test plays. Paths that begin with /once are routed once only, all others may be repeated.
#pragma once

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/connection_end.hpp"
#include "loop_peer.hpp"
#include "program/start.hpp"
#include "proxy/client_server.hpp"
#include "proxy/forwarder.hpp"

namespace burlwind::proxy {

using loop::Peer;
using loop::runUntil;

constexpr std::size_t kMostHeard = 64 * 1024 * 1024;  // on one connection, by a test
constexpr double kToldWithinMs = 500;  // that a worker may be at work for a client that has left

// Runs the loop until `done`, for no longer than withinMs; false: it did not come.
template <class Done>
bool comesWithin(asio::io_context& io, double withinMs, Done done) {
  bool late = false;
  asio::steady_timer bound(io, std::chrono::microseconds(static_cast<long>(withinMs * 1000)));
  bound.async_wait([&](const Error& cancelled) { late = !cancelled; });
  runUntil(io, [&] { return late || done(); });
  bound.cancel();
  // What is due in the turn of the bound has come in time; the timer's own handler leaves the loop.
  io.restart();
  io.poll();
  return done();
}

class WorkerStandIn {
 public:
  // receiveBuffer: bytes that the system takes for it unread; 0: the system's default.
  WorkerStandIn(asio::io_context& io, std::string id, int receiveBuffer)
      : io_(io), id_(std::move(id)), acceptor_(io, Tcp::v4()) {
    if (receiveBuffer > 0) acceptor_.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
    acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen();
    accept();
  }
  rpc::Worker entry() const {
    return {id_, "s", "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()), "z", 4, false, 0};
  }
  std::deque<std::unique_ptr<Peer>> connections;  // in the order in which they came

 private:
  void accept() {
    next_ = std::make_unique<Peer>(io_);
    acceptor_.async_accept(next_->socket, [this](const Error& error) {
      if (error) return;
      connections.push_back(std::move(next_));
      accept();
    });
  }
  asio::io_context& io_;
  const std::string id_;
  Tcp::acceptor acceptor_;
  std::unique_ptr<Peer> next_;
};

class EdgeLoop {
 public:
  explicit EdgeLoop(unsigned workerCount = 1, int workersReceiveBuffer = 0) {
    rpc::Workers told;
    told.whole = true;
    for (unsigned i = 0; i < workerCount; ++i) {
      workers.push_back(std::make_unique<WorkerStandIn>(io, "w" + std::to_string(i), workersReceiveBuffer));
      told.put.push_back(workers[i]->entry());
    }
    balancer.take(told, 0);
    forwarder.setBudget(1, 1000, 1);
    repeatable.safe = true, repeatable.tries = 3;
    onceOnly.safe = false, onceOnly.tries = 3;
    limits.idle = limits.headerRead = 60000;
    limits.body = 32 * 1024 * 1024;
    if (server.listen("127.0.0.1", 0)) throw std::runtime_error("no port");
  }
  static std::string request(const std::string& path, const std::string& body = {}) {
    return "POST " + path + " HTTP/1.1\r\nHost: c\r\nTry-Id: " + path +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  static std::string answer(const std::string& path, const std::string& body = "yarn") {
    return "HTTP/1.1 200 OK\r\nTry-Id: " + path +
           "\r\nServer-Seal: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::unique_ptr<Peer> client() { return std::make_unique<Peer>(io, server.port()); }
  // Connections that have come to workers so far.
  std::size_t reached() const {
    std::size_t sum = 0;
    for (const auto& worker : workers) sum += worker->connections.size();
    return sum;
  }
  // The newest connection that a worker gets, once it has come.
  Peer& nextWorkerConnection() {
    const std::size_t before = taken_;
    runUntil(io, [&] { return reached() > before; });
    ++taken_;
    for (const auto& worker : workers)
      for (const auto& connection : worker->connections)
        if (std::find(known_.begin(), known_.end(), connection.get()) == known_.end()) {
          known_.push_back(connection.get());
          return *connection;
        }
    throw std::logic_error("no connection is new");
  }
  // Sends a request on a new connection, and waits until its worker has read its head.
  std::pair<std::unique_ptr<Peer>, Peer*> atWorker(const std::string& path) {
    auto peer = client();
    peer->say(request(path));
    Peer& worker = nextWorkerConnection();
    worker.hearsHead();
    return {std::move(peer), &worker};
  }
  // Whether the worker's connection ends in time; what came on it before is in `heard`.
  bool workerIsTold(Peer& worker, std::string* heard = nullptr) {
    std::string text(kMostHeard, '\0');
    bool ended = false;
    std::size_t size = 0;
    asio::async_read(worker.socket, asio::buffer(text), [&](const Error& error, std::size_t read) {
      ended = static_cast<bool>(error);
      size = read;
    });
    const bool told = comesWithin(io, kToldWithinMs, [&] { return ended; });
    if (!told) {
      worker.socket.cancel();
      runUntil(io, [&] { return ended; });
    }
    if (heard) *heard = text.substr(0, size);
    return told;
  }
  // Whether all requests that have begun come to their ends, connections with them.
  bool allEnd() {
    return comesWithin(io, kToldWithinMs, [&] { return server.empty(); });
  }

  asio::io_context io{1};
  config::ClientLimits limits;
  config::Route repeatable, onceOnly;
  std::vector<std::unique_ptr<WorkerStandIn>> workers;
  std::vector<std::string> handled;  // paths
  load_balancing::Core balancer{{"z", "r"}, {{"z", "r"}}, 1, 1};
  std::shared_ptr<DepartureFigures> departures = std::make_shared<DepartureFigures>();
  std::shared_ptr<Budget> bytes = std::make_shared<Budget>(64 * 1024 * 1024);
  std::shared_ptr<AnswerFigures> answerFigures = std::make_shared<AnswerFigures>();
  static constexpr std::size_t answerBudgetBytes = 32 * 1024 * 1024;
  std::shared_ptr<AnswerBudget> answerBudget =
      std::make_shared<AnswerBudget>(AnswerBudget::Limits{1024, answerBudgetBytes / 2});
  Forwarder forwarder{io, balancer, departures, answerFigures, answerBudget, [] { return 0.0; }};
  double timeLeftMs = 60000;
  ClientServer server{io,
                      bytes,
                      departures,
                      answerFigures,
                      [this] { return limits; },
                      [this](ClientRequest& request) { return handle(request); }};

 private:
  asio::awaitable<void> handle(ClientRequest& request) {
    handled.emplace_back(view(request.message.target()));
    request.route = handled.back().starts_with("/once") ? &onceOnly : &repeatable;
    request.service = "s";
    request.until = request.arrivedAt + timeLeftMs;
    co_await forwarder.forward(request);
  }
  std::size_t taken_ = 0;
  std::vector<const Peer*> known_;
};

// --- Ways to leave ---
inline void closes(std::unique_ptr<Peer>& client) { client.reset(); }
inline void resets(std::unique_ptr<Peer>& client) {
  client->reset();
  client.reset();
}
inline void shutsSending(const std::unique_ptr<Peer>& client) {
  client->socket.shutdown(Tcp::socket::shutdown_send);
}

}  // namespace burlwind::proxy
