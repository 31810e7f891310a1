// How much of a tenant's quota a proxy has let in over the last span: decisions only, time handed in.
// Slots of an eighth of the span; what is told covers the whole span and up to a slot more, so it is never
// too little. Cost: nine numbers a tenant.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <utility>

namespace burlwind::distributed_quota {

class RecentUse {
 public:
  void add(double spanMs, double now, std::uint32_t count = 1) {
    advance(spanMs, now);
    slots_[index(slot_)] += count;
  }
  // One that was counted of late let nothing in; false: none is remembered.
  bool takeBack(double spanMs, double now) {
    advance(spanMs, now);
    for (std::int64_t s = slot_; s > slot_ - static_cast<std::int64_t>(kSlots); --s) {
      std::uint32_t& count = slots_[index(s)];
      if (count > 0) return --count, true;
    }
    return false;
  }
  // Requests let in within the last spanMs.
  double sum(double spanMs, double now) {
    advance(spanMs, now);
    double out = 0;
    for (const std::uint32_t count : slots_) out += count;
    return out;
  }

 private:
  static constexpr std::size_t kSlots = 9;  // one of them is being filled
  static std::size_t index(std::int64_t slot) { return static_cast<std::size_t>(slot) % kSlots; }
  // Where the span has changed the slots mean another one: what they hold counts as let in just now.
  void advance(double spanMs, double now) {
    if (spanMs != spanMs_) {
      std::uint32_t all = 0;
      for (std::uint32_t& count : slots_) all += std::exchange(count, 0);
      spanMs_ = spanMs;
      slot_ = slotOf(now);
      slots_[index(slot_)] = all;
      return;
    }
    const std::int64_t slot = slotOf(now);
    for (std::int64_t s = std::max(slot_ + 1, slot - static_cast<std::int64_t>(kSlots) + 1); s <= slot; ++s)
      slots_[index(s)] = 0;
    slot_ = std::max(slot_, slot);
  }
  std::int64_t slotOf(double now) const {
    return static_cast<std::int64_t>(std::floor(now * (kSlots - 1) / std::max(1.0, spanMs_)));
  }
  std::array<std::uint32_t, kSlots> slots_{};
  double spanMs_ = 0;
  std::int64_t slot_ = 0;
};

}  // namespace burlwind::distributed_quota
