// What the explorer prints: a line for each search and for the plays together, and for a violation its trace
// as a timeline with the command that brings it about again. As JSON: one object a line.
#pragma once

#include <string>

#include "model_checking/play.hpp"
#include "model_checking/search.hpp"

namespace burlwind::model_checking {

class Report {
 public:
  explicit Report(bool json) : json_(json) {}

  void add(const Scenario& scenario, const SearchResult& result);
  // A play that breaks a property is shrunk first. `orders`: as it was drawn, for the command.
  void add(const Play& play, const PlayResult& result, unsigned orders);
  void endPlays();

  bool violated() const { return violated_; }
  const std::string& text() const { return text_; }

 private:
  void addViolation(const Violation& violation, const std::string& command, const std::string& timeline);

  const bool json_;
  bool violated_ = false;
  std::string text_;
  std::uint64_t plays_ = 0, steps_ = 0, committed_ = 0, firstSeed_ = 0;
};

// "--ignore a,b", or nothing.
std::string ignoreOption(const std::vector<Property>& unchecked);

}  // namespace burlwind::model_checking
