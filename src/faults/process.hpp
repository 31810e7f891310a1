// A process under fault: started by a shell command in a process group of its own, its log kept, its use
// measured from /proc, stopped, woken and ended by its id. It never outlives this object, nor the program
// that started it if that is killed. Never waits.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace burlwind::faults {

// What the machine, a path or a command makes impossible: one plain line.
class SetupError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Usage {
  double cpuSeconds = 0;
  double memoryMb = 0;
  std::uint64_t descriptors = 0;
};

class Process {
 public:
  struct Spec {
    std::string name;
    std::string log;                  // a file; what is written to it is added at its end
    unsigned descriptors = 1024;      // RLIMIT_NOFILE
    std::uint64_t fileBytes = ~0ull;  // RLIMIT_FSIZE: a write beyond it fails with EFBIG, as on a full disk
  };
  using Environment = std::vector<std::pair<std::string, std::string>>;

  explicit Process(Spec spec) : spec_(std::move(spec)) {}
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Given to /bin/sh as "exec COMMAND". Throws SetupError.
  void start(const std::string& command, const Environment& environment);
  void signal(int number) const;  // SIGKILL reaches its whole group
  void stop() const;              // SIGSTOP, the whole group
  void wake() const;
  // The exit status once it has ended (128 + signal where one ended it); nothing before.
  std::optional<int> ended();
  bool running() const { return pid_ > 0; }
  pid_t id() const { return pid_; }
  unsigned incarnation() const { return starts_; }  // from 1
  Usage usage() const;
  std::string logSinceStart() const;
  std::string logEnd(std::size_t lines = 12) const;
  const std::string& name() const { return spec_.name; }
  const std::string& logPath() const { return spec_.log; }

 private:
  const Spec spec_;
  pid_t pid_ = -1;
  unsigned starts_ = 0;
  std::uintmax_t logFrom_ = 0;  // bytes of the log that earlier incarnations wrote
};

}  // namespace burlwind::faults
