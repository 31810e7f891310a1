// Connections to workers: one attempt at a time on each, its outcome, and what stands idle between attempts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/http.hpp"
#include "irisring/decide.hpp"
#include "node/budget.hpp"
#include "node/upload.hpp"

namespace burlwind {

// How an attempt ended, and the answer if it was served.
struct AttemptEnd {
  irisring::Outcome outcome;
  std::string body;
  std::string contentType;
  bool passed = false;  // its answer has begun to be passed on: what comes here is that answer's end
};

// The beginning of a long answer, which is passed on while it comes.
struct LongAnswer {
  irisring::RequestId id = 0;
  std::string first;
  std::string contentType;
  std::optional<std::uint64_t> length;  // of the whole, if it is told
  std::size_t window = 0;               // bytes that its client may be behind
};

// What an attempt writes. The body is the same for all attempts of a request; a long one is an upload, whose
// beginning is still there.
struct Message {
  std::string head;
  std::shared_ptr<const std::string> body;
  std::shared_ptr<Upload> upload = {};
};

class WorkerPool {
 public:
  struct Limits {
    std::chrono::milliseconds connectTimeout{250};
    std::chrono::milliseconds idleFor{24000};  // shorter than a worker keeps an idle connection
    // Of an answer that has begun, without a further byte. Longer: a client waits in vain for one that does
    // not go on; shorter: one that a worker makes bit by bit is given up.
    std::chrono::milliseconds answerWithin{600};
    // The same of an answer that is passed on already, and of a worker that takes no more of a body: it
    // cannot be had elsewhere.
    std::chrono::milliseconds passWithin{10000};
    std::size_t total = 480;  // connections to all workers
    std::size_t idlePerWorker = 64;
  };
  struct Place {
    boost::asio::ip::tcp::endpoint address;
    double startedAtMs = 0;  // Unix time of the worker's last start; 0: long ago
  };
  struct Events {
    std::function<void(AttemptEnd&&)> ended;
    std::function<void()> written;  // an attempt's last byte has been handed over
    // Both say whether more is wanted now; else `resume` asks for it.
    std::function<bool(LongAnswer&&)> begun;
    std::function<bool(irisring::RequestId, std::string&&)> more;
  };

  WorkerPool(boost::asio::io_context& io, const Limits& limits, Budget& budget,
             std::vector<std::string> reportFields, Events events);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Where a worker is. Connections to an earlier address or process are dropped.
  void place(irisring::WorkerId worker, const Place& place);
  // Nothing new goes there; its idle connections are closed and it is forgotten. Attempts under way go on.
  void retire(irisring::WorkerId worker);

  // Starts one attempt. `ended` is called once for it, never from within this call.
  void start(irisring::RequestId id, unsigned attempt, irisring::WorkerId worker, Message message,
             std::optional<std::chrono::steady_clock::duration> timeout);
  // Gives the attempt of this request up and closes its connection; `ended` is not called for it.
  std::optional<AttemptEnd> giveUp(irisring::RequestId id, irisring::Result result);
  void closeAllIdle();
  // From here on so many connections at most, or as many as the limits say.
  void limit(std::size_t total) { most_ = std::min(total, limits_.total); }
  // There is room again for more of this request's long answer.
  void resume(irisring::RequestId id);

  std::size_t connections() const { return total_; }
  std::size_t workers() const { return workers_.size(); }

 private:
  class Connection;
  using Shared = std::shared_ptr<Connection>;
  struct Worker {
    Place place;
    std::vector<Shared> idle;  // the most recent last
  };

  void endLost(irisring::WorkerId id, const Place& place);
  Shared takeIdle(Worker& worker);
  bool makeRoom();
  void report(AttemptEnd end);
  void finish(Connection& connection, AttemptEnd&& end);
  void keep(const Shared& connection);
  void drop(Connection& connection);
  void closeIdle(Worker& worker);

  boost::asio::io_context& io_;
  const Limits limits_;
  Budget& budget_;
  const std::vector<std::string> reportFields_;
  const Events events_;
  std::unordered_map<irisring::WorkerId, Worker> workers_;  // those that may be sent to
  std::unordered_map<irisring::RequestId, Shared> busy_;
  std::size_t total_ = 0;
  std::size_t most_ = limits_.total;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burlwind
