#include "rehearsal/report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace burlwind::rehearsal {
namespace {

using nlohmann::json;

constexpr std::size_t kBreachesInText = 12;
constexpr std::array<Rule, kRules> kAllRules{Rule::answer, Rule::effect, Rule::drain, Rule::cold,
                                             Rule::ceiling};

template <class... Values>
std::string format(const char* pattern, Values... values) {
  char text[512];
  std::snprintf(text, sizeof text, pattern, values...);
  return text;
}

// To a whole part of one, such as 0.01: written so that the shortest text of the result is what a person
// expects.
double round(double value, double to) {
  const double parts = std::round(1 / to);
  return std::round(value * parts) / parts;
}
double seconds(double ms) { return round(ms / 1000, 0.001); }
double share(double part, double whole) { return whole > 0 ? part / whole : 0; }

std::string hex(std::uint64_t value) { return format("%016llx", static_cast<unsigned long long>(value)); }

std::string faultName(const Trace& trace, std::size_t fault) {
  const FaultSpec& spec = trace.scenario.faults.at(fault);
  std::string out(nameOf(spec.kind));
  if (spec.kind == FaultKind::link) {
    constexpr std::array<const char*, 3> kPeers{"workers", "discovery", "clients"};
    out += " to " + std::string(kPeers[static_cast<std::size_t>(spec.link.peer)]) + " " +
           faults::describe(spec.link.condition) + ":";
  }
  for (std::size_t i = 0; i < spec.targets.size(); ++i)
    out += (i == 0 ? " " : ",") + std::to_string(spec.targets[i]);
  return out;
}

std::string spanOf(double ms) { return ms == Healing::kNever ? "never" : format("%.1f s", ms / 1000); }

std::string faultsOf(const Trace& trace, const Window& window) {
  std::string out;
  for (const std::size_t fault : window.faults) out += (out.empty() ? "" : "; ") + faultName(trace, fault);
  return out;
}

json breachesOf(const Verdict& verdict, Rule rule) {
  json out = json::array();
  for (const Breach& breach : verdict.breaches)
    if (breach.rule == rule)
      out.push_back({{"at_s", seconds(breach.at)},
                     {"request", breach.request ? json(hex(breach.request)) : json()},
                     {"why", breach.why},
                     {"proof", breach.proof}});
  return out;
}

// Over all gatekeepers, in their own words; the most frequent first.
struct Said {
  std::string what;
  std::uint64_t refused = 0, failed = 0;
};

std::vector<Said> saidOf(const Trace& trace) {
  std::map<std::string, Said> sums;
  for (const Event& event : trace.events) {
    if (event.kind != Kind::said) continue;
    Said& sum = sums.try_emplace(event.text, Said{event.text, 0, 0}).first->second;
    (event.good ? sum.refused : sum.failed) += event.number;
  }
  std::vector<Said> out;
  for (auto& [what, sum] : sums) out.push_back(std::move(sum));
  std::stable_sort(out.begin(), out.end(),
                   [](const Said& a, const Said& b) { return a.refused + a.failed > b.refused + b.failed; });
  return out;
}

json latencyOf(const Histogram& latency) {
  json out{{"count", latency.count()}, {"max_ms", round(latency.most(), 0.01)}};
  for (const double percent : {50.0, 90.0, 99.0, 99.9})
    out[format("p%g_ms", percent)] = round(latency.percentile(percent), 0.01);
  return out;
}

json classesOf(const Trace& trace, const Window& window) {
  json out = json::array();
  for (std::size_t i = 0; i < window.classes.size(); ++i)
    out.push_back({{"name", trace.scenario.classes[i].name}, {"latency", latencyOf(window.classes[i])}});
  return out;
}

json daemonsOf(const Trace& trace, const Window& window) {
  const double length = windowMs(trace.scenario) / 1000;
  json out = json::array();
  for (const DaemonWindow& d : window.daemons)
    out.push_back({{"cpu", round(d.cpu, 1e-4)},
                   {"cpu_us_per_request", round(1e6 * share(d.cpu * length, d.asked), 0.1)},
                   {"memory_mb", round(d.memoryMb, 0.1)},
                   {"descriptors", d.descriptors}});
  return out;
}

json reportOf(const Trace& trace, const Verdict& v) {
  json rules = json::array(), windows = json::array(), daemons = json::array(), classes = json::array(),
       plans = json::array(), faults = json::array(), reasons = json::array(), healings = json::array();
  for (const Said& said : saidOf(trace))
    reasons.push_back({{"reason", said.what}, {"refused", said.refused}, {"failed", said.failed}});
  for (const Rule rule : kAllRules)
    rules.push_back({{"rule", nameOf(rule)},
                     {"held", v.broken[static_cast<std::size_t>(rule)] == 0},
                     {"count", v.broken[static_cast<std::size_t>(rule)]},
                     {"breaches", breachesOf(v, rule)}});
  for (const Window& w : v.windows) {
    json names = json::array();
    for (const std::size_t fault : w.faults) names.push_back(faultName(trace, fault));
    windows.push_back({{"at_s", seconds(w.at)},
                       {"service", round(w.share.value(), 1e-4)},
                       {"offered", round(w.share.offered, 0.01)},
                       {"asked", w.asked},
                       {"served", w.served},
                       {"refused", w.refused},
                       {"failed", w.failed},
                       {"refused_with_room", w.refusedWithRoom},
                       {"units", round(w.unitsSent, 0.01)},
                       {"units_beyond", round(w.unitsBeyond, 0.01)},
                       {"p50_ms", round(w.p50, 0.01)},
                       {"p99_ms", round(w.p99, 0.01)},
                       {"cpu", round(w.cpu, 1e-4)},
                       {"classes", classesOf(trace, w)},
                       {"daemons", daemonsOf(trace, w)},
                       {"faults", names}});
  }
  for (const Healing& h : v.healings)
    healings.push_back({{"fault", faultName(trace, h.fault)},
                        {"before", round(h.before, 1e-4)},
                        {"lowest", round(h.lowest, 1e-4)},
                        {"lowest_at_s", seconds(h.lowestAt)},
                        {"to_090_s", h.to90 == Healing::kNever ? json() : json(seconds(h.to90))},
                        {"to_098_s", h.to98 == Healing::kNever ? json() : json(seconds(h.to98))}});
  for (const DaemonReport& d : v.daemons)
    daemons.push_back({{"cpu_s", round(d.cpuSeconds, 0.01)},
                       {"cpu_us_per_request", round(1e6 * share(d.cpuSeconds, d.asked), 0.1)},
                       {"peak_memory_mb", round(d.peakMemoryMb, 0.1)},
                       {"peak_descriptors", d.peakDescriptors},
                       {"asked", d.asked},
                       {"starts", d.starts},
                       {"crashed", d.crashed}});
  for (const ClassReport& c : v.classes)
    classes.push_back(
        {{"name", c.name}, {"service", round(c.share.value(), 1e-4)}, {"latency", latencyOf(c.latency)}});
  for (const PlanReport& p : v.plans)
    plans.push_back({{"name", p.name}, {"service", round(p.share.value(), 1e-4)}});
  for (std::size_t f = 0; f < trace.scenario.faults.size(); ++f)
    faults.push_back({{"name", faultName(trace, f)},
                      {"start_s", seconds(trace.scenario.faults[f].startMs)},
                      {"length_s", seconds(trace.scenario.faults[f].lengthMs)},
                      {"size", trace.scenario.faults[f].size}});
  return {{"schema", kReportSchema},
          {"scenario", trace.scenario.name},
          {"seed", trace.seed},
          {"digest", hex(trace.digest)},
          {"pace", trace.scenario.pace},
          {"length_s", seconds(trace.scenario.lengthMs)},
          {"service",
           {{"whole", round(v.whole.value(), 1e-4)},
            {"worst_window", round(v.worstWindow, 1e-4)},
            {"worst_window_at_s", seconds(v.worstWindowAt)},
            {"worst_plan", round(v.worstPlan, 1e-4)},
            {"units_beyond_share", round(share(v.unitsBeyond, v.unitsSent), 1e-4)},
            {"checks", v.checks},
            {"denied", v.denied},
            {"most_checks_at_one_checker", v.mostChecksAtOnce},
            {"asked", v.asked},
            {"served", v.served},
            {"refused", v.refused},
            {"failed", v.failed},
            {"left", v.left},
            {"untaken", v.untaken},
            {"taken", v.taken},
            {"sent_late", v.sentLate},
            {"refused_with_room", v.refusedWithRoom}}},
          {"rules", rules},
          {"healings", healings},
          {"most_a_second",
           {{"connections_at_one_server", v.mostOpenedAtOne},
            {"connections_at_all_servers", v.mostOpened},
            {"connections_at_discovery", v.mostAskedDiscovery}}},
          {"windows", windows},
          {"classes", classes},
          {"plans", plans},
          {"faults", faults},
          {"daemons", daemons},
          {"reasons", reasons},
          {"kit",
           {{"cpu_us_per_request", round(1e6 * share(v.kitCpuSeconds, v.asked), 0.1)},
            {"lag_max_ms", round(v.lagMost, 0.1)},
            {"lag_share", round(v.lagShare, 1e-5)},
            {"too_slow", v.tooSlow}}}};
}

}  // namespace

std::string jsonReport(const Trace& trace, const Verdict& verdict) {
  return reportOf(trace, verdict).dump(1) + "\n";
}

std::string textReport(const Trace& trace, const Verdict& v) {
  const Scenario& s = trace.scenario;
  std::string out = format("scenario %s, seed %llu, pace %g, %.0f s, digest %s\n", s.name.c_str(),
                           static_cast<unsigned long long>(trace.seed), s.pace, s.lengthMs / 1000,
                           hex(trace.digest).c_str());
  out += format("service %.3f   worst %.1f s %.3f (from %.1f s)   worst plan %.3f\n", v.whole.value(),
                v.windows.size() > 1 ? (v.windows[1].at - v.windows[0].at) / 1000 : s.lengthMs / 1000,
                v.worstWindow, v.worstWindowAt / 1000, v.worstPlan);
  out += format(
      "tries %u: served %u, refused %u (%u with room), failed %u, left %u; %u not taken; units beyond quotas "
      "%.1f%%\n",
      v.asked, v.served, v.refused, v.refusedWithRoom, v.failed, v.left, v.untaken,
      100 * share(v.unitsBeyond, v.unitsSent));
  if (s.checkers.count > 0)
    out +=
        format("checks %u: denied %u; most out at one checker %u\n", v.checks, v.denied, v.mostChecksAtOnce);
  for (const ClassReport& c : v.classes)
    out += format("class %-12s service %.3f   p50 %.1f  p90 %.1f  p99 %.1f  max %.1f ms\n", c.name.c_str(),
                  c.share.value(), c.latency.percentile(50), c.latency.percentile(90),
                  c.latency.percentile(99), c.latency.most());
  for (const PlanReport& p : v.plans)
    out += format("plan  %-12s service %.3f\n", p.name.c_str(), p.share.value());
  for (const Said& said : saidOf(trace))
    out +=
        format("said  %-22s refused %llu  failed %llu\n", said.what.c_str(),
               static_cast<unsigned long long>(said.refused), static_cast<unsigned long long>(said.failed));
  out += "   from  service   asked  served refused  failed    p50     p99   cpu  faults\n";
  const std::size_t step = std::max<std::size_t>(1, v.windows.size() / 40);
  for (std::size_t i = 0; i < v.windows.size(); i += step) {
    const Window& w = v.windows[i];
    out += format("%7.1f  %7.3f %7u %7u %7u %7u %6.1f %7.1f %5.2f  ", w.at / 1000, w.share.value(), w.asked,
                  w.served, w.refused, w.failed, w.p50, w.p99, w.cpu) +
           faultsOf(trace, w) + "\n";
  }
  for (const Healing& h : v.healings)
    out += format(
        "fault %-28s service %.3f before, %.3f at worst (after %.1f s); 0.9 of it back after %s, 0.98 "
        "after %s\n",
        faultName(trace, h.fault).substr(0, 28).c_str(), h.before, h.lowest, h.lowestAt / 1000,
        spanOf(h.to90).c_str(), spanOf(h.to98).c_str());
  out += format(
      "taken by faults %u, sent on after their time %u; in the busiest second %u connections at one server, "
      "%u at all, %u at discovery\n",
      v.taken, v.sentLate, v.mostOpenedAtOne, v.mostOpened, v.mostAskedDiscovery);
  for (std::size_t g = 0; g < v.daemons.size(); ++g) {
    const DaemonReport& d = v.daemons[g];
    out += format(
        "gatekeeper %zu: CPU %.2f s (%.0f us a request), memory %.1f MB, descriptors %llu, starts %u%s\n", g,
        d.cpuSeconds, 1e6 * share(d.cpuSeconds, d.asked), d.peakMemoryMb,
        static_cast<unsigned long long>(d.peakDescriptors), d.starts, d.crashed ? ", CRASHED" : "");
  }
  for (const Rule rule : kAllRules) {
    const unsigned count = v.broken[static_cast<std::size_t>(rule)];
    out += "rule " + std::string(nameOf(rule)) +
           (count == 0 ? ": held\n" : format(": BROKEN, %u times\n", count));
  }
  std::size_t shown = 0;
  for (const Breach& b : v.breaches) {
    if (++shown > kBreachesInText) break;
    out += format("  at %.3f s, rule %s, request %s: ", b.at / 1000, std::string(nameOf(b.rule)).c_str(),
                  b.request ? hex(b.request).c_str() : "-") +
           b.why + "\n";
    for (const std::string& proof : b.proof) out += "    " + proof + "\n";
  }
  out += format("the kit's own lag: at most %.1f ms, %.2f%% of the time; its CPU %.0f us a request%s\n",
                v.lagMost, 100 * v.lagShare, 1e6 * share(v.kitCpuSeconds, v.asked),
                v.tooSlow ? "; TOO SLOW, the run means nothing" : "");
  if (s.pace != 1) out += "connect times and the kernel do not scale with the pace\n";
  return out;
}

// --- The page ---
namespace {

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text)
    out += c == '<'   ? "&lt;"
           : c == '>' ? "&gt;"
           : c == '&' ? "&amp;"
           : c == '"' ? "&quot;"
                      : std::string(1, c);
  return out;
}

struct Line {
  const char* colour;
  const char* label;
  std::function<double(const Window&)> value;
};

constexpr double kWide = 960, kHigh = 170, kLeft = 54, kTop = 12, kPlotWide = kWide - kLeft - 28,
                 kPlotHigh = kHigh - 40;

// One plot over the run's time, faults as bands behind it, breaches as marks on its lower edge.
std::string plot(const Trace& trace, const Verdict& v, const std::string& title, double most,
                 const std::vector<Line>& lines) {
  const double length = std::max(1.0, trace.scenario.lengthMs);
  const auto x = [&](double ms) { return kLeft + kPlotWide * std::clamp(ms / length, 0.0, 1.0); };
  const auto y = [&](double value) { return kTop + kPlotHigh * (1 - std::clamp(value / most, 0.0, 1.0)); };
  std::string out = "<h2>" + escaped(title) + "</h2><svg viewBox='0 0 960 170' role='img'>";
  for (std::size_t f = 0; f < trace.scenario.faults.size(); ++f) {
    const FaultSpec& fault = trace.scenario.faults[f];
    const double from = x(fault.startMs), to = std::max(from + 2, x(fault.startMs + fault.lengthMs));
    out += format("<rect class='fault' x='%.1f' y='%.1f' width='%.1f' height='%.1f'><title>", from, kTop,
                  to - from, kPlotHigh) +
           escaped(faultName(trace, f)) + "</title></rect>";
  }
  for (int i = 0; i <= 4; ++i)
    out += format(
        "<line class='grid' x1='%.1f' x2='%.1f' y1='%.1f' y2='%.1f'/><text x='%.1f' y='%.1f' "
        "class='left'>%.4g</text>",
        kLeft, kLeft + kPlotWide, y(most * i / 4), y(most * i / 4), kLeft - 6, y(most * i / 4) + 4,
        most * i / 4);
  for (int i = 0; i <= 6; ++i)
    out += format("<text x='%.1f' y='%.1f' class='foot'>%.4g s</text>", x(length * i / 6),
                  kTop + kPlotHigh + 16, length * i / 6000);
  double legend = kLeft;
  for (const Line& line : lines) {
    std::string points;
    for (const Window& w : v.windows) {
      const double middle = w.at + (v.windows.size() > 1 ? v.windows[1].at / 2 : length / 2);
      points += format("%.1f,%.1f ", x(middle), y(line.value(w)));
    }
    out +=
        format("<polyline fill='none' stroke='%s' stroke-width='1.8' points='", line.colour) + points + "'/>";
    out +=
        format("<rect x='%.1f' y='%.1f' width='10' height='10' fill='%s'/><text x='%.1f' y='%.1f'>%s</text>",
               legend, kHigh - 11.0, line.colour, legend + 14, kHigh - 2.0, line.label);
    legend += 130;
  }
  for (const Breach& b : v.breaches)
    out += format("<path class='breach' d='M%.1f %.1f l4 8 l-8 0 z'><title>", x(b.at), kTop + kPlotHigh - 8) +
           escaped(b.why) + "</title></path>";
  return out + "</svg>";
}

double mostOf(const Verdict& v, const std::function<double(const Window&)>& value) {
  double out = 0;
  for (const Window& w : v.windows) out = std::max(out, value(w));
  return out > 0 ? out * 1.05 : 1;
}

std::string faultTable(const Trace& trace) {
  if (trace.scenario.faults.empty()) return "";
  std::string out = "<h2>Faults</h2><table><tr><th>fault</th><th>from</th><th>to</th><th>size</th></tr>";
  for (std::size_t f = 0; f < trace.scenario.faults.size(); ++f) {
    const FaultSpec& fault = trace.scenario.faults[f];
    out += "<tr><td>" + escaped(faultName(trace, f)) +
           format("</td><td>%.1f s</td><td>%.1f s</td><td>%g</td></tr>", fault.startMs / 1000,
                  (fault.startMs + fault.lengthMs) / 1000, fault.size);
  }
  return out + "</table>";
}

std::string healingTable(const Trace& trace, const Verdict& v) {
  if (v.healings.empty()) return "";
  std::string out =
      "<h2>Time to full service, from each fault's begin</h2><table><tr><th>fault</th><th>service "
      "before</th><th>at worst</th><th>after</th><th>0.9 of it back</th><th>0.98</th></tr>";
  for (const Healing& h : v.healings)
    out += "<tr><td>" + escaped(faultName(trace, h.fault)) +
           format("</td><td>%.3f</td><td>%.3f</td><td>%.1f s</td>", h.before, h.lowest, h.lowestAt / 1000) +
           "<td>" + spanOf(h.to90) + "</td><td>" + spanOf(h.to98) + "</td></tr>";
  return out +
         format(
             "</table><p class='quiet'>In the busiest second %u connections at one server, %u at all, %u at "
             "discovery; %u requests were taken by the faults themselves.</p>",
             v.mostOpenedAtOne, v.mostOpened, v.mostAskedDiscovery, v.taken);
}

std::string ruleTable(const Verdict& v) {
  std::string out = "<h2>Rules</h2><table><tr><th>rule</th><th></th><th>breaches</th></tr>";
  for (const Rule rule : kAllRules) {
    const unsigned count = v.broken[static_cast<std::size_t>(rule)];
    out += "<tr><td>" + std::string(nameOf(rule)) +
           (count == 0 ? "</td><td class='good'>held" : "</td><td class='bad'>broken") +
           format("</td><td>%u</td></tr>", count);
  }
  out += "</table>";
  if (v.breaches.empty()) return out;
  out += "<table><tr><th>at</th><th>rule</th><th>request</th><th>why</th></tr>";
  for (const Breach& b : v.breaches)
    out += format("<tr><td>%.3f s</td><td>%s</td><td>%s</td><td>", b.at / 1000,
                  std::string(nameOf(b.rule)).c_str(), b.request ? hex(b.request).c_str() : "-") +
           escaped(b.why) + "</td></tr>";
  return out + "</table>";
}

std::string classTable(const Verdict& v) {
  std::string out =
      "<h2>Classes and "
      "plans</h2><table><tr><th></th><th>service</th><th>p50</th><th>p90</th><th>p99</th><th>max</th></tr>";
  for (const ClassReport& c : v.classes)
    out += "<tr><td>" + escaped(c.name) +
           format("</td><td>%.3f</td><td>%.1f ms</td><td>%.1f ms</td><td>%.1f ms</td><td>%.1f ms</td></tr>",
                  c.share.value(), c.latency.percentile(50), c.latency.percentile(90),
                  c.latency.percentile(99), c.latency.most());
  for (const PlanReport& p : v.plans)
    out += "<tr><td>" + escaped(p.name) +
           format("</td><td>%.3f</td><td colspan='4'></td></tr>", p.share.value());
  return out + "</table>";
}

std::string reasonTable(const Trace& trace) {
  const std::vector<Said> all = saidOf(trace);
  if (all.empty()) return "";
  std::string out =
      "<h2>Reasons, as the gatekeepers say</h2><table><tr><th>plan and "
      "reason</th><th>refused</th><th>failed</th></tr>";
  for (const Said& said : all)
    out += "<tr><td>" + escaped(said.what) +
           format("</td><td>%llu</td><td>%llu</td></tr>", static_cast<unsigned long long>(said.refused),
                  static_cast<unsigned long long>(said.failed));
  return out + "</table>";
}

std::string daemonTable(const Verdict& v) {
  std::string out =
      "<h2>Gatekeepers</h2><table><tr><th></th><th>CPU</th><th>a "
      "request</th><th>memory</th><th>descriptors</th><th>starts</th></tr>";
  for (std::size_t g = 0; g < v.daemons.size(); ++g) {
    const DaemonReport& d = v.daemons[g];
    out += format(
        "<tr><td>%zu%s</td><td>%.2f s</td><td>%.0f us</td><td>%.1f MB</td><td>%llu</td><td>%u</td></tr>", g,
        d.crashed ? " crashed" : "", d.cpuSeconds, 1e6 * share(d.cpuSeconds, d.asked), d.peakMemoryMb,
        static_cast<unsigned long long>(d.peakDescriptors), d.starts);
  }
  return out + "</table>";
}

constexpr const char* kStyle =
    "body{font:15px/1.5 system-ui,sans-serif;max-width:980px;margin:24px auto;padding:0 "
    "16px;color:#1d2430;background:#fff}"
    "h1{font-size:22px;margin:0 0 4px}h2{font-size:16px;margin:24px 0 "
    "4px}svg{width:100%;height:auto;font-size:11px}"
    "svg text{fill:#566}svg .left{text-anchor:end}svg .foot{text-anchor:middle}.grid{stroke:#e3e7ec}"
    ".fault{fill:#f3c98b;opacity:.35}.breach{fill:#c4162a}table{border-collapse:collapse;margin:6px 0}"
    "td,th{padding:3px 14px 3px 0;text-align:left;border-bottom:1px solid "
    "#e3e7ec;font-variant-numeric:tabular-nums}"
    ".good{color:#17733a}.bad{color:#c4162a;font-weight:600}.big{display:flex;gap:40px;margin:14px 0}"
    ".big b{display:block;font-size:28px;line-height:1.2}.quiet{color:#566}";

std::string headline(const Trace& trace, const Verdict& v) {
  const Scenario& s = trace.scenario;
  std::string out =
      "<h1>Rehearsal " + escaped(s.name) + "</h1><div class='quiet'>" + escaped(s.about) +
      format("<br>seed %llu, pace %g, %.0f s, digest %s</div>", static_cast<unsigned long long>(trace.seed),
             s.pace, s.lengthMs / 1000, hex(trace.digest).c_str());
  out += format(
      "<div class='big'><div><b>%.3f</b>service</div><div><b>%.3f</b>worst window, from %.1f s</div>"
      "<div><b>%.3f</b>worst plan</div><div><b>%.1f%%</b>units beyond quotas</div><div><b "
      "class='%s'>%s</b>five rules</div></div>",
      v.whole.value(), v.worstWindow, v.worstWindowAt / 1000, v.worstPlan,
      100 * share(v.unitsBeyond, v.unitsSent), v.held() ? "good" : "bad", v.held() ? "held" : "broken");
  out += format(
      "<p>%u tries: %u served, %u refused (%u with room), %u failed, %u left by their clients, %u not "
      "taken.</p>",
      v.asked, v.served, v.refused, v.refusedWithRoom, v.failed, v.left, v.untaken);
  return out;
}

}  // namespace

std::string htmlReport(const Trace& trace, const Verdict& v) {
  std::string out =
      "<!doctype html><html lang='en'><meta charset='utf-8'><meta name='viewport' "
      "content='width=device-width'><title>Rehearsal " +
      escaped(trace.scenario.name) + "</title><style>" + kStyle + "</style><body>";
  out += headline(trace, v);
  out += plot(trace, v, "Service: worth in time of the worth asked inside quotas", 1,
              {{"#1f5fbf", "service", [](const Window& w) { return w.share.value(); }}});
  const auto asked = [](const Window& w) { return static_cast<double>(w.asked); };
  out += plot(trace, v, "Requests in a window", mostOf(v, asked),
              {{"#566", "asked", asked},
               {"#17733a", "served", [](const Window& w) { return static_cast<double>(w.served); }},
               {"#b8860b", "refused", [](const Window& w) { return static_cast<double>(w.refused); }},
               {"#c4162a", "failed", [](const Window& w) { return static_cast<double>(w.failed); }}});
  const auto p99 = [](const Window& w) { return w.p99; };
  out += plot(
      trace, v, "Latency of served requests from the intended start, ms", mostOf(v, p99),
      {{"#1f5fbf", "median", [](const Window& w) { return w.p50; }}, {"#8a3ab9", "99th percentile", p99}});
  const auto beyond = [](const Window& w) { return share(w.unitsBeyond, w.unitsSent); };
  out +=
      plot(trace, v, "Units sent beyond quotas, share", mostOf(v, beyond), {{"#c4162a", "beyond", beyond}});
  const auto cpu = [](const Window& w) { return w.cpu; };
  out += plot(trace, v, "CPU of all gatekeepers, cores", mostOf(v, cpu), {{"#566", "cores", cpu}});
  out += ruleTable(v) + faultTable(trace) + healingTable(trace, v) + classTable(v) + reasonTable(trace) +
         daemonTable(v);
  out += format(
      "<p class='quiet'>The kit's own lag: at most %.1f ms, %.2f%% of the time%s. Connect times and the "
      "kernel do not "
      "scale with the pace.</p></body></html>\n",
      v.lagMost, 100 * v.lagShare, v.tooSlow ? "; too slow, the run means nothing" : "");
  return out;
}

}  // namespace burlwind::rehearsal
