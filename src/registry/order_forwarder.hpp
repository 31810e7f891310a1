// Passes orders and reads on to the config store that leads, and waits for its answer.
//
// A call that was not judged (the link has ended, the store leads no more) goes to the next leader for a
// short while. That is safe: a configuration is known again by number and digest, an evacuation is
// idempotent, and each repeat bears the index that was known when the call came, so that it can't undo what
// was ordered since. Each question has a number of its own, never used again by this process: an answer that
// comes late, for a question that is given up, finds nobody.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "registry/dialer_set.hpp"
#include "registry/leader_tracker.hpp"
#include "rpc/messages.hpp"

namespace burlwind::registry {

// As HTTP has it; 503: no clear answer, the caller can't know what has become of it.
struct LeaderAnswer {
  int status = 0;
  std::string text;
};

class OrderForwarder {
 public:
  OrderForwarder(asio::io_context& io, const DialerSet& stores, const LeaderTracker& tracker)
      : io_(io), stores_(stores), tracker_(tracker) {}

  // `what`, `body`: as in rpc::CommandRequest.
  asio::awaitable<LeaderAnswer> order(std::string what, std::string body);
  // The configuration in force, as the operator sent it; empty before the first.
  asio::awaitable<LeaderAnswer> read();

  void answered(const rpc::CommandResponse& response);
  void lost(const std::string& store);  // its link has ended: what waits for it has no clear answer
  // The same for all that are under way, also those that were not sent yet: they never will be.
  void dropAll(const char* why);

 private:
  struct Waiting {
    explicit Waiting(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::string store;
    LeaderAnswer answer;
    bool judged = false;  // by the leader; else the call may go on to another store
  };
  using MakeFrame = std::function<std::string(std::uint64_t number)>;
  asio::awaitable<LeaderAnswer> ask(MakeFrame make);
  static void finish(Waiting& waiting, int status, const std::string& text);

  asio::io_context& io_;
  const DialerSet& stores_;
  const LeaderTracker& tracker_;
  std::map<std::uint64_t, std::shared_ptr<Waiting>> waiting_;  // by number
  std::set<asio::steady_timer*> pauses_;                       // of calls that wait for a leader
  std::uint64_t number_ = 0, drops_ = 0;
};

}  // namespace burlwind::registry
