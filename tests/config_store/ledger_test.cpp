// Orders judged against the agreed state: repeats are known whoever leads and however late they come.
#include "config_store/ledger.hpp"

#include <doctest/doctest.h>

#include <string>

namespace burlwind::config_store {
namespace {

std::string configuration(std::uint64_t version, std::uint64_t parent, const std::string& host = "a") {
  return R"({"generation":"r)" + std::to_string(version) + R"(","routes":[{"name":"one","hostname":")" +
         host +
         R"(","pathPrefix":"/","kind":"safe","timeout":"3s","target":"1s","priority":0,"tries":1,"backend":"x"}],)" +
         R"("backends":[{"name":"x","healthPath":"/h","maxConns":10,"coldFor":"0ms","coldRateS":0}],)" +
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerRead":"3s","idle":"15s"},)" +
         R"("parentVersion":"r)" + std::to_string(parent) + "\"}";
}

class Orders {
 public:
  int replace(std::uint64_t version, std::uint64_t parent, const std::string& host = "a") {
    return apply(state, {1, "config", configuration(version, parent, host)}, ++entry).status;
  }
  // Versions climb by two, so that there are numbers that were never taken.
  void replaceMany(unsigned count) {
    for (unsigned i = 0; i < count; ++i) REQUIRE(replace(state.version + 2, state.version) == 200);
  }
  int evacuate(const char* zone, std::uint64_t known) { return zoneOrder("evacuate", zone, known); }
  int finish(const char* zone, std::uint64_t known) { return zoneOrder("return", zone, known); }
  bool evacuated(const char* zone) const { return state.evacuated.contains(zone); }
  // Another process leads, with what was agreed on.
  void changeLeader() {
    State next;
    REQUIRE(unpack(pack(state), next));
    state = next;
  }
  State state;
  std::uint64_t entry = 0;  // the index of the last one

 private:
  int zoneOrder(const char* what, const char* zone, std::uint64_t known) {
    return apply(state, {1, what, zone, true, known}, ++entry).status;
  }
};

TEST_CASE("a configuration that is sent again after 300 others is acknowledged again") {
  Orders orders;
  orders.replaceMany(1);
  REQUIRE(orders.replace(5, 2) == 200);
  orders.replaceMany(300);
  CHECK(orders.replace(5, 2) == 200);
  CHECK(orders.replace(5, 2, "b") == 412);  // another one under its number
  CHECK(orders.replace(6, 2) == 412);       // the one that lost
  CHECK(orders.replace(7, 3) == 412);       // on a version that never was
}

TEST_CASE("after 5,000 others it has no clear answer, and a newer one is still known") {
  Orders orders;
  orders.replaceMany(1);
  REQUIRE(orders.replace(5, 2) == 200);
  orders.replaceMany(5000);
  CHECK(orders.replace(5, 2) == 503);
  CHECK(orders.replace(5, 2, "b") == 503);
  const std::uint64_t oldest = orders.state.taken.front().first;
  CHECK(orders.replace(oldest, orders.state.forgotten) == 200);
  CHECK(orders.replace(oldest + 1, orders.state.forgotten) == 412);
  CHECK(orders.replace(oldest, orders.state.forgotten - 2) == 503);
  CHECK(pack(orders.state).size() < 64 * 1024);
}

TEST_CASE("a state from when 128 were kept leaves older repeats without a clear answer") {
  Orders orders;
  orders.replaceMany(128);
  msgpack::sbuffer bytes;
  const State& s = orders.state;
  msgpack::pack(bytes, std::make_tuple(s.configuration, s.version, s.taken, s.evacuated, s.owner));
  Orders upgraded;
  REQUIRE(unpack({bytes.data(), bytes.size()}, upgraded.state));
  CHECK(upgraded.replace(1, 0) == 503);
  CHECK(upgraded.replace(4, 2) == 200);
  CHECK(upgraded.replace(5, 2) == 412);
}

TEST_CASE("a beginning that is sent again at any time and one finish: the zone is free") {
  Orders orders;
  CHECK(orders.evacuate("z", 0) == 200);
  CHECK(orders.evacuate("z", 0) == 200);  // 2.6 s later was enough for a second evacuation once
  orders.changeLeader();
  CHECK(orders.evacuate("z", 1) == 200);
  CHECK(orders.finish("z", 3) == 200);
  CHECK_FALSE(orders.evacuated("z"));
}

TEST_CASE("a finish that is sent again to the next leader ends no other evacuation") {
  Orders orders;
  CHECK(orders.evacuate("y", 0) == 200);
  CHECK(orders.evacuate("z", 1) == 200);
  CHECK(orders.finish("z", 2) == 200);
  orders.changeLeader();
  CHECK(orders.finish("z", 2) == 200);
  CHECK(orders.evacuated("y"));
  CHECK(orders.evacuate("z", 4) == 200);  // the next one
  const std::uint64_t begun = orders.entry;
  CHECK(orders.finish("z", 2) == 503);  // the first one's, late
  CHECK(orders.evacuated("z"));
  CHECK(orders.finish("z", begun) == 200);
  CHECK_FALSE(orders.evacuated("z"));
}

TEST_CASE("a beginning that comes again after its finish does not evacuate for good") {
  Orders orders;
  const std::uint64_t accepted = orders.entry;
  CHECK(orders.evacuate("z", accepted) == 200);
  CHECK(orders.finish("z", orders.entry) == 200);
  const std::uint64_t finished = orders.entry;
  CHECK(orders.evacuate("z", accepted) == 503);
  orders.changeLeader();
  CHECK(orders.evacuate("z", accepted) == 503);
  CHECK_FALSE(orders.evacuated("z"));
  CHECK(orders.evacuate("z", finished) == 200);  // a new one
  CHECK(orders.evacuated("z"));
}

TEST_CASE("two evacuations of one zone that overlap are one, and the first finish ends it") {
  Orders orders;
  CHECK(orders.evacuate("z", 0) == 200);
  CHECK(orders.evacuate("z", 1) == 200);
  CHECK(orders.finish("z", 2) == 200);
  CHECK_FALSE(orders.evacuated("z"));
  CHECK(orders.finish("z", 3) == 200);
  CHECK_FALSE(orders.evacuated("z"));
}

}  // namespace
}  // namespace burlwind::config_store
