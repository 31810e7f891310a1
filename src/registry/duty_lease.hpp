// This registry's lease of the duties (the platform's list and the quotas): when to ask for it, and what the
// answers mean. Decisions only, time handed in; the lease itself stands in lease/lease.hpp.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "lease/lease.hpp"
#include "rpc/messages.hpp"

namespace burlwind::registry {

class DutyLease {
 public:
  DutyLease(std::string ip, std::uint64_t incarnation) : ip_(std::move(ip)), incarnation_(incarnation) {}

  // What the leader has told of the duties.
  void heard(const rpc::LeaderConfirmation& confirmation, double now);
  // The question for the leader, where one is due. `platformMs`: the way to the platform, which decides who
  // asks first.
  std::optional<rpc::LeaseRequest> ask(double platformMs, double now);

  enum class Answer { refused, renewed, regained, taken };  // regained: it had lapsed, and nobody else had it
  Answer answered(const rpc::LeaseResponse& response, double now);

  bool holds(double now) const { return holder_.holds(now); }
  std::uint64_t epoch() const { return epoch_; }             // of this registry's last lease
  std::uint64_t ownerEpoch() const { return ownerEpoch_; }   // of the newest owner that is known
  const std::string& holderIp() const { return holderIp_; }  // as the leader told last; empty: nobody

 private:
  const std::string ip_;
  const std::uint64_t incarnation_;
  lease::LeaseHolder holder_;
  std::string holderIp_;
  std::uint64_t epoch_ = 0, ownerEpoch_ = 0, number_ = 0;
  double askAt_ = 0, freeSince_ = 0;
};

}  // namespace burlwind::registry
