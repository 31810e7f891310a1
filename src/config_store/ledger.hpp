// What the stores agree on, and what an operator's order makes of it: decisions only. An order is judged
// against the agreed state alone, by the one replica that leads, in the order in which it came.
//
// A configuration that has been taken is known again by number and digest, also after others have followed
// it: the same one sent again is answered 200. The last kRemembered of them are kept as a chain, each the
// child of the one before; so one that names a parent within the chain and is not that parent's child was
// never taken, and is refused. Whether one that names an older parent was taken can't be told: 503, no clear
// answer.
//
// A zone is evacuated or it is not: beginning and finishing are idempotent, so a repeat changes nothing,
// whoever leads. A repeat that comes after the opposite order has been taken would change it; it is known by
// the index that its registry knew when it accepted the call: the zone has changed since, so it has no clear
// answer (503). What is left: a call that reaches a registry only after that registry has heard of the
// opposite order can't be told from a new one.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/configuration.hpp"
#include "lease/lease.hpp"
#include "rpc/messages.hpp"

namespace burlwind::config_store {

// At 620 changes a day the changes of 6.6 days; some 15 bytes each, 61 KB in all.
constexpr std::size_t kRemembered = 4096;

struct ZoneChange {  // of a zone's evacuation; indices of entries, 0: never
  std::uint64_t begun = 0, finished = 0;
  MSGPACK_DEFINE(begun, finished)
};

struct State {
  std::string configuration;  // as sent
  std::uint64_t version = 0;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> taken;  // version, digest; oldest first
  std::map<std::string, unsigned> evacuated;                   // zones; the numbers mean nothing
  lease::LeaseOwner owner;                                     // of the registries' duties
  std::uint64_t forgotten = 0;                // the newest version that is no longer in `taken`; 0: all are
  std::map<std::string, ZoneChange> changes;  // by zone; as many as were ever evacuated
  // By zone, the ceiling of how many proxies there may be: quotas and budgets are divided by it. It rises
  // before a proxy more has a part, and falls only after the last part under the old one has run out.
  std::map<std::string, unsigned> proxies;
  MSGPACK_DEFINE(configuration, version, taken, evacuated, owner, forgotten, changes, proxies)
};
std::string pack(const State& state);
bool unpack(const std::string& bytes, State& out);  // an empty text is the empty state

std::uint64_t digestOf(const std::string& configuration);  // as kept in State::taken

using Regions = std::set<std::string>;

struct Judged {
  int status = 0;         // 200, 400, 412; 503: it can't be told
  std::string text;       // why not
  bool changes = false;   // the state is another one now
  std::string subject{};  // for the log: the version of a configuration and its parent
};
// Judges `order` on top of `state` and, where it is taken, changes `state`. `entry` is the index of the
// agreement's entry that would hold the change. `regions`: that have a zone; empty: not known.
Judged apply(State& state, const rpc::CommandRequest& order, std::uint64_t entry,
             const Regions& regions = {});

}  // namespace burlwind::config_store
