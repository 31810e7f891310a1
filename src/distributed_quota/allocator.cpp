#include "distributed_quota/allocator.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace burlwind::distributed_quota {
namespace {
constexpr double kFloorRise = 1.3;  // times the floor promised, from which on a higher one is worth telling
constexpr double kShareLeast = 2;   // requests that a share may hold at least
constexpr double kShareHeld = 1;    // seconds of its part that it may hold
constexpr double kAskedFor = 2000;  // ms that what one told of its demand counts

}  // namespace

// What is asked for by all, a second; who was not heard for a while counts no more.
double QuotaAllocator::sumDemand(Store& store, const std::string& who, double asked, double now) {
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

void QuotaAllocator::atLeast(const std::string& tenant, double level, double now) {
  const auto [found, fresh] = stores_.try_emplace(tenant);
  Store& store = found->second;
  if (fresh) store.at = now;
  store.level = std::max(store.level, level - store.granted);
  store.credited = kNoCredit;
}

std::vector<rpc::Level> QuotaAllocator::floors() const {
  std::vector<rpc::Level> out;
  for (const auto& [tenant, store] : stores_) out.push_back({tenant, store.floor.value_or(0)});
  return out;
}

std::vector<rpc::Level> QuotaAllocator::promises(bool all) {
  std::vector<rpc::Level> out;
  for (auto& [tenant, store] : stores_) {
    const double floor = std::floor(kBelieved * std::min(store.level, store.rate));
    const bool broken = store.floor && store.level < *store.floor;
    const bool worthTelling = !store.floor || floor >= *store.floor * kFloorRise + 1;
    if (!broken && !(all && worthTelling)) continue;
    store.floor = floor;
    out.push_back({tenant, floor});
  }
  return out;
}

std::vector<TenantTokens> QuotaAllocator::tokens() const {
  std::vector<TenantTokens> out;
  for (const auto& [tenant, store] : stores_) out.push_back({tenant, store.level, store.figures});
  return out;
}

double QuotaAllocator::level(const std::string& tenant) const {
  const auto found = stores_.find(tenant);
  return found == stores_.end() ? 0 : found->second.level;
}

// Tokens of this store that may not be spent yet.
double QuotaAllocator::mayLieOutside(Store& store, const Limit& limit, double now) {
  const double granted = store.outside.sum(tokenLifeMs(limit), now);
  return std::min(granted, heldAhead(limit) + store.underWay.sum(kUnderWayMs, now));
}

void QuotaAllocator::refill(Store& store, const Limit& limit, double now) const {
  const double most = std::max(1.0, storeRoom(limit) - mayLieOutside(store, limit, now));
  const double before = store.level;
  store.level = std::min(most, store.level + limit.rate * reach_ * std::max(0.0, now - store.at) / 1000);
  store.figures.add(TokenEvent::received, std::max(0.0, store.level - before));
  store.at = std::max(store.at, now);
}

QuotaAllocator::Given QuotaAllocator::take(const std::string& who, const std::string& tenant,
                                           const Limit& limit, double want, double asked, double now) {
  Given out;
  if (limit.rate <= 0) return out.granted = want, out;
  const auto [found, fresh] = stores_.try_emplace(tenant);
  Store& store = found->second;
  if (fresh) store.at = from_;
  store.level += limit.rate * std::max(0.0, idle_ - store.credited) / 1000;
  store.credited = std::max(store.credited, idle_);
  store.rate = limit.rate;
  refill(store, limit, now);
  if (want <= 0) return out;
  const double demand = sumDemand(store, who, asked, now);
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
  store.granted += out.granted;
  const auto granted = static_cast<std::uint32_t>(out.granted);
  store.outside.add(tokenLifeMs(limit), now, granted);
  store.underWay.add(kUnderWayMs, now, granted);
  store.figures.add(TokenEvent::lent, out.granted);
  if (contended) store.figures.add(TokenEvent::refused, want - out.granted);
  asker.share -= out.granted;
  // Where less is asked for than comes in, what is missing is there in a moment: that is worth a wait.
  out.empty = out.granted < want && contended;
  out.use = static_cast<int>(std::min(10000.0, 100 * demand / limit.rate));
  return out;
}

}  // namespace burlwind::distributed_quota
