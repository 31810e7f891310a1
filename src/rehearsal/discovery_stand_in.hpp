// Discovery as each gatekeeper's own agent shows it: the list, a watch that tells changes late, silence while
// it is down, and a move to another address on a reload. The trace's `told` is when it wrote to the
// gatekeeper.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rehearsal/world.hpp"

namespace burlwind::rehearsal {

struct Listing {
  unsigned server = 0;
  std::string id, address, zone;
  std::string state;      // ready, draining, gone
  double startedAt = -1;  // ms of the run; below 0: long ago
};

class DiscoveryAgent {
 public:
  DiscoveryAgent(World& world, unsigned gatekeeper);
  ~DiscoveryAgent();
  DiscoveryAgent(const DiscoveryAgent&) = delete;
  DiscoveryAgent& operator=(const DiscoveryAgent&) = delete;

  void listen();  // throws SetupError; each call takes a new address, the old one ends after a while
  std::string address() const;
  void change(const Listing& listing, double delayMs);  // told so much later, or when it is up again
  void setDown(bool down);

 private:
  class Watcher;
  void accept();
  void apply(const Listing& listing);
  void flush();
  std::string object(const std::vector<Listing>& list, bool whole) const;
  void traceTold(const std::vector<Listing>& list);

  World& world_;
  const unsigned gatekeeper_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::set<std::shared_ptr<Watcher>> watchers_;
  std::map<unsigned, Listing> list_;
  std::vector<Listing> untold_;
  long generation_ = 0;
  bool down_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burlwind::rehearsal
