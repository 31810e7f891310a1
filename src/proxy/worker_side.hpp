// The proxy's connections to workers: opens, keeps and closes them, and moves the bytes of one request and
// its answer at a time on each. What the bytes mean is decided in worker_exchange.hpp.
//
// Where the client leaves: nothing is sent for it from then on. A connection that is being opened is given
// up; a request that may be repeated, or that is not yet with the worker whole, is broken off, and its
// connection is closed so that no byte still queued arrives ahead of the end. One that may run once only and
// is with its worker is left to run; its answer is read and the connection kept.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <utility>

#include "program/deadline.hpp"
#include "proxy/answer_budget.hpp"
#include "proxy/client_presence.hpp"
#include "proxy/idle_connections.hpp"
#include "proxy/worker_exchange.hpp"

namespace burlwind::proxy {

using Tcp = asio::ip::tcp;

struct ExchangeResult {
  ExchangeOutcome outcome = ExchangeOutcome::notSent;
  WorkerExchange::Response response;           // of answered, notRun and wrongServer
  double elapsedMs = 0;                        // from sending
  unsigned skippedAnswers = 0;                 // that nobody had asked for on its connection
  std::shared_ptr<AnswerBudget::Share> share;  // of the response
};

struct WorkerCall {
  std::string worker;  // its id
  std::string address;
  std::string head;         // of the request
  asio::const_buffer body;  // outlives the call
  std::shared_ptr<AnswerBudget::Share> share;
  WorkerExchange::Request request;
  bool runsOnce = false;       // it must not be sent again once it may have run: see kAvoidIdleForMs
  double withinMs = 1000;      // in all, connecting included
  double connectWithin = 400;  // ms
  std::shared_ptr<ClientPresence> client;
};

class WorkerSide {
 public:
  WorkerSide(asio::io_context& io, std::shared_ptr<AnswerFigures> figures)
      : io_(io), figures_(std::move(figures)) {}
  asio::awaitable<ExchangeResult> exchange(WorkerCall call);
  void forget(const std::string& worker) { idle_.forget(worker); }  // closes what is kept open to it
  void sweep(double now);  // closes what has waited too long, and idle ones on which anything has come

 private:
  enum class EndedBy { peer, deadline, departure };
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io), deadline(io), room(io) {}
    void breakOff(EndedBy why);
    Tcp::socket socket;
    program::Deadline deadline;
    asio::steady_timer room;  // cancelled where there may be room for more of an answer
    std::size_t systemBytes = kAnswerReceiveBuffer;  // that may have arrived unread
    EndedBy endedBy = EndedBy::peer;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  ConnectionPtr takeIdle(const WorkerCall& call);
  asio::awaitable<ConnectionPtr> connect(const WorkerCall& call, double withinMs);
  asio::awaitable<void> transfer(ConnectionPtr connection, const WorkerCall& call, WorkerExchange& exchange,
                                 double withinMs);
  // Waits until the exchange may go on; where it may not, it is finished.
  static asio::awaitable<void> awaitRoom(ConnectionPtr connection, WorkerExchange& exchange,
                                         std::shared_ptr<AnswerBudget::Share> share);
  static bool takeRoom(Connection& connection, WorkerExchange& exchange, AnswerBudget::Share& share);
  static void noteOwnEnd(const Connection& connection, WorkerExchange& exchange);
  void keepOrClose(const ConnectionPtr& connection, const std::string& worker,
                   const WorkerExchange& exchange);
  static void closeAfter(const ConnectionPtr& connection, double ms);

  asio::io_context& io_;
  const std::shared_ptr<AnswerFigures> figures_;
  IdleConnections<ConnectionPtr> idle_;
  double avoidIdleUntil_ = -1e18;
  double lookedAt_ = -1e18;  // at what has come on idle connections
};

}  // namespace burlwind::proxy
