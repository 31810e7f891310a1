#include "faults/timetable.hpp"

#include <algorithm>
#include <cstdio>

namespace burlwind::faults {
namespace {

std::string nameOf(const Selector& s) {
  std::string out;
  for (const std::string& name : s.names) out += (out.empty() ? "" : ",") + name;
  if (!s.zone.empty()) out += (out.empty() ? "" : " in ") + ("zone " + s.zone);
  if (!s.region.empty()) out += (out.empty() ? "" : " in ") + ("region " + s.region);
  return out.empty() ? "all" : out;
}

bool reaches(const LinkFault& fault, const End& from, const End& to) {
  if (fault.from.matches(from) && fault.to.matches(to)) return true;
  return fault.bothWays && fault.from.matches(to) && fault.to.matches(from);
}

}  // namespace

bool Selector::matches(const End& end) const {
  if (!names.empty() && std::find(names.begin(), names.end(), end.name) == names.end()) return false;
  return (zone.empty() || zone == end.zone) && (region.empty() || region == end.region);
}

void Timetable::part(double at, double length, Selector one, Selector other, Way way) {
  LinkFault fault;
  fault.at = at, fault.length = length;
  fault.from = std::move(one), fault.to = std::move(other);
  fault.condition.way = way;
  fault.label = "partition";
  add(std::move(fault));
}

Condition Timetable::at(double ms, const End& from, const End& to) const {
  Condition out;
  for (const LinkFault& fault : faults_)
    if (fault.activeAt(ms) && reaches(fault, from, to)) out = both(out, fault.condition);
  return out;
}

double Timetable::nextEdge(double ms) const {
  double out = Shape::kNever;
  for (const LinkFault& fault : faults_)
    for (const double edge : {fault.at, fault.at + fault.length})
      if (edge > ms) out = std::min(out, edge);
  return out;
}

bool Timetable::touched(double from, double until, const End& sender, const End& receiver) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](const LinkFault& fault) {
    return fault.at <= until && fault.at + fault.length > from && reaches(fault, sender, receiver);
  });
}

std::string Timetable::describe() const {
  std::string out;
  for (const LinkFault& fault : faults_) {
    char when[64];
    std::snprintf(when, sizeof when, "%.0f to %.0f ms  ", fault.at, fault.at + fault.length);
    out += when + nameOf(fault.from) + (fault.bothWays ? " <-> " : " -> ") + nameOf(fault.to) + "  " +
           faults::describe(fault.condition) + (fault.label.empty() ? "" : "  (" + fault.label + ")") + "\n";
  }
  return out;
}

}  // namespace burlwind::faults
