// What an old and a new process tell each other: one snapshot, framed with version, lengths and checksum,
// then the ends of what was out. Bounded: a frame over kMostFrame is refused before anything of it is kept.
// Both ends are of one machine and one user; a frame is checked all the same, since a version that is rolled
// back may read it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burlwind::handover {

constexpr std::uint32_t kVersion = 1;
constexpr std::size_t kMostFrame = std::size_t{8} << 20;

struct Snapshot {
  std::string settings;               // what both must have been told alike
  std::string roster;                 // the list of workers, in discovery's form; may be empty
  std::uint64_t descriptors = 0;      // that the old process holds
  std::vector<std::uint64_t> module;  // the decision module's
};

constexpr std::size_t kHeadBytes = 24;

// Throws std::length_error over kMostFrame.
std::string encode(const Snapshot& snapshot);
// The bytes that follow a head; nothing if it is not one of this version, or too long.
std::optional<std::size_t> bodyBytes(std::string_view head);
// Nothing if it is cut or spoilt. `frame`: head and body.
std::optional<Snapshot> decode(std::string_view frame);

}  // namespace burlwind::handover
