#include "consensus/state_patch.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <unordered_map>

namespace burlwind::consensus {
namespace {

constexpr std::size_t kBlock = 64;              // bytes
constexpr std::size_t kLeastCopy = 24;          // shorter ones are inserted: a copy costs up to 12 bytes
constexpr std::uint64_t kBase = 0x100000001b3;  // of the rolling hash, modulo 2^64
constexpr std::size_t kMostInteger = 10;        // bytes of a number in a patch

// Numbers of seven bits a byte, the least first. An operation is a number: twice its length, plus one for a
// copy; then the place in the old state, or the bytes.
void putNumber(std::string& out, std::uint64_t number) {
  while (number >= 0x80) {
    out.push_back(static_cast<char>(number | 0x80));
    number >>= 7;
  }
  out.push_back(static_cast<char>(number));
}

bool takeNumber(std::string_view& in, std::uint64_t& number) {
  number = 0;
  for (std::size_t i = 0; i < kMostInteger && !in.empty(); ++i) {
    const auto byte = static_cast<unsigned char>(in.front());
    in.remove_prefix(1);
    number |= std::uint64_t{byte & 0x7fu} << (7 * i);
    if (byte < 0x80) return true;
  }
  return false;
}

void putCopy(std::string& out, std::size_t from, std::size_t size) {
  if (size == 0) return;
  putNumber(out, size * 2 + 1);
  putNumber(out, from);
}

void putInsert(std::string& out, std::string_view bytes) {
  if (bytes.empty()) return;
  putNumber(out, bytes.size() * 2);
  out += bytes;
}

std::size_t equalBeginning(std::string_view a, std::string_view b) {
  const std::size_t most = std::min(a.size(), b.size());
  return static_cast<std::size_t>(
      std::mismatch(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(most), b.begin()).first - a.begin());
}

std::size_t equalEnd(std::string_view a, std::string_view b) {
  std::size_t out = 0;
  while (out < a.size() && out < b.size() && a[a.size() - 1 - out] == b[b.size() - 1 - out]) ++out;
  return out;
}

std::uint64_t valueOf(char byte) { return static_cast<unsigned char>(byte) + std::uint64_t{1}; }

// The hash of kBlock bytes that moves on by one byte at a time.
class RollingHash {
 public:
  explicit RollingHash(std::string_view block) {
    for (const char byte : block) value_ = value_ * kBase + valueOf(byte);
    for (std::size_t i = 1; i < kBlock; ++i) highest_ *= kBase;
  }
  void move(char gone, char come) { value_ = (value_ - valueOf(gone) * highest_) * kBase + valueOf(come); }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0, highest_ = 1;
};

class Matcher {
 public:
  explicit Matcher(std::string_view before) : before_(before) {
    blocks_.reserve(before.size() / kBlock);
    for (std::size_t at = 0; at + kBlock <= before.size(); at += kBlock)
      blocks_.emplace(RollingHash(before.substr(at, kBlock)).value(), at);
  }

  // Operations that make `middle`, appended to `out`.
  void cover(std::string_view middle, std::string& out) const {
    std::size_t written = 0;
    std::size_t at = 0;
    while (at + kBlock <= middle.size()) {
      RollingHash hash(middle.substr(at, kBlock));
      Match match;
      while (!(match = find(middle, written, at, hash.value())) && at + kBlock < middle.size()) {
        hash.move(middle[at], middle[at + kBlock]);
        ++at;
      }
      if (!match) break;
      putInsert(out, middle.substr(written, match.to - written));
      putCopy(out, match.from, match.size);
      at = written = match.to + match.size;
    }
    putInsert(out, middle.substr(written));
  }

 private:
  struct Match {
    std::size_t from = 0, to = 0, size = 0;
    explicit operator bool() const { return size > 0; }
  };

  // At `at` of the new bytes, grown both ways, but not before `written`.
  Match find(std::string_view middle, std::size_t written, std::size_t at, std::uint64_t hash) const {
    const auto found = blocks_.find(hash);
    if (found == blocks_.end()) return {};
    const std::size_t from = found->second;
    if (before_.substr(from, kBlock) != middle.substr(at, kBlock)) return {};
    const std::size_t ahead = equalBeginning(before_.substr(from), middle.substr(at));
    const std::size_t behind = equalEnd(before_.substr(0, from), middle.substr(written, at - written));
    return {from - behind, at - behind, ahead + behind};
  }

  std::string_view before_;
  std::unordered_map<std::uint64_t, std::size_t> blocks_;
};

}  // namespace

std::string makePatch(std::string_view before, std::string_view after) {
  const std::size_t beginning = equalBeginning(before, after);
  const std::size_t end = equalEnd(before.substr(beginning), after.substr(beginning));
  const std::string_view middle = after.substr(beginning, after.size() - beginning - end);
  std::string out;
  putCopy(out, 0, beginning);
  if (middle.size() < kLeastCopy + kBlock)
    putInsert(out, middle);
  else
    Matcher(before).cover(middle, out);
  putCopy(out, before.size() - end, end);
  return out;
}

bool applyPatch(std::string_view before, std::string_view patch, std::size_t mostBytes, std::string& after) {
  after.clear();
  const auto refuse = [&after] {
    after.clear();
    return false;
  };
  while (!patch.empty()) {
    std::uint64_t operation = 0;
    std::uint64_t from = 0;
    if (!takeNumber(patch, operation)) return refuse();
    const std::uint64_t size = operation / 2;
    if (size > mostBytes || after.size() > mostBytes - size) return refuse();
    if (operation % 2 == 0) {
      if (size > patch.size()) return refuse();
      after += patch.substr(0, size);
      patch.remove_prefix(size);
      continue;
    }
    if (!takeNumber(patch, from)) return refuse();
    if (from > before.size() || size > before.size() - from) return refuse();
    after += before.substr(from, size);
  }
  return true;
}

}  // namespace burlwind::consensus
