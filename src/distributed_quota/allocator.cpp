#include "distributed_quota/allocator.hpp"

#include <algorithm>
#include <cmath>

namespace burlwind::distributed_quota {
namespace {
constexpr double kNewsPart = 0.15;  // of a level, by which it must move to be told
constexpr double kShareLeast = 2;   // requests that a share may hold at least
constexpr double kShareHeld = 1;    // seconds of its part that it may hold
constexpr double kAskedFor = 2000;  // ms that what one told of its demand counts
}  // namespace

// What is asked for by all, a second; who was not heard for a while counts no more.
double QuotaAllocator::hear(Store& store, const std::string& who, double asked, double now) {
  Asker& mine = store.askers.try_emplace(who, Asker{asked, now, 0}).first->second;
  mine.asked = asked;
  double demand = 0;
  for (auto it = store.askers.begin(); it != store.askers.end();) {
    const bool old = now - it->second.at > kAskedFor && it->first != who;
    demand += old ? 0 : it->second.asked;
    it = old ? store.askers.erase(it) : std::next(it);
  }
  return demand;
}

std::vector<rpc::Level> QuotaAllocator::all() const {
  std::vector<rpc::Level> out;
  for (const auto& [tenant, store] : stores_) out.push_back({tenant, store.level});
  return out;
}

std::vector<rpc::Level> QuotaAllocator::changed() {
  std::vector<rpc::Level> out;
  for (auto& [tenant, store] : stores_) {
    if (std::abs(store.level - store.told) < std::max(1.0, kNewsPart * store.told)) continue;
    store.told = store.level;
    out.push_back({tenant, store.level});
  }
  return out;
}

QuotaAllocator::Given QuotaAllocator::take(const std::string& who, const std::string& tenant,
                                           const Limit& limit, double want, double asked, double now) {
  Given out;
  if (limit.rate <= 0) return out.granted = want, out;
  const auto [found, fresh] = stores_.try_emplace(tenant);
  Store& store = found->second;
  if (fresh) store.at = from_;
  const double most = std::max(1.0, limit.burst);
  store.level = std::min(most, store.level + limit.rate * reach_ * std::max(0.0, now - store.at) / 1000);
  store.at = std::max(store.at, now);
  if (want < 0) {  // given back
    store.level = std::min(most, store.level - want);
    return out;
  }
  const double demand = hear(store, who, asked, now);
  Asker& asker = store.askers[who];
  const double room = std::max(kShareLeast, limit.rate * kShareHeld * asker.asked / std::max(demand, 1e-9));
  const double since = std::max(0.0, now - asker.at) / 1000;
  asker.at = now;
  const bool contended = demand > limit.rate;
  asker.share =
      contended ? std::min(room, asker.share + since * limit.rate * reach_ * asker.asked / demand) : room;
  out.granted =
      std::max(0.0, std::min(want, std::floor(contended ? std::min(store.level, asker.share) : store.level)));
  store.level -= out.granted;
  asker.share -= out.granted;
  // Where less is asked for than comes in, what is missing is there in a moment: that is worth a wait.
  out.empty = out.granted < want && contended;
  out.use = static_cast<int>(std::min(10000.0, 100 * demand / limit.rate));
  return out;
}

}  // namespace burlwind::distributed_quota
