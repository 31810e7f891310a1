// A run of operators against a cluster under faults, all drawn from one seed, and what its history says.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace burlwind::order_simulation {

enum class Focus {
  mixed,  // faults of all kinds
  wakes   // the leader stands still for a little less than is noticed, again and again, under many calls
};

struct SimulationOptions {
  std::uint64_t seed = 1;
  unsigned machines = 3;
  unsigned configOperators = 8;
  double faultsFor = 40000;  // ms; then everything is mended
  double calmFor = 15000;
  Focus focus = Focus::mixed;
};

struct SimulationReport {
  std::vector<std::string> violations;
  std::vector<std::string> faults;  // with their times, in order
  std::size_t acknowledged = 0;     // configurations
  std::size_t refused = 0;
  std::size_t reads = 0;
  std::size_t evacuations = 0;
  std::uint64_t terms = 0;  // the last leader's
};

SimulationReport simulate(const SimulationOptions& options);

}  // namespace burlwind::order_simulation
