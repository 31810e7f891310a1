#include "proxy/departure_figures.hpp"

#include <algorithm>

#include "program/log.hpp"
#include "program/prometheus.hpp"

namespace burlwind::proxy {
namespace {

using program::appendSample;
using program::appendType;
using program::label;

constexpr double kLongWorkMs = 500;
constexpr std::string_view kKindNames[kRequestKinds] = {"unrouted", "repeatable", "once_only"};

std::string kindLabel(std::size_t kind) { return label("kind", kKindNames[kind]); }

}  // namespace

void DepartureFigures::workEnded(RequestKind kind, double afterMs) {
  Work& work = work_[index(kind)];
  ++work.count;
  if (afterMs > kLongWorkMs) ++work.overHalfSecond;
  work.sumMs += afterMs;
  work.longestMs = std::max(work.longestMs, afterMs);
}

std::uint64_t DepartureFigures::total() const {
  std::uint64_t sum = 0;
  for (const auto& stages : left_)
    for (const std::uint64_t count : stages) sum += count;
  return sum;
}

std::string DepartureFigures::text() const {
  constexpr std::string_view left = "burlwind_clients_left_total";
  constexpr std::string_view seconds = "burlwind_work_after_departure_seconds";
  constexpr std::string_view longWork = "burlwind_long_work_after_departure_total";
  constexpr std::string_view longest = "burlwind_longest_work_after_departure_seconds";
  std::string out;
  appendType(out, left, "counter");
  for (std::size_t kind = 0; kind < kRequestKinds; ++kind)
    for (std::size_t stage = 0; stage < kRequestStages; ++stage)
      appendSample(out, left,
                   kindLabel(kind) + "," + label("stage", nameOf(static_cast<RequestStage>(stage))),
                   static_cast<double>(left_[kind][stage]));
  appendType(out, seconds, "summary");
  for (std::size_t kind = 0; kind < kRequestKinds; ++kind) {
    appendSample(out, "burlwind_work_after_departure_seconds_sum", kindLabel(kind), work_[kind].sumMs / 1000);
    appendSample(out, "burlwind_work_after_departure_seconds_count", kindLabel(kind),
                 static_cast<double>(work_[kind].count));
  }
  appendType(out, longWork, "counter");
  for (std::size_t kind = 0; kind < kRequestKinds; ++kind)
    appendSample(out, longWork, kindLabel(kind), static_cast<double>(work_[kind].overHalfSecond));
  appendType(out, longest, "gauge");
  for (std::size_t kind = 0; kind < kRequestKinds; ++kind)
    appendSample(out, longest, kindLabel(kind), work_[kind].longestMs / 1000);
  return out;
}

void DepartureFigures::report() {
  for (std::size_t kind = 0; kind < kRequestKinds; ++kind) {
    for (std::size_t stage = 0; stage < kRequestStages; ++stage) {
      const std::uint64_t count = left_[kind][stage] - reported_[kind][stage];
      if (count == 0) continue;
      program::info("clients left", {{"kind", kKindNames[kind]},
                                     {"stage", nameOf(static_cast<RequestStage>(stage))},
                                     {"count", count}});
    }
    const Work& work = work_[kind];
    const Work& before = reportedWork_[kind];
    if (work.count == before.count) continue;
    const auto count = static_cast<double>(work.count - before.count);
    program::info("work after departure", {{"kind", kKindNames[kind]},
                                           {"count", count},
                                           {"over500ms", work.overHalfSecond - before.overHalfSecond},
                                           {"meanMs", (work.sumMs - before.sumMs) / count},
                                           {"longestMs", work.longestMs}});
  }
  reported_ = left_;
  reportedWork_ = work_;
}

}  // namespace burlwind::proxy
