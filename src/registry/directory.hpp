// The directory: which proxies a client is told to use. Decisions only; time and randomness are handed in.
//
// Cost: a look-up goes once over the sessions of all proxies.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "config/configuration.hpp"
#include "registry/lookup_figures.hpp"
#include "registry/registry.hpp"

namespace burlwind::registry {

constexpr double kNarrowLinkMbps = 50;      // a link below it is soon full
constexpr std::size_t kLeastAddresses = 2;  // of one answer, where there are so many
constexpr std::size_t kMostAddresses = 64;

struct Lookup {
  std::string host, region, zone;  // of the client; any may be empty
};

class Directory {
 public:
  Directory(const Registry& registry, std::uint64_t seed) : registry_(registry), random_(seed) {}

  void setConfiguration(std::shared_ptr<const config::Configuration> configuration) {
    configuration_ = std::move(configuration);
  }
  // Addresses for that client; nothing where none is known that is ready.
  std::vector<std::string> addresses(const Lookup& lookup, double now);
  LookupFigures& figures() { return figures_; }

 private:
  using Candidates = std::vector<const rpc::ProxySession*>;
  Candidates choose(const Lookup& lookup);
  void count(const Lookup& lookup, const Candidates& named, double now);

  const Registry& registry_;
  std::shared_ptr<const config::Configuration> configuration_;  // null before the first
  std::mt19937_64 random_;
  LookupFigures figures_;
  double abroadLoggedAt_ = -1e18;
};

}  // namespace burlwind::registry
