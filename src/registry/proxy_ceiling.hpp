// When the agreed ceiling of how many proxies there may be is to change: decisions only, time handed in.
//
// Quotas out of touch, the budget of further tries and cold workers' allowances are divided by the ceiling,
// so it must never be under the number of those that may spend a part. It rises as soon as more proxies of a
// zone are seen than it says. It falls only where this registry, linked to all voters' registries without a
// break, has seen no more than so many for kSeenFor: a proxy out of touch stops spending its part after
// kPartLease, which is shorter. Cost: two maps of zones.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "distributed_quota/token_cache.hpp"

namespace burlwind::registry {

constexpr double kSeenFor = 150000;     // ms
constexpr double kProposalPause = 500;  // ms between two proposals
static_assert(kSeenFor > distributed_quota::kPartLease);

using ProxiesByZone = std::map<std::string, unsigned>;

inline unsigned sumOf(const ProxiesByZone& proxies) {
  unsigned sum = 0;
  for (const auto& [zone, count] : proxies) sum += count;
  return sum;
}

class ProxyCeiling {
 public:
  explicit ProxyCeiling(double now) : spanBegan_(now) {}

  // Proxies that have sessions now, by zone. `complete`: with any voter's registry.
  void observe(const ProxiesByZone& live, bool complete, double now);
  // What to raise the agreed ceiling to; nothing where it suffices or was proposed a moment ago.
  std::optional<ProxiesByZone> raise(const ProxiesByZone& agreed, double now);
  // What to lower it to, for who holds the duties.
  std::optional<ProxiesByZone> lower(const ProxiesByZone& agreed, double now);

 private:
  ProxiesByZone live_, most_, mostBefore_;  // now; of this span and of the whole one before
  double spanBegan_ = 0, proposedAt_ = -1e18;
  bool hasSpanBefore_ = false;
};

}  // namespace burlwind::registry
