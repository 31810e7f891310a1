// Stores, registries and proxies under virtual time, drawn from a seed: the running decisions (Service with
// its consensus core, LeaderTracker, ProxyFeed, SessionCore) over links that can be cut in either direction.
// A node is a process. Of n core machines, node i is the store, n + i the registry of machine i; proxies come
// after them. A cut keeps what is sent in the link's buffer and ends the link after 1.5 s, as
// TCP_USER_TIMEOUT does; a frozen process finds all that came meanwhile in its buffers. Nothing sleeps: a
// step is 10 ms.
//
// An operator evacuates one new zone after the other through any registry. Checked at each step, of what is
// awake (a fault is kept with its time, the first ones are told):
//  - a proxy's configuration never goes back within one incarnation;
//  - a registry that is confirmed holds all that was acknowledged kConfirmationTimeout ago;
//  - a proxy in touch, or with its first configuration, has in force all that was acknowledged kProxyBound
//  ago;
//  - an order is acknowledged or has no clear answer; none is refused;
//  - one index has one content, whichever store tells it.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "config_store/service.hpp"
#include "proxy/session_core.hpp"
#include "registry/leader_tracker.hpp"
#include "registry/proxy_feed.hpp"

namespace burlwind::serving {

using config_store::ReaderId;
using registry::kConfirmationTimeout;
constexpr double kProxyBound = 2600, kStep = 10, kUserTimeout = 1500, kStall = 1000;
constexpr unsigned kCores = 5, kProxies = 6, kNodes = 2 * kCores + kProxies;
constexpr double kNever = std::numeric_limits<double>::infinity();

class World {
 public:
  explicit World(unsigned seed) : random_(seed) {
    std::vector<rpc::Member> members;
    for (unsigned i = 0; i < kCores; ++i) members.push_back({100 + i, ip(i)});
    for (unsigned i = 0; i < kCores; ++i) stores_[i].disk.self = 100 + i, stores_[i].disk.members = members;
  }
  // Letters hold the link that they are on.
  ~World() {
    for (const auto& link : links_) forget(*link);
  }
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  static std::string ip(unsigned machine) { return "10.0.0." + std::to_string(machine + 1); }
  static unsigned machineOf(const std::string& ip) {
    return static_cast<unsigned>(std::stoul(ip.substr(7))) - 1;
  }
  static unsigned registryOf(unsigned machine) { return kCores + machine; }
  static unsigned nodeOfProxy(unsigned proxy) { return 2 * kCores + proxy; }
  double now() const { return now_; }
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  unsigned pick(unsigned below) { return static_cast<unsigned>(random_() % below); }

  // --- What happens to them ---
  void startStore(unsigned i) {
    StoreNode& store = stores_[i];
    start(store);
    config_store::State state;
    config_store::unpack(store.disk.state, state);
    store.service = std::make_unique<config_store::Service>(
        consensus::Core(store.disk, {}, kCores, &World::drawFor, this, now_), state, now_);
  }
  void startRegistry(unsigned i, const std::vector<unsigned>& seeds) {
    RegistryNode& node = registries_[i];
    start(node);
    node.tracker = std::make_unique<registry::LeaderTracker>();
    node.known = {seeds.begin(), seeds.end()};
    node.known.insert(i);
    node.holding = {};
    refresh(node.holding);
  }
  void startProxy(unsigned p, const std::vector<unsigned>& seeds) {
    ProxyNode& node = proxies_[p];
    start(node);
    node.core =
        std::make_unique<proxy::SessionCore>(proxy::Place{"z" + std::to_string(p % kCores), "r"}, random_());
    std::vector<std::string> ips;
    for (const unsigned seed : seeds) ips.push_back(ip(seed));
    node.core->setSeeds(ips, now_);
    node.index = 0;
    node.holding = {};
    refresh(node.holding);
  }
  void kill(unsigned node) {
    process(node).up = false;
    for (const auto& link : links_)
      for (unsigned k : {0, 1})
        if (link->open && link->nodes[k] == node) close(link), link->ended[k] = nullptr;
    if (node < kCores) stores_[node].readers.clear();
    if (node >= kCores && node < 2 * kCores)
      registries_[node - kCores].stores.clear(), registries_[node - kCores].sessions.clear();
    if (node >= 2 * kCores) proxies_[node - 2 * kCores].sessions.clear();
  }
  void freeze(unsigned node, double ms) { process(node).frozenUntil = now_ + ms; }
  void cut(unsigned from, unsigned to, bool is = true) { cut_[from][to] = is; }
  // What `left` tells all others is lost where `out`, what they tell it where `in`.
  void cutOff(const std::set<unsigned>& left, bool out, bool in) {
    for (unsigned a = 0; a < kNodes; ++a)
      for (unsigned b = 0; b < kNodes; ++b)
        if (left.contains(a) && !left.contains(b)) cut(a, b, out), cut(b, a, in);
  }
  void order(unsigned machine) {
    orders_.push_back({++orderNumber_, machine, now_});
    noClearAnswer_ += !registries_[machine].up;
    if (!registries_[machine].up) orders_.pop_back();
  }
  std::optional<unsigned> leader() const {
    for (unsigned i = 0; i < kCores; ++i)
      if (stores_[i].up && stores_[i].service->leads()) return i;
    return std::nullopt;
  }
  bool up(unsigned node) { return process(node).up; }

  void step() {
    now_ += kStep;
    for (std::size_t i = 0; i < links_.size(); ++i) stepLink(LinkPtr(links_[i]));
    std::erase_if(links_, [](const auto& l) {
      const bool over = !l->open && !l->ended[0] && !l->ended[1];
      if (over) forget(*l);
      return over;
    });
    for (std::deque<Datagram> due = std::exchange(datagrams_, {}); auto& datagram : due) deliver(datagram);
    for (unsigned i = 0; i < kCores; ++i) stepStore(i), stepRegistry(i);
    for (unsigned p = 0; p < kProxies; ++p) stepProxy(p);
    for (Order& order : orders_) stepOrder(order);
    std::erase_if(orders_, [](const Order& order) { return order.done; });
    check();
  }
  void run(double until) {
    while (now_ < until) step();
  }

  // --- What must hold ---
  std::vector<std::string> faults;  // empty: all has held
  // Each registry and proxy that runs has all that was acknowledged up to `at`.
  bool everyoneHas(double at) {
    const auto has = [&](const auto& node) { return !node.up || node.holding.missingSince > at; };
    return std::all_of(std::begin(proxies_), std::end(proxies_), has) &&
           std::all_of(std::begin(registries_), std::end(registries_), has);
  }
  bool everyoneInTouch() {
    return std::all_of(std::begin(proxies_), std::end(proxies_),
                       [&](const auto& proxy) { return !proxy.up || proxy.core->inTouch(now_); });
  }
  bool configured(unsigned p) const { return proxies_[p].index > 0; }
  bool confirmed(unsigned machine) { return registries_[machine].tracker->confirmed(now_); }
  std::size_t acknowledged() const { return acknowledged_.size(); }
  std::size_t noClearAnswer() const { return noClearAnswer_; }

 private:
  struct Letter {
    double at = 0;
    std::function<void()> deliver;
  };
  struct Link {
    unsigned nodes[2] = {0, 0};
    std::deque<Letter> letters[2];  // to nodes[k]
    std::function<void()> ended[2];
    bool open = true;
    double blockedFrom = kNever;
  };
  using LinkPtr = std::shared_ptr<Link>;
  static void forget(Link& link) {
    for (unsigned k : {0, 1}) {
      link.letters[k].clear();
      link.ended[k] = nullptr;
    }
  }
  struct Datagram {  // between stores
    double at = 0;
    unsigned from = 0, to = 0;
    consensus::Message message;
  };
  struct Process {
    bool up = false;
    double frozenUntil = 0, tickAt = 0, lastTick = 0;
  };
  struct Holding {
    std::set<std::string> zones;
    double missingSince = kNever;  // when the first was acknowledged that is not among them
  };
  struct StoreNode : Process {
    consensus::PersistentState disk;
    std::unique_ptr<config_store::Service> service;
    std::map<ReaderId, LinkPtr> readers;
    std::map<ReaderId, unsigned> machines;  // of the registry
  };
  struct RegistryNode : Process {
    std::unique_ptr<registry::LeaderTracker> tracker;
    std::set<unsigned> known;                                 // machines
    std::map<unsigned, std::pair<LinkPtr, ReaderId>> stores;  // by machine
    std::map<LinkPtr, registry::ProxyFeed> sessions;
    Holding holding;
  };
  struct ProxyNode : Process {
    struct Session {
      unsigned machine = 0;
      LinkPtr link;
    };
    std::unique_ptr<proxy::SessionCore> core;
    std::map<proxy::SessionId, Session> sessions;
    std::uint64_t index = 0;
    Holding holding;
  };
  struct Order {
    std::uint64_t number = 0;
    unsigned machine = 0;
    double sentAt = 0;
    bool taken = false, forwarded = false, done = false;
    double takenAt = 0, forwardedAt = 0;
  };

  void start(Process& process) { process = {true, 0, now_, now_}; }
  Process& process(unsigned node) {
    if (node < kCores) return stores_[node];
    if (node < 2 * kCores) return registries_[node - kCores];
    return proxies_[node - 2 * kCores];
  }
  bool awake(unsigned node) { return process(node).up && now_ >= process(node).frozenUntil; }
  bool due(Process& process, double pause) {
    if (!process.up || now_ < process.frozenUntil || now_ < process.tickAt) return false;
    process.tickAt = now_ + pause;
    return true;
  }
  double delay() { return 2 + 40 * draw(); }
  static double drawFor(void* self) { return static_cast<World*>(self)->draw(); }
  void fault(const std::string& what) {
    std::ostringstream line;
    line << now_ << " ms: " << what;
    if (faults.size() < 5) faults.push_back(line.str());
  }

  // --- Links ---
  LinkPtr connect(unsigned from, unsigned to) {
    if (!process(to).up || cut_[from][to] || cut_[to][from]) return nullptr;
    auto link = std::make_shared<Link>();
    link->nodes[0] = from, link->nodes[1] = to;
    links_.push_back(link);
    return link;
  }
  void send(const LinkPtr& link, unsigned to, std::function<void()> deliver) {
    if (!link || !link->open) return;
    const unsigned k = link->nodes[1] == to;
    const double after = link->letters[k].empty() ? 0 : link->letters[k].back().at;
    link->letters[k].push_back({std::max(after, now_ + delay()), std::move(deliver)});
    if (cut_[link->nodes[0]][link->nodes[1]] || cut_[link->nodes[1]][link->nodes[0]])
      link->blockedFrom = std::min(link->blockedFrom, now_);
  }
  void close(const LinkPtr& link) { link->open = false; }
  void stepLink(const LinkPtr& link) {
    bool whole = true;
    for (unsigned k : {0, 1}) {
      const unsigned from = link->nodes[1 - k], to = link->nodes[k];
      whole = whole && !cut_[from][to];
      if (cut_[from][to] && !link->letters[k].empty()) link->blockedFrom = std::min(link->blockedFrom, now_);
      while (!cut_[from][to] && awake(to) && link->ended[k] && !link->letters[k].empty() &&
             link->letters[k].front().at <= now_) {
        const auto letter = std::move(link->letters[k].front());
        link->letters[k].pop_front();
        letter.deliver();
      }
      if (!link->open && link->ended[k] && awake(to)) std::exchange(link->ended[k], nullptr)();
    }
    if (whole) link->blockedFrom = kNever;
    if (now_ - link->blockedFrom > kUserTimeout) close(link);
  }
  void deliver(Datagram& datagram) {
    if (now_ < datagram.at || (process(datagram.to).up && !awake(datagram.to)))
      return datagrams_.push_back(std::move(datagram));
    if (!process(datagram.to).up || cut_[datagram.from][datagram.to]) return;
    carry(datagram.to, stores_[datagram.to].service->fromStore(datagram.message, now_));
  }

  // --- Stores ---
  void stepStore(unsigned i) {
    if (due(stores_[i], 50)) carry(i, stores_[i].service->tick(now_));
  }
  void carry(unsigned i, const config_store::Effects& effects) {
    StoreNode& store = stores_[i];
    for (const auto& effect : effects) {
      if (std::holds_alternative<config_store::Persist>(effect)) {
        store.disk = store.service->record();
      } else if (const auto* message = std::get_if<config_store::SendToStore>(&effect)) {
        const auto to = static_cast<unsigned>(message->to - 100);
        datagrams_.push_back({now_ + delay(), i, to, message->message});
      } else if (const auto* answer = std::get_if<config_store::SendToReaders>(&effect)) {
        for (const ReaderId reader : answer->to) tellReader(i, reader, answer->message);
      } else if (const auto* closed = std::get_if<config_store::CloseReader>(&effect)) {
        if (const auto found = store.readers.find(closed->reader); found != store.readers.end())
          close(found->second);
      }
    }
  }
  void tellReader(unsigned i, ReaderId reader, const config_store::ReaderMessage& message) {
    const auto found = stores_[i].readers.find(reader);
    if (found == stores_[i].readers.end()) return;
    if (const auto* update = std::get_if<rpc::ConfigUpdate>(&message))
      if (contents_.try_emplace(update->index, update->evacuated).first->second != update->evacuated)
        fault("one index has two contents");
    const unsigned machine = stores_[i].machines.at(reader);
    send(found->second, registryOf(machine), [this, machine, i, reader, message] {
      const auto link = registries_[machine].stores.find(i);
      if (link == registries_[machine].stores.end() || link->second.second != reader) return;
      std::visit([&](const auto& m) { take(machine, i, m); }, message);
      onStore(machine);
    });
  }

  // --- Registries ---
  void stepRegistry(unsigned i) {
    RegistryNode& node = registries_[i];
    if (!due(node, 100)) return;
    node.lastTick = now_;
    for (const unsigned machine : std::set<unsigned>(node.known))
      if (!node.stores.contains(machine)) dialStore(i, machine);
    meetRegistries(i);
    onStore(i);
  }
  // A registry greets those that it knows; who is greeted knows it from then on.
  void meetRegistries(unsigned i) {
    for (const unsigned machine : registries_[i].known) {
      const unsigned from = registryOf(i), to = registryOf(machine);
      if (awake(to) && !cut_[from][to] && !cut_[to][from]) registries_[machine].known.insert(i);
    }
  }
  void dialStore(unsigned i, unsigned machine) {
    const LinkPtr link = connect(registryOf(i), machine);
    if (!link) return;
    const ReaderId reader = ++readerIds_;
    RegistryNode& node = registries_[i];
    StoreNode& store = stores_[machine];
    node.stores[machine] = {link, reader};
    store.machines[reader] = i;
    link->ended[0] = [this, i, machine, reader] {
      const auto found = registries_[i].stores.find(machine);
      if (found == registries_[i].stores.end() || found->second.second != reader) return;
      registries_[i].stores.erase(found);
      registries_[i].tracker->lost(ip(machine));
    };
    link->ended[1] = [this, machine, reader] {
      if (stores_[machine].service) stores_[machine].service->readerEnded(reader);
      stores_[machine].readers.erase(reader);
    };
    send(link, machine, [this, machine, reader, link] {
      stores_[machine].readers[reader] = link;
      carry(machine, stores_[machine].service->readerGreeted(reader, now_));
    });
    node.tracker->linked(ip(machine));
  }
  void askStore(unsigned i, unsigned machine, config_store::ReaderRequest request) {
    const auto found = registries_[i].stores.find(machine);
    if (found == registries_[i].stores.end()) return;
    const ReaderId reader = found->second.second;
    send(found->second.first, machine, [this, machine, reader, request] {
      carry(machine, stores_[machine].service->fromReader(reader, request, now_));
    });
  }
  void take(unsigned i, unsigned store, const rpc::ConfigUpdate& update) {
    for (const auto& member : update.stores) registries_[i].known.insert(machineOf(member));
    if (registries_[i].tracker->take(ip(store), update) != registry::LeaderTracker::Taken::changed) return;
    registries_[i].holding.zones = {update.evacuated.begin(), update.evacuated.end()};
    refresh(registries_[i].holding);
  }
  void take(unsigned i, unsigned store, const rpc::LeaderConfirmation& confirmation) {
    registries_[i].tracker->take(ip(store), confirmation, now_);
  }
  void take(unsigned i, unsigned, const rpc::CommandResponse& response) {
    for (Order& order : orders_)
      if (order.number == response.number && order.machine == i) end(order, response.status);
  }
  void take(unsigned, unsigned, const rpc::LeaseResponse&) {}
  // As the program does after each message of a store.
  void onStore(unsigned i) {
    RegistryNode& node = registries_[i];
    for (const auto& [store, request] : node.tracker->questions(now_)) askStore(i, machineOf(store), request);
    for (auto& [link, feed] : node.sessions)
      if (const auto* update = feed.due(*node.tracker, now_)) {
        tellProxy(link, *update);
        tellProxy(link, feed.heartbeat(*node.tracker, now_));
      }
  }
  void greetProxy(unsigned i, const LinkPtr& link) {
    RegistryNode& node = registries_[i];
    node.sessions[link];
    rpc::Cores cores;
    for (const unsigned machine : node.known)
      cores.cores.push_back({ip(machine), "z" + std::to_string(machine), "r"});
    tellProxy(link, cores);
    rpc::Workers workers;
    workers.term = workers.number = 1, workers.whole = true;
    tellProxy(link, workers);
  }
  void tellProxy(const LinkPtr& link, const proxy::FromRegistry& message) {
    const unsigned p = link->nodes[0] - 2 * kCores;
    send(link, link->nodes[0], [this, p, link, message] {
      for (const auto& [id, session] : std::map(proxies_[p].sessions))
        if (session.link == link) carry(p, proxies_[p].core->arrived(id, message, now_));
    });
  }

  // --- Orders ---
  void stepOrder(Order& order) {
    RegistryNode& node = registries_[order.machine];
    if (order.done || !awake(registryOf(order.machine))) {
      if (!node.up) end(order, 503);
      return;
    }
    if (!order.taken && now_ - node.lastTick > kStall) return end(order, 503);  // it came before a stop
    if (!std::exchange(order.taken, true)) order.takenAt = now_;
    const unsigned leader = node.tracker->leader().empty() ? kCores : machineOf(node.tracker->leader());
    if (!order.forwarded && node.tracker->confirmed(now_) && node.stores.contains(leader)) {
      order.forwarded = true, order.forwardedAt = now_;
      rpc::CommandRequest request;
      request.number = order.number;
      request.what = "evacuate", request.body = "zone" + std::to_string(order.number);
      askStore(order.machine, leader, request);
    }
    if (now_ - (order.forwarded ? order.forwardedAt + 2300 : order.takenAt) > 700) end(order, 503);
  }
  void end(Order& order, int status) {
    if (std::exchange(order.done, true)) return;
    noClearAnswer_ += status == 503;
    if (status != 200 && status != 503) fault("an order is refused");
    if (status != 200) return;
    const std::string zone = "zone" + std::to_string(order.number);
    acknowledged_.emplace_back(now_, zone);
    for (auto& node : registries_) refresh(node.holding);
    for (auto& node : proxies_) refresh(node.holding);
  }
  void refresh(Holding& holding) {
    holding.missingSince = kNever;
    for (const auto& [when, zone] : acknowledged_)
      if (!holding.zones.contains(zone)) holding.missingSince = std::min(holding.missingSince, when);
  }

  // --- Proxies ---
  void stepProxy(unsigned p) {
    ProxyNode& node = proxies_[p];
    if (!due(node, 100)) return;
    carry(p, node.core->tick(now_));
    for (auto& [id, session] : node.sessions)
      if (!session.link) dialRegistry(p, id);
  }
  void dialRegistry(unsigned p, proxy::SessionId id) {
    ProxyNode& node = proxies_[p];
    const unsigned machine = node.sessions.at(id).machine, registryNode = registryOf(machine);
    const LinkPtr link = connect(nodeOfProxy(p), registryNode);
    if (!link) return;
    node.sessions.at(id).link = link;
    link->ended[0] = [this, p, id, link] {
      const auto found = proxies_[p].sessions.find(id);
      if (found == proxies_[p].sessions.end() || found->second.link != link) return;
      found->second.link = nullptr;
      proxies_[p].core->unlinked(id);
    };
    link->ended[1] = [this, machine, link] { registries_[machine].sessions.erase(link); };
    send(link, registryNode, [this, machine, link] { greetProxy(machine, link); });
    carry(p, node.core->linked(id, now_));
  }
  void carry(unsigned p, const proxy::SessionEffects& effects) {
    ProxyNode& node = proxies_[p];
    for (const auto& effect : effects) {
      if (const auto* opened = std::get_if<proxy::OpenSession>(&effect)) {
        node.sessions[opened->id] = {machineOf(opened->ip), nullptr};
      } else if (const auto* closed = std::get_if<proxy::CloseSession>(&effect)) {
        if (const LinkPtr link = node.sessions[closed->id].link) close(link);
        node.sessions.erase(closed->id);
      } else if (const auto* again = std::get_if<proxy::RestartLink>(&effect)) {
        if (const LinkPtr link = node.sessions[again->id].link) close(link);
      } else if (const auto* status = std::get_if<proxy::SendStatus>(&effect)) {
        sendStatus(node, status->id, status->number);
      } else if (const auto* update = std::get_if<rpc::ConfigUpdate>(&effect)) {
        inForce(node, *update);
        carry(p, node.core->statusNow(now_));
      }
    }
  }
  void sendStatus(ProxyNode& node, proxy::SessionId id, std::uint64_t number) {
    const auto [machine, link] = node.sessions.at(id);
    const std::uint64_t index = node.index;
    send(link, registryOf(machine), [this, machine = machine, link = link, number, index] {
      const auto feed = registries_[machine].sessions.find(link);
      if (feed == registries_[machine].sessions.end()) return;
      rpc::Status status;
      status.number = number, status.index = index;
      feed->second.heard(status);
      tellProxy(link, feed->second.heartbeat(*registries_[machine].tracker, now_));
      if (const auto* update = feed->second.due(*registries_[machine].tracker, now_))
        tellProxy(link, *update);
    });
  }
  void inForce(ProxyNode& node, const rpc::ConfigUpdate& update) {
    const std::set<std::string> zones(update.evacuated.begin(), update.evacuated.end());
    if (update.index < node.index ||
        !std::includes(zones.begin(), zones.end(), node.holding.zones.begin(), node.holding.zones.end()))
      fault("a proxy's configuration goes back");
    const bool first = node.index == 0;
    node.index = update.index, node.holding.zones = zones;
    refresh(node.holding);
    if (first && node.holding.missingSince < now_ - kProxyBound)
      fault("a proxy that has just started takes an old configuration");
  }

  void check() {
    for (unsigned i = 0; i < kCores; ++i)
      if (awake(registryOf(i)) && confirmed(i) &&
          registries_[i].holding.missingSince < now_ - kConfirmationTimeout)
        fault("registry " + std::to_string(i) + " is confirmed and holds an old state");
    for (unsigned p = 0; p < kProxies; ++p)
      if (awake(nodeOfProxy(p)) && proxies_[p].core->inTouch(now_) &&
          proxies_[p].holding.missingSince < now_ - kProxyBound)
        fault("proxy " + std::to_string(p) + " is in touch and has an old state");
  }

  std::mt19937 random_;
  double now_ = 0;
  StoreNode stores_[kCores];
  RegistryNode registries_[kCores];
  ProxyNode proxies_[kProxies];
  bool cut_[kNodes][kNodes] = {};
  std::vector<LinkPtr> links_;
  std::deque<Datagram> datagrams_;
  ReaderId readerIds_ = 0;
  std::uint64_t orderNumber_ = 0;
  std::deque<Order> orders_;
  std::vector<std::pair<double, std::string>> acknowledged_;  // when, zone
  std::size_t noClearAnswer_ = 0;
  std::map<std::uint64_t, std::vector<std::string>> contents_;  // evacuated zones, by index
};

}  // namespace burlwind::serving
