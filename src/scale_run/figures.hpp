// What a play has measured, and how it grows over plays: plain data, tables and JSON. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "scale_run/control_process.hpp"
#include "scale_run/options.hpp"
#include "scale_run/slopes.hpp"

namespace burlwind::scale_run {

// Of the processes of one role, while figures were taken.
struct RoleFigures {
  unsigned processes = 0;
  double processorMean = 0, processorMost = 0;  // share of a core; of the busiest process
  double residentMb = 0, peakMb = 0;            // of the largest; the peak since its start
  unsigned sockets = 0;                         // of the one with most
  double busiestIn = 0, busiestOut = 0;         // bytes a second of the busiest process
  double busiestMessages = 0;                   // a second, both directions
  KindCounts in, out;                           // a second, of all processes of the role together
};

struct Delays {  // ms
  std::vector<double> all;
  double mean() const;
  double most() const;
};

// The agreed state at this size, by itself.
struct StateFigures {
  double configurationBytes = 0;
  double readMs = 0;   // processor time to read and check it
  double writeMs = 0;  // wall time to write it to disk, both syncs
  double frameMs = 0;  // processor time to make one message of it
};

struct PlayFigures {
  unsigned proxies = 0;
  std::map<std::string, RoleFigures> roles;
  StateFigures state;
  Delays start;            // from the first configuration's acknowledgement until all proxies are in touch
  Delays acknowledged;     // of an order, from its sending
  Delays inForce;          // from the acknowledgement until the last proxy has it
  Delays listed;           // from the moment a change stands on the list until the last proxy has it
  Delays proxiesRestart;   // of all proxies at once, until all are in touch
  Delays registryRestart;  // of one registry by SIGKILL, until all proxies are in touch
  double restartProcessor = 0;  // seconds of a core that the busiest registry spent on the first of these
  double refused = 0;           // share of the hollow proxies' requests; their quotas are twice the load
  double platformCalls = 0;     // a second
  double ownProcessor = 0;      // share of a core: near 1, delays are this command's own
  std::string fault;            // what did not come to its end; empty: all did
};

// One figure of a play by name: "registry processor", "registry bytes out" ...
std::map<std::string, double> figuresByName(const PlayFigures& play);

std::string tables(const Options& options, const std::vector<PlayFigures>& plays);
std::string json(const Options& options, const std::vector<PlayFigures>& plays);

}  // namespace burlwind::scale_run
