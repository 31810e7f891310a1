// burlwind-simulate-orders: plays operators against the stores and registries of a site in virtual time.
//   --seed N    the first seed (1)
//   --runs N    how many seeds in turn (100)
//   --machines N  of the core (3)
//   --wakes 1   the leader stands still again and again for a little less than it notices (0)
// Exit status: 0 where no run broke a property, 1 where one did, 2 for a bad command line.
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <optional>

#include "order_simulation/simulation.hpp"

namespace {

using burlwind::order_simulation::SimulationOptions;
using burlwind::order_simulation::SimulationReport;

std::optional<std::uint64_t> numberOf(const char* text) {
  char* end = nullptr;
  const std::uint64_t number = std::strtoull(text, &end, 10);
  if (*text == '\0' || *end != '\0') return std::nullopt;
  return number;
}

bool readCommandLine(int argc, char** argv, SimulationOptions& options, std::uint64_t& runs) {
  if (argc % 2 == 0) return false;
  for (int i = 1; i < argc; i += 2) {
    const auto number = numberOf(argv[i + 1]);
    if (!number) return false;
    if (std::strcmp(argv[i], "--seed") == 0)
      options.seed = *number;
    else if (std::strcmp(argv[i], "--runs") == 0)
      runs = *number;
    else if (std::strcmp(argv[i], "--wakes") == 0)
      options.focus =
          *number ? burlwind::order_simulation::Focus::wakes : burlwind::order_simulation::Focus::mixed;
    else if (std::strcmp(argv[i], "--machines") == 0 && *number > 0 && *number < 10)
      options.machines = static_cast<unsigned>(*number);
    else
      return false;
  }
  return true;
}

void print(const SimulationOptions& options, const SimulationReport& report) {
  std::printf(
      "seed %llu: %zu confirmed, %zu refused, %zu reads, %zu evacuations, term %llu, %zu violations\n",
      static_cast<unsigned long long>(options.seed), report.acknowledged, report.refused, report.reads,
      report.evacuations, static_cast<unsigned long long>(report.terms), report.violations.size());
  if (report.violations.empty()) return;
  for (const auto& fault : report.faults) std::printf("  %s\n", fault.c_str());
  for (const auto& violation : report.violations) std::printf("  VIOLATION: %s\n", violation.c_str());
}

}  // namespace

int main(int argc, char** argv) {
  SimulationOptions options;
  std::uint64_t runs = 100;
  if (!readCommandLine(argc, argv, options, runs)) {
    std::fprintf(stderr, "usage: %s [--seed N] [--runs N] [--machines 1-9] [--wakes 0|1]\n", argv[0]);
    return 2;
  }
  bool broken = false;
  for (std::uint64_t i = 0; i < runs; ++i, ++options.seed) {
    const SimulationReport report = burlwind::order_simulation::simulate(options);
    print(options, report);
    broken = broken || !report.violations.empty();
  }
  return broken ? 1 : 0;
}
