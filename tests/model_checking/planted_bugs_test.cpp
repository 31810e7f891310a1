// Each bug that is planted into a copy of the sources (see CMakeLists.txt) is found, by the property that it
// breaks and with no shorter history than this one; the timeline is printed.
#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>
#include <string>

#include "command.hpp"

namespace burlwind::model_checking {
namespace {

std::string found(const std::string& bug, const std::string& arguments) {
  const CommandResult result =
      runCommand(std::string(BURLWIND_PLANTED_BUGS) + "/explore_with_" + bug + " " + arguments);
  std::cout << result.text;
  CHECK_MESSAGE(result.status == 1, result.text);
  return result.text;
}

bool says(const std::string& text, const std::string& what) { return text.find(what) != std::string::npos; }

// `depth`: all shorter histories were tried, so the one that breaks it has one event more.
void foundBySearch(const std::string& bug, const std::string& scenario, const std::string& property,
                   unsigned depth) {
  const std::string text = found(bug, "--scenario " + scenario);
  CHECK_MESSAGE(says(text, "violation: depth " + std::to_string(depth) + ","), text);
  CHECK_MESSAGE(says(text, "(" + property + ")"), text);
  CHECK_MESSAGE(says(text, "again: burlwind-explore --mode exhaustive --scenario " + scenario), text);
}

TEST_CASE("planted: a vote without the election restriction") {
  foundBySearch("vote_without_restriction", "new-leader", "leader-has-committed", 8);
}
TEST_CASE("planted: a second vote in a term") {
  foundBySearch("second_vote_in_a_term", "first-election", "one-leader-per-term", 9);
}
TEST_CASE("planted: a vote is told before it is synced") {
  foundBySearch("vote_told_before_synced", "first-power", "one-leader-per-term", 9);
}
TEST_CASE("planted: the majority of the outgoing members is not asked") {
  foundBySearch("joint_majority_skipped", "seat", "confirmed-by-majorities", 0);
}
TEST_CASE("planted: an applicant is made a member before it has the state") {
  foundBySearch("applicant_without_state", "silent-member", "member-has-state", 3);
}
TEST_CASE("planted: an entry is acknowledged before it is synced") {
  foundBySearch("acknowledged_before_synced", "power", "committed-by-majorities", 2);
}
TEST_CASE("planted: a leader counts itself without having synced its entry") {
  foundBySearch("leader_counts_unsynced", "power", "committed-by-majorities", 2);
}
TEST_CASE("planted: an entry of an older term is committed by counting who holds it") {
  foundBySearch("older_term_by_counting", "reelected", "leader-has-committed", 8);
}
TEST_CASE("planted: a leader leads on in a higher term that it hears of") {
  foundBySearch("leads_on_in_a_higher_term", "new-leader", "one-leader-per-term", 7);
}
TEST_CASE("planted: an answer about an older entry counts for a newer one") {
  foundBySearch("stale_answer_counted", "power", "committed-by-majorities", 0);
}
TEST_CASE("planted: a follower takes an older state") {
  foundBySearch("older_state_taken", "orders", "nothing-goes-back", 5);
}
TEST_CASE("planted: a follower counts more as committed than it holds") {
  foundBySearch("committed_beyond_held", "power", "committed-is-held", 4);
}
TEST_CASE("planted: a follower counts an entry of another term as committed by its number") {
  foundBySearch("committed_of_another_term", "two-leaders", "committed-is-held", 10);
}
TEST_CASE("planted: a round is confirmed that nobody has answered") {
  foundBySearch("unanswered_round_confirmed", "first-election", "confirmed-by-majorities", 4);
}
TEST_CASE("planted: a leader that stood still confirms by answers that waited") {
  foundBySearch("stopped_leader_confirms", "stopped-leader", "confirmation-is-fresh", 3);
}
TEST_CASE("planted: a leader that has handed leadership over goes on") {
  foundBySearch("leads_on_after_handover", "handover", "handed-over-is-over", 3);
}
TEST_CASE("planted: a replica whose disk was lost keeps its id") {
  foundBySearch("wiped_keeps_its_id", "lost-disk", "leader-has-committed", 8);
}

TEST_CASE("planted: members change while they change") {
  const std::string text = found("change_during_change", "--mode random --seed 14 --plays 1 --orders 60");
  CHECK(says(text, "(majorities-intersect)"));
  const auto from = text.find("planned events:"), to = text.find("the last steps");
  REQUIRE(from != std::string::npos);
  REQUIRE(to != std::string::npos);
  const auto lines = std::count(text.begin() + static_cast<std::ptrdiff_t>(from),
                                text.begin() + static_cast<std::ptrdiff_t>(to), '\n');
  CHECK(lines <= 10);  // a play of over 60 events is shrunk to a few
}

}  // namespace
}  // namespace burlwind::model_checking
