// Who may serve what over a cut of 20 s, with stops and restarts drawn from a seed; see serving_world.hpp for
// what is checked at each step. A failure names its scenario and seed.
#include <doctest/doctest.h>

#include "serving_world.hpp"

namespace burlwind::serving {
namespace {

constexpr double kCutFrom = 6000, kHealAt = 26000, kApply = 2500, kEnd = 32000;
constexpr unsigned kSeeds = 24;

enum class Fault { leader, machine, registryFromStore, oneWayOut, oneWayIn, minorityRestarted, seedsGone };

const std::vector<unsigned> kAllSeeds{0, 1, 2};
const std::vector<unsigned> kMinority{0, 1};

// Machine m with the proxies of its zone.
std::set<unsigned> withProxies(const std::vector<unsigned>& machines) {
  std::set<unsigned> out;
  for (const unsigned m : machines) {
    out.insert({m, World::registryOf(m)});
    for (unsigned p = 0; p < kProxies; ++p)
      if (p % kCores == m) out.insert(World::nodeOfProxy(p));
  }
  return out;
}

class Play {
 public:
  Play(Fault fault, unsigned seed) : world(seed), fault_(fault) {
    for (unsigned i = 0; i < kCores; ++i) world.startStore(i), world.startRegistry(i, kAllSeeds);
    for (unsigned p = 0; p < kProxies; ++p) world.startProxy(p, seedsOf(p));
  }
  void run() {
    runUntil(kCutFrom);
    CHECK(world.everyoneInTouch());
    begin();
    runUntil(kCutFrom + 1000 + kStep);
    checkCutOff();
    if (fault_ == Fault::minorityRestarted) restartMinority();
    runUntil(kHealAt);
    checkCutOff();
    heal();
    const double healed = world.now();
    // What was acknowledged before is everywhere; stops and restarts go on only after that.
    quiet_ = true;
    runUntil(kHealAt + kApply);
    CHECK(world.everyoneHas(healed));
    CHECK(world.everyoneInTouch());
    runUntil(kEnd);
  }
  World world;

 private:
  std::vector<unsigned> seedsOf(unsigned proxy) const {
    // A proxy on the side that is cut off knows that side alone.
    if (fault_ == Fault::minorityRestarted && proxy % kCores < 2) return kMinority;
    return kAllSeeds;
  }
  void runUntil(double until) {
    while (world.now() < until) {
      world.step();
      if (world.now() >= orderAt_) {
        orderAt_ = world.now() + 300 + 600 * world.draw();
        world.order(world.pick(kCores));
      }
      if (!quiet_ && world.now() >= troubleAt_ && world.now() < kHealAt - 6000) trouble();
    }
  }
  void trouble() {
    troubleAt_ = world.now() + 500 + 2500 * world.draw();
    static constexpr double spans[] = {600, 900, 1200, 5000};
    const unsigned node = world.pick(kNodes), proxy = world.pick(kProxies);
    if (world.pick(2) == 0 && world.now() > kCutFrom) {
      world.kill(World::nodeOfProxy(proxy));
      world.startProxy(proxy, seedsOf(proxy));
    } else if (world.now() > kCutFrom && world.up(node)) {
      world.freeze(node, spans[world.pick(4)]);
    }
  }
  void begin() {
    machine_ = world.pick(kCores);
    if (fault_ == Fault::leader && world.leader()) machine_ = *world.leader();
    const auto alone = withProxies({machine_});
    if (fault_ == Fault::leader || fault_ == Fault::machine) world.cutOff(alone, true, true);
    if (fault_ == Fault::oneWayOut) world.cutOff(alone, true, false);
    if (fault_ == Fault::oneWayIn) world.cutOff(alone, false, true);
    if (fault_ == Fault::minorityRestarted) world.cutOff(withProxies(kMinority), true, true);
    if (fault_ == Fault::registryFromStore)
      world.cut(machine_, World::registryOf(machine_)), world.cut(World::registryOf(machine_), machine_);
    if (fault_ == Fault::seedsGone)
      for (const unsigned m : kMinority) world.kill(m), world.kill(World::registryOf(m));
  }
  void restartMinority() {
    for (const unsigned m : kMinority) {
      world.kill(m), world.kill(World::registryOf(m));
      world.startStore(m), world.startRegistry(m, kMinority);
    }
  }
  void heal() {
    for (unsigned a = 0; a < kNodes; ++a)
      for (unsigned b = 0; b < kNodes; ++b) world.cut(a, b, false);
    if (fault_ == Fault::seedsGone)
      for (const unsigned m : kMinority) world.startStore(m), world.startRegistry(m, kAllSeeds);
  }
  // Who is cut off from all other machines does not claim to have the newest state.
  void checkCutOff() {
    const bool whole = fault_ == Fault::leader || fault_ == Fault::machine || fault_ == Fault::oneWayOut ||
                       fault_ == Fault::oneWayIn;
    if (whole) CHECK_FALSE(world.confirmed(machine_));
    if (fault_ == Fault::minorityRestarted)
      for (const unsigned m : kMinority) CHECK_FALSE(world.confirmed(m));
  }
  const Fault fault_;
  unsigned machine_ = 0;
  double orderAt_ = 0, troubleAt_ = 0;
  bool quiet_ = false;
};

void playAll(Fault fault) {
  std::size_t acknowledged = 0, unclear = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Play play(fault, seed);
    play.run();
    for (const auto& line : play.world.faults) FAIL_CHECK(line);
    acknowledged += play.world.acknowledged(), unclear += play.world.noClearAnswer();
  }
  MESSAGE(acknowledged, " orders acknowledged, ", unclear, " without a clear answer");
  CHECK(acknowledged > 25 * kSeeds);
}

TEST_CASE("Serving over a cut of the leader") { playAll(Fault::leader); }
TEST_CASE("Serving over a cut of a registry with its store") { playAll(Fault::machine); }
TEST_CASE("Serving over a cut between a registry and its own store") { playAll(Fault::registryFromStore); }
TEST_CASE("Serving over a machine that is not heard") { playAll(Fault::oneWayOut); }
TEST_CASE("Serving over a machine that hears nobody") { playAll(Fault::oneWayIn); }
TEST_CASE("Serving over a minority that restarts with its own seeds") { playAll(Fault::minorityRestarted); }
TEST_CASE("Serving while all seeds but one are gone") { playAll(Fault::seedsGone); }

}  // namespace
}  // namespace burlwind::serving
