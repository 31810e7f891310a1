// Shares of the bytes that workers' answers may hold, and the sum of a proxy's memory.
#include "proxy/answer_budget.hpp"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "http/http.hpp"
#include "proxy/memory_plan.hpp"

namespace burlwind::proxy {
namespace {

using Length = AnswerBudget::Length;
using SharePtr = std::shared_ptr<AnswerBudget::Share>;

constexpr std::size_t kMb = std::size_t{1} << 20;
constexpr std::size_t kPool = 100 * kMb;

std::shared_ptr<AnswerBudget> budgetOf(std::size_t exchanges, std::size_t poolBytes = kPool) {
  return std::make_shared<AnswerBudget>(AnswerBudget::Limits{exchanges, poolBytes});
}

TEST_CASE("the parts of a proxy's memory leave room for what is in no part") {
  constexpr double kControlMb = 64;
  constexpr std::size_t kClientBytes = 8 * 1024;
  constexpr std::size_t kClients = 2000;
  const MemoryPlan plan = memoryPlan(260);
  const std::size_t planned = plan.requestBytes + plan.answers.exchanges * kExchangeBytes +
                              plan.answers.poolBytes + kClients * kClientBytes;
  CHECK(static_cast<double>(planned) / kMb + kControlMb < 260);
  CHECK(budgetOf(plan.answers.exchanges, plan.answers.poolBytes)->maxBodyBytes() == kMostBody);
  CHECK(memoryPlan(2).answers.exchanges == kLeastExchanges);
}

TEST_CASE("a share that ends gives all back, whatever it held") {
  const auto budget = budgetOf(10);
  {
    const SharePtr share = budget->open("s", "w");
    CHECK(share->growTo(20 * kMb, Length::untold));
    CHECK(budget->poolBytes() == 20 * kMb - kExchangeBytes);
    share->shrinkTo(5 * kMb);
    CHECK(budget->poolBytes() == 5 * kMb - kExchangeBytes);
  }
  CHECK(budget->poolBytes() == 0);
  CHECK(budget->exchanges() == 0);
}

TEST_CASE("one service leaves exchanges and pool to others, one worker pool to its service") {
  const auto budget = budgetOf(10);
  std::vector<SharePtr> shares;
  while (SharePtr share = budget->open("a", "w1")) shares.push_back(std::move(share));
  CHECK(shares.size() == 8);
  for (const SharePtr& share : shares)
    for (std::size_t mb = 1; share->growTo(mb * kMb, Length::untold);) ++mb;
  CHECK(budget->poolBytes() <= static_cast<std::size_t>(kMaxWorkerPart * kPool));
  shares.pop_back();
  const SharePtr other = budget->open("b", "w2");
  REQUIRE(other);
  CHECK(other->growTo(15 * kMb, Length::told));
  const SharePtr another = budget->open("a", "w3");
  REQUIRE(another);
  CHECK(another->growTo(10 * kMb, Length::told));
}

TEST_CASE("a told length waits with nothing of the pool, and is woken when there may be room") {
  const auto budget = budgetOf(10);
  SharePtr first = budget->open("a", "w1");
  const SharePtr second = budget->open("a", "w1");
  REQUIRE(first->growTo(50 * kMb, Length::told));
  unsigned woken = 0;
  second->onRelease([&] { ++woken; });
  CHECK_FALSE(second->growTo(50 * kMb, Length::told));
  CHECK_FALSE(second->mustGiveWay());
  CHECK(second->bytes() == kExchangeBytes);
  CHECK(second->neverFits(66 * kMb));
  first.reset();
  CHECK(woken == 1);
  CHECK(second->growTo(50 * kMb, Length::told));
}

TEST_CASE("of answers that tell no length the largest gives way, and one beside told ones waits") {
  const auto budget = budgetOf(10);
  const SharePtr large = budget->open("a", "w1");
  const SharePtr small = budget->open("a", "w2");
  const SharePtr told = budget->open("b", "w3");
  REQUIRE(large->growTo(40 * kMb, Length::untold));
  REQUIRE(small->growTo(30 * kMb, Length::untold));
  CHECK_FALSE(large->growTo(60 * kMb, Length::untold));
  CHECK(large->mustGiveWay());
  CHECK_FALSE(small->growTo(60 * kMb, Length::untold));
  CHECK_FALSE(small->mustGiveWay());
  large->shrinkTo(0);
  small->shrinkTo(10 * kMb);
  REQUIRE(told->growTo(60 * kMb, Length::told));
  CHECK_FALSE(small->growTo(60 * kMb, Length::untold));
  CHECK_FALSE(small->mustGiveWay());
}

// One answer of a play: grows by steps, waits where it can't.
struct PlayedAnswer {
  SharePtr share;
  std::size_t wanted = 0;
  Length length = Length::told;
};

// Plays answers of several services and workers to their ends; false: all wait for each other.
bool playsToItsEnd(unsigned seed) {
  std::mt19937 random(seed);
  const auto below = [&](unsigned bound) { return random() % bound; };
  const auto budget = budgetOf(12);
  std::vector<PlayedAnswer> answers;
  for (unsigned begun = 0, turn = 0; begun < 60 || !answers.empty(); ++turn) {
    if (begun < 60 && below(3) > 0) {
      ++begun;
      const unsigned worker = below(4);
      if (SharePtr share = budget->open("s" + std::to_string(worker / 2), "w" + std::to_string(worker)))
        answers.push_back(
            {std::move(share), (1 + below(64)) * kMb, below(2) ? Length::told : Length::untold});
    }
    bool anyMoved = begun < 60;
    for (std::size_t i = 0; i < answers.size();) {
      PlayedAnswer& answer = answers[i];
      const std::size_t next = answer.length == Length::told
                                   ? answer.wanted
                                   : std::min(answer.wanted, answer.share->bytes() + 3 * kMb);
      const bool grew = answer.share->growTo(next, answer.length);
      const bool ends =
          grew ? next == answer.wanted : answer.share->neverFits(next) || answer.share->mustGiveWay();
      if (budget->poolBytes() > kPool) return false;
      anyMoved = anyMoved || grew || ends;
      if (ends && (!grew || below(4) == 0))
        answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(i));
      else
        ++i;
    }
    if (!anyMoved || turn > 100000) return false;
  }
  return budget->poolBytes() == 0;
}

TEST_CASE("whatever answers grow at a time, some go on and their pool is never passed") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    CHECK(playsToItsEnd(seed));
  }
}

}  // namespace
}  // namespace burlwind::proxy
