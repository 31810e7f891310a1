// A checker of forward authentication, as a gatekeeper asks one (nginx auth_request: 2xx allows, 401 denies).
// It knows a customer's token and denies all else; faults make it late, take it down or let it change its
// mind. The trace's `check` is each question it answered. One thread.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <string>

#include "rehearsal/platform.hpp"
#include "rehearsal/world.hpp"

namespace burlwind::rehearsal {

// The Authorization of a request: the customer's own, or one of several that prove nothing.
std::string tokenOf(const Customer& customer);
std::string badCredentials(std::uint64_t number);  // header lines, maybe none

class CheckerStandIn {
 public:
  CheckerStandIn(World& world, unsigned index);
  ~CheckerStandIn();
  CheckerStandIn(const CheckerStandIn&) = delete;
  CheckerStandIn& operator=(const CheckerStandIn&) = delete;

  void listen();  // throws SetupError; the same address each time
  std::string address() const;
  void setDown(bool down);  // connections are reset and new ones refused

 private:
  class Connection;
  void accept();

  World& world_;
  const unsigned index_;
  boost::asio::ip::tcp::endpoint at_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::uint64_t asked_ = 0;
  unsigned out_ = 0;  // asked and not answered
};

}  // namespace burlwind::rehearsal
