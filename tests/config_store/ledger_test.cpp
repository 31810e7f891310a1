// Orders judged against the agreed state: repeats are known whoever leads and however late they come.
#include "config_store/ledger.hpp"

#include <doctest/doctest.h>

#include <string>

namespace burlwind::config_store {
namespace {

std::string configuration(std::uint64_t version, std::uint64_t parent, const std::string& host = "a") {
  return R"({"generation":"r)" + std::to_string(version) + R"(","routes":[{"name":"one","hostname":")" +
         host + R"(","pathPrefix":"/","kind":"safe","timeout":"3s","target":"1s","backend":"x"}],)" +
         R"("backends":[{"name":"x","healthPath":"/h"}],"limits":{},"parentVersion":"r)" +
         std::to_string(parent) + "\"}";
}

class Orders {
 public:
  int replace(std::uint64_t version, std::uint64_t parent, const std::string& host = "a") {
    return apply(state, lately_, {1, "config", configuration(version, parent, host)}, 0).status;
  }
  // Versions climb by two, so that there are numbers that were never taken.
  void replaceMany(unsigned count) {
    for (unsigned i = 0; i < count; ++i) REQUIRE(replace(state.version + 2, state.version) == 200);
  }
  State state;

 private:
  Lately lately_;
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

}  // namespace
}  // namespace burlwind::config_store
