#include "admission/core.hpp"

#include <algorithm>
#include <sstream>

namespace burlwind::admission {
namespace {

constexpr unsigned kV4Offset = 96;  // bits before an IPv4 address in the 16 bytes

bool unprovenIs(Proof proof) { return proof < Proof::letIn; }

std::uint64_t mix(std::uint64_t z) {  // SplitMix64's finalizer
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

void writeCap(std::ostream& out, double cap, const char* what) {
  if (cap > 0) out << ", " << cap << ' ' << what;
}

}  // namespace

std::string describe(const Settings& settings) {
  std::ostringstream out;
  out << settings.connections << " connections, " << settings.reserve
      << " of them kept for those that were served, ";
  if (settings.idleMost > 0) out << settings.idleMost << " at most between requests, ";
  out << settings.acceptWait << " ms for room; a source is a /" << settings.prefixV4 << " or IPv6 /"
      << settings.prefixV6;
  const bool capped = settings.perSource > 0 || settings.unfinishedPerSource > 0 || settings.newPerSecond > 0;
  if (!capped) out << ", no caps";
  writeCap(out, static_cast<double>(settings.perSource), "connections");
  writeCap(out, static_cast<double>(settings.unfinishedPerSource), "unfinished");
  writeCap(out, settings.newPerSecond, "new a second");
  out << "; " << settings.trusted.size() << " trusted prefixes";
  return out.str();
}

std::string describe(const Counts& counts) {
  constexpr std::array<const char*, kTurned> kWhy{"source full", "unfinished", "too fast", "table full",
                                                  "no descriptors"};
  std::ostringstream out;
  out << counts.taken << " taken, " << counts.evicted << " evicted, " << counts.idledOut
      << " ended between requests, turned away";
  for (std::size_t i = 0; i < kTurned; ++i)
    out << (i > 0 ? ", " : " ") << counts.turned[i] << " (" << kWhy[i] << ')';
  return out.str();
}

bool Address::isV4() const {
  return std::all_of(bytes.begin(), bytes.begin() + 10, [](std::uint8_t b) { return b == 0; }) &&
         bytes[10] == 0xff && bytes[11] == 0xff;
}

bool Prefix::holds(const Address& other) const {
  for (unsigned bit = 0; bit < bits; bit += 8) {
    const unsigned left = std::min(8u, bits - bit);
    const auto mask = static_cast<std::uint8_t>(0xff << (8 - left));
    if ((address.bytes[bit / 8] ^ other.bytes[bit / 8]) & mask) return false;
  }
  return true;
}

std::size_t SourceHash::operator()(const SourceKey& bytes) const {
  std::uint64_t out = key;
  for (std::size_t at = 0; at < bytes.size(); at += 8) {
    std::uint64_t word = 0;
    for (std::size_t i = at; i < std::min(at + 8, bytes.size()); ++i) word = (word << 8) | bytes[i];
    out = mix(out ^ mix(word + key));
  }
  return static_cast<std::size_t>(out);
}

Core::Core(const Settings& settings, std::uint64_t key)
    : settings_(settings), sources_(0, SourceHash{mix(key + 1)}) {}

Core::Key Core::keyOf(const Address& address) const {
  Key out{};
  for (const Prefix& prefix : settings_.trusted) {
    if (!prefix.holds(address)) continue;
    std::copy(prefix.address.bytes.begin(), prefix.address.bytes.end(), out.begin());
    out[16] = 1;
    return out;
  }
  const unsigned bits = address.isV4() ? kV4Offset + settings_.prefixV4 : settings_.prefixV6;
  for (unsigned bit = 0; bit < bits; bit += 8) {
    const unsigned left = std::min(8u, bits - bit);
    out[bit / 8] = static_cast<std::uint8_t>(address.bytes[bit / 8] & (0xff << (8 - left)));
  }
  return out;
}

Core::Source& Core::sourceOf(const Key& key, Time now) {
  const auto [found, fresh] = sources_.try_emplace(key);
  Source& source = found->second;
  if (fresh) {
    source.number = ++lastSource_;
    source.trusted = key[16] != 0;
    source.tokens = settings_.newPerSecond;
    source.filledAt = now;
    source.idle = idleSources_.insert(idleSources_.end(), key);
  } else if (source.held == 0) {
    idleSources_.splice(idleSources_.end(), idleSources_, source.idle);
  }
  return source;
}

void Core::forgetOldest() {
  while (idleSources_.size() > settings_.rememberedSources) {
    sources_.erase(idleSources_.front());
    idleSources_.pop_front();
  }
}

// What an unproven newcomer may push out, before what has proved itself.
std::size_t Core::rankOf(const Entry& entry) const {
  const bool unproven = unprovenIs(entry.proof);
  switch (entry.standing) {
    case Standing::unfinished:
      return unproven ? 0 : 3;
    case Standing::ending:
      return 1;
    case Standing::idle:
      return kIdleRanks[unproven ? 0 : entry.proof == Proof::letIn ? 1 : 2];
    case Standing::owed:
      return kKept;
  }
  return kKept;
}

Core::Share Core::shareOf(const Source& source, std::size_t rank) const {
  const auto& mine = source.byRank[rank];
  return {mine.size(), mine.empty() ? 0 : -static_cast<std::int64_t>(mine.begin()->first), source.number};
}

void Core::enter(Id id, Entry& entry) {
  entry.rank = rankOf(entry);
  entry.since = ++lastSince_;
  if (entry.rank == kKept) return;
  Source& source = sources_.at(entry.source);
  shares_[entry.rank].erase(shareOf(source, entry.rank));
  source.byRank[entry.rank].emplace(entry.since, id);
  shares_[entry.rank].insert(shareOf(source, entry.rank));
}

void Core::leave(Id id, const Entry& entry) {
  if (entry.rank == kKept) return;
  Source& source = sources_.at(entry.source);
  auto& mine = source.byRank[entry.rank];
  shares_[entry.rank].erase(shareOf(source, entry.rank));
  mine.erase({entry.since, id});
  if (!mine.empty()) shares_[entry.rank].insert(shareOf(source, entry.rank));
}

// Of a rank that someone holds: of the source with the most the one longest so.
Id Core::firstOf(std::size_t rank) const {
  const Key& key = numbers_.at(shares_[rank].rbegin()->source);
  return sources_.at(key).byRank[rank].begin()->second;
}

std::optional<Id> Core::lowest(std::size_t belowRank) const {
  for (std::size_t rank = 0; rank < belowRank; ++rank)
    if (!shares_[rank].empty()) return firstOf(rank);
  return std::nullopt;
}

std::optional<Id> Core::lowestIdle() const {
  for (const std::size_t rank : kIdleRanks)
    if (!shares_[rank].empty()) return firstOf(rank);
  return std::nullopt;
}

std::optional<Id> Core::lowestOf(const Source& source, bool unfinishedOnly) const {
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    if (unfinishedOnly && rank != 0 && rank != 3) continue;
    if (!source.byRank[rank].empty()) return source.byRank[rank].begin()->second;
  }
  return std::nullopt;
}

std::optional<Turned> Core::capOf(Source& source, Time now) {
  if (source.trusted) return std::nullopt;
  if (settings_.newPerSecond > 0) {
    source.tokens =
        std::min(settings_.newPerSecond,
                 source.tokens + settings_.newPerSecond * std::max(0.0, now - source.filledAt) / 1000);
    source.filledAt = std::max(source.filledAt, now);
    if (source.tokens < 1) return Turned::sourceTooFast;
  }
  if (settings_.perSource > 0 && source.held >= settings_.perSource) return Turned::sourceFull;
  if (settings_.unfinishedPerSource > 0 && source.unfinished >= settings_.unfinishedPerSource)
    return Turned::sourceUnfinished;
  return std::nullopt;
}

Arrival Core::arrive(Time now, Id id, const Address& from) {
  const Key key = keyOf(from);
  Source& source = sourceOf(key, now);
  Arrival out;
  const auto turnAway = [&](Turned why) {
    turned(why);
    out.why = why;
    forgetOldest();
    return out;
  };
  // At its own cap a source makes room for itself, of what it has least use for.
  if (const auto cap = capOf(source, now)) {
    if (*cap != Turned::sourceTooFast) out.evict = lowestOf(source, *cap == Turned::sourceUnfinished);
    if (!out.evict) return turnAway(*cap);
  } else if (entries_.size() >= settings_.connections) {
    out.evict = lowest(ranksOpen());
    if (!out.evict) return turnAway(Turned::tableFull);
  }
  out.taken = true;
  ++counts_.taken;
  if (settings_.newPerSecond > 0 && !source.trusted) source.tokens -= 1;
  if (source.held++ == 0) {  // before room is made: from here on it is not forgotten
    idleSources_.erase(source.idle);
    numbers_.emplace(source.number, key);
  }
  ++source.unfinished;
  ++unproven_;
  if (out.evict) {
    ++counts_.evicted;
    gone(*out.evict);
  }
  Entry& entry = entries_[id];
  entry.source = key;
  enter(id, entry);
  forgetOldest();
  return out;
}

// A newcomer has proved nothing: while such hold all but the reserve, none that was served makes room for
// one.
std::size_t Core::ranksOpen() const {
  constexpr std::size_t kUnproven = 3;
  return unproven_ + settings_.reserve >= settings_.connections ? kUnproven : kRanks;
}

bool Core::hasRoom() const {
  return entries_.size() < settings_.connections || lowest(ranksOpen()).has_value();
}

Door Core::door(Time now) {
  if (hasRoom()) {
    fullSince_.reset();
    return {};
  }
  if (!fullSince_) fullSince_ = now;
  const Time until = *fullSince_ + settings_.acceptWait;
  return {now < until ? Door::Is::hold : Door::Is::shut, until};
}

std::optional<Id> Core::spare() {
  const auto out = lowest(kRanks);
  if (!out) return out;
  ++counts_.evicted;
  gone(*out);
  return out;
}

void Core::prove(Id id, Proof proof) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.proof >= proof) return;
  Entry& entry = found->second;
  unproven_ -= unprovenIs(entry.proof) && !unprovenIs(proof);
  const std::size_t before = entry.rank;
  Entry next = entry;
  next.proof = proof;
  if (rankOf(next) == before) return void(entry.proof = proof);
  leave(id, entry);
  entry.proof = proof;
  enter(id, entry);
}

std::optional<Id> Core::stand(Id id, Standing standing) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  Entry& entry = found->second;
  Source& source = sources_.at(entry.source);
  source.unfinished -= entry.standing == Standing::unfinished;
  source.unfinished += standing == Standing::unfinished;
  idle_ -= entry.standing == Standing::idle;
  leave(id, entry);
  std::optional<Id> out;
  if (standing == Standing::idle && settings_.idleMost > 0 && idle_ >= settings_.idleMost) out = lowestIdle();
  idle_ += standing == Standing::idle;
  entry.standing = standing;
  if (standing == Standing::owed && entry.proof == Proof::letIn) entry.proof = Proof::again;
  enter(id, entry);
  if (out) {
    ++counts_.idledOut;
    gone(*out);
  }
  return out;
}

bool Core::keeps(Id id) const {
  if (settings_.idleMost == 0 || idle_ < settings_.idleMost) return true;
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  Entry waiting = found->second;
  waiting.standing = Standing::idle;
  const std::size_t mine = rankOf(waiting);
  return std::any_of(kIdleRanks.begin(), kIdleRanks.end(),
                     [&](std::size_t rank) { return rank <= mine && !shares_[rank].empty(); });
}

void Core::gone(Id id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  const Entry entry = found->second;
  leave(id, entry);
  Source& source = sources_.at(entry.source);
  source.unfinished -= entry.standing == Standing::unfinished;
  unproven_ -= unprovenIs(entry.proof);
  idle_ -= entry.standing == Standing::idle;
  entries_.erase(found);
  if (--source.held > 0) return;
  numbers_.erase(source.number);
  source.idle = idleSources_.insert(idleSources_.end(), entry.source);
  forgetOldest();
}

}  // namespace burlwind::admission
