#include "scale_run/options.hpp"

#include <popt.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace burlwind::scale_run {
namespace {

constexpr const char* kSummary =
    "- config stores and registries on loopback beside hollow proxies: bytes, processor, memory, delays\n\n"
    "Exit codes: 0 measured; 1 a play did not come to its end (the line says why); 2 the command line;\n"
    "3 the machine has no room for it; 130 interrupted. All processes have ended in each case.";

template <class Number>
std::string outside(const char* option, Number value, Number least, Number most) {
  if (value >= least && value <= most) return {};
  return std::string("--") + option + " must be from " + std::to_string(least) + " to " +
         std::to_string(most);
}

}  // namespace

bool readSizes(const std::string& text, std::vector<unsigned>& out) {
  out.clear();
  const char* at = text.data();
  const char* const end = at + text.size();
  while (true) {
    unsigned size = 0;
    const auto [next, error] = std::from_chars(at, end, size);
    if (error != std::errc() || size == 0 || size > kMostProxies) return false;
    out.push_back(size);
    if (next == end) return true;
    if (*next != ',') return false;
    at = next + 1;
  }
}

std::string brokenBound(const Options& o) {
  const std::string faults[] = {
      outside("registries", o.registries, 1u, kMostRegistries),
      outside("real-proxies", o.realProxies, 0u, kMostRealProxies),
      outside("workers", o.workers, 1u, kMostWorkers),
      outside("services", o.services, 1u, o.workers),
      outside("tenants", o.tenants, 1u, kMostTenants),
      outside("routes", o.routes, 1u, kMostRoutes),
      outside("regions", o.regions, 1u, 100u),
      outside("zones", o.zones, o.regions, 200u),
      outside("page", o.pageSize, 1u, 10000u),
      outside("target", o.targetProxies, 1u, 100000u),
      outside("seconds", o.seconds, 0.5, kMostSeconds),
      outside("changes-per-minute", o.changesPerMinute, 0.0, 600.0),
      outside("list-changes-per-minute", o.listChangesPerMinute, 0.0, 600.0),
      outside("requests-per-second", o.requestsPerSecond, 0.0, 2000.0),
      outside("platform-rate", o.platformRate, 1.0, 1e5),
      outside("platform-lag", o.platformLag, 0.0, 1e5),
      outside("platform-delay", o.platformDelay, 0.0, 1000.0),
  };
  for (const std::string& fault : faults)
    if (!fault.empty()) return fault;
  return {};
}

// Says what is wrong, or the version where that was asked for; else the run may start.
void conclude(const std::string& fault, bool versionAsked, OptionsRead& out) {
  if (!fault.empty()) {
    std::fprintf(stderr, "burlwind-scale: %s\n", fault.c_str());
    out.status = 2;
  } else if (versionAsked) {
    std::printf("burlwind-scale %s\n", BURLWIND_VERSION);
  } else {
    out.start = true;
  }
}

OptionsRead readOptions(int argc, const char** argv) {
  OptionsRead out;
  Options& o = out.options;
  int version = 0;
  int json = 0;
  const char* sizes = nullptr;
  const char* programs = nullptr;
  const char* keep = nullptr;
  const auto whole = [](unsigned& value) { return reinterpret_cast<int*>(&value); };
  const poptOption options[] = {
      {"proxies", 0, POPT_ARG_STRING, &sizes, 0, "hollow proxies of each play (60,150,300,540,1000)", "LIST"},
      {"registries", 0, POPT_ARG_INT, whole(o.registries), 0, "registries, and as many stores (3)", "N"},
      {"real-proxies", 0, POPT_ARG_INT, whole(o.realProxies), 0, "real proxies beside them (1)", "N"},
      {"workers", 0, POPT_ARG_INT, whole(o.workers), 0, "workers on the platform's list (4400)", "N"},
      {"services", 0, POPT_ARG_INT, whole(o.services), 0, "services (140)", "N"},
      {"tenants", 0, POPT_ARG_INT, whole(o.tenants), 0, "tenants of the configuration (14000)", "N"},
      {"routes", 0, POPT_ARG_INT, whole(o.routes), 0, "routes of the configuration (1500)", "N"},
      {"regions", 0, POPT_ARG_INT, whole(o.regions), 0, "regions (11)", "N"},
      {"zones", 0, POPT_ARG_INT, whole(o.zones), 0, "zones (25)", "N"},
      {"changes-per-minute", 0, POPT_ARG_DOUBLE, &o.changesPerMinute, 0, "of the configuration (6)", "X"},
      {"list-changes-per-minute", 0, POPT_ARG_DOUBLE, &o.listChangesPerMinute, 0, "of the list (6)", "X"},
      {"requests-per-second", 0, POPT_ARG_DOUBLE, &o.requestsPerSecond, 0, "at each hollow proxy (222)", "X"},
      {"seconds", 0, POPT_ARG_DOUBLE, &o.seconds, 0, "that figures are taken over (30)", "S"},
      {"platform-rate", 0, POPT_ARG_DOUBLE, &o.platformRate, 0, "calls a second of the list (200)", "X"},
      {"platform-lag", 0, POPT_ARG_DOUBLE, &o.platformLag, 0, "of the list (800)", "MS"},
      {"platform-delay", 0, POPT_ARG_DOUBLE, &o.platformDelay, 0, "of each answer of the list (0)", "MS"},
      {"page", 0, POPT_ARG_INT, whole(o.pageSize), 0, "workers a page of the list (50)", "N"},
      {"target", 0, POPT_ARG_INT, whole(o.targetProxies), 0, "size that slopes are led to (540)", "N"},
      {"programs", 0, POPT_ARG_STRING, &programs, 0, "folder of the programs; else that of this one", "DIR"},
      {"keep", 0, POPT_ARG_STRING, &keep, 0, "keep the plays' settings and logs in this folder", "DIR"},
      {"json", 0, POPT_ARG_NONE, &json, 0, "print JSON in place of tables", nullptr},
      {"version", 0, POPT_ARG_NONE, &version, 0, "print the version", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("burlwind-scale", argc, argv, options, 0), poptFreeContext);
  poptSetOtherOptionHelp(context.get(), kSummary);
  const int rc = poptGetNextOpt(context.get());
  const char* extra = poptGetArg(context.get());
  std::string fault;
  if (rc < -1)
    fault = std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(rc);
  else if (extra)
    fault = std::string(extra) + ": what is this for? see --help";
  if (sizes && !readSizes(sizes, o.proxies))
    fault = "--proxies: a list such as 60,150, each from 1 to " + std::to_string(kMostProxies);
  if (programs) o.programs = programs;
  if (keep) o.keep = keep;
  std::free(const_cast<char*>(sizes));
  std::free(const_cast<char*>(programs));
  std::free(const_cast<char*>(keep));
  o.json = json != 0;
  if (fault.empty()) fault = brokenBound(o);
  conclude(fault, version != 0, out);
  return out;
}

}  // namespace burlwind::scale_run
