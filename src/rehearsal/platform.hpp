// The platform's side of a gatekeeper's configuration, written from the protocol: what the settings say
// follows from the scenario alone.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "rehearsal/scenario.hpp"

namespace burlwind::rehearsal {

// The header by which checkers tell servers whom they have seen.
inline constexpr std::string_view kChecked = "X-Checked-Customer";

// The operator file of a gatekeeper that asks these checkers.
std::string operatorFile(const Scenario& scenario, const std::vector<std::string>& checkers);

// The file behind BALANCER_CONFIG, as JSON. `scenario` as played (paced).
std::string daemonConfig(const Scenario& scenario, unsigned gatekeeper, const std::string& listen,
                         const std::string& discovery, std::uint64_t seed);

std::string zoneName(unsigned zone);

}  // namespace burlwind::rehearsal
