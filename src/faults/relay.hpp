// A relay for one link between two processes on loopback: whoever dials it reaches the target through it, and
// each direction is as its condition says at that moment (shape.hpp). Needs no privilege. What it saw of a
// connection stays known while that is open, so that a judge can tell when a byte was sent from when it came.
//
// A cut is silence: open connections stay open, new ones never come up, since the listening queue is kept
// full and the kernel drops what would open one. One loop, no threads. Cost: two descriptors a connection;
// memory at most kMost bytes for each direction of it, beyond which the sender is not read.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "faults/shape.hpp"

namespace burlwind::faults {

enum class Direction : std::uint8_t { out, back };  // from who dials to who listens, and the other way

class Relay {
 public:
  static constexpr std::size_t kMost = 256 * 1024;

  // ms on the clock that the owner's histories use.
  using Clock = std::function<double()>;

  // What became of one connection; told as it happens. `port` is the relay's own towards the target, by which
  // the target knows the connection.
  enum class What : std::uint8_t { opened, nearEnded, farEnded, farRefused };
  using Tell = std::function<void(What, std::uint16_t port)>;

  // Listens at a free port of `host`. Throws boost::system::system_error where it cannot.
  Relay(boost::asio::io_context& io, const boost::asio::ip::address& host,
        boost::asio::ip::tcp::endpoint target, std::uint64_t seed, Clock clock, Tell tell = {});
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return address_; }
  void retarget(boost::asio::ip::tcp::endpoint target) { target_ = std::move(target); }  // for new ones
  void set(Direction direction, const Condition& condition);
  void set(const Condition& condition);  // both
  const Condition& condition(Direction direction) const;

  std::size_t connections() const { return passages_.size(); }
  std::uint64_t opened() const { return opened_; }     // since it listens
  std::uint64_t delivered(Direction direction) const;  // bytes, since it listens
  std::size_t waiting(Direction direction) const;      // bytes held back now
  // When the first byte of what is being said now entered: the first one since the target last spoke. Below 0
  // where there is no such connection.
  double saidSince(std::uint16_t port) const;

 private:
  class Passage;
  struct Side {
    Condition condition;
    std::uint64_t delivered = 0;
  };
  Side& side(Direction direction) { return sides_[static_cast<std::size_t>(direction)]; }
  const Side& side(Direction direction) const { return sides_[static_cast<std::size_t>(direction)]; }
  void listen();
  void accept();
  void fill();
  void settle();  // makes the listening socket what the conditions want

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_, target_;
  const std::uint64_t seed_;
  const Clock clock_;
  const Tell tell_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<boost::asio::ip::tcp::socket> fillers_;  // keep the queue full while it is silent
  std::vector<std::uint16_t> fillerPorts_;             // their own, to be known when they are accepted
  std::set<std::shared_ptr<Passage>> passages_;
  Side sides_[2];
  std::uint64_t opened_ = 0;
  bool accepting_ = false, silent_ = false;
};

}  // namespace burlwind::faults
