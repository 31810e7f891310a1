#include "lifecycle/core.hpp"

#include <algorithm>
#include <cmath>

namespace burlwind::lifecycle {
namespace {

// A front that asks every 0.1 s sends new connections for 0.2 s more; a client that found one open may use
// it.
constexpr Time kIdleStaysFor = 400;
// From then on the longest idle are closed first, down to all of them after this: those in use come to their
// end by an answer that says so, and those that are not are hardly crossed by a request.
constexpr Time kIdleClosesOver = 1000;
constexpr Time kIdleStep = 50;
constexpr Time kIdleFirst = 500;  // ms idle that are closed at the first step
// An operator may look 4 s after the call for requests of the last 2 s.
constexpr Time kDrainTakesFor = 1800;
constexpr Time kAcceptsAfterTerm = 500;   // connections go on coming for up to 400 ms after SIGTERM
constexpr Time kAnswersAfterTerm = 3400;  // the end may come 3.7 s after SIGTERM

// How long a connection may be idle, so long after its process began to empty.
std::optional<Time> idleMost(Time passed, Time from) {
  if (passed < from) return std::nullopt;
  const double part = std::floor((passed - from) / kIdleStep) * kIdleStep / kIdleClosesOver;
  return std::max(0.0, kIdleFirst * (1 - part));
}

}  // namespace

const char* nameOf(State state) {
  switch (state) {
    case State::starting:
      return "starting";
    case State::serving:
      return "serving";
    case State::draining:
      return "draining";
    case State::drained:
      return "drained";
    case State::handingOver:
      return "handing over";
    case State::ending:
      return "ending";
  }
  return "";
}

// The one transition function.
State Core::after(Event event) const {
  const bool full = state_ == State::starting || state_ == State::serving;
  const bool drains = state_ == State::draining || state_ == State::drained;
  if (state_ == State::ending) return state_;
  switch (event) {
    case Event::listed:
      return state_ == State::starting ? State::serving : state_;
    case Event::drain:
      return full ? State::draining : state_;
    case Event::undrain:
      return !drains ? state_ : listed_ ? State::serving : State::starting;
    case Event::empty:
      return state_ == State::draining ? State::drained : state_;
    case Event::takenOver:
    case Event::yield:
      return State::handingOver;
    case Event::alone:
      return state_ != State::handingOver ? state_ : listed_ ? State::serving : State::starting;
    case Event::terminate:
      return State::ending;
  }
  return state_;
}

bool Core::on(Time now, Event event) {
  if (event == Event::listed) listed_ = true;
  if (event == Event::takenOver || event == Event::yield) replaced_ = true;
  if (event == Event::yield) yields_ = true;
  if (event == Event::alone && state_ != State::ending) replaced_ = yields_ = false;
  const State to = after(event);
  if (to == state_) return false;
  if (to != State::drained) since_ = now;
  state_ = to;
  return true;
}

Conduct Core::conduct(Time now) const {
  Conduct out;
  const Time passed = now - since_;
  switch (state_) {
    case State::starting:
      break;
    case State::serving:
      out.saysReady = true;
      break;
    case State::draining:
    case State::drained:
      out.keeps = false;
      out.takes = passed < kDrainTakesFor;
      out.idleMost = idleMost(passed, kIdleStaysFor);
      break;
    case State::handingOver:
      out.keeps = out.accepts = false;
      out.takes = !yields_;
      out.idleMost = idleMost(passed, 0);
      break;
    case State::ending:
      out.keeps = false;
      out.accepts = !replaced_ && passed < kAcceptsAfterTerm;
      out.takes = !yields_;
      out.idleMost = idleMost(passed, replaced_ ? 0 : kAcceptsAfterTerm);
      out.givesUp = passed >= kAnswersAfterTerm;
      break;
  }
  return out;
}

std::optional<Time> Core::next(Time now) const {
  const Conduct is = conduct(now);
  if (state_ == State::starting || state_ == State::serving) return std::nullopt;
  std::optional<Time> out;
  const auto at = [&](Time passed) {
    const Time then = since_ + passed;
    if (then > now && (!out || then < *out)) out = then;
  };
  if (!is.idleMost) {
    at(state_ == State::ending ? kAcceptsAfterTerm : kIdleStaysFor);
  } else if (*is.idleMost > 0) {
    at((std::floor((now - since_) / kIdleStep) + 1) * kIdleStep);
  }
  if (state_ == State::draining || state_ == State::drained) at(kDrainTakesFor);
  if (state_ == State::ending) at(kAnswersAfterTerm);
  return out;
}

}  // namespace burlwind::lifecycle
