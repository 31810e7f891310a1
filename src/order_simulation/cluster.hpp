// The core of a site in virtual time: on each machine a store (the running config_store::Service with a disk)
// and a registry (the running LeaderTracker and DutyLease, and the forwarding of calls). No I/O; everything
// is drawn from one seed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "config_store/service.hpp"
#include "order_simulation/event_queue.hpp"
#include "order_simulation/history.hpp"
#include "order_simulation/network.hpp"
#include "order_simulation/process.hpp"
#include "registry/duty_lease.hpp"
#include "registry/leader_tracker.hpp"

namespace burlwind::order_simulation {

class Cluster;

// A registry's link to a store.
struct Connection {
  config_store::ReaderId id = 0;
  unsigned registry = 0;
  unsigned store = 0;
  std::shared_ptr<Pipe> toStore;
  std::shared_ptr<Pipe> toRegistry;
};

class StoreNode {
 public:
  StoreNode(Cluster& cluster, unsigned machine, consensus::PersistentState disk);
  void start();
  void kill();
  void wipe();  // killed before; it comes back as another replica
  void setWriteTime(double ms) { writeTime_ = ms; }
  void fromStore(const consensus::Message& message);
  void joinRequested(const rpc::Member& member);
  void greeted(config_store::ReaderId reader);
  void fromReader(config_store::ReaderId reader, const config_store::ReaderRequest& request);
  void readerEnded(config_store::ReaderId reader);
  const config_store::Service* service() const { return service_ ? &*service_ : nullptr; }
  const consensus::PersistentState& disk() const { return disk_; }
  Process process;

 private:
  void tickLater();
  void carryOut(std::shared_ptr<const config_store::Effects> effects, std::size_t from);
  void carryOut(config_store::Effects effects);
  void carryOutOne(const config_store::Effect& effect);
  Cluster& cluster_;
  const unsigned machine_;
  consensus::PersistentState disk_;
  std::optional<config_store::Service> service_;
  double writeTime_ = 2;
  double joinAt_ = 0;
};

struct CallAnswer {
  int status = 0;
  std::string text;
};

class RegistryNode {
 public:
  using Reply = std::function<void(const CallAnswer&)>;
  RegistryNode(Cluster& cluster, unsigned machine);
  void start();
  void kill();
  // A call of an operator that reaches the process now. `what`: as in CommandRequest, or "read".
  void call(const std::string& what, const std::string& body, const Reply& reply);
  void linked(unsigned store, const std::shared_ptr<Connection>& connection);
  bool isLinked(unsigned store) const { return links_.contains(store); }
  void lost(const std::shared_ptr<Connection>& connection);
  void fromStore(unsigned store, const config_store::ReaderMessage& message);
  bool holdsDuties() const;
  std::uint64_t heldIndex() const { return tracker_ ? tracker_->update().index : 0; }  // 0: no state
  Process process;

 private:
  struct Call {
    std::string what;
    std::string body;
    std::uint64_t knownIndex = 0;
    double until = 0;
    Reply reply;
  };
  struct Waiting {
    unsigned store = 0;
    Call call;
  };
  void tickLater();
  void detectStall();
  void forward(const Call& call);
  void retry(const Call& call);
  void askLeader();
  void askLease();
  void take(unsigned store, const rpc::LeaderConfirmation& confirmation);
  void answered(const rpc::CommandResponse& response);
  void send(unsigned store, const config_store::ReaderRequest& request);
  Cluster& cluster_;
  const unsigned machine_;
  std::optional<registry::LeaderTracker> tracker_;
  std::optional<registry::DutyLease> lease_;
  std::map<unsigned, std::shared_ptr<Connection>> links_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::map<std::uint64_t, History::Snapshot> asked_;  // by the number of the question
  std::uint64_t number_ = 0;
  double lastInput_ = 0;
};

class Cluster {
 public:
  Cluster(unsigned machines, std::uint64_t seed);
  unsigned size() const { return static_cast<unsigned>(stores.size()); }
  void run(double ms) { events.runUntil(events.now() + ms); }
  std::string address(unsigned machine) const { return "10.0.0." + std::to_string(machine); }
  unsigned machineOf(const std::string& ip) const;
  double draw(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random);
  }
  unsigned pick(unsigned below) { return static_cast<unsigned>(draw(0, below)); }
  bool chance(double share) { return draw(0, 1) < share; }
  std::optional<unsigned> leader() const;

  void sendBetweenStores(unsigned from, consensus::Id to, const consensus::Message& message);
  void sendJoin(unsigned from, const rpc::Member& member);
  void resetStoreLinks(unsigned machine);
  void dial(unsigned registry, unsigned store);
  void sendToReader(config_store::ReaderId reader, const config_store::ReaderMessage& message);
  // The store's end is closed: what it has sent still arrives, and the end of it after that.
  void close(config_store::ReaderId reader);
  void closeAllOfStore(unsigned machine);
  void closeAllOfRegistry(unsigned machine);
  void checkHolders();

  std::mt19937_64 random;
  EventQueue events;
  Network network;
  History history;
  std::vector<std::unique_ptr<StoreNode>> stores;
  std::vector<std::unique_ptr<RegistryNode>> registries;

 private:
  void breakOff(const std::shared_ptr<Connection>& connection);
  void sendToStore(unsigned from, unsigned to, std::function<void(StoreNode&)> input);
  std::map<std::pair<unsigned, unsigned>, std::shared_ptr<Pipe>> storePipes_;
  std::map<config_store::ReaderId, std::shared_ptr<Connection>> connections_;
  config_store::ReaderId lastReader_ = 0;
};

}  // namespace burlwind::order_simulation
