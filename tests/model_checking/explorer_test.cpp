// The searches and plays that the agreement must stand, and the explorer's own parts.
#include <doctest/doctest.h>

#include <iostream>
#include <string>

#include "command.hpp"
#include "model_checking/play.hpp"
#include "model_checking/report.hpp"
#include "model_checking/search.hpp"

namespace burlwind::model_checking {
namespace {

#ifdef BURLWIND_SANITIZED
constexpr unsigned kDepthLess = 3;  // the plain build goes to the full depth
constexpr unsigned kPlaysInOne = 5;
#else
constexpr unsigned kDepthLess = 0;
constexpr unsigned kPlaysInOne = 75;
#endif

void exploreAll(const std::string& name) {
  const auto scenario = findScenario(name);
  REQUIRE(scenario);
  const SearchLimits limits{scenario->depth - kDepthLess, 0, std::chrono::milliseconds(0)};
  const SearchResult result = search(*scenario, limits);
  Report report(false);
  report.add(*scenario, result);
  std::cout << report.text();
  CHECK_FALSE_MESSAGE(result.violation.has_value(), report.text());
  CHECK((result.depth == limits.depth || result.end == SearchEnd::exhausted));
}

TEST_CASE("exhaustive: orders") { exploreAll("orders"); }
TEST_CASE("exhaustive: power") { exploreAll("power"); }
TEST_CASE("exhaustive: stopped-leader") { exploreAll("stopped-leader"); }
TEST_CASE("exhaustive: first-election") { exploreAll("first-election"); }
TEST_CASE("exhaustive: first-power") { exploreAll("first-power"); }
TEST_CASE("exhaustive: new-leader") { exploreAll("new-leader"); }
TEST_CASE("exhaustive: two-leaders") { exploreAll("two-leaders"); }
TEST_CASE("exhaustive: divided") { exploreAll("divided"); }
TEST_CASE("exhaustive: reelected") { exploreAll("reelected"); }
TEST_CASE("exhaustive: handover") { exploreAll("handover"); }
TEST_CASE("exhaustive: lost-disk") { exploreAll("lost-disk"); }
TEST_CASE("exhaustive: applicant") { exploreAll("applicant"); }
TEST_CASE("exhaustive: silent-member") { exploreAll("silent-member"); }
TEST_CASE("exhaustive: seat") { exploreAll("seat"); }
TEST_CASE("exhaustive: everything") { exploreAll("everything"); }

void playSome(std::uint64_t firstSeed) {
  Report report(false);
  for (std::uint64_t seed = firstSeed; seed < firstSeed + kPlaysInOne && !report.violated(); ++seed) {
    const Play play = drawPlay(seed, 5, 300);
    report.add(play, run(play), 300);
  }
  report.endPlays();
  std::cout << report.text();
  CHECK_FALSE_MESSAGE(report.violated(), report.text());
}

TEST_CASE("random: seeds from 1") { playSome(1); }
TEST_CASE("random: seeds from 1001") { playSome(1001); }
TEST_CASE("random: seeds from 2001") { playSome(2001); }
TEST_CASE("random: seeds from 3001") { playSome(3001); }

TEST_CASE("a play is the same each time, also without its rows") {
  const Play play = drawPlay(7, 5, 50);
  const PlayResult once = run(play), again = run(play, true);
  CHECK(once.steps == again.steps);
  CHECK(once.committed == again.committed);
  CHECK(once.rows.empty());
  CHECK_FALSE(again.rows.empty());
}

TEST_CASE("majorities that have no replica in common are found") {
  CHECK_FALSE(haveDisjointQuorums({{1, 2, 3}, {}}, {{1, 2, 3, 4}, {}}));
  CHECK(haveDisjointQuorums({{1, 2, 3}, {}}, {{1, 2, 4}, {}}));  // 1 and 3, 2 and 4
  CHECK(haveDisjointQuorums({{1, 2, 3}, {}}, {{1, 4, 5}, {}}));
  CHECK_FALSE(haveDisjointQuorums({{1, 2, 3}, {}}, {{1, 4, 5}, {1, 2, 3}}));
  CHECK(haveDisjointQuorums({{1, 2}, {}}, {{1, 3, 4}, {}}));
}

PersistentState entry(Id self, std::uint64_t term, std::uint64_t index, const std::string& state) {
  return {self, term, 0, term, index, {{1, "a"}, {2, "b"}, {3, "c"}}, {}, state};
}

TEST_CASE("a history by hand: each property speaks where it is broken, and not before") {
  Properties properties(700);
  PersistentState first = entry(1, 0, 0, "");
  properties.begin(first);
  const PersistentState x = entry(1, 1, 1, "x");
  properties.leaderSpoke(1, 1, {0, 0});
  properties.recordChanged(first, x);
  properties.persisted(first, x);
  properties.persisted(entry(2, 0, 0, ""), entry(2, 1, 1, "x"));
  CHECK_FALSE(properties.violation());
  const auto brokenBy = [&properties](auto act) {
    Properties after = properties;
    act(after);
    return after.violation() ? std::string(nameOf(after.violation()->property)) : "none";
  };
  CHECK(brokenBy([](Properties& p) { p.leaderSpoke(1, 2, {0, 0}); }) == "one-leader-per-term");
  CHECK(brokenBy([](Properties& p) { p.leaderSpoke(2, 2, {0, 0}); }) == "none");
  CHECK(brokenBy([&](Properties& p) { p.recordChanged(first, entry(3, 1, 1, "y")); }) ==
        "one-content-per-entry");
  CHECK(brokenBy([](Properties& p) { p.committed(1, 1, {1, 1}); }) == "none");
  CHECK(brokenBy([](Properties& p) { p.committed(1, 1, {1, 2}); }) == "committed-by-majorities");
  CHECK(brokenBy([&](Properties& p) {
          p.committed(1, 1, {1, 1});
          p.recordChanged(entry(3, 0, 0, ""), entry(3, 2, 1, "y"));
        }) == "leader-has-committed");
  CHECK(brokenBy([&](Properties& p) { p.persisted(x, first); }) == "nothing-goes-back");
  const Membership three{{1, 2, 3}, {}};
  CHECK(brokenBy([&](Properties& p) { p.confirmed(1, 5, 10, three, three); }) == "confirmed-by-majorities");
  CHECK(brokenBy([&](Properties& p) {
          p.answered(2, 1, 5);
          p.confirmed(1, 5, 700, three, three);
        }) == "confirmation-is-fresh");
  CHECK(brokenBy([](Properties& p) {
          p.handedOver(1);
          p.acted(1);
        }) == "handed-over-is-over");
  CHECK(brokenBy([&](Properties& p) { p.handedOut(1, {0, 0}, {1, 1}); }) == "handed-out-is-current");
  CHECK(brokenBy([&](Properties& p) { p.committedIndex(x, 0, 1); }) == "committed-is-held");
}

TEST_CASE("the command says what it takes and what it found") {
  const std::string command = BURLWIND_EXPLORE;
  CHECK(runCommand(command + " --list").status == 0);
  CHECK(runCommand(command + " --mode none").status == 2);
  CHECK(runCommand(command + " --scenario none").status == 2);
  CHECK(runCommand(command + " --ignore none").status == 2);
  CHECK(runCommand(command + " --depth 2 --unknown").status == 2);
  const auto found = runCommand(command + " --scenario new-leader --depth 3 --json");
  CHECK(found.status == 0);
  CHECK(found.text.find("\"scenario\":\"new-leader\"") != std::string::npos);
}

}  // namespace
}  // namespace burlwind::model_checking
