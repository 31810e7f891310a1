#include "registry/lookup_figures.hpp"

#include <string_view>
#include <utility>

#include "program/log.hpp"

namespace burlwind::registry {
namespace {

constexpr std::string_view kPlaceNames[kPlaces] = {"own_zone", "own_region", "home_region", "unfit_region",
                                                   "free_region"};

void appendSample(std::string& out, std::string_view name, std::uint64_t value) {
  out.append(name).append(" ").append(std::to_string(value)).append("\n");
}

}  // namespace

std::string LookupFigures::text() const {
  std::string out = "# TYPE burlwind_lookups_total counter\n";
  appendSample(out, R"(burlwind_lookups_total{outcome="answered"})", answered_);
  appendSample(out, R"(burlwind_lookups_total{outcome="refused"})", refused_);
  out += "# TYPE burlwind_lookups_with_unfit_region_total counter\n";
  appendSample(out, "burlwind_lookups_with_unfit_region_total", withUnfit_);
  out += "# TYPE burlwind_lookup_addresses_total counter\n";
  for (std::size_t place = 0; place < kPlaces; ++place)
    appendSample(out, "burlwind_lookup_addresses_total{place=\"" + std::string(kPlaceNames[place]) + "\"}",
                 named_[place]);
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
