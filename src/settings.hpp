// `path=value` settings, as an instance gets them at its start.
#pragma once

#include <string_view>

#include "irisring/decide.hpp"

namespace irisring {

// Throws std::runtime_error with one plain line on a malformed line, number or word. Unknown keys are
// ignored.
Settings parseSettings(std::string_view text);

}  // namespace irisring
