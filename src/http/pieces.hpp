// Text that waits to be written, in the order in which it came. What is written is let go step by step, so
// that a megabyte that a reader takes slowly is never held twice, nor longer than it must be. Cost: what it
// holds, and some bytes for each piece of kJoined bytes or more.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace burlwind {

class Pieces {
 public:
  static constexpr std::size_t kJoined = 16 * 1024;  // shorter pieces are joined to the one before them

  std::size_t bytes() const { return bytes_; }  // what is being written among them
  bool empty() const { return bytes_ == 0; }
  bool writing() const { return taken_ > 0; }

  void add(std::string&& piece) {
    if (piece.empty()) return;
    bytes_ += piece.size();
    if (all_.size() > taken_ && all_.back().size() + piece.size() <= kJoined)
      all_.back() += piece;
    else
      all_.push_back(std::move(piece));
  }
  // What is written next, at least one piece and about so many bytes; valid until `written`. Only while
  // nothing is being written.
  std::vector<boost::asio::const_buffer> next(std::size_t most) {
    std::vector<boost::asio::const_buffer> out;
    for (std::size_t size = 0; taken_ < all_.size() && size < most; size += all_[taken_++].size())
      out.push_back(boost::asio::buffer(all_[taken_]));
    return out;
  }
  void written() {
    for (; taken_ > 0; --taken_) {
      bytes_ -= all_.front().size();
      all_.pop_front();
    }
  }

 private:
  std::deque<std::string> all_;
  std::size_t taken_ = 0;  // of these, from the front: being written
  std::size_t bytes_ = 0;
};

}  // namespace burlwind
