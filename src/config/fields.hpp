// Fields of a form of their own that settings and configurations share.
#pragma once

#include "config/json.hpp"
#include "config/settings.hpp"

namespace burlwind::config {

// Milliseconds of a field such as "1500ms"; `usual` where it is not there, and where it is no time, which is
// a fault.
inline double timeOf(const Reader& at, const char* name, double usual) {
  if (!at.has(name)) return usual;
  const Reader field = at.at(name);
  const auto out = milliseconds(field.text());
  if (!out) field.fail("is no time such as \"1500ms\" or \"2.5s\"");
  return out.value_or(usual);
}

}  // namespace burlwind::config
