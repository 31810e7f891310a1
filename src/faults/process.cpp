#include "faults/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace burlwind::faults {
namespace {

void limit(__rlimit_resource what, std::uint64_t most) {
  rlimit now{};
  ::getrlimit(what, &now);
  now.rlim_cur = std::min<rlim_t>(most, now.rlim_max);
  ::setrlimit(what, &now);
}

// In the child: nothing but system calls that are safe there, then the shell.
[[noreturn]] void become(const char* command, const Process::Spec& spec, pid_t parent) {
  ::setpgid(0, 0);
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(127);
  const int out = ::open(spec.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int in = ::open("/dev/null", O_RDONLY);
  if (out < 0 || in < 0) ::_exit(127);
  ::dup2(in, 0);
  ::dup2(out, 1);
  ::dup2(out, 2);
  ::syscall(SYS_close_range, 3u, ~0u, 0u);
  limit(RLIMIT_NOFILE, spec.descriptors);
  if (spec.fileBytes != ~0ull) {
    ::signal(SIGXFSZ, SIG_IGN);  // the write fails instead
    limit(RLIMIT_FSIZE, spec.fileBytes);
  }
  ::execl("/bin/sh", "sh", "-c", command, static_cast<char*>(nullptr));
  ::_exit(127);
}

std::string quoted(const std::string& word) {
  std::string out = "'";
  for (const char c : word) out += c == '\'' ? std::string("'\\''") : std::string(1, c);
  return out + "'";
}

}  // namespace

Process::~Process() {
  if (pid_ <= 0) return;
  ::kill(-pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void Process::start(const std::string& command, const Environment& environment) {
  std::string line;
  for (const auto& [name, value] : environment) line += "export " + name + "=" + quoted(value) + "; ";
  line += "exec " + command;
  std::error_code none;
  const auto size = std::filesystem::file_size(spec_.log, none);
  logFrom_ = none ? 0 : size;
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw SetupError("cannot start " + spec_.name + ": " + std::strerror(errno));
  if (pid_ == 0) become(line.c_str(), spec_, parent);
  ::setpgid(pid_, pid_);  // here as well: whoever comes first
  ++starts_;
}

void Process::signal(int number) const {
  if (pid_ > 0) ::kill(number == SIGKILL ? -pid_ : pid_, number);
}

void Process::stop() const {
  if (pid_ > 0) ::kill(-pid_, SIGSTOP);
}

void Process::wake() const {
  if (pid_ > 0) ::kill(-pid_, SIGCONT);
}

std::optional<int> Process::ended() {
  if (pid_ <= 0) return std::nullopt;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  ::kill(-pid_, SIGKILL);  // what it may have left of its group
  pid_ = -1;
  return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

Usage Process::usage() const {
  Usage out;
  if (pid_ <= 0) return out;
  const std::string at = "/proc/" + std::to_string(pid_);
  std::ifstream stat(at + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  const auto name = text.rfind(')');
  if (name == std::string::npos) return out;
  std::istringstream fields(text.substr(name + 2));
  std::string word;
  double user = 0, system = 0;
  for (int i = 3; i <= 15 && fields >> word; ++i) {
    if (i == 14) user = std::stod(word);
    if (i == 15) system = std::stod(word);
  }
  out.cpuSeconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream statm(at + "/statm");
  double whole = 0, resident = 0;
  statm >> whole >> resident;
  out.memoryMb = resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
  std::error_code ignored;
  for (std::filesystem::directory_iterator it(at + "/fd", ignored), end; !ignored && it != end;
       it.increment(ignored))
    ++out.descriptors;
  return out;
}

std::string Process::logSinceStart() const {
  std::ifstream in(spec_.log);
  in.seekg(static_cast<std::streamoff>(logFrom_));
  return std::string((std::istreambuf_iterator<char>(in)), {});
}

std::string Process::logEnd(std::size_t lines) const {
  std::ifstream in(spec_.log);
  std::deque<std::string> last;
  for (std::string line; std::getline(in, line);) {
    last.push_back(line.substr(0, 400));
    if (last.size() > lines) last.pop_front();
  }
  std::string out;
  for (const std::string& line : last) out += "    " + line + "\n";
  return out;
}

}  // namespace burlwind::faults
