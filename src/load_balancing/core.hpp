// Choice of worker: decisions only, no I/O, time and draws handed in.
//
// A worker's cost is the response time to expect of it: its own average, the queue that is held to be there
// (own requests outstanding, and the load it reported of late, fading to what is usual), and how far it is,
// in time and in what bytes between zones cost. The cheapest is taken, ties by chance. Left out: draining
// ones, evacuated zones, foreign regions where homes bind, those ejected as failing (unless nothing else is
// left), those that said they are overloaded, and cold ones whose allowance for the second is used.
//
// Cold workers: only proxies of a worker's own zone send to it while it is cold, each the rule's bound for a
// second divided by the proxies known there, counted as sent. With no proxy known there, those of its
// region do.
// Cost: a pass over a service's workers for each choice.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rpc/messages.hpp"

namespace burlwind::load_balancing {

struct Ask {
  std::string service;
  double aim = 1000;                                // ms
  const std::vector<std::string>* homes = nullptr;  // both bind where both are there; empty: anywhere
  const std::vector<std::string>* otherHomes = nullptr;
  const std::vector<std::string>* tried = nullptr;  // ids that this request has been to
  bool repeatable = false;
};

struct ServiceRule {
  double coldRate = 0, coldFor = 0;  // requests a second, ms
};

struct Place {
  std::string zone, region;
};

enum class Why { found, nobody, overloaded, cold, failing };

class Core {
 public:
  Core(Place self, std::map<std::string, std::string> regionOf, double coldExcess, double coldSlack)
      : self_(std::move(self)),
        regionOf_(std::move(regionOf)),
        coldExcess_(coldExcess),
        coldSlack_(coldSlack) {}

  // --- What is known ---
  void take(const rpc::Workers& told, double now);  // whole, or a difference that joins
  std::uint64_t number() const { return number_; }
  void setProxies(std::map<std::string, unsigned> byZone) { proxies_ = std::move(byZone); }
  void setPlaces(std::map<std::string, std::string> regionOf);  // the region of each zone
  void setColdBound(double excess, double slack) { coldExcess_ = excess, coldSlack_ = slack; }
  void setService(const std::string& name, ServiceRule rule) { rules_[name] = rule; }
  // Zones that get nothing. Those taken back are held to be cold from now on.
  void setEvacuated(const std::set<std::string>& zones, double now);

  // --- Choice ---
  struct Choice {
    std::string id;  // empty: nobody, see why
    std::string address;
    Why why = Why::nobody;
    unsigned away = 0;  // 0: in this zone, 1: in this region, 2: in another one
  };
  Choice choose(const Ask& ask, double draw, double now);

  // --- What happened: after choose, one of ended/refused/failed for each sent ---
  void sent(const std::string& id, double now);
  void answered(const std::string& id, double took, double now);  // ms from sending
  void load(const std::string& id, double running, double waiting, double now);
  void full(const std::string& id, double now);                      // did not run it: full
  void failed(const std::string& id, bool unreachable, double now);  // no answer, or none that can be read
  // Broken off by this side. The worker may go on with it: until its next report, and for as long as a
  // report is believed, it counts as a request of somebody else.
  void abandoned(const std::string& id, double now);
  void released(const std::string& id);  // gives back `sent` where none of these fits
  void cold(const std::string& id, double left, double now);

  std::size_t size() const { return workers_.size(); }
  double outstanding(const std::string& id) const;  // own requests at a worker
  double usual(const std::string& service) const;   // ms of an answer

 private:
  struct WorkerState {
    rpc::Worker worker;
    std::string region;
    double outstanding = 0;  // own requests
    double othersLoad = 0;   // requests of other proxies, as it last reported
    double reportedAt = kNever;
    double responseTime = 0;  // ms, a moving average; 0: no answer yet
    unsigned failures = 0;    // in a row
    double ejectedUntil = kNever;
    double overloadedUntil = kNever;
    double overloadPause = 0;  // ms, the last one
    double coldUntil = kNever;
    std::deque<double> coldSent;  // times of what was sent to it while cold
  };
  static constexpr double kNever = -1e18;  // ms, before every time
  // What a pass over the candidates has found so far.
  struct Search {
    WorkerState* best = nullptr;
    double bestCost = 0;
    unsigned ties = 0;
    double draw = 0;                    // uniform in [0, 1)
    WorkerState* lastResort = nullptr;  // of the ejected ones the first to come back
  };
  unsigned away(const WorkerState& state) const;
  bool allowed(const WorkerState& state, const Ask& ask) const;
  Why unavailable(WorkerState& state, double now);
  static void consider(Search& search, WorkerState& state, double cost);
  bool mayWarm(WorkerState& state, double now);
  unsigned warmingProxies(const WorkerState& state) const;
  double cost(const WorkerState& state, const Ask& ask, double now) const;
  double responseTime(const WorkerState& state) const;  // ms to expect of it, as far as it isn't loaded
  double othersLoad(const WorkerState& state, double now) const;
  void put(const rpc::Worker& worker, double now);
  void remove(const std::string& id);
  void removeAllBut(const std::vector<rpc::Worker>& kept);
  std::string regionOfZone(const std::string& zone) const;
  WorkerState* find(const std::string& id);
  const Place self_;
  std::map<std::string, std::string> regionOf_;
  double coldExcess_, coldSlack_;
  std::unordered_map<std::string, WorkerState> workers_;
  std::unordered_map<std::string, std::vector<std::string>> byService_;
  std::unordered_map<std::string, double> usual_;      // ms of an answer, by service
  std::unordered_map<std::string, double> usualLoad_;  // of others, by service
  std::unordered_map<std::string, ServiceRule> rules_;
  std::map<std::string, unsigned> proxies_;
  std::set<std::string> evacuated_;
  std::uint64_t term_ = 0, number_ = 0;
};

}  // namespace burlwind::load_balancing
