// What a person or a program reads of a verdict: text, JSON (schema burlwind-rehearsal-report/1, described in
// docs/operators/rehearsal.md) and one self-contained HTML page. Pure.
#pragma once

#include <string>

#include "rehearsal/judge.hpp"

namespace burlwind::rehearsal {

constexpr std::string_view kReportSchema = "burlwind-rehearsal-report/1";

std::string textReport(const Trace& trace, const Verdict& verdict);
std::string jsonReport(const Trace& trace, const Verdict& verdict);
std::string htmlReport(const Trace& trace, const Verdict& verdict);

}  // namespace burlwind::rehearsal
