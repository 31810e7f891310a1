#include "recovery/core.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace burlwind::recovery {
namespace {

constexpr std::array<Thing, kThings> kAll{Thing::list, Thing::warmth, Thing::use, Thing::ceilings,
                                          Thing::out};
constexpr double kNineTenths = 0.9;

std::string seconds(Time ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", ms / 1000);
  return text;
}

}  // namespace

const char* nameOf(Thing thing) {
  constexpr std::array<const char*, kThings> kNames{"list", "warmth", "use", "ceilings", "out"};
  return kNames[static_cast<std::size_t>(thing)];
}

const char* nameOf(Degree degree) {
  constexpr std::array<const char*, 3> kNames{"unknown", "doubtful", "sure"};
  return kNames[static_cast<std::size_t>(degree)];
}

const char* nameOf(Found found) {
  constexpr std::array<const char*, 5> kNames{"nothing is kept", "nothing found", "spoilt", "of unknown age",
                                              "whole"};
  return kNames[static_cast<std::size_t>(found)];
}

Core::Core(Time now, const Stored& stored, const Horizons& horizons)
    : stored_(stored), horizons_(horizons), startedAt_(now), freshSince_(now), rateAt_(now) {
  const bool whole = stored.found == Found::whole && stored.age >= 0;
  // Workers may have been replaced since, but an old list is better than none: discovery corrects it.
  permits_.takesList = (whole && stored.age <= kListMost) || stored.found == Found::ageless;
  permits_.takesUse = whole && stored.age <= kUseMost;
  permits_.takesWorkers = whole && stored.age <= kWorkersMost;
  const auto least = [](bool taken) { return taken ? Degree::doubtful : Degree::nothing; };
  at(Thing::use).least = at(Thing::ceilings).least = least(permits_.takesUse);
  at(Thing::warmth).least = least(permits_.takesWorkers);
  at(Thing::out).least = least(permits_.takesUse);
  // What time alone makes sure: an empty ceiling is full by then, and what the process before had out is
  // over.
  at(Thing::ceilings).sureAt = now + horizons.ceilings;
  at(Thing::out).sureAt = now + horizons.out;
  at(Thing::use).sureAt = now + (horizons.metered ? kAnyway : horizons.use);
  at(Thing::warmth).sureAt = now + kAnyway;
}

bool Core::on(Time now, Event event) {
  switch (event) {
    case Event::cached:
      at(Thing::list).least = std::max(at(Thing::list).least, Degree::doubtful);
      break;
    case Event::listed:
      at(Thing::list) = {Degree::doubtful, now};
      holdsUntil_ = -kNever;
      break;
    case Event::reading:
      // The first ones tell of time before the start.
      at(Thing::use).least = std::max(at(Thing::use).least, Degree::doubtful);
      if (now - freshSince_ >= horizons_.use) at(Thing::use).sureAt = std::min(at(Thing::use).sureAt, now);
      break;
    case Event::good:
      rate_ = rate_ * std::exp(-(now - rateAt_) / kRateKeep) + 1 / kRateKeep;
      rateAt_ = now;
      if (firstGood_ == kNever) firstGood_ = now;
      at(Thing::warmth).least = std::max(at(Thing::warmth).least, Degree::doubtful);
      if (now - firstGood_ >= horizons_.warmth)
        at(Thing::warmth).sureAt = std::min(at(Thing::warmth).sureAt, now);
      break;
  }
  return look(now);
}

bool Core::ready(Time now) {
  if (toReady_ != kNever) return false;
  toReady_ = now - startedAt_;
  return true;
}

bool Core::woke(Time since, Time now) {
  const Time gap = now - since;
  if (gap < kStopLeast) return false;
  ++stops_;
  freshSince_ = now;
  // A change of the list may lie unread behind what is done first.
  at(Thing::list).sureAt = kNever;
  holdsUntil_ = now + kHold;
  staleUntil_ = now + kTurn;
  stoppedSince_ = since;
  // Readings of before tell of use that has gone on without this gatekeeper.
  const auto again = [&](Thing thing, Time span) {
    if (gap > span) at(thing) = {Degree::doubtful, now + kAnyway};
  };
  again(Thing::use, horizons_.use);
  again(Thing::warmth, horizons_.warmth);
  if (gap > horizons_.warmth) firstGood_ = kNever;
  // Ceilings only filled meanwhile, and what was out then has ended or runs on as this process knows.
  return true;
}

Degree Core::degree(Thing thing, Time now) const {
  const Knowledge& known = at(thing);
  return known.sureAt <= now ? Degree::sure : known.least;
}

unsigned Core::sureCount(Time now) const {
  return static_cast<unsigned>(std::count_if(
      kAll.begin(), kAll.end(), [&](Thing thing) { return degree(thing, now) == Degree::sure; }));
}

bool Core::whole(Time now) const { return sureCount(now) == kThings; }

double Core::goodPerSecond(Time now) const {
  return 1000 * rate_ * std::exp(-std::max(0.0, now - rateAt_) / kRateKeep);
}

bool Core::look(Time now) {
  bool changed = std::exchange(told_, sureCount(now)) != sureCount(now);
  if (toNineTenths_ == kNever && stored_.goodPerSecond > 0 &&
      goodPerSecond(now) >= kNineTenths * stored_.goodPerSecond) {
    toNineTenths_ = now - startedAt_;
    changed = true;
  }
  if (toWhole_ == kNever && whole(now)) {
    toWhole_ = now - startedAt_;
    changed = true;
  }
  return changed;
}

std::optional<Time> Core::next(Time now) const {
  std::optional<Time> out;
  for (const Knowledge& known : known_)
    if (known.sureAt > now && known.sureAt != kNever) out = std::min(out.value_or(kNever), known.sureAt);
  return out;
}

std::string Core::describe(Time now) const {
  std::string out;
  for (const Thing thing : kAll)
    out += (out.empty() ? "" : ", ") + std::string(nameOf(thing)) + " " + nameOf(degree(thing, now));
  if (toReady_ != kNever) out += "; ready after " + seconds(toReady_);
  if (toNineTenths_ != kNever) out += ", nine tenths of the rate before after " + seconds(toNineTenths_);
  if (toWhole_ != kNever) out += ", whole after " + seconds(toWhole_);
  if (stops_ > 0) out += "; stopped " + std::to_string(stops_) + " times";
  return out;
}

Time Backoff::next(double draw) {
  span_ = span_ > 0 ? std::min(2 * span_, most_) : first_;
  return span_ * (0.5 + 0.5 * draw);
}

}  // namespace burlwind::recovery
