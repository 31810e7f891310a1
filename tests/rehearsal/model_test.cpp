// The pure models under virtual time: an order server, the quota ledger and the meter, the latencies' table.
#include <gtest/gtest.h>

#include "faults/random.hpp"
#include "rehearsal/histogram.hpp"
#include "rehearsal/ledger.hpp"
#include "rehearsal/server_model.hpp"

namespace burlwind::rehearsal {

using faults::Random;
namespace {

constexpr double kLongAgo = -1e12;
using Verdict = ServerModel::Verdict;
using Jobs = std::vector<ServerModel::Job>;

ServerFigures plain() {
  ServerFigures out;
  out.cores = 2;
  out.slots = 4;
  out.queue = 2;
  out.thrash = 0;
  return out;
}

TEST(ServerModel, AJobTakesItsWork) {
  ServerModel server(plain(), kLongAgo);
  EXPECT_EQ(server.offer(10, 1, 50), Verdict::taken);
  EXPECT_DOUBLE_EQ(server.nextAt(), 60);
  EXPECT_EQ(server.advance(59.9), Jobs{});
  EXPECT_EQ(server.advance(60), Jobs{1});
  EXPECT_EQ(server.nextAt(), ServerModel::kNever);
}

TEST(ServerModel, JobsShareTheCoresEvenly) {
  ServerModel server(plain(), kLongAgo);
  for (ServerModel::Job job = 1; job <= 4; ++job) server.offer(0, job, 50);
  EXPECT_NEAR(server.nextAt(), 100, 1e-9);  // four on two cores
  EXPECT_EQ(server.advance(100.001).size(), 4u);
}

TEST(ServerModel, BeyondSlotsOneWaitsAndBeyondTheQueueOneIsDeclined) {
  ServerModel server(plain(), kLongAgo);
  for (ServerModel::Job job = 1; job <= 6; ++job) EXPECT_EQ(server.offer(0, job, 50), Verdict::taken);
  EXPECT_EQ(server.running(), 4u);
  EXPECT_EQ(server.waiting(), 2u);
  EXPECT_EQ(server.offer(0, 7, 50), Verdict::declined);
  EXPECT_TRUE(server.cancelWaiting(1, 6));
  EXPECT_FALSE(server.cancelWaiting(1, 1)) << "what runs goes on";
  EXPECT_EQ(server.offer(1, 8, 50), Verdict::taken);
  const Jobs all = server.advance(1000);
  EXPECT_EQ(all.size(), 6u);
}

TEST(ServerModel, ANeighbourAndSlownessTakeCapacity) {
  ServerModel server(plain(), kLongAgo);
  server.offer(0, 1, 50);
  server.offer(0, 2, 50);
  server.setNeighbour(25, 0.5);
  EXPECT_NEAR(server.nextAt(), 75, 1e-9);
  server.setSlowness(25, 2);
  EXPECT_NEAR(server.nextAt(), 125, 1e-9);
}

TEST(ServerModel, ACrowdMakesItLessEfficient) {
  ServerFigures figures = plain();
  figures.thrash = 0.5;
  figures.thrashFrom = 2;
  ServerModel server(figures, kLongAgo);
  for (ServerModel::Job job = 1; job <= 4; ++job) server.offer(0, job, 50);
  EXPECT_NEAR(server.nextAt(), 200, 1e-9);
}

TEST(ServerModel, AColdOneIsSlowAndWarmsEvenly) {
  ServerFigures figures = plain();
  figures.coldFrom = 0.25;
  figures.warmMs = 1000;
  ServerModel server(figures, 0);
  EXPECT_TRUE(server.cold(999));
  EXPECT_FALSE(server.cold(1000));
  EXPECT_DOUBLE_EQ(server.capacity(0), 0.5);
  EXPECT_DOUBLE_EQ(server.capacity(500), 2 * 0.625);
  EXPECT_DOUBLE_EQ(server.capacity(5000), 2);
}

ServerFigures fragile() {
  ServerFigures figures = plain();
  figures.coldFrom = 0.5;
  figures.warmMs = 1e9;
  figures.fallMultiple = 2;
  figures.fallSpanMs = 100;
  figures.slots = 1;
  figures.queue = 0;
  return figures;  // stands 2 x 1 x 100 ms of work in 100 ms, and one more job
}

TEST(ServerModel, AColdOneThatIsOverdrivenFallsOverAndStaysDown) {
  ServerModel server(fragile(), 0);
  for (int i = 0; i < 21; ++i) server.offer(i, static_cast<ServerModel::Job>(i + 1), 10);
  // 21 x 10 is twice the capacity and a job: what it declined counts as well.
  EXPECT_EQ(server.state(), ServerModel::State::up) << "just inside";
  server.offer(21, 99, 10);
  EXPECT_EQ(server.state(), ServerModel::State::fallen);
  EXPECT_EQ(server.offer(5000, 100, 1), Verdict::declined);
  EXPECT_EQ(server.state(), ServerModel::State::fallen) << "it stays down";
  server.stop(6000);
  server.start(6000);
  EXPECT_EQ(server.state(), ServerModel::State::up);
}

TEST(ServerModel, TheSameWorkOverALongerTimeDoesNotTopple) {
  ServerModel server(fragile(), 0);
  for (int i = 0; i < 200; ++i) server.offer(6.0 * i, static_cast<ServerModel::Job>(i + 1), 10);
  EXPECT_EQ(server.state(), ServerModel::State::up);
}

TEST(ServerModel, AWarmOneDoesNotFall) {
  ServerModel server(fragile(), -2e9);
  for (int i = 0; i < 1000; ++i) server.offer(i * 0.01, static_cast<ServerModel::Job>(i + 1), 10);
  EXPECT_EQ(server.state(), ServerModel::State::up);
}

TEST(ServerModel, ACrashLosesWhatItHolds) {
  ServerModel server(plain(), kLongAgo);
  for (ServerModel::Job job = 1; job <= 5; ++job) server.offer(0, job, 50);
  EXPECT_EQ(server.stop(10).size(), 5u);
  EXPECT_EQ(server.advance(1000), Jobs{});
  EXPECT_EQ(server.offer(20, 9, 1), Verdict::declined);
}

TEST(Ledger, AStoreStartsFullPaysAndRefills) {
  Ledger ledger({{2, 3, 0, 0, 0}});
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(ledger.firstAttempt(0, 7, 0, 1).inside);
  EXPECT_FALSE(ledger.firstAttempt(0, 7, 0, 1).inside);
  EXPECT_FALSE(ledger.hasRoom(499, 7, 0, 1));
  EXPECT_TRUE(ledger.hasRoom(500, 7, 0, 1)) << "two a second";
  EXPECT_TRUE(ledger.firstAttempt(500, 7, 0, 1).inside);
  EXPECT_TRUE(ledger.firstAttempt(0, 8, 0, 1).inside) << "each customer has its own";
  EXPECT_DOUBLE_EQ(ledger.store(1e9, 7, 0), 3) << "no more than the burst";
}

TEST(Ledger, TheOpenLimitCountsAttempts) {
  Ledger ledger({{0, 0, 2, 0, 0}});
  ledger.firstAttempt(0, 7, 0, 1);
  ledger.attemptOut(7);
  EXPECT_TRUE(ledger.hasRoom(0, 7, 0, 1));
  ledger.attemptOut(7);
  EXPECT_FALSE(ledger.hasRoom(0, 7, 0, 1));
  ledger.attemptOver(7);
  EXPECT_TRUE(ledger.hasRoom(0, 7, 0, 1));
}

TEST(Ledger, TheCeilingPaysForWhatIsBeyondTheQuotaToo) {
  Ledger ledger({{1, 1, 0, 10, 3}});
  EXPECT_DOUBLE_EQ(ledger.firstAttempt(0, 7, 0, 1).ceilingLeft, 2);
  const auto beyond = ledger.firstAttempt(0, 7, 0, 1);
  EXPECT_FALSE(beyond.inside);
  EXPECT_DOUBLE_EQ(beyond.ceilingLeft, 1);
  EXPECT_DOUBLE_EQ(ledger.firstAttempt(50, 7, 0, 1).ceilingLeft, 0.5);
  EXPECT_DOUBLE_EQ(ledger.firstAttempt(1e6, 7, 0, 1).ceilingLeft, 2) << "it holds no more than it began with";
}

TEST(Meter, TellsTheLastPeriodThatHasBeenAddedUp) {
  Meter meter(1000);
  for (int i = 0; i < 5; ++i) meter.add(100, 7, 1);
  meter.add(1100, 7, 1);
  EXPECT_EQ(meter.read(1200, 300, 7, 10), -1) << "no period has been over for 300 ms";
  EXPECT_EQ(meter.read(1300, 300, 7, 10), 50);
  EXPECT_EQ(meter.read(2299, 300, 7, 10), 50);
  EXPECT_EQ(meter.read(2300, 300, 7, 10), 10);
  EXPECT_EQ(meter.read(3300, 300, 7, 10), 0);
  EXPECT_EQ(meter.read(2300, 300, 8, 10), 0) << "unknown: it used nothing";
}

TEST(Histogram, IsWithinItsErrorOverItsWholeRange) {
  for (const double value : {0.001, 0.1, 1.0, 12.345, 250.0, 4000.0, 3.6e6}) {
    Histogram histogram;
    histogram.add(value);
    histogram.add(1e7);
    EXPECT_NEAR(histogram.percentile(50), value, value / 128 + 0.0005) << value;
  }
}

TEST(Histogram, GivesPercentiles) {
  Histogram histogram;
  EXPECT_EQ(histogram.percentile(99), 0);
  for (int i = 1; i <= 1000; ++i) histogram.add(i);
  EXPECT_NEAR(histogram.percentile(50), 500, 500.0 / 128);
  EXPECT_NEAR(histogram.percentile(99), 990, 990.0 / 128);
  EXPECT_EQ(histogram.percentile(100), 1000);
}

TEST(Random, HasTheMeansThatItIsAskedFor) {
  Random random(1, "test");
  double exponential = 0, lognormal = 0;
  constexpr int kDraws = 200000;
  for (int i = 0; i < kDraws; ++i) exponential += random.exponential(5), lognormal += random.lognormal(5, 1);
  EXPECT_NEAR(exponential / kDraws, 5, 0.1);
  EXPECT_NEAR(lognormal / kDraws, 5, 0.1);
}

TEST(Random, StreamsDoNotDependOnEachOther) {
  EXPECT_EQ(Random(1, "a").next(), Random(1, "a").next());
  EXPECT_NE(Random(1, "a").next(), Random(1, "b").next());
  EXPECT_NE(Random(1, "a", 1).next(), Random(1, "a", 2).next());
}

}  // namespace
}  // namespace burlwind::rehearsal
