#include "config/configuration.hpp"

#include <algorithm>
#include <charconv>
#include <set>

#include "config/fields.hpp"
#include "config/json.hpp"
#include "config/settings.hpp"
#include "config/validation.hpp"

namespace burlwind::config {
namespace {

constexpr double kVersionsEnd = 18446744073709551616.0;  // the first that 64 bits don't hold
constexpr double kMostPriority = 1e9;
constexpr double kMostBytes = 9007199254740991;

// "r12" is 12; a plain number is taken as well, since the first version's parent is written 0.
std::uint64_t version(const Reader& field) {
  if (field.value().is<double>()) {
    const double out = field.number();
    if (out >= 0 && out < kVersionsEnd && out == std::floor(out)) return static_cast<std::uint64_t>(out);
    field.fail("is no version");
    return 0;
  }
  const std::string text = field.text();
  const char* from = text.data() + (text.starts_with('r') ? 1 : 0);
  std::uint64_t out = 0;
  const auto [end, error] = std::from_chars(from, text.data() + text.size(), out);
  if (error != std::errc() || end != text.data() + text.size()) field.fail("is no version such as r12");
  return out;
}

std::vector<std::string> texts(const Reader& at, const char* name) {
  std::vector<std::string> out;
  if (!at.has(name)) return out;
  for (const Reader& item : at.at(name).items()) out.push_back(item.text());
  return out;
}

double atLeastNothing(const Reader& at, const char* name) {
  if (!at.has(name)) return 0;
  const double out = at.at(name).number();
  if (out < 0) at.at(name).fail("is below 0");
  return out;
}

int priorityOf(const Reader& at) {
  return static_cast<int>(std::clamp(at.at("priority").number(), -kMostPriority, kMostPriority));
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

Route readRoute(const Reader& at) {
  Route out;
  out.name = at.at("name").text();
  out.host = lower(at.at("hostname").text());
  if (out.host.empty()) at.at("hostname").fail("is empty");
  out.prefix = at.at("pathPrefix").text();
  if (!out.prefix.starts_with('/') || !out.prefix.ends_with('/'))
    at.at("pathPrefix").fail("does not begin and end with a slash");
  const std::string kind = at.at("kind").text();
  if (kind != "safe" && kind != "unsafe") at.at("kind").fail("is neither safe nor unsafe");
  out.safe = kind == "safe";
  out.timeout = timeOf(at, "timeout", 0);
  out.target = timeOf(at, "target", 0);
  if (at.has("priority")) out.priority = priorityOf(at);
  if (at.has("tries")) out.tries = static_cast<unsigned>(std::clamp(at.at("tries").number(), 1.0, 100.0));
  if (at.has("public")) out.open = at.at("public").truth();
  out.homes = texts(at, "homeRegions");
  if (at.has("split")) {
    for (const Reader& part : at.at("split").items()) {
      const double weight = part.at("weight").number();
      if (weight < 0) part.at("weight").fail("is below 0");
      out.parts.push_back({part.at("backend").text(), weight});
    }
  }
  if (out.parts.empty()) out.parts.push_back({at.at("backend").text(), 1});
  return out;
}

Service readService(const Reader& at) {
  Service out;
  out.name = at.at("name").text();
  out.healthPath = at.has("healthPath") ? at.at("healthPath").text() : "/health";
  out.connections = static_cast<unsigned>(std::min(1e6, atLeastNothing(at, "maxConns")));
  out.coldFor = timeOf(at, "coldFor", 0);
  out.coldRate = atLeastNothing(at, "coldRateS");
  return out;
}

Tenant readTenant(const Reader& at) {
  Tenant out;
  out.name = at.at("name").text();
  out.keys = texts(at, "apiKeys");
  if (at.has("priority")) out.priority = priorityOf(at);
  out.rate = atLeastNothing(at, "ratePerS");
  out.burst = atLeastNothing(at, "burst");
  out.homes = texts(at, "homeRegions");
  return out;
}

void addHomes(std::unordered_map<std::string, HostHomes>& hosts, const Route& route) {
  const auto [found, isFirst] = hosts.try_emplace(route.host);
  HostHomes& homes = found->second;
  if (isFirst) homes.ofEach = route.homes;
  std::erase_if(homes.ofEach, [&](const std::string& region) {
    return std::find(route.homes.begin(), route.homes.end(), region) == route.homes.end();
  });
  for (const std::string& region : route.homes)
    if (std::find(homes.ofSome.begin(), homes.ofSome.end(), region) == homes.ofSome.end())
      homes.ofSome.push_back(region);
}

std::string_view withoutPort(std::string_view host) { return host.substr(0, host.find(':')); }

// The field that names the service of a route's part.
Reader backendOf(const Reader& route, std::size_t part) {
  const bool isSplit = route.has("split") && !route.at("split").items().empty();
  return isSplit ? route.at("split").items()[part].at("backend") : route.at("backend");
}

void checkTogether(const Configuration& read, const Reader& root) {
  std::set<std::string> services;
  for (const Service& service : read.services) services.insert(service.name);
  std::set<std::pair<std::string, std::string>> places;
  const auto all = root.at("routes").items();
  for (std::size_t i = 0; i < read.routes.size(); ++i) {
    const Route& route = read.routes[i];
    for (std::size_t part = 0; part < route.parts.size(); ++part)
      if (const std::string& service = route.parts[part].service; !services.contains(service))
        backendOf(all[i], part).fail("names the unknown service " + service);
    if (!places.emplace(route.host, route.prefix).second) all[i].fail("has host and prefix of another route");
  }
}

}  // namespace

void Configuration::index() {
  routesOf_.clear(), keys_.clear(), services_.clear(), homesOf_.clear();
  for (const Route& route : routes)
    if (!route.homes.empty()) addHomes(homesOf_, route);
  for (std::size_t i = 0; i < routes.size(); ++i) routesOf_[routes[i].host].push_back(i);
  for (auto& [host, all] : routesOf_)
    std::stable_sort(all.begin(), all.end(),
                     [&](auto a, auto b) { return routes[a].prefix.size() > routes[b].prefix.size(); });
  for (std::size_t i = 0; i < tenants.size(); ++i)
    for (const std::string& key : tenants[i].keys) keys_[key] = i;
  for (std::size_t i = 0; i < services.size(); ++i) services_[services[i].name] = i;
}

const Route* Configuration::routeOf(std::string_view host, std::string_view path) const {
  const auto all = routesOf_.find(lower(std::string(withoutPort(host))));
  if (all == routesOf_.end()) return nullptr;
  for (const std::size_t i : all->second)
    if (path.starts_with(routes[i].prefix)) return &routes[i];
  return nullptr;
}

const Tenant* Configuration::tenantOf(std::string_view key) const {
  const auto found = keys_.find(std::string(key));
  return found == keys_.end() ? nullptr : &tenants[found->second];
}

const Service* Configuration::serviceOf(std::string_view name) const {
  const auto found = services_.find(std::string(name));
  return found == services_.end() ? nullptr : &services[found->second];
}

const HostHomes* Configuration::homesOf(std::string_view host) const {
  const auto found = homesOf_.find(lower(std::string(withoutPort(host))));
  return found == homesOf_.end() ? nullptr : &found->second;
}

namespace {

// Null where it can't be read; `fault` says why.
std::shared_ptr<Configuration> readWhole(const picojson::value& json, std::string& fault) {
  auto read = std::make_shared<Configuration>();
  const Reader root(json, fault);
  if (!json.is<picojson::object>()) return fault = "the configuration is not a table", nullptr;
  read->version = version(root.at("generation"));
  read->parent = root.has("parentVersion") ? version(root.at("parentVersion")) : 0;
  for (const Reader& item : root.at("backends").items()) read->services.push_back(readService(item));
  for (const Reader& item : root.at("routes").items()) read->routes.push_back(readRoute(item));
  if (root.has("customers"))
    for (const Reader& item : root.at("customers").items()) read->tenants.push_back(readTenant(item));
  if (root.has("limits")) {
    const Reader limits = root.at("limits");
    if (limits.has("maxHeaderBytes"))
      read->limits.header =
          static_cast<std::size_t>(std::min(kMostBytes, atLeastNothing(limits, "maxHeaderBytes")));
    if (limits.has("maxBodyBytes"))
      read->limits.body =
          static_cast<std::uint64_t>(std::min(kMostBytes, atLeastNothing(limits, "maxBodyBytes")));
    read->limits.headerRead = timeOf(limits, "headerRead", read->limits.headerRead);
    read->limits.idle = timeOf(limits, "idle", read->limits.idle);
  }
  if (fault.empty()) checkTogether(*read, root);
  if (!fault.empty()) return nullptr;
  read->index();
  return read;
}

}  // namespace

ConfigurationRead readConfiguration(std::string_view text) {
  ConfigurationRead out;
  const ParsedJson json = parseJson(text);
  if (json.value)
    out.configuration = readWhole(*json.value, out.fault);
  else
    out.fault = "the configuration " + json.fault;
  return out;
}

ConfigurationCheck checkConfiguration(std::string_view text, const std::set<std::string>& regions) {
  ConfigurationCheck out;
  const ParsedJson json = parseJson(text);
  if (!json.value) return out.fault = "the configuration " + json.fault, out;
  out.read = readWhole(*json.value, out.fault);
  if (!out.read) return out;
  out.fault = json.repeatedKey;
  if (out.fault.empty()) out.fault = validate(*json.value, *out.read, regions);
  return out;
}

}  // namespace burlwind::config
