// Admission under virtual time: who makes room for whom, the caps, and the invariants over random sequences
// of events.
#include "admission/core.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace burlwind::admission {
namespace {

Address v4(unsigned a, unsigned b = 0) {
  Address out;
  out.bytes[10] = out.bytes[11] = 0xff;
  out.bytes[12] = 10;
  out.bytes[13] = static_cast<std::uint8_t>(a >> 8);
  out.bytes[14] = static_cast<std::uint8_t>(a);
  out.bytes[15] = static_cast<std::uint8_t>(b);
  return out;
}

Settings small(std::size_t connections, std::size_t reserve = 0) {
  Settings out;
  out.connections = connections;
  out.reserve = reserve;
  return out;
}

void proveIdle(Core& core, Id id) {
  core.stand(id, Standing::owed);
  core.prove(id, Proof::letIn);
  core.stand(id, Standing::idle);
}

TEST(Admission, TakesAsLongAsThereIsRoom) {
  Core core(small(2), 1);
  EXPECT_TRUE(core.arrive(0, 1, v4(1)).taken);
  const Arrival second = core.arrive(0, 2, v4(1));
  EXPECT_TRUE(second.taken);
  EXPECT_FALSE(second.evict);
  EXPECT_EQ(core.held(), 2u);
}

TEST(Admission, AFullTableMakesRoomOfTheSourceThatHoldsMost) {
  Core core(small(5), 1);
  core.arrive(0, 1, v4(7));  // the oldest of all, alone
  for (Id id = 2; id <= 5; ++id) core.arrive(0, id, v4(8));
  EXPECT_EQ(core.arrive(1, 6, v4(9)).evict, Id{2}) << "the flood's oldest and not the oldest";
}

// Seen on rc5d3aa: some 200 sources of one connection each. Their newest is the client that is about to ask.
TEST(Admission, AmongSourcesThatHoldAsManyTheOneLongestSoGoes) {
  Core core(small(50), 1);
  for (unsigned i = 1; i <= 50; ++i) core.arrive(0, i, v4(i));
  for (unsigned i = 51; i <= 200; ++i) EXPECT_EQ(core.arrive(0, i, v4(i)).evict, Id{i - 50});
}

TEST(Admission, WhatHasProvedNothingGoesFirst) {
  Core core(small(5), 1);
  for (Id id = 1; id <= 4; ++id) {
    core.arrive(0, id, v4(1));
    proveIdle(core, id);
  }
  core.arrive(0, 5, v4(2));
  EXPECT_EQ(core.arrive(1, 6, v4(3)).evict, Id{5});
  core.prove(6, Proof::head);
  core.stand(6, Standing::idle);
  EXPECT_EQ(core.arrive(2, 7, v4(4)).evict, Id{6}) << "a whole head is no more than that";
}

TEST(Admission, WhatIsOwedAnAnswerIsNeverChosen) {
  Core core(small(2), 1);
  for (Id id : {1, 2}) {
    core.arrive(0, id, v4(1));
    core.stand(id, Standing::owed);
  }
  EXPECT_EQ(core.door(0).is, Door::Is::hold);
  EXPECT_FALSE(core.spare());
  const Arrival third = core.arrive(0, 3, v4(2));
  EXPECT_FALSE(third.taken);
  EXPECT_EQ(third.why, Turned::tableFull);
  core.stand(1, Standing::idle);
  EXPECT_EQ(core.door(1e9).is, Door::Is::open);
  EXPECT_EQ(core.arrive(0, 4, v4(2)).evict, Id{1});
}

TEST(Admission, TheReserveIsForThoseThatHaveProvedThemselves) {
  Core core(small(8, 3), 1);
  for (Id id = 1; id <= 8; ++id) core.arrive(0, id, v4(1));
  for (Id id = 1; id <= 4; ++id) proveIdle(core, id);
  for (Id id = 5; id <= 8; ++id) core.stand(id, Standing::owed);
  EXPECT_EQ(core.arrive(0, 9, v4(2)).evict, Id{1}) << "four were served, three are reserved";
  core.stand(9, Standing::owed);
  EXPECT_EQ(core.door(0).is, Door::Is::hold);
  EXPECT_EQ(core.arrive(0, 10, v4(3)).why, Turned::tableFull);
  EXPECT_EQ(core.held(), 8u);
}

// --- Those that wait between requests ---

Settings withIdle(std::size_t idleMost) {
  Settings out = small(100);
  out.idleMost = idleMost;
  return out;
}

TEST(Admission, OfTooManyBetweenRequestsTheOneLongestSoEnds) {
  Core core(withIdle(2), 1);
  std::optional<Id> ended;
  for (Id id = 1; id <= 3; ++id) {
    core.arrive(0, id, v4(static_cast<unsigned>(id)));
    core.stand(id, Standing::owed);
    core.prove(id, Proof::letIn);
    EXPECT_FALSE(ended);
    ended = core.stand(id, Standing::idle);
  }
  EXPECT_EQ(ended, Id{1});
  EXPECT_EQ(core.held(), 2u) << "it is no longer held";
  EXPECT_EQ(core.counts().idledOut, 1u);
}

// A program with a connection that it uses against one that opens a connection for each request.
TEST(Admission, OneThatAskedAgainOutlivesAnyNumberThatAskedOnce) {
  Core core(withIdle(2), 1);
  core.arrive(0, 1, v4(1));
  proveIdle(core, 1);
  proveIdle(core, 1);
  for (Id id = 2; id <= 300; ++id) {
    core.arrive(0, id, v4(1));
    core.stand(id, Standing::owed);
    core.prove(id, Proof::letIn);
    EXPECT_NE(core.stand(id, Standing::idle), Id{1}) << id;
  }
}

TEST(Admission, AnAnswerEndsItsConnectionWhereOnlyBetterOnesWait) {
  Core core(withIdle(2), 1);
  for (Id id : {1, 2}) {
    core.arrive(0, id, v4(1));
    proveIdle(core, id);
    proveIdle(core, id);
  }
  core.arrive(0, 3, v4(2));
  core.stand(3, Standing::owed);
  EXPECT_FALSE(core.keeps(3)) << "it has shown nothing";
  core.prove(3, Proof::letIn);
  EXPECT_FALSE(core.keeps(3)) << "it asked once";
  core.prove(3, Proof::again);
  EXPECT_TRUE(core.keeps(3)) << "the one longest so will go";
  core.gone(1);
  EXPECT_TRUE(core.keeps(3));
}

TEST(Admission, WithNoBoundNoneEndsBetweenRequests) {
  Core core(withIdle(0), 1);
  for (Id id = 1; id <= 100; ++id) {
    core.arrive(0, id, v4(1));
    EXPECT_TRUE(core.keeps(id));
    EXPECT_FALSE(core.stand(id, Standing::idle));
  }
}

// --- The door ---

TEST(Admission, WhatComesWaitsForRoomAMomentAndIsThenTurnedAwayAtOnce) {
  Settings settings = small(1);
  settings.acceptWait = 100;
  Core core(settings, 1);
  EXPECT_EQ(core.door(0).is, Door::Is::open);
  core.arrive(0, 1, v4(1));
  core.stand(1, Standing::owed);
  EXPECT_EQ(core.door(1000).is, Door::Is::hold);
  EXPECT_EQ(core.door(1050).until, 1100);
  EXPECT_EQ(core.door(1100).is, Door::Is::shut);
  EXPECT_EQ(core.door(5000).is, Door::Is::shut) << "the next one need not wait as long";
  core.stand(1, Standing::idle);
  EXPECT_EQ(core.door(5001).is, Door::Is::open);
  core.stand(1, Standing::owed);
  EXPECT_EQ(core.door(6000).until, 6100) << "counted anew";
}

// --- Caps of a source ---

TEST(Admission, ASourceAtItsCapMakesRoomForItself) {
  Settings settings = small(100);
  settings.perSource = 2;
  Core core(settings, 1);
  for (Id id = 1; id <= 2; ++id) core.arrive(0, id, v4(1));
  EXPECT_EQ(core.arrive(0, 3, v4(1)).evict, Id{1});
  EXPECT_FALSE(core.arrive(0, 4, v4(2)).evict);
  core.stand(2, Standing::owed);
  core.stand(3, Standing::owed);
  const Arrival turned = core.arrive(0, 5, v4(1));
  EXPECT_FALSE(turned.taken);
  EXPECT_EQ(turned.why, Turned::sourceFull);
}

TEST(Admission, UnfinishedOnesOfASourceHaveACapOfTheirOwn) {
  Settings settings = small(100);
  settings.unfinishedPerSource = 1;
  Core core(settings, 1);
  core.arrive(0, 1, v4(1));
  proveIdle(core, 1);
  EXPECT_FALSE(core.arrive(0, 2, v4(1)).evict);
  EXPECT_EQ(core.arrive(0, 3, v4(1)).evict, Id{2});
}

TEST(Admission, ASourceOpensOnlySoManyASecond) {
  Settings settings = small(100);
  settings.newPerSecond = 4;
  Core core(settings, 1);
  for (Id id = 1; id <= 4; ++id) EXPECT_TRUE(core.arrive(0, id, v4(1)).taken);
  EXPECT_EQ(core.arrive(0, 5, v4(1)).why, Turned::sourceTooFast);
  EXPECT_TRUE(core.arrive(0, 6, v4(2)).taken);
  EXPECT_FALSE(core.arrive(249, 7, v4(1)).taken);
  EXPECT_TRUE(core.arrive(250, 8, v4(1)).taken);
}

TEST(Admission, ATrustedFrontHasNoCapsAndProofAloneDecides) {
  Settings settings = small(4);
  settings.perSource = 1;
  settings.newPerSecond = 1;
  settings.trusted = {{v4(1), 120}};
  Core core(settings, 1);
  for (Id id = 1; id <= 4; ++id) EXPECT_TRUE(core.arrive(0, id, v4(1, static_cast<unsigned>(id))).taken);
  EXPECT_EQ(core.sources(), 1u);
  proveIdle(core, 1);
  EXPECT_EQ(core.arrive(0, 5, v4(1)).evict, Id{2});
}

TEST(Admission, AnIPv6SourceIsItsPrefix) {
  Settings settings = small(100);
  settings.perSource = 1;
  Core core(settings, 1);
  Address one, two, other;
  one.bytes = {0x20, 1, 0xd, 0xb8, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1};
  two = one, two.bytes[15] = 2;
  other = one, other.bytes[7] = 2;
  core.arrive(0, 1, one);
  EXPECT_EQ(core.arrive(0, 2, two).evict, Id{1});
  EXPECT_FALSE(core.arrive(0, 3, other).evict);
}

TEST(Admission, SourcesBeyondTheTableAreForgottenTheOldestFirst) {
  Settings settings = small(1000);
  settings.rememberedSources = 10;
  settings.newPerSecond = 1;
  Core core(settings, 1);
  for (unsigned i = 0; i < 500; ++i) {
    core.arrive(0, i + 1, v4(i));
    core.gone(i + 1);
    EXPECT_LE(core.sources(), 10u);
  }
  EXPECT_FALSE(core.arrive(0, 1001, v4(499)).taken) << "it is remembered, and was too fast";
  EXPECT_TRUE(core.arrive(0, 1002, v4(0)).taken) << "it is forgotten";
}

TEST(Admission, SaysInALineWhatItIsSetToAndWhatHasHappened) {
  Settings settings = small(100, 25);
  EXPECT_EQ(describe(settings),
            "100 connections, 25 of them kept for those that were served, 100 ms for room; a source is a /32 "
            "or IPv6 /64, no caps; 0 trusted prefixes");
  settings.idleMost = 12;
  settings.perSource = 9;
  settings.newPerSecond = 2.5;
  EXPECT_NE(describe(settings).find("12 at most between requests"), std::string::npos);
  EXPECT_NE(describe(settings).find("/64, 9 connections, 2.5 new a second;"), std::string::npos);
  Counts counts;
  counts.taken = 5;
  counts.turned[static_cast<std::size_t>(Turned::noDescriptors)] = 3;
  EXPECT_EQ(
      describe(counts),
      "5 taken, 0 evicted, 0 ended between requests, turned away 0 (source full), 0 (unfinished), 0 (too "
      "fast), 0 (table full), 3 (no descriptors)");
}

// Addresses chosen to fall together under one key are spread by another: who does not know the key cannot
// choose them.
TEST(Admission, AddressesThatCollideUnderOneKeyAreSpreadByAnother) {
  constexpr std::size_t kBuckets = 256;
  const SourceHash known{1}, real{2};
  std::set<std::size_t> taken;
  unsigned chosen = 0;
  for (unsigned i = 0; chosen < 1000; ++i) {
    SourceKey key{};
    const Address address = v4(i & 0xffff, i >> 16);
    std::copy(address.bytes.begin(), address.bytes.end(), key.begin());
    if (known(key) % kBuckets != 7) continue;
    ++chosen;
    taken.insert(real(key) % kBuckets);
  }
  EXPECT_GT(taken.size(), kBuckets * 9 / 10);
}

// --- Invariants ---
struct Seen {
  unsigned source = 0;
  Standing standing = Standing::unfinished;
  bool proved = false;
};

// Random events, watched by a plain account of who holds what.
void watch(const Settings& settings, unsigned seed, unsigned sources) {
  std::mt19937 random(seed);
  const auto below = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
  Core core(settings, seed);
  std::map<Id, Seen> held;
  Id last = 0;
  double now = 0;
  for (int step = 0; step < 20000; ++step) {
    now += below(20);
    std::size_t unproven = 0;
    for (const auto& [id, one] : held) unproven += !one.proved;
    ASSERT_EQ(core.held(), held.size()) << "seed " << seed << " step " << step;
    ASSERT_EQ(core.unproven(), unproven);
    ASSERT_LE(held.size(), settings.connections);
    if (settings.idleMost > 0) {
      const auto idle = std::count_if(held.begin(), held.end(),
                                      [](const auto& one) { return one.second.standing == Standing::idle; });
      ASSERT_LE(static_cast<std::size_t>(idle), settings.idleMost);
    }
    if (below(3) > 0 || held.empty()) {
      // One source asks as often as all others together.
      const unsigned source = below(2) == 0 ? 0 : below(sources);
      std::map<unsigned, std::size_t> evictable;
      std::size_t mine = 0;
      for (const auto& [id, one] : held) {
        evictable[one.source] += one.standing != Standing::owed;
        mine += one.source == source;
      }
      const Arrival arrival = core.arrive(now, ++last, v4(source));
      if (arrival.evict) {
        const auto gone = held.find(*arrival.evict);
        ASSERT_NE(gone, held.end());
        ASSERT_NE(gone->second.standing, Standing::owed) << "seed " << seed << " step " << step;
        // What has proved itself goes only where nothing less proven may be spared.
        if (gone->second.proved && settings.perSource == 0) {
          ASSERT_LT(unproven, settings.connections - settings.reserve);
          for (const auto& [id, one] : held) {
            ASSERT_FALSE(!one.proved && one.standing == Standing::unfinished);
          }
        }
        held.erase(gone);
      }
      if (arrival.taken) {
        held[last] = {source};
        if (settings.perSource > 0) {
          ASSERT_LE(mine + 1 - (arrival.evict ? 1 : 0), settings.perSource);
        }
      } else if (settings.perSource == 0 && settings.newPerSecond == 0) {
        ASSERT_EQ(arrival.why, Turned::tableFull);
      }
      continue;
    }
    auto at = held.begin();
    std::advance(at, below(static_cast<unsigned>(held.size())));
    switch (below(5)) {
      case 0:
        core.gone(at->first);
        held.erase(at);
        break;
      case 1:
        core.prove(at->first, Proof::letIn);
        at->second.proved = true;
        break;
      default: {
        constexpr std::array kAll{Standing::unfinished, Standing::idle, Standing::owed, Standing::ending};
        at->second.standing = kAll[below(4)];
        const auto ended = core.stand(at->first, at->second.standing);
        if (ended) {
          const auto gone = held.find(*ended);
          ASSERT_NE(gone, held.end());
          ASSERT_NE(gone, at) << "itself";
          ASSERT_EQ(gone->second.standing, Standing::idle) << "seed " << seed << " step " << step;
          held.erase(gone);
        }
      }
    }
  }
}

TEST(Admission, InvariantsHoldOverRandomEvents) {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    watch(small(40, 10), seed, 8);
    Settings capped = small(40, 10);
    capped.perSource = 9;
    watch(capped, seed, 8);
    Settings brief = small(40, 10);
    brief.idleMost = 5;
    watch(brief, seed, 8);
    Settings fast = small(40, 0);
    fast.newPerSecond = 20;
    fast.rememberedSources = 3;
    watch(fast, seed, 30);
  }
}

// A stated bound: while the table is full of connections that have shown nothing, a source that holds fewer
// than its even share loses none to another's flood.
TEST(Admission, AFloodTakesNothingFromASourceBelowItsShare) {
  Core core(small(100), 1);
  Id last = 0;
  std::map<Id, unsigned> of;
  for (unsigned source = 1; source <= 4; ++source)
    for (int i = 0; i < 15; ++i) core.arrive(0, ++last, v4(source)), of[last] = source;
  for (int i = 0; i < 5000; ++i) {
    const Arrival arrival = core.arrive(1, ++last, v4(9));
    of[last] = 9;
    if (arrival.evict) {
      ASSERT_EQ(of[*arrival.evict], 9u) << i;
    }
  }
}

}  // namespace
}  // namespace burlwind::admission
