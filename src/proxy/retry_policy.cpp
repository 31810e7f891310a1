#include "proxy/retry_policy.hpp"

namespace burlwind::proxy {

NextStep RetryPolicy::after(ExchangeOutcome outcome, unsigned status, bool timeForAnother) {
  switch (outcome) {
    case ExchangeOutcome::notSent:
      ++unreached_;
      return NextStep::tryAnother;
    case ExchangeOutcome::notRun:
    case ExchangeOutcome::wrongServer:
      ++arrivals_;
      return NextStep::tryAnother;
    case ExchangeOutcome::broken:
    case ExchangeOutcome::timedOut:
      ++arrivals_;
      mayHaveRun_ = true;
      return repeatable_ ? NextStep::tryAnother : NextStep::giveUpNoAnswer;
    case ExchangeOutcome::givenUpHere:
    case ExchangeOutcome::abandoned:
      ++arrivals_;
      mayHaveRun_ = true;
      return NextStep::giveUpNoAnswer;
    case ExchangeOutcome::answered:
      return afterAnswer(status, timeForAnother);
  }
  return NextStep::giveUpNoAnswer;
}

NextStep RetryPolicy::afterAnswer(unsigned status, bool timeForAnother) {
  ++arrivals_;
  mayHaveRun_ = true;
  if (promisesNotRun(status)) return repeatable_ ? NextStep::tryAnother : NextStep::giveUpAnswerUnusable;
  // A read that failed at one worker may do at another; else the worker's own answer stands.
  const bool anotherMayDo = repeatable_ && status >= 500 && arrivals_ < tries_;
  if (!anotherMayDo) return NextStep::deliverAnswer;
  return timeForAnother ? NextStep::keepAndTryAnother : NextStep::deliverAnswer;
}

}  // namespace burlwind::proxy
