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
#include "registry/usage_recovery.hpp"
#include "rpc/messages.hpp"

namespace burlwind::registry {

class QuotaService {
 public:
  using Configuration = std::shared_ptr<const config::Configuration>;
  struct Hooks {
    std::function<bool()> holderIsLinked;
    std::function<void(const rpc::TokenRequest&)> tellHolder;
    std::function<void(const rpc::TokenResponse&)> tellProxy;
    std::function<void(const rpc::Levels&)> tellLevels;                          // the other registries
    std::function<void(const rpc::UsageQuery&)> askProxies;                      // this registry's own
    std::function<void(const rpc::UsageQuery&)> askRegistries;                   // the others, to ask theirs
    std::function<void(const std::string& ip, const rpc::UsageReport&)> report;  // to that registry
  };
  QuotaService(std::string ip, std::uint64_t incarnation, const Registry& registry, const DutyLease& lease,
               Hooks hooks);

  // Grants of limits that are lower now are lent no more.
  void setConfiguration(Configuration configuration);

  // How many proxies there may be, as the stores have agreed; 0: not told yet.
  void setCeiling(unsigned proxies) { ceiling_ = proxies; }

  // As the holder.
  void takeDuty(double now);
  void regainDuty(double now) { allocator_.skip(now); }
  rpc::TokenResponse grant(const rpc::TokenRequest& request, double now);
  // What is promised of the stores' levels.
  std::vector<rpc::Level> levels() const { return allocator_.floors(); }
  // Promises that are due.
  std::optional<rpc::Levels> changedLevels(double now);

  // The answer of who doesn't hold the duties.
  static rpc::TokenResponse noHolder(const rpc::TokenRequest& request);

  // What a proxy has let in, as it or its registry tells.
  void usage(const rpc::UsageReport& report, double now);
  // The question that is still open, for a registry that has linked just now.
  std::optional<rpc::UsageQuery> openQuery(double now) const { return recovery_.query(now); }

  // As one of the others.
  // The holder, at that address, asks. What its predecessors granted, and lies in this cell, is dropped.
  void asked(const rpc::UsageQuery& query, const std::string& ip);
  // The last one, for a proxy that begins a session: whether it is still open only the holder knows.
  std::optional<rpc::UsageQuery> lastQuery() const {
    return askedEpoch_ > 0 ? std::optional(rpc::UsageQuery{askedEpoch_}) : std::nullopt;
  }
  void heard(const rpc::Levels& levels);
  // Of one of its own proxies. Where no holder can be reached it is told so at once: the holder, if there is
  // one, hears no more of this registry's proxies and sets their own parts aside.
  void demand(const rpc::TokenRequest& request, double now);
  // By the holder. What answers another process, or was granted under an earlier epoch, is dropped.
  void granted(const rpc::TokenResponse& response, double now);
  void askHolder(double now);

  // Tokens of each tenant in this registry's cell; in its stores, where it holds the duties.
  std::vector<distributed_quota::TenantTokens> cellTokens(double now) const {
    return aggregator_.tokens(now);
  }
  std::vector<distributed_quota::TenantTokens> storeTokens() const { return allocator_.tokens(); }
  std::string metrics(double now) const;  // Prometheus text format
  void report(double now) const;          // logs the tokens of the tenants that press

 private:
  using Answers = std::vector<distributed_quota::QuotaAggregator::Answer>;
  void creditIdle(double now);
  void recoverLevels(double now);
  double reach(double now);  // the part of the proxies that draw on the holder
  void takeGrants(const rpc::TokenResponse& response, double now);
  void tellGrants(const Answers& answers);
  bool reachesHolder(double now) const;

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
  unsigned ceiling_ = 0;
  UsageRecovery recovery_;
  std::uint64_t askedEpoch_ = 0;  // of the newest question that was passed on,
  std::string askedBy_;           // and who asked
  bool knowsLevels_ = false;      // began with what the holder before promised
  double takenAt_ = -1e18;        // the duties
  double reach_ = 1, reachAt_ = -1e18;
  bool holderHasNone_ = false;     // who was asked last as the holder answered that it is none
  std::uint64_t newestEpoch_ = 0;  // that anything was heard of: what an earlier owner granted is dropped
  double levelsAt_ = 0;
};

}  // namespace burlwind::registry
