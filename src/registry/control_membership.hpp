// Which control machines there are, as one registry knows: decisions only, no I/O, time handed in.
//
// A machine is listed while it is a voter of the state that the stores agree on, or while its registry holds
// a link to this one (learners, spare machines, one that is about to leave). Proxies are told the list with
// the index of the agreed state as its version; links are kept to no other machine.
//
// Properties:
//  - What leaves both sets is forgotten: once this registry has been confirmed for kSettled without a break
//  it
//    keeps no link to a machine that isn't listed.
//  - While it isn't confirmed it forgets nothing and adds the seeds of the settings: what it holds may be
//  old.
// Cost: a map entry for each machine listed, and for each seed and former one while unsettled.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rpc/messages.hpp"

namespace burlwind::registry {

constexpr double kSettled = 5000;  // ms of unbroken confirmation

class ControlMembership {
 public:
  explicit ControlMembership(rpc::Core self);

  void setSeeds(const std::vector<std::string>& ips);
  // The voters as of that index; an older index is ignored.
  void agree(std::uint64_t index, const std::vector<std::string>& voters);
  // That machine's registry holds a link to this one.
  void linked(const rpc::Core& registry);
  void unlinked(const std::string& ip);

  // The machines that links are to be kept to, this one among them.
  std::set<std::string> wanted(bool confirmed, double now);
  std::vector<rpc::Core> listed() const;
  std::uint64_t version() const { return version_; }
  // Each voter's registry but this one's own holds a link to this one.
  bool complete() const;

 private:
  std::set<std::string> listedIps() const;
  const std::string self_;
  std::map<std::string, rpc::Core> places_;  // of machines that have linked, while they are listed
  std::set<std::string> seeds_, voters_, linked_, kept_;
  std::uint64_t version_ = 0;
  double unconfirmedAt_ = -1e18;  // the last time
  bool asked_ = false;
};

}  // namespace burlwind::registry
