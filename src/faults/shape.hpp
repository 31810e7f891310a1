// One direction of a link between two processes: what of the bytes that came in may go out, and when. The
// condition of a link is set at any moment; bytes keep their order and none is ever lost or doubled, as with
// TCP: what a cut holds back goes out when it heals.
//
// Pure: time in ms and the seed are handed in. Cost: O(1) a piece; memory: some 32 bytes for each piece that
// waits (the bytes themselves are the relay's).
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <string>

#include "faults/random.hpp"

namespace burlwind::faults {

enum class Way : std::uint8_t {
  open,      // bytes and ends pass
  halfOpen,  // bytes pass, ends do not: a side that has gone looks silent to the other
  held,      // connections come up, bytes and ends wait and are let go at once
  refused,   // as open, but new connections are refused
  silent,    // bytes and ends wait, new connections never come up: a cut
  reset      // open connections are reset, new ones as soon as they come up
};
std::string_view nameOf(Way way);

// Ordered by severity, so that of two faults on one link the larger `way` holds.
struct Condition {
  Way way = Way::open;
  double bytesPerS = 0;   // 0: as fast as they come
  double delayMs = 0;     // each byte is so much later
  double jitterMs = 0;    // and up to so much more, drawn for each piece; order is kept
  std::size_t piece = 0;  // bytes that go out in one write at most; 0: as they come
  double gapMs = 0;       // between two pieces, at least

  bool passes() const { return way <= Way::halfOpen || way == Way::refused; }
  bool passesEnds() const { return way == Way::open || way == Way::refused; }
  bool operator==(const Condition&) const = default;
};

// Two faults at once: the more severe way, the lower rate, the smaller pieces, delays added.
Condition both(const Condition& a, const Condition& b);
std::string describe(const Condition& condition);

class Shape {
 public:
  static constexpr double kNever = std::numeric_limits<double>::infinity();

  explicit Shape(std::uint64_t seed) : random_(seed, "link") {}

  void set(const Condition& condition, double now);
  const Condition& condition() const { return condition_; }
  void push(std::size_t bytes, double now);  // so many came in
  // How many of those that wait go out now, at most one piece; call it again until it says 0.
  std::size_t take(double now);
  // When `take` will have something: now or earlier, later, or never under this condition.
  double nextAt() const;
  std::size_t waiting() const { return waiting_; }

 private:
  struct Piece {
    std::size_t bytes;
    double due;  // by delay and jitter
  };
  Condition condition_;
  Random random_;
  std::deque<Piece> pieces_;
  std::size_t waiting_ = 0;
  double freeAt_ = 0;   // by rate and gap
  double lastDue_ = 0;  // order is kept: none is due before the one ahead of it
};

}  // namespace burlwind::faults
