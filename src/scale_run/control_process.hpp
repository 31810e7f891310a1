// A real program of the system as a process of the run: started with a settings file of its own, its output
// in a file, and what the kernel tells of it. It is ended with its object, by its id.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace burlwind::scale_run {

// What a process has used so far.
struct Usage {
  double processorSeconds = 0;  // user and system
  double residentMb = 0, peakMb = 0;
  unsigned sockets = 0;
};
Usage usageOf(pid_t process);
double ownProcessorSeconds();  // of this process

// Messages and bytes by kind, as a line "traffic" of a log tells them.
struct KindCount {
  double messages = 0, bytes = 0;
};
using KindCounts = std::map<std::string, KindCount>;
struct TrafficLine {
  double seconds = 0;  // since the process began
  KindCounts in, out;
};
// "Status 20 640, Heartbeat 50 350"
KindCounts readKindCounts(const std::string& text);
// All lines of the log that tell traffic; others are passed over.
std::vector<TrafficLine> trafficLines(const std::string& log);

class ControlProcess {
 public:
  // Throws nothing: where it can't be started, runs() is false.
  ControlProcess(std::string role, std::filesystem::path program, const std::filesystem::path& folder,
                 const std::string& name, const std::string& settings);
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  void start();
  void terminate() const;  // SIGTERM
  void kill();             // SIGKILL, and waits for its end
  bool runs();
  // "registry core1: exit 1" or "signal 11", of one that has ended; empty while it runs.
  std::string ending() const { return ending_; }
  const std::string& role() const { return role_; }
  Usage usage() const { return usageOf(id_); }
  double startedAt() const { return startedAt_; }  // ms, steady
  std::string log() const;

 private:
  const std::string role_, name_;
  const std::filesystem::path program_, settingsPath_, logPath_;
  pid_t id_ = 0;
  std::string ending_;
  double startedAt_ = 0;
};

}  // namespace burlwind::scale_run
