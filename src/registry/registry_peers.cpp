#include "registry/registry_peers.hpp"

#include <utility>

namespace burlwind::registry {

RegistryPeers::RegistryPeers(rpc::Core self, Registry& registry, QuotaService& quotas, const DutyLease& lease,
                             std::function<void(const rpc::Workers&)> workersChanged)
    : registry_(registry), quotas_(quotas), lease_(lease), workersChanged_(std::move(workersChanged)) {
  cores_[self.ip] = std::move(self);
}

void RegistryPeers::greet(const LinkPtr& link, const rpc::Handshake& handshake) {
  // The newest link from a machine counts: what lies in an earlier one may be an earlier incarnation's.
  for (const auto& [other, ip] : links_)
    if (ip == handshake.ip && other != link) other->close();
  links_[link] = handshake.ip;
  cores_[handshake.ip] = {handshake.ip, handshake.zone, handshake.region};
}

bool RegistryPeers::arrived(const LinkPtr& link, const rpc::Arrived& arrived, double now) {
  const auto found = links_.find(link);
  if (found == links_.end()) return false;
  if (rpc::Sessions sessions; arrived.kind == rpc::kSessions && arrived.read(sessions)) {
    registry_.heard(found->second, sessions, now);
  } else if (rpc::Workers workers; arrived.kind == rpc::kWorkers && arrived.read(workers)) {
    onWorkers(link, workers, now);
  } else if (rpc::Levels levels; arrived.kind == rpc::kLevels && arrived.read(levels)) {
    quotas_.heard(levels);
  } else if (rpc::TokenRequest request; arrived.kind == rpc::kTokenRequest && arrived.read(request)) {
    if (lease_.holds(now)) link->tell(quotas_.grant(request, now));
  }
  return true;
}

void RegistryPeers::onWorkers(const LinkPtr& link, const rpc::Workers& workers, double now) {
  const auto taken = registry_.take(workers, now);
  if (taken == Registry::Taken::gap) return link->close();  // dialled anew, it begins with a whole one
  if (taken == Registry::Taken::news) workersChanged_(workers);
}

rpc::Cores RegistryPeers::cores(double now) const {
  rpc::Cores out;
  for (const auto& [ip, core] : cores_) out.cores.push_back(core);
  out.proxies = registry_.counts(now).byZone;
  return out;
}

}  // namespace burlwind::registry
