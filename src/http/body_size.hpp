// What the body of a message takes while it is read whole into a string, by what is known of it.
#pragma once

#include <cstddef>

#include "http/http.hpp"

namespace burlwind {

// Bytes, from its head on. A told length is reserved at once; a body without one is held twice and more while
// it moves to larger room.
template <bool isRequest>
std::size_t bytesToHold(const http::parser<isRequest, http::string_body>& parser) {
  constexpr std::size_t kGrowthFactor = 3;
  const auto told = parser.content_length();
  return told ? static_cast<std::size_t>(*told) : kGrowthFactor * parser.get().body().size();
}

}  // namespace burlwind
