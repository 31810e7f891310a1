// What happens to which links when: conditions by time on directed pairs of named ends, chosen by name, zone
// or region. Decides only; whoever owns the relays asks it at each edge. Times in ms from the run's begin.
// Cost: O(faults) a question.
#pragma once

#include <string>
#include <vector>

#include "faults/shape.hpp"

namespace burlwind::faults {

struct End {
  std::string name, zone, region;
};

// Empty fields match anything; `names` is any of them.
struct Selector {
  std::vector<std::string> names;
  std::string zone, region;
  bool matches(const End& end) const;
};

struct LinkFault {
  double at = 0, length = 0;
  Selector from, to;
  bool bothWays = true;  // false: only what `from` sends to `to`
  Condition condition;
  std::string label;  // as reports call it
  bool activeAt(double ms) const { return ms >= at && ms < at + length; }
};

class Timetable {
 public:
  void add(LinkFault fault) { faults_.push_back(std::move(fault)); }
  // Between all on one side and all on the other, both ways: a partition.
  void part(double at, double length, Selector one, Selector other, Way way = Way::silent);
  // Of what `from` sends to `to`; several faults at once are all in it.
  Condition at(double ms, const End& from, const End& to) const;
  // The next moment after `ms` at which something begins or ends; never: Shape::kNever.
  double nextEdge(double ms) const;
  // Whether any fault touched that direction within the span.
  bool touched(double from, double until, const End& sender, const End& receiver) const;
  const std::vector<LinkFault>& faults() const { return faults_; }
  std::string describe() const;  // a line a fault

 private:
  std::vector<LinkFault> faults_;
};

}  // namespace burlwind::faults
