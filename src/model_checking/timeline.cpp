#include "model_checking/timeline.hpp"

#include <algorithm>
#include <cstdio>

namespace burlwind::model_checking {
namespace {

constexpr std::size_t kColumnWidth = 36;
constexpr std::size_t kMarginWidth = 16;  // number and clock

std::string padded(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text;
}

std::vector<std::string> wrapped(const std::string& text, std::size_t width, const std::string& indent) {
  std::vector<std::string> lines;
  std::string line;
  std::size_t at = 0;
  while (at < text.size()) {
    std::size_t end = text.find(' ', at);
    if (end == std::string::npos) end = text.size();
    const std::string word = text.substr(at, end - at);
    const bool fits = line.size() + 1 + word.size() <= width;
    if (!line.empty() && !fits) {
      lines.push_back(line);
      line = indent + word;
    } else {
      line += (line.empty() ? "" : " ") + word;
    }
    at = end + 1;
  }
  if (!line.empty()) lines.push_back(line);
  return lines;
}

void append(std::vector<std::string>& cell, const std::string& text, const std::string& indent) {
  for (auto& line : wrapped(text, kColumnWidth - 2, indent)) cell.push_back(std::move(line));
}

}  // namespace

std::string drawTimeline(const std::vector<std::string>& columns, const std::vector<TimelineRow>& rows) {
  std::string out = padded("step  clock ms", kMarginWidth);
  for (const auto& column : columns) out += padded(column, kColumnWidth);
  out += '\n';
  for (const TimelineRow& row : rows) {
    std::vector<std::string> cell;
    append(cell, row.event, "  ");
    for (const auto& note : row.notes) append(cell, "  " + note, "    ");
    char margin[32];
    std::snprintf(margin, sizeof margin, "%4u  %8.0f", row.number, row.clock);
    for (std::size_t line = 0; line < cell.size(); ++line) {
      out += padded(line == 0 ? margin : "", kMarginWidth);
      for (unsigned column = 0; column < row.replica; ++column) out += padded("|", kColumnWidth);
      out += cell[line] + '\n';
    }
  }
  return out;
}

std::string drawTrace(const Scenario& scenario, const std::vector<Event>& trace) {
  World world(scenario);
  std::vector<std::string> columns;
  for (unsigned i = 0; i < world.cluster().size(); ++i) columns.push_back(nameOf(world.cluster().id(i)));
  std::vector<Time> starts;
  for (unsigned i = 0; i < world.cluster().size(); ++i) starts.push_back(world.cluster().now(i));
  std::vector<TimelineRow> rows;
  for (const Event& event : trace) {
    TimelineRow row{static_cast<unsigned>(rows.size() + 1), 0, event.replica, world.describe(event), {}};
    world.apply(event, &row.notes);
    row.clock = world.cluster().now(event.replica) - starts[event.replica];
    rows.push_back(std::move(row));
  }
  return drawTimeline(columns, rows);
}

}  // namespace burlwind::model_checking
