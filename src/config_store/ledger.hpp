// What the stores agree on, and what an operator's order makes of it: decisions only. An order is judged
// against the agreed state alone, by the one replica that leads, in the order in which it came.
//
// A configuration that has been taken is known again by number and digest (the last kRemembered of them): the
// same one sent again is answered 200, also after others have followed it.
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

constexpr std::size_t kRemembered = 128;

struct State {
  std::string configuration;  // as sent
  std::uint64_t version = 0;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> taken;  // version, digest
  std::map<std::string, unsigned> evacuated;                   // zones, by how many evacuations
  lease::LeaseOwner owner;                                     // of the registries' duties
  MSGPACK_DEFINE(configuration, version, taken, evacuated, owner)
};
std::string pack(const State& state);
bool unpack(const std::string& bytes, State& out);  // an empty text is the empty state

struct Judged {
  int status = 0;        // 200, 400, 412
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
