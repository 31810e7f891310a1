#include "registry/quota_service.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "distributed_quota/token_report.hpp"
#include "program/log.hpp"

namespace burlwind::registry {
namespace {
constexpr double kLevelsPause = 500;       // ms between two looks for floors that have risen
constexpr double kRestartedWithin = 5000;  // ms in which all proxies have begun anew
constexpr double kReachPause = 20;         // ms between two counts of the proxies that draw
constexpr double kCreditWithin = 2000;     // ms of the duties until all proxies' sessions are known
}  // namespace

QuotaService::QuotaService(std::string ip, std::uint64_t incarnation, const Registry& registry,
                           const DutyLease& lease, Hooks hooks)
    : ip_(std::move(ip)),
      incarnation_(incarnation),
      registry_(registry),
      lease_(lease),
      hooks_(std::move(hooks)),
      fence_(incarnation) {}

void QuotaService::setConfiguration(Configuration configuration) {
  if (configuration_ && configuration) {
    for (const config::Tenant& before : configuration_->tenants) {
      const auto& tenants = configuration->tenants;
      const auto after = std::find_if(tenants.begin(), tenants.end(), [&](const config::Tenant& tenant) {
        return tenant.name == before.name;
      });
      const bool lower = after == tenants.end() || after->rate < before.rate || after->burst < before.burst;
      if (lower) aggregator_.limitLowered(before.name);
    }
  }
  configuration_ = std::move(configuration);
}

// What came in while nobody can have let anything in, and what the holder before promised of its stores.
void QuotaService::takeDuty(double now) {
  takenAt_ = now;
  knowsLevels_ = standby_.epoch + 1 == lease_.epoch() && !standby_.levels.empty();
  allocator_.clear(now);
  if (knowsLevels_)
    for (const auto& [tenant, level] : standby_.levels) allocator_.begin(tenant, level, now);
  creditIdle(now);
  recovery_.begin(lease_.epoch(), now);
  const rpc::UsageQuery query{lease_.epoch()};
  asked(query, ip_);
  hooks_.askRegistries(query);
  program::info("takes the duties", {{"epoch", lease_.epoch()},
                                     {"levels", knowsLevels_ ? standby_.levels.size() : 0},
                                     {"drawing", registry_.drawing(now)},
                                     {"ceiling", ceiling_}});
}

void QuotaService::asked(const rpc::UsageQuery& query, const std::string& ip) {
  if (query.epoch < std::max(askedEpoch_, newestEpoch_)) return;
  newestEpoch_ = query.epoch;
  if (query.epoch > askedEpoch_) aggregator_.dropStocks();
  askedEpoch_ = query.epoch;
  askedBy_ = ip;
  hooks_.askProxies(query);
}

void QuotaService::usage(const rpc::UsageReport& report, double now) {
  if (!lease_.holds(now) || report.epoch != lease_.epoch()) {
    if (report.epoch == askedEpoch_ && askedBy_ != ip_) hooks_.report(askedBy_, report);
    return;
  }
  recovery_.take(report, now);
  if (configuration_ && recovery_.complete(ceiling_, now)) recoverLevels(now);
}

void QuotaService::recoverLevels(double now) {
  unsigned known = 0;
  for (const auto& tenant : configuration_->tenants) {
    const auto least = recovery_.leastLevel(tenant.name, {tenant.rate, tenant.burst});
    if (!least) continue;
    allocator_.atLeast(tenant.name, *least, now);
    ++known;
  }
  program::info("levels recovered", {{"epoch", lease_.epoch()}, {"tenants", known}, {"ms", now - takenAt_}});
}

// What came in before the duties were taken, where nobody let anything in then. Which proxies there are may
// be known only a moment later.
void QuotaService::creditIdle(double now) {
  if (const auto answers = recovery_.expired(now))
    program::info("levels not recovered",
                  {{"epoch", lease_.epoch()}, {"answers", *answers}, {"of", ceiling_}});
  if (now - takenAt_ > kCreditWithin) return;
  double idle = registry_.allIdle(ceiling_, takenAt_);
  if (!knowsLevels_ && registry_.allRestarted(ceiling_, kRestartedWithin, takenAt_))
    idle = std::max(idle, distributed_quota::kRestartCredit * 1000);
  allocator_.credit(idle);
}

double QuotaService::reach(double now) {
  if (ceiling_ == 0) return 1;  // nobody has a part
  if (now - reachAt_ >= kReachPause) {
    reachAt_ = now;
    const std::size_t drawing = std::max<std::size_t>(registry_.drawing(now), recovery_.answeredLately(now));
    reach_ = std::min(1.0, static_cast<double>(drawing) / ceiling_);
  }
  return reach_;
}

rpc::TokenResponse QuotaService::grant(const rpc::TokenRequest& request, double now) {
  rpc::TokenResponse out{request.number, request.proxy, request.incarnation, {}, lease_.epoch()};
  if (!configuration_) return out;
  allocator_.setReach(reach(now));
  creditIdle(now);
  const auto& tenants = configuration_->tenants;
  for (const rpc::TokenDemand& demand : request.demands) {
    const auto tenant = std::find_if(tenants.begin(), tenants.end(),
                                     [&](const auto& known) { return known.name == demand.tenant; });
    if (tenant == tenants.end()) continue;
    const auto given = allocator_.take(request.proxy, demand.tenant, {tenant->rate, tenant->burst},
                                       demand.want, demand.asked, now);
    const double lifeMs = distributed_quota::tokenLifeMs({tenant->rate, tenant->burst});
    out.grants.push_back({demand.tenant, given.granted, given.use, given.empty, lifeMs});
  }
  // Before the grants are sent: nobody may have tokens that a successor believes to be there.
  if (rpc::Levels broken{lease_.epoch(), allocator_.promises(false)}; !broken.levels.empty())
    hooks_.tellLevels(broken);
  return out;
}

std::optional<rpc::Levels> QuotaService::changedLevels(double now) {
  if (!lease_.holds(now) || now < levelsAt_) return std::nullopt;
  levelsAt_ = now + kLevelsPause;
  rpc::Levels out{lease_.epoch(), allocator_.promises(true)};
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

rpc::TokenResponse QuotaService::noHolder(const rpc::TokenRequest& request) {
  return {request.number, request.proxy, request.incarnation, {}, 0, true};
}

bool QuotaService::reachesHolder(double now) const {
  return lease_.holds(now) || (!holderHasNone_ && hooks_.holderIsLinked());
}

void QuotaService::demand(const rpc::TokenRequest& request, double now) {
  if (!reachesHolder(now)) hooks_.tellProxy(noHolder(request));
  Answers answers;
  for (const rpc::TokenDemand& demand : request.demands)
    aggregator_.demand({request.proxy, request.incarnation, request.number}, demand, now, answers);
  tellGrants(answers);
  askHolder(now);
}

void QuotaService::granted(const rpc::TokenResponse& response, double now) {
  if (response.noHolder) {
    holderHasNone_ = response.incarnation == incarnation_;
    return;
  }
  if (!fence_.accepts(response, std::max(lease_.ownerEpoch(), newestEpoch_), now)) return;
  holderHasNone_ = false;
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

std::string QuotaService::metrics(double now) const {
  std::string out =
      distributed_quota::tokenMetrics("cell", distributed_quota::refusedMost(aggregator_.tokens(now)));
  if (lease_.holds(now))
    out += distributed_quota::tokenMetrics("store", distributed_quota::refusedMost(allocator_.tokens()));
  return out;
}

void QuotaService::report(double now) const {
  distributed_quota::logTokens("cell", distributed_quota::refusedMost(aggregator_.tokens(now)));
  if (lease_.holds(now))
    distributed_quota::logTokens("store", distributed_quota::refusedMost(allocator_.tokens()));
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
