// Follows the log of a process line by line, as the kernel tells of it (inotify(7)): a fault can be put at a
// named point of its life, and each line is stamped with both clocks. A line counts once it is whole.
// Cost: one descriptor a log; nothing while nothing is written.
#pragma once

#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <string>

namespace burlwind::faults {

class LogWatch {
 public:
  using OnLine = std::function<void(const std::string& line)>;
  // Lines from the log's present end on; it is made where there is none. Throws SetupError.
  LogWatch(boost::asio::io_context& io, std::string path, OnLine onLine);
  ~LogWatch();
  LogWatch(const LogWatch&) = delete;
  LogWatch& operator=(const LogWatch&) = delete;

 private:
  void wait();
  void read();
  const std::string path_;
  const OnLine onLine_;
  boost::asio::posix::stream_descriptor events_;
  int file_ = -1;
  std::string part_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burlwind::faults
