// burlwind-explore: searches the histories of the agreement for one that breaks a property.
// Exit codes: 0 none was found, 1 one was found and printed, 2 the command line is wrong.
#include <popt.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "model_checking/play.hpp"
#include "model_checking/report.hpp"
#include "model_checking/search.hpp"

namespace burlwind::model_checking {
namespace {

constexpr int kNothingFound = 0;
constexpr int kViolationFound = 1;
constexpr int kUsage = 2;

struct Options {
  std::string mode = "exhaustive";
  std::string scenario = "all";
  std::vector<Property> ignored;
  long long seed = 1;
  long long states = 0;
  int depth = 0, plays = 200, replicas = 0, orders = 300;
  double timeLimit = 0;  // s
  bool json = false;
};

int usage(const std::string& fault) {
  std::fprintf(stderr, "burlwind-explore: %s; see --help\n", fault.c_str());
  return kUsage;
}

void list() {
  std::printf("scenarios of --mode exhaustive:\n");
  for (const Scenario& scenario : scenarios())
    std::printf("  %-16s depth %2u: %s\n", scenario.name.c_str(), scenario.depth, scenario.summary.c_str());
  std::printf("properties:\n");
  for (const Property property : allProperties())
    std::printf("  %-24s %s\n", nameOf(property), describe(property));
}

SearchLimits limitsOf(const Scenario& scenario, const Options& options) {
  SearchLimits limits;
  limits.depth = options.depth > 0 ? static_cast<unsigned>(options.depth) : scenario.depth;
  limits.states = static_cast<std::uint64_t>(options.states);
  limits.time = std::chrono::milliseconds(static_cast<long long>(options.timeLimit * 1000));
  return limits;
}

int searchAll(const Options& options, Report& report) {
  std::vector<Scenario> chosen = scenarios();
  if (options.scenario != "all") {
    const auto scenario = findScenario(options.scenario);
    if (!scenario) return usage("no scenario is called " + options.scenario);
    chosen = {*scenario};
  }
  for (Scenario& scenario : chosen) {
    scenario.unchecked = options.ignored;
    if (options.replicas > 0) scenario.members = static_cast<unsigned>(options.replicas);
    const SearchResult result = search(scenario, limitsOf(scenario, options));
    report.add(scenario, result);
  }
  return kNothingFound;
}

int playAll(const Options& options, Report& report) {
  const auto began = std::chrono::steady_clock::now();
  const std::chrono::duration<double> limit(options.timeLimit);
  const unsigned replicas = options.replicas > 0 ? static_cast<unsigned>(options.replicas) : 5;
  for (int i = 0; i < options.plays; ++i) {
    if (options.timeLimit > 0 && std::chrono::steady_clock::now() - began >= limit) break;
    Play play = drawPlay(static_cast<std::uint64_t>(options.seed + i), replicas,
                         static_cast<unsigned>(options.orders));
    play.unchecked = options.ignored;
    report.add(play, run(play), static_cast<unsigned>(options.orders));
    if (report.violated()) break;
  }
  report.endPlays();
  return kNothingFound;
}

int explore(const Options& options) {
  Report report(options.json);
  const int status = options.mode == "random" ? playAll(options, report) : searchAll(options, report);
  if (status != kNothingFound) return status;
  std::fputs(report.text().c_str(), stdout);
  return report.violated() ? kViolationFound : kNothingFound;
}

std::string readIgnored(const std::string& names, std::vector<Property>& out) {
  std::istringstream all(names);
  for (std::string name; std::getline(all, name, ',');) {
    const auto property = findProperty(name);
    if (!property) return "no property is called " + name;
    out.push_back(*property);
  }
  return {};
}

std::string faultOf(const Options& options) {
  if (options.mode != "exhaustive" && options.mode != "random")
    return "--mode: exhaustive or random, not " + options.mode;
  if (options.depth < 0 || options.states < 0 || options.seed < 0 || options.timeLimit < 0)
    return "--depth, --states, --seed and --time-limit are not negative";
  if (options.plays < 1 || options.orders < 1) return "--plays and --orders are 1 at least";
  if (options.replicas != 0 && (options.replicas < 2 || options.replicas > 9)) return "--replicas: 2 to 9";
  return {};
}

std::string take(char* text, const std::string& otherwise) {
  const std::unique_ptr<char, decltype(&std::free)> owned(text, std::free);
  return text ? text : otherwise;
}

int runCommand(int argc, const char** argv) {
  Options options;
  char* mode = nullptr;
  char* scenario = nullptr;
  char* ignored = nullptr;
  int json = 0;
  int listed = 0;
  const poptOption table[] = {
      {"mode", 0, POPT_ARG_STRING, &mode, 0, "exhaustive (the default) or random", "MODE"},
      {"scenario", 0, POPT_ARG_STRING, &scenario, 0, "exhaustive: one of --list, or all", "NAME"},
      {"depth", 0, POPT_ARG_INT, &options.depth, 0, "exhaustive: events a history; else the scenario's", "N"},
      {"states", 0, POPT_ARG_LONGLONG, &options.states, 0, "exhaustive: stop after so many states a scenario",
       "N"},
      {"seed", 0, POPT_ARG_LONGLONG, &options.seed, 0, "random: of the first play", "N"},
      {"plays", 0, POPT_ARG_INT, &options.plays, 0, "random: how many, each of the next seed", "N"},
      {"orders", 0, POPT_ARG_INT, &options.orders, 0, "random: orders a play", "N"},
      {"replicas", 0, POPT_ARG_INT, &options.replicas, 0, "members; else 3 exhaustive, 5 random", "N"},
      {"ignore", 0, POPT_ARG_STRING, &ignored, 0, "properties of --list that are not checked", "NAME,..."},
      {"time-limit", 0, POPT_ARG_DOUBLE, &options.timeLimit, 0,
       "stop after so many seconds (a scenario, or all plays)", "S"},
      {"json", 0, POPT_ARG_NONE, &json, 0, "one JSON object a line", nullptr},
      {"list", 0, POPT_ARG_NONE, &listed, 0, "print scenarios and properties, and end", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("burlwind-explore", argc, argv, table, 0), poptFreeContext);
  poptSetOtherOptionHelp(
      context.get(),
      "[OPTION...]\nSearches the histories of the agreement for one that breaks a property."
      "\nExit codes: 0 none found, 1 one found and printed, 2 wrong command line.\n");
  const int rc = poptGetNextOpt(context.get());
  options.mode = take(mode, options.mode);
  options.scenario = take(scenario, options.scenario);
  const std::string names = take(ignored, "");
  if (rc < -1)
    return usage(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(rc));
  if (const char* extra = poptGetArg(context.get())) return usage(std::string(extra) + ": not an option");
  if (const std::string fault = readIgnored(names, options.ignored); !fault.empty()) return usage(fault);
  if (const std::string fault = faultOf(options); !fault.empty()) return usage(fault);
  options.json = json != 0;
  if (listed) return list(), kNothingFound;
  return explore(options);
}

}  // namespace
}  // namespace burlwind::model_checking

int main(int argc, const char** argv) { return burlwind::model_checking::runCommand(argc, argv); }
