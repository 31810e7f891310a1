#include "handover/core.hpp"

namespace burlwind::handover {

double Core::part() const {
  switch (state_) {
    case State::joining:
    case State::asked:
    case State::cautious:
      return kCautious;
    case State::sharing:
      return kTakes;
    case State::gave:
      return 1 - kTakes;
    case State::whole:
      return 1;
  }
  return 1;
}

Steps Core::on(Event event) {
  Steps out;
  const State from = state_;
  switch (event) {
    case Event::nobody:
      if (from != State::joining) break;
      state_ = State::whole;
      out.serve = out.listen = true;
      break;
    case Event::found:
      if (from == State::joining) state_ = State::asked;
      break;
    case Event::state:
      if (from != State::asked) break;
      state_ = State::sharing;
      out.serve = true;
      break;
    case Event::noState:
      if (from != State::asked && from != State::joining) break;
      state_ = State::cautious;
      out.serve = true;
      break;
    case Event::otherGone:
      if (from == State::asked || from == State::joining) {
        // It went before it handed over. What it has sent on last is not known.
        state_ = State::cautious;
        out.serve = true;
      } else if (from == State::sharing) {
        state_ = State::whole;
        out.listen = true;
      } else if (from == State::gave) {
        state_ = State::whole;
        out.resume = true;
      }
      break;
    case Event::overlapEnds:
      if (from != State::cautious) break;
      state_ = State::whole;
      out.listen = true;
      break;
    case Event::asks:
      // A process that shares knows that a third one comes too early.
      out.give = from == State::whole;
      out.decline = !out.give;
      if (out.give) state_ = State::gave;
      break;
  }
  return out;
}

}  // namespace burlwind::handover
