#include "config/settings.hpp"

#include <charconv>
#include <fstream>
#include <iterator>

#include "config/fields.hpp"
#include "config/json.hpp"

namespace burlwind::config {

std::optional<double> milliseconds(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || !(value >= 0) || !std::isfinite(value)) return std::nullopt;
  const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  if (unit == "ms") return value;
  if (unit == "s") return value * 1000;
  return std::nullopt;
}

std::optional<Endpoint> endpointOf(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  Endpoint out{std::string(text.substr(0, colon)), 0};
  const auto port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), out.port);
  if (error != std::errc() || end != port.data() + port.size() || out.port == 0) return std::nullopt;
  return out;
}

namespace {

double figure(const Reader& at, const char* name, double usual) {
  return at.has(name) ? at.at(name).number() : usual;
}

std::optional<Endpoint> endpoint(const Reader& at, const char* name) {
  if (!at.has(name)) return std::nullopt;
  const Reader field = at.at(name);
  std::optional<Endpoint> out = endpointOf(field.text());
  if (!out) field.fail("is no address such as 10.1.0.22:8389");
  return out;
}

void readSelf(const Reader& self, Settings& out) {
  out.name = self.at("nodeName").text();
  out.ip = self.at("ipAddress").text();
  out.zone = self.at("zone").text();
  out.region = self.at("region").text();
  if (self.has("firstBoot")) out.firstBoot = self.at("firstBoot").truth();
  if (self.has("counted")) out.counted = self.at("counted").truth();
  if (self.has("dataFolder")) out.dataFolder = self.at("dataFolder").text();
  if (!self.has("limits")) return;
  out.memoryMb = figure(self.at("limits"), "memoryMb", 0);
  out.linkMbps = figure(self.at("limits"), "bandwidthMbps", 0);
  out.descriptors = static_cast<unsigned>(figure(self.at("limits"), "fileHandles", 0));
}

void readNetwork(const Reader& network, Settings& out) {
  const Reader bind = network.at("bind");
  out.front = endpoint(bind, "front");
  out.readiness = endpoint(bind, "readiness");
  out.control = endpoint(bind, "control");
  out.directory = endpoint(bind, "directory");
  const Reader ports = network.at("internalPorts");
  const auto both = ports.items();
  if (both.size() != 2) ports.fail("is not the first and the last port");
  if (both.size() == 2) {
    const double first = both[0].number();
    const double last = both[1].number();
    if (first < 1 || last > 65535 || last < first + 1) ports.fail("holds no two ports");
    out.portFrom = static_cast<std::uint16_t>(first);
    out.portUntil = static_cast<std::uint16_t>(last);
  }
  for (const Reader& seed : network.at("seedNodes").items()) {
    const auto at = endpointOf(seed.text());
    if (!at) seed.fail("is no address such as 10.1.0.24:8383");
    if (at) out.seeds.push_back(*at);
  }
  const Reader zones = network.at("zones");
  for (const auto& [zone, region] : zones.fields())
    if (region.value().is<std::string>()) out.regionOf.emplace(zone, region.text());
}

void readBounds(const Reader& at, Bounds& out) {
  out.apply = timeOf(at, "apply", out.apply);
  out.drain = timeOf(at, "drain", out.drain);
  out.evacuate = timeOf(at, "evacuate", out.evacuate);
  out.ack = timeOf(at, "ack", out.ack);
  out.quiet = timeOf(at, "quiet", out.quiet);
  out.grace = timeOf(at, "grace", out.grace);
  out.lossSlack = timeOf(at, "lossSlack", out.lossSlack);
  out.retryRatio = figure(at, "retryRatio", out.retryRatio);
  out.retryWindow = timeOf(at, "retryWindow", out.retryWindow);
  out.retrySlack = figure(at, "retrySlack", out.retrySlack);
  out.quotaWindow = timeOf(at, "quotaWindow", out.quotaWindow);
  out.quotaExcess = figure(at, "quotaExcess", out.quotaExcess);
  out.quotaSlack = figure(at, "quotaSlack", out.quotaSlack);
  out.coldExcess = figure(at, "coldExcess", out.coldExcess);
  out.coldSlack = figure(at, "coldSlack", out.coldSlack);
  out.reuseAfter = timeOf(at, "reuseAfter", out.reuseAfter);
  out.ttlMost = timeOf(at, "ttl_max", out.ttlMost);
}

}  // namespace

SettingsRead readSettings(std::string_view text) {
  SettingsRead out;
  const ParsedJson json = parseJson(text);
  if (!json.value) return out.fault = "the file " + json.fault, out;
  Settings read;
  const Reader root(*json.value, out.fault);
  readSelf(root.at("self"), read);
  readNetwork(root.at("network"), read);
  if (root.has("provider") && root.at("provider").has("cloudApi")) {
    const Reader cloud = root.at("provider").at("cloudApi");
    read.platform = endpoint(cloud, "address");
    read.platformRate = figure(cloud, "ratePerS", 0);
    read.platformLag = timeOf(cloud, "maxLag", 0);
  }
  const Reader settings = root.at("settings");
  if (settings.has("tolerance"))
    read.bearsMachines =
        static_cast<unsigned>(std::max(0.0, figure(settings.at("tolerance"), "machines", 1)));
  readBounds(settings.at("bounds"), read.bounds);
  if (out.fault.empty()) out.settings = std::move(read);
  return out;
}

SettingsRead readSettingsFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return {std::nullopt, "cannot read " + path};
  const std::string text((std::istreambuf_iterator<char>(in)), {});
  SettingsRead out = readSettings(text);
  if (!out.settings) out.fault = path + ": " + out.fault;
  return out;
}

std::set<std::string> regionsOf(const Settings& settings) {
  std::set<std::string> out;
  for (const auto& [zone, region] : settings.regionOf) out.insert(region);
  return out;
}

}  // namespace burlwind::config
