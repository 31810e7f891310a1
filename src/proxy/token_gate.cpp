#include "proxy/token_gate.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "program/log.hpp"
#include "program/start.hpp"

namespace burlwind::proxy {
namespace {

using distributed_quota::Admit;
using program::now;

constexpr double kTokensWithinMs = 350;  // that a request waits for word of its tenant's store

}  // namespace

asio::awaitable<bool> TokenGate::admit(const config::Tenant& tenant, double chance, double until) {
  Admit decision = cache_.admit(tenant.name, tenant.rate, tenant.burst, chance, now());
  if (decision == Admit::wait) {
    request();
    asio::steady_timer timer(io_);
    const double waitUntil = std::min(until, now() + kTokensWithinMs);
    const auto mine = waiting_.insert(waiting_.end(), Waiting{tenant.name, &timer});
    while (decision == Admit::wait) {
      const double left = std::max(0.0, waitUntil - now());
      timer.expires_after(std::chrono::microseconds(static_cast<long>(left * 1000)));
      boost::system::error_code woken;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, woken));
      decision = cache_.again(tenant.name, tenant.rate, !woken, now());
    }
    waiting_.erase(mine);
  }
  const bool admitted = decision == Admit::yes;
  if (admitted && firstAdmittedAt_ == 0) firstAdmittedAt_ = now();
  co_return admitted;
}

void TokenGate::request() {
  const rpc::TokenRequest due = cache_.request(now());
  if (!due.demands.empty()) send_(due);
}

void TokenGate::take(const rpc::TokenResponse& response) {
  for (const rpc::TokenGrant& grant : response.grants) {
    cache_.granted(response.number, grant, now());
    for (const Waiting& waiting : waiting_)
      if (waiting.tenant == grant.tenant) waiting.timer->cancel();
  }
  request();
}

void TokenGate::report() {
  const std::uint64_t dropped = cache_.dropped();
  if (dropped > droppedTold_) program::info("grants dropped", {{"count", dropped - droppedTold_}});
  droppedTold_ = dropped;
}

// Where nobody answers for the quotas, each proxy has its own part alone.
void TokenGate::tick(bool inTouch, double now) {
  cache_.setTouch(inTouch && !cache_.unanswered(now), now);
  request();
}

}  // namespace burlwind::proxy
