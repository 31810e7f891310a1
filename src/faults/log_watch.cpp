#include "faults/log_watch.hpp"

#include <fcntl.h>
#include <sys/inotify.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <cerrno>
#include <cstring>

#include "faults/process.hpp"
#include "http/http.hpp"

namespace burlwind::faults {

LogWatch::LogWatch(asio::io_context& io, std::string path, OnLine onLine)
    : path_(std::move(path)), onLine_(std::move(onLine)), events_(io) {
  file_ = ::open(path_.c_str(), O_RDONLY | O_CREAT | O_CLOEXEC, 0644);
  const int events = ::inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
  if (events >= 0) events_.assign(events);
  if (file_ < 0 || events < 0 || ::inotify_add_watch(events, path_.c_str(), IN_MODIFY) < 0)
    throw SetupError("cannot follow " + path_ + ": " + std::strerror(errno));
  ::lseek(file_, 0, SEEK_END);
  wait();
}

LogWatch::~LogWatch() {
  *alive_ = false;
  if (file_ >= 0) ::close(file_);
}

void LogWatch::wait() {
  events_.async_wait(asio::posix::stream_descriptor::wait_read, [this, alive = alive_](const Error& error) {
    if (error || !*alive) return;
    std::array<char, 4096> ignored;
    while (::read(events_.native_handle(), ignored.data(), ignored.size()) > 0) {
    }
    read();
    if (*alive) wait();
  });
}

void LogWatch::read() {
  std::array<char, 4096> piece;
  for (ssize_t n; (n = ::read(file_, piece.data(), piece.size())) > 0;)
    part_.append(piece.data(), static_cast<std::size_t>(n));
  const auto alive = alive_;
  for (std::size_t end; *alive && (end = part_.find('\n')) != std::string::npos;) {
    const std::string line = part_.substr(0, end);
    part_.erase(0, end + 1);
    onLine_(line);
  }
}

}  // namespace burlwind::faults
