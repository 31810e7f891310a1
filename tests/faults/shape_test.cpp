// One direction of a link under virtual time: order, amounts and times as its condition says.
#include "faults/shape.hpp"

#include <gtest/gtest.h>

#include "faults/timetable.hpp"

namespace burlwind::faults {
namespace {

// Takes all that goes out until `until`, and returns (time, bytes) of each piece.
std::vector<std::pair<double, std::size_t>> drain(Shape& shape, double now, double until) {
  std::vector<std::pair<double, std::size_t>> out;
  for (;;) {
    if (const std::size_t n = shape.take(now)) {
      out.emplace_back(now, n);
      continue;
    }
    if (shape.nextAt() > until) return out;
    now = shape.nextAt();
  }
}

TEST(Shape, AnOpenOnePassesAsItComes) {
  Shape shape(1);
  shape.push(100, 5);
  EXPECT_EQ(shape.take(5), 100u);
  EXPECT_EQ(shape.take(5), 0u);
  EXPECT_EQ(shape.waiting(), 0u);
}

TEST(Shape, WhatACutHoldsBackGoesOutWholeWhenItHeals) {
  for (const Way way : {Way::silent, Way::held, Way::reset}) {
    Shape shape(1);
    shape.push(10, 0);
    shape.set({way}, 1);
    shape.push(20, 2);
    EXPECT_EQ(shape.nextAt(), Shape::kNever) << nameOf(way);
    EXPECT_EQ(shape.take(1e9), 0u) << nameOf(way);
    shape.set({}, 50);
    EXPECT_EQ(drain(shape, 50, 50), (std::vector<std::pair<double, std::size_t>>{{50, 10}, {50, 20}}));
  }
}

TEST(Shape, ARateIsKeptOverAnyTime) {
  Condition slow;
  slow.bytesPerS = 1000;
  Shape shape(1);
  shape.set(slow, 0);
  shape.push(500, 0);
  const auto out = drain(shape, 0, 1e6);
  double sent = 0;
  for (const auto& [at, bytes] : out) {
    sent += static_cast<double>(bytes);
    EXPECT_LE(sent, 1000 * at / 1000 + 10) << "at " << at;
  }
  EXPECT_EQ(sent, 500);
  EXPECT_NEAR(out.back().first, 490, 11);
}

TEST(Shape, AByteASecond) {
  Condition slow;
  slow.bytesPerS = 1;
  Shape shape(1);
  shape.set(slow, 0);
  shape.push(3, 0);
  EXPECT_EQ(drain(shape, 0, 10000),
            (std::vector<std::pair<double, std::size_t>>{{0, 1}, {1000, 1}, {2000, 1}}));
}

TEST(Shape, JitterKeepsTheOrderAndItsBound) {
  Condition late;
  late.delayMs = 20, late.jitterMs = 30;
  Shape shape(7);
  shape.set(late, 0);
  for (int i = 0; i < 200; ++i) shape.push(static_cast<std::size_t>(i + 1), i);
  const auto out = drain(shape, 0, 1e6);
  ASSERT_EQ(out.size(), 200u);
  bool varies = false;
  for (std::size_t i = 0; i < out.size(); ++i) {
    EXPECT_EQ(out[i].second, i + 1);  // none overtakes another
    EXPECT_GE(out[i].first, static_cast<double>(i) + 20);
    EXPECT_LE(out[i].first, static_cast<double>(i) + 50);
    varies = varies || out[i].first > static_cast<double>(i) + 21;
  }
  EXPECT_TRUE(varies);
}

TEST(Shape, PiecesAreSmallAndApart) {
  Condition pieces;
  pieces.piece = 7, pieces.gapMs = 2;
  Shape shape(1);
  shape.set(pieces, 0);
  shape.push(20, 0);
  EXPECT_EQ(drain(shape, 0, 100), (std::vector<std::pair<double, std::size_t>>{{0, 7}, {2, 7}, {4, 6}}));
}

TEST(Timetable, TwoFaultsAtOnceAreBothInForce) {
  Timetable table;
  Condition slow;
  slow.bytesPerS = 100, slow.delayMs = 5;
  table.add({10, 20, {{"a"}, "", ""}, {{"b"}, "", ""}, true, slow, ""});
  table.part(20, 20, {{}, "one", ""}, {{}, "two", ""});
  const End a{"a", "one", ""}, b{"b", "two", ""}, c{"c", "one", ""};
  EXPECT_EQ(table.at(9, a, b), Condition{});
  EXPECT_EQ(table.at(10, b, a), slow);
  EXPECT_EQ(table.at(25, a, b).way, Way::silent);
  EXPECT_EQ(table.at(25, a, b).bytesPerS, 100);
  EXPECT_EQ(table.at(25, b, c).way, Way::silent);
  EXPECT_EQ(table.at(25, a, c), Condition{});  // the same side of the cut
  EXPECT_EQ(table.at(40, a, b), Condition{});
  EXPECT_EQ(table.nextEdge(10), 20);
  EXPECT_EQ(table.nextEdge(40), Shape::kNever);
}

TEST(Timetable, OneWayOnlyIsOneWay) {
  Timetable table;
  table.add({0, 10, {{}, "", "north"}, {{"b"}, "", ""}, false, {Way::held}, ""});
  const End a{"a", "", "north"}, b{"b", "", "south"};
  EXPECT_EQ(table.at(5, a, b).way, Way::held);
  EXPECT_EQ(table.at(5, b, a).way, Way::open);
  EXPECT_TRUE(table.touched(9, 12, a, b));
  EXPECT_FALSE(table.touched(10, 12, a, b));
  EXPECT_FALSE(table.touched(0, 9, b, a));
}

}  // namespace
}  // namespace burlwind::faults
