// Which config store leads, and what it has said: decisions only, time handed in.
//
// Only the newest term's word counts; an index that is behind is dropped. Cost: one configuration.
#pragma once

#include <cstdint>
#include <string>

#include "rpc/messages.hpp"

namespace burlwind::registry {

constexpr double kConfirmationTimeout = 1000;  // ms that the leader's word counts

class LeaderTracker {
 public:
  enum class Taken { dropped, unchanged, changed };  // changed: proxies must be told
  Taken take(const std::string& store, rpc::ConfigUpdate update, double now);
  // False where it is an earlier term's, which is dropped.
  bool take(const std::string& store, const rpc::LeaderConfirmation& confirmation, double now);
  void lost(const std::string& store);  // its link has ended
  // This process stood still: what it has heard may be old.
  void forgetConfirmation() { confirmedAt_ = -1e18; }

  bool confirmed(double now) const { return now - confirmedAt_ < kConfirmationTimeout; }
  const std::string& leader() const { return leader_; }  // ip; empty: not known
  const rpc::ConfigUpdate& update() const { return update_; }

 private:
  std::string leader_;
  std::uint64_t leaderTerm_ = 0;
  rpc::ConfigUpdate update_;
  double confirmedAt_ = -1e18;
};

}  // namespace burlwind::registry
