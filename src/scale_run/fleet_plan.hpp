// What a play runs on: places, addresses, workers, and a configuration of the stated size. Pure: the same
// options give the same plan.
#pragma once

#include <string>
#include <vector>

#include "config/settings.hpp"
#include "scale_run/options.hpp"

namespace burlwind::scale_run {

constexpr std::uint16_t kControlPort = 28483, kDirectoryPort = 28485, kFrontPort = 28489,
                        kReadinessPort = 28484, kPlatformPort = 28482, kWorkerPort = 28480,
                        kFirstInternalPort = 27560, kLastInternalPort = 27575;

class FleetPlan {
 public:
  explicit FleetPlan(Options options);

  const Options& options() const { return options_; }
  std::string coreIp(unsigned core) const;        // 127.79.1.x
  std::string realProxyIp(unsigned proxy) const;  // 127.79.4.x
  std::string platformIp() const { return "127.79.9.1"; }
  std::string zoneOf(unsigned number) const;  // spread evenly
  std::string regionOf(const std::string& zone) const { return regionOf_.at(zone); }

  // Settings files (JSON) of real processes, and settings of a hollow proxy.
  std::string coreSettings(unsigned core, const std::string& dataFolder, bool firstBoot) const;
  std::string realProxySettings(unsigned proxy) const;
  config::Settings hollowProxySettings(unsigned proxy) const;

  // The configuration as an operator sends it: numbered `version`, on top of `parent`.
  std::string configuration(unsigned version, unsigned parent) const;

  struct Quota {
    std::string tenant;
    double rate = 0, burst = 0;  // requests a second, requests
  };
  // A few tenants are large: the k-th has a share of 1 / k. All rates together are twice the load.
  const std::vector<Quota>& quotas() const { return quotas_; }
  // The tenant of a request, from a number drawn from 0 to under 1: by the same shares.
  std::size_t tenantOf(double chance) const;
  double totalLoad(unsigned proxies) const { return options_.requestsPerSecond * proxies; }
  void setProxies(unsigned proxies);  // rates follow the load of so many

 private:
  std::string network(const std::string& bind) const;
  const Options options_;
  std::map<std::string, std::string> regionOf_;
  std::vector<std::string> zones_;
  std::vector<double> cumulated_;  // shares of tenants
  std::vector<Quota> quotas_;
};

}  // namespace burlwind::scale_run
