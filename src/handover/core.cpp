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
    case State::superseded:
      return 0;
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
      } else if (from == State::superseded) {
        state_ = State::whole;
        out.resume = out.listen = true;
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
    case Event::again:
      // What it was sent is taken back by now.
      if (from == State::asked) state_ = State::joining;
      break;
    case Event::tooLate:
      // It is cautious by now, or whole: nothing is left to do here, whatever it has taken up.
      if (from != State::whole) break;
      state_ = State::superseded;
      out.yield = true;
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
