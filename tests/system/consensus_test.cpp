// The agreement of the stores: each loss that it promises to bear, drawn as a timeline, and random plays.
#include <algorithm>

#include "consensus/state_patch.hpp"
#include "timeline.hpp"

namespace burlwind::timeline {
namespace {

TEST_CASE("three begin, one leads, what is put is held by all") {
  Stores s(3);
  s.play(R"(
    0     start  start  start
    2000  put=x
    2600  has=x  has=x  has=x
  )");
  CHECK(s.everythingAcknowledgedIsHeld());
}

TEST_CASE("nobody leads without a majority") {
  Stores s(3);
  s.play(R"(
    0     start  .      .
    8000  follows
  )");
}

TEST_CASE("a leader that is frozen through its time and woken among writes changes nothing") {
  Stores s(3, 7);
  s.play(R"(
    0     start  start  start
    2000  put=a
  )");
  const unsigned old = *s.leader();
  s.act(old, "freeze");
  s.run(2500);
  REQUIRE(s.leader());
  CHECK(*s.leader() != old);
  CHECK(s.put("b"));
  s.act(old, "thaw");
  s.run(50);
  CHECK(s.put("c"));
  s.run(1000);
  s.act(old, "follows");
  s.act(old, "has=a,b,c");
}

// Answers to its rounds wait in its sockets meanwhile, and come before anything else that it does.
TEST_CASE("a leader that stood still wakes among a greeting, a read and an order") {
  for (const double span : {600.0, 900.0, 1200.0})
    for (unsigned seed = 1; seed <= 40; ++seed) {
      CAPTURE(span);
      CAPTURE(seed);
      Stores s(3, seed);
      s.play("0 start start start");
      s.play("2000 put=a");
      const unsigned old = *s.leader();
      s.run(10.0 * (seed % 20));
      CHECK(s.read(old));
      s.act(old, "freeze");
      s.run(span);
      const auto before = s.confirmations(old);
      s.act(old, "thaw");
      const bool stale = span > consensus::Timeouts{}.electLeast;
      // Before what waited is read it may know of no majority, also where there is one.
      const bool asked = seed % 4 == 1 ? s.read(old) : seed % 4 == 2 ? s.order(old, "b") : false;
      if (seed % 4 == 0 && stale) CHECK_FALSE(s.says(old));
      if (stale) CHECK_FALSE(asked);
      s.step();  // what waited
      if (stale) {
        s.act(old, "follows");
        CHECK(s.confirmations(old) == before);
      } else if (asked || seed % 4 == 0 || seed % 4 == 3) {
        CHECK(s.says(old));
      }
      s.run(3000);
      CHECK(s.put("c"));
      CHECK(s.everythingAcknowledgedIsHeld());
    }
}

TEST_CASE("one-way cuts: a leader that is not heard, one that does not hear") {
  for (const char* way : {"mute", "deaf"}) {
    CAPTURE(way);
    Stores s(3, 3);
    s.play("0 start start start");
    s.play("2000 put=a");
    const unsigned old = *s.leader();
    s.act(old, way);
    s.run(4000);
    REQUIRE(s.leader());
    CHECK(*s.leader() != old);
    CHECK(s.put("b"));
    s.act(old, "heal");
    s.run(2500);
    CHECK(s.put("c"));
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

TEST_CASE("a follower that hears nobody does not push a leader away when it is back") {
  Stores s(3, 5);
  s.play("0 start start start");
  s.play("2000 put=a");
  const unsigned leader = *s.leader();
  const auto term = s.core(leader).record().term;
  const unsigned other = (leader + 1) % 3;
  s.act(other, "cut");
  s.run(5000);
  s.act(other, "heal");
  s.run(2000);
  CHECK(*s.leader() == leader);
  CHECK(s.core(leader).record().term == term);
}

TEST_CASE("who acknowledged loses its disk and the others their power, in each order of return") {
  const char* const orders[] = {"0 1 2", "0 2 1", "1 0 2", "1 2 0", "2 0 1", "2 1 0"};
  for (const char* order : orders)
    for (unsigned lost = 0; lost < 3; ++lost) {
      CAPTURE(order);
      CAPTURE(lost);
      Stores s(3, 11 + lost);
      s.play("0 start start start");
      s.play("2000 put=a");
      const unsigned slow = (*s.leader() + 2) % 3;
      s.act(slow, "cut");  // the last change is at two alone
      s.run(100);
      CHECK(s.put("b"));
      s.act(slow, "heal");
      const unsigned gone = (*s.leader() + lost) % 3;
      for (unsigned i = 0; i < 3; ++i) s.act(i, i == gone && i != slow ? "wipe" : "kill");
      std::istringstream turns(order);
      for (unsigned i; turns >> i;) {
        s.run(700);
        s.act(i, "start");
      }
      s.run(5000);
      CHECK(s.put("c"));
      CHECK(s.everythingAcknowledgedIsHeld());
      for (unsigned i = 0; i < 3; ++i) CHECK(s.core(i).member());
    }
}

TEST_CASE("one with an empty disk has no vote until it is a member again") {
  Stores s(3, 2);
  s.play(R"(
    0     start  start  start
    2000  put=a
    2200  kill   .      .
    2300  .      kill   .
    2400  .      wipe   .
    2500  .      start  .
    9000  .      stranger follows
    9000  start  .      .
    14000 .      member .
    14000 put=b
  )");
  CHECK(s.everythingAcknowledgedIsHeld());
}

TEST_CASE("a member is replaced by an empty one at another address, planned and not") {
  for (const bool planned : {false, true}) {
    CAPTURE(planned);
    Stores s(3, 4);
    s.play("0 start start start");
    s.play("2000 put=a");
    const unsigned gone = planned ? (*s.leader() + 1) % 3 : *s.leader();
    if (planned) s.act(gone, "leave");
    s.act(gone, "renew");
    s.run(1200);
    s.act(gone, "start");
    s.run(6000);
    CHECK(s.core(gone).member());
    CHECK(s.put("b"));
    // and now another one may go
    s.act((gone + 1) % 3, "kill");
    s.run(3000);
    CHECK(s.put("c"));
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

TEST_CASE("a disk that stalls under the leader: another one leads, and nothing is lost") {
  Stores s(3, 9);
  s.play("0 start start start");
  s.play("2000 put=a");
  const unsigned old = *s.leader();
  s.act(old, "slow=6000");
  s.act(0, "try=b");
  s.run(3000);
  CHECK(s.put("c"));
  s.act(old, "slow=0");
  s.run(5000);
  CHECK(s.put("d"));
  CHECK(s.everythingAcknowledgedIsHeld());
}

TEST_CASE("of five, two may be lost with their disks") {
  Stores grown(5, 6, 5);
  grown.play("0 start start start start start");
  grown.play("2000 put=a");
  const unsigned one = *grown.leader(), two = (one + 1) % 5;
  grown.act(one, "wipe");
  grown.act(two, "wipe");
  grown.run(1500);
  grown.act(one, "start");
  grown.act(two, "start");
  grown.run(6000);
  CHECK(grown.core(one).member());
  CHECK(grown.core(two).member());
  CHECK(grown.put("b"));
  CHECK(grown.everythingAcknowledgedIsHeld());
}

TEST_CASE("a newcomer is a learner until it holds the state, also under change after change") {
  Stores s(3, 21);
  s.play("0 start start start");
  s.play("2000 put=a");
  const unsigned leader = *s.leader(), gone = (leader + 1) % 3;
  s.act(gone, "renew");
  s.run(2500);
  s.act(gone, "slow=1500");
  s.act(gone, "start");
  s.run(1000);  // the state has been sent, and is not on its disk
  CHECK_FALSE(s.hasMember(leader, gone));
  s.act(gone, "slow=0");
  for (int i = 0; i < 60; ++i) CHECK(s.put("b" + std::to_string(i)));  // an entry is always under way
  CHECK(s.hasMember(leader, gone));
  s.run(500);
  CHECK(s.core(gone).member());
  CHECK(s.core(leader).record().former.empty());
  CHECK(s.everythingAcknowledgedIsHeld());
}

TEST_CASE(
    "a member that restarts keeps its seat, however many spares ask, and is not held to be leaving after") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    Stores s(3, seed, 3, 2);
    s.play("0 start start start start start");
    s.play("2000 put=a");
    const unsigned leader = *s.leader(), one = (leader + 1) % 3;
    s.act(one, "leave");
    s.run(300);  // it ends
    s.act(one, "kill");
    s.run(500);
    s.act(one, "start");
    s.run(1000);
    CHECK(s.put("b"));
    CHECK(s.hasMember(*s.leader(), one));
    s.act(one, "freeze");  // shorter than one that has not left must be silent
    s.run(1500);
    s.act(one, "thaw");
    s.run(5000);
    for (unsigned i = 0; i < 3; ++i) CHECK(s.hasMember(*s.leader(), i));
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

TEST_CASE("one that leaves for good is replaced by a spare, sooner than one that is silent") {
  for (const bool planned : {false, true}) {
    CAPTURE(planned);
    Stores s(3, 31, 3, 1);
    s.play("0 start start start start");
    s.play("2000 put=a");
    const unsigned leader = *s.leader(), gone = (leader + 1) % 3;
    if (planned) s.act(gone, "leave");
    s.act(gone, "kill");
    s.run(1000);
    CHECK_FALSE(s.hasMember(leader, 3));
    s.run(900);
    CHECK(s.hasMember(leader, 3) == planned);
    s.run(1100);
    CHECK(s.hasMember(leader, 3));
    s.act((leader + 2) % 3, "kill");
    CHECK(s.put("b"));
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

TEST_CASE("two ask at once for one seat: one gets it, also where one of them is wiped among it") {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Stores s(3, seed, 3, 2);
    s.play("0 start start start . .");
    s.play("2000 put=a");
    const unsigned leader = *s.leader(), gone = (leader + 1) % 3;
    s.act(gone, "kill");
    s.run(2500);
    s.act(3, "start");
    s.act(4, "start");
    s.run(10.0 * (7 * seed % 60));
    if (seed % 2) s.act(3, "wipe");
    s.run(4000);
    CHECK(s.hasMember(leader, 3) != s.hasMember(leader, 4));
    CHECK_FALSE(s.hasMember(leader, gone));
    CHECK(s.core(leader).record().members.size() == 3);
    CHECK(s.put("b"));
  }
}

TEST_CASE("who claims the address of a member that is heard gets no seat, and none loses its own") {
  for (const unsigned seats : {3u, 5u})
    for (unsigned of = 0; of < 3; ++of) {
      CAPTURE(seats);
      CAPTURE(of);
      Stores s(3, 41, seats, 1);
      s.takeAddress(3, of);
      s.play("0 start start start start");
      s.play("2000 put=a");
      s.run(5000);
      CHECK_FALSE(s.hasMember(*s.leader(), 3));
      for (unsigned i = 0; i < 3; ++i) CHECK(s.hasMember(*s.leader(), i));
      s.act(of, "kill");  // now the address is the newcomer's alone
      s.run(4000);
      CHECK(s.hasMember(*s.leader(), 3));
      CHECK_FALSE(s.hasMember(*s.leader(), of));
      CHECK(s.put("b"));
    }
}

TEST_CASE("a lost disk is soon made good: 3 s after its return another member may be lost") {
  for (const char* loss : {"wipe", "renew"})
    for (unsigned seed = 1; seed <= 20; ++seed) {
      CAPTURE(loss);
      CAPTURE(seed);
      Stores s(3, seed);
      s.play("0 start start start");
      s.play("2000 put=a");
      const unsigned gone = seed % 3;
      s.act(gone, loss);
      s.run(300);
      s.act(gone, "start");
      s.run(3000);
      CHECK(s.put("b"));
      const unsigned next = (gone + 1 + seed % 2) % 3;
      s.act(next, loss);
      s.run(300);
      CHECK(s.put("c"));
      s.act(next, "start");
      s.run(3000);
      CHECK(s.hasMember(*s.leader(), next));
      CHECK(s.everythingAcknowledgedIsHeld());
    }
}

TEST_CASE("of five, one is gone for good, one comes back empty and is a member before a third is lost") {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Stores s(5, seed);
    s.play("0 start start start start start");
    s.play("2000 put=a");
    const unsigned one = seed % 5, two = (one + 1) % 5, three = (one + 2) % 5;
    s.act(one, "kill");
    s.act(two, "wipe");
    s.run(2500);
    s.act(two, "start");
    s.run(3000);
    s.act(three, "kill");
    CHECK(s.put("b"));
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

TEST_CASE("planned replacement by one with a slow disk, and 6 s later another member's disk is lost") {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Stores s(3, seed);
    s.play("0 start start start");
    s.play("2000 put=a");
    const unsigned gone = seed % 3, next = (gone + 1) % 3;
    s.act(gone, "leave");
    s.run(300);
    s.act(gone, "renew");
    s.run(200);
    s.act(gone, "slow=400");
    s.act(gone, "start");
    s.run(6000);
    CHECK(s.put("b"));
    s.act(next, "wipe");
    s.run(3500);  // each vote is a write of 0.4 s
    CHECK(s.put("c"));
    s.act(next, "start");
    s.run(5000);
    CHECK(s.put("d"));
    REQUIRE(s.leader());
    CHECK(s.hasMember(*s.leader(), next));
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

// Change after change while the leader gets SIGTERM: the longest time from one acknowledgement to the next,
// in ms; least, mean and most of 40 plays.
struct Spans {
  double least = 1e9, sum = 0, most = 0;
};
Spans longestGapAroundSigterm(unsigned count, bool handsOver) {
  Spans out;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Stores s(count, seed);
    s.play(count == 3 ? "0 start start start" : "0 start start start start start");
    s.play("2000 put=a");
    s.run(10.0 * (seed % 20));
    const double begun = s.now();
    s.end(*s.leader(), handsOver);
    double last = begun, longest = 0;
    for (int i = 0; s.now() < begun + 3000; ++i) {
      if (!s.put("b" + std::to_string(i), 1500)) continue;
      longest = std::max(longest, s.now() - last);
      last = s.now();
    }
    out.least = std::min(out.least, longest), out.most = std::max(out.most, longest), out.sum += longest;
    CHECK(s.everythingAcknowledgedIsHeld());
  }
  return out;
}

TEST_CASE("a leader that ends hands over: changes go on without an election's wait") {
  for (const unsigned count : {3u, 5u}) {
    const Spans waited = longestGapAroundSigterm(count, false), handed = longestGapAroundSigterm(count, true);
    MESSAGE(
        count
        << " replicas, longest gap of acknowledgements around a leader's SIGTERM, least/mean/most: election "
        << waited.least << "/" << waited.sum / 40 << "/" << waited.most << " ms, handed over " << handed.least
        << "/" << handed.sum / 40 << "/" << handed.most << " ms");
    CHECK(handed.most < 300);
    CHECK(waited.sum > 3 * handed.sum);
  }
}

TEST_CASE("a leaving leader with the newest entry alone commits it first, or leaves it without an answer") {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    Stores s(3, seed);
    s.play("0 start start start");
    s.play("2000 put=a");
    const unsigned leader = *s.leader(), other = (leader + 1 + seed % 2) % 3;
    if (seed % 3 == 1) s.act(other, "kill");
    if (seed % 3 == 2) s.act(other, "slow=200");
    CHECK(s.order(leader, "b"));  // on its disk alone
    s.end(leader);
    s.run(10.0 * (seed % 7));
    const bool lastOne = seed % 3 == 1;  // then one of three is left
    s.run(300);
    if (lastOne) s.act(other, "start");
    s.run(3000);
    CHECK(s.acknowledged().size() == 2);
    CHECK(s.put("c"));
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

TEST_CASE("leadership is handed over under losses: never two, and an election follows where it fails") {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Stores s(seed % 2 ? 3 : 5, seed);
    s.play(seed % 2 ? "0 start start start" : "0 start start start start start");
    const unsigned count = seed % 2 ? 3 : 5;
    s.play("2000 put=a");
    for (int turn = 0; turn < 10; ++turn) {
      if (const auto leader = s.leader()) {
        const unsigned other = (*leader + 1 + random() % (count - 1)) % count;
        s.order(*leader, "o" + std::to_string(turn));
        const char* const troubles[] = {"mute", "deaf", "freeze", "slow=200", "kill"};
        s.act(other, troubles[random() % 5]);
        if (random() % 3 == 0) s.act(*leader, "mute");
        s.run(10.0 * (random() % 30));
        s.end(*leader);
        s.run(200 + random() % 1500);
      }
      for (unsigned i = 0; i < count; ++i) {
        s.act(i, "heal");
        s.act(i, "thaw");
        s.act(i, "slow=0");
        if (!s.up(i)) s.act(i, "start");
      }
      s.put("v" + std::to_string(turn), 100 + random() % 900);
    }
    s.run(3000);
    CHECK(s.put("last"));
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

TEST_CASE("a minority that is cut off and restarted leads nobody, disturbs nobody and catches up") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Stores s(5, seed);
    s.play("0 start start start start start");
    s.play("2000 put=a");
    const unsigned one = seed % 5, two = (one + 1 + seed / 5 % 4) % 5;  // the leader among them at times
    for (const unsigned i : {one, two}) s.group(i, 1);
    s.run(500);
    for (const unsigned i : {one, two}) s.act(i, "kill");
    s.run(300);
    for (const unsigned i : {one, two}) s.act(i, "start");
    CHECK(s.put("b"));
    s.run(20'000);
    const unsigned leader = *s.leader();
    const auto term = s.core(leader).record().term;
    for (const unsigned i : {one, two}) {
      CHECK_FALSE(s.core(i).leads());
      CHECK(s.core(i).record().term <= term);
    }
    CHECK(s.put("c"));
    for (const unsigned i : {one, two}) s.group(i, 0);
    s.run(1500);
    CHECK(*s.leader() == leader);
    CHECK(s.core(leader).record().term == term);
    for (unsigned i = 0; i < 5; ++i) {
      CHECK(s.core(i).member());
      CHECK(s.core(i).record().state == "a,b,c");
    }
  }
}

// Members are dialled by their addresses in the record, so seeds matter to an empty replica alone.
TEST_CASE(
    "all first members are replaced one after another, and come back with their old disks to no effect") {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Stores s(3, seed, 3, 3);
    s.play("0 start start start . . .");
    s.play("2000 put=a");
    for (unsigned i = 0; i < 3; ++i) {
      s.act(i, "kill");
      s.act(3 + i, "start");
      s.run(4000);
      CHECK(s.put("b" + std::to_string(i)));
      CHECK(s.hasMember(*s.leader(), 3 + i));
      CHECK_FALSE(s.hasMember(*s.leader(), i));
    }
    const unsigned leader = *s.leader();
    const auto term = s.core(leader).record().term;
    for (unsigned i = 0; i < 3; ++i) s.act(i, "start");
    s.run(5000);
    CHECK(*s.leader() == leader);
    CHECK(s.core(leader).record().term == term);
    for (unsigned i = 0; i < 3; ++i) CHECK_FALSE(s.core(i).member());
    // And alone, with what they were told since, they are nobody's majority.
    for (unsigned i = 3; i < 6; ++i) s.act(i, "kill");
    s.run(10'000);
    CHECK_FALSE(s.leader());
    for (unsigned i = 3; i < 6; ++i) s.act(i, "start");
    s.run(3000);
    CHECK(s.put("c"));
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

TEST_CASE("old members with their old disks and nobody else lead with an old state never") {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Stores s(3, seed, 3, 2);
    s.play("0 start start start . .");
    s.play("2000 put=a");
    const unsigned one = *s.leader(), two = (one + 1) % 3, three = (one + 2) % 3;
    // Two of the first three are replaced, one after the other.
    s.act(one, "kill");
    s.act(3, "start");
    s.run(5000);
    CHECK(s.put("b"));
    s.act(two, "kill");
    s.act(4, "start");
    s.run(5000);
    CHECK(s.put("c"));
    for (const unsigned i : {three, 3u, 4u}) s.act(i, "kill");
    s.act(one, "start");
    s.act(two, "start");
    s.run(10'000);
    CHECK_FALSE(s.leader());
    s.act(three, "start");  // it knows the new members, and that they are not these
    s.run(5000);
    CHECK_FALSE(s.leader());
    s.act(3, "start");
    s.run(5000);
    CHECK(s.put("d"));
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

std::string text(std::size_t size, unsigned seed) {
  std::mt19937 random(seed);
  std::string out(size, ' ');
  for (char& c : out) c = static_cast<char>('a' + random() % 26);
  return out;
}

constexpr double kTwoMbits = 250, kHundredMbits = 12500;  // bytes a ms

struct Arrival {
  double seconds = 0;        // from the newcomer's start until it is a member
  double overhead = 0;       // bytes to it, by those of the state
  double longestWay = 0;     // ms that a heartbeat was under way to it
  double longestChange = 0;  // ms until a change was acknowledged meanwhile
};

// A newcomer gets a state of that size over a slow link, while a change is made each second; its connections
// are reset so many times.
Arrival arrival(std::size_t size, double bytesPerMs, double loss, unsigned resets, unsigned seed) {
  Stores s(3, seed);
  s.load(text(size, seed));
  s.play("0 start start start");
  s.play("2000 put=a");
  const unsigned leader = *s.leader(), one = (leader + 1) % 3;
  s.act(one, "wipe");
  s.limit(one, bytesPerMs, loss);
  s.run(1000);
  const auto bytesBefore = s.bytesTo(one);
  s.longestWay(one);
  const double begun = s.now();
  s.act(one, "start");
  Arrival out;
  for (int i = 0; s.now() < begun + 100'000 && !s.core(one).member(); ++i) {
    const double asked = s.now();
    CHECK(s.put("b" + std::to_string(i)));
    out.longestChange = std::max(out.longestChange, s.now() - asked);
    while (s.now() < asked + 1000 && !s.core(one).member()) s.step();
    if (i == 7 && resets > 0) s.reset(one);
    if (i == 19 && resets > 1) s.reset(one);
  }
  CHECK(s.core(one).member());
  out.seconds = (s.now() - begun) / 1000;
  out.overhead = static_cast<double>(s.bytesTo(one) - bytesBefore) / static_cast<double>(size);
  out.longestWay = s.longestWay(one);
  CHECK(*s.leader() == leader);  // who leads has not changed
  s.run(2000);
  CHECK(s.core(one).record().index == s.core(leader).record().index);
  CHECK(s.core(one).record().state == s.core(leader).record().state);
  return out;
}

TEST_CASE("a state of 8 MB reaches a newcomer over 2 Mbit/s with loss and resets while changes go on") {
  constexpr std::size_t kSize = 8'000'000;
  const Arrival got = arrival(kSize, kTwoMbits, 0.001, 2, 5);
  MESSAGE("8 MB over 2 Mbit/s, 0.1% loss, 2 resets: member after "
          << got.seconds << " s, bytes " << got.overhead << " times the state's, heartbeats up to "
          << got.longestWay << " ms, changes up to " << got.longestChange << " ms");
  CHECK(got.seconds < 1.5 * kSize / kTwoMbits / 1000);
  CHECK(got.overhead < 1.1);
  CHECK(got.longestWay < consensus::Timeouts{}.electMost);
  CHECK(got.longestChange < 300);
}

TEST_CASE("what a newcomer costs at 60 KB, 2 MB and 8 MB") {
  for (const double rate : {kTwoMbits, kHundredMbits})
    for (const std::size_t size : {60'000u, 2'000'000u, 8'000'000u}) {
      const Arrival got = arrival(size, rate, 0, 0, 3);
      MESSAGE(size << " bytes over " << rate * 8 / 1000 << " Mbit/s: member after " << got.seconds
                   << " s, bytes " << got.overhead << " times the state's, heartbeats up to "
                   << got.longestWay << " ms");
      CHECK(got.overhead < 1.1);
      CHECK(got.longestWay < 500);
    }
}

TEST_CASE("a change in a large state is a small message, also the first one of a new leader") {
  for (const std::size_t size : {60'000u, 2'000'000u, 8'000'000u}) {
    Stores s(3, 8);
    s.load(text(size, 8));
    s.play("0 start start start");
    s.play("2000 put=a");
    const unsigned old = *s.leader();
    for (unsigned i = 0; i < 3; ++i) s.limit(i, kTwoMbits, 0);
    const auto bytes = [&] { return s.bytesTo(0) + s.bytesTo(1) + s.bytesTo(2); };
    auto before = bytes();
    const double asked = s.now();
    CHECK(s.put("b"));
    MESSAGE(size << " bytes: a change is acknowledged after " << s.now() - asked << " ms with "
                 << bytes() - before << " bytes in all");
    CHECK(bytes() - before < 3000);
    CHECK(s.now() - asked < 150);
    before = bytes();
    s.end(old);
    s.run(290);
    REQUIRE(s.leader());
    CHECK(*s.leader() != old);
    CHECK(bytes() - before < 10'000);
    CHECK(s.put("c"));
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

TEST_CASE("restarted three times during 400 changes, a member catches up each time") {
  for (const std::size_t size : {20u, 60'000u, 300'000u}) {
    CAPTURE(size);
    Stores s(3, 13);
    s.load(text(size, 13));
    for (unsigned i = 0; i < 3; ++i) s.limit(i, kHundredMbits, 0);  // in order, as pieces need
    s.play("0 start start start");
    s.play("2000 put=a");
    const unsigned leader = *s.leader(), one = (leader + 1) % 3;
    for (int i = 0; i < 400; ++i) {
      CHECK(s.put("c" + std::to_string(i)));
      if (i % 130 == 20) s.act(one, "kill");
      if (i % 130 == 60) s.act(one, "start");
      if (i % 130 == 100) {
        s.run(300);
        CHECK(s.core(one).record().index == s.core(*s.leader()).record().index);
      }
    }
    s.run(500);
    CHECK(s.core(one).record().state == s.core(leader).record().state);
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

// One replica alone, asked by hand.
struct Alone {
  explicit Alone(PersistentState record)
      : core(
            std::move(record), consensus::Timeouts{}, 3, [](void*) { return 0.5; }, nullptr, 0) {}
  // Whether the effects hold a vote for the one that asks, and how many changes were committed.
  static bool voted(const std::vector<consensus::Effect>& effects) {
    for (const auto& effect : effects)
      if (const auto* send = std::get_if<consensus::Send>(&effect))
        if (const auto* say = std::get_if<rpc::VoteResponse>(&send->message))
          return say->granted && !say->preVote;
    return false;
  }
  static bool committed(const std::vector<consensus::Effect>& effects) {
    return std::any_of(effects.begin(), effects.end(),
                       [](const auto& e) { return std::holds_alternative<consensus::Committed>(e); });
  }
  Core core;
};

PersistentState three(Id self) {
  PersistentState out;
  out.self = self;
  out.members = {{1, "a"}, {2, "b"}, {3, "c"}};
  return out;
}

TEST_CASE("one vote a term: not a second one for another candidate, also not after a restart") {
  Alone voter(three(3));
  CHECK(Alone::voted(voter.core.receive(rpc::VoteRequest{5, 1, 0, 0, false}, 2000)));
  CHECK_FALSE(Alone::voted(voter.core.receive(rpc::VoteRequest{5, 2, 0, 0, false}, 2010)));
  CHECK(Alone::voted(voter.core.receive(rpc::VoteRequest{5, 1, 0, 0, false}, 2020)));  // told once more
  Alone again(voter.core.record());
  CHECK_FALSE(Alone::voted(again.core.receive(rpc::VoteRequest{5, 2, 0, 0, false}, 2000)));
  CHECK_FALSE(Alone::voted(again.core.receive(rpc::VoteRequest{4, 2, 0, 0, false}, 2010)));
  CHECK(Alone::voted(again.core.receive(rpc::VoteRequest{6, 2, 0, 0, false}, 2020)));
}

TEST_CASE(
    "of two that try for leadership at once and know as much, the higher id goes on, and more knowledge "
    "wins") {
  const auto preVoteGranted = [](Core& core, rpc::VoteRequest ask) {
    for (const auto& effect : core.receive(ask, 400))
      if (const auto* send = std::get_if<consensus::Send>(&effect))
        if (const auto* say = std::get_if<rpc::VoteResponse>(&send->message)) return say->granted;
    return false;
  };
  const auto trying = [](PersistentState record) {
    Alone out(std::move(record));
    out.core.reached(300);
    out.core.tick(390);
    return out;
  };
  Alone low = trying(three(2)), high = trying(three(3));
  CHECK(preVoteGranted(low.core, {1, 3, 0, 0, true}));
  CHECK_FALSE(preVoteGranted(high.core, {1, 2, 0, 0, true}));
  PersistentState older = three(3);
  older.lastTerm = 0, older.index = 0;
  Alone old = trying(older);
  CHECK(preVoteGranted(old.core, {1, 2, 1, 4, true}));  // a lower id that knows more
  Alone still(three(3));
  CHECK(preVoteGranted(still.core, {1, 2, 0, 0, true}));  // who does not try itself has no reason to refuse
}

TEST_CASE("a follower takes no entry of another term for committed, whatever the leader's number is") {
  PersistentState record = three(3);
  record.term = 1, record.lastTerm = 1, record.index = 7, record.state = "never committed";
  Alone follower(record);
  // The leader's own sixth is committed by others, and has not come here yet.
  follower.core.receive(rpc::AppendRequest{2, 1, 1, 2, 6, 6, false, {}, {}, {}}, 1000);
  CHECK(follower.core.committed() == 0);
  follower.core.receive(rpc::AppendRequest{2, 1, 2, 2, 6, 6, true, record.members, {}, "committed"}, 1010);
  CHECK(follower.core.committed() == 6);
  CHECK(follower.core.record().state == "committed");
  follower.core.receive(rpc::AppendRequest{2, 1, 3, 2, 8, 7, false, {}, {}, {}}, 1020);
  CHECK(follower.core.committed() == 6);  // what it holds, no more
}

TEST_CASE("a patch is taken only on its base and with its hash, else the whole state comes") {
  PersistentState record = three(3);
  record.term = record.lastTerm = 1, record.index = 4, record.state = text(5000, 1);
  const std::string after = record.state + "more", patch = consensus::makePatch(record.state, after);
  rpc::AppendRequest good{1, 1, 1, 1, 5, 4, false, record.members, {}, patch};
  good.patch = true, good.baseTerm = 1, good.baseIndex = 4, good.hash = consensus::hashOf(after);
  const auto takes = [&](const rpc::AppendRequest& message) {
    Alone follower(record);
    follower.core.receive(message, 1000);
    CHECK((follower.core.record().index == 4 || follower.core.record().state == after));
    return follower.core.record().index == 5;
  };
  CHECK(takes(good));
  rpc::AppendRequest bad = good;
  bad.baseIndex = 3;
  CHECK_FALSE(takes(bad));
  bad = good, bad.baseTerm = 2;
  CHECK_FALSE(takes(bad));
  bad = good, ++bad.hash;
  CHECK_FALSE(takes(bad));
  bad = good, bad.state.back() ^= 1;
  CHECK_FALSE(takes(bad));
  bad = good, bad.baseTerm = bad.baseIndex = 0;  // a patch of nothing is no state
  CHECK_FALSE(takes(bad));
  bad = good, bad.state = after, bad.whole = true, bad.patch = false;
  CHECK(takes(bad));
}

TEST_CASE(
    "pieces are put together in order, from the beginning where they are of another entry, and checked") {
  PersistentState record = three(3);
  record.term = 1;
  const std::string state = text(50'000, 2);
  const auto piece = [&](std::uint64_t index, std::size_t offset, std::size_t size) {
    rpc::StatePiece m;
    m.term = m.lastTerm = 1, m.from = 1, m.round = 1, m.index = index, m.members = record.members;
    m.hash = consensus::hashOf(state), m.size = state.size(), m.offset = offset;
    m.data = state.substr(offset, size);
    return m;
  };
  Alone follower(record);
  const auto held = [&](const rpc::StatePiece& m) -> std::uint64_t {
    for (const auto& effect : follower.core.receive(m, 1000))
      if (const auto* send = std::get_if<consensus::Send>(&effect)) {
        if (const auto* say = std::get_if<rpc::StatePieceResponse>(&send->message))
          return say->refused ? 1 : say->held;
        if (const auto* say = std::get_if<rpc::AppendResponse>(&send->message)) return 1'000'000 + say->index;
      }
    return 0;
  };
  CHECK(held(piece(7, 0, 20'000)) == 20'000);
  CHECK(held(piece(7, 0, 20'000)) == 20'000);     // once more
  CHECK(held(piece(7, 30'000, 9000)) == 20'000);  // one is missing
  CHECK(held(piece(8, 20'000, 9000)) == 0);       // of another entry
  CHECK(held(piece(8, 0, 20'000)) == 20'000);
  rpc::StatePiece spoilt = piece(8, 20'000, 30'000);
  spoilt.data[5] ^= 1;
  CHECK(held(spoilt) == 1);
  CHECK(follower.core.record().index == 0);
  CHECK(held(piece(8, 0, 20'000)) == 20'000);
  CHECK(held(piece(8, 20'000, 30'000)) == 1'000'008);
  CHECK(follower.core.record().state == state);
  CHECK(held(piece(7, 0, 20'000)) == 1'000'008);  // an older entry: it holds a newer one
  rpc::StatePiece huge = piece(9, 0, 100);
  huge.size = consensus::kMostStateBytes + 1;
  CHECK(held(huge) == 1);
}

TEST_CASE("states that others hold are kept up to a bound, the newest always") {
  consensus::History history;
  const auto state = [](std::size_t bytes) { return std::make_shared<const std::string>(bytes, 'x'); };
  history.remember({1, 1}, state(100), {});
  history.remember({1, 2}, state(100), {{1, 1}});
  CHECK(history.find({1, 1}));
  history.remember({1, 3}, state(100), {{1, 1}});
  CHECK(history.find({1, 1}));
  CHECK_FALSE(history.find({1, 2}));  // nobody holds it
  history.remember({1, 4}, state(consensus::kMostHistoryBytes - 100), {{1, 1}, {1, 3}});
  CHECK_FALSE(history.find({1, 1}));
  CHECK(history.find({1, 3}));
  history.remember({2, 5}, state(consensus::kMostHistoryBytes + 1), {{1, 3}, {1, 4}});
  CHECK_FALSE(history.find({1, 4}));
  CHECK(history.find({2, 5}));
}

TEST_CASE("a handed over election is for the one term after, and only then by who hears a leader") {
  PersistentState record = three(3);
  record.term = 4;
  Alone voter(record);
  voter.core.receive(rpc::AppendRequest{4, 1, 1, 0, 0, 0, false, {}, {}, {}}, 1000);
  CHECK_FALSE(Alone::voted(voter.core.receive(rpc::VoteRequest{5, 2, 0, 0, false, false}, 1010)));
  CHECK_FALSE(Alone::voted(voter.core.receive(rpc::VoteRequest{6, 2, 0, 0, false, true}, 1010)));
  CHECK(voter.core.record().term == 4);
  CHECK(Alone::voted(voter.core.receive(rpc::VoteRequest{5, 2, 0, 0, false, true}, 1020)));
  CHECK_FALSE(Alone::voted(voter.core.receive(rpc::VoteRequest{5, 1, 0, 0, false, true}, 1030)));
  // The one that was told stands only if it is of that term and holds what the leader held.
  const auto stands = [](Core& core, const rpc::TimeoutNow& message) {
    const auto term = core.record().term;
    core.receive(message, 1100);
    return core.record().term == term + 1 && core.record().votedFor == core.record().self;
  };
  Alone told(record);
  CHECK_FALSE(stands(told.core, {3, 1, 0, 0}));
  CHECK_FALSE(stands(told.core, {5, 1, 0, 0}));
  CHECK_FALSE(stands(told.core, {4, 1, 4, 9}));
  CHECK(stands(told.core, {4, 1, 0, 0}));
  CHECK_FALSE(stands(told.core, {4, 1, 0, 0}));  // once
}

// Makes replica 1 lead its two fellows; the time at which it does.
double lead(Core& core) {
  std::vector<consensus::Effect> out;
  double now = 0;
  while (core.record().term == 0) {
    out = core.tick(now += 50);
    core.receive(rpc::VoteResponse{core.record().term + 1, 2, true, true}, now);
  }
  core.receive(rpc::VoteResponse{core.record().term, 2, false, true}, now);
  core.receive(rpc::AppendResponse{core.record().term, 2, 1, core.record().lastTerm, core.record().index},
               now);
  REQUIRE(core.leads());
  return now;
}

TEST_CASE("a leader whose disk stood for less than an election's time judges by the answers that wait") {
  const auto answer = [](Core& core, std::uint64_t round, double now) {
    core.receive(
        rpc::AppendResponse{core.record().term, 2, round, core.record().lastTerm, core.record().index}, now);
  };
  for (const double pause : {450.0, 650.0, 800.0}) {
    CAPTURE(pause);
    Alone leader(three(1));
    Core& core = leader.core;
    double now = lead(core);
    const auto untilARound = [&] {
      for (const auto next = core.nextRound(); core.nextRound() == next;) core.tick(now += 50);
    };
    for (int i = 0; i < 5; ++i) {
      untilARound();
      answer(core, core.nextRound() - 1, now);
    }
    untilARound();  // 200 ms after the one before; not answered yet
    for (int i = 0; i < 3; ++i) core.tick(now += 50);
    const std::uint64_t waiting = core.nextRound() - 1;
    now += pause;
    core.tick(now);
    CHECK_FALSE(core.leads(now));  // it says nothing meanwhile
    answer(core, waiting, now + 1);
    core.tick(now + 50);
    CHECK(core.leads(now + 50) == (pause < 600));
    CHECK(core.leads() == (pause < 600));
  }
}

TEST_CASE(
    "while members change, what the new ones hold without a majority of the old ones is not committed") {
  Alone leader(three(1));
  Core& core = leader.core;
  const double now = lead(core) + 500;
  // Replica 4 stands where 3 has lost its disk.
  core.join({4, "c"}, now);
  const auto holdsAll = [&](Id by, std::uint64_t round) {
    core.receive(
        rpc::AppendResponse{core.record().term, by, round, core.record().lastTerm, core.record().index},
        now + 300);
  };
  core.tick(now);
  holdsAll(2, 2);
  core.tick(now + 300);
  REQUIRE(core.record().former.empty());  // it is silent
  holdsAll(4, 2);
  REQUIRE(core.record().former.size() == 3);
  REQUIRE(core.record().members[2].id == 4);
  const auto held = [&](Id by) {
    return core.receive(
        rpc::AppendResponse{core.record().term, by, 4, core.record().lastTerm, core.record().index},
        now + 310);
  };
  CHECK_FALSE(Alone::committed(held(4)));  // 1 and 4: of the old members there is one alone
  CHECK(core.record().former.size() == 3);
  CHECK(Alone::committed(held(2)));
}

// Kills, freezes, cuts both ways, slow disks and wipes, never more wiped at once than may be lost; each
// failure says its seed.
TEST_CASE("random plays: nothing acknowledged is lost, no two leaders of a term") {
  for (unsigned seed = 1; seed <= 160; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Stores s(3, seed);
    if (seed > 120) s.load(text(seed % 2 ? 5000 : 150'000, seed));  // as patches and in pieces
    s.play("0 start start start");
    int wiped = -1;
    for (int turn = 0; turn < 40; ++turn) {
      const unsigned i = random() % 3;
      switch (random() % 9) {
        case 0:
          s.act(i, "kill");
          break;
        case 1:
        case 2:
          if (!s.up(i)) s.act(i, "start");
          break;
        case 3:
          s.act(i, "freeze");
          break;
        case 4:
          s.act(i, "thaw");
          break;
        case 5:
          s.act(i, random() % 2 ? "mute" : "deaf");
          break;
        case 6:
          s.act(i, "heal");
          break;
        case 7:
          s.act(i, random() % 3 ? "slow=0" : "slow=300");
          break;
        case 8:
          // The one before must be whole again.
          if (wiped >= 0 && !(s.up(wiped) && s.core(wiped).member() && s.leader())) break;
          if (wiped >= 0 && !s.everythingAcknowledgedIsHeld()) break;
          if (wiped < 0 || s.core(wiped).record().index == s.core(*s.leader()).record().index)
            s.act(i, random() % 2 ? "wipe" : "renew"), wiped = static_cast<int>(i);
          break;
      }
      s.put("v" + std::to_string(turn), 100 + random() % 900);
    }
    for (unsigned i = 0; i < 3; ++i) {
      s.act(i, "heal");
      s.act(i, "thaw");
      s.act(i, "slow=0");
      if (!s.up(i)) s.act(i, "start");
    }
    s.run(8000);
    CHECK(s.put("last"));
    CHECK(s.everythingAcknowledgedIsHeld());
  }
}

// Five members and two spares: kills, restarts, SIGTERM with a handover, resets, freezes, cuts and
// replacements, hundreds of changes; at most two are away at a time.
TEST_CASE("random plays of five with spares, handovers and replacements") {
  for (unsigned seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Stores s(5, seed, 5, 2);
    if (seed % 3 == 0) s.load(text(20'000, seed));
    for (unsigned i = 0; i < 7; ++i) s.act(i, "start");
    s.run(3000);
    for (int turn = 0; turn < 60; ++turn) {
      std::vector<unsigned> away;
      for (int n = 0; n < 2; ++n) {
        const unsigned i = random() % 7;
        away.push_back(i);
        switch (random() % 6) {
          case 0:
            s.act(i, "kill");
            break;
          case 1:
            if (s.up(i)) s.end(i);
            break;
          case 2:
            s.act(i, "freeze");
            break;
          case 3:
            s.act(i, random() % 2 ? "mute" : "deaf");
            break;
          case 4:
            s.reset(i);
            break;
          case 5:
            s.act(i, "slow=150");
            break;
        }
      }
      const double until = s.now() + 200 + random() % 3500;
      for (int n = 0; s.now() < until; ++n) {
        s.put("v" + std::to_string(turn) + "." + std::to_string(n), until - s.now());
        if (n % 4 == 3) s.run(400);
      }
      for (const unsigned i : away) {
        s.act(i, "heal");
        s.act(i, "thaw");
        s.act(i, "slow=0");
        if (!s.up(i)) s.act(i, "start");
      }
      s.run(500);
    }
    s.run(5000);
    CHECK(s.put("last"));
    CHECK(s.everythingAcknowledgedIsHeld());
    CHECK(s.core(*s.leader()).record().members.size() == 5);
  }
}

}  // namespace
}  // namespace burlwind::timeline
