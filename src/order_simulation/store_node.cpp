#include "order_simulation/cluster.hpp"

namespace burlwind::order_simulation {
namespace {

constexpr double kTick = 50;
constexpr double kJoinPause = 300;

double drawFrom(void* cluster) { return static_cast<Cluster*>(cluster)->draw(0, 1); }

}  // namespace

StoreNode::StoreNode(Cluster& cluster, unsigned machine, consensus::PersistentState disk)
    : cluster_(cluster), machine_(machine), disk_(std::move(disk)) {}

void StoreNode::start() {
  process.start();
  config_store::State state;
  config_store::unpack(disk_.state, state);
  const double now = cluster_.events.now();
  service_.emplace(consensus::Core(disk_, {}, cluster_.size(), &drawFrom, &cluster_, now), std::move(state),
                   now);
  tickLater();
}

void StoreNode::kill() {
  process.kill();
  service_.reset();
  cluster_.resetStoreLinks(machine_);
  cluster_.closeAllOfStore(machine_);
}

void StoreNode::wipe() {
  disk_ = {};
  disk_.self = cluster_.random() >> 1;
}

void StoreNode::tickLater() {
  cluster_.events.after(kTick, [this, incarnation = process.incarnation()] {
    if (process.incarnation() != incarnation) return;
    tickLater();
    if (!process.awake()) return;
    const double now = cluster_.events.now();
    carryOut(service_->tick(now));
    if (!service_->wantsToJoin(now) || now < joinAt_) return;
    joinAt_ = now + kJoinPause;
    cluster_.sendJoin(machine_, {disk_.self, cluster_.address(machine_)});
  });
}

void StoreNode::fromStore(const consensus::Message& message) {
  carryOut(service_->fromStore(message, cluster_.events.now()));
}
void StoreNode::joinRequested(const rpc::Member& member) {
  carryOut(service_->joinRequested(member, cluster_.events.now()));
}
void StoreNode::greeted(config_store::ReaderId reader) {
  carryOut(service_->readerGreeted(reader, cluster_.events.now()));
}
void StoreNode::fromReader(config_store::ReaderId reader, const config_store::ReaderRequest& request) {
  carryOut(service_->fromReader(reader, request, cluster_.events.now()));
}
void StoreNode::readerEnded(config_store::ReaderId reader) { service_->readerEnded(reader); }

void StoreNode::carryOut(config_store::Effects effects) {
  carryOut(std::make_shared<const config_store::Effects>(std::move(effects)), 0);
}

// A write blocks the process: what follows it, and all input, waits until it is done.
void StoreNode::carryOut(std::shared_ptr<const config_store::Effects> effects, std::size_t from) {
  for (std::size_t i = from; i < effects->size(); ++i) {
    if (!std::holds_alternative<config_store::Persist>((*effects)[i])) {
      carryOutOne((*effects)[i]);
      continue;
    }
    process.block();
    const unsigned incarnation = process.incarnation();
    cluster_.events.after(writeTime_, [this, effects, i, incarnation, record = service_->record()] {
      if (process.incarnation() != incarnation) return;
      disk_ = record;
      process.unblock([this, effects, i] { carryOut(effects, i + 1); });
    });
    return;
  }
}

void StoreNode::carryOutOne(const config_store::Effect& effect) {
  if (const auto* toStore = std::get_if<config_store::SendToStore>(&effect)) {
    cluster_.sendBetweenStores(machine_, toStore->to, toStore->message);
  } else if (const auto* toReaders = std::get_if<config_store::SendToReaders>(&effect)) {
    for (const auto reader : toReaders->to) cluster_.sendToReader(reader, toReaders->message);
  } else if (const auto* closed = std::get_if<config_store::CloseReader>(&effect)) {
    cluster_.close(closed->reader);
  }
}

}  // namespace burlwind::order_simulation
