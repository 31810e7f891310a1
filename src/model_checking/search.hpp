// Breadth first over all histories of a scenario, so that the first violation found has the shortest trace.
// Cost: some 0.3 kB for each state of the level that is expanded and of the next one, 40 bytes for each state
// that was visited; ended by depth, by the number of states or by time, and then it says so.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "model_checking/properties.hpp"
#include "model_checking/scenario.hpp"
#include "model_checking/world.hpp"

namespace burlwind::model_checking {

struct SearchLimits {
  unsigned depth = 0;
  std::uint64_t states = 0;  // 0: no limit
  std::chrono::milliseconds time{0};
};

enum class SearchEnd { exhausted, depth, states, time, violation };
const char* describe(SearchEnd end);

struct SearchResult {
  SearchEnd end = SearchEnd::exhausted;
  unsigned depth = 0;        // all histories of so many events were tried
  std::uint64_t states = 0;  // different ones
  std::uint64_t steps = 0;
  std::chrono::milliseconds time{0};
  std::optional<Violation> violation;
  std::vector<Event> trace;  // that ends in it
};

SearchResult search(const Scenario& scenario, const SearchLimits& limits);

}  // namespace burlwind::model_checking
