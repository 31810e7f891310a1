#include "rehearsal/platform.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace burlwind::rehearsal {
namespace {

using nlohmann::json;

constexpr double kMaxRetryAfterMs = 1000;

json profiles(const Scenario& scenario) {
  json out = json::array();
  for (const ClassSpec& c : scenario.classes)
    out.push_back({{"name", c.name},
                   {"aim", c.aimMs},
                   {"deadline", c.deadlineMs},
                   {"repeat", c.repeat == Repeat::safe    ? "safe"
                              : c.repeat == Repeat::keyed ? "keyed"
                                                          : "unsafe"},
                   {"dedupScope", c.scope == Scope::zone ? "zone" : "all"},
                   {"window", c.windowMs},
                   {"worth", c.worth},
                   {"lateWorth", 0.0},
                   {"streaming", false}});
  return out;
}

json plans(const Scenario& scenario) {
  json out = json::array();
  for (const PlanSpec& p : scenario.plans)
    out.push_back({{"name", p.name},
                   {"unitsPerS", p.rate},
                   {"depth", p.burst},
                   {"atOnce", p.openLimit},
                   {"ceilingRate", p.ceilingRate},
                   {"hardBurst", p.ceilingBurst},
                   {"tolerance", p.ceilingSlack},
                   {"pays", p.price},
                   {"overWorth", 0.0},
                   {"overrunCost", p.overCost}});
  return out;
}

}  // namespace

std::string zoneName(unsigned zone) { return "building-" + std::string(1, static_cast<char>('a' + zone)); }

std::string operatorFile(const Scenario& scenario, const std::vector<std::string>& checkers) {
  const auto listed = [](const std::vector<std::string>& texts) { return json(texts).dump(); };
  std::vector<std::string> safe;
  for (const ClassSpec& spec : scenario.classes)
    if (spec.repeat == Repeat::safe) safe.push_back(spec.name);
  std::string out = "[auth]\ncheckers = " + listed(checkers) +
                    "\nsend_headers = [\"Authorization\"]\ntake_headers = [\"" + std::string(kChecked) +
                    "\"]\n" + "path = \"/check\"\nlast_ms = 60000\n";
  if (!safe.empty())
    out += "[[auth.route]]\nclasses = " + listed(safe) + "\nwhen_down = \"" + scenario.checkers.whenDown +
           "\"\n";
  return out;
}

std::string daemonConfig(const Scenario& scenario, unsigned gatekeeper, const std::string& listen,
                         const std::string& discovery, std::uint64_t seed) {
  json zones = json::array();
  for (unsigned zone = 0; zone < scenario.fleet.zones; ++zone) zones.push_back(zoneName(zone));
  char salt[17];
  std::snprintf(salt, sizeof salt, "%016llx", static_cast<unsigned long long>(seed));
  const json settings{
      {"me", gatekeeper},
      {"nInstances", scenario.gatekeepers.count},
      {"locality", gatekeeper % scenario.fleet.zones},
      {"localities", zones},
      {"shapes", {"std"}},
      {"discovery", "pushed"},
      {"profiles", profiles(scenario)},
      {"plans", plans(scenario)},
      {"permissions",
       {{"attemptsCap", 4},
        {"dialTimeout", scenario.gatekeepers.connectMs},
        {"connIdle", scenario.fleet.idleMs},
        {"maxRetryAfter", kMaxRetryAfterMs},
        {"secondCopies", false},
        {"mayCancel", true},
        {"mayProbe", false}}},
      {"familyInfo", {{"metering", scenario.fleet.meterPeriodMs}, {"truedUp", false}, {"mostUnits", 1}}},
      {"report", {{"how", "answers"}, {"fields", {"util", "queue"}}}},
      {"rules",
       {{"stopSendingWithin", scenario.rules.drainGraceMs},
        {"coldFrom", scenario.fleet.coldFrom},
        {"warmUp", scenario.fleet.warmMs},
        {"fallMultiple", scenario.rules.fallMultiple},
        {"overloadFor", scenario.rules.fallSpanMs},
        {"graceToAnswer", scenario.rules.answerGraceMs}}},
      {"prices", {{"crossZone", 0.005}}}};
  return json{{"name", "n" + std::to_string(gatekeeper)},
              {"listen", listen},
              {"discovery", discovery},
              {"seed", salt},
              {"limits",
               {{"cores", 1.0},
                {"memory_mb", scenario.gatekeepers.memoryMb},
                {"sockets", scenario.gatekeepers.sockets}}},
              {"settings", settings}}
      .dump(1);
}

}  // namespace burlwind::rehearsal
