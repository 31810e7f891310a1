#include "snapshot/writer.hpp"

#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace burlwind::snapshot {

Writer::Writer() {
  if (::pipe2(told_, O_NONBLOCK | O_CLOEXEC) < 0)
    throw std::runtime_error(std::string("snapshot: ") + std::strerror(errno));
  // Signals are the loop's: this thread takes none.
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  try {
    thread_ = std::thread([this] { run(); });
  } catch (const std::exception& error) {
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    ::close(told_[0]), ::close(told_[1]);
    throw std::runtime_error(std::string("snapshot: ") + error.what());
  }
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

Writer::~Writer() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
  ::close(told_[0]), ::close(told_[1]);
}

void Writer::put(unsigned long number, Write write) {
  {
    const std::lock_guard lock(mutex_);
    waiting_ = {number, std::move(write)};
  }
  changed_.notify_all();
}

std::vector<Writer::Done> Writer::done() {
  char ignored[64];
  while (::read(told_[0], ignored, sizeof ignored) > 0) {
  }
  const std::lock_guard lock(mutex_);
  return std::exchange(done_, {});
}

void Writer::finish() {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return !busy_ && !waiting_; });
}

void Writer::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return stopping_ || waiting_; });
    if (stopping_) return;
    const auto [number, write] = std::move(*waiting_);
    waiting_.reset();
    busy_ = true;
    lock.unlock();
    std::string error = write();
    lock.lock();
    busy_ = false;
    done_.push_back({number, std::move(error)});
    const char byte = 1;
    // A full pipe is readable already.
    [[maybe_unused]] const auto told = ::write(told_[1], &byte, 1);
    changed_.notify_all();
  }
}

}  // namespace burlwind::snapshot
