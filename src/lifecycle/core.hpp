// The life of the process: one state machine for a start, an operator's drain, a hand-over and SIGTERM, so
// that there is one way to empty a gatekeeper. Decisions only: no I/O, no clock; the time in ms is an
// argument and must not go back. The host reports events, asks for the conduct that holds now, and asks again
// at the time that `next` names. Cost: O(1), no memory.
//
// Invariants: `ending` is never left; `saysReady` holds in `serving` alone; a connection kept open after an
// answer, or an idle one older than `idleMost`, is never there in a state that empties.
#pragma once

#include <cstdint>
#include <optional>

namespace burlwind::lifecycle {

using Time = double;  // ms

enum class State : std::uint8_t {
  starting,     // no list of workers yet
  serving,      // takes clients
  draining,     // told to empty; what still comes in the next moments is served
  drained,      // empty, and takes nothing until it is told to
  handingOver,  // another process has taken over and accepts in its stead
  ending        // SIGTERM: it finishes what it has, and exits
};

enum class Event : std::uint8_t {
  listed,     // there is a list of workers
  drain,      // an operator's
  undrain,    // an operator's
  empty,      // no client's connection is left
  takenOver,  // by another process
  yield,      // another process has gone on without this one
  alone,      // that process is gone before this one was told to end
  terminate
};

// What holds at a moment.
struct Conduct {
  bool saysReady = false;
  bool accepts = true;           // takes connections
  bool keeps = true;             // connections stay open after an answer
  bool takes = true;             // requests; else each is refused at once
  std::optional<Time> idleMost;  // connections without a request for longer are closed
  bool givesUp = false;          // what is held is failed
  bool operator==(const Conduct&) const = default;
};

const char* nameOf(State state);

class Core {
 public:
  // Whether the event changed the state. What makes no sense in a state is ignored: a second drain, an
  // undrain of what is not drained, anything but `empty` after `terminate`.
  bool on(Time now, Event event);

  State state() const { return state_; }
  Conduct conduct(Time now) const;
  // When the conduct changes by time alone, if it does.
  std::optional<Time> next(Time now) const;

 private:
  State after(Event event) const;

  State state_ = State::starting;
  bool listed_ = false;
  bool replaced_ = false;  // another process accepts
  bool yields_ = false;    // and takes this one for dead
  Time since_ = 0;         // of the drain, the hand-over or the end
};

}  // namespace burlwind::lifecycle
