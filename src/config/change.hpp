// What a running program may take from a settings file that has changed, and what waits for its next start.
// Decisions only.
#pragma once

#include <string>
#include <vector>

#include "config/settings.hpp"

namespace burlwind::config {

struct Change {
  Settings inForce;                  // what holds now, with all that may change taken from the new file
  std::vector<std::string> taken;    // paths of the fields that changed
  std::vector<std::string> waiting;  // and of those that wait for a start: who and where this process is
};

Change changeOf(const Settings& inForce, const Settings& told);

}  // namespace burlwind::config
