// How much of long answers may be read from the workers ahead of clients that take them slowly. While a
// worker still writes, the attempt counts against its plan's cap; read ahead, it is over, and what is left to
// be taken is this gatekeeper's memory alone. Decisions only: no I/O, no clock. Cost: O(1), three numbers a
// share.
//
// One pool is shared by dynamic thresholds (A. K. Choudhury and E. L. Hahne, "Dynamic Queue Length Thresholds
// for Shared-Memory Packet Switches", 1998, with a factor of one): each may hold as much as is free at the
// moment. One alone gets half of the pool, n get 1/(n+1) each, and a part is always free for who comes next;
// who holds more than the threshold when others come gets no more until it has been taken.
//
// Invariant: a share that asks before each step holds at most a step more than the threshold, so all hold no
// more than the pool and a step each.
#pragma once

#include <cstddef>

namespace burlwind::readahead {

class Pool {
 public:
  // 0: nothing is read ahead.
  explicit Pool(std::size_t most) : most_(most) {}
  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;
  // What is held already stays until it is taken.
  void setMost(std::size_t most) { most_ = most; }
  std::size_t most() const { return most_; }
  std::size_t held() const { return held_; }

 private:
  friend class Share;
  std::size_t free() const { return most_ - (held_ < most_ ? held_ : most_); }
  std::size_t most_;
  std::size_t held_ = 0;
};

// What one connection is behind. `window` bytes are its own, and not the pool's; it reads ahead beyond them
// only while `ahead` is set.
class Share {
 public:
  explicit Share(Pool& pool) : pool_(pool) {}
  ~Share() { hold(0); }  // one that holds nothing may outlive its pool
  Share(const Share&) = delete;
  Share& operator=(const Share&) = delete;

  void open(std::size_t window, bool ahead) { window_ = window, ahead_ = ahead; }
  // So many bytes have come and have not been taken.
  void behind(std::size_t bytes) {
    behind_ = bytes;
    hold(bytes > window_ ? bytes - window_ : 0);
  }
  // Whether more is wanted now.
  bool wantsMore() const { return behind_ < window_ || (ahead_ && held_ < pool_.free()); }
  std::size_t held() const { return held_; }  // of the pool

 private:
  void hold(std::size_t bytes) {
    if (bytes == held_) return;
    pool_.held_ += bytes - held_;
    held_ = bytes;
  }
  Pool& pool_;
  std::size_t window_ = 0, behind_ = 0, held_ = 0;
  bool ahead_ = false;
};

}  // namespace burlwind::readahead
