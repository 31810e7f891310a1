// The operator's configuration: read from the JSON of config.replace. What can't be read, and what is not
// valid, is told with one plain line that names the fault's path.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burlwind::config {

struct Part {  // of a route's traffic
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name, host, prefix;
  bool safe = false;
  double timeout = 0;  // ms
  double target = 0;   // ms
  int priority = 0;
  std::vector<Part> parts;
  unsigned tries = 1;
  bool open = false;  // needs no key
  std::vector<std::string> homes;
};

struct Service {
  std::string name, healthPath;
  unsigned connections = 0;  // a worker takes, from all callers
  double coldFor = 0;        // ms
  double coldRate = 0;       // requests a second
};

struct Tenant {
  std::string name;
  std::optional<int> priority;
  double rate = 0;  // requests a second over all gatekeepers; 0: no limit
  double burst = 0;
  std::vector<std::string> homes;
  std::vector<std::string> keys;
};

struct ClientLimits {
  std::size_t header = 16384;
  std::uint64_t body = 67108864;
  double headerRead = 3000, idle = 15000;  // ms
};

// Regions that routes of one host are bound to.
struct HostHomes {
  std::vector<std::string> ofEach;  // homes of each of its routes that has any
  std::vector<std::string> ofSome;  // homes of at least one
};

struct Configuration {
  std::uint64_t version = 0, parent = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Tenant> tenants;
  ClientLimits limits;

  // The route with the longest prefix that begins the path; nothing where none does. `host` may bear a port.
  const Route* routeOf(std::string_view host, std::string_view path) const;
  const Tenant* tenantOf(std::string_view key) const;
  const Service* serviceOf(std::string_view name) const;
  // Null where no route of that host has homes. `host` may bear a port.
  const HostHomes* homesOf(std::string_view host) const;
  void index();  // after a change of the lists

 private:
  std::unordered_map<std::string, std::vector<std::size_t>> routesOf_;  // longest prefix first
  std::unordered_map<std::string, HostHomes> homesOf_;                  // of hosts that have any
  std::unordered_map<std::string, std::size_t> keys_, services_;
};

struct ConfigurationRead {
  std::shared_ptr<const Configuration> configuration;  // nothing: `fault` says why
  std::string fault;
};
// `text`: JSON. Reads whatever can be served from, as it must what has been acknowledged before.
ConfigurationRead readConfiguration(std::string_view text);

struct ConfigurationCheck {
  std::shared_ptr<const Configuration> read;  // null where it can't be read at all
  std::string fault;  // why it may not be acknowledged (validation.hpp); empty: it may
};
// `regions`: that have a zone; empty: not known, and homes are not held against them.
ConfigurationCheck checkConfiguration(std::string_view text, const std::set<std::string>& regions = {});

}  // namespace burlwind::config
