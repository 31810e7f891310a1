// Which registry a proxy tries next: decisions only, no I/O, time handed in, randomness from a seed.
//
// Candidates are the registries that the control plane's membership lists, the seeds of the settings and a
// few that were listed before. A search begins when the proxy has no good session and ends when it has one.
//
// Properties:
//  - Within a search no candidate is tried again before every other one has been tried as often. So with n
//    candidates, from any set of gone, cut-off, slow and living ones, a living one is tried within n tries
//    of the search's beginning, or of becoming known. Preferences order the tries of one pass only.
//  - What is forgotten: a registry that the membership no longer lists is kept as a fallback, behind those
//    listed and the seeds; of them the latest kMostFormer.
// Cost: one entry for each candidate; a pass over them for each choice.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rpc/messages.hpp"

namespace burlwind::proxy {

struct Place {
  std::string zone, region;
};

constexpr std::size_t kMostFormer = 8;
constexpr std::size_t kMostCandidates = 64;  // beyond it, what an unconfirmed registry mentions is ignored

class RegistrySelector {
 public:
  RegistrySelector(Place self, std::uint64_t seed) : self_(std::move(self)), random_(seed) {}

  // The seeds that the settings name now, by address; those named before become former ones.
  void setSeeds(const std::vector<std::string>& ips, double now);
  // The membership as the registry of a good session tells it: all others are former from now on. An older
  // `version` than the one held is ignored.
  void setListed(std::uint64_t version, const std::vector<rpc::Core>& registries, double now);
  // Mentioned by a registry that isn't known to be current: a candidate more, none less.
  void mention(const rpc::Core& registry, double now);

  // The next one to try while there is no good session; counted as a try. Empty: none but `excluded`.
  std::string next(const std::set<std::string>& excluded, double now);
  // A listed one nearer than `current` that has not failed for a while; empty: none. Not counted as a try.
  std::string nearer(const std::string& current, double now);

  void failed(const std::string& ip, double now);
  void succeeded(const std::string& ip);  // its session is good: the search is over
  std::size_t size() const { return candidates_.size(); }
  bool isListed(const std::string& ip) const;

 private:
  struct Candidate {
    rpc::Core place;  // zone empty where it isn't told
    bool listed = false, seed = false;
    unsigned tries = 0;  // in this search
    double failedAt = -1e18;
    double listedUntil = 0;  // of a former one
  };
  unsigned distance(const Candidate& candidate) const;
  Candidate& add(const std::string& ip);
  void forgetFormer();

  const Place self_;
  std::mt19937_64 random_;
  std::map<std::string, Candidate> candidates_;  // by ip
  std::uint64_t version_ = 0;
};

}  // namespace burlwind::proxy
