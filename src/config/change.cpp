#include "config/change.hpp"

namespace burlwind::config {

Change changeOf(const Settings& inForce, const Settings& told) {
  Change out{inForce, {}, {}};
  const auto take = [&](const char* path, auto Settings::*field) {
    if (inForce.*field == told.*field) return;
    out.taken.emplace_back(path);
    out.inForce.*field = told.*field;
  };
  take("network.seedNodes", &Settings::seeds);
  take("network.zones", &Settings::regionOf);
  take("provider.cloudApi.address", &Settings::platform);
  take("provider.cloudApi.ratePerS", &Settings::platformRate);
  take("provider.cloudApi.maxLag", &Settings::platformLag);
  take("self.limits.memoryMb", &Settings::memoryMb);
  take("self.limits.bandwidthMbps", &Settings::linkMbps);
  take("settings.tolerance.machines", &Settings::bearsMachines);
  take("settings.bounds", &Settings::bounds);
  const auto waits = [&](const char* path, auto Settings::*field) {
    if (inForce.*field != told.*field) out.waiting.emplace_back(path);
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
