// The quotas in a registry: while it holds the duties it gives tokens out of the stores; else it asks the
// registry that holds them for what its own proxies demand, and lends that on.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/configuration.hpp"
#include "distributed_quota/aggregator.hpp"
#include "distributed_quota/allocator.hpp"
#include "registry/duty_lease.hpp"
#include "registry/grant_fence.hpp"
#include "registry/registry.hpp"
#include "rpc/messages.hpp"

namespace burlwind::registry {

class QuotaService {
 public:
  using Configuration = std::shared_ptr<const config::Configuration>;
  struct Hooks {
    std::function<bool()> holderIsLinked;
    std::function<void(const rpc::TokenRequest&)> tellHolder;
    std::function<void(const rpc::TokenResponse&)> tellProxy;
  };
  QuotaService(std::string ip, std::uint64_t incarnation, const Registry& registry, const DutyLease& lease,
               Hooks hooks);

  void setConfiguration(Configuration configuration) { configuration_ = std::move(configuration); }

  // As the holder.
  void takeDuty(double now);
  void regainDuty(double now) { allocator_.skip(now); }
  rpc::TokenResponse grant(const rpc::TokenRequest& request, double now);
  std::vector<rpc::Level> levels() const { return allocator_.all(); }
  // What has changed of them, where it is time to tell it.
  std::optional<rpc::Levels> changedLevels(double now);

  // As one of the others.
  void heard(const rpc::Levels& levels);
  void demand(const rpc::TokenRequest& request, double now);  // of one of its own proxies
  // By the holder. What answers another process, or was granted under an earlier epoch, is dropped.
  void granted(const rpc::TokenResponse& response, double now);
  void askHolder(double now);

 private:
  using Answers = std::vector<distributed_quota::QuotaAggregator::Answer>;
  void takeGrants(const rpc::TokenResponse& response, double now);
  void tellGrants(const Answers& answers);

  const std::string ip_;
  const std::uint64_t incarnation_;
  const Registry& registry_;
  const DutyLease& lease_;
  const Hooks hooks_;
  Configuration configuration_;
  distributed_quota::QuotaAllocator allocator_;
  distributed_quota::QuotaAggregator aggregator_;
  GrantFence fence_;
  struct {
    std::uint64_t epoch = 0;
    std::map<std::string, double> levels;  // by tenant
  } standby_;                              // what the holder tells of its allocator
  std::uint64_t newestEpoch_ = 0;  // that anything was heard of: what an earlier owner granted is dropped
  double levelsAt_ = 0;
};

}  // namespace burlwind::registry
