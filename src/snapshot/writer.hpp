// Writes on a thread of its own, one thing at a time, so that the loop never waits for a disk.
// What is handed in while one is being written waits in one place: the newest takes the older one's. The end
// of each write is told through a descriptor that becomes readable, since the loop knows no other threads.
// Cost: a thread, two descriptors, two things to write at most.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace burlwind::snapshot {

class Writer {
 public:
  using Write = std::function<std::string()>;  // runs on the thread; the error, or nothing
  struct Done {
    unsigned long number = 0;
    std::string error;  // empty: it is on the disk
  };

  // Throws std::runtime_error, one line, without a thread or a descriptor.
  Writer();
  ~Writer();  // a write that has begun ends first; what waits is dropped
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void put(unsigned long number, Write write);
  int readable() const { return told_[0]; }  // when a write has ended; owned by this object
  std::vector<Done> done();                  // those that have, in order; never waits
  void finish();                             // waits until nothing is left to write: at the end of a process

 private:
  void run();
  int told_[2] = {-1, -1};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<std::pair<unsigned long, Write>> waiting_;
  std::vector<Done> done_;
  bool busy_ = false, stopping_ = false;
  std::thread thread_;
};

}  // namespace burlwind::snapshot
