// Random plays: the replicas on one time line with delays, losses, repeats, stops, slow disks, cuts, ends of
// processes, losses of power, lost disks and replacements, all drawn from a seed, far past the depth of the
// exhaustive search. Virtual time: nothing waits.
//
// A play is a list of planned events; what they don't say (the delay of each message, who is lost, the spread
// of elections) is drawn from the seed and the count of messages of each link, so that the rest of a play
// stays much the same when an event is taken out. So a failing play is shrunk to the events that it needs.
//
// Tolerance: a disk is lost only while fewer disks are lost than a minority of the members; one counts as
// lost until the leader has a whole set of members again that hold all that was committed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model_checking/cluster.hpp"
#include "model_checking/timeline.hpp"

namespace burlwind::model_checking {

enum class PlannedKind : std::uint8_t {
  order,      // to whoever leads by its own word
  read,       // the same
  freeze,     // a replica stands still for `span`
  restart,    // its process ends, and starts after `span`
  powerLoss,  // in its next step that writes, before the first write is synced; back after `span`
  powerLossOfAll,
  wipe,      // its disk is lost; an empty one starts after `span`
  replace,   // the same, at another address
  transfer,  // it hands leadership over where it leads, says that it goes, ends, and starts after `span`
  retire,    // it says that it goes, ends, and is replaced
  cut,       // nothing passes from `replica` to `other` for `span`
  isolate,   // nothing passes from or to it for `span`
  slowDisk,  // each write takes `writeTime` for `span`
  slowLink   // messages between the two take up to a second for `span`
};

struct PlannedEvent {
  Time at = 0;
  PlannedKind kind = PlannedKind::order;
  unsigned replica = 0, other = 0;
  Time span = 0;
  Time writeTime = 0;
};
std::string describe(const PlannedEvent& event);

struct Play {
  std::uint64_t seed = 0;
  std::uint64_t delays = 0;  // another draw of what the events don't say
  unsigned replicas = 5;
  std::size_t orderBytes = 0;        // that each order adds to the state beyond its number
  std::vector<PlannedEvent> events;  // by time
  std::vector<Property> unchecked = {};
};

struct PlayResult {
  std::optional<Violation> violation;
  std::uint64_t steps = 0;
  unsigned committed = 0;         // entries that a leader told its host
  std::vector<TimelineRow> rows;  // the last ones, where asked for
};

// Hundreds of orders, and faults among them.
Play drawPlay(std::uint64_t seed, unsigned replicas, unsigned orders);
PlayResult run(const Play& play, bool withRows = false);
// The same violation with as few planned events as can be had by leaving some out.
Play shrink(const Play& play, Property property);
std::string drawPlayReport(const Play& play, const PlayResult& result);

}  // namespace burlwind::model_checking
