// The difference between two states as bytes: what of the new one is copied from where in the old one, and
// what is inserted. Found like rsync does: blocks of the old state by a rolling hash, matches grown both
// ways, equal beginnings and ends first. Decisions only; the same input gives the same patch.
//
// Cost: some 10 ns for each byte that lies between the equal beginnings and ends, 40 bytes of memory for each
// block of the old state; a patch is never longer than the new state and some 20 bytes. No checksum is
// inside: who applies a patch compares the result's with the one it was told.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace burlwind::consensus {

std::string makePatch(std::string_view before, std::string_view after);

// False, with `after` empty, where this is no patch for such a state or the result would be longer than
// `mostBytes`. Reads nothing outside `before` and `patch`, whatever they hold.
bool applyPatch(std::string_view before, std::string_view patch, std::size_t mostBytes, std::string& after);

}  // namespace burlwind::consensus
