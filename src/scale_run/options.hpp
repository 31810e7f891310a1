// The command line of burlwind-scale: what is asked for, and the bounds that it must keep. Decisions only.
#pragma once

#include <string>
#include <vector>

namespace burlwind::scale_run {

// Bounds of one run: it shares its machine.
constexpr unsigned kMostProxies = 2000, kMostRegistries = 9, kMostRealProxies = 8, kMostWorkers = 20000,
                   kMostTenants = 100000, kMostRoutes = 20000;
constexpr double kMostSeconds = 300;

struct Options {
  std::vector<unsigned> proxies = {60, 150, 300, 540, 1000};  // hollow ones, a play each
  unsigned registries = 3;                                    // and as many config stores
  unsigned realProxies = 1;                                   // beside the hollow ones
  unsigned workers = 4400, services = 140, tenants = 14000, routes = 1500, regions = 11, zones = 25;
  double changesPerMinute = 6;      // of the configuration, while figures are taken
  double listChangesPerMinute = 6;  // of the platform's list, likewise
  double requestsPerSecond = 222;   // that each hollow proxy lets in or refuses
  double seconds = 30;              // that figures are taken over, for each play
  double platformRate = 200;        // calls a second that the list takes
  double platformLag = 800;         // ms after which a change is seen on it
  double platformDelay = 0;         // ms that each answer of it takes
  unsigned pageSize = 50;           // workers on one page of it
  unsigned targetProxies = 540;     // the size that slopes are led to
  std::string programs;             // folder of config_store, registry and proxy
  std::string keep;                 // folder where settings and logs of the plays stay; empty: nowhere
  bool json = false;
};

struct OptionsRead {
  bool start = false;  // else end with `status`
  int status = 0;
  Options options;
};
// Prints what is wrong, the help or the version by itself.
OptionsRead readOptions(int argc, const char** argv);

// "60,150,300"; false where it is no such list or breaks a bound.
bool readSizes(const std::string& text, std::vector<unsigned>& out);
// The first bound that is broken, in one line; empty where all are kept.
std::string brokenBound(const Options& options);

}  // namespace burlwind::scale_run
