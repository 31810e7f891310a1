// What each process was told, decided and did, with both of its clocks, merged after a run and checked for
// stated properties. A checker knows nothing of the code that it checks; it finds the records that show a
// breach, and `shortest` takes away all that is not needed to see it.
//
// Order between processes is by the monotonic clock of the machine on which all of them ran; a wall clock is
// only what a process was told, which may be hours off or set back in the middle. Times in ms.
// Cost: merging O(n log n); a checker O(n log n) unless it says otherwise.
#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burlwind::faults {

struct Record {
  std::string process;
  unsigned incarnation = 0;
  double mono = 0, wall = 0;
  std::string what;
  std::map<std::string, std::string> facts;

  const std::string& fact(const std::string& name) const;  // empty where there is none
  std::string text() const;
};
using History = std::vector<Record>;

// By the monotonic clock; records of one process keep their own order where the clock says the same.
History merge(std::vector<History> parts);

struct Breach {
  std::string why;
  History shown;  // the records that show it, in order
};
using Checker = std::function<std::optional<Breach>(const History&)>;

// --- Properties ---
// Between two records `what` of a process its value of `fact` holds, until the process ends ("end"). No two
// processes hold different values at one time; an empty value is none.
Checker agree(const std::string& what, const std::string& fact);
// The number in `fact` never goes down at any process, over all of its incarnations.
Checker neverBack(const std::string& what, const std::string& fact);
// Each `begin` has exactly one `end` with the same `key` within so many ms, and none comes without.
Checker oneAnswer(const std::string& begin, const std::string& end, const std::string& key, double within);
// At most so many records `what` with the same value of `fact` in any span of so many ms.
Checker atMost(const std::string& what, const std::string& fact, std::size_t most, double spanMs);
// No record of these within [from, until) at all: nothing crosses a cut.
Checker none(const std::string& what, double from, double until);

// A 1-minimal part of the history that still breaks the property: without any one of its records it holds
// (delta debugging, Zeller and Hildebrandt 2002). At most O(n^2) checks, on what the breach shows first.
Breach shortest(const History& history, const Checker& checker);

// One JSON object a line. Reading throws std::runtime_error: line and reason.
void write(std::ostream& out, const History& history);
History read(std::istream& in);

}  // namespace burlwind::faults
