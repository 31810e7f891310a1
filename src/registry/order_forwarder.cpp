#include "registry/order_forwarder.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "program/start.hpp"

namespace burlwind::registry {
namespace {

using program::now;

constexpr double kLeaderWithin = 700;                           // ms that an order waits for a leader
constexpr auto kOrderWithin = std::chrono::milliseconds(3000);  // for its answer
constexpr auto kRetryPause = std::chrono::milliseconds(50);

}  // namespace

asio::awaitable<LeaderAnswer> OrderForwarder::order(std::string what, std::string body) {
  // The same in each repeat: what the store may hold against it is what was not known when the call came.
  const std::uint64_t known = tracker_.update().index;
  MakeFrame make = [&](std::uint64_t number) {
    return rpc::frame(rpc::CommandRequest{number, what, body, true, known});
  };
  LeaderAnswer answer = co_await ask(std::move(make));
  co_return answer;
}

asio::awaitable<LeaderAnswer> OrderForwarder::read() {
  MakeFrame make = [](std::uint64_t number) { return rpc::frame(rpc::ReadRequest{number}); };
  LeaderAnswer answer = co_await ask(std::move(make));
  co_return answer;
}

asio::awaitable<LeaderAnswer> OrderForwarder::ask(MakeFrame make) {
  const double until = now() + kLeaderWithin;
  const std::uint64_t drops = drops_;
  asio::steady_timer pause(io_);
  while (true) {
    rpc::Error ignored;
    const LinkPtr link = stores_.link(tracker_.leader());
    if (link && tracker_.confirmed(now())) {
      auto waiting = std::make_shared<Waiting>(io_);
      const std::uint64_t number = ++number_;
      waiting->store = tracker_.leader();
      waiting_[number] = waiting;
      link->send(make(number));
      waiting->timer.expires_after(kOrderWithin);
      co_await waiting->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      waiting_.erase(number);
      if (waiting->judged) co_return waiting->answer;
    }
    if (now() >= until || drops != drops_) break;
    pause.expires_after(kRetryPause);
    pauses_.insert(&pause);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    pauses_.erase(&pause);
    if (drops != drops_) break;
  }
  co_return LeaderAnswer{503, "no majority of the stores answers"};
}

void OrderForwarder::finish(Waiting& waiting, int status, const std::string& text) {
  if (waiting.answer.status) return;
  waiting.answer = {status, text};
  waiting.timer.cancel();
}

void OrderForwarder::answered(const rpc::CommandResponse& response) {
  const auto found = waiting_.find(response.number);
  if (found == waiting_.end()) return;
  found->second->judged = response.judged;
  finish(*found->second, response.status, response.text);
}

void OrderForwarder::lost(const std::string& store) {
  for (auto& [number, waiting] : waiting_)
    if (waiting->store == store) finish(*waiting, 503, "the store is gone");
}

void OrderForwarder::dropAll(const char* why) {
  ++drops_;
  for (asio::steady_timer* pause : pauses_) pause->cancel();
  for (auto& [number, waiting] : waiting_) finish(*waiting, 503, why);
}

}  // namespace burlwind::registry
