#include "proxy/answer_figures.hpp"

#include <string_view>

#include "program/log.hpp"
#include "program/prometheus.hpp"

namespace burlwind::proxy {
namespace {

using program::appendSample;
using program::appendType;
using program::label;

constexpr std::string_view kBoundNames[kAnswerBounds] = {"head", "body", "room"};
constexpr std::string_view kHolderNames[kAnswerHolders] = {"reading", "writing"};
constexpr std::size_t kMaxWorkersNamed = 64;  // between two reports; others are only counted

}  // namespace

void AnswerFigures::change(AnswerHolder holder, std::size_t before, std::size_t after) {
  Holder& all = holders_[index(holder)];
  all.bytes += after - before;
  all.peakBytes = std::max(all.peakBytes, all.bytes);
  largestBytes_ = std::max(largestBytes_, after);
}

void AnswerFigures::gaveUp(AnswerBound bound, const std::string& worker) {
  ++givenUp_[index(bound)];
  const std::pair key(bound, worker);
  if (givenUpSinceReport_.size() < kMaxWorkersNamed || givenUpSinceReport_.contains(key))
    ++givenUpSinceReport_[key];
}

std::string AnswerFigures::text() const {
  constexpr std::string_view answers = "burlwind_answers";
  constexpr std::string_view bytes = "burlwind_answer_bytes";
  constexpr std::string_view peak = "burlwind_answer_bytes_peak";
  constexpr std::string_view largest = "burlwind_answer_bytes_largest";
  constexpr std::string_view givenUp = "burlwind_answers_given_up_total";
  constexpr std::string_view exceptions = "burlwind_request_exceptions_total";
  std::string out;
  const auto each = [&](std::string_view name, auto valueOf) {
    appendType(out, name, "gauge");
    for (std::size_t i = 0; i < kAnswerHolders; ++i)
      appendSample(out, name, label("held_for", kHolderNames[i]), valueOf(holders_[i]));
  };
  each(answers, [](const Holder& holder) { return holder.answers; });
  each(bytes, [](const Holder& holder) { return holder.bytes; });
  each(peak, [](const Holder& holder) { return holder.peakBytes; });
  appendType(out, largest, "gauge");
  appendSample(out, largest, "", largestBytes_);
  appendType(out, givenUp, "counter");
  for (std::size_t i = 0; i < kAnswerBounds; ++i)
    appendSample(out, givenUp, label("bound", kBoundNames[i]), givenUp_[i]);
  appendType(out, exceptions, "counter");
  appendSample(out, exceptions, "", exceptions_);
  return out;
}

void AnswerFigures::report() {
  for (const auto& [what, count] : std::exchange(givenUpSinceReport_, {}))
    program::warn("answers given up",
                  {{"bound", kBoundNames[index(what.first)]}, {"worker", what.second}, {"count", count}});
  const Holder& reading = holders_[index(AnswerHolder::reading)];
  const Holder& writing = holders_[index(AnswerHolder::writing)];
  const std::size_t peakBytes = reading.peakBytes + writing.peakBytes;
  if (peakBytes == reportedPeakBytes_) return;
  reportedPeakBytes_ = peakBytes;
  program::info("answers held", {{"reading", reading.answers},
                                 {"readingBytes", reading.bytes},
                                 {"readingPeakBytes", reading.peakBytes},
                                 {"writing", writing.answers},
                                 {"writingBytes", writing.bytes},
                                 {"writingPeakBytes", writing.peakBytes},
                                 {"largestBytes", largestBytes_}});
}

}  // namespace burlwind::proxy
