#include "registry/control_membership.hpp"

#include <algorithm>
#include <utility>

namespace burlwind::registry {

ControlMembership::ControlMembership(rpc::Core self) : self_(self.ip) {
  linked_.insert(self_);
  places_[self_] = std::move(self);
}

void ControlMembership::setSeeds(const std::vector<std::string>& ips) { seeds_ = {ips.begin(), ips.end()}; }

void ControlMembership::agree(std::uint64_t index, const std::vector<std::string>& voters) {
  if (index < version_ || voters.empty()) return;
  version_ = index;
  voters_ = {voters.begin(), voters.end()};
}

void ControlMembership::linked(const rpc::Core& registry) {
  linked_.insert(registry.ip);
  places_[registry.ip] = registry;
}

void ControlMembership::unlinked(const std::string& ip) {
  if (ip != self_) linked_.erase(ip);
}

std::set<std::string> ControlMembership::listedIps() const {
  std::set<std::string> out = voters_;
  out.insert(linked_.begin(), linked_.end());
  return out;
}

std::set<std::string> ControlMembership::wanted(bool confirmed, double now) {
  if (!confirmed || !std::exchange(asked_, true)) unconfirmedAt_ = now;
  std::set<std::string> out = listedIps();
  if (now - unconfirmedAt_ < kSettled) {
    out.insert(kept_.begin(), kept_.end());
    out.insert(seeds_.begin(), seeds_.end());
  } else {
    std::erase_if(places_, [&](const auto& place) { return !out.contains(place.first); });
  }
  kept_ = out;
  return out;
}

std::vector<rpc::Core> ControlMembership::listed() const {
  std::vector<rpc::Core> out;
  for (const std::string& ip : listedIps()) {
    const auto place = places_.find(ip);
    out.push_back(place == places_.end() ? rpc::Core{ip, "", ""} : place->second);
  }
  return out;
}

bool ControlMembership::complete() const {
  return !voters_.empty() && std::includes(linked_.begin(), linked_.end(), voters_.begin(), voters_.end());
}

}  // namespace burlwind::registry
