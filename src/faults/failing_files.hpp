// Files that fail: the n-th call of a kind, or any, returns an error, writes half, or ends the process before
// or after it. For processes under test, which are handed this instead of the disk.
#pragma once

#include <signal.h>
#include <unistd.h>

#include <cerrno>
#include <functional>

#include "snapshot/files.hpp"

namespace burlwind::faults {

class FailingFiles : public snapshot::Files {
 public:
  enum class Call { create, write, sync, close, rename, syncFolder, remove, read };
  // What to do at a call, by its number over all calls, from 1: 0 to go on, else the errno that it returns
  // without having done anything. A plan may also end the process, or stop it.
  using Plan = std::function<int(unsigned number, Call call)>;

  FailingFiles(snapshot::Files& real, Plan plan) : real_(real), plan_(std::move(plan)) {}
  unsigned calls() const { return calls_; }
  // Of each write at most so many bytes are taken; 0: all.
  void shorten(std::size_t most) { most_ = most; }

  // The n-th call fails with this error; each one from it on with `forGood`.
  static Plan failAt(unsigned n, int error, bool forGood = false) {
    return [=](unsigned number, Call) { return number == n || (forGood && number > n) ? error : 0; };
  }
  // SIGKILL before the n-th call: what the calls before it did is all that lasts.
  static Plan killAt(unsigned n) {
    return [=](unsigned number, Call) {
      if (number == n) ::kill(::getpid(), SIGKILL);
      return 0;
    };
  }

  int create(const std::string& path) override {
    const int error = next(Call::create);
    return error ? -error : real_.create(path);
  }
  long write(int file, std::string_view bytes) override {
    const int error = next(Call::write);
    return error ? -error : real_.write(file, most_ ? bytes.substr(0, most_) : bytes);
  }
  int sync(int file) override {
    const int error = next(Call::sync);
    return error ? error : real_.sync(file);
  }
  int close(int file) override {  // the descriptor is gone in any case
    const int error = next(Call::close), closed = real_.close(file);
    return error ? error : closed;
  }
  int rename(const std::string& from, const std::string& to) override {
    const int error = next(Call::rename);
    return error ? error : real_.rename(from, to);
  }
  int syncFolder(const std::string& folder) override {
    const int error = next(Call::syncFolder);
    return error ? error : real_.syncFolder(folder);
  }
  int remove(const std::string& path) override {
    const int error = next(Call::remove);
    return error ? error : real_.remove(path);
  }
  int read(const std::string& path, std::size_t most, std::string& out) override {
    const int error = next(Call::read);
    return error ? error : real_.read(path, most, out);
  }

 private:
  int next(Call call) { return plan_(++calls_, call); }
  snapshot::Files& real_;
  const Plan plan_;
  unsigned calls_ = 0;
  std::size_t most_ = 0;
};

}  // namespace burlwind::faults
