// What the stores agree on, and what an operator's order makes of it: decisions only. An order is judged
// against the agreed state alone, by the one replica that leads, in the order in which it came.
//
// A configuration that has been taken is known again by number and digest, also after others have followed
// it: the same one sent again is answered 200. The last kRemembered of them are kept as a chain, each the
// child of the one before; so one that names a parent within the chain and is not that parent's child was
// never taken, and is refused. Whether one that names an older parent was taken can't be told: 503, no clear
// answer.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/configuration.hpp"
#include "lease/lease.hpp"
#include "rpc/messages.hpp"

namespace burlwind::config_store {

// At 620 changes a day the changes of 6.6 days; some 15 bytes each, 61 KB in all.
constexpr std::size_t kRemembered = 4096;

struct State {
  std::string configuration;  // as sent
  std::uint64_t version = 0;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> taken;  // version, digest; oldest first
  std::map<std::string, unsigned> evacuated;                   // zones, by how many evacuations
  lease::LeaseOwner owner;                                     // of the registries' duties
  std::uint64_t forgotten = 0;  // the newest version that is no longer in `taken`; 0: all are
  MSGPACK_DEFINE(configuration, version, taken, evacuated, owner, forgotten)
};
std::string pack(const State& state);
bool unpack(const std::string& bytes, State& out);  // an empty text is the empty state

struct Judged {
  int status = 0;        // 200, 400, 412; 503: it can't be told
  std::string text;      // why not
  bool changes = false;  // the state is another one now
};
// Evacuations of one zone may overlap, and their orders bear no number: one that comes within kRepeat of the
// last of its kind is that one sent again, a later one is another. The times are the leader's own; a new
// leader knows none, and takes a second beginning for a repeat, a second end for another one.
constexpr double kRepeat = 2500;  // ms
struct Lately {
  std::map<std::string, double> begun, ended;  // by zone
};
Judged apply(State& state, Lately& lately, const rpc::CommandRequest& order, double now);

}  // namespace burlwind::config_store
