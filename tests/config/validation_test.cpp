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

TEST_CASE("a number that no double holds is refused as no JSON, and ends no process") {
  for (const char* path : {"routes[0].priority", "backends[0].coldRateS", "customers[0].burst", "more"})
    for (const char* value : {"1e999", "-1e999", "123456789e400"}) {
      CAPTURE(path);
      const auto answer = judged(support::spoilt(path, value));
      CHECK(answer.status == 400);
      CHECK(answer.text.find("JSON") != std::string::npos);
    }
}

TEST_CASE("a body of a hundred thousand nested tables or lists is refused as no JSON") {
  constexpr unsigned kDeep = 100000;
  for (const std::string open : {"{\"a\":", "["}) {
    std::string body;
    for (unsigned i = 0; i < kDeep; ++i) body += open;
    CHECK(judged(body).status == 400);
  }
}

}  // namespace
}  // namespace burlwind::config
