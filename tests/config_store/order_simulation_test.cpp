// Operators against stores and registries in virtual time: runs from seeds, and the worst moments played by
// hand. Nothing sleeps.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "order_simulation/cluster.hpp"
#include "order_simulation/simulation.hpp"

namespace burlwind::order_simulation {
namespace {

constexpr int kNoAnswer = 0;

std::string configuration(unsigned version, unsigned parent, const std::string& host = "a") {
  return R"({"generation":"r)" + std::to_string(version) + R"(","routes":[{"name":"one","hostname":")" +
         host +
         R"(","pathPrefix":"/","kind":"safe","timeout":"3s","target":"1s","priority":0,"tries":1,"backend":"x"}],)" +
         R"("backends":[{"name":"x","healthPath":"/h","maxConns":10,"coldFor":"0ms","coldRateS":0}],)" +
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerRead":"3s","idle":"15s"},)" +
         R"("parentVersion":"r)" + std::to_string(parent) + "\"}";
}

class Site {
 public:
  explicit Site(std::uint64_t seed = 1) : cluster(3, seed) {
    cluster.run(3000);
    REQUIRE(cluster.leader());
    leader = *cluster.leader();
  }
  using Answer = std::shared_ptr<CallAnswer>;  // status 0 until it comes
  Answer call(unsigned registry, const std::string& what, const std::string& body) {
    auto answer = std::make_shared<CallAnswer>();
    cluster.registries[registry]->process.deliver([=, this] {
      cluster.registries[registry]->call(what, body, [answer](const CallAnswer& a) { *answer = a; });
    });
    return answer;
  }
  int order(unsigned registry, const std::string& what, const std::string& body) {
    const Answer answer = call(registry, what, body);
    cluster.run(3500);
    return answer->status;
  }
  unsigned other(unsigned step = 1) const { return (leader + step) % cluster.size(); }
  void cutLeader(bool out, bool in) {
    for (const unsigned step : {1U, 2U}) {
      if (out) cluster.network.cut(leader, other(step));
      if (in) cluster.network.cut(other(step), leader);
    }
  }
  config_store::State state() {
    config_store::State out;
    config_store::unpack(cluster.stores[*cluster.leader()]->service()->record().state, out);
    return out;
  }
  const consensus::PersistentState& record() {
    return cluster.stores[*cluster.leader()]->service()->record();
  }
  Cluster cluster;
  unsigned leader = 0;  // at the beginning
};

TEST_CASE("200 runs of operators under faults: what their history says holds") {
  std::size_t acknowledged = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    if (seed % 4 == 0) options.focus = Focus::wakes;
    const SimulationReport report = simulate(options);
    CAPTURE(seed);
    for (const auto& violation : report.violations) FAIL_CHECK(violation);
    acknowledged += report.acknowledged;
  }
  CHECK(acknowledged > 2000);
}

TEST_CASE("a registry that starts beside a leader that is cut off gets nothing of its state") {
  Site site;
  REQUIRE(site.order(0, "config", configuration(1, 0)) == 200);
  site.cutLeader(true, true);
  site.cluster.registries[site.leader]->kill();
  site.cluster.registries[site.leader]->start();
  std::size_t updates = 0;
  for (int i = 0; i < 60; ++i) {
    site.cluster.run(10);  // within the time in which it still takes itself for the leader
    updates += site.cluster.registries[site.leader]->heldIndex() > 0;
  }
  CHECK(site.cluster.stores[site.leader]->service()->leads());
  CHECK(updates == 0);
}

TEST_CASE("a leader that wakes among a greeting, a read and an order answers none of them wrongly") {
  for (const double span : {600.0, 900.0, 1200.0})
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(span);
      CAPTURE(seed);
      Site site(seed);
      History& history = site.cluster.history;
      const ConfigOrder first{1, 0, configuration(1, 0)};
      const ConfigOrder waiting{2, 1, configuration(2, 1, "waiting")};
      const ConfigOrder meanwhile{3, 1, configuration(3, 1, "meanwhile")};
      for (const ConfigOrder& called : {first, waiting, meanwhile}) history.called(called);
      history.answered(first, site.order(0, "config", first.body));
      site.cluster.stores[site.leader]->process.freeze();
      site.cluster.registries[site.leader]->kill();
      site.cluster.registries[site.leader]->start();
      const auto order = site.call(site.other(1), "config", waiting.body);
      site.cluster.run(span - 100);
      const auto second = site.call(site.other(2), "config", meanwhile.body);
      site.cluster.run(100);
      const auto before = history.confirmed();
      const auto read = site.call(site.other(1), "read", {});
      site.cluster.stores[site.leader]->process.thaw();
      site.cluster.run(5000);
      history.answered(waiting, order->status);
      history.answered(meanwhile, second->status);
      if (read->status == 200)
        history.read(before, config::readConfiguration(read->text).configuration->version, read->text);
      history.finish(site.state(), true);
      for (const auto& violation : history.violations()) FAIL_CHECK(violation);
    }
}

TEST_CASE(
    "an order under way that is lost with its leader is not acknowledged, and refused when sent again") {
  Site site;
  REQUIRE(site.order(0, "config", configuration(1, 0)) == 200);
  site.cutLeader(true, false);
  const auto lost = site.call(site.leader, "config", configuration(2, 1, "lost"));
  site.cluster.run(5000);
  CHECK((lost->status == kNoAnswer || lost->status == 503));
  CHECK(site.order(site.other(), "config", configuration(3, 1)) == 200);
  site.cluster.network.healAll();
  site.cluster.run(3000);
  CHECK(site.order(site.leader, "config", configuration(2, 1, "lost")) == 412);
  CHECK(site.state().version == 3);
}

TEST_CASE("an order under way that its leader never hears of, but the next one holds, is not refused") {
  Site site;
  REQUIRE(site.order(0, "config", configuration(1, 0)) == 200);
  site.cutLeader(false, true);
  const auto order = site.call(site.leader, "config", configuration(2, 1));
  site.cluster.run(5000);
  CHECK((order->status == kNoAnswer || order->status == 503));
  site.cluster.network.healAll();
  site.cluster.run(3000);
  CHECK(site.state().version == 2);
  CHECK(site.order(0, "config", configuration(2, 1)) == 200);
  CHECK(site.order(0, "config", configuration(3, 1)) == 412);
}

TEST_CASE("a finish is lost, the leader killed, and the finish sent again after 5 s: the zone is free") {
  Site site;
  REQUIRE(site.order(0, "evacuate", "z") == 200);
  site.call(site.other(), "return", "z");
  site.cluster.run(40);  // on its way, or just taken
  site.cluster.stores[site.leader]->kill();
  site.cluster.run(5000);
  CHECK(site.order(site.other(), "return", "z") == 200);
  CHECK_FALSE(site.state().evacuated.contains("z"));
  REQUIRE(site.order(site.other(), "evacuate", "z") == 200);
  CHECK(site.state().evacuated.contains("z"));
}

TEST_CASE("what changes nothing makes no entry") {
  Site site;
  REQUIRE(site.order(0, "config", configuration(1, 0)) == 200);
  REQUIRE(site.order(0, "evacuate", "z") == 200);
  const std::uint64_t index = site.record().index;
  CHECK(site.order(0, "config", configuration(1, 0)) == 200);
  CHECK(site.order(1, "config", configuration(2, 0)) == 412);
  CHECK(site.order(2, "config", "{") == 400);
  CHECK(site.order(1, "evacuate", "z") == 200);
  CHECK(site.record().index == index);
}

TEST_CASE("a leader that is cut off does not go on granting the duties to who holds them") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Site site(seed);
    if (!site.cluster.registries[site.leader]->holdsDuties()) continue;
    site.cutLeader(true, true);
    site.cluster.run(900);
    CHECK_FALSE(site.cluster.registries[site.leader]->holdsDuties());
    return;
  }
  FAIL("no seed has leader and holder on one machine");
}

TEST_CASE("a leader that is cut off neither confirms nor refuses") {
  Site site;
  REQUIRE(site.order(0, "config", configuration(1, 0)) == 200);
  site.cutLeader(true, true);
  std::vector<Site::Answer> answers;
  for (const auto& body : {configuration(1, 0), configuration(2, 0), configuration(2, 1), std::string("{")})
    answers.push_back(site.call(site.leader, "config", body));
  answers.push_back(site.call(site.leader, "read", {}));
  site.cluster.run(4000);
  for (const auto& answer : answers) CHECK((answer->status == kNoAnswer || answer->status == 503));
}

}  // namespace
}  // namespace burlwind::order_simulation
