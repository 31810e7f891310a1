// How a state travels from a leader to one other replica: whole, or as a patch against a state that the other
// one holds; in one message where that is small, else in pieces, of which a bounded number of bytes is under
// way, so that heartbeats and votes don't wait behind megabytes. Decisions only, time handed in.
//
// Memory: an Outgoing shares its bytes with all that send the same; an Incoming holds what has come; a
// History holds at most kMostHistoryBytes, or one state where that is larger.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rpc/messages.hpp"

namespace burlwind::model_checking {
struct CoreInspector;
}

namespace burlwind::consensus {

using Time = double;  // ms of the host's steady clock

constexpr std::size_t kMostStateBytes = std::size_t{64} << 20;
constexpr std::size_t kMostHistoryBytes = std::size_t{32} << 20;
// A payload up to this goes in the message of its entry: over 2 Mbit/s it holds up a heartbeat by 0.26 s.
constexpr std::size_t kInlineBytes = std::size_t{64} << 10;
constexpr std::size_t kPieceBytes = std::size_t{16} << 10;
constexpr std::size_t kLeastWindow = kPieceBytes, kFirstWindow = 4 * kPieceBytes,
                      kMostWindow = 32 * kPieceBytes;
// An acknowledgement this much later than the soonest one: the link's queue is short; it is long.
constexpr Time kShortQueue = 60, kLongQueue = 160;  // ms
// A later message has been answered and a piece has not, for this long: it is lost.
constexpr Time kLostAfter = 400;  // ms

struct EntryId {
  std::uint64_t term = 0, index = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): it takes the comparison that is generated for a null pointer
  auto operator<=>(const EntryId&) const = default;
};

struct Payload {
  EntryId entry, base;  // base {0, 0}: the bytes are the state, else a patch of the base's state
  std::shared_ptr<const std::string> bytes;
  std::uint64_t hash = 0;  // XXH3 of the state
  std::vector<rpc::Member> members, former;
  bool isPatch() const { return base.index != 0; }
};

std::uint64_t hashOf(const std::string& state);

// States that other replicas may hold, as bases of patches.
class History {
 public:
  // Drops what is neither the newest nor wanted, then the oldest while there is more than the bound.
  void remember(EntryId entry, std::shared_ptr<const std::string> state, const std::set<EntryId>& wanted);
  std::shared_ptr<const std::string> find(EntryId entry) const;  // empty: not there

 private:
  friend struct model_checking::CoreInspector;
  std::map<EntryId, std::shared_ptr<const std::string>> states_;
};

// One payload on its way to one replica.
class Outgoing {
 public:
  explicit Outgoing(std::shared_ptr<const Payload> payload) : payload_(std::move(payload)) {}
  const Payload& payload() const { return *payload_; }
  bool inOneMessage() const { return payload_->bytes->size() <= kInlineBytes; }
  bool begun() const { return sent_ > 0 || begun_; }
  std::uint64_t round() const { return round_; }  // of the latest message that bore a part of it

  void sentInOneMessage(std::uint64_t round);
  struct Piece {
    std::size_t offset = 0, size = 0;
  };
  // The piece that may be sent now; it counts as sent.
  std::optional<Piece> next(std::uint64_t round, Time now);
  // The other one holds so many bytes from the beginning.
  void held(std::size_t bytes, Time now);
  // It has answered a message of that round. What was sent before and isn't acknowledged is sent again.
  void answered(std::uint64_t round, Time now);

 private:
  friend struct model_checking::CoreInspector;
  struct InFlight {
    std::size_t end = 0;
    Time sentAt = 0;
  };
  void rewind(std::size_t to);
  void adapt(Time delay);
  std::shared_ptr<const Payload> payload_;
  bool begun_ = false;
  std::size_t sent_ = 0, held_ = 0, window_ = kFirstWindow;
  std::deque<InFlight> inFlight_;
  std::uint64_t round_ = 0;
  Time sentAt_ = 0, leastDelay_ = 1e9;
};

// The pieces of one payload as they come.
class Incoming {
 public:
  bool isOf(const rpc::StatePiece& piece) const;
  void begin(const rpc::StatePiece& piece);
  void add(const rpc::StatePiece& piece);  // ignored where it isn't the next one
  std::size_t held() const { return bytes_.size(); }
  bool whole() const { return bytes_.size() == size_; }
  const std::string& bytes() const { return bytes_; }

 private:
  friend struct model_checking::CoreInspector;
  EntryId entry_, base_;
  std::uint64_t size_ = 0, hash_ = 0;
  std::string bytes_;
};

}  // namespace burlwind::consensus
