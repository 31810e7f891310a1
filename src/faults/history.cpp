#include "faults/history.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <stdexcept>

namespace burlwind::faults {
namespace {

using nlohmann::json;

double numberOf(const std::string& text) { return std::strtod(text.c_str(), nullptr); }

}  // namespace

const std::string& Record::fact(const std::string& name) const {
  static const std::string kNone;
  const auto found = facts.find(name);
  return found == facts.end() ? kNone : found->second;
}

std::string Record::text() const {
  char when[64];
  std::snprintf(when, sizeof when, "%10.1f ms (its wall clock %.0f)  ", mono, wall);
  std::string out = when + process + "#" + std::to_string(incarnation) + " " + what;
  for (const auto& [name, value] : facts) out += " " + name + "=" + value;
  return out;
}

History merge(std::vector<History> parts) {
  History out;
  for (History& part : parts)
    out.insert(out.end(), std::make_move_iterator(part.begin()), std::make_move_iterator(part.end()));
  std::stable_sort(out.begin(), out.end(), [](const Record& a, const Record& b) { return a.mono < b.mono; });
  return out;
}

Checker agree(const std::string& what, const std::string& fact) {
  return [=](const History& history) -> std::optional<Breach> {
    std::map<std::string, const Record*> holds;
    for (const Record& record : history) {
      if (record.what == "end") holds.erase(record.process);
      if (record.what != what) continue;
      const std::string& value = record.fact(fact);
      holds[record.process] = &record;
      if (value.empty()) continue;
      for (const auto& [process, other] : holds)
        if (!other->fact(fact).empty() && other->fact(fact) != value)
          return Breach{record.process + " holds " + fact + " " + value + " while " + process + " holds " +
                            other->fact(fact),
                        {*other, record}};
    }
    return std::nullopt;
  };
}

Checker neverBack(const std::string& what, const std::string& fact) {
  return [=](const History& history) -> std::optional<Breach> {
    std::map<std::string, const Record*> last;
    for (const Record& record : history) {
      if (record.what != what || record.fact(fact).empty()) continue;
      const Record*& before = last[record.process];
      if (before && numberOf(record.fact(fact)) < numberOf(before->fact(fact)))
        return Breach{record.process + " goes back from " + fact + " " + before->fact(fact) + " to " +
                          record.fact(fact),
                      {*before, record}};
      before = &record;
    }
    return std::nullopt;
  };
}

Checker oneAnswer(const std::string& begin, const std::string& end, const std::string& key, double within) {
  return [=](const History& history) -> std::optional<Breach> {
    std::map<std::string, const Record*> open, done;
    for (const Record& record : history) {
      const std::string& id = record.fact(key);
      if (record.what == begin) open[id] = &record, done.erase(id);
      if (record.what != end) continue;
      const auto asked = open.find(id);
      if (asked == open.end()) return Breach{key + " " + id + " is answered and was never asked", {record}};
      if (const auto before = done.find(id); before != done.end())
        return Breach{key + " " + id + " is answered twice", {*asked->second, *before->second, record}};
      if (record.mono - asked->second->mono > within)
        return Breach{key + " " + id + " is answered too late", {*asked->second, record}};
      done[id] = &record;
    }
    for (const auto& [id, asked] : open)
      if (!done.contains(id)) return Breach{key + " " + id + " is never answered", {*asked}};
    return std::nullopt;
  };
}

Checker atMost(const std::string& what, const std::string& fact, std::size_t most, double spanMs) {
  return [=](const History& history) -> std::optional<Breach> {
    std::map<std::string, std::deque<const Record*>> recent;
    for (const Record& record : history) {
      if (record.what != what) continue;
      std::deque<const Record*>& mine = recent[record.fact(fact)];
      mine.push_back(&record);
      while (mine.front()->mono <= record.mono - spanMs) mine.pop_front();
      if (mine.size() <= most) continue;
      Breach breach{std::to_string(mine.size()) + " times " + what + " at " + fact + " " + record.fact(fact) +
                        " in " + std::to_string(std::lround(spanMs)) + " ms",
                    {}};
      for (const Record* one : mine) breach.shown.push_back(*one);
      return breach;
    }
    return std::nullopt;
  };
}

Checker none(const std::string& what, double from, double until) {
  return [=](const History& history) -> std::optional<Breach> {
    for (const Record& record : history)
      if (record.what == what && record.mono >= from && record.mono < until)
        return Breach{what + " where there must be none", {record}};
    return std::nullopt;
  };
}

Breach shortest(const History& history, const Checker& checker) {
  const auto first = checker(history);
  if (!first) return {};
  // What the breach shows is nearly always enough; where it is not, everything is tried.
  History kept = checker(first->shown) ? first->shown : history;
  for (std::size_t part = std::max<std::size_t>(1, kept.size() / 2); part > 0; part /= 2) {
    for (std::size_t at = 0; at < kept.size();) {
      History without(kept.begin(), kept.begin() + static_cast<std::ptrdiff_t>(at));
      const std::size_t end = std::min(kept.size(), at + part);
      without.insert(without.end(), kept.begin() + static_cast<std::ptrdiff_t>(end), kept.end());
      if (checker(without))
        kept = std::move(without);
      else
        at = end;
    }
  }
  return *checker(kept);
}

void write(std::ostream& out, const History& history) {
  for (const Record& r : history)
    out << json{{"process", r.process}, {"incarnation", r.incarnation},
                {"mono", r.mono},       {"wall", r.wall},
                {"what", r.what},       {"facts", r.facts}}
               .dump()
        << "\n";
}

History read(std::istream& in) {
  History out;
  std::size_t number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    try {
      const json j = json::parse(line);
      out.push_back({j.at("process"), j.at("incarnation"), j.at("mono"), j.at("wall"), j.at("what"),
                     j.at("facts").get<std::map<std::string, std::string>>()});
    } catch (const json::exception& error) {
      throw std::runtime_error("line " + std::to_string(number) + ": " + error.what());
    }
  }
  return out;
}

}  // namespace burlwind::faults
