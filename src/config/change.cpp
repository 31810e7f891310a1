#include "config/change.hpp"

#include <tuple>

namespace burlwind::config {
namespace {

bool same(const Bounds& a, const Bounds& b) {
  const auto all = [](const Bounds& x) {
    return std::tuple(x.apply, x.drain, x.evacuate, x.ack, x.quiet, x.grace, x.lossSlack, x.retryRatio,
                      x.retryWindow, x.retrySlack, x.quotaWindow, x.quotaExcess, x.quotaSlack, x.coldExcess,
                      x.coldSlack, x.reuseAfter, x.ttlMost);
  };
  return all(a) == all(b);
}

}  // namespace

Change changeOf(const Settings& inForce, const Settings& told) {
  Change out{inForce, {}, {}};
  const auto take = [&](const char* path, bool differs, auto Settings::*field) {
    if (!differs) return;
    out.taken.push_back(path);
    out.inForce.*field = told.*field;
  };
  const auto plain = [&](const char* path, auto Settings::*field) {
    take(path, inForce.*field != told.*field, field);
  };
  plain("network.seedNodes", &Settings::seeds);
  plain("network.zones", &Settings::regionOf);
  plain("provider.cloudApi.address", &Settings::platform);
  plain("provider.cloudApi.ratePerS", &Settings::platformRate);
  plain("provider.cloudApi.maxLag", &Settings::platformLag);
  plain("self.limits.memoryMb", &Settings::memoryMb);
  plain("self.limits.bandwidthMbps", &Settings::linkMbps);
  plain("settings.tolerance.machines", &Settings::bearsMachines);
  take("settings.bounds", !same(inForce.bounds, told.bounds), &Settings::bounds);
  const auto waits = [&](const char* path, auto Settings::*field) {
    if (inForce.*field != told.*field) out.waiting.push_back(path);
  };
  waits("self.nodeName", &Settings::name);
  waits("self.ipAddress", &Settings::ip);
  waits("self.zone", &Settings::zone);
  waits("self.region", &Settings::region);
  waits("self.dataFolder", &Settings::dataFolder);
  waits("network.bind.front", &Settings::front);
  waits("network.bind.readiness", &Settings::readiness);
  waits("network.bind.control", &Settings::control);
  waits("network.bind.directory", &Settings::directory);
  waits("network.internalPorts", &Settings::portFrom);
  return out;
}

}  // namespace burlwind::config
