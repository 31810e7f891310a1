#include "config_store/ledger.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace burlwind::config_store {

namespace {

// A state without the field `forgotten` was written when fewer were kept: there may have been others before.
constexpr std::size_t kRememberedBefore = 128;
constexpr std::uint32_t kFieldsWithForgotten = 6;

}  // namespace

std::string pack(const State& state) {
  msgpack::sbuffer out;
  msgpack::pack(out, state);
  return {out.data(), out.size()};
}

bool unpack(const std::string& bytes, State& out) {
  out = State{};
  if (bytes.empty()) return true;
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    handle.get().convert(out);
    const bool tellsForgotten = handle.get().via.array.size >= kFieldsWithForgotten;
    if (!tellsForgotten && out.taken.size() >= kRememberedBefore) out.forgotten = out.taken.front().first;
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

std::uint64_t digestOf(const std::string& configuration) {
  return XXH3_64bits(configuration.data(), configuration.size());
}

namespace {

using Taken = std::pair<std::uint64_t, std::uint64_t>;

bool wasTaken(const State& state, const Taken& asked) {
  return std::binary_search(state.taken.begin(), state.taken.end(), asked);
}

void remember(State& state, const Taken& taken) {
  state.taken.push_back(taken);
  if (state.taken.size() <= kRemembered) return;
  state.forgotten = state.taken.front().first;
  state.taken.erase(state.taken.begin());
}

Judged takeConfiguration(State& state, const std::string& body, const Regions& regions) {
  const auto check = config::checkConfiguration(body, regions);
  if (!check.read) return {400, check.fault, false};
  const std::uint64_t version = check.read->version;
  const std::uint64_t parent = check.read->parent;
  const Taken asked(version, digestOf(body));
  const std::string subject = "r" + std::to_string(version) + " on r" + std::to_string(parent);
  if (wasTaken(state, asked)) return {200, "taken before", false, subject};
  if (!check.fault.empty()) return {400, check.fault, false, subject};
  if (parent < state.forgotten)
    return {503, "parent r" + std::to_string(parent) + " is too old to tell", false, subject};
  if (parent != state.version)
    return {412, "version r" + std::to_string(state.version) + " is in place", false, subject};
  if (version <= state.version)
    return {400, "generation does not exceed r" + std::to_string(state.version), false, subject};
  state.configuration = body;
  state.version = version;
  remember(state, asked);
  return {200, "taken", true, subject};
}

}  // namespace

namespace {

// The call was accepted by a registry that did not know of this change yet.
bool precedes(const rpc::CommandRequest& order, std::uint64_t change) {
  return order.tellsIndex && order.knownIndex < change;
}

Judged beginEvacuation(State& state, const rpc::CommandRequest& order, std::uint64_t entry) {
  const std::string& zone = order.body;
  if (state.evacuated.contains(zone)) return {200, "evacuated before", false};
  ZoneChange& change = state.changes[zone];
  if (precedes(order, change.finished)) return {503, "taken back since this call came", false};
  state.evacuated[zone] = 1;
  change.begun = entry;
  return {200, "evacuated", true};
}

Judged finishEvacuation(State& state, const rpc::CommandRequest& order, std::uint64_t entry) {
  const std::string& zone = order.body;
  if (!state.evacuated.contains(zone)) return {200, "taken back before", false};
  ZoneChange& change = state.changes[zone];
  if (precedes(order, change.begun)) return {503, "evacuated since this call came", false};
  state.evacuated.erase(zone);
  change.finished = entry;
  return {200, "taken back", true};
}

}  // namespace

namespace {

template <class Message>
bool read(const std::string& packed, Message& out) {
  try {
    msgpack::unpack(packed.data(), packed.size()).get().convert(out);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

Judged raiseCeiling(State& state, const std::string& body) {
  rpc::RaiseCeiling order;
  if (!read(body, order)) return {400, "does not read", false};
  bool changes = false;
  for (const auto& [zone, count] : order.proxies) {
    if (count == 0) continue;
    unsigned& ceiling = state.proxies[zone];
    if (ceiling >= count) continue;
    ceiling = count;
    changes = true;
  }
  return {200, "proxy ceiling", changes};
}

// Another registry may have raised it since: then it stays.
Judged lowerCeiling(State& state, const std::string& body) {
  rpc::LowerCeiling order;
  if (!read(body, order)) return {400, "does not read", false};
  if (order.expected != state.proxies) return {412, "the proxy ceiling is another one", false};
  bool changes = false;
  for (auto& [zone, count] : state.proxies) {
    const auto wanted = order.wanted.find(zone);
    const unsigned lower = wanted == order.wanted.end() ? 0 : wanted->second;
    if (lower >= count) continue;
    count = lower;
    changes = true;
  }
  std::erase_if(state.proxies, [](const auto& zone) { return zone.second == 0; });
  return {200, "proxy ceiling", changes};
}

}  // namespace

Judged apply(State& state, const rpc::CommandRequest& order, std::uint64_t entry, const Regions& regions) {
  if (order.what == "config") return takeConfiguration(state, order.body, regions);
  if (order.what == "evacuate") return beginEvacuation(state, order, entry);
  if (order.what == "return") return finishEvacuation(state, order, entry);
  if (order.what == rpc::kRaiseCeiling) return raiseCeiling(state, order.body);
  if (order.what == rpc::kLowerCeiling) return lowerCeiling(state, order.body);
  return {400, "no such order", false};
}

}  // namespace burlwind::config_store
