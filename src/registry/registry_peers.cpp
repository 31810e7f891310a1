#include "registry/registry_peers.hpp"

#include <utility>

#include "program/log.hpp"

namespace burlwind::registry {

RegistryPeers::RegistryPeers(ControlMembership& membership, Registry& registry, QuotaService& quotas,
                             const DutyLease& lease, std::function<void(const rpc::Workers&)> workersChanged)
    : membership_(membership),
      registry_(registry),
      quotas_(quotas),
      lease_(lease),
      workersChanged_(std::move(workersChanged)) {}

void RegistryPeers::greet(const LinkPtr& link, const rpc::Handshake& handshake, double now) {
  // The newest link from a machine counts: what lies in an earlier one may be an earlier incarnation's.
  for (const auto& [other, peer] : links_)
    if (peer.ip == handshake.ip && other != link) other->close();
  links_[link] = {handshake.ip, now};
  membership_.linked({handshake.ip, handshake.zone, handshake.region});
}

void RegistryPeers::ended(const LinkPtr& link, double now) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  const std::string ip = found->second.ip;
  links_.erase(found);
  for (const auto& [other, peer] : links_)
    if (peer.ip == ip) return;
  program::info("registry link ends", {{"peer", ip}, {"proxies", registry_.reportedBy(ip)}});
  membership_.unlinked(ip);
  registry_.peerLost(ip, now);
}

void RegistryPeers::closeSilent(double now) {
  for (const auto& [link, peer] : links_)
    if (now - peer.heardAt > kPeerTimeout) link->close();
}

bool RegistryPeers::arrived(const LinkPtr& link, const rpc::Arrived& arrived, double now) {
  const auto found = links_.find(link);
  if (found == links_.end()) return false;
  found->second.heardAt = now;
  if (rpc::Sessions sessions; arrived.kind == rpc::kSessions && arrived.read(sessions)) {
    onSessions(link, sessions, now);
  } else if (rpc::Workers workers; arrived.kind == rpc::kWorkers && arrived.read(workers)) {
    onWorkers(link, workers, now);
  } else if (rpc::Levels levels; arrived.kind == rpc::kLevels && arrived.read(levels)) {
    quotas_.heard(levels);
  } else if (rpc::UsageQuery query; arrived.kind == rpc::kUsageQuery && arrived.read(query)) {
    quotas_.asked(query, found->second.ip);
  } else if (rpc::UsageReport report; arrived.kind == rpc::kUsageReport && arrived.read(report)) {
    quotas_.usage(report, now);
  } else if (rpc::TokenRequest request; arrived.kind == rpc::kTokenRequest && arrived.read(request)) {
    link->tell(lease_.holds(now) ? quotas_.grant(request, now) : QuotaService::noHolder(request));
  }
  return true;
}

void RegistryPeers::onSessions(const LinkPtr& link, const rpc::Sessions& sessions, double now) {
  const bool isHeld = registry_.observeSessions(links_.at(link).ip, sessions, now);
  if (!isHeld) link->close();  // dialled anew, it begins with a whole list
}

void RegistryPeers::onWorkers(const LinkPtr& link, const rpc::Workers& workers, double now) {
  const auto taken = registry_.take(workers, now);
  if (taken == Registry::Taken::gap) return link->close();  // dialled anew, it begins with a whole one
  if (taken == Registry::Taken::news) workersChanged_(workers);
}

}  // namespace burlwind::registry
