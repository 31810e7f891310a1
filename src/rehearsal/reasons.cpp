#include "rehearsal/reasons.hpp"

#include <charconv>

namespace burlwind::rehearsal {
namespace {

constexpr std::string_view kRefused = "; refused ", kFailed = "; failed ";

std::string_view lastLine(std::string_view log) {
  const auto at = log.rfind(kRefused);
  if (at == std::string_view::npos) return {};
  const auto end = log.find('\n', at);
  const auto line = log.substr(at, end == std::string_view::npos ? end : end - at);
  return line.find(kFailed) == std::string_view::npos ? std::string_view{} : line;
}

// Of `30: taller store 12, mayorista cap 18`, all behind the colon; nothing changed if any of it is odd.
bool readPart(std::string_view part, bool refused, std::vector<Reason>& out) {
  const auto colon = part.find(": ");
  if (colon == std::string_view::npos) return true;
  for (part.remove_prefix(colon + 2); !part.empty();) {
    const auto comma = part.find(", ");
    const std::string_view one = part.substr(0, comma);
    part = comma == std::string_view::npos ? std::string_view{} : part.substr(comma + 2);
    const auto blank = one.rfind(' ');
    if (blank == std::string_view::npos || blank == 0) return false;
    Reason reason{refused, std::string(one.substr(0, blank)), 0};
    const char* end = one.data() + one.size();
    const auto read = std::from_chars(one.data() + blank + 1, end, reason.count);
    if (read.ec != std::errc() || read.ptr != end) return false;
    out.push_back(std::move(reason));
  }
  return true;
}

}  // namespace

std::vector<Reason> readReasons(std::string_view log) {
  const std::string_view line = lastLine(log);
  if (line.empty()) return {};
  const auto failed = line.find(kFailed);
  std::vector<Reason> out;
  if (!readPart(line.substr(0, failed), true, out) || !readPart(line.substr(failed), false, out)) return {};
  return out;
}

}  // namespace burlwind::rehearsal
