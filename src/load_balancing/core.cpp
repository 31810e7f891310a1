#include "load_balancing/core.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace burlwind::load_balancing {
namespace {

constexpr double kLoadMemory = 200;                   // ms at least, in which a reported load fades
constexpr double kUsualLoadWeight = 0.03;             // of a new report in a service's usual load
constexpr double kResponseTimeKept = 0.9;             // of a worker's average with each answer
constexpr double kUsualKept = 0.97;                   // of a service's
constexpr double kUsualFirst = 150;                   // ms, until answers have come
constexpr double kEjectionFirst = 600;                // ms, doubling
constexpr double kEjectionMost = 5000;                // ms
constexpr double kOverloadFirst = 100;                // ms, doubling
constexpr double kOverloadMost = 800;                 // ms
constexpr std::array kDistanceCost{0.0, 0.30, 0.45};  // of the aim: same zone, same region, another region
constexpr double kTie = 0.05;                         // of the cost, by chance
constexpr double kColdPart = 0.85;                    // of the rule's bound
constexpr double kColdMargin = 1.3;                   // of the told rate, with two more
constexpr double kColdWindow = 1050;                  // ms, the rule's second with a margin
constexpr unsigned kFailuresToEject = 2;              // in a row, of answers that are lost or spoilt
constexpr unsigned kEjectionDoublings = 7;

}  // namespace

Core::WorkerState* Core::find(const std::string& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

std::string Core::regionOfZone(const std::string& zone) const {
  const auto found = regionOf_.find(zone);
  return found == regionOf_.end() ? std::string() : found->second;
}

void Core::setPlaces(std::map<std::string, std::string> regionOf) {
  regionOf_ = std::move(regionOf);
  for (auto& [id, state] : workers_) state.region = regionOfZone(state.worker.zone);
}

void Core::put(const rpc::Worker& worker, double now) {
  WorkerState& state = workers_[worker.id];
  if (state.worker.id.empty()) byService_[worker.service].push_back(worker.id);
  state.worker = worker;
  state.region = regionOfZone(worker.zone);
  if (worker.coldLeft > 0) state.coldUntil = std::max(state.coldUntil, now + worker.coldLeft);
}

void Core::remove(const std::string& id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  std::erase(byService_[found->second.worker.service], id);
  workers_.erase(found);
}

void Core::removeAllBut(const std::vector<rpc::Worker>& kept) {
  std::set<std::string> ids;
  for (const auto& worker : kept) ids.insert(worker.id);
  std::vector<std::string> gone;
  for (const auto& [id, state] : workers_)
    if (!ids.contains(id)) gone.push_back(id);
  for (const auto& id : gone) remove(id);
}

void Core::take(const rpc::Workers& told, double now) {
  if (told.whole) removeAllBut(told.put);
  for (const auto& worker : told.put) put(worker, now);
  for (const auto& id : told.gone) remove(id);
  term_ = told.term;
  number_ = told.number;
}

void Core::setEvacuated(const std::set<std::string>& zones, double now) {
  for (auto& [id, state] : workers_)
    if (evacuated_.contains(state.worker.zone) && !zones.contains(state.worker.zone))
      state.coldUntil = std::max(state.coldUntil, now + rules_[state.worker.service].coldFor);
  evacuated_ = zones;
}

unsigned Core::away(const WorkerState& state) const {
  if (state.region != self_.region) return 2;
  return state.worker.zone != self_.zone ? 1 : 0;
}

bool Core::allowed(const WorkerState& state, const Ask& ask) const {
  const auto home = [&](const std::vector<std::string>* homes) {
    return !homes || homes->empty() || std::find(homes->begin(), homes->end(), state.region) != homes->end();
  };
  return !state.worker.draining && !evacuated_.contains(state.worker.zone) && home(ask.homes) &&
         home(ask.otherHomes);
}

// How many proxies share the allowance of a cold worker; 0 where this one has no part in it.
unsigned Core::warmingProxies(const WorkerState& state) const {
  const auto here = proxies_.find(state.worker.zone);
  if (here != proxies_.end() && here->second > 0) return state.worker.zone == self_.zone ? here->second : 0;
  if (state.region != self_.region) return 0;
  unsigned sharers = 0;
  for (const auto& [zone, count] : proxies_)
    if (regionOfZone(zone) == state.region) sharers += count;
  return sharers;  // 0 where no ceiling of proxies is known: nobody may take itself for the only one
}

bool Core::mayWarm(WorkerState& state, double now) {
  const unsigned sharers = warmingProxies(state);
  if (sharers == 0) return false;
  const auto rule = rules_.find(state.worker.service);
  const double rate = rule == rules_.end() ? 0 : rule->second.coldRate;
  const double bound = kColdPart * (rate * coldExcess_ + coldSlack_);
  const double most = std::floor(std::min(bound, rate * kColdMargin + 2) / sharers);
  const double fair = bound / sharers >= 1 ? std::max(1.0, most) : 0;
  while (!state.coldSent.empty() && now - state.coldSent.front() > kColdWindow) state.coldSent.pop_front();
  return static_cast<double>(state.coldSent.size()) < fair;
}

double Core::usual(const std::string& service) const {
  const auto found = usual_.find(service);
  return found == usual_.end() ? kUsualFirst : found->second;
}

double Core::responseTime(const WorkerState& state) const {
  const double usualTime = usual(state.worker.service);
  return state.responseTime > 0 ? 0.5 * state.responseTime + 0.5 * usualTime : usualTime;
}

// As last reported, fading to what is usual.
double Core::othersLoad(const WorkerState& state, double now) const {
  const auto usualLoad = usualLoad_.find(state.worker.service);
  const double mean = usualLoad == usualLoad_.end() ? 0 : usualLoad->second;
  const double fading = std::exp(-(now - state.reportedAt) / std::max(kLoadMemory, responseTime(state)));
  return mean + (state.othersLoad - mean) * fading;
}

double Core::cost(const WorkerState& state, const Ask& ask, double now) const {
  const double time = responseTime(state);
  const double slots = std::max(1U, state.worker.slots);
  const double load = state.outstanding + othersLoad(state, now);
  double out = time * (1 + 0.3 * std::min(1.0, load / slots) + std::max(0.0, load + 1 - slots) / slots);
  if (now < state.coldUntil) out += 2 * time;
  return out + kDistanceCost[away(state)] * ask.aim;
}

// Why it may not be sent to now; Why::found where it may.
Why Core::unavailable(WorkerState& state, double now) {
  if (now < state.overloadedUntil) return Why::overloaded;
  if (now < state.coldUntil && !mayWarm(state, now)) return Why::cold;
  return now < state.ejectedUntil ? Why::failing : Why::found;
}

void Core::consider(Search& search, WorkerState& state, double cost) {
  if (search.best && cost > search.bestCost * (1 + kTie)) return;
  if (!search.best || cost < search.bestCost * (1 - kTie)) {
    search.best = &state;
    search.bestCost = cost;
    search.ties = 1;
    return;
  }
  // As good as the best: each of them with the same chance.
  ++search.ties;
  search.draw *= search.ties;
  const double whole = std::floor(search.draw);
  search.draw -= whole;
  if (whole == 0) search.best = &state;
  search.bestCost = std::min(search.bestCost, cost);
}

Core::Choice Core::choose(const Ask& ask, double draw, double now) {
  const auto candidates = byService_.find(ask.service);
  if (candidates == byService_.end()) return {};
  Choice none;
  Search search;
  search.draw = draw;
  for (const std::string& id : candidates->second) {
    WorkerState& state = workers_[id];
    if (!allowed(state, ask)) continue;
    if (ask.tried && std::find(ask.tried->begin(), ask.tried->end(), id) != ask.tried->end()) continue;
    const Why why = unavailable(state, now);
    if (why == Why::found) consider(search, state, cost(state, ask, now));
    if (why == Why::cold || (why == Why::overloaded && none.why == Why::nobody)) none.why = why;
    if (why != Why::failing) continue;
    if (!search.lastResort || state.ejectedUntil < search.lastResort->ejectedUntil)
      search.lastResort = &state;
  }
  WorkerState* chosen = search.best;
  if (!chosen && ask.repeatable) chosen = search.lastResort;
  if (chosen) return {chosen->worker.id, chosen->worker.address, Why::found, away(*chosen)};
  if (search.lastResort && none.why == Why::nobody) none.why = Why::failing;
  return none;
}

void Core::sent(const std::string& id, double now) {
  WorkerState* state = find(id);
  if (!state) return;
  state->outstanding += 1;
  if (now < state->coldUntil) state->coldSent.push_back(now);
}

double Core::outstanding(const std::string& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? 0 : found->second.outstanding;
}

void Core::released(const std::string& id) {
  if (WorkerState* state = find(id)) state->outstanding = std::max(0.0, state->outstanding - 1);
}

void Core::abandoned(const std::string& id, double now) {
  released(id);
  WorkerState* state = find(id);
  if (!state) return;
  state->othersLoad = othersLoad(*state, now) + 1;
  state->reportedAt = now;
}

void Core::answered(const std::string& id, double took, double now) {
  released(id);
  WorkerState* state = find(id);
  if (!state) return;
  state->failures = 0;
  state->ejectedUntil = kNever;
  state->overloadPause = 0;
  const bool cold = now < state->coldUntil;
  double& average = state->responseTime;
  if (!cold) average = average > 0 ? kResponseTimeKept * average + (1 - kResponseTimeKept) * took : took;
  const auto [usual, fresh] = usual_.try_emplace(state->worker.service, took);
  if (!fresh && !cold) usual->second = kUsualKept * usual->second + (1 - kUsualKept) * took;
}

void Core::load(const std::string& id, double running, double waiting, double now) {
  WorkerState* state = find(id);
  if (!state) return;
  state->othersLoad = std::max(0.0, running + waiting - state->outstanding);
  state->reportedAt = now;
  double& mean = usualLoad_.try_emplace(state->worker.service, state->othersLoad).first->second;
  mean += kUsualLoadWeight * (state->othersLoad - mean);
}

void Core::full(const std::string& id, double now) {
  released(id);
  WorkerState* state = find(id);
  if (!state) return;
  const double next = state->overloadPause > 0 ? 2 * state->overloadPause : kOverloadFirst;
  state->overloadPause = std::min(kOverloadMost, next);
  state->overloadedUntil = now + state->overloadPause;
}

void Core::failed(const std::string& id, bool unreachable, double now) {
  released(id);
  WorkerState* state = find(id);
  if (!state) return;
  ++state->failures;
  // One answer that is lost or spoilt says little; a worker that can't be reached says enough.
  if (!unreachable && state->failures < kFailuresToEject) return;
  const unsigned doublings = std::min(state->failures - 1, kEjectionDoublings);
  state->ejectedUntil = now + std::min(kEjectionMost, kEjectionFirst * std::pow(2, doublings));
}

void Core::cold(const std::string& id, double left, double now) {
  if (WorkerState* state = find(id)) state->coldUntil = std::max(state->coldUntil, now + left);
}

}  // namespace burlwind::load_balancing
