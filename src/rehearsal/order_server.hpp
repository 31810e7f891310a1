// Order servers on loopback: one model each (server_model), and for each gatekeeper an address of its own, so
// that who sent is known from where it came. Speaks the platform's protocol to gatekeepers; all it decides is
// in the model, the meter and the scenario's faults.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rehearsal/ledger.hpp"
#include "rehearsal/server_model.hpp"
#include "rehearsal/world.hpp"

namespace burlwind::rehearsal {

// What the servers of one fleet share.
struct FleetState {
  explicit FleetState(const Scenario& scenario) : meter(scenario.fleet.meterPeriodMs) {}
  Meter meter;
  struct Seen {
    double at = 0;
  };
  std::map<std::pair<unsigned, std::string>, Seen> keys;  // by zone, of keyed requests that have begun
  std::size_t connections = 0;
};

class OrderServer {
 public:
  OrderServer(World& world, FleetState& fleet, unsigned index, double startedAt);
  ~OrderServer();
  OrderServer(const OrderServer&) = delete;
  OrderServer& operator=(const OrderServer&) = delete;

  void listen();  // throws SetupError
  std::string addressFor(unsigned gatekeeper) const;
  std::string id() const { return "s-" + std::to_string(index_); }
  unsigned index() const { return index_; }
  double startedAt() const { return startedAt_; }

  void crash();    // all connections are reset, new ones refused
  void restart();  // cold
  void drain();    // finishes what it has and turns new work away
  void leave();    // gone: nobody listens any more
  void cut(unsigned gatekeeper, bool silent);
  // The gatekeeper has ended the connection from this port, though its link may not say so yet.
  void senderEnded(unsigned gatekeeper, std::uint16_t port);
  void sample();  // a load report is taken
  void follow();  // takes up what the faults of the moment do to the machine

  ServerModel& model() { return model_; }

 private:
  class Connection;
  struct Listener;
  struct Report {
    double at = 0, util = 0, queue = 0;
  };

  void accept(unsigned gatekeeper);
  void take(const std::shared_ptr<Connection>& connection);
  void work(const std::shared_ptr<Connection>& connection, std::uint64_t id, Asked& asked);
  void pump();
  void finished(ServerModel::Job job);
  std::string reportNow();
  void state(const char* text);
  std::string headers(std::uint64_t customer, unsigned plan);

  World& world_;
  FleetState& fleet_;
  const unsigned index_;
  double startedAt_;
  ServerModel model_;
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::set<std::shared_ptr<Connection>> connections_;
  struct Held {
    std::weak_ptr<Connection> connection;
    std::uint64_t id = 0;
    bool effect = true;
  };
  std::map<ServerModel::Job, Held> jobs_;
  ServerModel::Job lastJob_ = 0;
  std::uint64_t lastConnection_ = 0;
  std::deque<Report> reports_;
  bool draining_ = false;
  std::uint64_t answers_ = 0;
};

}  // namespace burlwind::rehearsal
