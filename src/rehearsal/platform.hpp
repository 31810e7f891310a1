// The platform's side of a gatekeeper's configuration, written from the protocol: what the settings say
// follows from the scenario alone.
#pragma once

#include <string>

#include "rehearsal/scenario.hpp"

namespace burlwind::rehearsal {

// The file behind BALANCER_CONFIG, as JSON. `scenario` as played (paced).
std::string daemonConfig(const Scenario& scenario, unsigned gatekeeper, const std::string& listen,
                         const std::string& discovery, std::uint64_t seed);

std::string zoneName(unsigned zone);

}  // namespace burlwind::rehearsal
