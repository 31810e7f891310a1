// What a process has sent and received over its links (rpc/link.hpp), by kind of message. One fixed array a
// process, counted where frames are queued and cut; a process is one loop, so nothing is locked. Bytes are
// those of whole frames, their length included; what TCP and IP add is not counted.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "rpc/messages.hpp"

namespace burlwind::rpc {

struct Count {
  std::uint64_t messages = 0, bytes = 0;
};

class Traffic {
 public:
  enum class Direction { in, out };
  static constexpr std::size_t kKinds = 64;  // a kind beyond the last counts as 0, "unknown"

  void count(Direction direction, int kind, std::size_t bytes) {
    Count& count = countsOf(direction)[kind > 0 && kind < static_cast<int>(kKinds) ? kind : 0];
    ++count.messages, count.bytes += bytes;
  }
  const Count& of(Direction direction, Kind kind) const { return countsOf(direction)[kind]; }
  Count all(Direction direction) const;
  // "Status 20 640, Heartbeat 50 350": each kind that has been counted, its messages and its bytes.
  std::string text(Direction direction) const;

 private:
  using Counts = std::array<Count, kKinds>;
  Counts& countsOf(Direction direction) { return direction == Direction::in ? in_ : out_; }
  const Counts& countsOf(Direction direction) const { return direction == Direction::in ? in_ : out_; }
  Counts in_{}, out_{};
};

// The name of a kind, as its message is called; "unknown" where there is none.
const char* nameOf(int kind);

// Of this process, since its start.
Traffic& traffic();

}  // namespace burlwind::rpc
