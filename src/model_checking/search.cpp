#include "model_checking/search.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace burlwind::model_checking {
namespace {

using Clock = std::chrono::steady_clock;

struct Arrival {  // how a state was first reached
  Fingerprint from = 0;
  Event event;
};

class Search {
 public:
  Search(const Scenario& scenario, const SearchLimits& limits)
      : limits_(limits), began_(Clock::now()), initial_(scenario) {}

  SearchResult run() {
    start_ = initial_.fingerprint();
    visited_.emplace(start_, Arrival{});
    std::vector<World> level{initial_};
    if (const auto& violation = initial_.cluster().violation()) fail(*violation, start_, std::nullopt);
    while (!ended_ && !level.empty()) {
      if (result_.depth == limits_.depth) {
        end(SearchEnd::depth);
        break;
      }
      level = expand(level);
      if (!ended_) ++result_.depth;
    }
    result_.states = visited_.size();
    result_.time = elapsed();
    return std::move(result_);
  }

 private:
  std::chrono::milliseconds elapsed() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - began_);
  }

  void end(SearchEnd how) {
    ended_ = true;
    result_.end = how;
  }

  void fail(const Violation& violation, Fingerprint from, const std::optional<Event>& event) {
    end(SearchEnd::violation);
    result_.violation = violation;
    if (event) result_.trace.push_back(*event);
    for (Fingerprint at = from; at != start_;) {
      const Arrival& arrival = visited_.at(at);
      result_.trace.push_back(arrival.event);
      at = arrival.from;
    }
    std::reverse(result_.trace.begin(), result_.trace.end());
  }

  std::vector<World> expand(std::vector<World>& level) {
    std::vector<World> next;
    for (World& world : level) {
      const Fingerprint from = world.fingerprint();
      for (const Event& event : world.events()) {
        tryEvent(world, from, event, next);
        if (ended_) return {};
      }
      world = initial_;  // what only this one held is freed while the next level grows
      if (limits_.states > 0 && visited_.size() >= limits_.states) return end(SearchEnd::states), next;
      if (limits_.time.count() > 0 && elapsed() >= limits_.time) return end(SearchEnd::time), next;
    }
    return next;
  }

  void tryEvent(const World& world, Fingerprint from, const Event& event, std::vector<World>& next) {
    World after = world;
    if (!after.apply(event)) return;
    ++result_.steps;
    if (const auto& violation = after.cluster().violation()) return fail(*violation, from, event);
    if (visited_.try_emplace(after.fingerprint(), Arrival{from, event}).second)
      next.push_back(std::move(after));
  }

  const SearchLimits limits_;
  const Clock::time_point began_;
  const World initial_;
  Fingerprint start_ = 0;
  std::unordered_map<Fingerprint, Arrival> visited_;
  bool ended_ = false;
  SearchResult result_;
};

}  // namespace

const char* describe(SearchEnd end) {
  switch (end) {
    case SearchEnd::exhausted:
      return "all states visited";
    case SearchEnd::depth:
      return "all histories to this depth";
    case SearchEnd::states:
      return "stopped by the number of states";
    case SearchEnd::time:
      return "stopped by time";
    case SearchEnd::violation:
      return "violation";
  }
  return "";
}

SearchResult search(const Scenario& scenario, const SearchLimits& limits) {
  return Search(scenario, limits).run();
}

}  // namespace burlwind::model_checking
