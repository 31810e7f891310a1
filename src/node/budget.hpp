// The bytes of messages that the program holds, over all connections, and the most that they may come to.
#pragma once

#include <algorithm>
#include <cstddef>

namespace burlwind {

class Budget {
 public:
  explicit Budget(std::size_t most) : most_(most) {}
  Budget(const Budget&) = delete;
  Budget& operator=(const Budget&) = delete;
  std::size_t held() const { return held_; }
  // What is held already stays; nothing more fits until it is less.
  void setMost(std::size_t most) { most_ = most; }

  // What one connection holds; given back at its end.
  class Share {
   public:
    explicit Share(Budget& budget) : budget_(budget) {}
    ~Share() { shrinkTo(0); }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Whether the connection may hold this much; if not, its share stays.
    bool growTo(std::size_t bytes) {
      if (bytes > mine_ && budget_.held_ - mine_ + bytes > budget_.most_) return false;
      set(bytes);
      return true;
    }
    // The same for what could do with less: only while half of all is free for what cannot.
    bool growFreely(std::size_t bytes) {
      return budget_.held_ - mine_ + bytes <= budget_.most_ / 2 && growTo(std::max(bytes, mine_));
    }
    // What fits beside all that is held.
    std::size_t room() const { return budget_.most_ - std::min(budget_.most_, budget_.held_); }
    void shrinkTo(std::size_t bytes) {
      if (bytes < mine_) set(bytes);
    }

   private:
    void set(std::size_t bytes) {
      budget_.held_ += bytes - mine_;
      mine_ = bytes;
    }
    Budget& budget_;
    std::size_t mine_ = 0;
  };

 private:
  std::size_t most_;
  std::size_t held_ = 0;
};

}  // namespace burlwind
