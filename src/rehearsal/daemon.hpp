// A daemon under rehearsal: a process (faults/process.hpp) that is told of its platform by its environment
// and a configuration file.
#pragma once

#include <string>

#include "faults/process.hpp"

namespace burlwind::rehearsal {

class Daemon : public faults::Process {
 public:
  struct Spec {
    std::string command;  // given to /bin/sh -c
    std::string folder;   // for its configuration and log; is there
    std::string name;
    unsigned sockets = 1024;
  };
  explicit Daemon(const Spec& spec)
      : Process({spec.name, spec.folder + "/" + spec.name + ".log", spec.sockets}),
        command_(spec.command),
        path_(spec.folder + "/" + spec.name) {}

  void writeConfig(const std::string& json) const;  // throws SetupError
  // Given to the command as --operator from the next start on. Throws SetupError.
  void writeOperatorFile(const std::string& text);
  void start(const std::string& listen, const std::string& discovery);  // throws SetupError

 private:
  const std::string command_, path_;
  std::string operatorPath_;  // empty: none
};

}  // namespace burlwind::rehearsal
