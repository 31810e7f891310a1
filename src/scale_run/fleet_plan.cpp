#include "scale_run/fleet_plan.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace burlwind::scale_run {
namespace {

constexpr double kQuotaOverLoad = 2;  // the tenants' rates together, as a multiple of the load
constexpr unsigned kKeysPerTenant = 2, kRoutesPerHost = 4;

// A name such as real ones are: short letters, then the number.
std::string named(const char* stem, unsigned number) {
  char out[32];
  std::snprintf(out, sizeof out, "%s%05u", stem, number);
  return out;
}

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

std::string endpoint(const std::string& ip, std::uint16_t port) {
  return quoted(ip + ":" + std::to_string(port));
}

std::string decimal(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%.3f", value);
  return out;
}

}  // namespace

FleetPlan::FleetPlan(Options options) : options_(std::move(options)) {
  for (unsigned zone = 0; zone < options_.zones; ++zone) {
    zones_.push_back(named("zone-", zone));
    regionOf_[zones_.back()] = named("region-", zone % options_.regions);
  }
  double sum = 0;
  for (unsigned rank = 1; rank <= options_.tenants; ++rank) cumulated_.push_back(sum += 1.0 / rank);
  for (double& share : cumulated_) share /= sum;
  setProxies(1);
}

void FleetPlan::setProxies(unsigned proxies) {
  quotas_.clear();
  double before = 0;
  for (unsigned i = 0; i < options_.tenants; ++i) {
    const double rate = std::max(1.0, kQuotaOverLoad * totalLoad(proxies) * (cumulated_[i] - before));
    quotas_.push_back({named("tenant", i), rate, rate});
    before = cumulated_[i];
  }
}

std::size_t FleetPlan::tenantOf(double chance) const {
  const auto found = std::upper_bound(cumulated_.begin(), cumulated_.end(), chance);
  return std::min<std::size_t>(static_cast<std::size_t>(found - cumulated_.begin()), quotas_.size() - 1);
}

std::string FleetPlan::coreIp(unsigned core) const { return "127.79.1." + std::to_string(core + 1); }
std::string FleetPlan::realProxyIp(unsigned proxy) const { return "127.79.4." + std::to_string(proxy + 1); }
std::string FleetPlan::zoneOf(unsigned number) const { return zones_[number % zones_.size()]; }

std::string FleetPlan::network(const std::string& bind) const {
  std::string seeds;
  std::string zones;
  for (unsigned i = 0; i < std::min(options_.registries, 3u); ++i)
    seeds += (i ? "," : "") + endpoint(coreIp(i), kControlPort);
  for (const auto& [zone, region] : regionOf_)
    zones += (zones.empty() ? "" : ",") + quoted(zone) + ":" + quoted(region);
  return R"("network":{"bind":{)" + bind + R"(},"internalPorts":[)" + std::to_string(kFirstInternalPort) +
         "," + std::to_string(kLastInternalPort) + R"(],"seedNodes":[)" + seeds + R"(],"zones":{)" + zones +
         R"(}},"provider":{"cloudApi":{"address":)" + endpoint(platformIp(), kPlatformPort) +
         R"(,"ratePerS":)" + decimal(options_.platformRate) + R"(,"maxLag":")" +
         decimal(options_.platformLag) + R"(ms"}},"settings":{"tolerance":{"machines":1},"bounds":{)" +
         R"("grace":"6s","retryRatio":0.2,"retrySlack":60,"quotaSlack":20}})";
}

std::string FleetPlan::coreSettings(unsigned core, const std::string& dataFolder, bool firstBoot) const {
  const std::string ip = coreIp(core);
  const std::string zone = zoneOf(core);
  return R"({"self":{"nodeName":")" + named("core-", core) + R"(","ipAddress":")" + ip + R"(","zone":")" +
         zone + R"(","region":")" + regionOf(zone) + R"(","firstBoot":)" + (firstBoot ? "true" : "false") +
         R"(,"dataFolder":")" + dataFolder + R"(","limits":{}},)" +
         network(R"("control":)" + endpoint(ip, kControlPort) + R"(,"directory":)" +
                 endpoint(ip, kDirectoryPort)) +
         "}";
}

std::string FleetPlan::realProxySettings(unsigned proxy) const {
  const std::string ip = realProxyIp(proxy);
  const std::string zone = zoneOf(proxy);
  return R"({"self":{"nodeName":")" + named("edge-", proxy) + R"(","ipAddress":")" + ip + R"(","zone":")" +
         zone + R"(","region":")" + regionOf(zone) + R"(","dataFolder":null,"limits":{"memoryMb":260}},)" +
         network(R"("front":)" + endpoint(ip, kFrontPort) + R"(,"readiness":)" +
                 endpoint(ip, kReadinessPort)) +
         "}";
}

config::Settings FleetPlan::hollowProxySettings(unsigned proxy) const {
  config::Settings out;
  out.name = named("hollow-", proxy);
  out.ip = "127.79." + std::to_string(16 + proxy / 250) + "." + std::to_string(1 + proxy % 250);
  out.zone = zoneOf(proxy), out.region = regionOf(out.zone);
  out.front = config::Endpoint{out.ip, kFrontPort};
  out.portFrom = kFirstInternalPort, out.portUntil = kLastInternalPort;
  for (unsigned i = 0; i < std::min(options_.registries, 3u); ++i)
    out.seeds.push_back({coreIp(i), kControlPort});
  out.regionOf = regionOf_;
  out.linkMbps = 1000;
  out.bounds.quotaSlack = 20;
  return out;
}

std::string FleetPlan::configuration(unsigned version, unsigned parent) const {
  std::string out = R"({"generation":"r)" + std::to_string(version) + R"(","routes":[)";
  for (unsigned i = 0; i < options_.routes; ++i) {
    out += i ? ",{" : "{";
    out += R"("name":")" + named("route-", i) + R"(","hostname":")" + named("host", i / kRoutesPerHost) +
           R"(.example","pathPrefix":"/)" + named("part", i) + R"(/","kind":")" +
           (i % 3 ? "unsafe" : "safe") + R"(","timeout":"3000ms","target":"500ms","priority":)" +
           std::to_string(i % 3) + R"(,"backend":")" + named("service", i % options_.services) +
           R"(","tries":2,"public":false,"homeRegions":[]})";
  }
  out += R"(],"backends":[)";
  for (unsigned i = 0; i < options_.services; ++i) {
    out += i ? ",{" : "{";
    out +=
        R"("name":")" + named("service", i) +
        R"(","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"coldFor":"3s","coldRateS":13.0})";
  }
  out +=
      R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerRead":"3000ms","idle":"15000ms"},"customers":[)";
  for (unsigned i = 0; i < quotas_.size(); ++i) {
    out += i ? ",{" : "{";
    out += R"("name":")" + quotas_[i].tenant + R"(","apiKeys":[)";
    for (unsigned key = 0; key < kKeysPerTenant; ++key)
      out += (key ? "," : "") + quoted("key" + std::to_string(key) + named("tenant", i) + "abcdef");
    out += R"(],"priority":)" + std::to_string(i % 3) + R"(,"ratePerS":)" + decimal(quotas_[i].rate) +
           R"(,"burst":)" + decimal(quotas_[i].burst) + R"(,"homeRegions":[]})";
  }
  return out + R"(],"parentVersion":"r)" + std::to_string(parent) + "\"}";
}

}  // namespace burlwind::scale_run
