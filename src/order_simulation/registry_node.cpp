#include <algorithm>

#include "order_simulation/cluster.hpp"

namespace burlwind::order_simulation {
namespace {

constexpr double kTick = 100;
constexpr double kProcessStallThreshold = 1000;
constexpr double kLeaderWithin = 700;  // as in registry/order_forwarder.cpp
constexpr double kOrderWithin = 3000;
constexpr double kRetryPause = 50;
constexpr double kPlatformMs = 1;
constexpr int kNoClearAnswer = 503;

std::uint64_t versionOf(const std::string& configuration) {
  if (configuration.empty()) return 0;
  const auto read = config::readConfiguration(configuration);
  return read.configuration ? read.configuration->version : 0;
}

}  // namespace

RegistryNode::RegistryNode(Cluster& cluster, unsigned machine) : cluster_(cluster), machine_(machine) {}

void RegistryNode::start() {
  process.start();
  tracker_.emplace();
  lease_.emplace(cluster_.address(machine_), cluster_.random() | 1);
  lastInput_ = cluster_.events.now();
  tickLater();
}

void RegistryNode::kill() {
  process.kill();
  tracker_.reset();
  lease_.reset();
  links_.clear();
  waiting_.clear();
  asked_.clear();
  cluster_.closeAllOfRegistry(machine_);
}

bool RegistryNode::holdsDuties() const { return lease_ && lease_->holds(cluster_.events.now()); }

void RegistryNode::tickLater() {
  cluster_.events.after(kTick, [this, incarnation = process.incarnation()] {
    if (process.incarnation() != incarnation) return;
    tickLater();
    if (!process.awake()) return;
    detectStall();
    for (unsigned store = 0; store < cluster_.size(); ++store) cluster_.dial(machine_, store);
    askLeader();
    askLease();
  });
}

// As the registry does after a stop: nothing of the calls that came before it is acted on.
void RegistryNode::detectStall() {
  const double now = cluster_.events.now();
  if (now - lastInput_ > kProcessStallThreshold) waiting_.clear();
  lastInput_ = now;
}

void RegistryNode::linked(unsigned store, const std::shared_ptr<Connection>& connection) {
  links_[store] = connection;
  tracker_->linked(cluster_.address(store));
}

void RegistryNode::lost(const std::shared_ptr<Connection>& connection) {
  const unsigned store = connection->store;
  const auto link = links_.find(store);
  if (link == links_.end() || link->second != connection) return;
  links_.erase(link);
  tracker_->lost(cluster_.address(store));
  std::vector<Call> calls;
  std::erase_if(waiting_, [&](const auto& entry) {
    if (entry.second.store != store) return false;
    calls.push_back(entry.second.call);
    return true;
  });
  for (const Call& call : calls) retry(call);
}

void RegistryNode::send(unsigned store, const config_store::ReaderRequest& request) {
  const auto link = links_.find(store);
  if (link == links_.end()) return;
  link->second->toStore->send([&cluster = cluster_, store, id = link->second->id, request] {
    cluster.stores[store]->process.deliver(
        [&cluster, store, id, request] { cluster.stores[store]->fromReader(id, request); });
  });
}

// --- What the stores say ---

void RegistryNode::fromStore(unsigned store, const config_store::ReaderMessage& message) {
  detectStall();
  if (const auto* update = std::get_if<rpc::ConfigUpdate>(&message)) {
    tracker_->take(cluster_.address(store), *update);
  } else if (const auto* confirmation = std::get_if<rpc::LeaderConfirmation>(&message)) {
    take(store, *confirmation);
  } else if (const auto* response = std::get_if<rpc::CommandResponse>(&message)) {
    answered(*response);
  } else if (const auto* lease = std::get_if<rpc::LeaseResponse>(&message)) {
    lease_->answered(*lease, cluster_.events.now());
    cluster_.checkHolders();
  }
  askLeader();
}

void RegistryNode::take(unsigned store, const rpc::LeaderConfirmation& confirmation) {
  const double now = cluster_.events.now();
  if (!tracker_->take(cluster_.address(store), confirmation, now)) return;
  lease_->heard(confirmation, now);
  askLease();
  const auto asked = asked_.find(confirmation.number);
  const auto& held = tracker_->update();
  if (asked == asked_.end() || confirmation.index != held.index) return;
  cluster_.history.registryConfirmed(asked->second, versionOf(held.configuration), held.evacuated);
  asked_.erase(asked);
}

void RegistryNode::askLeader() {
  for (const auto& [store, request] : tracker_->questions(cluster_.events.now())) {
    asked_[request.number] = cluster_.history.confirmed();
    send(cluster_.machineOf(store), request);
  }
}

void RegistryNode::askLease() {
  if (tracker_->leader().empty()) return;
  if (const auto request = lease_->ask(kPlatformMs, cluster_.events.now()))
    send(cluster_.machineOf(tracker_->leader()), *request);
}

// --- Calls ---

void RegistryNode::call(const std::string& what, const std::string& body, const Reply& reply) {
  detectStall();
  const double until = cluster_.events.now() + kLeaderWithin;
  forward({what, body, tracker_->update().index, until, reply});
}

void RegistryNode::forward(const Call& call) {
  const std::string& leader = tracker_->leader();
  const unsigned store = cluster_.machineOf(leader);
  if (leader.empty() || !links_.contains(store) || !tracker_->confirmed(cluster_.events.now()))
    return retry(call);
  const std::uint64_t number = ++number_;
  waiting_[number] = {store, call};
  if (call.what == "read")
    send(store, rpc::ReadRequest{number});
  else
    send(store, rpc::CommandRequest{number, call.what, call.body, true, call.knownIndex});
  cluster_.events.after(kOrderWithin, [this, number, incarnation = process.incarnation()] {
    if (process.incarnation() != incarnation) return;
    const auto found = waiting_.extract(number);
    if (found) found.mapped().call.reply({kNoClearAnswer, "no answer"});
  });
}

// The call has not been judged: another leader may.
void RegistryNode::retry(const Call& call) {
  if (cluster_.events.now() >= call.until) return call.reply({kNoClearAnswer, "no leader"});
  cluster_.events.after(kRetryPause, [this, call, incarnation = process.incarnation()] {
    if (process.incarnation() != incarnation) return;
    process.deliver([this, call] { forward(call); });
  });
}

void RegistryNode::answered(const rpc::CommandResponse& response) {
  const auto found = waiting_.extract(response.number);
  if (!found) return;
  const Call& call = found.mapped().call;
  if (response.judged)
    call.reply({response.status, response.text});
  else
    retry(call);
}

}  // namespace burlwind::order_simulation
