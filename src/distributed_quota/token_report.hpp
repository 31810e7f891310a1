// Tokens of the tenants that press, told in metrics and in the log: by place, so that a window can be added
// up from the programs' own output. Cost: a copy of the figures of each tenant known, each time it is told.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "distributed_quota/token_figures.hpp"

namespace burlwind::distributed_quota {

constexpr std::size_t kTenantsTold = 16;

// The tenants that were refused most, at most kTenantsTold; none that never was.
std::vector<TenantTokens> refusedMost(std::vector<TenantTokens> all);
// Prometheus text format of these. `place`: store, cell or proxy.
std::string tokenMetrics(std::string_view place, const std::vector<TenantTokens>& tenants);
// One log line for each of these, with counts since the process began.
void logTokens(std::string_view place, const std::vector<TenantTokens>& tenants);

}  // namespace burlwind::distributed_quota
