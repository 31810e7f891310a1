#include "proxy/token_gate.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "distributed_quota/token_report.hpp"
#include "program/log.hpp"
#include "program/start.hpp"

namespace burlwind::proxy {
namespace {

using distributed_quota::Admit;
using program::now;

constexpr double kTokensWithinMs = 350;  // that a request waits for word of its tenant's store

}  // namespace

asio::awaitable<TokenGate::Admission> TokenGate::admit(const config::Tenant& tenant, double chance,
                                                       double until, std::shared_ptr<ClientPresence> client) {
  client->enter(RequestStage::tokens);
  Admit decision = cache_.admit(tenant.name, tenant.rate, tenant.burst, chance, now());
  if (decision == Admit::wait) {
    request();
    asio::steady_timer timer(io_);
    const std::stop_callback clientLeft(client->departure(), [&timer] { timer.cancel(); });
    const double waitUntil = std::min(until, now() + kTokensWithinMs);
    const auto mine = waiting_.insert(waiting_.end(), Waiting{tenant.name, &timer});
    while (decision == Admit::wait) {
      const double left = std::max(0.0, waitUntil - now());
      timer.expires_after(std::chrono::microseconds(static_cast<long>(left * 1000)));
      boost::system::error_code woken;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, woken));
      if (client->left()) break;
      decision = cache_.again(tenant.name, tenant.rate, !woken, now());
    }
    waiting_.erase(mine);
    if (decision == Admit::wait) cache_.withdraw(tenant.name);
  }
  if (decision != Admit::yes) co_return Admission{};
  lastAdmittedAt_ = now();
  co_return Admission{true, cache_.lastTokenEnds()};
}

void TokenGate::giveBack(const std::string& tenant, double endsAt) { cache_.giveBack(tenant, endsAt, now()); }

void TokenGate::request() {
  const rpc::TokenRequest due = cache_.request(now());
  if (!due.demands.empty()) send_(due);
}

rpc::UsageReport TokenGate::usage() {
  cache_.newHolder(now());
  update(now());
  return cache_.usage(now());
}

void TokenGate::take(const rpc::TokenResponse& response) {
  for (const rpc::TokenGrant& grant : response.grants) {
    cache_.granted(response.number, grant, now());
    for (const Waiting& waiting : waiting_)
      if (waiting.tenant == grant.tenant) waiting.timer->cancel();
  }
  if (response.noHolder) {
    cache_.noHolder();
    for (const Waiting& waiting : waiting_) waiting.timer->cancel();
  }
  update(now());
}

void TokenGate::report() {
  const std::uint64_t dropped = cache_.dropped();
  if (dropped > droppedTold_) program::info("grants dropped", {{"count", dropped - droppedTold_}});
  droppedTold_ = dropped;
  distributed_quota::logTokens("proxy", distributed_quota::refusedMost(cache_.tokens(now())));
}

std::string TokenGate::metrics() const {
  return distributed_quota::tokenMetrics("proxy", distributed_quota::refusedMost(cache_.tokens(now())));
}

void TokenGate::tick(distributed_quota::Contact contact, double now) {
  sessionContact_ = contact;
  update(now);
}

void TokenGate::update(double now) {
  const bool before = spendsOwnPart();
  cache_.setContact(cache_.answered(sessionContact_, now), now);
  if (before != spendsOwnPart()) ownPartChanged_();
  request();
}

}  // namespace burlwind::proxy
