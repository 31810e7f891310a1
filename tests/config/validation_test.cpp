// What is a valid configuration: docs/design/configuration.md has the table.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "config/configuration.hpp"
#include "config_store/ledger.hpp"
#include "support/configurations.hpp"

namespace burlwind::config {
namespace {

using Values = std::vector<const char*>;

const std::set<std::string> kRegions = {"leon", "celaya", "qro"};
const Values kNoNumbers = {"", "null", "\"5\"", "true", "[]", "{}", "-1", "1e300"};
const Values kNoWholeNumbers = {"", "null", "\"5\"", "true", "[]", "{}", "-1", "1e300", "1.5"};
const Values kNoTimes = {"",      "null",     "3000",        "\"\"",     "\"3000\"",  "\"ms\"",    "\"+5ms\"",
                         "[]",    "\" 3ms\"", "\"3 ms\"",    "\"-1ms\"", "\"1e99s\"", "\"infms\"", "\"3S\"",
                         "false", "\"nans\"", "\"3000ms \"", "\"1,5s\"", "\"0x10ms\""};
const Values kNoNames = {"", "null", "7", "[]", "\"\"", "\" a\"", "\"a \"", "\"a\\r\\nb\"", "\"a\\u0000\""};
const Values kNoPaths = {"", "null", "7", "\"\"", "\"a/\"", "\"/a b/\"", "\"/a#b/\"", "\"/a\\r\\n/\""};
const Values kNoLists = {"", "null", "7", "\"x\"", "{}"};

// As an order on top of the version that it names.
config_store::Judged judged(const std::string& body) {
  config_store::State state;
  state.version = 5;
  return config_store::apply(state, {1, "config", body}, 1, kRegions);
}

void refused(const std::string& path, const Values& values) {
  for (const char* value : values) {
    const std::string what = path + " = " + (*value ? value : "(absent)");
    CAPTURE(what);
    const auto answer = judged(support::spoilt(path, value));
    CHECK(answer.status == 400);
    CHECK_MESSAGE(answer.text.starts_with(path), answer.text);
    CHECK_FALSE(answer.changes);
  }
}

void taken(const std::string& path, const Values& values) {
  for (const char* value : values) {
    const std::string what = path + " = " + (*value ? value : "(absent)");
    CAPTURE(what);
    const auto answer = judged(support::spoilt(path, value));
    CHECK_MESSAGE(answer.status == 200, answer.text);
  }
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

TEST_CASE("a configuration with any one field spoilt is refused with that field's path") {
  refused("generation",
          {"", "null", "\"\"", "\"r\"", "\"+7\"", "\"r+7\"", "\"R7\"", "\"r7 \"", "\"r7.5\"", "7.5", "-7",
           "1e300", "\"r99999999999999999999\"", "\"r9007199254740992\"", "\"r0\"", "[]"});
  refused("parentVersion", {"", "null", "\"\"", "\"r\"", "\"r-5\"", "\"+5\"", "5.5", "1e300", "{}"});
  refused("routes", kNoLists);
  refused("backends", kNoLists);
  refused("customers", {"7", "\"x\"", "{}"});
  refused("limits", {"", "null", "7", "[]"});

  refused("routes[0]", {"null", "7", "[]"});
  refused("routes[0].name", kNoNames);
  refused("routes[0].hostname", kNoNames);
  refused("routes[0].hostname", {"\"shop.example:80\"", "\"shop/\"", "\"a b\"", "\"a?b\"", "\"u@shop\""});
  refused("routes[0].pathPrefix", kNoPaths);
  refused("routes[0].pathPrefix", {"\"/a\"", "\"/a/?b/\""});
  refused("routes[0].kind", {"", "null", "7", "\"\"", "\"Safe\"", "\"safe \"", "\"idempotent\""});
  refused("routes[0].timeout", kNoTimes);
  refused("routes[0].timeout", {"\"0ms\"", "\"0.9ms\"", "\"365.1e5s\""});
  refused("routes[0].target", kNoTimes);
  refused("routes[0].priority", kNoWholeNumbers);
  refused("routes[0].tries", kNoWholeNumbers);
  refused("routes[0].tries", {"0", "1000000001"});
  refused("routes[0].public", {"0", "\"true\"", "[]"});
  refused("routes[0].homeRegions", {"7", "\"leon\"", "{}"});
  refused("routes[0].homeRegions[0]", {});
  refused("routes[0].split[1].backend", kNoNames);
  refused("routes[0].split[1].weight", kNoNumbers);
  refused("routes[0].split[1].weight", {"1000000001"});
  refused("routes[1].backend", kNoNames);

  refused("backends[0].name", {"", "null", "7", "[]"});
  refused("backends[0].healthPath", kNoPaths);
  refused("backends[0].maxConns", kNoWholeNumbers);
  refused("backends[0].maxConns", {"0"});
  refused("backends[0].coldFor", kNoTimes);
  refused("backends[0].coldRateS", kNoNumbers);

  refused("limits.maxHeaderBytes", kNoWholeNumbers);
  refused("limits.maxHeaderBytes", {"0", "63", "2147483648"});
  refused("limits.maxBodyBytes", kNoWholeNumbers);
  refused("limits.headerRead", kNoTimes);
  refused("limits.headerRead", {"\"0ms\""});
  refused("limits.idle", kNoTimes);
  refused("limits.idle", {"\"0ms\""});

  refused("customers[0].name", kNoNames);
  refused("customers[0].apiKeys", kNoLists);
  refused("customers[0].apiKeys[1]", {"null", "7", "\"\"", "\"a b\"", "\"a\\n\""});
  refused("customers[0].priority", {"\"0\"", "-1", "0.5", "1e300"});
  refused("customers[0].ratePerS", {"\"5\"", "-1", "1e300", "true"});
  refused("customers[0].burst", {"\"5\"", "-1", "1e300", "[]"});
  refused("customers[1].homeRegions", {"7", "\"leon\"", "{}"});
}

TEST_CASE("a configuration that serves nobody on one of its routes is refused") {
  refused("routes[0].split",
          {R"([{"backend":"x","weight":0}])", R"([{"backend":"x","weight":0},{"backend":"y","weight":0}])"});
  refused("routes[1].homeRegions", {R"(["nowhere"])", R"(["nowhere","elsewhere"])"});
  refused("customers[1].homeRegions", {R"(["nowhere"])"});
}

TEST_CASE("names that stand twice, refer to nothing or exclude each other are refused") {
  refused("routes[1].name", {"\"one\""});
  // Without a route that its former name would be missing to.
  picojson::value twice = support::validConfiguration();
  support::at(twice, "backends").get<picojson::array>().push_back(support::at(twice, "backends[1]"));
  CHECK(judged(twice.serialize()).text == "backends[2].name stands twice");
  for (const char* name : {"", " a", "a ", "a\r\nb"}) {
    picojson::value odd = support::validConfiguration();
    picojson::value service = support::at(odd, "backends[0]");
    support::at(service, "name") = picojson::value(name);
    support::at(odd, "backends").get<picojson::array>().push_back(service);
    CHECK(judged(odd.serialize()).text.starts_with("backends[2].name "));
  }
  refused("customers[1].name", {"\"weaver\""});
  refused("customers[1].apiKeys[0]", {"\"k2\""});
  refused("customers[0].apiKeys[1]", {"\"k1\""});
  picojson::value both = support::validConfiguration();
  support::at(both, "routes[0].backend") = picojson::value("x");
  CHECK(judged(both.serialize()).text == "routes[0].backend stands beside a split");
  const std::map<std::string, const char*> unknown = {
      {"routes[1].backend", "\"z\""}, {"routes[0].split[1].backend", "\"z\""}, {"backends[1].name", "\"z\""}};
  for (const auto& [path, value] : unknown) {
    CAPTURE(path);
    const auto answer = judged(support::spoilt(path, value));
    CHECK(answer.status == 400);
    CHECK(answer.text.find("names the unknown service") != std::string::npos);
  }
  picojson::value unused = support::validConfiguration();
  support::at(unused, "routes[0].split[1].backend") = picojson::value("z");
  support::at(unused, "routes[0].split[1].weight") = picojson::value(0.0);
  CHECK(judged(unused.serialize()).text.find("names the unknown service z") != std::string::npos);
  for (const char* prefix : {"/a/", "/a/b/"}) {
    picojson::value same = support::validConfiguration();
    support::at(same, "routes[0].pathPrefix") = picojson::value(prefix);
    support::at(same, "routes[1].pathPrefix") = picojson::value(prefix);
    support::at(same, "routes[1].hostname") = picojson::value("SHOP.Example");
    CHECK(judged(same.serialize()).text.find("host and prefix of another route") != std::string::npos);
  }
}

TEST_CASE("a key that stands twice in one table is refused, and the last one counts where it is in force") {
  std::string body = support::validConfiguration().serialize();
  const std::string once = "\"tries\":2";
  const auto at = body.find(once);
  REQUIRE(at != std::string::npos);
  body.insert(at, "\"tries\":7,");
  CHECK(checkConfiguration(body).fault == "routes[0].tries stands twice");
  const auto read = readConfiguration(body);
  REQUIRE(read.configuration);
  CHECK(read.configuration->routes[0].tries == 2);
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

TEST_CASE("what the pages allow is taken") {
  taken("generation", {"\"r6\"", "\"r007\"", "7", "\"r9007199254740991\""});
  taken("routes", {"[]"});
  taken("routes[0].timeout", {"\"1ms\"", "\"1e3ms\"", "\"2.5s\"", "\"0.5s\""});
  taken("routes[0].target", {"\"0ms\"", "\"9s\""});
  taken("routes[0].priority", {"0", "7"});
  taken("routes[0].tries", {"1", "1000"});
  taken("routes[0].public", {"", "null", "true"});
  taken("routes[0].homeRegions", {"", "null", "[]", "[\"leon\"]", "[\"leon\",\"nowhere\"]"});
  taken("routes[0].hostname", {"\"SHOP.example\"", "\"shop\""});
  taken("routes[0].pathPrefix", {"\"/\"", "\"/a//\"", "\"/%2f/\"", "\"/\\u00e4/\""});
  taken("routes[0].split", {R"([{"backend":"x","weight":0},{"backend":"y","weight":0.5}])",
                            R"([{"backend":"x","weight":1},{"backend":"x","weight":2}])"});
  taken("routes[0].more", {"7", "[]", "null", "{\"a\":1}"});
  taken("routes[1].split", {"null", "[]"});
  taken("backends[0].coldFor", {"\"0ms\""});
  taken("backends[0].coldRateS", {"0", "0.5"});
  taken("limits.maxBodyBytes", {"0"});
  taken("limits.maxHeaderBytes", {"64"});
  taken("customers", {"", "null", "[]"});
  taken("customers[0].apiKeys", {"[]"});
  taken("customers[0].priority", {"", "null", "3"});
  taken("customers[0].ratePerS", {"", "null", "0", "0.5"});
  taken("customers[0].burst", {"", "0"});
  taken("customers[0].homeRegions", {"", "[]", "[\"qro\"]"});
  taken("more", {"{\"a\":[]}"});
}

TEST_CASE("a configuration of an earlier program version still reads, is known again, and isn't taken anew") {
  const std::string before = support::spoilt("routes[0].timeout", "\"0ms\"");
  config_store::State state;
  state.configuration = before, state.version = 7;
  state.taken = {{7, config_store::digestOf(before)}};
  const auto read = readConfiguration(before);
  REQUIRE(read.configuration);
  CHECK(read.configuration->version == 7);
  CHECK_FALSE(checkConfiguration(before).fault.empty());
  CHECK(config_store::apply(state, {1, "config", before}, 1).status == 200);
  CHECK(config_store::apply(state, {2, "config", support::onParent(9, 7)}, 2).status == 200);
}

TEST_CASE("each single spoilt field is refused after changes of each kind, and a valid one is taken then") {
  config_store::State state;
  state.version = 5;
  const Values paths = {"routes[0].timeout", "routes[1].backend", "limits.idle", "customers[0].apiKeys"};
  for (std::uint64_t version = 7; version < 47; version += 2) {
    picojson::value next = support::json(support::onParent(version, state.version));
    if (version % 4 == 3) support::at(next, "routes[1].timeout") = picojson::value("5s");
    if (version % 3 == 0) support::at(next, "customers[0].ratePerS") = picojson::value(10.0);
    for (const char* path : paths) {
      picojson::value wrong = next;
      support::at(wrong, path) = picojson::value("0ms");
      CHECK(config_store::apply(state, {1, "config", wrong.serialize()}, version).status == 400);
    }
    REQUIRE(config_store::apply(state, {2, "config", next.serialize()}, version).status == 200);
    REQUIRE(state.version == version);
  }
}

// One of each kind of fault that an order of the log below has.
std::string invalidOrder(const std::string& fault, std::uint64_t version, std::uint64_t parent) {
  picojson::value body = support::json(support::onParent(version, parent));
  if (fault == "unknown_service") support::at(body, "routes[1].backend") = picojson::value("z");
  if (fault == "below_zero") support::at(body, "routes[0].split[0].weight") = picojson::value(-1.0);
  if (fault == "no_host") support::at(body, "routes[0].hostname") = picojson::value("");
  if (fault == "same_place") support::at(body, "routes[1].pathPrefix") = picojson::value("/a/");
  if (fault == "odd_kind") support::at(body, "routes[0].kind") = picojson::value("odd");
  const std::string text = body.serialize();
  return fault == "cut_short" ? text.substr(0, text.size() / 2) : text;
}

TEST_CASE(
    "an operator's log of races and invalid orders: no invalid one is acknowledged, no second one of a "
    "pair") {
  struct Order {
    std::uint64_t version, parent;
    std::string fault;
    bool isTaken;
  };
  const std::vector<Order> log = {{6, 5, "", true},
                                  {6, 5, "customers", false},
                                  {8, 6, "", true},
                                  {12, 6, "stale parent", false},
                                  {16, 8, "cut_short", false},
                                  {18, 8, "", true},
                                  {18, 8, "customers", false},
                                  {20, 18, "", true},
                                  {22, 20, "unknown_service", false},
                                  {24, 20, "", true},
                                  {28, 24, "", true},
                                  {31, 28, "below_zero", false},
                                  {34, 28, "no_host", false},
                                  {38, 28, "same_place", false},
                                  {40, 28, "odd_kind", false},
                                  {27, 28, "old version", false}};
  config_store::State state;
  state.version = 5;
  std::uint64_t id = 0;
  for (const Order& order : log) {
    CAPTURE(order.version);
    CAPTURE(order.fault);
    std::string body = invalidOrder(order.fault, order.version, order.parent);
    if (order.fault == "customers") {  // another change under the same number
      picojson::value other = support::json(body);
      support::at(other, "customers[0].ratePerS") = picojson::value(10.0);
      body = other.serialize();
    }
    const std::uint64_t before = state.version;
    const int status = config_store::apply(state, {++id, "config", body}, id).status;
    CHECK((status == 200) == order.isTaken);
    CHECK((order.isTaken || status / 100 == 4));
    CHECK(state.version == (order.isTaken ? order.version : before));
  }
}

}  // namespace
}  // namespace burlwind::config
