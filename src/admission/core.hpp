// Who may hold a client connection, and who goes when room is needed. Decisions only: no I/O, no clock; the
// time in ms is an argument and must not go back. The host reports what happens to connections and does what
// it is told.
//
// A connection is judged by what it has proved and by its source (an address prefix). When the table is full,
// room is made by the lowest rank below; within a rank by the source that holds most of that rank; of that
// source by the one longest so. One that owes an answer is never chosen. Beyond a number of connections that
// wait between requests the same order says which of those ends: a program that opens a connection for each
// request, and keeps it, would else run out of its own.
//
// Invariants: held <= connections; served ones make room for others only down to the reserve; what is owed an
// answer is never evicted; a source is under its caps, unless it is trusted. Cost: O(log n) a call, n
// connections held. Memory: O(n), and `rememberedSources` sources beyond those that hold a connection (the
// least recently seen are forgotten: their rate starts anew).
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace burlwind::admission {

using Time = double;  // ms
using Id = std::uint64_t;

// An IPv4 address lies in ::ffff:0:0/96 (RFC 4291, 2.5.5.2).
struct Address {
  std::array<std::uint8_t, 16> bytes{};
  bool isV4() const;
};

struct Prefix {
  Address address;
  unsigned bits = 128;  // of the 16 bytes
  bool holds(const Address& other) const;
};

struct Settings {
  std::size_t connections = 480;
  std::size_t reserve = 120;  // slots of connections that were served, which make no room for unproven ones
  std::size_t idleMost = 0;   // connections that wait between requests; 0: no bound
  Time acceptWait = 100;      // what comes waits so long for room before it is turned away
  unsigned prefixV4 = 32;     // bits that make a source, 1 to 32
  unsigned prefixV6 = 64;     // 1 to 128
  std::size_t perSource = 0;  // connections of one source; 0: no cap
  std::size_t unfinishedPerSource = 0;  // of these, without a whole request yet; 0: no cap
  double newPerSecond = 0;  // connections that one source may open, with a second's worth at once; 0: no cap
  std::size_t rememberedSources = 4096;
  std::vector<Prefix> trusted;  // fronts that carry many: no caps and no shares, proof alone decides
};

// What a connection has shown, rising.
enum class Proof : std::uint8_t { nothing, head, letIn, again };  // again: asked once more after that
// What it is at.
enum class Standing : std::uint8_t { unfinished, idle, owed, ending };
enum class Turned : std::uint8_t { sourceFull, sourceUnfinished, sourceTooFast, tableFull, noDescriptors };
constexpr std::size_t kTurned = 5;

struct Arrival {
  bool taken = false;
  std::optional<Id> evict;         // ended first, to make room; never one that owes an answer
  Turned why = Turned::tableFull;  // where it is not taken
};

// What is to be done with one that comes.
struct Door {
  enum class Is : std::uint8_t { open, hold, shut } is = Is::open;  // shut: it is turned away
  Time until = 0;                                                   // held so long for room
};

struct Counts {
  std::uint64_t taken = 0, evicted = 0;
  std::uint64_t idledOut = 0;  // ended between requests, since more than idleMost waited there
  std::array<std::uint64_t, kTurned> turned{};
};

// One line on what the settings come to, and one on what has happened.
std::string describe(const Settings& settings);
std::string describe(const Counts& counts);

using SourceKey = std::array<std::uint8_t, 17>;  // the masked address, and whether it is trusted
struct SourceHash {
  std::uint64_t key;
  std::size_t operator()(const SourceKey& source) const;
};

class Core {
 public:
  // `key` seeds the hash of addresses: a hostile client cannot choose addresses that collide.
  Core(const Settings& settings, std::uint64_t key);

  // One has come. If it is taken, the core holds it from here on, and no longer the one to evict.
  Arrival arrive(Time now, Id id, const Address& from);
  // Whether one that comes now from anywhere would be taken, as far as the table goes; it may wait for room,
  // but not behind others that have waited long already (a standing queue, as CoDel calls it: RFC 8289, 3).
  Door door(Time now);
  // Room is wanted for another reason (descriptors have run out): who is to go, if any may. It is held no
  // longer.
  std::optional<Id> spare();
  // From here on so many connections at most; what is held beyond that stays, and makes room as others come.
  void limit(std::size_t connections) { settings_.connections = connections; }
  // One was turned away by the host, for a reason of its own.
  void turned(Turned why) { ++counts_.turned[static_cast<std::size_t>(why)]; }
  // All ignore an id that is not held.
  void prove(Id id, Proof proof);  // never falls
  // Who is to end, if too many wait between requests; another one, and held no longer.
  std::optional<Id> stand(Id id, Standing standing);
  // Whether one that is about to be answered may wait for a further request; else its answer ends it.
  bool keeps(Id id) const;
  void gone(Id id);

  std::size_t held() const { return entries_.size(); }
  std::size_t unproven() const { return unproven_; }
  std::size_t sources() const { return sources_.size(); }
  const Settings& settings() const { return settings_; }
  const Counts& counts() const { return counts_; }

 private:
  static constexpr std::size_t kRanks = 6;
  static constexpr std::array<std::size_t, 3> kIdleRanks{2, 4, 5};
  static constexpr std::size_t kKept = kRanks;  // owed an answer: no rank
  using Key = SourceKey;
  struct Source {
    std::uint64_t number = 0;  // of its making, for a stable order
    std::size_t held = 0, unfinished = 0;
    std::array<std::set<std::pair<std::uint64_t, Id>>, kRanks> byRank;  // by how long so
    double tokens = 0;
    Time filledAt = 0;
    bool trusted = false;
    std::list<Key>::iterator idle;  // its place among those that hold nothing
  };
  struct Entry {
    Key source;
    Proof proof = Proof::nothing;
    Standing standing = Standing::unfinished;
    std::uint64_t since = 0;
    std::size_t rank = 0;
  };
  // How many of a rank a source holds, and among those with as many how long the first of them has been so:
  // negative, so that the last of a set is the oldest of the largest.
  struct Share {
    std::size_t count;
    std::int64_t age;
    std::uint64_t source;
    auto operator<=>(const Share&) const = default;
  };

  Key keyOf(const Address& address) const;
  Source& sourceOf(const Key& key, Time now);
  std::optional<Turned> capOf(Source& source, Time now);
  bool hasRoom() const;
  Id firstOf(std::size_t rank) const;
  std::optional<Id> lowest(std::size_t belowRank) const;
  std::optional<Id> lowestIdle() const;
  std::size_t ranksOpen() const;
  std::optional<Id> lowestOf(const Source& source, bool unfinishedOnly) const;
  std::size_t rankOf(const Entry& entry) const;
  void enter(Id id, Entry& entry);
  void leave(Id id, const Entry& entry);
  Share shareOf(const Source& source, std::size_t rank) const;
  void forgetOldest();

  Settings settings_;
  std::unordered_map<Id, Entry> entries_;
  std::unordered_map<Key, Source, SourceHash> sources_;
  std::array<std::set<Share>, kRanks> shares_;
  std::unordered_map<std::uint64_t, Key> numbers_;  // of sources that hold something
  std::list<Key> idleSources_;                      // the least recently seen first
  std::size_t unproven_ = 0, idle_ = 0;
  std::optional<Time> fullSince_;
  std::uint64_t lastSince_ = 0, lastSource_ = 0;
  Counts counts_;
};

}  // namespace burlwind::admission
