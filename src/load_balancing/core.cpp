#include "load_balancing/core.hpp"

#include <algorithm>
#include <cmath>

namespace burlwind::load_balancing {
namespace {

constexpr double kFade = 200;                         // ms at least, memory of a told load
constexpr double kLoadNews = 0.03;                    // weight of one in what is usual
constexpr double kPaceKeep = 0.9;                     // of a worker's pace
constexpr double kUsualKeep = 0.97;                   // of a service's
constexpr double kUsualFirst = 150;                   // ms, until answers have come
constexpr double kShunFirst = 600, kShunMost = 5000;  // ms, doubling
constexpr double kFullFirst = 100, kFullMost = 800;   // ms, doubling
constexpr double kZone = 0.30, kRegion = 0.45;        // of the aim: what a further zone or region costs
constexpr double kTie = 0.05;                         // of the cost, by chance
constexpr double kColdPart = 0.85;                    // of the rule's bound
constexpr double kColdMargin = 1.3;                   // of the told rate, with two more

}  // namespace

Core::State* Core::find(const std::string& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

std::string Core::regionOfZone(const std::string& zone) const {
  const auto found = regionOf_.find(zone);
  return found == regionOf_.end() ? std::string() : found->second;
}

void Core::setPlaces(std::map<std::string, std::string> regionOf) {
  regionOf_ = std::move(regionOf);
  for (auto& [id, s] : workers_) s.region = regionOfZone(s.worker.zone);
}

void Core::put(const rpc::Worker& w, double now) {
  State& s = workers_[w.id];
  if (s.worker.id.empty()) byService_[w.service].push_back(w.id);
  s.worker = w;
  s.region = regionOfZone(w.zone);
  if (w.coldLeft > 0) s.coldUntil = std::max(s.coldUntil, now + w.coldLeft);
}

void Core::take(const rpc::Workers& told, double now) {
  const auto remove = [&](const std::string& id) {
    const auto found = workers_.find(id);
    if (found == workers_.end()) return;
    std::erase(byService_[found->second.worker.service], id);
    workers_.erase(found);
  };
  if (told.whole) {
    std::set<std::string> kept;
    for (const auto& w : told.put) kept.insert(w.id);
    std::vector<std::string> gone;
    for (const auto& [id, s] : workers_)
      if (!kept.contains(id)) gone.push_back(id);
    for (const auto& id : gone) remove(id);
  }
  for (const auto& w : told.put) put(w, now);
  for (const auto& id : told.gone) remove(id);
  term_ = told.term, number_ = told.number;
}

void Core::setEvacuated(const std::set<std::string>& zones, double now) {
  for (auto& [id, s] : workers_)
    if (evacuated_.contains(s.worker.zone) && !zones.contains(s.worker.zone))
      s.coldUntil = std::max(s.coldUntil, now + rules_[s.worker.service].coldFor);
  evacuated_ = zones;
}

unsigned Core::away(const State& s) const {
  return s.region != self_.region ? 2 : s.worker.zone != self_.zone ? 1 : 0;
}

bool Core::allowed(const State& s, const Ask& ask) const {
  const auto home = [&](const std::vector<std::string>* homes) {
    return !homes || homes->empty() || std::find(homes->begin(), homes->end(), s.region) != homes->end();
  };
  return !s.worker.draining && !evacuated_.contains(s.worker.zone) && home(ask.homes) && home(ask.otherHomes);
}

bool Core::mayWarm(State& s, double now) {
  const auto rule = rules_.find(s.worker.service);
  const double rate = rule == rules_.end() ? 0 : rule->second.coldRate;
  unsigned sharers = 0;
  if (const auto here = proxies_.find(s.worker.zone); here != proxies_.end()) sharers = here->second;
  if (sharers > 0 && s.worker.zone != self_.zone) return false;
  if (sharers == 0) {
    if (s.region != self_.region) return false;
    for (const auto& [zone, count] : proxies_)
      if (regionOfZone(zone) == s.region) sharers += count;
  }
  const double bound = kColdPart * (rate * coldExcess_ + coldSlack_);
  const double most = std::floor(std::min(bound, rate * kColdMargin + 2) / std::max(1u, sharers));
  const double fair = bound / std::max(1u, sharers) >= 1 ? std::max(1.0, most) : 0;
  while (!s.coldSent.empty() && now - s.coldSent.front() > 1050) s.coldSent.pop_front();
  return static_cast<double>(s.coldSent.size()) < fair;
}

double Core::usual(const std::string& service) const {
  const auto found = usual_.find(service);
  return found == usual_.end() ? kUsualFirst : found->second;
}

double Core::cost(const State& s, const Ask& ask, double now) const {
  const double usualPace = usual(s.worker.service);
  const double pace = s.pace > 0 ? 0.5 * s.pace + 0.5 * usualPace : usualPace;
  const double slots = std::max(1u, s.worker.slots);
  const auto others = usualLoad_.find(s.worker.service);
  const double mean = others == usualLoad_.end() ? 0 : others->second;
  const double load = s.out + mean + (s.told - mean) * std::exp(-(now - s.toldAt) / std::max(kFade, pace));
  double out = pace * (1 + 0.3 * std::min(1.0, load / slots) + std::max(0.0, load + 1 - slots) / slots);
  if (now < s.coldUntil) out += 2 * pace;
  constexpr double kAway[] = {0, kZone, kRegion};
  return out + kAway[away(s)] * ask.aim;
}

Core::Choice Core::choose(const Ask& ask, double draw, double now) {
  Choice out;
  const auto all = byService_.find(ask.service);
  if (all == byService_.end()) return out;
  State* best = nullptr;
  State* lastResort = nullptr;
  double bestCost = 0, lastUntil = 0;
  unsigned ties = 0;
  for (const std::string& id : all->second) {
    State& s = workers_[id];
    if (!allowed(s, ask)) continue;
    if (ask.tried && std::find(ask.tried->begin(), ask.tried->end(), id) != ask.tried->end()) continue;
    if (now < s.fullUntil) {
      if (out.why == Why::nobody) out.why = Why::full;
      continue;
    }
    if (now < s.coldUntil && !mayWarm(s, now)) {
      out.why = Why::cold;
      continue;
    }
    if (now < s.shunnedUntil) {
      if (!lastResort || s.shunnedUntil < lastUntil) lastResort = &s, lastUntil = s.shunnedUntil;
      continue;
    }
    const double c = cost(s, ask, now);
    if (best && c > bestCost * (1 + kTie)) continue;
    if (!best || c < bestCost * (1 - kTie)) {
      best = &s, bestCost = c, ties = 1;
      continue;
    }
    // As good as the best: each of them with the same chance.
    ++ties;
    draw = draw * ties;
    const double whole = std::floor(draw);
    draw -= whole;
    if (whole == 0) best = &s;
    bestCost = std::min(bestCost, c);
  }
  if (!best && lastResort && ask.repeatable) best = lastResort;
  if (!best) {
    if (lastResort && out.why == Why::nobody) out.why = Why::failing;
    return out;
  }
  return {best->worker.id, best->worker.address, Why::found, away(*best)};
}

void Core::sent(const std::string& id, double now) {
  State* s = find(id);
  if (!s) return;
  s->out += 1;
  if (now < s->coldUntil) s->coldSent.push_back(now);
}

void Core::released(const std::string& id) {
  if (State* s = find(id)) s->out = std::max(0.0, s->out - 1);
}

void Core::answered(const std::string& id, double took, double now) {
  released(id);
  State* s = find(id);
  if (!s) return;
  s->fails = 0;
  s->shunnedUntil = -1e18;
  s->fullPause = 0;
  const bool cold = now < s->coldUntil;
  if (!cold) s->pace = s->pace > 0 ? kPaceKeep * s->pace + (1 - kPaceKeep) * took : took;
  const auto [usual, fresh] = usual_.try_emplace(s->worker.service, took);
  if (!fresh && !cold) usual->second = kUsualKeep * usual->second + (1 - kUsualKeep) * took;
}

void Core::load(const std::string& id, double running, double waiting, double now) {
  State* s = find(id);
  if (!s) return;
  s->told = std::max(0.0, running + waiting - s->out);
  s->toldAt = now;
  double& mean = usualLoad_.try_emplace(s->worker.service, s->told).first->second;
  mean += kLoadNews * (s->told - mean);
}

void Core::full(const std::string& id, double now) {
  released(id);
  State* s = find(id);
  if (!s) return;
  s->fullPause = std::min(kFullMost, s->fullPause > 0 ? 2 * s->fullPause : kFullFirst);
  s->fullUntil = now + s->fullPause;
}

void Core::failed(const std::string& id, bool unreachable, double now) {
  released(id);
  State* s = find(id);
  if (!s) return;
  ++s->fails;
  // One answer that is lost or spoilt says little; a worker that can't be reached says enough.
  if (!unreachable && s->fails < 2) return;
  s->shunnedUntil = now + std::min(kShunMost, kShunFirst * std::pow(2, std::min(s->fails, 8u) - 1));
}

void Core::cold(const std::string& id, double left, double now) {
  if (State* s = find(id)) s->coldUntil = std::max(s->coldUntil, now + left);
}

}  // namespace burlwind::load_balancing
