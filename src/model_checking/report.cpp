#include "model_checking/report.hpp"

#include <picojson.h>

#include <cstdio>

namespace burlwind::model_checking {
namespace {

picojson::value number(std::uint64_t value) { return picojson::value(static_cast<double>(value)); }

}  // namespace

std::string ignoreOption(const std::vector<Property>& unchecked) {
  std::string out;
  for (const Property property : unchecked)
    out += (out.empty() ? " --ignore " : ",") + std::string(nameOf(property));
  return out;
}

void Report::add(const Scenario& scenario, const SearchResult& result) {
  const auto milliseconds = static_cast<std::uint64_t>(result.time.count());
  if (json_) {
    picojson::object line;
    line["scenario"] = picojson::value(scenario.name);
    line["end"] = picojson::value(describe(result.end));
    line["depth"] = number(result.depth);
    line["states"] = number(result.states);
    line["steps"] = number(result.steps);
    line["ms"] = number(milliseconds);
    text_ += picojson::value(line).serialize() + "\n";
  } else {
    char line[200];
    std::snprintf(line, sizeof line, "%-16s %s: depth %u, %llu states, %llu steps, %.1f s\n",
                  scenario.name.c_str(), describe(result.end), result.depth,
                  static_cast<unsigned long long>(result.states),
                  static_cast<unsigned long long>(result.steps), static_cast<double>(milliseconds) / 1000);
    text_ += line;
  }
  if (!result.violation) return;
  const std::string command = "burlwind-explore --mode exhaustive --scenario " + scenario.name + " --depth " +
                              std::to_string(result.trace.size()) + " --replicas " +
                              std::to_string(scenario.members) + ignoreOption(scenario.unchecked);
  addViolation(*result.violation, command, drawTrace(scenario, result.trace));
}

void Report::add(const Play& play, const PlayResult& result, unsigned orders) {
  if (plays_++ == 0) firstSeed_ = play.seed;
  steps_ += result.steps;
  committed_ += result.committed;
  if (!result.violation) return;
  const Play least = shrink(play, result.violation->property);
  const PlayResult again = run(least, true);
  const std::string command = "burlwind-explore --mode random --plays 1 --seed " + std::to_string(play.seed) +
                              " --replicas " + std::to_string(play.replicas) + " --orders " +
                              std::to_string(orders) + ignoreOption(play.unchecked);
  addViolation(again.violation.value_or(*result.violation), command, drawPlayReport(least, again));
}

void Report::endPlays() {
  if (json_) {
    picojson::object line;
    line["plays"] = number(plays_);
    line["first seed"] = number(firstSeed_);
    line["steps"] = number(steps_);
    line["committed"] = number(committed_);
    text_ += picojson::value(line).serialize() + "\n";
    return;
  }
  text_ += "random: " + std::to_string(plays_) + " plays from seed " + std::to_string(firstSeed_) + ", " +
           std::to_string(steps_) + " steps, " + std::to_string(committed_) + " entries committed\n";
}

void Report::addViolation(const Violation& violation, const std::string& command,
                          const std::string& timeline) {
  violated_ = true;
  if (json_) {
    picojson::object line;
    line["violated"] = picojson::value(nameOf(violation.property));
    line["detail"] = picojson::value(violation.detail);
    line["command"] = picojson::value(command);
    line["timeline"] = picojson::value(timeline);
    text_ += picojson::value(line).serialize() + "\n";
    return;
  }
  text_ += std::string("VIOLATED: ") + describe(violation.property) + " (" + nameOf(violation.property) +
           ")\n  " + violation.detail + "\n  again: " + command + "\n" + timeline;
}

}  // namespace burlwind::model_checking
