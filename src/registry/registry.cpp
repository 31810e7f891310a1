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
  sessions_.clear();
  const auto put = [&](const rpc::ProxySession& session) {
    const auto [found, fresh] = sessions_.try_emplace(session.name, session);
    // Two registries may hold sessions of one proxy while it moves: ready at one is ready. One that has
    // restarted may still have an earlier incarnation's session elsewhere.
    const bool same = session.incarnation == found->second.incarnation;
    if (!fresh && (same ? session.ready : session.bornAt > found->second.bornAt)) found->second = session;
    lastSeen_[session.name] = {session.zone, now};
  };
  for (const auto& [name, own] : own_) put(own.session);
  for (const auto& [registry, peer] : peers_)
    for (const rpc::ProxySession& session : peer.sessions) put(session);
  std::erase_if(lost_, [&](const auto& lost) { return sessions_.contains(lost.first); });
}

void Registry::lose(const rpc::ProxySession& session, double lastSeen) {
  Lost& lost = lost_[session.name];
  if (lastSeen >= lost.lastSeen) lost = {session, lastSeen};
}

std::vector<const rpc::ProxySession*> Registry::proxies(double now) const {
  std::vector<const rpc::ProxySession*> out;
  out.reserve(sessions_.size() + lost_.size());
  for (const auto& [name, session] : sessions_) out.push_back(&session);
  const double memory = confirmed_ ? kPeerTimeout : kUnconfirmedMemory;
  for (const auto& [name, lost] : lost_)
    if (now - lost.lastSeen <= memory) out.push_back(&lost.session);
  return out;
}

void Registry::registerSession(const rpc::ProxySession& session, double now, std::uint64_t number) {
  const auto [found, fresh] = own_.try_emplace(session.name);
  OwnSession& own = found->second;
  if (number < own.number) return;
  const bool same = !fresh && own.session.sameAs(session);
  if (fresh || own.session.ready != session.ready)
    note(now, session.ready ? "proxy ready" : "proxy session", session.name);
  own = {session, number};
  if (!same) return refold(now);
  const auto view = sessions_.find(session.name);
  if (view != sessions_.end() && view->second.sameAs(session)) view->second = session;
}

void Registry::deregisterSession(const std::string& name, std::uint64_t number, double now) {
  const auto found = own_.find(name);
  if (found == own_.end() || found->second.number != number) return;
  note(now, "proxy gone", name);
  if (!confirmed_) lose(found->second.session, now);  // perhaps it is this registry that is cut off
  own_.erase(found);
  refold(now);
}

std::vector<rpc::ProxySession> Registry::ownSessions(double now) const {
  std::vector<rpc::ProxySession> out;
  for (const auto& [name, own] : own_) {
    out.push_back(own.session);
    out.back().unplace(now);
  }
  return out;
}

unsigned Registry::drawing(double now) const {
  std::set<std::string_view> names;
  const auto add = [&](const rpc::ProxySession& session) {
    const auto counts = sessions_.find(session.name);
    if (counts != sessions_.end() && counts->second.incarnation == session.incarnation && !session.ownPart)
      names.insert(session.name);
  };
  for (const auto& [name, own] : own_)
    if (now - own.session.toldAt < kReportTimeout) add(own.session);
  for (const auto& [registry, peer] : peers_)
    if (now - peer.lastSeen < kReportTimeout)
      for (const rpc::ProxySession& session : peer.sessions) add(session);
  return static_cast<unsigned>(names.size());
}

bool Registry::allRestarted(unsigned expected, double age, double until) const {
  if (expected == 0 || sessions_.size() < expected) return false;
  return std::all_of(sessions_.begin(), sessions_.end(), [&](const auto& session) {
    const bool grantedBefore = session.second.hasGrants && session.second.grantedAt < until;
    return until - session.second.bornAt < age && !grantedBefore;
  });
}

double Registry::allIdle(unsigned expected, double until) const {
  if (expected == 0 || sessions_.size() < expected) return 0;
  double lastAdmitted = -1e18;
  double firstTold = until;
  for (const auto& [name, session] : sessions_) {
    lastAdmitted = std::max(lastAdmitted, session.admittedAt);
    firstTold = std::min(firstTold, session.toldAt);
  }
  return std::max(0.0, firstTold - lastAdmitted);
}

std::map<std::string, unsigned> Registry::liveByZone() const {
  std::map<std::string, unsigned> out;
  for (const auto& [name, session] : sessions_) ++out[session.zone];
  return out;
}

void Registry::peerLost(const std::string& registry, double now) {
  const auto found = peers_.find(registry);
  if (found == peers_.end()) return;
  note(now, "registry silent", registry);
  loseAll(found->second);
  peers_.erase(found);
  refold(now);
}

void Registry::loseAll(const PeerSessions& peer) {
  for (const rpc::ProxySession& session : peer.sessions) lose(session, peer.lastSeen);
}

std::size_t Registry::reportedBy(const std::string& registry) const {
  const auto found = peers_.find(registry);
  return found == peers_.end() ? 0 : found->second.sessions.size();
}

bool Registry::observeSessions(const std::string& registry, const rpc::Sessions& reported, double now) {
  if (!reported.whole && !peers_.contains(registry)) return false;
  PeerSessions& peer = peers_[registry];
  peer.lastSeen = now;
  if (!reported.whole) return true;
  peer.sessions = reported.sessions;
  for (rpc::ProxySession& session : peer.sessions) session.place(now);
  refold(now);
  return true;
}

bool Registry::sweep(double now, bool confirmed) {
  confirmed_ = confirmed;
  const bool changed = std::erase_if(peers_, [&](const auto& peer) {
                         if (now - peer.second.lastSeen <= kPeerTimeout) return false;
                         note(now, "registry silent", peer.first);
                         loseAll(peer.second);
                         return true;
                       }) > 0;
  if (changed) refold(now);
  std::erase_if(lost_, [&](const auto& lost) { return now - lost.second.lastSeen > kUnconfirmedMemory; });
  for (const auto& [name, session] : sessions_) lastSeen_[name] = {session.zone, now};
  return std::erase_if(lastSeen_, [&](const auto& k) { return now - k.second.at > kLastSeenKept; }) > 0 ||
         changed;
}

std::string Registry::regionOf(const std::string& zone) const {
  const auto found = regionOf_.find(zone);
  return found == regionOf_.end() ? std::string() : found->second;
}

std::size_t Registry::knownIn(const std::string& zone) const {
  return static_cast<std::size_t>(std::count_if(lastSeen_.begin(), lastSeen_.end(),
                                                [&](const auto& k) { return k.second.zone == zone; }));
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
