#include "registry/directory.hpp"

#include <algorithm>

#include "program/log.hpp"

namespace burlwind::registry {
namespace {

constexpr double kAbroadLogPauseMs = 1000;  // between two log lines

bool contains(const std::vector<std::string>& regions, const std::string& region) {
  return std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

std::vector<std::string> Directory::addresses(const Lookup& lookup, double now) {
  const Candidates named = choose(lookup);
  count(lookup, named, now);
  std::vector<std::string> out;
  for (const rpc::ProxySession* proxy : named) out.push_back(proxy->front);
  return out;
}

// Its zone's proxies that are ready, and others in place of those known there that are not, drawn anew each
// time so that they share what is lost: from its region first, where links are narrow no more than half as
// many as stand there, the rest from everywhere.
Directory::Candidates Directory::choose(const Lookup& lookup) {
  Candidates out;
  Candidates near;
  Candidates far;
  bool narrow = false;
  for (const auto& [name, proxy] : registry_.sessions()) {
    if (!proxy.ready) continue;
    narrow = narrow || (proxy.linkMbps > 0 && proxy.linkMbps < kNarrowLinkMbps);
    (proxy.zone == lookup.zone ? out : proxy.region == lookup.region ? near : far).push_back(&proxy);
  }
  const std::size_t wanted = std::max(registry_.knownIn(lookup.zone), kLeastAddresses);
  const auto fill = [&](Candidates& from, std::size_t atMost) {
    std::shuffle(from.begin(), from.end(), random_);
    for (std::size_t i = 0; i < from.size() && i < atMost && out.size() < wanted; ++i) out.push_back(from[i]);
  };
  fill(near, narrow ? (near.size() + 1) / 2 : near.size());
  if (out.size() < kLeastAddresses || narrow) fill(far, far.size());
  if (out.empty()) fill(far, far.size());
  if (out.size() > kMostAddresses) out.resize(kMostAddresses);
  return out;
}

void Directory::count(const Lookup& lookup, const Candidates& named, double now) {
  if (named.empty()) return figures_.refused();
  const config::HostHomes* const homes = configuration_ ? configuration_->homesOf(lookup.host) : nullptr;
  std::size_t abroad = 0;
  bool namesUnfit = false;
  for (const rpc::ProxySession* proxy : named) {
    Place place = homes ? Place::unfitRegion : Place::freeRegion;
    if (proxy->zone == lookup.zone)
      place = Place::ownZone;
    else if (proxy->region == lookup.region)
      place = Place::ownRegion;
    else if (homes && contains(homes->ofEach, proxy->region))
      place = Place::homeRegion;
    figures_.named(place);
    namesUnfit = namesUnfit || place == Place::unfitRegion;
    abroad += place == Place::unfitRegion || place == Place::freeRegion;
  }
  figures_.answered(namesUnfit);
  if (abroad == 0 || now - abroadLoggedAt_ < kAbroadLogPauseMs) return;
  abroadLoggedAt_ = now;
  program::info("look-up names other regions", {{"host", lookup.host},
                                                {"zone", lookup.zone},
                                                {"named", named.size()},
                                                {"abroad", abroad},
                                                {"hasHomes", homes != nullptr},
                                                {"knownInZone", registry_.knownIn(lookup.zone)}});
}

}  // namespace burlwind::registry
