// A history as a timeline that a person reads: a block of lines for each step, a column for each replica.
#pragma once

#include <string>
#include <vector>

#include "model_checking/scenario.hpp"
#include "model_checking/world.hpp"

namespace burlwind::model_checking {

struct TimelineRow {
  unsigned number = 0;
  Time clock = 0;        // ms since the start, on the clock of the replica whose step it is
  unsigned replica = 0;  // its column
  std::string event;
  Notes notes;  // what it did
};

std::string drawTimeline(const std::vector<std::string>& columns, const std::vector<TimelineRow>& rows);

// Plays a trace of an exhaustive search again, from the scenario's start.
std::string drawTrace(const Scenario& scenario, const std::vector<Event>& trace);

}  // namespace burlwind::model_checking
