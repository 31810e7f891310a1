#include "registry/usage_recovery.hpp"

#include <algorithm>

namespace burlwind::registry {

void UsageRecovery::begin(std::uint64_t epoch, double now) {
  epoch_ = epoch;
  beganAt_ = now;
  open_ = true;
  reports_.clear();
}

std::optional<rpc::UsageQuery> UsageRecovery::query(double now) const {
  if (!open_ || now - beganAt_ > kUsageWithin) return std::nullopt;
  return rpc::UsageQuery{epoch_};
}

void UsageRecovery::take(const rpc::UsageReport& report, double now) {
  if (!query(now) || report.epoch != epoch_) return;
  Report& kept = reports_[report.proxy];
  // An incarnation that has ended meanwhile has used what the next one doesn't know of.
  const bool another = kept.incarnation != 0 && kept.incarnation != report.incarnation;
  kept.incarnation = report.incarnation;
  kept.at = now;
  kept.coveredMs = another ? 0 : report.coveredMs;
  kept.used.clear();
  for (const rpc::TenantUse& use : report.uses) kept.used[use.tenant] = use.used;
}

bool UsageRecovery::complete(unsigned expected, double now) {
  if (!query(now) || expected == 0 || reports_.size() < expected) return false;
  open_ = false;
  return true;
}

std::size_t UsageRecovery::answeredLately(double now) const {
  if (now - beganAt_ > kUsageWithin + kAnswerCounts) return 0;
  return static_cast<std::size_t>(std::count_if(reports_.begin(), reports_.end(), [&](const auto& report) {
    return now - report.second.at < kAnswerCounts;
  }));
}

std::optional<std::size_t> UsageRecovery::expired(double now) {
  if (!open_ || now - beganAt_ <= kUsageWithin) return std::nullopt;
  open_ = false;
  return reports_.size();
}

std::optional<double> UsageRecovery::leastLevel(const std::string& tenant,
                                                const distributed_quota::Limit& limit) const {
  if (limit.rate <= 0) return std::nullopt;
  double used = 0;
  for (const auto& [proxy, report] : reports_) {
    if (report.coveredMs < 1000 * limit.burst / limit.rate) return std::nullopt;
    const auto found = report.used.find(tenant);
    if (found != report.used.end()) used += found->second;
  }
  return std::max(0.0, limit.burst - used);
}

}  // namespace burlwind::registry
