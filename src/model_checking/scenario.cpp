#include "model_checking/scenario.hpp"

#include <algorithm>

namespace burlwind::model_checking {
namespace {

// With the members there are from the start.
std::vector<Scenario> scenariosOfOneSet() {
  return {
      {.name = "orders",
       .summary = "two orders and a read while messages repeat, a replica stands still and a process ends",
       .budget = {.orders = 2, .reads = 1, .heartbeats = 1, .pauses = 1, .repeats = 1, .restarts = 1},
       .depth = 8},
      {.name = "power",
       .summary = "two orders, a loss of power before a write is synced, and a process that ends",
       .budget = {.orders = 2, .heartbeats = 1, .restarts = 1, .powerLosses = 1},
       .depth = 12},
      {.name = "stopped-leader",
       .summary = "a leader stands still while its rounds are answered and an order and a read come",
       .budget = {.orders = 1, .reads = 1, .heartbeats = 2, .pauses = 2},
       .depth = 9},
      {.name = "first-election",
       .summary = "two replicas try to be elected at the first start, and a process ends",
       .start = Start::cold,
       .budget = {.elections = 2, .restarts = 1},
       .depth = 12},
      {.name = "first-power",
       .summary = "two replicas try to be elected at the first start, and one loses power",
       .start = Start::cold,
       .budget = {.elections = 2, .powerLosses = 1},
       .depth = 13},
      {.name = "new-leader",
       .summary = "an order, and another leader while the old one goes on",
       .budget = {.orders = 1, .elections = 1, .pauses = 1},
       .depth = 16},
      {.name = "two-leaders",
       .summary = "an order each of the old leader and of the new one",
       .budget = {.orders = 2, .elections = 1, .heartbeats = 1, .pauses = 1},
       .depth = 11},
      {.name = "divided",
       .summary = "two that have led and hold different entries try to lead again",
       .start = Start::divided,
       .budget = {.elections = 2, .pauses = 1},
       .depth = 13},
      {.name = "reelected",
       .summary = "one of the two leads again; the other one, which holds a newer entry, tries as well",
       .start = Start::reelected,
       .budget = {.orders = 1, .elections = 1, .heartbeats = 1, .pauses = 1},
       .depth = 9},
      {.name = "handover",
       .summary = "a leader is about to end with an order under way, and the next one goes on",
       .budget = {.orders = 2, .elections = 1, .heartbeats = 1, .repeats = 1, .transfers = 1},
       .depth = 9},
  };
}

// In which members are lost, replaced or added.
std::vector<Scenario> scenariosOfChange() {
  return {
      {.name = "lost-disk",
       .summary = "an order, a disk that is lost, its empty successor, and another leader",
       .budget = {.orders = 1, .elections = 1, .pauses = 1, .disksLost = 1, .joins = 1},
       .depth = 12},
      {.name = "applicant",
       .summary = "a newcomer asks while all members are there, one of which says that it goes",
       .start = Start::ordered,
       .budget = {.orders = 1, .heartbeats = 2, .joins = 1, .leaves = 1},
       .depth = 10,
       .applicants = 1},
      {.name = "silent-member",
       .summary = "a newcomer asks while a member is silent, with an order",
       .start = Start::silent,
       .budget = {.orders = 1, .heartbeats = 1, .joins = 1},
       .depth = 10,
       .applicants = 1},
      {.name = "seat",
       .summary = "a learner takes the seat of a silent member, with an order and another leader",
       .start = Start::learner,
       .budget = {.orders = 1, .elections = 1, .pauses = 1, .restarts = 1},
       .depth = 10},
      {.name = "everything",
       .summary = "two orders, an applicant, and one of each event",
       .budget = {.orders = 2,
                  .reads = 1,
                  .elections = 1,
                  .heartbeats = 1,
                  .pauses = 1,
                  .repeats = 1,
                  .restarts = 1,
                  .powerLosses = 1,
                  .disksLost = 1,
                  .joins = 1,
                  .leaves = 1,
                  .transfers = 1},
       .depth = 6,
       .applicants = 1},
  };
}

std::vector<Scenario> make() {
  std::vector<Scenario> all = scenariosOfOneSet();
  const std::vector<Scenario> change = scenariosOfChange();
  all.insert(all.end(), change.begin(), change.end());
  return all;
}

}  // namespace

const std::vector<Scenario>& scenarios() {
  static const std::vector<Scenario> all = make();
  return all;
}

std::optional<Scenario> findScenario(const std::string& name) {
  const auto& all = scenarios();
  const auto found = std::find_if(all.begin(), all.end(), [&](const Scenario& s) { return s.name == name; });
  if (found == all.end()) return std::nullopt;
  return *found;
}

}  // namespace burlwind::model_checking
