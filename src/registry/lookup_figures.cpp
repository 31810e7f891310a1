#include "registry/lookup_figures.hpp"

#include <string_view>
#include <utility>

#include "program/log.hpp"
#include "program/prometheus.hpp"

namespace burlwind::registry {
namespace {

using program::appendSample;
using program::appendType;
using program::label;

constexpr std::string_view kPlaceNames[kPlaces] = {"own_zone", "own_region", "home_region", "unfit_region",
                                                   "free_region"};

}  // namespace

std::string LookupFigures::text() const {
  constexpr std::string_view lookups = "burlwind_lookups_total";
  constexpr std::string_view withUnfit = "burlwind_lookups_with_unfit_region_total";
  constexpr std::string_view addresses = "burlwind_lookup_addresses_total";
  std::string out;
  appendType(out, lookups, "counter");
  appendSample(out, lookups, label("outcome", "answered"), answered_);
  appendSample(out, lookups, label("outcome", "refused"), refused_);
  appendType(out, withUnfit, "counter");
  appendSample(out, withUnfit, "", withUnfit_);
  appendType(out, addresses, "counter");
  for (std::size_t place = 0; place < kPlaces; ++place)
    appendSample(out, addresses, label("place", kPlaceNames[place]), named_[place]);
  return out;
}

void LookupFigures::report() {
  const Counts now{answered_, withUnfit_, refused_};
  const Counts before = std::exchange(reported_, now);
  const auto namedBefore = std::exchange(reportedNamed_, named_);
  if (now.answered == before.answered && now.refused == before.refused) return;
  program::info("look-ups", {{"answered", now.answered - before.answered},
                             {"withUnfitRegion", now.withUnfit - before.withUnfit},
                             {"refused", now.refused - before.refused},
                             {"ownZone", named_[0] - namedBefore[0]},
                             {"ownRegion", named_[1] - namedBefore[1]},
                             {"homeRegion", named_[2] - namedBefore[2]},
                             {"unfitRegion", named_[3] - namedBefore[3]},
                             {"freeRegion", named_[4] - namedBefore[4]}});
}

}  // namespace burlwind::registry
