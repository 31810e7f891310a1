// The body of one request on its way from a client to a worker, while it still comes: what has come and has
// not gone on, and the beginning for as long as all of it fits, so that another attempt can send it anew. One
// side adds, the other takes; neither waits, each is told when there is more or room again.
//
// Bounds: `keep` bytes and one read more. Once more than `keep` has come, what has been taken is let go, and
// the body cannot be sent from its beginning again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace burlwind {

class Upload {
 public:
  static constexpr std::size_t kRoomy = 64 * 1024;

  Upload(std::optional<std::uint64_t> length, std::size_t keep) : length_(length), keep_(keep) {}
  Upload(const Upload&) = delete;
  Upload& operator=(const Upload&) = delete;

  // As the client told it; none: it goes on in chunks.
  std::optional<std::uint64_t> length() const { return length_; }
  std::uint64_t come() const { return from_ + bytes_.size(); }
  bool whole() const { return whole_; }

  // The client's side. What it adds while there is no room is kept all the same.
  void add(std::string_view bytes) {
    bytes_ += bytes;
    tell(onMore);
  }
  void end() {
    whole_ = true;
    tell(onMore);
  }
  bool roomy() const { return keep_ >= kRoomy; }  // large steps are no waste
  bool hasRoom() const { return bytes_.size() < keep_; }
  std::function<void()> onRoom;

  // The worker's side: what has come from `at` on, which must not have been let go; nothing if no more has.
  bool holds(std::uint64_t at) const { return at >= from_; }
  std::string_view from(std::uint64_t at) const {
    return std::string_view(bytes_).substr(static_cast<std::size_t>(at - from_));
  }
  void taken(std::uint64_t upTo) {
    if (hasRoom()) return;
    bytes_.erase(0, static_cast<std::size_t>(upTo - from_));
    from_ = upTo;
    if (hasRoom()) tell(onRoom);
  }
  std::function<void()> onMore;

 private:
  // A copy, since who is told may set another in its place.
  static void tell(const std::function<void()>& what) {
    if (const auto call = what) call();
  }

  const std::optional<std::uint64_t> length_;
  const std::size_t keep_;
  std::string bytes_;
  std::uint64_t from_ = 0;  // of the body's bytes, the first that is still here
  bool whole_ = false;
};

}  // namespace burlwind
