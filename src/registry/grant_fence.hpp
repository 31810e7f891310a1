// Which grants of tokens a registry may believe: decisions only, time handed in. A grant counts once, for a
// question of this process that is still under way, and from no holder of the duties but the newest that is
// known: what an earlier one sent before it lost the lease may have waited anywhere. Tokens that are dropped
// let nothing in.
#pragma once

#include <cstdint>
#include <map>

#include "rpc/messages.hpp"

namespace burlwind::registry {

constexpr double kGrantWithin = 2000;  // ms

class GrantFence {
 public:
  explicit GrantFence(std::uint64_t incarnation) : incarnation_(incarnation) {}
  void asked(std::uint64_t number, double now) {
    std::erase_if(askedAt_, [&](const auto& entry) { return now - entry.second > kGrantWithin; });
    askedAt_[number] = now;
  }
  // `ownerEpoch`: the newest owner of the duties that the stores' leader has told of.
  bool accepts(const rpc::TokenResponse& response, std::uint64_t ownerEpoch, double now) {
    const auto found = askedAt_.find(response.number);
    if (response.incarnation != incarnation_ || found == askedAt_.end()) return false;
    const bool inTime = now - found->second <= kGrantWithin;
    askedAt_.erase(found);
    return inTime && response.epoch >= ownerEpoch;
  }

 private:
  const std::uint64_t incarnation_;
  std::map<std::uint64_t, double> askedAt_;  // by number
};

}  // namespace burlwind::registry
