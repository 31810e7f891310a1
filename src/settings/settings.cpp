#include "settings/settings.hpp"

#include <charconv>
#include <functional>
#include <map>
#include <stdexcept>

namespace irisring {
namespace {

constexpr unsigned kMostItems = 4096;  // a list longer than this is taken for a damaged frame

[[noreturn]] void bad(std::string_view what, std::string_view text) {
  throw std::runtime_error(std::string(what) + ": " + std::string(text));
}

double number(std::string_view key, std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) bad("settings: not a number", key);
  return value;
}

unsigned whole(std::string_view key, std::string_view text) {
  const double value = number(key, text);
  if (!(value >= 0 && value <= 4294967295.0)) bad("settings: not a whole number", key);
  return static_cast<unsigned>(value);
}

bool truth(std::string_view key, std::string_view text) {
  if (text == "true") return true;
  if (text == "false") return false;
  bad("settings: neither true nor false", key);
}

std::vector<std::string> words(std::string_view text) {
  std::vector<std::string> out;
  while (!text.empty()) {
    const auto comma = text.find(',');
    out.emplace_back(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
  }
  return out;
}

using Pairs = std::map<std::string, std::string, std::less<>>;
using Setter = std::function<void(std::string_view key, std::string_view value)>;

void read(const Pairs& pairs, const std::string& key, const Setter& set) {
  const auto found = pairs.find(key);
  if (found != pairs.end()) set(key, found->second);
}

void readNumber(const Pairs& pairs, const std::string& key, double& target) {
  read(pairs, key, [&](std::string_view k, std::string_view v) { target = number(k, v); });
}

void readWhole(const Pairs& pairs, const std::string& key, unsigned& target) {
  read(pairs, key, [&](std::string_view k, std::string_view v) { target = whole(k, v); });
}

void readTruth(const Pairs& pairs, const std::string& key, bool& target) {
  read(pairs, key, [&](std::string_view k, std::string_view v) { target = truth(k, v); });
}

unsigned count(const Pairs& pairs, const std::string& key) {
  unsigned items = 0;
  readWhole(pairs, key + ".count", items);
  if (items > kMostItems) bad("settings: too many items", key);
  return items;
}

ClassSettings readClass(const Pairs& pairs, const std::string& at) {
  ClassSettings out;
  readNumber(pairs, at + "aim", out.aim);
  readNumber(pairs, at + "deadline", out.deadline);
  readNumber(pairs, at + "window", out.window);
  readNumber(pairs, at + "worth", out.worth);
  readNumber(pairs, at + "lateWorth", out.lateWorth);
  read(pairs, at + "repeat", [&](std::string_view k, std::string_view v) {
    if (v == "safe")
      out.repeat = Repeat::safe;
    else if (v == "keyed")
      out.repeat = Repeat::keyed;
    else if (v == "unsafe")
      out.repeat = Repeat::unsafe;
    else
      bad("settings: unknown word", k);
  });
  read(pairs, at + "dedupScope", [&](std::string_view k, std::string_view v) {
    if (v == "all")
      out.scope = Scope::all;
    else if (v == "zone")
      out.scope = Scope::zone;
    else if (v == "cell")
      out.scope = Scope::cell;
    else
      bad("settings: unknown word", k);
  });
  return out;
}

PlanSettings readPlan(const Pairs& pairs, const std::string& at) {
  PlanSettings out;
  readNumber(pairs, at + "unitsPerS", out.rate);
  readNumber(pairs, at + "depth", out.burst);
  readWhole(pairs, at + "atOnce", out.openLimit);
  readNumber(pairs, at + "ceilingRate", out.ceilingRate);
  readNumber(pairs, at + "hardBurst", out.ceilingBurst);
  readNumber(pairs, at + "tolerance", out.ceilingSlack);
  readNumber(pairs, at + "pays", out.price);
  readNumber(pairs, at + "overWorth", out.overWorth);
  readNumber(pairs, at + "overrunCost", out.overCost);
  return out;
}

Pairs readPairs(std::string_view text) {
  Pairs pairs;
  while (!text.empty()) {
    const auto end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty()) continue;
    const auto sign = line.find('=');
    if (sign == std::string_view::npos) bad("settings: a line without '='", line.substr(0, 60));
    pairs.insert_or_assign(std::string(line.substr(0, sign)), std::string(line.substr(sign + 1)));
  }
  return pairs;
}

std::vector<std::string> names(const Pairs& pairs, const std::string& key) {
  std::vector<std::string> out(count(pairs, key));
  for (std::size_t i = 0; i < out.size(); ++i)
    read(pairs, key + "." + std::to_string(i) + ".name",
         [&](std::string_view, std::string_view v) { out[i] = v; });
  return out;
}

}  // namespace

Settings parseSettings(std::string_view text) {
  const Pairs pairs = readPairs(text);
  Settings out;
  readWhole(pairs, "me", out.self);
  readWhole(pairs, "nInstances", out.gateways);
  readWhole(pairs, "locality", out.zone);
  read(pairs, "report.fields", [&](std::string_view, std::string_view v) { out.reportFields = words(v); });
  read(pairs, "discovery", [&](std::string_view k, std::string_view v) {
    if (v != "pushed" && v != "on_request") bad("settings: unknown word", k);
    out.askDiscovery = v == "on_request";
  });
  readNumber(pairs, "rules.askWithin", out.askWithin);
  readWhole(pairs, "permissions.attemptsCap", out.maxAttempts);
  readNumber(pairs, "permissions.maxRetryAfter", out.maxRetryAfter);
  readNumber(pairs, "familyInfo.metering", out.meterPeriod);
  readTruth(pairs, "familyInfo.truedUp", out.settlesUnits);
  readNumber(pairs, "familyInfo.mostUnits", out.mostUnits);
  readNumber(pairs, "rules.stopSendingWithin", out.drainGrace);
  readNumber(pairs, "rules.coldFrom", out.coldFrom);
  readNumber(pairs, "rules.warmUp", out.warmUp);
  readNumber(pairs, "rules.fallMultiple", out.fallMultiple);
  readNumber(pairs, "rules.overloadFor", out.fallSpan);
  readNumber(pairs, "prices.crossZone", out.crossZonePrice);
  const unsigned classes = count(pairs, "profiles");
  for (unsigned i = 0; i < classes; ++i)
    out.classes.push_back(readClass(pairs, "profiles." + std::to_string(i) + "."));
  const unsigned plans = count(pairs, "plans");
  for (unsigned i = 0; i < plans; ++i)
    out.plans.push_back(readPlan(pairs, "plans." + std::to_string(i) + "."));
  return out;
}

HostSettings parseHostSettings(std::string_view text) {
  const Pairs pairs = readPairs(text);
  HostSettings out;
  out.classes = names(pairs, "profiles");
  out.plans = names(pairs, "plans");
  read(pairs, "localities", [&](std::string_view, std::string_view v) { out.zones = words(v); });
  read(pairs, "shapes", [&](std::string_view, std::string_view v) { out.kinds = words(v); });
  readNumber(pairs, "permissions.dialTimeout", out.connectTimeout);
  readNumber(pairs, "permissions.connIdle", out.idleTimeout);
  return out;
}

}  // namespace irisring
