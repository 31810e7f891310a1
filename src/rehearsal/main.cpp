// burlwind-rehearse: plays a scenario against real daemons, judges it, and reports.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "checked_toml/checked_toml.hpp"
#include "rehearsal/rehearsal.hpp"
#include "rehearsal/report.hpp"

namespace {

namespace fs = std::filesystem;
using namespace burlwind::rehearsal;

enum Exit { held = 0, broken = 1, wrong = 2, tooSlow = 3, interrupted = 130 };

struct CommandLine {
  std::string scenario, trace, report, html, tracePath, daemon, judged;
  std::uint64_t seed = 0;
  bool seeded = false;
  bool rules = false;
};

// The folder of the shipped scenarios: beside the program when built here, else the installed one.
fs::path shipped() {
  std::error_code ignored;
  const fs::path program = fs::read_symlink("/proc/self/exe", ignored).parent_path();
  for (const fs::path& near :
       {program / "../scenarios", program / "../../scenarios", program / "../share/burlwind/scenarios"})
    if (fs::is_directory(near, ignored)) return fs::canonical(near, ignored);
  return {};
}

fs::path daemonBeside() {
  std::error_code ignored;
  return fs::read_symlink("/proc/self/exe", ignored).parent_path() / "burlwind";
}

// A path, or the name of a shipped scenario.
std::string pathOf(const std::string& scenario) {
  if (fs::exists(scenario)) return scenario;
  const fs::path named = shipped() / (scenario + ".toml");
  return scenario.find('/') == std::string::npos && fs::exists(named) ? named.string() : scenario;
}

std::string textOf(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw burlwind::FileError(path + ": cannot be read");
  return {std::istreambuf_iterator<char>(in), {}};
}

void write(const std::string& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  if (!out.flush()) throw SetupError(path + ": cannot be written");
}

// Before anything is started: a report that has nowhere to go is told now and not after ten minutes.
void mayWrite(const std::string& path) {
  if (path.empty()) return;
  std::ofstream out(path, std::ios::app);
  if (!out) throw SetupError(path + ": cannot be written");
}

int report(const CommandLine& line, const Trace& trace) {
  const Verdict verdict = judge(trace);
  std::fputs(textReport(trace, verdict).c_str(), stdout);
  if (!line.report.empty()) write(line.report, jsonReport(trace, verdict));
  if (!line.html.empty()) write(line.html, htmlReport(trace, verdict));
  if (verdict.crashed()) return broken;
  if (verdict.tooSlow && !line.rules) return tooSlow;
  return verdict.held() ? held : broken;
}

int run(const CommandLine& line) {
  const std::string path = pathOf(line.scenario);
  const std::string text = textOf(path);
  const Scenario scenario = paced(parseScenario(text, path));
  for (const std::string& out : {line.report, line.html, line.tracePath}) mayWrite(out);
  RunOptions options;
  options.daemon = line.daemon.empty() ? "'" + daemonBeside().string() + "'" : line.daemon;
  options.progress = ::isatty(STDERR_FILENO) != 0;
  options.say = [&](const std::string& what) {
    std::fprintf(stderr, "%s%s\n", options.progress ? "\r" : "", what.c_str());
  };
  RunResult result = play(scenario, text, line.seeded ? line.seed : scenario.seed, options);
  if (!line.tracePath.empty()) {
    std::ofstream out(line.tracePath);
    writeTrace(out, result.trace);
    if (!out.flush()) throw SetupError(line.tracePath + ": cannot be written");
  }
  if (result.interrupted) {
    std::fputs("burlwind-rehearse: interrupted; all daemons have been ended\n", stderr);
    return interrupted;
  }
  const int status = report(line, result.trace);
  if (result.trouble.empty()) return status;
  std::fprintf(stderr, "burlwind-rehearse: %s", result.trouble.c_str());
  return broken;
}

int check(const CommandLine& line) {
  const std::string path = pathOf(line.scenario);
  const Scenario scenario = readScenario(path);
  const Scenario played = paced(scenario);
  const LoadPlan plan = planLoad(played, scenario.seed);
  std::printf(
      "%s: good: %.0f s at pace %g, %u gatekeepers, %u servers, %zu customers, %zu requests, %zu faults\n",
      path.c_str(), played.lengthMs / 1000, scenario.pace, scenario.gatekeepers.count, scenario.fleet.servers,
      plan.customers.size(), plan.arrivals.size(), scenario.faults.size());
  return held;
}

int list() {
  const fs::path folder = shipped();
  if (folder.empty()) throw SetupError("the shipped scenarios are not beside the program");
  std::vector<fs::path> paths;
  for (const auto& entry : fs::directory_iterator(folder))
    if (entry.path().extension() == ".toml") paths.push_back(entry.path());
  std::sort(paths.begin(), paths.end());
  for (const fs::path& path : paths) {
    const Scenario scenario = readScenario(path.string());
    std::printf("%-16s %5.0f s  %s\n", path.stem().c_str(), scenario.lengthMs / scenario.pace / 1000,
                scenario.about.c_str());
  }
  return held;
}

int judgeAgain(const CommandLine& line) {
  std::ifstream in(line.judged);
  if (!in) throw burlwind::FileError(line.judged + ": cannot be read");
  return report(line, readTrace(in, line.judged));
}

}  // namespace

int main(int count, char** words) {
  CommandLine line;
  CLI::App app(
      "burlwind-rehearse: plays a busy time against real daemons with stand-ins on loopback, and judges it.\n"
      "Exit status: 0 all rules held, 1 a rule broken or a daemon crashed, 2 the scenario or a flag is "
      "wrong,\n"
      "3 the machine was too slow for the run to mean anything.",
      "burlwind-rehearse");
  app.set_version_flag("--version", "burlwind-rehearse " BURLWIND_VERSION);
  app.require_subcommand(1);
  const auto outputs = [&](CLI::App* command) {
    command->add_flag("--rules", line.rules,
                      "the exit status tells of the rules alone: each allows for the kit's own lateness");
    command->add_option("--report", line.report, "write the report as JSON")->type_name("FILE");
    command->add_option("--html", line.html, "write the report as a page")->type_name("FILE");
  };
  CLI::App* runs = app.add_subcommand("run", "play a scenario and judge it");
  runs->add_option("SCENARIO", line.scenario, "a file, or the name of a shipped one")->required();
  CLI::Option* seed = runs->add_option("--seed", line.seed, "draw arrivals and servers by this number");
  outputs(runs);
  runs->add_option("--trace", line.tracePath, "write what was seen, to be judged again")->type_name("FILE");
  runs->add_option("--daemon", line.daemon, "the daemon's shell command (burlwind beside this program)")
      ->type_name("COMMAND");
  CLI::App* checks = app.add_subcommand("check", "read a scenario and say what is wrong with it");
  checks->add_option("SCENARIO", line.scenario, "a file, or the name of a shipped one")->required();
  CLI::App* lists = app.add_subcommand("list", "the shipped scenarios");
  CLI::App* judges = app.add_subcommand("judge", "judge a recorded trace once more");
  judges->add_option("TRACE", line.judged, "a file that run --trace has written")->required();
  outputs(judges);
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? held : wrong;
  }
  line.seeded = seed->count() > 0;
  try {
    if (*runs) return run(line);
    if (*checks) return check(line);
    if (*lists) return list();
    return judgeAgain(line);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "burlwind-rehearse: %s\n", error.what());
    return wrong;
  }
}
