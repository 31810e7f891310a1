#include "proxy/forwarder.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "config/settings.hpp"
#include "program/log.hpp"
#include "program/start.hpp"
#include "proxy/message_text.hpp"
#include "proxy/retry_policy.hpp"

namespace burlwind::proxy {
namespace {

using program::now;

constexpr double kLeastTimeMs = 20;  // that a worker must have, else it isn't asked
constexpr double kAimUntoldMs = 1000;
// A repeatable request leaves so much of its time for another worker, but only where a worker has had time
// for any usual answer: long work is the request's own, and is no shorter elsewhere.
constexpr double kLeastForAnotherMs = 500, kUsualForAnother = 3, kUsualBeforeAnother = 8;
constexpr double kUsualForRetry = 2;  // answers' times that must be left after a worker's failure
// Until a client that was told so may come back.
constexpr double kBusyRetryMs = 250, kBudgetRetryMs = 300, kTriesRetryMs = 200, kNobodyRetryMs = 500;

}  // namespace

struct Forwarder::Attempts {
  explicit Attempts(const config::Route& route) : policy(route.safe, route.tries) {}
  RetryPolicy policy;
  std::vector<std::string> tried;  // ids of workers
  bool tookFromBudget = false;     // for the attempt at hand
};

asio::awaitable<void> Forwarder::forward(ClientRequest& request) {
  Attempts attempts(*request.route);
  budget_.first(request.service);
  request.client->enter(RequestStage::choosing);
  while (!request.client->left() && mayAttempt(request, attempts)) {
    const load_balancing::Core::Choice choice = chooseWorker(request, attempts);
    if (choice.id.empty()) {
      returnUnusedTry(request, attempts);
      const bool nobody = choice.why == load_balancing::Why::nobody;
      if (nobody)
        giveUp(request, attempts, "no worker may serve it", kNobodyRetryMs);
      else
        giveUp(request, attempts, "all workers are busy", kBusyRetryMs);
      co_return;
    }
    WorkerCall call = callOf(request, attempts, choice);
    if (!call.share) {
      returnUnusedTry(request, attempts);
      giveUp(request, attempts, "too many answers are under way", kBusyRetryMs);
      co_return;
    }
    const std::size_t bytes = call.head.size() + call.body.size();
    balancer_.sent(choice.id, now());
    ExchangeResult result = co_await exchange(std::move(call));
    const bool reached = result.outcome != ExchangeOutcome::notSent;
    if (!reached) returnUnusedTry(request, attempts);
    request.reachedWorker = request.reachedWorker || reached;
    noteWorker(request, choice.id, result);
    noteDeparture(request, result);
    request.client->enter(RequestStage::choosing);
    Sent& sent = sent_[choice.away];
    ++sent.count, sent.bytes += bytes + result.response.body().size();
    skippedAnswers_ += result.skippedAnswers;
    attempts.tried.push_back(choice.id);
    const bool goOn = afterAttempt(request, attempts, std::move(result));
    if (!goOn) co_return;
  }
}

// What an exchange throws ends it alone; what it held is released by its objects.
asio::awaitable<ExchangeResult> Forwarder::exchange(WorkerCall call) {
  try {
    ExchangeResult result = co_await workers_.exchange(std::move(call));
    co_return result;
  } catch (const std::exception& exception) {
    program::error("exchange ended by an exception", {{"why", exception.what()}});
  }
  answerFigures_->exception();
  ExchangeResult result;
  result.outcome = ExchangeOutcome::givenUpHere;
  co_return result;
}

bool Forwarder::mayAttempt(ClientRequest& request, Attempts& attempts) {
  if (request.until - now() < kLeastTimeMs) {
    giveUp(request, attempts, "its time is over", -1);
    return false;
  }
  if (!attempts.policy.attemptsLeft()) {
    giveUp(request, attempts, "no worker took it", kTriesRetryMs);
    return false;
  }
  if (attempts.policy.needsRetryBudget() && !budget_.take(request.service)) {
    giveUp(request, attempts, "no further try in the budget", kBudgetRetryMs);
    return false;
  }
  attempts.tookFromBudget = attempts.policy.needsRetryBudget();
  return true;
}

// What no worker has seen counts toward no budget.
void Forwarder::returnUnusedTry(const ClientRequest& request, Attempts& attempts) {
  if (std::exchange(attempts.tookFromBudget, false)) budget_.giveBack(request.service);
}

bool Forwarder::afterAttempt(ClientRequest& request, Attempts& attempts, ExchangeResult result) {
  const bool timeForAnother = request.until - now() > kUsualForRetry * balancer_.usual(request.service);
  switch (attempts.policy.after(result.outcome, result.response.result_int(), timeForAnother)) {
    case NextStep::tryAnother:
      return true;
    case NextStep::keepAndTryAnother:
      request.answer.take(std::move(result.response), std::move(result.share));
      return true;
    case NextStep::deliverAnswer:
      request.answer.take(std::move(result.response), std::move(result.share));
      return false;
    case NextStep::giveUpAnswerUnusable:
      giveUp(request, attempts, "a worker failed", -1);
      return false;
    case NextStep::giveUpNoAnswer:
      giveUp(request, attempts, "a worker did not answer", -1);
      return false;
  }
  return false;
}

void Forwarder::giveUp(ClientRequest& request, const Attempts& attempts, std::string_view reason,
                       double retryAfterMs) {
  if (request.answer.fromWorker) return;  // a worker's own failure says more
  const unsigned status = attempts.policy.statusOnGivingUp(now() >= request.until - kLeastTimeMs);
  request.answer.refuse(status, reason, status == 503 ? retryAfterMs : -1);
}

load_balancing::Core::Choice Forwarder::chooseWorker(const ClientRequest& request, const Attempts& attempts) {
  load_balancing::Ask ask;
  ask.service = request.service;
  ask.aim = request.route->target > 0 ? request.route->target : kAimUntoldMs;
  ask.homes = &request.route->homes;
  if (request.tenant) ask.otherHomes = &request.tenant->homes;
  ask.tried = &attempts.tried;
  ask.repeatable = request.route->safe;
  return balancer_.choose(ask, draw_(), now());
}

double Forwarder::answerWithinMs(const ClientRequest& request, const Attempts& attempts) const {
  const double left = request.until - now();
  if (!request.route->safe || attempts.policy.lastAttempt()) return left;
  const double usual = balancer_.usual(request.service);
  const double another = std::max(kLeastForAnotherMs, kUsualForAnother * usual);
  return left - another > kUsualBeforeAnother * usual ? left - another : left;
}

WorkerCall Forwarder::callOf(const ClientRequest& request, const Attempts& attempts,
                             const load_balancing::Core::Choice& choice) const {
  WorkerCall call;
  call.worker = choice.id;
  call.address = choice.address;
  call.head = workerRequestHead(request, choice.id, request.until - now());
  call.body = asio::buffer(request.message.body());
  call.share = answerBudget_->open(request.service, choice.id);
  call.request.tryId = tryIdOf(request.message);
  call.request.head = request.message.method() == http::verb::head;
  call.request.maxBodyBytes = answerBudget_->maxBodyBytes();
  call.runsOnce = !request.route->safe;
  call.client = request.client;
  call.withinMs = answerWithinMs(request, attempts);
  return call;
}

void Forwarder::noteDeparture(const ClientRequest& request, const ExchangeResult& result) {
  if (!request.client->left() || certainlyNotRun(result.outcome)) return;
  departures_->workEnded(request.kind(), now() - request.client->leftAt());
}

// Clients that give up when their time is over are as good as a deadline: which of the two is noticed first
// is chance.
bool Forwarder::leftInTime(const ClientRequest& request) {
  return request.client->left() && request.client->leftAt() < request.until - kLeastTimeMs;
}

// What an exchange says of the worker: nothing, where it ended because the client has left.
void Forwarder::noteWorker(const ClientRequest& request, const std::string& worker,
                           const ExchangeResult& result) {
  const double at = now();
  const auto& response = result.response;
  switch (result.outcome) {
    case ExchangeOutcome::answered:
      balancer_.answered(worker, result.elapsedMs, at);
      break;
    case ExchangeOutcome::notRun:
      if (response.result_int() == 503)
        balancer_.full(worker, at);
      else
        balancer_.released(worker);
      break;
    case ExchangeOutcome::wrongServer:
      balancer_.failed(worker, true, at);
      workers_.forget(worker);
      break;
    case ExchangeOutcome::notSent:
      if (request.client->left())
        balancer_.released(worker);
      else
        balancer_.failed(worker, true, at);
      break;
    case ExchangeOutcome::broken:
      balancer_.failed(worker, false, at);
      break;
    case ExchangeOutcome::givenUpHere:
      balancer_.released(worker);
      break;
    case ExchangeOutcome::abandoned:
    case ExchangeOutcome::timedOut:
      if (leftInTime(request))
        balancer_.abandoned(worker, at);
      else
        balancer_.failed(worker, false, at);
      break;
  }
  std::string_view load = view(response["Server-Load"]);
  if (!load.empty() && result.outcome == ExchangeOutcome::answered) {
    const auto running = number<double>(cut(load, ','));
    const auto waiting = number<double>(cut(load, ','));
    if (running && waiting) balancer_.load(worker, *running, *waiting, at);
  }
  if (const auto cold = config::milliseconds(view(response["Cold-Ms"]))) balancer_.cold(worker, *cold, at);
}

void Forwarder::report() {
  if (const auto count = std::exchange(skippedAnswers_, 0))
    program::info("surplus answers", {{"count", count}});
  for (std::size_t away = 0; away < std::size(sent_); ++away)
    if (const Sent sent = std::exchange(sent_[away], {}); sent.count)
      program::info("sent", {{"away", away}, {"count", sent.count}, {"bytes", sent.bytes}});
}

}  // namespace burlwind::proxy
