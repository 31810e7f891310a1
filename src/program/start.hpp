// How each program of the system starts: its command line (popt), its settings file, its log. Exit codes: 0
// ended as asked, 1 could not go on, 2 the command line or the settings are wrong.
#pragma once

#include <optional>
#include <string>

#include "config/settings.hpp"

namespace burlwind::program {

// What the program can't do without, told as a fault where the settings lack it.
struct Needs {
  bool front = false, control = false, disk = false;
};

struct Started {
  std::optional<config::Settings> settings;  // nothing: end with `status`
  std::string settingsPath;
  int status = 0;
};
// The file, read and checked for what is needed; nothing, or one plain line that names the fault.
config::SettingsRead readChecked(const std::string& path, Needs needs);
Started start(int argc, const char** argv, const char* program, const char* summary, Needs needs);

double now();  // ms, steady

}  // namespace burlwind::program
