// Carries one routed request to workers, one after the other where it may be tried again, until it has an
// answer or its client has left: then nothing more is begun for it, whatever its last exchange ended with.
// Choice of worker is decided in load_balancing, what follows an exchange in retry_policy.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "distributed_quota/budget.hpp"
#include "load_balancing/core.hpp"
#include "proxy/client_request.hpp"
#include "proxy/departure_figures.hpp"
#include "proxy/worker_side.hpp"

namespace burlwind::proxy {

class Forwarder {
 public:
  // draw: a number from 0 to under 1.
  Forwarder(asio::io_context& io, load_balancing::Core& balancer,
            std::shared_ptr<DepartureFigures> departures, std::shared_ptr<AnswerFigures> answerFigures,
            std::shared_ptr<AnswerBudget> answerBudget, std::function<double()> draw)
      : balancer_(balancer),
        departures_(std::move(departures)),
        answerFigures_(std::move(answerFigures)),
        answerBudget_(std::move(answerBudget)),
        draw_(std::move(draw)),
        workers_(io, answerFigures_) {}
  // Ends with request.answer standing, or with its client gone. request.bytes and request.client are there.
  asio::awaitable<void> forward(ClientRequest& request);
  void setBudget(double retryRatio, double retrySlack, unsigned proxies) {
    budget_.set(retryRatio, retrySlack, proxies);
  }
  void tick(double now) { workers_.sweep(now); }
  void report();  // logs what was sent since the last report

 private:
  struct Attempts;
  load_balancing::Core::Choice chooseWorker(const ClientRequest& request, const Attempts& attempts);
  WorkerCall callOf(const ClientRequest& request, const Attempts& attempts,
                    const load_balancing::Core::Choice& choice) const;
  double answerWithinMs(const ClientRequest& request, const Attempts& attempts) const;
  asio::awaitable<ExchangeResult> exchange(WorkerCall call);
  // Whether another attempt begins; where not, the request's answer stands.
  bool mayAttempt(ClientRequest& request, Attempts& attempts);
  // The same after one has ended.
  bool afterAttempt(ClientRequest& request, Attempts& attempts, ExchangeResult result);
  static void giveUp(ClientRequest& request, const Attempts& attempts, std::string_view reason,
                     double retryAfterMs);
  void noteWorker(const ClientRequest& request, const std::string& worker, const ExchangeResult& result);
  void noteDeparture(const ClientRequest& request, const ExchangeResult& result);
  // The client left while there was time for an answer: what the worker had not done by then is no fault.
  static bool leftInTime(const ClientRequest& request);
  void returnUnusedTry(const ClientRequest& request, Attempts& attempts);

  load_balancing::Core& balancer_;
  const std::shared_ptr<DepartureFigures> departures_;
  const std::shared_ptr<AnswerFigures> answerFigures_;
  const std::shared_ptr<AnswerBudget> answerBudget_;
  const std::function<double()> draw_;
  distributed_quota::TryBudget budget_;
  WorkerSide workers_;
  struct Sent {
    std::uint64_t count = 0, bytes = 0;
  } sent_[3];  // to workers of this zone, this region, others
  std::uint64_t skippedAnswers_ = 0;
};

}  // namespace burlwind::proxy
