// Frames between the system's own processes: four bytes of length (big endian), then two msgpack objects, the
// kind and the message. A frame is at most kMostFrame bytes; a longer or malformed one ends its link.
// Messages are arrays of fields: a field is added at the end alone.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace burlwind::rpc {

// A configuration of 8 MB goes to its readers in one frame; stores send each other pieces (src/consensus).
constexpr std::size_t kMostFrame = std::size_t{16} * 1024 * 1024;

template <class Message>
std::string frame(const Message& message) {
  msgpack::sbuffer body;
  msgpack::pack(body, static_cast<int>(Message::kKind));
  msgpack::pack(body, message);
  const auto size = static_cast<std::uint32_t>(body.size());
  std::string out;
  out.reserve(body.size() + 4);
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(size >> shift));
  out.append(body.data(), body.size());
  return out;
}

// The kind of a whole frame that frame() made; 0 where it is none.
inline int kindOf(std::string_view whole) {
  constexpr std::size_t kLength = 4;
  constexpr unsigned char kLargestFixedInteger = 0x7f;  // msgpack writes a kind up to here as one byte
  if (whole.size() <= kLength) return 0;
  const auto kind = static_cast<unsigned char>(whole[kLength]);
  return kind <= kLargestFixedInteger ? kind : 0;
}

// What came in a frame: its kind, and the rest until it is read as the message of that kind.
struct Arrived {
  int kind = 0;
  std::string_view body;
  // False where it is no such message.
  template <class Message>
  bool read(Message& out) const {
    try {  // msgpack tells malformed bytes by throwing; here that is an outcome
      const auto handle = msgpack::unpack(body.data(), body.size());
      handle.get().convert(out);
      return true;
    } catch (const std::exception&) {
      return false;
    }
  }
};

enum class Cut { more, one, broken };
// Takes the first frame off `in`, beginning at `from`, which moves behind it.
inline Cut cutFrame(std::string_view in, std::size_t& from, Arrived& out) {
  if (in.size() - from < 4) return Cut::more;
  std::uint32_t size = 0;
  for (int i = 0; i < 4; ++i)
    size = size << 8 | static_cast<unsigned char>(in[from + static_cast<std::size_t>(i)]);
  if (size < 2 || size > kMostFrame) return Cut::broken;
  if (in.size() - from < 4 + std::size_t{size}) return Cut::more;
  const std::string_view whole = in.substr(from + 4, size);
  std::size_t used = 0;
  try {
    out.kind = msgpack::unpack(whole.data(), whole.size(), used).get().as<int>();
  } catch (const std::exception&) {
    return Cut::broken;
  }
  out.body = whole.substr(used);
  from += 4 + std::size_t{size};
  return Cut::one;
}

}  // namespace burlwind::rpc
