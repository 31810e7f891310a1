// The other registries: the links that they have dialled, and what they tell of their proxies, of the workers
// and of the quotas. Who they are is told on to the proxies.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "registry/dialer_set.hpp"
#include "registry/quota_service.hpp"
#include "registry/registry.hpp"
#include "rpc/link.hpp"
#include "rpc/messages.hpp"

namespace burlwind::registry {

class RegistryPeers {
 public:
  // `self`: this registry's own place. `workersChanged`: a newer list was taken, its proxies must be told.
  RegistryPeers(rpc::Core self, Registry& registry, QuotaService& quotas, const DutyLease& lease,
                std::function<void(const rpc::Workers&)> workersChanged);

  void greet(const LinkPtr& link, const rpc::Handshake& handshake);
  // False where the link is none of a registry.
  bool arrived(const LinkPtr& link, const rpc::Arrived& arrived, double now);
  void ended(const LinkPtr& link) { links_.erase(link); }
  // What the proxies are told of the registries, and how many proxies there are in each zone.
  rpc::Cores cores(double now) const;

 private:
  void onWorkers(const LinkPtr& link, const rpc::Workers& workers, double now);

  Registry& registry_;
  QuotaService& quotas_;
  const DutyLease& lease_;
  const std::function<void(const rpc::Workers&)> workersChanged_;
  std::map<LinkPtr, std::string> links_;    // ip of who dialled
  std::map<std::string, rpc::Core> cores_;  // by ip
};

}  // namespace burlwind::registry
