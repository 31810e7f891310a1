#include "faults/shape.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace burlwind::faults {

std::string_view nameOf(Way way) {
  constexpr std::array<std::string_view, 6> kNames{"open", "half open", "held", "refused", "silent", "reset"};
  return kNames[static_cast<std::size_t>(way)];
}

Condition both(const Condition& a, const Condition& b) {
  const auto least = [](auto x, auto y) { return x == 0 ? y : y == 0 ? x : std::min(x, y); };
  Condition out;
  out.way = std::max(a.way, b.way);
  out.bytesPerS = least(a.bytesPerS, b.bytesPerS);
  out.delayMs = a.delayMs + b.delayMs;
  out.jitterMs = a.jitterMs + b.jitterMs;
  out.piece = least(a.piece, b.piece);
  out.gapMs = std::max(a.gapMs, b.gapMs);
  return out;
}

std::string describe(const Condition& c) {
  std::string out(nameOf(c.way));
  const auto add = [&](const char* pattern, double value) {
    if (value <= 0) return;
    char text[64];
    std::snprintf(text, sizeof text, pattern, value);
    out += text;
  };
  add(", %g bytes/s", c.bytesPerS);
  add(", %g ms late", c.delayMs);
  add(", jitter %g ms", c.jitterMs);
  add(", pieces of %g bytes", static_cast<double>(c.piece));
  add(", %g ms apart", c.gapMs);
  return out;
}

// What waits under a rate or a gap goes on under the new one from now; what was only held goes out at once.
void Shape::set(const Condition& condition, double now) {
  condition_ = condition;
  freeAt_ = std::min(freeAt_, now);
}

void Shape::push(std::size_t bytes, double now) {
  if (bytes == 0) return;
  const double late =
      condition_.delayMs + (condition_.jitterMs > 0 ? random_.between(0, condition_.jitterMs) : 0);
  lastDue_ = std::max(lastDue_, now + late);
  pieces_.push_back({bytes, lastDue_});
  waiting_ += bytes;
}

double Shape::nextAt() const {
  if (pieces_.empty() || !condition_.passes()) return kNever;
  return std::max(pieces_.front().due, freeAt_);
}

std::size_t Shape::take(double now) {
  if (nextAt() > now) return 0;
  Piece& front = pieces_.front();
  const std::size_t most = condition_.piece > 0 ? condition_.piece : front.bytes;
  // Under a rate at most what 10 ms of it bring, so that the rate is seen and not a burst of a whole piece.
  constexpr double kStepMs = 10;
  const std::size_t step =
      condition_.bytesPerS > 0
          ? std::max<std::size_t>(1, static_cast<std::size_t>(condition_.bytesPerS * kStepMs / 1000))
          : front.bytes;
  const std::size_t out = std::min({front.bytes, most, step});
  front.bytes -= out;
  waiting_ -= out;
  if (front.bytes == 0) pieces_.pop_front();
  double busy = condition_.gapMs;
  if (condition_.bytesPerS > 0) busy = std::max(busy, 1000 * static_cast<double>(out) / condition_.bytesPerS);
  freeAt_ = now + busy;
  return out;
}

}  // namespace burlwind::faults
