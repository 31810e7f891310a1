// Runs a command line to its end: what it said and how it ended.
#pragma once

#include <sys/wait.h>

#include <cstdio>
#include <string>

namespace burlwind::model_checking {

struct CommandResult {
  int status = -1;  // exit code; -1: ended by a signal
  std::string text;
};

inline CommandResult runCommand(const std::string& line) {
  CommandResult out;
  FILE* pipe = ::popen((line + " 2>&1").c_str(), "r");
  if (!pipe) return out;
  char piece[4096];
  for (std::size_t n = 0; (n = std::fread(piece, 1, sizeof piece, pipe)) > 0;) out.text.append(piece, n);
  const int status = ::pclose(pipe);
  if (WIFEXITED(status)) out.status = WEXITSTATUS(status);
  return out;
}

}  // namespace burlwind::model_checking
