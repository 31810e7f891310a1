#include "registry/leader_tracker.hpp"

#include <algorithm>
#include <utility>

namespace burlwind::registry {

void LeaderTracker::linked(const std::string& store) { askAt_[store] = -1e18; }

void LeaderTracker::lost(const std::string& store) {
  if (leader_ == store) leader_.clear();
  askAt_.erase(store);
  std::erase_if(questions_, [&](const auto& entry) { return entry.second.store == store; });
}

std::vector<StoreQuestion> LeaderTracker::questions(double now) {
  std::erase_if(questions_,
                [&](const auto& entry) { return now - entry.second.sentAt > kConfirmationTimeout; });
  const bool leaderOnly = confirmed(now) && askAt_.contains(leader_);
  std::vector<StoreQuestion> out;
  for (auto& [store, askAt] : askAt_) {
    const bool justLinked = askAt < 0;
    if (now < askAt || (leaderOnly && store != leader_ && !justLinked)) continue;
    askAt = now + kConfirmationPause;
    questions_[++number_] = {store, now};
    out.push_back({store, {number_}});
  }
  return out;
}

bool LeaderTracker::isBehind(std::uint64_t term, std::uint64_t index) const {
  return term < term_ || index < update_.index;
}

LeaderTracker::Taken LeaderTracker::take(const std::string& store, rpc::ConfigUpdate update) {
  if (isBehind(update.term, update.index)) return ++dropped_, Taken::dropped;
  term_ = update.term, leader_ = store;
  const bool same = update.configuration == update_.configuration && update.evacuated == update_.evacuated;
  update_ = std::move(update);
  if (same && contentIndex_ > 0) return Taken::unchanged;
  contentIndex_ = update_.index;
  return Taken::changed;
}

bool LeaderTracker::take(const std::string& store, const rpc::LeaderConfirmation& confirmation, double now) {
  if (isBehind(confirmation.term, confirmation.index)) return ++dropped_, false;
  if (confirmation.number == 0) {
    // A hint whom to ask, at once where it is another one than before.
    if (leader_ != store || term_ != confirmation.term)
      if (const auto found = askAt_.find(store); found != askAt_.end()) found->second = now;
  } else if (!confirm(store, confirmation)) {
    return ++dropped_, false;
  }
  term_ = confirmation.term, leader_ = store;
  return true;
}

// A question is known to this link alone: the ones of earlier links were forgotten with them.
bool LeaderTracker::confirm(const std::string& store, const rpc::LeaderConfirmation& confirmation) {
  const auto found = questions_.find(confirmation.number);
  if (found == questions_.end() || found->second.store != store) return false;
  // What is newer than what is held was sent before this on the same link, else it proves nothing.
  if (confirmation.index == update_.index) confirmedFrom_ = std::max(confirmedFrom_, found->second.sentAt);
  std::erase_if(questions_, [&](const auto& entry) {
    return entry.second.store == store && entry.first <= confirmation.number;
  });
  return true;
}

const rpc::ConfigUpdate* LeaderTracker::publishable(double now) const {
  return confirmed(now) && contentIndex_ > 0 ? &update_ : nullptr;
}

}  // namespace burlwind::registry
