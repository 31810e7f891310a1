#include "registry/registry.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <utility>

namespace burlwind::registry {
namespace {
constexpr double kColdMoved = 600;  // ms by which a cold span must move to be news
}

void Registry::note(double now, std::string what, std::string who) {
  journal_.push_back({now, std::move(what), std::move(who)});
  if (journal_.size() > kJournal) journal_.pop_front();
}

void Registry::refold(double now) {
  seats_.clear();
  const auto put = [&](const rpc::ProxySession& seat) {
    const auto [found, fresh] = seats_.try_emplace(seat.name, seat);
    // Two registries may hold sessions of one proxy while it moves: ready at one is ready. One that has
    // restarted may still have an earlier incarnation's session elsewhere.
    const bool same = seat.incarnation == found->second.incarnation;
    if (!fresh && (same ? seat.ready : seat.bornAt > found->second.bornAt)) found->second = seat;
    known_[seat.name] = {seat.zone, now};
  };
  for (const auto& [name, own] : own_) put(own.seat);
  for (const auto& [registry, others] : others_)
    for (const rpc::ProxySession& seat : others.seats) put(seat);
  std::erase_if(lost_, [&](const auto& lost) { return seats_.contains(lost.first); });
}

void Registry::lose(const rpc::ProxySession& session, double heard) {
  Lost& lost = lost_[session.name];
  if (heard >= lost.heard) lost = {session, heard};
}

std::vector<const rpc::ProxySession*> Registry::proxies(double now) const {
  std::vector<const rpc::ProxySession*> out;
  out.reserve(seats_.size() + lost_.size());
  for (const auto& [name, session] : seats_) out.push_back(&session);
  const double memory = confirmed_ ? kOthersSilent : kUnconfirmedMemory;
  for (const auto& [name, lost] : lost_)
    if (now - lost.heard <= memory) out.push_back(&lost.session);
  return out;
}

void Registry::seat(const rpc::ProxySession& seat, double now, std::uint64_t session) {
  const auto [found, fresh] = own_.try_emplace(seat.name);
  Own& own = found->second;
  if (session < own.session) return;
  const bool same = !fresh && own.seat.sameAs(seat);
  if (fresh || own.seat.ready != seat.ready)
    note(now, seat.ready ? "proxy ready" : "proxy seated", seat.name);
  own = {seat, session};
  if (!same) return refold(now);
  const auto view = seats_.find(seat.name);
  if (view != seats_.end() && view->second.sameAs(seat)) view->second = seat;
}

void Registry::unseat(const std::string& name, std::uint64_t session, double now) {
  const auto found = own_.find(name);
  if (found == own_.end() || found->second.session != session) return;
  note(now, "proxy gone", name);
  if (!confirmed_) lose(found->second.seat, now);  // perhaps it is this registry that is cut off
  own_.erase(found);
  refold(now);
}

std::vector<rpc::ProxySession> Registry::own(double now) const {
  std::vector<rpc::ProxySession> out;
  for (const auto& [name, own] : own_) {
    out.push_back(own.seat);
    out.back().unplace(now);
  }
  return out;
}

unsigned Registry::drawing(double now) const {
  std::set<std::string_view> names;
  const auto add = [&](const rpc::ProxySession& seat) {
    const auto counts = seats_.find(seat.name);
    if (counts != seats_.end() && counts->second.incarnation == seat.incarnation && !seat.ownPart)
      names.insert(seat.name);
  };
  for (const auto& [name, own] : own_)
    if (now - own.seat.toldAt < kCountedWithin) add(own.seat);
  for (const auto& [registry, others] : others_)
    if (now - others.heard < kCountedWithin)
      for (const rpc::ProxySession& seat : others.seats) add(seat);
  return static_cast<unsigned>(names.size());
}

bool Registry::allRestarted(unsigned expected, double age, double until) const {
  if (expected == 0 || seats_.size() < expected) return false;
  return std::all_of(seats_.begin(), seats_.end(), [&](const auto& seat) {
    const bool grantedBefore = seat.second.hasGrants && seat.second.grantedAt < until;
    return until - seat.second.bornAt < age && !grantedBefore;
  });
}

double Registry::allIdle(unsigned expected, double until) const {
  if (expected == 0 || seats_.size() < expected) return 0;
  double lastAdmitted = -1e18;
  double firstTold = until;
  for (const auto& [name, seat] : seats_) {
    lastAdmitted = std::max(lastAdmitted, seat.admittedAt);
    firstTold = std::min(firstTold, seat.toldAt);
  }
  return std::max(0.0, firstTold - lastAdmitted);
}

std::map<std::string, unsigned> Registry::liveByZone() const {
  std::map<std::string, unsigned> out;
  for (const auto& [name, seat] : seats_) ++out[seat.zone];
  return out;
}

void Registry::silent(const std::string& registry, double now) {
  const auto found = others_.find(registry);
  if (found == others_.end()) return;
  note(now, "registry silent", registry);
  loseAll(found->second);
  others_.erase(found);
  refold(now);
}

void Registry::loseAll(const Others& others) {
  for (const rpc::ProxySession& session : others.seats) lose(session, others.heard);
}

std::size_t Registry::toldBy(const std::string& registry) const {
  const auto found = others_.find(registry);
  return found == others_.end() ? 0 : found->second.seats.size();
}

bool Registry::heard(const std::string& registry, const rpc::Sessions& told, double now) {
  if (!told.whole && !others_.contains(registry)) return false;
  Others& others = others_[registry];
  others.heard = now;
  if (!told.whole) return true;
  others.seats = told.seats;
  for (rpc::ProxySession& seat : others.seats) seat.place(now);
  refold(now);
  return true;
}

bool Registry::sweep(double now, bool confirmed) {
  confirmed_ = confirmed;
  const bool changed = std::erase_if(others_, [&](const auto& other) {
                         if (now - other.second.heard <= kOthersSilent) return false;
                         note(now, "registry silent", other.first);
                         loseAll(other.second);
                         return true;
                       }) > 0;
  if (changed) refold(now);
  std::erase_if(lost_, [&](const auto& lost) { return now - lost.second.heard > kUnconfirmedMemory; });
  for (const auto& [name, seat] : seats_) known_[name] = {seat.zone, now};
  return std::erase_if(known_, [&](const auto& k) { return now - k.second.second > kRemembered; }) > 0 ||
         changed;
}

std::string Registry::regionOf(const std::string& zone) const {
  const auto found = regionOf_.find(zone);
  return found == regionOf_.end() ? std::string() : found->second;
}

std::size_t Registry::knownIn(const std::string& zone) const {
  return static_cast<std::size_t>(
      std::count_if(known_.begin(), known_.end(), [&](const auto& k) { return k.second.first == zone; }));
}

std::optional<rpc::Workers> Registry::listed(std::uint64_t epoch,
                                             const std::map<std::string, rpc::Worker>& all, double now) {
  rpc::Workers out;
  for (const auto& [id, worker] : all) {
    const auto found = workers_.find(id);
    const double coldUntil = worker.coldLeft > 0 ? now + worker.coldLeft : 0;
    const bool colder = coldUntil > (found == workers_.end() ? 0 : found->second.coldUntil) + kColdMoved;
    if (found != workers_.end() && found->second.worker.draining == worker.draining &&
        found->second.worker.address == worker.address && !colder)
      continue;
    if (found == workers_.end() || found->second.worker.draining != worker.draining)
      note(now, worker.draining ? "worker drains" : "worker listed", id);
    workers_[id] = {worker, coldUntil};
    out.put.push_back(worker);
  }
  for (auto it = workers_.begin(); it != workers_.end();) {
    if (all.contains(it->first)) {
      ++it;
      continue;
    }
    note(now, "worker gone", it->first);
    out.gone.push_back(it->first);
    it = workers_.erase(it);
  }
  const bool begins = epoch != epoch_;
  if (out.put.empty() && out.gone.empty() && !begins) return std::nullopt;
  out.before = number_;
  epoch_ = epoch;
  ++number_;
  if (begins || out.before == 0) return whole(now);
  out.term = epoch_, out.number = number_;
  return out;
}

Registry::Taken Registry::take(const rpc::Workers& told, double now) {
  if (std::pair(told.term, told.number) <= std::pair(epoch_, number_)) return Taken::old;
  if (!told.whole && (told.term != epoch_ || told.before != number_)) return Taken::gap;
  if (told.whole) workers_.clear();
  for (const rpc::Worker& w : told.put) workers_[w.id] = {w, w.coldLeft > 0 ? now + w.coldLeft : 0};
  for (const std::string& id : told.gone) workers_.erase(id);
  epoch_ = told.term, number_ = told.number;
  return Taken::news;
}

rpc::Workers Registry::whole(double now) const {
  rpc::Workers out;
  out.term = epoch_, out.number = number_, out.whole = true;
  for (const auto& [id, known] : workers_) {
    out.put.push_back(known.worker);
    out.put.back().coldLeft = std::max(0.0, known.coldUntil - now);
  }
  return out;
}

}  // namespace burlwind::registry
