// Checkers of histories: each property broken in the smallest way and kept in the nearest one, clocks that
// are off, and the shortest part that shows a breach.
#include "faults/history.hpp"

#include <gtest/gtest.h>

#include <sstream>

#include "faults/random.hpp"

namespace burlwind::faults {
namespace {

Record made(const char* process, double mono, const char* what, std::map<std::string, std::string> facts = {},
            double wallOff = 0) {
  return {process, 1, mono, 1e12 + mono + wallOff, what, std::move(facts)};
}

TEST(History, ProcessesThatHoldTwoVersionsAtOnceDisagree) {
  const Checker check = agree("holds", "version");
  EXPECT_FALSE(check({made("a", 1, "holds", {{"version", "1"}}), made("b", 2, "holds", {{"version", "1"}}),
                      made("a", 3, "holds"), made("b", 4, "holds"), made("b", 5, "holds", {{"version", "2"}}),
                      made("a", 6, "holds", {{"version", "2"}})}));
  const auto breach =
      check({made("a", 1, "holds", {{"version", "1"}}), made("b", 2, "holds", {{"version", "2"}})});
  ASSERT_TRUE(breach);
  EXPECT_EQ(breach->shown.size(), 2u);
  // One that has ended holds nothing.
  EXPECT_FALSE(check({made("a", 1, "holds", {{"version", "1"}}), made("a", 2, "end"),
                      made("b", 3, "holds", {{"version", "2"}})}));
}

TEST(History, OrderIsNotByTheWallClock) {
  // b's wall clock is an hour behind: by it, b held version 1 long before a held 2; in truth both at once.
  const double hour = 3600e3;
  History a{made("a", 10, "holds", {{"version", "1"}}), made("a", 20, "holds", {{"version", "2"}})};
  History b{made("b", 12, "holds", {{"version", "1"}}, -hour), made("b", 30, "holds", {}, -hour)};
  EXPECT_TRUE(agree("holds", "version")(merge({a, b})));
  // The planted checker: it sees one clock, the wrong one, and finds nothing.
  History byWall = merge({a, b});
  std::stable_sort(byWall.begin(), byWall.end(),
                   [](const Record& x, const Record& y) { return x.wall < y.wall; });
  EXPECT_FALSE(agree("holds", "version")(byWall));
}

TEST(History, ANumberThatGoesBackOverARestart) {
  const Checker check = neverBack("holds", "version");
  Record later = made("a", 5, "holds", {{"version", "9"}});
  later.incarnation = 2;
  EXPECT_TRUE(check({made("a", 1, "holds", {{"version", "10"}}), later}));
  later.facts["version"] = "10";
  EXPECT_FALSE(check({made("a", 1, "holds", {{"version", "10"}}), later}));
}

TEST(History, AnAnswerIsOneAndInTime) {
  const Checker check = oneAnswer("ask", "answer", "id", 100);
  const Record ask = made("c", 0, "ask", {{"id", "7"}}), answer = made("c", 100, "answer", {{"id", "7"}});
  EXPECT_FALSE(check({ask, answer}));
  EXPECT_TRUE(check({ask}));
  EXPECT_TRUE(check({answer}));
  EXPECT_EQ(check({ask, answer, answer})->shown.size(), 3u);
  EXPECT_TRUE(check({ask, made("c", 100.1, "answer", {{"id", "7"}})}));
}

TEST(History, NoMoreThanSoManyInAnySpan) {
  History history;
  for (int i = 0; i < 4; ++i) history.push_back(made("w", 250 * i, "opened", {{"at", "s-1"}}));
  history.push_back(made("w", 800, "opened", {{"at", "s-2"}}));
  EXPECT_FALSE(atMost("opened", "at", 4, 1000)(history));
  EXPECT_FALSE(atMost("opened", "at", 3, 750)(history));  // the first is just out of it
  EXPECT_TRUE(atMost("opened", "at", 3, 751)(history));
}

TEST(History, TheShortestPartShowsNothingElse) {
  Random random(11, "history");
  History history;
  for (int i = 0; i < 300; ++i)
    history.push_back(made(random.chance(0.5) ? "a" : "b", i, random.chance(0.5) ? "told" : "sent",
                           {{"id", std::to_string(i)}}));
  history[140] = made("a", 140, "sent", {{"id", "x"}});
  history[220] = made("b", 220, "sent", {{"id", "x"}});
  // Two processes sent the same thing; what it shows first holds more than is needed.
  const Checker twice = [](const History& all) -> std::optional<Breach> {
    std::map<std::string, std::string> by;
    for (const Record& r : all) {
      if (r.what != "sent") continue;
      const auto [at, fresh] = by.try_emplace(r.fact("id"), r.process);
      if (!fresh && at->second != r.process) return Breach{"sent by two", all};
    }
    return std::nullopt;
  };
  const Breach breach = shortest(history, twice);
  ASSERT_EQ(breach.shown.size(), 2u);
  EXPECT_EQ(breach.shown[0].mono, 140);
  EXPECT_EQ(breach.shown[1].mono, 220);
}

TEST(History, IsReadAgainAsItWasWritten) {
  const History history{made("a", 1.25, "holds", {{"version", "1"}, {"why", "\"x\"\n"}}),
                        made("b", 2, "end")};
  std::stringstream file;
  write(file, history);
  const History again = read(file);
  ASSERT_EQ(again.size(), 2u);
  for (std::size_t i = 0; i < 2; ++i) EXPECT_EQ(again[i].text(), history[i].text());
  std::stringstream bad("{\"process\": \"a\"}\n");
  EXPECT_THROW(read(bad), std::runtime_error);
}

}  // namespace
}  // namespace burlwind::faults
