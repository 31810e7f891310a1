#include "auth/asking.hpp"

#include <algorithm>

namespace burlwind::auth {
namespace {

using Clock = std::chrono::steady_clock;

bool names(const std::vector<std::string>& some, const std::string& one) {
  return some.empty() || std::find(some.begin(), some.end(), one) != some.end();
}

Settings withCheckers(const Asked& asked) {
  Settings out = asked.settings;
  out.checkers = asked.checkers.size();
  return out;
}

}  // namespace

const Route& routeOf(const Asked& asked, const std::string& klass, const std::string& plan) {
  static const Route kClosed;
  const auto found = std::find_if(asked.routes.begin(), asked.routes.end(), [&](const Route& route) {
    return names(route.classes, klass) && names(route.plans, plan);
  });
  return found == asked.routes.end() ? kClosed : *found;
}

Asking::Asking(asio::io_context& io, const Asked& asked, Decided decided)
    : asked_(asked),
      decided_(std::move(decided)),
      core_(withCheckers(asked)),
      checkers_(io, asked.checkers, asked.pool,
                [this](CheckId check, Reply* reply, Fault fault) { ended(check, reply, fault); }),
      timer_(io) {}

Asking::~Asking() { *alive_ = false; }

Time Asking::now() {
  return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
}

void Asking::ask(WaiterId waiter, const Route& route, const Message& message, const std::string& from) {
  Ask ask;
  ask.text = std::make_shared<const std::string>(checkText(asked_.terms, message, from));
  ask.whenDown = route.whenDown;
  ask.source = std::hash<std::string>{}(from);
  carryOut(core_.ask(now(), waiter, std::move(ask)));
}

void Asking::left(WaiterId waiter) { core_.left(waiter); }

void Asking::ended(CheckId check, Reply* reply, Fault fault) {
  if (!reply) return carryOut(core_.failed(now(), check, fault));
  Reading reading = read(asked_.terms, *reply);
  if (!reading.verdict) return carryOut(core_.failed(now(), check, Fault::error));
  carryOut(core_.answered(now(), check, std::move(reading.verdict), reading.freshness));
}

// What is decided may end the whole of this: a reload does.
void Asking::carryOut(Todo&& todo) {
  const auto alive = alive_;
  for (Do& one : todo) {
    switch (one.what) {
      case Do::What::start:
        checkers_.start(one.check, one.checker, std::move(one.text), one.fresh);
        break;
      case Do::What::abandon:
        checkers_.abandon(one.check);
        break;
      case Do::What::tell:
        decided_(one.waiter, one.told, one.verdict);
        break;
    }
    if (!*alive) return;
  }
  arm();
}

void Asking::arm() {
  const auto at = core_.next();
  if (at == armed_) return;
  armed_ = at;
  timer_.cancel();
  if (!at) return;
  timer_.expires_at(Clock::time_point(
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(*at))));
  timer_.async_wait([this, alive = alive_, due = *at](const Error& error) {
    if (error || !*alive) return;
    armed_.reset();
    carryOut(core_.tick(std::max(now(), due)));
  });
}

}  // namespace burlwind::auth
