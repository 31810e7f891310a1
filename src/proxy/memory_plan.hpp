// How a proxy's memory is divided: the one place where all that it may hold is added up. Decides only.
//
//   what                                          part of memoryMb   at 260 MB
//   bodies of requests, and what clients send ahead        0.25         65
//   exchanges with workers, a fixed share each             0.15         39
//   long answers, from their first byte to their last      0.25         65
//   the rest: code, configuration, workers and control (64 MB by the target), 8 kB a client's connection
//   (16 MB at 2,000)                                       0.35         91, 11 of them spare
//
// Not in it: what the system holds of answers that clients have not read yet, which is the system's memory.
#pragma once

#include <algorithm>
#include <cstddef>

#include "proxy/answer_budget.hpp"

namespace burlwind::proxy {

constexpr double kRequestPart = 0.25;
constexpr double kExchangePart = 0.15;
constexpr double kLongAnswerPart = 0.25;
constexpr double kMemoryUntoldMb = 256;      // where the settings tell none
constexpr std::size_t kLeastExchanges = 64;  // however little memory there is

struct MemoryPlan {
  std::size_t requestBytes = 0;
  AnswerBudget::Limits answers;
};

inline MemoryPlan memoryPlan(double memoryMb) {
  constexpr double kBytesPerMb = 1024 * 1024;
  const double all = kBytesPerMb * (memoryMb > 0 ? memoryMb : kMemoryUntoldMb);
  const auto partOf = [&](double part) { return static_cast<std::size_t>(part * all); };
  return {partOf(kRequestPart),
          {std::max(kLeastExchanges, partOf(kExchangePart) / kExchangeBytes), partOf(kLongAnswerPart)}};
}

}  // namespace burlwind::proxy
