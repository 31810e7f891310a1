// What is a valid configuration: docs/design/configuration.md has the table.
#include <doctest/doctest.h>

#include <string>

#include "config/configuration.hpp"
#include "config_store/ledger.hpp"
#include "support/configurations.hpp"

namespace burlwind::config {
namespace {

// As an order on top of the version that it names.
config_store::Judged judged(const std::string& body) {
  config_store::State state;
  state.version = 5;
  return config_store::apply(state, {1, "config", body}, 1);
}

TEST_CASE("a configuration with a route that has no time to be served is not acknowledged") {
  REQUIRE(judged(support::validConfiguration().serialize()).status == 200);
  for (const char* timeout : {"\"0ms\"", "\"0s\"", "\"0.0ms\"", "null", ""}) {
    CAPTURE(timeout);
    const auto answer = judged(support::spoilt("routes[0].timeout", timeout));
    CHECK(answer.status == 400);
    CHECK(answer.text.find("routes[0].timeout") != std::string::npos);
    CHECK_FALSE(answer.changes);
  }
}

}  // namespace
}  // namespace burlwind::config
