#include "scale_run/figures.hpp"

#include <picojson.h>

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace burlwind::scale_run {
namespace {

constexpr double kMb = 1e6;

template <class... Values>
void append(std::string& out, const char* format, Values... values) {
  char text[256];
  std::snprintf(text, sizeof text, format, values...);
  out += text;
}

void appendDelays(std::string& out, const char* name, const Delays& delays) {
  append(out, "  %-44s %8.0f %8.0f %6zu\n", name, delays.mean(), delays.most(), delays.all.size());
}

void appendRoles(std::string& out, const PlayFigures& play) {
  append(out, "  %-14s %4s %8s %8s %8s %8s %7s %10s %10s %9s\n", "role", "n", "core %", "most %", "MB",
         "peak MB", "sockets", "kB/s in", "kB/s out", "msg/s");
  for (const auto& [name, role] : play.roles)
    append(out, "  %-14s %4u %8.2f %8.2f %8.1f %8.1f %7u %10.2f %10.2f %9.1f\n", name.c_str(), role.processes,
           100 * role.processorMean, 100 * role.processorMost, role.residentMb, role.peakMb, role.sockets,
           role.busiestIn / 1000, role.busiestOut / 1000, role.busiestMessages);
}

void appendKinds(std::string& out, const PlayFigures& play) {
  append(out, "  %-14s %-20s %10s %12s %10s %12s\n", "role (all)", "kind", "in msg/s", "in kB/s", "out msg/s",
         "out kB/s");
  for (const auto& [name, role] : play.roles) {
    std::map<std::string, std::pair<KindCount, KindCount>> kinds;
    for (const auto& [kind, count] : role.in) kinds[kind].first = count;
    for (const auto& [kind, count] : role.out) kinds[kind].second = count;
    for (const auto& [kind, both] : kinds)
      append(out, "  %-14s %-20s %10.2f %12.3f %10.2f %12.3f\n", name.c_str(), kind.c_str(),
             both.first.messages, both.first.bytes / 1000, both.second.messages, both.second.bytes / 1000);
  }
}

void appendSlopes(std::string& out, const Options& options, const std::vector<PlayFigures>& plays) {
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  for (const PlayFigures& play : plays)
    if (play.fault.empty())
      for (const auto& [name, value] : figuresByName(play)) points[name].emplace_back(play.proxies, value);
  append(out, "\nSlopes (least squares over %zu sizes)\n  %-40s %14s %14s %14s\n", plays.size(), "figure",
         "base", "a proxy", ("at " + std::to_string(options.targetProxies)).c_str());
  for (const auto& [name, all] : points) {
    const Line line = fitLine(all);
    append(out, "  %-40s %14.4g %14.4g %14.4g\n", name.c_str(), line.base, line.slope,
           line.at(options.targetProxies));
  }
}

picojson::value number(double value) { return picojson::value(value); }

picojson::value kindsJson(const KindCounts& kinds) {
  picojson::object out;
  for (const auto& [kind, count] : kinds) {
    picojson::object one;
    one["messages_per_s"] = number(count.messages), one["bytes_per_s"] = number(count.bytes);
    out[kind] = picojson::value(one);
  }
  return picojson::value(out);
}

picojson::value playJson(const PlayFigures& play) {
  picojson::object out;
  picojson::object roles;
  picojson::object figures;
  for (const auto& [name, value] : figuresByName(play)) figures[name] = number(value);
  for (const auto& [name, role] : play.roles) {
    picojson::object one;
    one["processes"] = number(role.processes);
    one["in"] = kindsJson(role.in), one["out"] = kindsJson(role.out);
    roles[name] = picojson::value(one);
  }
  out["proxies"] = number(play.proxies);
  out["figures"] = picojson::value(figures);
  out["roles"] = picojson::value(roles);
  out["fault"] = picojson::value(play.fault);
  return picojson::value(out);
}

}  // namespace

double Delays::mean() const {
  return all.empty() ? 0 : std::accumulate(all.begin(), all.end(), 0.0) / static_cast<double>(all.size());
}

double Delays::most() const { return all.empty() ? 0 : *std::max_element(all.begin(), all.end()); }

std::map<std::string, double> figuresByName(const PlayFigures& play) {
  std::map<std::string, double> out;
  for (const auto& [name, role] : play.roles) {
    out[name + " processor %"] = 100 * role.processorMost;
    out[name + " resident MB"] = role.residentMb;
    out[name + " peak MB"] = role.peakMb;
    out[name + " sockets"] = role.sockets;
    out[name + " bytes/s in"] = role.busiestIn;
    out[name + " bytes/s out"] = role.busiestOut;
    out[name + " messages/s"] = role.busiestMessages;
  }
  out["ms start"] = play.start.most();
  out["ms order acknowledged"] = play.acknowledged.most();
  out["ms order in force"] = play.inForce.most();
  out["ms list change"] = play.listed.most();
  out["ms all proxies restart"] = play.proxiesRestart.most();
  out["ms one registry restarts"] = play.registryRestart.most();
  out["registry seconds all proxies restart"] = play.restartProcessor;
  out["refused %"] = 100 * play.refused;
  out["platform calls/s"] = play.platformCalls;
  out["own processor %"] = 100 * play.ownProcessor;
  out["state bytes"] = play.state.configurationBytes;
  out["state read ms"] = play.state.readMs;
  out["state write ms"] = play.state.writeMs;
  out["state frame ms"] = play.state.frameMs;
  return out;
}

std::string tables(const Options& options, const std::vector<PlayFigures>& plays) {
  std::string out;
  for (const PlayFigures& play : plays) {
    append(out, "\n%u hollow proxies, %u registries, %u workers, %u tenants, %u routes\n", play.proxies,
           options.registries, options.workers, options.tenants, options.routes);
    if (!play.fault.empty()) append(out, "  NOT WHOLE: %s\n", play.fault.c_str());
    append(out, "  state: %.2f MB; read %.0f ms, written %.0f ms, one message %.1f ms\n",
           play.state.configurationBytes / kMb, play.state.readMs, play.state.writeMs, play.state.frameMs);
    appendRoles(out, play);
    appendKinds(out, play);
    append(out, "  %-44s %8s %8s %6s\n", "ms", "mean", "most", "n");
    appendDelays(out, "first start until all are in touch", play.start);
    appendDelays(out, "an order, until acknowledged", play.acknowledged);
    appendDelays(out, "from there until in force at the last proxy", play.inForce);
    appendDelays(out, "a change on the list, until the last proxy", play.listed);
    appendDelays(out, "all proxies restart", play.proxiesRestart);
    appendDelays(out, "one registry restarts", play.registryRestart);
    append(out, "  refused %.1f%%; calls of the list %.1f/s; this command %.0f%% of a core\n",
           100 * play.refused, play.platformCalls, 100 * play.ownProcessor);
  }
  appendSlopes(out, options, plays);
  return out;
}

std::string json(const Options& options, const std::vector<PlayFigures>& plays) {
  picojson::object out;
  picojson::array all;
  for (const PlayFigures& play : plays) all.push_back(playJson(play));
  out["target_proxies"] = number(options.targetProxies);
  out["registries"] = number(options.registries);
  out["workers"] = number(options.workers), out["tenants"] = number(options.tenants);
  out["routes"] = number(options.routes);
  out["plays"] = picojson::value(all);
  return picojson::value(out).serialize() + "\n";
}

}  // namespace burlwind::scale_run
