#include "scale_run/control_process.hpp"

#include <fcntl.h>
#include <picojson.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>

#include "program/start.hpp"

namespace burlwind::scale_run {
namespace {

namespace fs = std::filesystem;

std::string textOf(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

double seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) + 1e-6 * static_cast<double>(time.tv_usec);
}

// "VmRSS:     1234 kB" of /proc/PID/status, in MB; 0 where there is none.
double megabytes(const std::string& status, const std::string& field) {
  const auto at = status.find(field);
  return at == std::string::npos ? 0 : std::strtod(status.c_str() + at + field.size(), nullptr) / 1024;
}

double processorSeconds(const std::string& stat) {
  // Fields after the name, which stands in parentheses: utime and stime are the 12th and 13th of them.
  const auto name = stat.rfind(')');
  if (name == std::string::npos) return 0;
  std::istringstream rest(stat.substr(name + 1));
  std::string field;
  double ticks = 0;
  for (int i = 1; i <= 13 && rest >> field; ++i)
    if (i >= 12) ticks += std::strtod(field.c_str(), nullptr);
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

}  // namespace

Usage usageOf(pid_t process) {
  Usage out;
  if (process <= 0) return out;
  const fs::path folder = fs::path("/proc") / std::to_string(process);
  const std::string status = textOf(folder / "status");
  out.residentMb = megabytes(status, "VmRSS:");
  out.peakMb = megabytes(status, "VmHWM:");
  out.processorSeconds = processorSeconds(textOf(folder / "stat"));
  std::error_code error;
  for (fs::directory_iterator at(folder / "fd", error), end; !error && at != end; at.increment(error)) {
    std::error_code gone;
    if (fs::read_symlink(at->path(), gone).string().starts_with("socket:")) ++out.sockets;
  }
  return out;
}

double ownProcessorSeconds() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  return seconds(used.ru_utime) + seconds(used.ru_stime);
}

KindCounts readKindCounts(const std::string& text) {
  KindCounts out;
  std::istringstream in(text);
  std::string kind;
  KindCount count;
  char comma = 0;
  while (in >> kind >> count.messages >> count.bytes) {
    out[kind] = count;
    in >> comma;
  }
  return out;
}

std::vector<TrafficLine> trafficLines(const std::string& log) {
  std::vector<TrafficLine> out;
  std::istringstream in(log);
  for (std::string line; std::getline(in, line);) {
    if (line.find("\"what\":\"traffic\"") == std::string::npos) continue;
    picojson::value json;
    if (!picojson::parse(json, line).empty() || !json.is<picojson::object>()) continue;
    const auto text = [&](const char* field) {
      return json.get(field).is<std::string>() ? json.get(field).get<std::string>() : std::string();
    };
    const double at = json.get("t").is<double>() ? json.get("t").get<double>() : 0;
    out.push_back({at, readKindCounts(text("in")), readKindCounts(text("out"))});
  }
  return out;
}

ControlProcess::ControlProcess(std::string role, fs::path program, const fs::path& folder,
                               const std::string& name, const std::string& settings)
    : role_(std::move(role)),
      name_(name),
      program_(std::move(program)),
      settingsPath_(folder / (name + ".json")),
      logPath_(folder / (name + "-" + role_ + ".log")) {
  std::ofstream(settingsPath_) << settings;
  start();
}

ControlProcess::~ControlProcess() { kill(); }

void ControlProcess::start() {
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
  ::posix_spawn_file_actions_addopen(&actions, 1, logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::posix_spawn_file_actions_adddup2(&actions, 1, 2);
  std::string program = program_.string();
  std::string option = "--settings";
  std::string path = settingsPath_.string();
  char* const words[] = {program.data(), option.data(), path.data(), nullptr};
  startedAt_ = program::now();
  ending_ = role_ + " " + name_ + ": could not be started";
  if (::posix_spawn(&id_, program.c_str(), &actions, nullptr, words, environ) != 0)
    id_ = 0;
  else
    ending_.clear();
  ::posix_spawn_file_actions_destroy(&actions);
}

void ControlProcess::terminate() const {
  if (id_ > 0) ::kill(id_, SIGTERM);
}

void ControlProcess::kill() {
  if (id_ <= 0) return;
  ::kill(id_, SIGKILL);
  ::waitpid(id_, nullptr, 0);
  id_ = 0;
}

bool ControlProcess::runs() {
  if (id_ <= 0) return false;
  int status = 0;
  if (::waitpid(id_, &status, WNOHANG) == 0) return true;
  id_ = 0;
  ending_ = role_ + " " + name_ +
            (WIFEXITED(status) ? ": exit " + std::to_string(WEXITSTATUS(status))
                               : ": signal " + std::to_string(WTERMSIG(status)));
  return false;
}

std::string ControlProcess::log() const { return textOf(logPath_); }

}  // namespace burlwind::scale_run
