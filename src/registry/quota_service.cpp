#include "registry/quota_service.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "program/log.hpp"

namespace burlwind::registry {
namespace {
// The holder tells the levels of its stores so often, and who comes next believes so much of them: what the
// one before may have given out since is less than the rule leaves above the quota.
constexpr double kLevelsPause = 500, kBelieved = 0.5;
// Where all proxies have started anew of late, what comes in over so long is there at the least: while they
// were down nobody was let in, and half a second of the rate is within what the rule leaves above the quota.
constexpr double kYoung = 5000, kRestarted = 500;
}  // namespace

QuotaService::QuotaService(std::string ip, std::uint64_t incarnation, const Registry& registry,
                           const DutyLease& lease, Hooks hooks)
    : ip_(std::move(ip)),
      incarnation_(incarnation),
      registry_(registry),
      lease_(lease),
      hooks_(std::move(hooks)),
      fence_(incarnation) {}

// What came in while nobody can have let anything in, and what the holder before told of its stores.
void QuotaService::takeDuty(double now) {
  double quiet = registry_.allQuiet();
  if (registry_.allYounger(kYoung, now)) quiet = std::max(quiet, kRestarted);
  allocator_.clear(now, quiet);
  if (standby_.epoch + 1 == lease_.epoch())
    for (const auto& [tenant, level] : standby_.levels) allocator_.begin(tenant, kBelieved * level, now);
  program::info("takes the duties",
                {{"epoch", lease_.epoch()}, {"quiet", quiet}, {"levels", standby_.levels.size()}});
}

rpc::TokenResponse QuotaService::grant(const rpc::TokenRequest& request, double now) {
  rpc::TokenResponse out{request.number, request.proxy, request.incarnation, {}, lease_.epoch()};
  if (!configuration_) return out;
  const auto counts = registry_.counts(now);
  allocator_.setReach(counts.known ? static_cast<double>(counts.live) / counts.known : 1);
  const auto& tenants = configuration_->tenants;
  for (const rpc::TokenDemand& demand : request.demands) {
    const auto tenant = std::find_if(tenants.begin(), tenants.end(),
                                     [&](const auto& known) { return known.name == demand.tenant; });
    if (tenant == tenants.end()) continue;
    const auto given = allocator_.take(request.proxy, demand.tenant, {tenant->rate, tenant->burst},
                                       demand.want, demand.asked, now);
    out.grants.push_back({demand.tenant, given.granted, given.use, given.empty});
  }
  return out;
}

std::optional<rpc::Levels> QuotaService::changedLevels(double now) {
  if (!lease_.holds(now) || now < levelsAt_) return std::nullopt;
  levelsAt_ = now + kLevelsPause;
  rpc::Levels out{lease_.epoch(), allocator_.changed()};
  if (out.levels.empty()) return std::nullopt;
  return out;
}

void QuotaService::heard(const rpc::Levels& levels) {
  newestEpoch_ = std::max(newestEpoch_, levels.epoch);
  if (levels.epoch < standby_.epoch) return;
  if (levels.epoch > standby_.epoch) standby_.levels.clear();
  standby_.epoch = levels.epoch;
  for (const auto& level : levels.levels) standby_.levels[level.tenant] = level.level;
}

void QuotaService::demand(const rpc::TokenRequest& request, double now) {
  Answers answers;
  for (const rpc::TokenDemand& demand : request.demands)
    aggregator_.demand({request.proxy, request.incarnation, request.number}, demand, now, answers);
  tellGrants(answers);
  askHolder(now);
}

void QuotaService::granted(const rpc::TokenResponse& response, double now) {
  if (!fence_.accepts(response, std::max(lease_.ownerEpoch(), newestEpoch_), now)) return;
  newestEpoch_ = response.epoch;
  takeGrants(response, now);
}

void QuotaService::askHolder(double now) {
  const bool mine = lease_.holds(now);
  if (!mine && !hooks_.holderIsLinked()) return;
  rpc::TokenRequest request = aggregator_.request(now);
  if (request.demands.empty()) return;
  request.proxy = ip_, request.incarnation = incarnation_;
  // The holder's own cell asks as any other: its proxies, one by one, would each have a share too small
  // for a whole request.
  if (mine) return takeGrants(grant(request, now), now);
  fence_.asked(request.number, now);
  hooks_.tellHolder(request);
}

void QuotaService::takeGrants(const rpc::TokenResponse& response, double now) {
  Answers answers;
  for (const rpc::TokenGrant& grant : response.grants)
    aggregator_.granted(response.number, grant, now, answers);
  tellGrants(answers);
}

// One message for each request of a proxy that is answered.
void QuotaService::tellGrants(const Answers& answers) {
  std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, rpc::TokenResponse> byRequest;
  for (const auto& [to, grant] : answers) {
    auto& response = byRequest[{to.proxy, to.incarnation, to.number}];
    response.number = to.number, response.proxy = to.proxy, response.incarnation = to.incarnation;
    response.grants.push_back(grant);
  }
  for (const auto& [request, response] : byRequest) hooks_.tellProxy(response);
}

}  // namespace burlwind::registry
