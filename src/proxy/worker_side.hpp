// The proxy's connections to workers: one request and its whole answer at a time on each, kept between
// requests. What an answer says is told truthfully: whether the request has not run for certain, has been
// answered whole, or may have run.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "http/http.hpp"

namespace burlwind::proxy {

using Tcp = asio::ip::tcp;

enum class End {
  answer,       // whole, and this request's
  unreachable,  // no connection: nothing was sent
  notRun,       // turned away, and it says so
  elsewhere,    // 421: another worker has the address
  broken,       // sent, and no whole answer: may have run
  late          // sent, and the time is over: may have run
};

struct Answer {
  End end = End::unreachable;
  http::response<http::string_body> response;
  bool full = false;  // of notRun: 503
  double took = 0;    // ms from sending
  bool reused = false;
};

struct Outgoing {
  std::string id;  // of the worker
  std::string address;
  std::string text;  // the whole request
  std::string tryId;
  bool head = false;                                // an answer to HEAD has no body
  bool once = false;                                // it may run once only: see kAvoidIdleFor
  double connectWithin = 400, answerWithin = 1000;  // ms
  std::uint64_t mostAnswer = kMostBody;             // bytes of its body
};

class WorkerSide {
 public:
  explicit WorkerSide(asio::io_context& io) : io_(io) {}
  asio::awaitable<Answer> exchange(Outgoing out);
  void forget(const std::string& id);  // closes what is kept open to it
  void sweep(double now);              // closes what has waited too long
  std::size_t opened() const { return opened_; }
  std::size_t kept() const;

 private:
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io), timer(io) {}
    Tcp::socket socket;
    asio::steady_timer timer;
    beast::flat_buffer in;
    double idleSince = 0, keepFor = 4000;
    bool overdue = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  ConnectionPtr kept(const std::string& id);
  asio::awaitable<ConnectionPtr> connect(const std::string& address, double within);
  static void within(const ConnectionPtr& c, double ms);
  asio::io_context& io_;
  std::unordered_map<std::string, std::deque<ConnectionPtr>> idle_;
  std::size_t opened_ = 0;
  double avoidIdleUntil_ = -1e18;
};

}  // namespace burlwind::proxy
