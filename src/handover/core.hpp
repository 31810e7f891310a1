// How a new process of one gatekeeper takes over from the old one: who may do what part of the work, and
// when. Decisions only: no I/O, no clock; the host reports events and does what it is told. The connection
// between the two is the lease: while it stands each side knows that the other one lives.
//
//   new: joining <-> asked -> sharing -> whole       old: whole -> gave -> (ends, or whole again)
//           \-> whole (nobody there)   \-> cautious -> whole       whole -> superseded (-> whole again)
//
// Invariants: the parts of two processes that know of one another come to at most 1; what was handed over is
// taken up once; without an answer in time the new process serves all the same, with nothing taken for
// stored.
#pragma once

#include <cstdint>

namespace burlwind::handover {

enum class State : std::uint8_t {
  joining,    // looks for a process that serves
  asked,      // has asked it to hand over
  sharing,    // has taken over, and the other one finishes what it has
  cautious,   // the other one does not answer, or not so that it can be read; it may still be there
  whole,      // alone
  gave,       // has handed over to another process
  superseded  // was stopped while another process asked, which has gone on without it
};

enum class Event : std::uint8_t {
  nobody,       // none serves
  found,        // one does, and it has been asked
  state,        // what it hands over was taken up
  noState,      // it cannot be read, or does not come in time
  otherGone,    // the lease is broken
  overlapEnds,  // as long as two processes may be there has passed
  asks,         // another process asks this one to hand over
  tooLate,      // one has asked, and this one was stopped for longer than it waits
  again         // this one was stopped for longer than the other one waits for it
};

// What the host does next.
struct Steps {
  bool serve = false;    // begin to accept
  bool give = false;     // hand over, and accept no more
  bool resume = false;   // accept again: the other one is gone
  bool yield = false;    // take nothing more, and accept no more: the other one takes this one for dead
  bool listen = false;   // be there for the next one
  bool decline = false;  // tell the one that asks that there is nothing to have
};

// Of what the gatekeeper may do, the part of the process that takes over; the other one has few connections
// left.
constexpr double kTakes = 0.75;
// And of one that cannot know whether another is there.
constexpr double kCautious = 0.5;

class Core {
 public:
  Steps on(Event event);
  State state() const { return state_; }
  double part() const;

 private:
  State state_ = State::joining;
};

}  // namespace burlwind::handover
