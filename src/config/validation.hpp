// Whether a configuration is valid: the one place that says so. docs/design/configuration.md has the reasons.
//
// Reading (configuration.hpp) is more lenient: it takes whatever can be served from, so that a configuration
// that an earlier program version acknowledged is still read from its disk. Validation decides what is
// acknowledged from now on.
//
// Properties:
//  - A valid configuration serves somebody on each of its routes, as far as its fields can tell.
//  - No field that the pages describe has a value that they don't allow; unknown fields are ignored.
// Cost: one pass over the JSON; sets of all names and keys.
#pragma once

#include <set>
#include <string>

#include "config/configuration.hpp"
#include "config/json.hpp"

namespace burlwind::config {

// The first fault with its path; empty where the configuration is valid. `read`: the same, as it was read.
std::string validate(const picojson::value& json, const Configuration& read,
                     const std::set<std::string>& regions);

}  // namespace burlwind::config
