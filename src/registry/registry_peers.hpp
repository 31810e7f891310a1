// The other registries: the links that they have dialled, and what they tell of their proxies, of the workers
// and of the quotas.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "registry/control_membership.hpp"
#include "registry/dialer_set.hpp"
#include "registry/quota_service.hpp"
#include "registry/registry.hpp"
#include "rpc/link.hpp"
#include "rpc/messages.hpp"

namespace burlwind::registry {

class RegistryPeers {
 public:
  // `workersChanged`: a newer list was taken, this registry's proxies must be told.
  RegistryPeers(ControlMembership& membership, Registry& registry, QuotaService& quotas,
                const DutyLease& lease, std::function<void(const rpc::Workers&)> workersChanged);

  void greet(const LinkPtr& link, const rpc::Handshake& handshake, double now);
  // False where the link is none of a registry.
  bool arrived(const LinkPtr& link, const rpc::Arrived& arrived, double now);
  void ended(const LinkPtr& link, double now);
  // Closes the links on which nothing has come for kPeerTimeout: a machine that is gone ends none.
  void closeSilent(double now);

 private:
  struct Peer {
    std::string ip;  // of who dialled
    double heardAt = 0;
  };
  void onSessions(const LinkPtr& link, const rpc::Sessions& sessions, double now);
  void onWorkers(const LinkPtr& link, const rpc::Workers& workers, double now);

  ControlMembership& membership_;
  Registry& registry_;
  QuotaService& quotas_;
  const DutyLease& lease_;
  const std::function<void(const rpc::Workers&)> workersChanged_;
  std::map<LinkPtr, Peer> links_;
};

}  // namespace burlwind::registry
