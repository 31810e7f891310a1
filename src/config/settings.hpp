// What a process of the system is told when it starts: the JSON file named by BURLWIND_NODE_FILE. Read with
// picojson; unknown fields are ignored, a missing or malformed one is told with its path. Reading never
// throws and never keeps half of a file: the caller has either whole settings or one plain line.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace burlwind::config {

// Milliseconds of a text such as "1500ms" or "2.5s"; nothing where it is neither.
std::optional<double> milliseconds(std::string_view text);

struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};
std::optional<Endpoint> endpointOf(std::string_view text);  // "10.1.0.22:8389"

struct Bounds {  // all times in ms
  double apply = 3000, drain = 3000, evacuate = 5000, ack = 6000, quiet = 4000, grace = 6000, lossSlack = 200;
  double retryRatio = 0.2, retryWindow = 10000, retrySlack = 0;
  double quotaWindow = 5000, quotaExcess = 0.1, quotaSlack = 0;
  double coldExcess = 1.5, coldSlack = 0;
  double reuseAfter = 2000, ttlMost = 5000;
  bool operator==(const Bounds&) const = default;
};

struct Settings {
  std::string name, ip, zone, region;
  bool firstBoot = false;
  bool counted = false;
  std::string dataFolder;  // empty: no disk
  double memoryMb = 0, linkMbps = 0;
  unsigned descriptors = 0;
  std::optional<Endpoint> front, readiness, control, directory;
  std::uint16_t portFrom = 0, portUntil = 0;  // inner ports, both ends included
  std::vector<Endpoint> seeds;
  std::map<std::string, std::string> regionOf;  // of each zone
  std::optional<Endpoint> platform;
  double platformRate = 0;  // calls a second, from all together
  double platformLag = 0;   // ms
  unsigned bearsMachines = 1;
  Bounds bounds;
};

struct SettingsRead {
  std::optional<Settings> settings;
  std::string fault;  // "network.seedNodes[1]: no address", where there are none
};
SettingsRead readSettings(std::string_view text);
SettingsRead readSettingsFile(const std::string& path);

// That have a zone.
std::set<std::string> regionsOf(const Settings& settings);

}  // namespace burlwind::config
