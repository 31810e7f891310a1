// The connection between an old and a new process of one gatekeeper: a Unix socket in a folder that only they
// see. The new one asks, the old one hands over, the new one confirms; from then on the connection is the
// lease, over which the old one tells the ends of attempts that were out. Whatever breaks, each side goes on
// by itself.
//
// It trusts processes of its own user alone (SO_PEERCRED), on a socket that no other may open. Memory: one
// frame while a take-over lasts. Descriptors: two.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "handover/core.hpp"
#include "snapshot/frame.hpp"

namespace burlwind::handover {

using snapshot::Snapshot;

class Link {
 public:
  struct Host {
    std::function<void()> serve;                  // begin to accept
    std::function<void()> yield;                  // take nothing more
    std::function<void()> beat;                   // before anything is read: it may be the first after a stop
    std::function<void()> resume;                 // accept again
    std::function<Snapshot()> give;               // hand over, and accept no more
    std::function<bool(Snapshot&&)> take;         // false, and nothing changed, if it does not fit
    std::function<void(std::uint64_t)> ended;     // an attempt for this customer, out at the other process
    std::function<void(double)> part;             // of what the gatekeeper may do, from now on
    std::function<void(const std::string&)> log;  // one line
  };
  struct Limits {
    std::chrono::milliseconds answer{1000};   // the old process hands over
    std::chrono::milliseconds confirm{1000};  // the new one takes it up
    std::chrono::milliseconds overlap{5000};  // two processes may be there without knowing of one another
  };

  // `path`: of the socket. Errors of any kind are a log line and a start without the other's state.
  Link(boost::asio::io_context& io, std::string path, const Limits& limits, Host host);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Looks for a process that serves; `serve` is called once, maybe before this returns.
  void start();
  // This process was stopped for so long: whoever asked meanwhile has gone on without it.
  void woke(std::chrono::milliseconds gap);
  // An attempt that was out when this process handed over has ended.
  void tellEnded(std::uint64_t customer);
  State state() const { return core_.state(); }

 private:
  class Lease;
  void follow(Event event);
  void give();
  void listen();
  void accept();
  void tooLate(int peer);
  void taken(std::string&& frame);

  boost::asio::io_context& io_;
  const std::string path_;
  const Limits limits_;
  const Host host_;
  Core core_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  std::chrono::steady_clock::time_point
      staleUntil_{};                             // what is accepted until then asked while it was stopped
  boost::asio::posix::stream_descriptor other_;  // the process that has gone on: readable when it is gone
  std::shared_ptr<Lease> lease_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // handlers that have fired run on
};

// The socket's path in `folder`, for a gatekeeper of this name; empty if it would be too long for one.
std::string pathIn(const std::string& folder, const std::string& name);

}  // namespace burlwind::handover
