#include "program/start.hpp"

#include <popt.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>

#include "config/configuration.hpp"
#include "program/log.hpp"

namespace burlwind::program {
namespace {

std::string missing(const config::Settings& s, Needs needs) {
  if (needs.front && !s.front) return "network.bind.front: not there";
  if (needs.front && !s.readiness) return "network.bind.readiness: not there";
  if (needs.control && !s.control) return "network.bind.control: not there";
  if (needs.control && !s.directory) return "network.bind.directory: not there";
  if (needs.disk && s.dataFolder.empty()) return "self.dataFolder: not there";
  return {};
}

// What is wrong with the configuration in that file; empty: nothing.
std::string faultOfConfiguration(const std::string& path, const config::Settings& settings) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return path + ": can't be opened";
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  const auto checked = config::checkConfiguration(text, config::regionsOf(settings));
  return checked.fault.empty() ? std::string() : path + ": " + checked.fault;
}

}  // namespace

double now() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

config::SettingsRead readChecked(const std::string& path, Needs needs) {
  config::SettingsRead read = config::readSettingsFile(path);
  if (!read.settings) return read;
  if (const std::string lacks = missing(*read.settings, needs); !lacks.empty())
    return {std::nullopt, path + ": " + lacks};
  return read;
}

Started start(int argc, const char** argv, const char* program, const char* summary, Needs needs) {
  Started out;
  int version = 0;
  int check = 0;
  const char* path = nullptr;
  const char* configuration = nullptr;
  const poptOption options[] = {{"settings", 's', POPT_ARG_STRING, &path, 0,
                                 "settings file (JSON); else BURLWIND_NODE_FILE names it", "FILE"},
                                {"check", 0, POPT_ARG_NONE, &check, 0,
                                 "read the settings, say what is wrong, end with 0 or 2", nullptr},
                                {"configuration", 0, POPT_ARG_STRING, &configuration, 0,
                                 "with --check: a configuration (JSON) that is to be checked too", "FILE"},
                                {"version", 0, POPT_ARG_NONE, &version, 0, "print the version", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext(program, argc, argv, options, 0), poptFreeContext);
  poptSetOtherOptionHelp(context.get(), summary);
  const int rc = poptGetNextOpt(context.get());
  const char* extra = poptGetArg(context.get());
  if (rc < -1 || extra) {
    std::fprintf(stderr, "%s: %s: %s\n", program,
                 extra ? extra : poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                 extra ? "what is this for? see --help" : poptStrerror(rc));
    return out.status = 2, out;
  }
  if (version) return std::printf("%s %s\n", program, BURLWIND_VERSION), out;
  const char* told = std::getenv("BURLWIND_NODE_FILE");
  out.settingsPath = path ? path : told ? told : "";
  std::free(const_cast<char*>(path));
  const std::string configurationPath = configuration ? configuration : "";
  std::free(const_cast<char*>(configuration));
  config::SettingsRead read;
  if (out.settingsPath.empty())
    read.fault = "no settings: give --settings FILE or set BURLWIND_NODE_FILE";
  else
    read = readChecked(out.settingsPath, needs);
  if (!read.fault.empty()) {
    std::fprintf(stderr, "%s: %s\n", program, read.fault.c_str());
    return out.status = 2, out;
  }
  if (!configurationPath.empty()) {
    const std::string fault = check ? faultOfConfiguration(configurationPath, *read.settings)
                                    : std::string("--configuration goes with --check");
    if (!fault.empty()) {
      std::fprintf(stderr, "%s: %s\n", program, fault.c_str());
      return out.status = 2, out;
    }
    std::printf("%s: the configuration is valid\n", program);
  }
  if (check) return std::printf("%s: settings are good\n", program), out;
  startLog(program, read.settings->name);
  out.settings = std::move(read.settings);
  return out;
}

}  // namespace burlwind::program
