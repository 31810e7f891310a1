// Quotas over proxies, registries and a lease in virtual time, drawn from a seed: the running decisions
// (TokenCache, Registry, QuotaService with its allocator, cell and recovery, DutyLease, LeaseGrantor) over
// links that lose nothing but what is cut off. Proxies and registries are killed and start again, proxies are
// cut off from all registries; the ceiling of proxies is agreed on and outlives all of them. The judge counts
// what is let in within each window of five seconds. Nothing sleeps: a step is 5 ms.
#pragma once

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "distributed_quota/token_cache.hpp"
#include "lease/lease.hpp"
#include "registry/duty_lease.hpp"
#include "registry/quota_service.hpp"
#include "registry/registry.hpp"

namespace burlwind::quota_world {

using distributed_quota::Contact;
using distributed_quota::Limit;

constexpr double kStep = 5, kWindow = 5000, kSlack = 20, kApply = 3000;
constexpr double kNever = 1e9;
constexpr double kSilence = 1300, kLinkTimeout = 1500, kStatusPause = 400, kHeartbeatPause = 250;

// Faults planted to see that a judge finds them.
struct Planted {
  bool ceilingIsWhoIsKnown = false;  // a registry believes its own count
  bool partsBeginFull = false;       // out of touch with burst / n at each start
  bool tokensNeverEnd = false;       // stock outlives the life of its grant
  bool grantsCountTwice = false;     // an answer is taken for another demand too
  bool returnsCountTwice = false;    // a token whose request reached no worker is back in stock twice
  bool any() const {
    return ceilingIsWhoIsKnown || partsBeginFull || tokensNeverEnd || grantsCountTwice || returnsCountTwice;
  }
};

class World {
 public:
  World(unsigned proxies, unsigned registries, Limit limit, unsigned seed, Planted planted = {})
      : random_(seed), limit_(limit), planted_(planted), proxies_(proxies), registries_(registries) {
    configuration_ = configurationOf(limit);
    for (unsigned r = 0; r < registries; ++r) startRegistry(r);
    for (unsigned p = 0; p < proxies; ++p) startProxy(p);
  }

  void run(double until, double askedPerSecond) {
    for (; now_ < until; now_ += kStep) {
      deliver();
      for (unsigned r = 0; r < registries_.size(); ++r) stepRegistry(r);
      for (unsigned p = 0; p < proxies_.size(); ++p) stepProxy(p, askedPerSecond / double(proxies_.size()));
      countWindow();
      addUpPlaces();
    }
  }
  // In force everywhere at once; judged by it from kApply later on.
  void setLimit(Limit limit) {
    limit_ = limit;
    configuration_ = configurationOf(limit);
    for (RegistryNode& node : registries_)
      if (node.up) node.quotas->setConfiguration(configuration_);
    judgedFrom_ = now_ + kApply;
  }
  void cut(unsigned p, bool is) { proxies_[p].isCut = is, proxies_[p].cutAt = now_; }
  void killProxy(unsigned p) { proxies_[p].up = false; }
  void startProxy(unsigned p) {
    Proxy& proxy = proxies_[p];
    const bool isCut = proxy.isCut;
    proxy = Proxy{};
    proxy.isCut = isCut, proxy.up = true, proxy.incarnation = ++incarnations_, proxy.bornAt = now_;
    proxy.cache = distributed_quota::TokenCache(planted_.partsBeginFull ? now_ - 1000 : now_);
    if (planted_.partsBeginFull) proxy.cache.setProxies(unsigned(proxies_.size()), kSlack);
  }
  void killRegistry(unsigned r) {
    registries_[r].up = false;
    for (unsigned other = 0; other < registries_.size(); ++other)
      if (registries_[other].up) registries_[other].view->peerLost(ip(r), now_);
    for (Proxy& proxy : proxies_)
      if (proxy.registry == int(r)) proxy.registry = -1, proxy.retryAt = now_ + 50 + 200 * draw();
  }
  void startRegistry(unsigned r) {
    RegistryNode& node = registries_[r];
    node = RegistryNode{};
    node.up = true;
    node.incarnation = ++incarnations_;
    node.view = std::make_unique<registry::Registry>(ip(r), std::map<std::string, std::string>{});
    node.lease = std::make_unique<registry::DutyLease>(ip(r), node.incarnation);
    node.quotas =
        std::make_unique<registry::QuotaService>(ip(r), node.incarnation, *node.view, *node.lease, hooks(r));
    node.quotas->setConfiguration(configuration_);
    if (!planted_.ceilingIsWhoIsKnown) node.quotas->setCeiling(unsigned(proxies_.size()));
  }
  int holder() const {
    for (unsigned r = 0; r < registries_.size(); ++r)
      if (registries_[r].up && registries_[r].lease->holds(now_)) return int(r);
    return -1;
  }
  double now() const { return now_; }
  std::size_t most() const { return most_; }  // let in within a window
  std::size_t letIn() const { return letIn_; }
  // Part of the requests that take a token and reach no worker.
  void setUnreached(double part) { unreached_ = part; }
  // By how much, at most, stores, cells and proxies together held more than the burst, in the time of the
  // first holder.
  double mostBeyondBurst() const { return mostBeyondBurst_; }
  // Tokens in cells and at proxies.
  double heldOutside() const {
    double sum = 0;
    for (const RegistryNode& node : registries_)
      if (node.up) sum += held(node.quotas->cellTokens(now_));
    for (const Proxy& proxy : proxies_)
      if (proxy.up) sum += held(proxy.cache.tokens(now_));
    return sum;
  }
  // Tokens that came out of nothing, by what each place says that it lent, received and had returned; for a
  // world in which nothing was lost or restarted.
  double created() const {
    using distributed_quota::TokenEvent;
    const auto& store = registries_[unsigned(holder())].quotas;
    const double granted = counted(store->storeTokens(), TokenEvent::lent);
    double toCells = 0, lent = 0, received = 0, returned = 0;
    for (const RegistryNode& node : registries_) {
      toCells += counted(node.quotas->cellTokens(now_), TokenEvent::received);
      lent += counted(node.quotas->cellTokens(now_), TokenEvent::lent);
    }
    for (const Proxy& proxy : proxies_) {
      received += counted(proxy.cache.tokens(now_), TokenEvent::received);
      returned += counted(proxy.cache.tokens(now_), TokenEvent::returned);
    }
    const auto beyond = [](double is, double most) { return std::max(0.0, is - most); };
    return beyond(toCells, granted) + beyond(received, lent) + beyond(returned, returned_);
  }
  double allowed() const { return (limit_.rate * kWindow / 1000 + limit_.burst) * 1.1 + kSlack; }

 private:
  struct Proxy {
    bool up = false, isCut = false;
    std::uint64_t incarnation = 0;
    double bornAt = 0, cutAt = -1e18, heardAt = -1e18, statusAt = 0, retryAt = 0, admittedAt = -1e18;
    int registry = -1;
    distributed_quota::TokenCache cache;
    std::deque<double> waiting;  // requests: until when
    double tickAt = 0;
  };
  struct RegistryNode {
    bool up = false;
    std::uint64_t incarnation = 0;
    std::unique_ptr<registry::Registry> view;
    std::unique_ptr<registry::DutyLease> lease;
    std::unique_ptr<registry::QuotaService> quotas;
    std::map<unsigned, double> sessions;  // by proxy: last heard
    double tickAt = 0, heartbeatAt = 0;
    bool changed = false;
  };
  struct Message {
    double at = 0;
    std::function<void()> act;
  };
  static registry::QuotaService::Configuration configurationOf(const Limit& limit) {
    config::Tenant tenant;
    tenant.name = "t", tenant.rate = limit.rate, tenant.burst = limit.burst;
    auto configuration = std::make_shared<config::Configuration>();
    configuration->tenants.push_back(tenant);
    return configuration;
  }
  static double held(const std::vector<distributed_quota::TenantTokens>& tenants) {
    double sum = 0;
    for (const auto& tenant : tenants) sum += tenant.held;
    return sum;
  }
  static double counted(const std::vector<distributed_quota::TenantTokens>& tenants,
                        distributed_quota::TokenEvent event) {
    double sum = 0;
    for (const auto& tenant : tenants) sum += tenant.figures.count(event);
    return sum;
  }
  static std::string ip(unsigned r) { return "10.0.0." + std::to_string(r + 1); }
  static unsigned registryAt(const std::string& ip) { return unsigned(std::stoul(ip.substr(7))) - 1; }
  static std::string name(unsigned p) { return std::to_string(p); }
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void later(double ms, std::function<void()> act) { messages_.push_back({now_ + ms, std::move(act)}); }
  double near() { return 2 + 6 * draw(); }
  double far() { return 10 + 20 * draw(); }
  void deliver() {
    // In order of time for each pair is enough here: delays are drawn apart, as over several links.
    std::deque<Message> all;
    std::swap(all, messages_);
    for (Message& message : all) {
      if (message.at <= now_)
        message.act();
      else
        messages_.push_back(std::move(message));
    }
  }

  // --- Registries ---
  registry::QuotaService::Hooks hooks(unsigned r) {
    return {[this, r] { return reachable(r); },
            [this, r](const rpc::TokenRequest& request) { askHolder(r, request); },
            [this, r](const rpc::TokenResponse& response) { tellProxy(r, response); },
            [this, r](const rpc::Levels& levels) {
              toOthers(r, [levels](RegistryNode& node) { node.quotas->heard(levels); });
            },
            [this, r](const rpc::UsageQuery& query) {
              for (const auto& [p, heard] : registries_[r].sessions) askUsage(r, p, query);
            },
            [this, r](const rpc::UsageQuery& query) {
              toOthers(r, [query, r](RegistryNode& node) { node.quotas->asked(query, ip(r)); });
            },
            [this](const std::string& to, const rpc::UsageReport& report) {
              toRegistry(registryAt(to), far(),
                         [this, report](RegistryNode& node) { node.quotas->usage(report, now_); });
            }};
  }
  bool reachable(unsigned r) const {
    const std::string& holder = registries_[r].lease->holderIp();
    return !holder.empty() && registryAt(holder) != r && registries_[registryAt(holder)].up;
  }
  void toRegistry(unsigned r, double ms, std::function<void(RegistryNode&)> act) {
    later(ms, [this, r, incarnation = registries_[r].incarnation, act = std::move(act)] {
      if (registries_[r].up && registries_[r].incarnation == incarnation) act(registries_[r]);
    });
  }
  void toOthers(unsigned from, const std::function<void(RegistryNode&)>& act) {
    for (unsigned r = 0; r < registries_.size(); ++r)
      if (r != from && registries_[r].up) toRegistry(r, far(), act);
  }
  void askHolder(unsigned r, const rpc::TokenRequest& request) {
    const unsigned holder = registryAt(registries_[r].lease->holderIp());
    toRegistry(holder, far(), [this, r, request](RegistryNode& node) {
      const auto response = node.lease->holds(now_) ? node.quotas->grant(request, now_)
                                                    : registry::QuotaService::noHolder(request);
      toRegistry(r, far(), [this, response](RegistryNode& asker) { asker.quotas->granted(response, now_); });
    });
  }
  void stepRegistry(unsigned r) {
    RegistryNode& node = registries_[r];
    if (!node.up || now_ < node.tickAt) return;
    node.tickAt = now_ + 100;
    askLease(r);
    closeSilent(r);
    node.view->sweep(now_);
    if (planted_.ceilingIsWhoIsKnown) node.quotas->setCeiling(known(node));
    if (node.lease->holds(now_))
      if (const auto levels = node.quotas->changedLevels(now_))
        toOthers(r, [levels = *levels](RegistryNode& other) { other.quotas->heard(levels); });
    node.quotas->askHolder(now_);
    if (now_ >= node.heartbeatAt || node.changed) tellSessions(r);
  }
  static unsigned known(const RegistryNode& node) {
    unsigned sum = 0;
    for (const auto& [zone, count] : node.view->liveByZone()) sum += count;
    return sum;
  }
  void tellSessions(unsigned r) {
    registries_[r].heartbeatAt = now_ + kHeartbeatPause;
    registries_[r].changed = false;
    const rpc::Sessions sessions{true, registries_[r].view->ownSessions(now_)};
    toOthers(r,
             [this, r, sessions](RegistryNode& node) { node.view->observeSessions(ip(r), sessions, now_); });
  }
  void closeSilent(unsigned r) {
    RegistryNode& node = registries_[r];
    std::erase_if(node.sessions, [&](const auto& session) {
      if (now_ - session.second <= kLinkTimeout) return false;
      node.view->deregisterSession(name(session.first), 0, now_);
      node.changed = true;
      return true;
    });
  }
  // The stores' leader is never lost here; it tells of the holder as it is now.
  void askLease(unsigned r) {
    RegistryNode& node = registries_[r];
    rpc::LeaderConfirmation told;
    told.holder = grantor_.busy(now_) ? owner_.ip : std::string();
    told.epoch = owner_.epoch;
    node.lease->heard(told, now_);
    const auto request = node.lease->ask(10, now_);
    if (!request) return;
    using Decision = lease::LeaseGrantor::Decision;
    const lease::Applicant who{request->ip, request->incarnation, request->epoch, request->wants};
    const Decision decision = grantor_.ask(owner_, who, now_);
    if (decision == Decision::refuse) return;
    if (decision == Decision::agree)
      owner_ = {who.ip, who.incarnation, owner_.epoch + 1}, grantor_.granted(now_);
    const rpc::LeaseResponse response{request->number, lease::kLeaseSpan, owner_.epoch};
    const auto answer = node.lease->answered(response, now_);
    if (answer == registry::DutyLease::Answer::taken) node.quotas->takeDuty(now_);
    if (answer == registry::DutyLease::Answer::regained) node.quotas->regainDuty(now_);
  }

  // --- Proxies ---
  // Both ways: what is on its way when a link is cut is lost.
  void toProxy(unsigned r, unsigned p, std::function<void(Proxy&)> act) {
    later(near(), [this, r, p, incarnation = proxies_[p].incarnation, act = std::move(act)] {
      Proxy& proxy = proxies_[p];
      if (proxy.up && !proxy.isCut && proxy.incarnation == incarnation && proxy.registry == int(r))
        act(proxy);
    });
  }
  void fromProxy(unsigned p, std::function<void(unsigned r, RegistryNode&)> act) {
    if (proxies_[p].isCut || proxies_[p].registry < 0) return;
    const auto r = unsigned(proxies_[p].registry);
    toRegistry(r, near(), [r, act = std::move(act)](RegistryNode& node) { act(r, node); });
  }
  void tellProxy(unsigned r, const rpc::TokenResponse& response) {
    const auto p = unsigned(std::stoul(response.proxy));
    toProxy(r, p, [this, p, response](Proxy& proxy) {
      if (proxy.incarnation != response.incarnation) return;
      for (rpc::TokenGrant grant : response.grants) {
        if (planted_.tokensNeverEnd) grant.lifeMs = kNever;
        proxy.cache.granted(response.number, grant, now_);
        if (planted_.grantsCountTwice) countAgain(proxy, grant);
      }
      if (response.noHolder) proxy.cache.noHolder();
      updateContact(p);
      demand(p);  // as the program does: what is still short is asked for at once
    });
  }
  // The same tokens once more, for a demand that nobody was told of.
  void countAgain(Proxy& proxy, const rpc::TokenGrant& grant) {
    const rpc::TokenRequest request = proxy.cache.request(now_);
    if (!request.demands.empty()) proxy.cache.granted(request.number, grant, now_);
  }
  void askUsage(unsigned r, unsigned p, const rpc::UsageQuery& query) {
    toProxy(r, p, [this, p, query](Proxy& proxy) {
      proxy.cache.newHolder(now_);
      updateContact(p);
      rpc::UsageReport report = proxy.cache.usage(now_);
      report.epoch = query.epoch, report.proxy = name(p), report.incarnation = proxy.incarnation;
      fromProxy(p, [this, report](unsigned, RegistryNode& node) { node.quotas->usage(report, now_); });
    });
  }
  void connect(unsigned p) {
    Proxy& proxy = proxies_[p];
    if (proxy.registry >= 0 || proxy.isCut || now_ < proxy.retryAt) return;
    proxy.retryAt = now_ + 100;
    const auto r = unsigned(random_() % registries_.size());
    if (!registries_[r].up) return;
    proxy.registry = int(r), proxy.heardAt = now_, proxy.statusAt = 0;
    toProxy(r, p, [this, r](Proxy& linked) {
      const unsigned n = planted_.ceilingIsWhoIsKnown ? known(registries_[r]) : unsigned(proxies_.size());
      linked.cache.setProxies(n, kSlack);
    });
    fromProxy(p, [this, p](unsigned at, RegistryNode& node) {
      node.sessions[p] = now_;
      if (const auto query = node.quotas->lastQuery()) askUsage(at, p, *query);
    });
  }
  void updateContact(unsigned p) {
    Proxy& proxy = proxies_[p];
    const bool linked = proxy.registry >= 0;
    const Contact session = !linked                           ? Contact::lost
                            : now_ - proxy.heardAt < kSilence ? Contact::held
                                                              : Contact::unsure;
    const Contact before = proxy.cache.contact();
    proxy.cache.setContact(proxy.cache.answered(session, now_), now_);
    if ((before == Contact::held) != (proxy.cache.contact() == Contact::held)) proxy.statusAt = 0;
  }
  void sendStatus(unsigned p) {
    Proxy& proxy = proxies_[p];
    proxy.statusAt = now_ + kStatusPause;
    rpc::ProxySession seat;
    seat.name = name(p), seat.zone = "z", seat.incarnation = proxy.incarnation, seat.ready = true;
    seat.age = now_ - proxy.bornAt, seat.idle = now_ - std::max(proxy.bornAt, proxy.admittedAt);
    seat.ownPart = proxy.cache.contact() != Contact::held;
    seat.hasGrants = proxy.cache.hasGrants();
    seat.granted = now_ - proxy.cache.firstGrantAt().value_or(now_);
    fromProxy(p, [this, p, seat](unsigned r, RegistryNode& node) mutable {
      node.sessions[p] = now_;
      seat.place(now_);
      node.view->registerSession(seat, now_);
      node.changed = true;
      toProxy(r, p, [this](Proxy& told) { told.heardAt = now_; });
    });
  }
  void stepProxy(unsigned p, double perSecond) {
    Proxy& proxy = proxies_[p];
    if (!proxy.up) return;
    if (proxy.registry >= 0 && proxy.isCut && now_ - proxy.cutAt > kLinkTimeout) proxy.registry = -1;
    connect(p);
    if (now_ >= proxy.tickAt) {
      proxy.tickAt = now_ + 100;
      updateContact(p);
      demand(p);
    }
    if (proxy.registry >= 0 && now_ >= proxy.statusAt) sendStatus(p);
    if (draw() < perSecond * kStep / 1000) come(p);
    std::erase_if(proxy.waiting, [&](double until) {
      const auto admit = proxy.cache.again("t", limit_.rate, now_ >= until, now_);
      if (admit == distributed_quota::Admit::yes) admitted(proxy);
      return admit != distributed_quota::Admit::wait;
    });
  }
  void come(unsigned p) {
    Proxy& proxy = proxies_[p];
    const auto admit = proxy.cache.admit("t", limit_.rate, limit_.burst, draw(), now_);
    if (admit == distributed_quota::Admit::yes) admitted(proxy);
    if (admit != distributed_quota::Admit::wait) return;
    proxy.waiting.push_back(now_ + 350);
    demand(p);
  }
  void demand(unsigned p) {
    rpc::TokenRequest request = proxies_[p].cache.request(now_);
    if (request.demands.empty()) return;
    request.proxy = name(p), request.incarnation = proxies_[p].incarnation;
    fromProxy(p, [this, request](unsigned, RegistryNode& node) { node.quotas->demand(request, now_); });
  }
  void admitted(Proxy& proxy) {
    const auto endsAt = proxy.cache.lastTokenEnds();
    if (endsAt && draw() < unreached_) {
      ++returned_;
      proxy.cache.giveBack("t", *endsAt, now_);
      if (planted_.returnsCountTwice) proxy.cache.giveBack("t", *endsAt, now_);
      return;
    }
    proxy.admittedAt = now_;
    times_.push_back(now_);
    ++letIn_;
  }
  void addUpPlaces() {
    const int holding = holder();
    if (holding < 0 || owner_.epoch > 1) return;
    const double inStore = held(registries_[unsigned(holding)].quotas->storeTokens());
    mostBeyondBurst_ = std::max(mostBeyondBurst_, inStore + heldOutside() - limit_.burst);
  }
  void countWindow() {
    if (now_ < judgedFrom_) times_.clear(), most_ = 0;
    while (!times_.empty() && now_ - times_.front() > kWindow) times_.pop_front();
    most_ = std::max(most_, times_.size());
  }

  std::mt19937_64 random_;
  Limit limit_;
  const Planted planted_;
  registry::QuotaService::Configuration configuration_;
  std::vector<Proxy> proxies_;
  std::vector<RegistryNode> registries_;
  lease::LeaseGrantor grantor_;
  lease::LeaseOwner owner_;
  std::deque<Message> messages_;
  std::uint64_t incarnations_ = 0;
  double now_ = 0, judgedFrom_ = 0;
  std::deque<double> times_;
  std::size_t most_ = 0, letIn_ = 0;
  double unreached_ = 0, returned_ = 0, mostBeyondBurst_ = -1e18;
};

}  // namespace burlwind::quota_world
