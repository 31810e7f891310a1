#include "registry/directory.hpp"

#include <algorithm>
#include <utility>

namespace burlwind::registry {
namespace {

bool contains(const std::vector<std::string>& regions, const std::string& region) {
  return std::find(regions.begin(), regions.end(), region) != regions.end();
}

Place placeOf(const rpc::ProxySession& proxy, const Lookup& lookup, const config::HostHomes* homes) {
  if (proxy.zone == lookup.zone) return Place::ownZone;
  if (proxy.region == lookup.region) return Place::ownRegion;
  if (!homes) return Place::freeRegion;
  return contains(homes->ofSome, proxy.region) ? Place::homeRegion : Place::unfitRegion;
}

}  // namespace

// Proxies that are ready.
struct Directory::ByPlace {
  Candidates ownZone, ownRegion, homesOfEach, homesOfSome, others;
  bool narrow = false;
};

Directory::ByPlace Directory::candidates(const Lookup& lookup, const config::HostHomes* homes,
                                         double now) const {
  ByPlace out;
  for (const rpc::ProxySession* proxy : registry_.proxies(now)) {
    if (!proxy->ready) continue;
    out.narrow = out.narrow || (proxy->linkMbps > 0 && proxy->linkMbps < kNarrowLinkMbps);
    switch (placeOf(*proxy, lookup, homes)) {
      case Place::ownZone:
        out.ownZone.push_back(proxy);
        break;
      case Place::ownRegion:
        out.ownRegion.push_back(proxy);
        break;
      case Place::homeRegion:
        (contains(homes->ofEach, proxy->region) ? out.homesOfEach : out.homesOfSome).push_back(proxy);
        break;
      case Place::unfitRegion:
      case Place::freeRegion:
        out.others.push_back(proxy);
        break;
    }
  }
  return out;
}

// Drawn anew each time, so that those named share what is lost.
void Directory::fill(Candidates& into, Candidates& from, std::size_t upTo) {
  std::shuffle(from.begin(), from.end(), random_);
  for (std::size_t i = 0; i < from.size() && into.size() < upTo; ++i) into.push_back(from[i]);
}

// Its zone's proxies, and others in place of those known there that are not ready: from its region first,
// where links are narrow no more than half as many as stand there, the rest from everywhere.
Directory::Candidates Directory::choose(ByPlace& from, std::size_t wanted) {
  Candidates out = std::move(from.ownZone);
  const std::size_t near = from.narrow ? (from.ownRegion.size() + 1) / 2 : from.ownRegion.size();
  fill(out, from.ownRegion, std::min(wanted, out.size() + near));
  if (out.size() < kLeastAddresses || from.narrow) fill(out, from.others, wanted);
  return out;
}

// The same for a host with homes: nobody abroad while one that fits is ready.
Directory::Candidates Directory::chooseFit(ByPlace& from, std::size_t wanted) {
  Candidates out = std::move(from.ownZone);
  fill(out, from.ownRegion, wanted);
  if (out.size() < kLeastAddresses) fill(out, from.homesOfEach, wanted);
  if (out.empty()) fill(out, from.homesOfSome, wanted);
  if (out.empty()) fill(out, from.others, wanted);
  return out;
}

void Directory::observe(const ViewState& state, double now) {
  const double age = now - begunAt_;
  const double needed = state.allPresent ? 0 : state.linked ? kSessionsReturn : kViewSettles;
  settled_ = settled_ || (state.confirmed && age >= needed) || age >= kViewAtLast;
}

LookupAnswer Directory::answer(Lookup lookup, double now) {
  if (!settled_) {
    figures_.refused();
    return {.addresses = {}, .tooEarly = true};
  }
  if (lookup.region.empty()) lookup.region = registry_.regionOf(lookup.zone);
  const config::HostHomes* const homes = configuration_ ? configuration_->homesOf(lookup.host) : nullptr;
  ByPlace all = candidates(lookup, homes, now);
  const std::size_t wanted = std::max(registry_.knownIn(lookup.zone), kLeastAddresses);
  Candidates named = homes ? chooseFit(all, wanted) : choose(all, wanted);
  if (named.size() > kMostAddresses) {
    std::shuffle(named.begin(), named.end(), random_);
    named.resize(kMostAddresses);
  }
  LookupAnswer out;
  out.hasHomes = homes != nullptr;
  for (const rpc::ProxySession* proxy : named) {
    const Place place = placeOf(*proxy, lookup, homes);
    figures_.named(place);
    out.abroad += place == Place::unfitRegion || place == Place::freeRegion;
    out.addresses.push_back(proxy->front);
  }
  if (named.empty())
    figures_.refused();
  else
    figures_.answered(homes && out.abroad > 0);
  return out;
}

}  // namespace burlwind::registry
