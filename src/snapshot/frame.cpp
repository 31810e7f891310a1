#include "snapshot/frame.hpp"

#include <boost/crc.hpp>
#include <cstring>
#include <stdexcept>

namespace burlwind::snapshot {
namespace {

constexpr std::string_view kMagic = "burlwind";

template <class Number>
void put(std::string& out, Number number) {
  char bytes[sizeof number];
  std::memcpy(bytes, &number, sizeof number);
  out.append(bytes, sizeof number);
}

template <class Number>
bool take(std::string_view& in, Number& number) {
  if (in.size() < sizeof number) return false;
  std::memcpy(&number, in.data(), sizeof number);
  in.remove_prefix(sizeof number);
  return true;
}

bool take(std::string_view& in, std::string& text) {
  std::uint64_t size = 0;
  if (!take(in, size) || in.size() < size) return false;
  text = in.substr(0, size);
  in.remove_prefix(size);
  return true;
}

void put(std::string& out, const std::string& text) {
  put(out, std::uint64_t{text.size()});
  out += text;
}

std::uint32_t checksum(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

}  // namespace

std::string encode(const Snapshot& snapshot) {
  // In place, since it may be a good part of the memory that there is.
  const std::size_t words = snapshot.module.size() * sizeof(std::uint64_t);
  std::string out(kMagic);
  const std::size_t texts = snapshot.settings.size() + snapshot.roster.size() + snapshot.stamp.name.size() +
                            snapshot.stamp.written.boot.size();
  out.reserve(kHeadBytes + texts + words + 10 * sizeof(std::uint64_t));
  put(out, kVersion);
  out.resize(kHeadBytes);
  put(out, snapshot.settings);
  put(out, snapshot.roster);
  put(out, snapshot.descriptors);
  const Stamp& stamp = snapshot.stamp;
  put(out, stamp.name);
  put(out, stamp.number);
  put(out, stamp.written.wallMs);
  put(out, stamp.written.boot);
  put(out, stamp.written.bootMs);
  put(out, stamp.goodPerSecond);
  put(out, std::uint64_t{snapshot.module.size()});
  out.append(reinterpret_cast<const char*>(snapshot.module.data()), words);
  const std::uint64_t size = out.size() - kHeadBytes;
  if (size > kMostFrame) throw std::length_error("the state is too large");
  const std::uint32_t sum = checksum(std::string_view(out).substr(kHeadBytes));
  std::memcpy(out.data() + kMagic.size() + sizeof kVersion, &sum, sizeof sum);
  std::memcpy(out.data() + kMagic.size() + sizeof kVersion + sizeof sum, &size, sizeof size);
  return out;
}

std::optional<std::size_t> bodyBytes(std::string_view head) {
  std::uint32_t version = 0, sum = 0;
  std::uint64_t size = 0;
  if (!head.starts_with(kMagic)) return std::nullopt;
  head.remove_prefix(kMagic.size());
  if (!take(head, version) || !take(head, sum) || !take(head, size)) return std::nullopt;
  if (version != kVersion || size > kMostFrame) return std::nullopt;
  return size;
}

std::optional<Snapshot> decode(std::string_view frame) {
  const auto size = bodyBytes(frame.substr(0, kHeadBytes));
  if (!size || frame.size() != kHeadBytes + *size) return std::nullopt;
  std::string_view body = frame.substr(kHeadBytes);
  std::uint32_t sum = 0;
  std::memcpy(&sum, frame.data() + kMagic.size() + sizeof kVersion, sizeof sum);
  if (sum != checksum(body)) return std::nullopt;
  Snapshot out;
  std::uint64_t words = 0;
  Stamp& stamp = out.stamp;
  if (!take(body, out.settings) || !take(body, out.roster) || !take(body, out.descriptors) ||
      !take(body, stamp.name) || !take(body, stamp.number) || !take(body, stamp.written.wallMs) ||
      !take(body, stamp.written.boot) || !take(body, stamp.written.bootMs) ||
      !take(body, stamp.goodPerSecond) || !take(body, words) || body.size() != words * sizeof(std::uint64_t))
    return std::nullopt;
  out.module.resize(words);
  std::memcpy(out.module.data(), body.data(), body.size());
  return out;
}

}  // namespace burlwind::snapshot
