#include "order_simulation/cluster.hpp"

#include <algorithm>

namespace burlwind::order_simulation {

namespace {
constexpr consensus::Id kFirstId = 100;
}

Cluster::Cluster(unsigned machines, std::uint64_t seed) : random(seed), network(events, random) {
  std::vector<rpc::Member> members;
  for (unsigned i = 0; i < machines; ++i) members.push_back({kFirstId + i, address(i)});
  for (unsigned i = 0; i < machines; ++i) {
    consensus::PersistentState disk;
    disk.self = kFirstId + i;
    disk.members = members;
    stores.push_back(std::make_unique<StoreNode>(*this, i, std::move(disk)));
    registries.push_back(std::make_unique<RegistryNode>(*this, i));
  }
  for (unsigned i = 0; i < machines; ++i) {
    stores[i]->start();
    registries[i]->start();
  }
}

unsigned Cluster::machineOf(const std::string& ip) const {
  for (unsigned i = 0; i < size(); ++i)
    if (address(i) == ip) return i;
  return 0;
}

std::optional<unsigned> Cluster::leader() const {
  std::optional<unsigned> found;
  for (unsigned i = 0; i < size(); ++i) {
    const auto* service = stores[i]->service();
    if (!service || !stores[i]->process.awake() || !service->leads()) continue;
    if (!found || service->record().term > stores[*found]->service()->record().term) found = i;
  }
  return found;
}

// --- Stores among themselves ---

void Cluster::sendToStore(unsigned from, unsigned to, std::function<void(StoreNode&)> input) {
  auto& pipe = storePipes_[{from, to}];
  if (!pipe) pipe = std::make_shared<Pipe>(network, from, to, nullptr);
  pipe->send([this, to, input = std::move(input)] {
    stores[to]->process.deliver([this, to, input] { input(*stores[to]); });
  });
}

void Cluster::sendBetweenStores(unsigned from, consensus::Id to, const consensus::Message& message) {
  for (unsigned i = 0; i < size(); ++i)
    if (i != from && stores[i]->disk().self == to)
      sendToStore(from, i, [message](StoreNode& store) { store.fromStore(message); });
}

void Cluster::sendJoin(unsigned from, const rpc::Member& member) {
  for (unsigned i = 0; i < size(); ++i)
    if (i != from) sendToStore(from, i, [member](StoreNode& store) { store.joinRequested(member); });
}

void Cluster::resetStoreLinks(unsigned machine) {
  for (auto& [ends, pipe] : storePipes_) {
    if (ends.first != machine && ends.second != machine) continue;
    pipe->close();
    pipe = std::make_shared<Pipe>(network, ends.first, ends.second, nullptr);
  }
}

// --- Registries and stores ---

void Cluster::dial(unsigned registry, unsigned store) {
  if (registries[registry]->isLinked(store) || !stores[store]->process.up()) return;
  if (network.isCut(registry, store) || network.isCut(store, registry)) return;
  auto connection = std::make_shared<Connection>();
  const auto id = connection->id = ++lastReader_;
  connection->registry = registry;
  connection->store = store;
  const auto broken = [this, weak = std::weak_ptr(connection)] {
    if (const auto c = weak.lock()) breakOff(c);
  };
  connection->toStore = std::make_shared<Pipe>(network, registry, store, broken);
  connection->toRegistry = std::make_shared<Pipe>(network, store, registry, broken);
  connections_[id] = connection;
  connection->toStore->send([this, store, id] {
    stores[store]->process.deliver([this, store, id] { stores[store]->greeted(id); });
  });
  registries[registry]->linked(store, connection);
}

void Cluster::sendToReader(config_store::ReaderId reader, const config_store::ReaderMessage& message) {
  const auto found = connections_.find(reader);
  if (found == connections_.end()) return;
  const unsigned registry = found->second->registry;
  const unsigned store = found->second->store;
  found->second->toRegistry->send([this, registry, store, message] {
    registries[registry]->process.deliver(
        [this, registry, store, message] { registries[registry]->fromStore(store, message); });
  });
}

void Cluster::close(config_store::ReaderId reader) {
  const auto found = connections_.find(reader);
  if (found == connections_.end()) return;
  const auto connection = found->second;
  connections_.erase(found);
  connection->toStore->close();
  // Weak: a pipe that is cut may hold this for ever, and the connection holds the pipe. Where the registry
  // has let go of the connection, its end means nothing there.
  connection->toRegistry->send([this, weak = std::weak_ptr(connection)] {
    const auto ended = weak.lock();
    if (!ended) return;
    RegistryNode& registry = *registries[ended->registry];
    registry.process.deliver([&registry, ended] { registry.lost(ended); });
  });
  stores[connection->store]->process.deliver(
      [this, connection] { stores[connection->store]->readerEnded(connection->id); });
}

// Both ends hear of it, and what is on its way is lost.
void Cluster::breakOff(const std::shared_ptr<Connection>& connection) {
  connections_.erase(connection->id);
  connection->toStore->close();
  connection->toRegistry->close();
  events.after(network.delay(), [this, connection] {
    StoreNode& store = *stores[connection->store];
    RegistryNode& registry = *registries[connection->registry];
    store.process.deliver([&store, connection] { store.readerEnded(connection->id); });
    registry.process.deliver([&registry, connection] { registry.lost(connection); });
  });
}

void Cluster::closeAllOfStore(unsigned machine) {
  std::vector<config_store::ReaderId> ids;
  for (const auto& [id, connection] : connections_)
    if (connection->store == machine) ids.push_back(id);
  for (const auto id : ids) close(id);
}

void Cluster::closeAllOfRegistry(unsigned machine) {
  std::vector<std::shared_ptr<Connection>> ended;
  for (const auto& [id, connection] : connections_)
    if (connection->registry == machine) ended.push_back(connection);
  for (const auto& connection : ended) breakOff(connection);
}

void Cluster::checkHolders() {
  history.holders(static_cast<unsigned>(std::count_if(
      registries.begin(), registries.end(), [](const auto& registry) { return registry->holdsDuties(); })));
}

}  // namespace burlwind::order_simulation
