#include "franking/vault.hpp"

#include <algorithm>
#include <cmath>

namespace burlwind::franking {
namespace {
constexpr double kAskedFor = 2000;  // ms that what one told of its demand counts
constexpr double kBurstPart = 0.8;  // of the burst; the rest is what couriers hold in stock
}  // namespace

Vault::Given Vault::take(const std::string& who, const std::string& tenant, const Limit& limit, double want,
                         double asked, double now) {
  Given out;
  if (limit.rate <= 0) return out.granted = want, out;
  const auto [found, fresh] = stores_.try_emplace(tenant);
  Store& store = found->second;
  if (fresh) store.at = from_;
  const double most = std::max(1.0, limit.burst * kBurstPart);
  store.level = std::min(most, store.level + limit.rate * reach_ * std::max(0.0, now - store.at) / 1000);
  store.at = std::max(store.at, now);
  if (want < 0) {  // given back
    store.level = std::min(most, store.level - want);
    return out;
  }
  out.granted = std::max(0.0, std::min(want, std::floor(store.level)));
  store.level -= out.granted;
  out.empty = out.granted < want;
  store.asked[who] = {asked, now};
  double demand = 0;
  for (auto it = store.asked.begin(); it != store.asked.end();) {
    const bool old = now - it->second.second > kAskedFor;
    demand += old ? 0 : it->second.first;
    it = old ? store.asked.erase(it) : std::next(it);
  }
  out.use = static_cast<int>(std::min(10000.0, 100 * demand / limit.rate));
  return out;
}

}  // namespace burlwind::franking
