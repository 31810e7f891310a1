#include "proxy/registry_selector.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace burlwind::proxy {
namespace {

constexpr double kFailedLately =
    15000;  // ms that one that failed comes last, and is not tried as a nearer one

}  // namespace

RegistrySelector::Candidate& RegistrySelector::add(const std::string& ip) {
  if (const auto found = candidates_.find(ip); found != candidates_.end()) return found->second;
  // Who becomes known in the middle of a search is not owed the tries that the others have had.
  unsigned fewest = candidates_.empty() ? 0 : candidates_.begin()->second.tries;
  for (const auto& [other, known] : candidates_) fewest = std::min(fewest, known.tries);
  Candidate& candidate = candidates_[ip];
  candidate.place.ip = ip;
  candidate.tries = fewest;
  return candidate;
}

void RegistrySelector::setSeeds(const std::vector<std::string>& ips, double now) {
  for (auto& [ip, candidate] : candidates_)
    if (std::exchange(candidate.seed, false)) candidate.listedUntil = now;
  for (const std::string& ip : ips) add(ip).seed = true;
  forgetFormer();
}

void RegistrySelector::setListed(std::uint64_t version, const std::vector<rpc::Core>& registries,
                                 double now) {
  if (version < version_ || registries.empty()) return;
  version_ = version;
  for (auto& [ip, candidate] : candidates_)
    if (std::exchange(candidate.listed, false)) candidate.listedUntil = now;
  for (const rpc::Core& registry : registries) {
    Candidate& candidate = add(registry.ip);
    candidate.listed = true;
    if (!registry.zone.empty()) candidate.place = registry;
  }
  forgetFormer();
}

void RegistrySelector::mention(const rpc::Core& registry, double now) {
  if (!candidates_.contains(registry.ip) && candidates_.size() >= kMostCandidates) return;
  Candidate& candidate = add(registry.ip);
  candidate.listedUntil = now;
  if (!registry.zone.empty()) candidate.place = registry;
}

void RegistrySelector::forgetFormer() {
  std::vector<std::pair<double, std::string>> former;
  for (const auto& [ip, candidate] : candidates_)
    if (!candidate.listed && !candidate.seed) former.emplace_back(candidate.listedUntil, ip);
  if (former.size() <= kMostFormer) return;
  std::sort(former.begin(), former.end());
  former.resize(former.size() - kMostFormer);
  for (const auto& [until, ip] : former) candidates_.erase(ip);
}

unsigned RegistrySelector::distance(const Candidate& candidate) const {
  if (candidate.place.zone.empty()) return 2;
  if (candidate.place.zone == self_.zone) return 0;
  return candidate.place.region == self_.region ? 1 : 2;
}

std::string RegistrySelector::next(const std::set<std::string>& excluded, double now) {
  using Rank = std::tuple<unsigned, unsigned, bool, unsigned>;
  Candidate* best = nullptr;
  Rank bestRank;
  unsigned ties = 0;
  for (auto& [ip, candidate] : candidates_) {
    if (excluded.contains(ip)) continue;
    const unsigned kind = candidate.listed ? 0 : candidate.seed ? 1 : 2;
    const bool failedLately = now - candidate.failedAt < kFailedLately;
    const Rank rank(candidate.tries, kind, failedLately, distance(candidate));
    if (!best || rank < bestRank) {
      best = &candidate, bestRank = rank, ties = 1;
    } else if (rank == bestRank && random_() % ++ties == 0) {
      best = &candidate;
    }
  }
  if (!best) return {};
  ++best->tries;
  return best->place.ip;
}

std::string RegistrySelector::nearer(const std::string& current, double now) {
  const auto found = candidates_.find(current);
  unsigned bestDistance = found == candidates_.end() ? 2 : distance(found->second);
  const bool currentIsListed = found != candidates_.end() && found->second.listed;
  std::string best;
  unsigned ties = 0;
  for (const auto& [ip, candidate] : candidates_) {
    const bool useful = candidate.listed || !currentIsListed;
    if (ip == current || !useful || now - candidate.failedAt < kFailedLately) continue;
    const unsigned away = distance(candidate);
    if (away < bestDistance)
      best = ip, bestDistance = away, ties = 1;
    else if (away == bestDistance && ties > 0 && random_() % ++ties == 0)
      best = ip;
  }
  return best;
}

void RegistrySelector::failed(const std::string& ip, double now) {
  const auto found = candidates_.find(ip);
  if (found != candidates_.end()) found->second.failedAt = now;
}

void RegistrySelector::succeeded(const std::string& ip) {
  for (auto& [other, candidate] : candidates_) candidate.tries = 0;
  const auto found = candidates_.find(ip);
  if (found != candidates_.end()) found->second.failedAt = -1e18;
}

bool RegistrySelector::isListed(const std::string& ip) const {
  const auto found = candidates_.find(ip);
  return found != candidates_.end() && found->second.listed;
}

}  // namespace burlwind::proxy
