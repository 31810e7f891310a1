#include "order_simulation/history.hpp"

#include <algorithm>

namespace burlwind::order_simulation {
namespace {

constexpr int kOk = 200;
constexpr int kInvalid = 400;
constexpr int kConflict = 412;

std::string named(std::uint64_t version) { return "r" + std::to_string(version); }

}  // namespace

void History::called(const ConfigOrder& order) {
  const Taken taken(order.version, config_store::digestOf(order.body));
  if (order.valid)
    called_[order.parent].insert(taken);
  else
    invalid_.insert(taken);
}

void History::answered(const ConfigOrder& order, int status) {
  const Taken taken(order.version, config_store::digestOf(order.body));
  if (!order.valid) {
    if (status == kOk) violated(named(order.version) + " was confirmed and is invalid");
  } else if (status == kOk) {
    acknowledged_[taken] = order.parent;
    newest_ = std::max(newest_, order.version);
  } else if (status == kInvalid || status == kConflict) {
    refused_.insert(taken);
    if (status == kConflict && called_[order.parent].size() < 2)
      violated(named(order.version) + " was refused, and nothing else stands on " + named(order.parent));
  }
}

void History::read(const Snapshot& before, std::uint64_t version, const std::string& body) {
  ++reads_;
  if (invalid_.contains({version, config_store::digestOf(body)}))
    violated("config.read gives " + named(version) + ", which is invalid");
  if (version < before.version)
    violated("config.read gives " + named(version) + ", " + named(before.version) + " was confirmed before");
  newest_ = std::max(newest_, version);
}

void History::registryConfirmed(const Snapshot& before, std::uint64_t version,
                                const std::vector<std::string>& evacuated) {
  if (version < before.version)
    violated("a registry holds " + named(version) + " confirmed, " + named(before.version) +
             " was confirmed before it asked");
  for (const std::string& zone : before.evacuated)
    if (evacuated_.contains(zone) && std::find(evacuated.begin(), evacuated.end(), zone) == evacuated.end())
      violated("a registry holds zone " + zone + " free, which is evacuated");
}

void History::evacuationAcknowledged(const std::string& zone) {
  ++evacuations_;
  evacuated_.insert(zone);
  free_.erase(zone);
}

void History::finishCalled(const std::string& zone) { evacuated_.erase(zone); }
void History::finishAcknowledged(const std::string& zone) { free_.insert(zone); }

void History::holders(unsigned count) {
  if (count > 1) violated("two registries hold the duties");
}

void History::finish(const config_store::State& state, bool reachable) {
  if (!reachable) violated("nobody leads at the end");
  std::map<Taken, std::uint64_t> chain;
  std::uint64_t parent = 0;
  for (const Taken& taken : state.taken) chain[taken] = std::exchange(parent, taken.first);
  for (const auto& [taken, of] : acknowledged_) {
    const auto found = chain.find(taken);
    if (found == chain.end())
      violated(named(taken.first) + " on " + named(of) + " was confirmed and is lost");
    else if (found->second != of)
      violated(named(taken.first) + " was confirmed on " + named(of) + " and stands on " +
               named(found->second));
  }
  for (const Taken& taken : refused_)
    if (chain.contains(taken)) violated(named(taken.first) + " was taken and refused");
  for (const Taken& taken : invalid_)
    if (chain.contains(taken)) violated(named(taken.first) + " is in the chain and invalid");
  for (const std::string& zone : evacuated_)
    if (!state.evacuated.contains(zone)) violated("zone " + zone + " is free at the end, not finished");
  for (const std::string& zone : free_)
    if (state.evacuated.contains(zone)) violated("zone " + zone + " is evacuated for good");
}

}  // namespace burlwind::order_simulation
