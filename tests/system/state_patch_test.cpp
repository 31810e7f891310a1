// Patches of states: each is applied again, and what is no patch is refused.
#include "consensus/state_patch.hpp"

#include <doctest/doctest.h>

#include <random>
#include <string>

namespace burlwind::consensus {
namespace {

std::string randomBytes(std::mt19937& random, std::size_t size) {
  std::string out(size, ' ');
  for (char& byte : out) byte = static_cast<char>(random());
  return out;
}

std::string roundTrip(const std::string& before, const std::string& after) {
  std::string out;
  REQUIRE(applyPatch(before, makePatch(before, after), after.size(), out));
  return out;
}

TEST_CASE("a patch makes the new state from the old one, whatever was moved, cut, put in or repeated") {
  std::mt19937 random(7);
  for (int play = 0; play < 400; ++play) {
    CAPTURE(play);
    const std::string before = randomBytes(random, random() % 3000);
    std::string after = before;
    for (unsigned edits = random() % 6; edits > 0; --edits) {
      const std::size_t at = random() % (after.size() + 1);
      switch (random() % 4) {
        case 0:
          after.insert(at, randomBytes(random, random() % 300));
          break;
        case 1:
          after.erase(at, random() % 300);
          break;
        case 2:
          after.insert(at, after.substr(random() % (after.size() + 1), random() % 500));
          break;
        case 3:
          if (at < after.size()) after[at] = static_cast<char>(random());
          break;
      }
    }
    CHECK(roundTrip(before, after) == after);
  }
  CHECK(roundTrip("", "").empty());
  CHECK(roundTrip("", "abc") == "abc");
  CHECK(roundTrip("abc", "").empty());
  CHECK(roundTrip(std::string(5000, 'a'), std::string(9000, 'a')) == std::string(9000, 'a'));
}

TEST_CASE("a few changes in a large state make a small patch") {
  std::mt19937 random(9);
  const std::string before = randomBytes(random, 2'000'000);
  std::string after = before;
  after.insert(1'500'000, "something new");
  after.erase(700'000, 40);
  after[100] = static_cast<char>(after[100] + 1);
  CHECK(makePatch(before, after).size() < 1000);
  CHECK(makePatch(before, before).size() < 20);
  CHECK(makePatch(before, randomBytes(random, 100'000)).size() < 100'020);
  CHECK(roundTrip(before, after) == after);
}

TEST_CASE("what is no patch for a state is refused, and nothing outside is read") {
  std::mt19937 random(11);
  const std::string before = randomBytes(random, 1000), after = before + "more";
  std::string out;
  const std::string patch = makePatch(before, after);
  CHECK_FALSE(applyPatch(before, patch, after.size() - 1, out));  // longer than allowed
  CHECK(out.empty());
  CHECK_FALSE(applyPatch("short", patch, 10'000, out));  // of another state
  CHECK_FALSE(applyPatch(before, "\x80\x80\x80\x80\x80\x80\x80\x80\x80\x80\x80", 10'000, out));
  CHECK_FALSE(applyPatch(before,
                         "\x08"
                         "ab",
                         10'000, out));                  // says four bytes, holds two
  CHECK_FALSE(applyPatch(before, "\x03", 10'000, out));  // a copy of no place
  for (int play = 0; play < 2000; ++play) {
    applyPatch(before, randomBytes(random, random() % 40), 10'000, out);
    CHECK(out.size() <= 10'000);
  }
}

}  // namespace
}  // namespace burlwind::consensus
