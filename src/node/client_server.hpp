// The clients' side: the listener, client connections, readiness, and the writing of answers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/core.hpp"
#include "http/http.hpp"
#include "lifecycle/core.hpp"
#include "metrics/figures.hpp"
#include "node/budget.hpp"
#include "node/call.hpp"
#include "node/upload.hpp"
#include "readahead/core.hpp"

namespace burlwind {

struct Answer {
  http::status status = http::status::ok;
  std::string body;
  std::string contentType = "text/plain";
  irisring::Time retryAfter = 0;  // ms; 0: no advice
  std::vector<std::pair<std::string, std::string>> headers;
  metrics::Why why = metrics::Own::client;  // where it is no success
};

// The connection that a request came on, as its holder sees it.
class Asker {
 public:
  virtual ~Asker() = default;
  // The final answer, once for each request held.
  virtual void answer(Answer&& answer) = 0;
  // Or a long one, passed on while it comes: its beginning, what follows, and its end, which is visibly not
  // that of the whole where it breaks off. The first two say whether more is wanted now; else the holder is
  // told when there is room. `ahead`: beyond the window as far as the pool has room.
  virtual bool begin(Answer&& first, std::optional<std::uint64_t> length, std::size_t window, bool ahead) = 0;
  virtual bool more(std::string&& piece) = 0;
  virtual void finish() = 0;
  virtual void breakOff() = 0;
  virtual std::string from() const = 0;  // the client's address
};

// What takes the requests.
class Holder {
 public:
  virtual ~Holder() = default;
  // Whether a request that the client calls so is held.
  virtual bool holds(std::uint64_t clientsId) const = 0;
  virtual irisring::RequestId nextId() = 0;
  // The asker is answered once, maybe before this returns. A long body is an upload that goes on; of what it
  // is `whole` tells, with the time that the client then still waits.
  virtual void take(irisring::RequestId id, const Call& call, ClientMessage&& message,
                    const std::shared_ptr<Asker>& asker, const std::shared_ptr<Upload>& upload) = 0;
  virtual void whole(irisring::RequestId id, irisring::Time patience) = 0;
  // The asker wants more of its long answer.
  virtual void room(irisring::RequestId id) = 0;
  // The client has gone; no answer is wanted.
  virtual void left(irisring::RequestId id) = 0;
  // A proxy's question whether a request may go, answered at once; `from` is the address that asks.
  virtual bool isQuestion(std::string_view target) const = 0;
  virtual Answer question(const http::request_header<>& head, const std::string& from) = 0;
  // Where the fates of requests are counted.
  virtual metrics::Figures& figures() = 0;
};

class ClientServer {
 public:
  struct Limits {
    std::size_t connections = 480;
    admission::Settings admission;  // its connections and reserve follow from the number above and this share
    double reserveShare = 0.25;     // of the connections: so many that were served make no room for others
    double idleShare = 0.125;       // of the connections: so many may wait between requests, 8 at least
    std::chrono::milliseconds idleFor{8000};  // between requests
    // A request, from its first byte; the first one from the connection's begin. What is not whole by then is
    // owed an answer or an end within 3 s, unless its body goes on at 32 kB a second or more.
    std::chrono::milliseconds wholeWithin{2500};
    std::chrono::milliseconds writeWithin{10000};
    std::chrono::milliseconds lingerFor{400};
    std::size_t lingerBytes = 64 * 1024;
    // The same after an answer to a body that still comes (RFC 9112 section 9.6), while connections are kept.
    std::chrono::milliseconds unwantedFor{3000};
    std::size_t unwantedBytes = 4 * 1024 * 1024;
    std::size_t readAhead = 0;  // bytes of long answers, over all connections
  };

  ClientServer(boost::asio::io_context& io, const Config& config, const Limits& limits, Budget& budget,
               Holder& holder);
  ~ClientServer();
  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;

  void start();  // throws std::runtime_error if it cannot listen
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // What holds from here on: whether connections are accepted, kept and which of the idle are closed, and
  // whether requests are taken. Where it says to accept no more, what the machine has accepted already is
  // taken first, but not from a socket that is shared: what is there is the other process's too.
  void follow(const lifecycle::Conduct& conduct);
  // Called each time that no connection is left; not from within `follow`.
  void whenEmpty(std::function<void()> empty) { empty_ = std::move(empty); }

  // From here on so many connections at most, or as many as the limits say.
  void limit(std::size_t connections) { core_.limit(std::min(connections, limits_.connections)); }
  // From here on this part of what may be read ahead.
  void limitAhead(double part) {
    ahead_.setMost(static_cast<std::size_t>(part * static_cast<double>(limits_.readAhead)));
  }
  const readahead::Pool& ahead() const { return ahead_; }

  std::size_t connections() const { return connections_.size(); }
  const admission::Counts& admitted() const { return core_.counts(); }
  const admission::Settings& admission() const { return core_.settings(); }

 private:
  class Connection;
  using Standing = admission::Standing;
  using Clock = std::chrono::steady_clock;

  void accept();
  void acceptLater();
  void add(boost::asio::ip::tcp::socket socket);
  void turnAway(boost::asio::ip::tcp::socket& socket);
  void remove(admission::Id place);
  void close(admission::Id place);
  void tellCounts();
  void listen();
  void stopAccepting();
  void sweep(Clock::duration idleMost);
  template <class Do>
  void each(Do act);

  const Config& config_;
  const Limits limits_;
  Budget& budget_;
  readahead::Pool ahead_;
  Holder& holder_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  admission::Core core_;  // who may hold a connection
  std::unordered_map<admission::Id, std::shared_ptr<Connection>> connections_;
  admission::Id lastPlace_ = 0;
  int spareDescriptor_ = -1;  // given up to accept and end what comes when there are no others
  boost::asio::steady_timer tell_;
  bool telling_ = false;
  std::optional<boost::asio::ip::tcp::socket> waiting_;  // accepted, and no room yet
  boost::asio::steady_timer hold_;                       // how long that may last
  std::function<void()> empty_;
  bool started_ = false;
  bool accepting_ = false;  // an accept is pending
  lifecycle::Conduct conduct_;
};

}  // namespace burlwind
