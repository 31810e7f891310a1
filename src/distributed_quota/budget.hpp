// The budget of further tries, which binds over all proxies, without a word between them: decisions only.
// Each proxy holds a bucket a service: a first request earns kEarned of the ratio, a further one takes one;
// the bucket holds kHeld of the slack, divided by the agreed ceiling of proxies; who was told none has no
// budget. In any window the sum over proxies is
// at most kEarned x ratio x requests + kHeld x slack, also of those that are cut off or restart once in it.
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>

namespace burlwind::distributed_quota {

class TryBudget {
 public:
  void set(double ratio, double slack, unsigned proxies) {
    earned_ = proxies > 0 ? kEarned * ratio : 0;
    most_ = proxies > 0 ? std::max(0.5, kHeld * slack / proxies) : 0;
  }
  void first(const std::string& service) {
    double& level = levels_.try_emplace(service, most_ / 2).first->second;
    level = std::min(most_, level + earned_);
  }
  bool take(const std::string& service) {
    double& level = levels_.try_emplace(service, most_ / 2).first->second;
    if (level < 1) return false;
    return level -= 1, true;
  }
  // A try that was taken and reached no worker.
  void giveBack(const std::string& service) {
    double& level = levels_.try_emplace(service, most_ / 2).first->second;
    level = std::min(most_, level + 1);
  }
  double left(const std::string& service) const {
    const auto found = levels_.find(service);
    return found == levels_.end() ? most_ / 2 : found->second;
  }

 private:
  static constexpr double kEarned = 0.7, kHeld = 0.6;
  double earned_ = 0, most_ = 1;
  std::unordered_map<std::string, double> levels_;
};

}  // namespace burlwind::distributed_quota
