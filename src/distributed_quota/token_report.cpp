#include "distributed_quota/token_report.hpp"

#include <algorithm>

#include "program/log.hpp"
#include "program/prometheus.hpp"

namespace burlwind::distributed_quota {

std::vector<TenantTokens> refusedMost(std::vector<TenantTokens> all) {
  const auto refused = [](const TenantTokens& tenant) { return tenant.figures.count(TokenEvent::refused); };
  std::erase_if(all, [&](const TenantTokens& tenant) { return refused(tenant) <= 0; });
  std::sort(all.begin(), all.end(), [&](const TenantTokens& a, const TenantTokens& b) {
    return refused(a) != refused(b) ? refused(a) > refused(b) : a.tenant < b.tenant;
  });
  if (all.size() > kTenantsTold) all.resize(kTenantsTold);
  return all;
}

std::string tokenMetrics(std::string_view place, const std::vector<TenantTokens>& tenants) {
  constexpr std::string_view held = "burlwind_tokens_held";
  constexpr std::string_view events = "burlwind_token_events_total";
  const auto labelsOf = [&](const TenantTokens& tenant) {
    return program::label("place", place) + "," + program::label("tenant", tenant.tenant);
  };
  std::string out;
  program::appendType(out, held, "gauge");
  for (const TenantTokens& tenant : tenants) program::appendSample(out, held, labelsOf(tenant), tenant.held);
  program::appendType(out, events, "counter");
  for (const TenantTokens& tenant : tenants) {
    for (std::size_t event = 0; event < kTokenEventNames.size(); ++event) {
      const std::string labels = labelsOf(tenant) + "," + program::label("event", kTokenEventNames[event]);
      program::appendSample(out, events, labels, tenant.figures.count(static_cast<TokenEvent>(event)));
    }
  }
  return out;
}

void logTokens(std::string_view place, const std::vector<TenantTokens>& tenants) {
  for (const TenantTokens& tenant : tenants) {
    const auto count = [&](TokenEvent event) { return tenant.figures.count(event); };
    program::info("tokens", {{"place", place},
                             {"tenant", tenant.tenant},
                             {"held", tenant.held},
                             {"received", count(TokenEvent::received)},
                             {"lent", count(TokenEvent::lent)},
                             {"spent", count(TokenEvent::spent)},
                             {"ownPart", count(TokenEvent::ownPart)},
                             {"returned", count(TokenEvent::returned)},
                             {"handedBack", count(TokenEvent::handedBack)},
                             {"expired", count(TokenEvent::expired)},
                             {"limitLowered", count(TokenEvent::limitLowered)},
                             {"refused", count(TokenEvent::refused)}});
  }
}

}  // namespace burlwind::distributed_quota
