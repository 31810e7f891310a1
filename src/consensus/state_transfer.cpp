#include "consensus/state_transfer.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace burlwind::consensus {

std::uint64_t hashOf(const std::string& state) { return XXH3_64bits(state.data(), state.size()); }

void History::remember(EntryId entry, std::shared_ptr<const std::string> state,
                       const std::set<EntryId>& wanted) {
  std::erase_if(states_, [&](const auto& known) { return !wanted.contains(known.first); });
  states_[entry] = std::move(state);
  std::size_t bytes = 0;
  for (const auto& [id, known] : states_) bytes += known->size();
  while (bytes > kMostHistoryBytes && states_.size() > 1) {
    bytes -= states_.begin()->second->size();
    states_.erase(states_.begin());
  }
}

std::shared_ptr<const std::string> History::find(EntryId entry) const {
  const auto found = states_.find(entry);
  return found == states_.end() ? nullptr : found->second;
}

void Outgoing::sentInOneMessage(std::uint64_t round) {
  begun_ = true;
  round_ = round;
}

std::optional<Outgoing::Piece> Outgoing::next(std::uint64_t round, Time now) {
  const std::size_t total = payload_->bytes->size();
  if (sent_ >= total || sent_ - held_ >= window_) return std::nullopt;
  const Piece piece{sent_, std::min(kPieceBytes, total - sent_)};
  sent_ += piece.size;
  inFlight_.push_back({sent_, now});
  round_ = round;
  sentAt_ = now;
  return piece;
}

void Outgoing::rewind(std::size_t to) {
  held_ = sent_ = to;
  inFlight_.clear();
  window_ = kLeastWindow;
}

void Outgoing::adapt(Time delay) {
  leastDelay_ = std::min(leastDelay_, delay);
  if (delay < leastDelay_ + kShortQueue)
    window_ = std::min(window_ + kPieceBytes, kMostWindow);
  else if (delay > leastDelay_ + kLongQueue)
    window_ = std::max(window_ / 2, kLeastWindow);
}

void Outgoing::held(std::size_t bytes, Time now) {
  bytes = std::min(bytes, payload_->bytes->size());
  if (bytes < held_) return rewind(bytes);  // it has begun anew
  held_ = bytes;
  sent_ = std::max(sent_, held_);
  while (!inFlight_.empty() && inFlight_.front().end <= held_) {
    adapt(now - inFlight_.front().sentAt);
    inFlight_.pop_front();
  }
}

void Outgoing::answered(std::uint64_t round, Time now) {
  if (sent_ > held_ && round > round_ && now - sentAt_ > kLostAfter) rewind(held_);
}

bool Incoming::isOf(const rpc::StatePiece& piece) const {
  return entry_ == EntryId{piece.lastTerm, piece.index} &&
         base_ == EntryId{piece.baseTerm, piece.baseIndex} && size_ == piece.size && hash_ == piece.hash;
}

void Incoming::begin(const rpc::StatePiece& piece) {
  entry_ = {piece.lastTerm, piece.index};
  base_ = {piece.baseTerm, piece.baseIndex};
  size_ = piece.size;
  hash_ = piece.hash;
  bytes_.clear();
}

void Incoming::add(const rpc::StatePiece& piece) {
  if (piece.offset == bytes_.size() && piece.data.size() <= size_ - bytes_.size()) bytes_ += piece.data;
}

}  // namespace burlwind::consensus
