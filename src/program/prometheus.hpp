// Figures in Prometheus text format (version 0.0.4): the one place that words them.
#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace burlwind::program {

inline void appendType(std::string& out, std::string_view name, std::string_view type) {
  out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

// One pair of a sample's labels; several are joined by commas.
inline std::string label(std::string_view name, std::string_view value) {
  std::string out(name);
  out.append("=\"");
  for (const char c : value) {
    if (c == '"' || c == '\\') out.push_back('\\');
    if (c == '\n')
      out.append("\\n");
    else
      out.push_back(c);
  }
  return out.append("\"");
}

template <class Value>
requires std::integral<Value> || std::floating_point<Value>
void appendSample(std::string& out, std::string_view name, std::string_view labels, Value value) {
  out.append(name);
  if (!labels.empty()) out.append("{").append(labels).append("}");
  out.append(" ").append(std::to_string(value)).append("\n");
}

}  // namespace burlwind::program
