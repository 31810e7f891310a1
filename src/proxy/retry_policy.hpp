// What follows the end of an exchange with a worker, for one request of a client: decisions only.
//
// Properties, over all attempts of the request:
//  - One that may run once only is not sent again after an exchange in which it may have run.
//  - It goes to at most `tries` workers; those that could not be reached don't count, and there are at most
//    kMaxUnreached of them.
//  - 503 is said only if it has run nowhere and never will; else giving up is 502, or 504 once its time is
//  over.
//  - A worker's own 429, 503, 408 or 421 that does not say Not-Run is never passed on: to the client it would
//    be a promise that the worker did not give.
//  - A worker's answer is passed on with the status that the worker gave it, or not at all.
#pragma once

#include "proxy/worker_exchange.hpp"

namespace burlwind::proxy {

constexpr unsigned kMaxUnreached = 4;

// Statuses that promise a client that its request has not run and never will.
constexpr bool promisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

enum class NextStep {
  tryAnother,            // another worker, if there is one, time and budget
  keepAndTryAnother,     // the same; where there is none, the answer just had is delivered
  deliverAnswer,         // the answer just had is the client's
  giveUpAnswerUnusable,  // a worker has answered what can't be passed on
  giveUpNoAnswer         // no whole answer came
};

class RetryPolicy {
 public:
  // tries: workers that the request may go to; at least one.
  RetryPolicy(bool repeatable, unsigned tries) : repeatable_(repeatable), tries_(tries > 0 ? tries : 1) {}

  bool attemptsLeft() const { return arrivals_ < tries_ && unreached_ < kMaxUnreached; }
  bool lastAttempt() const { return arrivals_ + 1 >= tries_; }
  // The next attempt is drawn from the budget that all proxies share.
  bool needsRetryBudget() const { return arrivals_ > 0; }
  bool mayHaveRun() const { return mayHaveRun_; }

  // status: of the answer, where there is one. timeForAnother: enough is left for an answer from elsewhere.
  NextStep after(ExchangeOutcome outcome, unsigned status, bool timeForAnother);
  // What the client is told where no answer is delivered. timeOver: its time ends now.
  unsigned statusOnGivingUp(bool timeOver) const {
    if (!mayHaveRun_) return 503;
    return timeOver ? 504 : 502;
  }

 private:
  NextStep afterAnswer(unsigned status, bool timeForAnother);
  const bool repeatable_;
  const unsigned tries_;
  unsigned arrivals_ = 0;   // exchanges in which it may have reached a worker
  unsigned unreached_ = 0;  // others
  bool mayHaveRun_ = false;
};

}  // namespace burlwind::proxy
