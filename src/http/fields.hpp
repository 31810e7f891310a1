// How the platform writes what requests say of themselves, read the same by every front.
#pragma once

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "http/http.hpp"

namespace burlwind {

// A number of 16 hex digits, no more and no fewer.
inline std::optional<std::uint64_t> hexDigits(std::string_view text) {
  return text.size() == 16 ? number<std::uint64_t>(text, 16) : std::nullopt;
}

// A customer: such a number, under 2^33.
inline std::optional<std::uint64_t> customerOf(std::string_view text) {
  const auto out = hexDigits(text);
  return out && *out < (std::uint64_t{1} << 33) ? out : std::nullopt;
}

// Units of a request: over 0, up to `most`.
inline std::optional<double> unitsOf(std::string_view text, double most) {
  const auto out = number<double>(text);
  return out && std::isfinite(*out) && *out > 0 && *out <= most ? out : std::nullopt;
}

// The place of a name among those that the platform tells.
inline std::optional<unsigned> indexOf(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (name.empty() || found == names.end()) return std::nullopt;
  return static_cast<unsigned>(found - names.begin());
}

}  // namespace burlwind
