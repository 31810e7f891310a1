// One run: starts daemons and stand-ins, plays the scenario's load and faults, and ends everything again.
// What it returns is the trace; judging is another's work. One thread, one loop.
#pragma once

#include <functional>
#include <string>

#include "rehearsal/trace.hpp"
#include "rehearsal/world.hpp"

namespace burlwind::rehearsal {

struct RunOptions {
  std::string daemon;                           // shell command
  bool progress = false;                        // a line that is written over, on a terminal
  std::function<void(const std::string&)> say;  // plain lines
};

struct RunResult {
  Trace trace;
  std::string trouble;       // why the run was cut short: a daemon that crashed, hung or never got ready
  bool interrupted = false;  // by SIGINT or SIGTERM
};

// Throws SetupError where nothing can be played: nothing is left running then, nor after any return.
// Takes the scenario's length, the longest deadline, and at most some 15 s for start and end.
RunResult play(const Scenario& scenario, const std::string& scenarioText, std::uint64_t seed,
               const RunOptions& options);

}  // namespace burlwind::rehearsal
