// Programs of the system as processes of a test: what they say on their output is waited for, never time. A
// process that says nothing is ended by an alarm of its own, and each is ended with its object, by its id.
#pragma once

#include <doctest/doctest.h>
#include <poll.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

namespace burlwind {

struct Folder {
  Folder() {
    std::string text = (std::filesystem::temp_directory_path() / "burlwind-programs-XXXXXX").string();
    path = ::mkdtemp(text.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::filesystem::path path;
};

class Process {
 public:
  Process(const char* program, std::vector<std::string> words, const std::filesystem::path& file) {
    int out[2];
    REQUIRE(::pipe(out) == 0);
    id_ = ::fork();
    REQUIRE(id_ >= 0);
    if (id_ == 0) {
      ::alarm(60);  // outlives exec
      ::dup2(out[1], 1), ::dup2(out[1], 2);
      ::close(out[0]), ::close(out[1]);
      ::setenv("BURLWIND_NODE_FILE", file.c_str(), 1);
      std::vector<char*> argv{const_cast<char*>(program)};
      for (std::string& word : words) argv.push_back(word.data());
      argv.push_back(nullptr);
      ::execv(program, argv.data());
      ::_exit(127);
    }
    ::close(out[1]);
    out_ = out[0];
  }
  ~Process() {
    if (id_ > 0) ::kill(id_, SIGKILL), ::waitpid(id_, nullptr, 0);
    ::close(out_);
  }
  // Reads until this is said, past what was waited for before; false where the process ends first.
  bool says(const std::string& what) { return saysAll({what}); }
  // Which of these says it first, read as above; none: all end before.
  static Process* firstToSay(const std::vector<Process*>& processes, const std::string& what) {
    std::vector<pollfd> open;
    for (const Process* process : processes) open.push_back({process->out_, POLLIN, 0});
    while (true) {
      for (Process* process : processes)
        if (const auto at = process->said_.find(what); at != std::string::npos)
          return process->said_.erase(0, at + what.size()), process;
      if (std::all_of(open.begin(), open.end(), [](const pollfd& p) { return p.fd < 0; })) return nullptr;
      REQUIRE(::poll(open.data(), open.size(), -1) > 0);
      for (std::size_t i = 0; i < open.size(); ++i) {
        if (open[i].revents == 0) continue;
        char piece[512];
        const auto n = ::read(open[i].fd, piece, sizeof piece);
        if (n > 0)
          processes[i]->said_.append(piece, static_cast<std::size_t>(n));
        else
          open[i].fd = -1;
      }
    }
  }
  // The same for several, in whatever order they are said.
  bool saysAll(const std::vector<std::string>& all) {
    char piece[512];
    while (true) {
      std::size_t past = 0;
      bool every = true;
      for (const std::string& what : all) {
        const auto at = said_.find(what);
        every = every && at != std::string::npos;
        if (every) past = std::max(past, at + what.size());
      }
      if (every) return said_.erase(0, past), true;
      const auto count = ::read(out_, piece, sizeof piece);
      if (count <= 0) return false;
      said_.append(piece, static_cast<std::size_t>(count));
    }
  }
  int ends() {
    says("(to its end)");
    int status = 0;
    ::waitpid(id_, &status, 0);
    id_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  void signal(int number) const { ::kill(id_, number); }
  bool runs() const { return id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) == 0; }
  const std::string& said() const { return said_; }
  pid_t id() const { return id_; }

 private:
  pid_t id_ = 0;
  int out_ = -1;
  std::string said_;
};

}  // namespace burlwind
