// Who there is, and who is tried next: the control machines, the registry of a proxy's session, the ceiling
// of proxies, and what a registry may reckon from the proxies that it knows.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

#include "config_store/ledger.hpp"
#include "proxy/session_core.hpp"
#include "registry/control_membership.hpp"
#include "registry/proxy_ceiling.hpp"
#include "registry/registry.hpp"
#include "registry/usage_recovery.hpp"

namespace burlwind {
namespace {

using proxy::RegistrySelector;
using registry::ControlMembership;
using registry::ProxiesByZone;
using registry::ProxyCeiling;

std::string ip(unsigned machine) { return "10.0.0." + std::to_string(machine); }
rpc::Core core(unsigned machine, const std::string& zone) { return {ip(machine), zone, "r"}; }

// --- The choice of a registry ---
TEST_CASE(
    "From any set of registries that are gone, cut off or slow a living one is tried within their number") {
  for (unsigned gone : {0U, 1U, 3U, 4U, 12U, 20U})
    for (unsigned seed = 1; seed <= 20; ++seed) {
      CAPTURE(gone);
      CAPTURE(seed);
      RegistrySelector selector({"z", "r"}, seed);
      std::vector<rpc::Core> listed;
      for (unsigned i = 0; i < gone; ++i) listed.push_back(core(i, "z"));
      listed.push_back(core(100, "far"));
      selector.setListed(1, listed, 0);
      double now = 0;
      unsigned tries = 0;
      for (std::string next; next != ip(100); ++tries, now += 450) {
        next = selector.next({}, now);
        if (next != ip(100)) selector.failed(next, now + 400);
      }
      CHECK(tries <= gone + 1);
    }
}

TEST_CASE("One that becomes known in the middle of a search is not tried ahead of its turn") {
  RegistrySelector selector({"z", "r"}, 1);
  selector.setListed(1, {core(1, "z"), core(2, "z")}, 0);
  for (int i = 0; i < 10; ++i) selector.failed(selector.next({}, 0), 0);
  selector.mention(core(3, "z"), 1);
  std::set<std::string> tried;
  for (int i = 0; i < 3; ++i) tried.insert(selector.next({}, 1));
  CHECK(tried.size() == 3);
}

TEST_CASE("The near ones first, listed ones before seeds, seeds before former ones") {
  RegistrySelector selector({"z", "r"}, 1);
  selector.setListed(1, {core(1, "z"), core(2, "y")}, 0);
  selector.setListed(2, {core(2, "y"), core(3, "z")}, 0);  // 1 is a former one
  selector.setSeeds({ip(4)}, 0);
  std::vector<std::string> order;
  for (int i = 0; i < 4; ++i) order.push_back(selector.next({}, 0));
  CHECK(order == std::vector<std::string>{ip(3), ip(2), ip(4), ip(1)});
  selector.setListed(1, {core(1, "z")}, 0);  // an older list
  CHECK(selector.isListed(ip(3)));
}

TEST_CASE("What is no longer listed is forgotten but for the latest few") {
  RegistrySelector selector({"z", "r"}, 1);
  for (unsigned i = 1; i <= 200; ++i) selector.setListed(i, {core(i, "z"), core(1000, "y")}, i);
  CHECK(selector.size() <= 2 + proxy::kMostFormer);
  for (unsigned i = 1; i <= 500; ++i) selector.mention({"10.1.0." + std::to_string(i), "z", "r"}, 0);
  CHECK(selector.size() <= proxy::kMostCandidates);
}

// A proxy's sessions with registries of which one answers. Time until it is in touch.
struct Search {
  enum class Kind { gone, silent, living };
  explicit Search(std::vector<Kind> all) : registries(std::move(all)) {
    std::vector<std::string> seeds;
    for (unsigned i = 0; i < registries.size(); ++i) seeds.push_back(ip(i));
    sessions.setSeeds(seeds, 0);
  }
  // ms until a session is good; -1: none within the limit.
  double run(double limit) {
    for (double now = 0; now <= limit; now += 10) {
      if (std::fmod(now, 100) < 10) carry(sessions.tick(now), now);
      for (const auto& id : std::exchange(due, {})) answer(id, now);
      if (sessions.inTouch(now)) return now;
    }
    return -1;
  }
  void carry(const proxy::SessionEffects& effects, double now) {
    for (const auto& effect : effects) {
      if (const auto* open = std::get_if<proxy::OpenSession>(&effect)) opened(*open, now);
      if (const auto* status = std::get_if<proxy::SendStatus>(&effect)) statuses[status->id] = status->number;
      if (const auto* closed = std::get_if<proxy::CloseSession>(&effect)) kinds.erase(closed->id);
    }
    most = std::max(most, kinds.size());
  }
  void opened(const proxy::OpenSession& open, double now) {
    const auto kind = registries.at(static_cast<std::size_t>(std::stoul(open.ip.substr(7))));
    kinds[open.id] = kind;
    if (kind == Kind::gone) return;
    carry(sessions.linked(open.id, now), now);
    if (kind == Kind::living) due.push_back(open.id);
  }
  void answer(proxy::SessionId id, double now) {
    rpc::Workers workers;
    workers.term = workers.number = 1, workers.whole = true;
    rpc::ConfigUpdate update;
    update.term = update.index = 1, update.configuration = "c";
    carry(sessions.arrived(id, workers, now), now);
    carry(sessions.arrived(id, update, now), now);
    carry(sessions.arrived(id, rpc::Heartbeat{true, 0, statuses[id]}, now), now);
  }
  const std::vector<Kind> registries;
  proxy::SessionCore sessions{{"z", "r"}, 7};
  std::map<proxy::SessionId, Kind> kinds;  // open
  std::map<proxy::SessionId, std::uint64_t> statuses;
  std::vector<proxy::SessionId> due;
  std::size_t most = 0;
};

TEST_CASE("A proxy is in touch again within a pause for each registry that is gone or says nothing") {
  using Kind = Search::Kind;
  for (const Kind others : {Kind::gone, Kind::silent})
    for (unsigned n : {0U, 1U, 3U, 4U, 12U}) {
      std::vector<Kind> kinds(n, others);
      kinds.push_back(Kind::living);
      Search search(kinds);
      CAPTURE(n);
      const double took = search.run(60000);
      REQUIRE(took >= 0);
      CHECK(took <= (n + 1) * (proxy::kTrialPause + 50) + 100);  // decided at ticks of 100 ms
      CHECK(search.most <= proxy::kMostTrials);
    }
}

// --- Which control machines there are ---
TEST_CASE("A control machine that was replaced is forgotten, by links too, once that is surely known") {
  ControlMembership membership(core(1, "a"));
  membership.setSeeds({ip(1), ip(2), ip(3)});
  membership.agree(1, {ip(1), ip(2), ip(3)});
  membership.linked(core(2, "b"));
  membership.linked(core(3, "c"));
  CHECK(membership.complete());
  CHECK(membership.wanted(true, 0).size() == 3);
  double now = 0;
  // All but this one are replaced, one by one, and then again.
  unsigned machine = 4;
  for (std::uint64_t index = 2; index < 26; ++index, ++machine) {
    membership.agree(index, {ip(1), ip(machine - 1), ip(machine)});
    membership.unlinked(ip(machine - 2));
    membership.linked(core(machine, "z"));
    now += 10000;
    membership.wanted(true, now);
    CHECK(membership.wanted(true, now + 1).size() <= 3);
    CHECK(membership.listed().size() <= 3);
  }
  membership.agree(3, {ip(9)});  // old
  CHECK(membership.version() == 25);
}

TEST_CASE("A registry that isn't confirmed forgets nobody and asks the seeds of its settings") {
  ControlMembership membership(core(1, "a"));
  membership.agree(5, {ip(1), ip(2)});
  membership.linked(core(7, "a"));
  membership.wanted(true, 0);
  membership.unlinked(ip(7));
  membership.setSeeds({ip(8)});
  CHECK(membership.wanted(false, 60000) == std::set<std::string>{ip(1), ip(2), ip(7), ip(8)});
  CHECK(membership.wanted(true, 64000).contains(ip(7)));  // not for long enough
  CHECK(membership.wanted(true, 66000) == std::set<std::string>{ip(1), ip(2)});
}

// --- How many proxies there may be ---
TEST_CASE("The ceiling of proxies rises at once and falls only after the last part under it has run out") {
  ProxyCeiling ceiling(0);
  const ProxiesByZone agreed{{"a", 5}, {"b", 6}};
  ceiling.observe({{"a", 6}}, true, 0);
  REQUIRE(ceiling.raise(agreed, 0));
  CHECK_FALSE(ceiling.raise(agreed, 100));  // under way
  CHECK(*ceiling.raise(agreed, 1000) == ProxiesByZone{{"a", 6}, {"b", 6}});
  const ProxiesByZone now{{"a", 6}, {"b", 6}};
  double at = 0;
  for (; at < registry::kSeenFor; at += 100) {
    ceiling.observe({{"a", 4}, {"b", 6}}, true, at);
    CHECK_FALSE(ceiling.lower(now, at));
  }
  ceiling.observe({{"a", 4}, {"b", 6}}, true, at);
  CHECK_FALSE(ceiling.lower(now, at + 600));  // of the first span the six of the beginning count
  at += registry::kSeenFor;
  ceiling.observe({{"a", 4}, {"b", 6}}, true, at);
  CHECK(*ceiling.lower(now, at + 1200) == ProxiesByZone{{"a", 4}, {"b", 6}});
}

TEST_CASE("A registry that misses another voter's can't say how few proxies there are") {
  ProxyCeiling ceiling(0);
  const ProxiesByZone agreed{{"a", 59}};
  for (double at = 0; at < 3 * registry::kSeenFor; at += 1000) {
    const bool complete = std::fmod(at, 100000) > 0;
    ceiling.observe({{"a", 1}}, complete, at);
    CHECK_FALSE(ceiling.lower(agreed, at));
    CHECK_FALSE(ceiling.raise(agreed, at));
  }
}

TEST_CASE(
    "What registries order of the ceiling is agreed on: raised by the larger, lowered from what was "
    "expected") {
  config_store::State state;
  const auto order = [&](const char* what, const auto& body) {
    rpc::CommandRequest request;
    request.what = what, request.body = rpc::packed(body);
    return config_store::apply(state, request, 1);
  };
  CHECK(order(rpc::kRaiseCeiling, rpc::RaiseCeiling{{{"a", 3}, {"b", 2}}}).changes);
  CHECK_FALSE(order(rpc::kRaiseCeiling, rpc::RaiseCeiling{{{"a", 1}, {"c", 0}}}).changes);
  CHECK(order(rpc::kRaiseCeiling, rpc::RaiseCeiling{{{"b", 4}}}).changes);
  CHECK(state.proxies == ProxiesByZone{{"a", 3}, {"b", 4}});
  // Lowered by one that had not heard of the last rise.
  CHECK(order(rpc::kLowerCeiling, rpc::LowerCeiling{{{"a", 3}, {"b", 2}}, {{"a", 1}}}).status == 412);
  CHECK(order(rpc::kLowerCeiling, rpc::LowerCeiling{state.proxies, {{"a", 9}, {"b", 1}}}).changes);
  CHECK(state.proxies == ProxiesByZone{{"a", 3}, {"b", 1}});
  rpc::CommandRequest broken;
  broken.what = rpc::kRaiseCeiling, broken.body = "no map";
  CHECK(config_store::apply(state, broken, 1).status == 400);
  config_store::State again;
  REQUIRE(config_store::unpack(config_store::pack(state), again));
  CHECK(again.proxies == state.proxies);
}

// --- What may be reckoned from the proxies that are known ---
struct Seats {
  // `idle`: since its last admission, as its last Status told `told` ms ago.
  void seat(const char* name, double age, double idle, double now, bool ownPart = false) {
    rpc::ProxySession s;
    s.name = name, s.zone = "a1", s.incarnation = 1, s.age = age, s.idle = idle, s.ownPart = ownPart;
    s.place(now);
    registry.registerSession(s, now);
  }
  registry::Registry registry{"10.0.0.1", {{"a1", "A"}}};
};

TEST_CASE("A span without admissions is measured by all that there may be, up to their last word") {
  Seats seats;
  CHECK(seats.registry.allIdle(0, 10000) == 0);
  seats.seat("one", 60000, 900, 10000);
  seats.seat("two", 60000, 600, 9900);  // last at 9300, nothing known since 9900
  CHECK(seats.registry.allIdle(2, 10000) == 600);
  CHECK(seats.registry.allIdle(2, 9500) == 200);
  CHECK(seats.registry.allIdle(3, 10000) == 0);  // one is not known here: it may let in what it likes
  seats.seat("one", 61000, 0, 11000);            // and goes on: the span is over, not remembered
  CHECK(seats.registry.allIdle(2, 11000) == 0);
}

TEST_CASE("A restart of all is one only where all are seated, young, and have no grant from before") {
  Seats seats;
  seats.seat("one", 900, 900, 10000);
  CHECK_FALSE(seats.registry.allRestarted(2, 5000, 10000));
  seats.seat("two", 600, 600, 10000);
  CHECK(seats.registry.allRestarted(2, 5000, 10000));
  CHECK_FALSE(seats.registry.allRestarted(0, 5000, 10000));
  rpc::ProxySession granted;
  granted.name = "two", granted.zone = "a1", granted.incarnation = 1, granted.age = 700,
  granted.hasGrants = true;
  granted.granted = 50;  // by the holder that took the duties at 10000
  granted.place(10100);
  seats.registry.registerSession(granted, 10100);
  CHECK(seats.registry.allRestarted(2, 5000, 10000));
  granted.granted = 150;  // by one before
  granted.place(10100);
  seats.registry.registerSession(granted, 10100);
  CHECK_FALSE(seats.registry.allRestarted(2, 5000, 10000));
}

TEST_CASE("Who spends its own part, or was not heard for a while, doesn't draw on the holder") {
  Seats seats;
  seats.seat("one", 1000, 0, 1000);
  seats.seat("two", 1000, 0, 1000, true);
  CHECK(seats.registry.drawing(1100) == 1);
  CHECK(seats.registry.drawing(1000 + registry::kReportTimeout) == 0);
  rpc::Sessions told{true, {}};
  rpc::ProxySession three;
  three.name = "three", three.zone = "a1", three.incarnation = 1;
  told.sessions.push_back(three);
  CHECK(seats.registry.observeSessions("10.0.0.2", told, 1500));
  CHECK(seats.registry.drawing(1600) == 2);
  seats.registry.peerLost("10.0.0.2", 1700);
  CHECK(seats.registry.drawing(1700) == 1);
  // It knows of no list that hasn't changed since: a whole one is needed.
  CHECK_FALSE(seats.registry.observeSessions("10.0.0.2", rpc::Sessions{false, {}}, 1800));
}

TEST_CASE("Levels are recovered only from all proxies, each with a memory of a whole filling") {
  registry::UsageRecovery recovery;
  recovery.begin(7, 0);
  const auto report = [](const char* proxy, std::uint64_t incarnation, double covered, double used) {
    return rpc::UsageReport{7, proxy, incarnation, covered, {{"t", used}}};
  };
  recovery.take(report("one", 1, 60000, 30), 10);
  CHECK_FALSE(recovery.complete(2, 10));
  rpc::UsageReport old = report("two", 1, 60000, 0);
  old.epoch = 6;
  recovery.take(old, 10);
  CHECK_FALSE(recovery.complete(2, 10));
  recovery.take(report("two", 1, 1500, 20), 20);
  CHECK(recovery.answeredLately(30) == 2);
  CHECK(recovery.complete(2, 20));
  CHECK_FALSE(recovery.complete(2, 20));  // once
  CHECK(recovery.leastLevel("t", {100, 100}) == 50);
  CHECK(recovery.leastLevel("other", {100, 100}) == 100);
  CHECK_FALSE(recovery.leastLevel("t", {50, 100}));  // fills in 2 s, of which one knows but 1.5
}

TEST_CASE("A proxy that has begun anew while it was asked, or answers too late, gives no level") {
  registry::UsageRecovery recovery;
  recovery.begin(7, 0);
  recovery.take({7, "one", 1, 60000, {{"t", 90}}}, 10);
  recovery.take({7, "one", 2, 60000, {}}, 20);
  CHECK(recovery.complete(1, 20));
  CHECK_FALSE(recovery.leastLevel("t", {100, 100}));
  recovery.begin(8, 100);
  recovery.take({8, "one", 2, 60000, {}}, 100 + registry::kUsageWithin + 1);
  CHECK_FALSE(recovery.complete(1, 100 + registry::kUsageWithin + 1));
  CHECK(recovery.expired(100 + registry::kUsageWithin + 1) == 0);
}

}  // namespace
}  // namespace burlwind
