// One state of an exhaustive search: the replicas, every message that is on its way, and what may still
// happen. Each replica has a clock of its own, which moves only by its own events.
//
// Which events there are, and which of the asked ones need none:
//  - A message arrives in any order with the others, for as long as its receiver keeps its id. A lost message
//    is one that never arrives, and a cut, in one way or both, is a time in which some don't: since no
//    property speaks of what must happen at some time, histories with losses and cuts are among those
//    without.
//  - A message that waits while its receiver stands still arrives after the receiver's `pause`.
//  - A process that ends and starts later is one that starts at once and whose messages wait meanwhile.
//  - Loss of power after a write was synced, and before anything was sent after it, is a restart whose
//    messages never arrive. So only the loss before the first write of a step is an event of its own.
// Messages that would change nothing but a count, now and for ever (answers of an older term than their
// receiver's synced one, messages to an id whose disk is lost) are taken out: Cluster::isVoid tries each.
// Equal messages are kept once, and a further arrival of one is a repeat. Replicas are not exchanged for each
// other: the core lets the one with the higher id go on when two try to be elected, so they are not alike.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model_checking/cluster.hpp"
#include "model_checking/scenario.hpp"

namespace burlwind::model_checking {

enum class EventKind : std::uint8_t {
  deliver,
  repeat,  // deliver, and it arrives once more
  election,
  heartbeat,
  pause,
  propose,
  read,
  restart,
  wipe,
  replace,
  join,
  leave,
  transfer
};

struct Event {
  EventKind kind = EventKind::deliver;
  std::uint8_t replica = 0;  // whose step it is
  std::uint8_t other = 0;    // who joins or leaves
  PowerLoss loss = PowerLoss::none;
  Fingerprint letter = 0;
};

class World {
 public:
  explicit World(const Scenario& scenario);

  std::vector<Event> events() const;  // that may be next
  // False: it can't happen here, as a loss of power in a step that writes nothing.
  bool apply(const Event& event, Notes* notes = nullptr);
  std::string describe(const Event& event) const;  // before it is applied

  const Cluster& cluster() const { return cluster_; }
  Fingerprint fingerprint() const;

 private:
  void addSteps(std::vector<Event>& out, Event event) const;
  void addClockEvents(std::vector<Event>& out, unsigned replica) const;
  void addLeaderEvents(std::vector<Event>& out, unsigned replica) const;
  void addFaults(std::vector<Event>& out, unsigned replica) const;
  LetterPtr find(Fingerprint letter) const;
  // The part of the budget that such an event takes from; nothing where it is free.
  unsigned* budgetOf(EventKind kind);
  std::optional<StepResult> step(const Event& event, Notes* notes);
  StepResult perform(const Event& event, Notes* notes);
  StepResult deliver(const Event& event, Notes* notes);
  StepResult tickAtDeadline(const Event& event, Notes* notes);
  StepResult propose(const Event& event, Notes* notes);
  void pause(unsigned replica, Notes* notes);
  void send(const std::vector<Sent>& sent);
  void dropVoid();
  // --- The start ---
  void begin(Start start);
  void settle();
  void beSilent();
  void beLearner();
  void beDivided();
  void beReelected();
  void act(EventKind kind, unsigned replica, unsigned other = 0);
  void deliverAllTo(unsigned replica);

  Cluster cluster_;
  consensus::Timeouts timeouts_;
  unsigned members_;
  Budget budget_;
  unsigned orders_ = 0;
  std::vector<LetterPtr> letters_;  // by fingerprint
};

}  // namespace burlwind::model_checking
