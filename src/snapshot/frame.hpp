// The state of a gatekeeper as one frame with version, lengths and checksum: what an old process hands over
// to a new one, and what is kept on a disk. Bounded: a frame over kMostFrame is refused before anything of it
// is kept. Written and read on one machine by one user; a frame is checked all the same, since it may be cut,
// changed, or of a version that was rolled back. Numbers are as the machine has them.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burlwind::snapshot {

constexpr std::uint32_t kVersion = 2;
constexpr std::size_t kMostFrame = std::size_t{8} << 20;

// How a moment is told to another process: the wall clock alone may have been set meanwhile.
struct Moment {
  double wallMs = 0;  // Unix time
  std::string boot;   // of the machine, as the kernel names it; empty where it does not
  double bootMs = 0;  // since then, stops of the machine included
};

struct Stamp {
  std::string name;          // of the gatekeeper
  std::uint64_t number = 0;  // of the states that it has kept, one after another
  Moment written;
  double goodPerSecond = 0;  // good answers, then
};

struct Snapshot {
  std::string settings;               // what both must have been told alike
  std::string roster;                 // the list of workers, in discovery's form; may be empty
  std::uint64_t descriptors = 0;      // that the old process holds
  std::vector<std::uint64_t> module;  // the decision module's
  Stamp stamp;                        // of one that is kept; empty in a hand-over
};

constexpr std::size_t kHeadBytes = 24;

// Throws std::length_error over kMostFrame.
std::string encode(const Snapshot& snapshot);
// The bytes that follow a head; nothing if it is not one of this version, or too long.
std::optional<std::size_t> bodyBytes(std::string_view head);
// Nothing if it is cut or spoilt. `frame`: head and body.
std::optional<Snapshot> decode(std::string_view frame);

}  // namespace burlwind::snapshot
