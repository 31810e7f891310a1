#include "registry/leader_tracker.hpp"

#include <utility>

namespace burlwind::registry {

LeaderTracker::Taken LeaderTracker::take(const std::string& store, rpc::ConfigUpdate update, double now) {
  leader_ = store, leaderTerm_ = update.term;
  if (update.index < update_.index) return Taken::dropped;
  confirmedAt_ = now;
  const bool same = update.configuration == update_.configuration && update.evacuated == update_.evacuated;
  update_ = std::move(update);
  return same ? Taken::unchanged : Taken::changed;
}

bool LeaderTracker::take(const std::string& store, const rpc::LeaderConfirmation& confirmation, double now) {
  if (confirmation.term < leaderTerm_) return false;
  leader_ = store, leaderTerm_ = confirmation.term;
  if (confirmation.index <= update_.index) confirmedAt_ = now;
  return true;
}

void LeaderTracker::lost(const std::string& store) {
  if (leader_ == store) leader_.clear();
}

}  // namespace burlwind::registry
