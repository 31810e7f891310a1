// `path=value` settings, as an instance gets them at its start.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "irisring/decide.hpp"

namespace irisring {

// What the settings say to the host and not to the module: the names used on sockets, and the connections'
// times.
struct HostSettings {
  std::vector<std::string> classes, plans, zones, kinds;  // names, by index
  Time connectTimeout = 250;
  Time idleTimeout = 30000;  // a worker closes a connection idle this long
};

// Both throw std::runtime_error with one plain line on a malformed line, number or word. Unknown keys are
// ignored.
Settings parseSettings(std::string_view text);
HostSettings parseHostSettings(std::string_view text);

}  // namespace irisring
