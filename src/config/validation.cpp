#include "config/validation.hpp"

#include <algorithm>
#include <span>
#include <string_view>
#include <unordered_set>

#include "config/settings.hpp"

namespace burlwind::config {
namespace {

enum class FieldType {
  version,
  name,
  host,
  prefix,
  path,
  key,
  homes,
  truth,
  number,
  whole,
  timeMs,
  list,
  table
};
enum class Presence { required, optional };

struct FieldRule {
  const char* name;
  Presence presence;
  FieldType type;
  double least = 0, most = 0;  // of numbers and times
};

constexpr double kMostWhole = 9007199254740991;          // the largest whole number that JSON carries safely
constexpr double kMostCount = 1e9;                       // of what is counted in 32 bits, or summed up
constexpr double kLongestMs = 365.0 * 24 * 3600 * 1000;  // far below where 64 bits of nanoseconds end
constexpr double kShortestMs = 1;                        // nothing is answered in less
constexpr double kLeastHeaderBytes = 64;                 // no request is shorter
constexpr double kMostHeaderBytes = 2147483647;          // the HTTP parser counts in 32 bits

constexpr auto kRequired = Presence::required;
constexpr auto kOptional = Presence::optional;

constexpr FieldRule kRootFields[] = {
    {"generation", kRequired, FieldType::version, 1, kMostWhole},
    {"parentVersion", kRequired, FieldType::version, 0, kMostWhole},
    {"routes", kRequired, FieldType::list},
    {"backends", kRequired, FieldType::list},
    {"limits", kRequired, FieldType::table},
    {"customers", kOptional, FieldType::list},
};
constexpr FieldRule kRouteFields[] = {
    {"name", kRequired, FieldType::name},
    {"hostname", kRequired, FieldType::host},
    {"pathPrefix", kRequired, FieldType::prefix},
    {"timeout", kRequired, FieldType::timeMs, kShortestMs, kLongestMs},
    {"target", kRequired, FieldType::timeMs, 0, kLongestMs},
    {"priority", kRequired, FieldType::whole, 0, kMostCount},
    {"tries", kRequired, FieldType::whole, 1, kMostCount},
    {"public", kOptional, FieldType::truth},
    {"homeRegions", kOptional, FieldType::homes},
};
constexpr FieldRule kPartFields[] = {
    {"backend", kRequired, FieldType::name},
    {"weight", kRequired, FieldType::number, 0, kMostCount},
};
constexpr FieldRule kServiceFields[] = {
    {"name", kRequired, FieldType::name},
    {"healthPath", kRequired, FieldType::path},
    {"maxConns", kRequired, FieldType::whole, 1, kMostCount},
    {"coldFor", kRequired, FieldType::timeMs, 0, kLongestMs},
    {"coldRateS", kRequired, FieldType::number, 0, kMostCount},
};
constexpr FieldRule kLimitFields[] = {
    {"maxHeaderBytes", kRequired, FieldType::whole, kLeastHeaderBytes, kMostHeaderBytes},
    {"maxBodyBytes", kRequired, FieldType::whole, 0, kMostWhole},
    {"headerRead", kRequired, FieldType::timeMs, kShortestMs, kLongestMs},
    {"idle", kRequired, FieldType::timeMs, kShortestMs, kLongestMs},
};
constexpr FieldRule kTenantFields[] = {
    {"name", kRequired, FieldType::name},
    {"apiKeys", kRequired, FieldType::list},
    {"priority", kOptional, FieldType::whole, 0, kMostCount},
    {"ratePerS", kOptional, FieldType::number, 0, kMostCount},
    {"burst", kOptional, FieldType::number, 0, kMostCount},
    {"homeRegions", kOptional, FieldType::homes},
};

bool hasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}
bool hasAnyOf(std::string_view text, std::string_view chars) {
  return text.find_first_of(chars) != std::string_view::npos;
}

// --- Single fields ---

// Fit for a header's value: it goes into one.
void checkName(const Reader& field) {
  const std::string_view text = field.view();
  if (text.empty()) return field.fail("is empty");
  if (hasControl(text)) return field.fail("has a control character");
  if (text.front() == ' ' || text.back() == ' ') field.fail("begins or ends with a space");
}

void checkHost(const Reader& field) {
  checkName(field);
  if (hasAnyOf(field.view(), " :/?#@")) field.fail("is no host name without a port");
}

void checkPath(const Reader& field) {
  const std::string_view text = field.view();
  if (!text.starts_with('/')) field.fail("does not begin with a slash");
  if (hasControl(text) || hasAnyOf(text, " #")) field.fail("is no path");
}

void checkPrefix(const Reader& field) {
  checkPath(field);
  if (!field.view().ends_with('/')) field.fail("does not begin and end with a slash");
  if (hasAnyOf(field.view(), "?")) field.fail("is no path");
}

void checkKey(const Reader& field) {
  const std::string_view text = field.view();
  if (text.empty()) return field.fail("is empty");
  if (hasControl(text) || hasAnyOf(text, " ")) field.fail("can't be sent as a key");
}

void checkRange(const Reader& field, double value, const FieldRule& rule) {
  if (value < rule.least)
    field.fail(rule.least > 0
                   ? "is too small: " + std::to_string(static_cast<long long>(rule.least)) + " is the least"
                   : "is below 0");
  if (value > rule.most) field.fail("is too large");
}

void checkNumber(const Reader& field, const FieldRule& rule) {
  const double value = field.number();
  if (rule.type == FieldType::whole && value != std::floor(value)) field.fail("is no whole number");
  checkRange(field, value, rule);
}

void checkTime(const Reader& field, const FieldRule& rule) {
  const auto value = milliseconds(field.text());
  if (!value) return field.fail("is no time such as \"1500ms\" or \"2.5s\"");
  checkRange(field, *value, rule);
}

void checkField(const Reader& field, const FieldRule& rule) {
  switch (rule.type) {
    case FieldType::version:
      break;  // by the reader; its range with the whole
    case FieldType::name:
      return checkName(field);
    case FieldType::host:
      return checkHost(field);
    case FieldType::prefix:
      return checkPrefix(field);
    case FieldType::path:
      return checkPath(field);
    case FieldType::key:
      return checkKey(field);
    case FieldType::truth:
      return static_cast<void>(field.truth());
    case FieldType::number:
    case FieldType::whole:
      return checkNumber(field, rule);
    case FieldType::timeMs:
      return checkTime(field, rule);
    case FieldType::list:
      return static_cast<void>(field.items());
    case FieldType::table:
      return static_cast<void>(field.fields());
    case FieldType::homes:
      for (const Reader& region : field.items()) checkName(region);
  }
}

void checkFields(const Reader& table, std::span<const FieldRule> rules) {
  for (const FieldRule& rule : rules) {
    const Reader field = table.at(rule.name);
    if (table.has(rule.name))
      checkField(field, rule);
    else if (rule.presence == Presence::required)
      field.fail("is not there");
  }
}

// --- What goes together ---

class Names {
 public:
  void add(const Reader& field) {
    if (!seen_.insert(field.view()).second) field.fail("stands twice");
  }

 private:
  std::unordered_set<std::string_view> seen_;
};

// Homes of which no zone of the system is part could be served by nobody.
void checkHomes(const Reader& owner, const std::set<std::string>& regions) {
  if (regions.empty() || !owner.has("homeRegions")) return;
  const Reader homes = owner.at("homeRegions");
  const auto all = homes.items();
  const auto isKnown = [&](const Reader& region) { return regions.contains(region.text()); };
  if (!all.empty() && std::none_of(all.begin(), all.end(), isKnown))
    homes.fail("names no region that has a zone");
}

void checkServices(const Reader& route) {
  const bool hasSplit = route.has("split") && !route.at("split").items().empty();
  if (!hasSplit) return checkName(route.at("backend"));
  if (route.has("backend")) route.at("backend").fail("stands beside a split");
  double sum = 0;
  for (const Reader& part : route.at("split").items()) {
    checkFields(part, kPartFields);
    sum += part.at("weight").number();
  }
  if (sum <= 0) route.at("split").fail("has no part with a weight");
}

void checkRoutes(const Reader& root, const std::set<std::string>& regions) {
  Names names;
  for (const Reader& route : root.at("routes").items()) {
    checkFields(route, kRouteFields);
    checkServices(route);
    checkHomes(route, regions);
    names.add(route.at("name"));
  }
}

void checkBackends(const Reader& root) {
  Names names;
  for (const Reader& service : root.at("backends").items()) {
    checkFields(service, kServiceFields);
    names.add(service.at("name"));
  }
}

void checkTenants(const Reader& root, const std::set<std::string>& regions) {
  if (!root.has("customers")) return;
  Names names;
  Names keys;
  for (const Reader& tenant : root.at("customers").items()) {
    checkFields(tenant, kTenantFields);
    checkHomes(tenant, regions);
    names.add(tenant.at("name"));
    for (const Reader& key : tenant.at("apiKeys").items()) {
      checkKey(key);
      keys.add(key);
    }
  }
}

void checkVersions(const Reader& root, const Configuration& read) {
  checkRange(root.at("generation"), static_cast<double>(read.version), kRootFields[0]);
  checkRange(root.at("parentVersion"), static_cast<double>(read.parent), kRootFields[1]);
}

}  // namespace

std::string validate(const picojson::value& json, const Configuration& read,
                     const std::set<std::string>& regions) {
  std::string fault;
  const Reader root(json, fault);
  checkFields(root, kRootFields);
  checkVersions(root, read);
  checkRoutes(root, regions);
  checkBackends(root);
  checkFields(root.at("limits"), kLimitFields);
  checkTenants(root, regions);
  return fault;
}

}  // namespace burlwind::config
