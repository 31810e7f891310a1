// The settings file of a running program: looked at on SIGHUP, and each kLook whether it is another one, as
// it may also change without a signal. A file that does not read changes nothing and is told once; so is what
// changes, and what waits for the next start. Cost: one stat a look.
#pragma once

#include <optional>
#include <string>

#include "config/change.hpp"
#include "program/start.hpp"

namespace burlwind::program {

constexpr double kLook = 2000;  // ms

class SettingsFile {
 public:
  SettingsFile(std::string path, config::Settings inForce, Needs needs);
  // To be called at each tick (ms) and, with `asked`, on SIGHUP. What is to hold from now on, where the file
  // has changed something that a running program takes.
  std::optional<config::Settings> look(double now, bool asked);

 private:
  // Which file it is, as far as can be told without reading it.
  struct Mark {
    long long seconds = 0, nanoseconds = 0, size = -1;
    unsigned long long node = 0;
    bool operator==(const Mark&) const = default;
  };
  Mark mark() const;
  const std::string path_;
  config::Settings inForce_;
  const Needs needs_;
  Mark seen_;
  std::string told_;  // the fault that was told last
  double lookAt_ = 0;
};

}  // namespace burlwind::program
