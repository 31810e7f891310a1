#include "pigeonhole/ledger.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace burlwind::pigeonhole {

std::string pack(const State& state) {
  msgpack::sbuffer out;
  msgpack::pack(out, state);
  return {out.data(), out.size()};
}

bool unpack(const std::string& bytes, State& out) {
  out = State{};
  if (bytes.empty()) return true;
  try {
    msgpack::unpack(bytes.data(), bytes.size()).get().convert(out);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

namespace {

Judged takeConfiguration(State& state, const std::string& body) {
  const auto read = address::readConfiguration(body);
  if (!read.configuration) return {400, read.fault, false};
  const std::uint64_t version = read.configuration->version;
  const std::pair mine(version, XXH3_64bits(body.data(), body.size()));
  if (std::find(state.taken.begin(), state.taken.end(), mine) != state.taken.end())
    return {200, "taken before", false};
  if (read.configuration->parent != state.version)
    return {412, "version r" + std::to_string(state.version) + " is in place", false};
  if (version <= state.version)
    return {400, "generation does not exceed r" + std::to_string(state.version), false};
  state.configuration = body;
  state.version = version;
  state.taken.push_back(mine);
  if (state.taken.size() > kRemembered) state.taken.erase(state.taken.begin());
  return {200, "taken", true};
}

}  // namespace

Judged apply(State& state, const pouch::Propose& order) {
  if (order.what == "config") return takeConfiguration(state, order.body);
  if (order.what == "evacuate") return {200, "evacuated", state.evacuated.insert(order.body).second};
  if (order.what == "return") return {200, "taken back", state.evacuated.erase(order.body) > 0};
  return {400, "no such order", false};
}

}  // namespace burlwind::pigeonhole
