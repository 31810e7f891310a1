// Why a daemon turned requests away, in its own words: the last line of its log that sums up its answers, as
// `served 812; refused 30: taller store 12, mayorista cap 18; failed 0` (docs/operators/on-call.md). For the
// report alone: the judge goes by what was seen on the sockets. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burlwind::rehearsal {

struct Reason {
  bool refused = true;  // else it failed
  std::string what;     // plan and reason, as "taller store"
  std::uint64_t count = 0;
};

// None where no line is one, or where it cannot be read.
std::vector<Reason> readReasons(std::string_view log);

}  // namespace burlwind::rehearsal
