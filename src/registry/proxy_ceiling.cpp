#include "registry/proxy_ceiling.hpp"

#include <algorithm>
#include <utility>

namespace burlwind::registry {
namespace {

// Elementwise the larger one.
ProxiesByZone larger(ProxiesByZone a, const ProxiesByZone& b) {
  for (const auto& [zone, count] : b) a[zone] = std::max(a[zone], count);
  return a;
}

unsigned in(const ProxiesByZone& proxies, const std::string& zone) {
  const auto found = proxies.find(zone);
  return found == proxies.end() ? 0 : found->second;
}

}  // namespace

void ProxyCeiling::observe(const ProxiesByZone& live, bool complete, double now) {
  live_ = live;
  if (!complete) {
    most_.clear();
    hasSpanBefore_ = false;
    spanBegan_ = now;
    return;
  }
  most_ = larger(std::move(most_), live);
  if (now - spanBegan_ < kSeenFor) return;
  mostBefore_ = std::exchange(most_, live);
  hasSpanBefore_ = true;
  spanBegan_ = now;
}

std::optional<ProxiesByZone> ProxyCeiling::raise(const ProxiesByZone& agreed, double now) {
  const bool suffices = std::all_of(live_.begin(), live_.end(),
                                    [&](const auto& zone) { return zone.second <= in(agreed, zone.first); });
  if (suffices || now - proposedAt_ < kProposalPause) return std::nullopt;
  proposedAt_ = now;
  return larger(agreed, live_);
}

std::optional<ProxiesByZone> ProxyCeiling::lower(const ProxiesByZone& agreed, double now) {
  if (!hasSpanBefore_ || now - proposedAt_ < kProposalPause) return std::nullopt;
  const ProxiesByZone seen = larger(mostBefore_, most_);
  ProxiesByZone wanted;
  for (const auto& [zone, count] : agreed)
    if (const unsigned most = std::min(count, in(seen, zone)); most > 0) wanted[zone] = most;
  if (wanted.empty() || wanted == agreed) return std::nullopt;
  proposedAt_ = now;
  return wanted;
}

}  // namespace burlwind::registry
