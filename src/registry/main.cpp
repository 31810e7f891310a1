// registry: the registry program. Wires sessions of proxies, the other registries, the config stores, the
// platform's list, the quotas and the calls from outside; what they mean is decided in the modules beside.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>

#include "config/configuration.hpp"
#include "control_api/server.hpp"
#include "program/log.hpp"
#include "program/settings_file.hpp"
#include "program/spawn.hpp"
#include "program/start.hpp"
#include "registry/control_membership.hpp"
#include "registry/dialer_set.hpp"
#include "registry/directory.hpp"
#include "registry/duty_lease.hpp"
#include "registry/leader_tracker.hpp"
#include "registry/list_reader.hpp"
#include "registry/order_forwarder.hpp"
#include "registry/outside_calls.hpp"
#include "registry/proxy_ceiling.hpp"
#include "registry/proxy_sessions.hpp"
#include "registry/quota_service.hpp"
#include "registry/registry.hpp"
#include "registry/registry_peers.hpp"
#include "registry/stall_detector.hpp"
#include "rpc/link.hpp"
#include "rpc/traffic_log.hpp"

namespace burlwind::registry {
namespace {

using program::now;
using rpc::Arrived;
using rpc::Error;

constexpr auto kTick = std::chrono::milliseconds(100);
constexpr auto kEndPause = std::chrono::milliseconds(400);      // SIGTERM: for what is under way
constexpr auto kSessionsPause = std::chrono::milliseconds(20);  // between two whole lists of sessions
constexpr double kHeartbeat = 250;                              // ms, to other registries
constexpr double kProcessStallThreshold = 1000;  // ms between two ticks: this process stood still
constexpr double kReport = 10000;                // ms between two lines of figures

std::uint64_t drawIncarnation() {
  std::random_device device;
  return (std::uint64_t{device()} << 32 | device()) | 1;
}

class RegistryServer {
 public:
  RegistryServer(asio::io_context& io, program::SettingsFile file, config::Settings settings)
      : io_(io),
        file_(std::move(file)),
        settings_(std::move(settings)),
        incarnation_(drawIncarnation()),
        membership_({settings_.ip, settings_.zone, settings_.region}),
        ceiling_(now()),
        registry_(settings_.ip, settings_.regionOf),
        lookups_(registry_, incarnation_),
        lease_(settings_.ip, incarnation_),
        stores_(io, settings_.portFrom, storeHooks()),
        peerLinks_(io, registryPort(), peerHooks()),
        orders_(io, stores_, tracker_),
        quotas_(settings_.ip, incarnation_, registry_, lease_, quotaHooks()),
        sessions_(registry_, tracker_, sessionHooks()),
        peers_(membership_, registry_, quotas_, lease_,
               [this](const rpc::Workers& workers) { sessions_.broadcast(rpc::frame(workers)); }),
        list_(io, settings_, registry_, lease_,
              [this](const rpc::Workers& change, bool byHolder) { listChanged(change, byHolder); }),
        calls_(settings_, lookups_, orders_,
               [this] { return lookups_.figures().text() + quotas_.metrics(now()); }),
        acceptor_(io),
        control_(
            io, [this](control_api::Call call) { return controlCall(std::move(call)); },
            [this] { detectStall(); }),
        directory_(
            io, [this](control_api::Call call) { return calls_.directory(std::move(call)); }, nullptr,
            control_api::kSmallCalls),
        timer_(io),
        endTimer_(io),
        signals_(io, SIGTERM, SIGINT, SIGHUP) {}

  int run() {
    if (const Error error = listen()) {
      program::error("cannot listen", {{"why", error.message()}});
      return 1;
    }
    program::info("starts", {{"ip", settings_.ip}, {"zone", settings_.zone}});
    lookups_.begin(now());
    adoptSeeds();
    keepLinks(now());
    list_.start();
    tick();
    wait();
    io_.run();
    return 0;
  }

 private:
  std::uint16_t registryPort() const { return static_cast<std::uint16_t>(settings_.portFrom + 1); }

  Error listen() {
    Error error = acceptor_.listen(
        settings_.ip, registryPort(),
        [this](const LinkPtr& link, const Arrived& arrived) { arrivedOn(link, arrived); },
        [this](const LinkPtr& link) { ended(link); });
    if (!error) error = control_.listen(settings_.control->ip, settings_.control->port);
    if (!error) error = directory_.listen(settings_.directory->ip, settings_.directory->port);
    return error;
  }

  rpc::Handshake handshake() const {
    return {"registry", settings_.name, settings_.ip, settings_.zone, settings_.region, incarnation_, {}, 0};
  }

  // --- Which control machines there are ---
  void adoptSeeds() {
    std::vector<std::string> ips;
    for (const auto& seed : settings_.seeds) ips.push_back(seed.ip);
    membership_.setSeeds(ips);
  }

  // A control machine has a store and a registry.
  void keepLinks(double at) {
    std::set<std::string> ips = membership_.wanted(tracker_.confirmed(at), at);
    if (ips == linksKept_) return;
    linksKept_ = ips;
    stores_.keepOnly(ips);
    ips.erase(settings_.ip);
    peerLinks_.keepOnly(ips);
  }

  rpc::Cores cores() const {
    return {membership_.listed(), tracker_.update().proxies, membership_.version()};
  }

  // --- How many proxies there may be ---
  void proposeCeiling(double at) {
    ceiling_.observe(registry_.liveByZone(), membership_.complete() && tracker_.confirmed(at), at);
    if (!tracker_.confirmed(at) || ceilingUnderWay_) return;
    const ProxiesByZone& agreed = tracker_.update().proxies;
    if (auto wanted = ceiling_.raise(agreed, at)) {
      program::info("raises the proxy ceiling", {{"from", sumOf(agreed)}, {"to", sumOf(*wanted)}});
      orderCeiling(rpc::kRaiseCeiling, rpc::packed(rpc::RaiseCeiling{std::move(*wanted)}));
    } else if (auto fewer = lease_.holds(at) ? ceiling_.lower(agreed, at) : std::nullopt) {
      program::info("lowers the proxy ceiling", {{"from", sumOf(agreed)}, {"to", sumOf(*fewer)}});
      orderCeiling(rpc::kLowerCeiling, rpc::packed(rpc::LowerCeiling{agreed, std::move(*fewer)}));
    }
  }

  void orderCeiling(const char* what, std::string body) {
    ceilingUnderWay_ = true;
    program::spawn(io_, sendCeiling(what, std::move(body)), "change the proxy ceiling",
                   [this] { ceilingUnderWay_ = false; });
  }

  asio::awaitable<void> sendCeiling(std::string what, std::string body) {
    co_await orders_.order(std::move(what), std::move(body));
    ceilingUnderWay_ = false;
  }

  // --- The config stores ---
  DialerSet::Hooks storeHooks() {
    return {[this](const std::string& ip, const LinkPtr& link) {
              link->tell(handshake());
              tracker_.linked(ip);
              askLeader();
            },
            [this](const std::string& ip, const Arrived& arrived) { onStore(ip, arrived); },
            [this](const std::string& ip) {
              tracker_.lost(ip);
              orders_.lost(ip);
            }};
  }

  void onStore(const std::string& ip, const Arrived& arrived) {
    detectStall();
    const bool confirmedBefore = tracker_.confirmed(now());
    if (rpc::ConfigUpdate update; arrived.kind == rpc::kConfigUpdate && arrived.read(update)) {
      takeUpdate(ip, std::move(update));
    } else if (rpc::LeaderConfirmation confirmation;
               arrived.kind == rpc::kLeaderConfirmation && arrived.read(confirmation)) {
      takeConfirmation(ip, confirmation);
    } else if (rpc::CommandResponse response;
               arrived.kind == rpc::kCommandResponse && arrived.read(response)) {
      orders_.answered(response);
    } else if (rpc::LeaseResponse lease; arrived.kind == rpc::kLeaseResponse && arrived.read(lease)) {
      leaseAnswered(lease);
    }
    askLeader();
    sessions_.publish(now());
    if (!confirmedBefore && tracker_.confirmed(now())) sessions_.sendHeartbeats(now());
  }

  // Whether what is held here is still the newest.
  void askLeader() {
    for (const auto& [store, request] : tracker_.questions(now()))
      if (const LinkPtr link = stores_.link(store)) link->tell(request);
  }

  void takeUpdate(const std::string& store, rpc::ConfigUpdate update) {
    const auto taken = tracker_.take(store, std::move(update));
    if (taken == LeaderTracker::Taken::dropped) return;
    const rpc::ConfigUpdate& held = tracker_.update();
    membership_.agree(held.index, held.stores);
    quotas_.setCeiling(sumOf(held.proxies));
    if (held.proxies != toldCeiling_) tellCores();
    if (taken == LeaderTracker::Taken::unchanged) return;
    const auto configuration = config::readConfiguration(tracker_.update().configuration).configuration;
    quotas_.setConfiguration(configuration);
    lookups_.setConfiguration(configuration);
    program::info("news", {{"index", tracker_.update().index},
                           {"version", configuration ? configuration->version : 0}});
  }

  void takeConfirmation(const std::string& store, const rpc::LeaderConfirmation& confirmation) {
    if (!tracker_.take(store, confirmation, now())) return;
    lease_.heard(confirmation, now());
    askLease();
    membership_.agree(confirmation.index, confirmation.stores);
  }

  // --- The duties ---
  void askLease() {
    const LinkPtr link = stores_.link(tracker_.leader());
    if (!link) return;
    if (const auto request = lease_.ask(list_.platformMs(), now())) link->tell(*request);
  }

  void leaseAnswered(const rpc::LeaseResponse& response) {
    const auto answer = lease_.answered(response, now());
    if (answer == DutyLease::Answer::regained) quotas_.regainDuty(now());
    if (answer == DutyLease::Answer::taken) quotas_.takeDuty(now());
  }

  void listChanged(const rpc::Workers& change, bool byHolder) {
    const std::string frame = rpc::frame(change);
    if (byHolder) peerLinks_.broadcast(frame);
    sessions_.broadcast(frame);
  }

  QuotaService::Hooks quotaHooks() {
    return {[this] { return peerLinks_.link(lease_.holderIp()) != nullptr; },
            [this](const rpc::TokenRequest& request) { peerLinks_.link(lease_.holderIp())->tell(request); },
            [this](const rpc::TokenResponse& response) { sessions_.tell(response); },
            [this](const rpc::Levels& levels) { peerLinks_.broadcast(rpc::frame(levels)); },
            [this](const rpc::UsageQuery& query) { sessions_.broadcast(rpc::frame(query)); },
            [this](const rpc::UsageQuery& query) { peerLinks_.broadcast(rpc::frame(query)); },
            [this](const std::string& ip, const rpc::UsageReport& report) {
              if (const LinkPtr link = peerLinks_.link(ip)) link->tell(report);
            }};
  }

  // --- The other registries, on the links that this one has dialled ---
  DialerSet::Hooks peerHooks() {
    return {[this](const std::string&, const LinkPtr& link) { introduce(link); },
            [this](const std::string&, const Arrived& arrived) {
              rpc::TokenResponse response;
              if (arrived.kind == rpc::kTokenResponse && arrived.read(response))
                quotas_.granted(response, now());
            },
            nullptr};
  }

  void introduce(const LinkPtr& link) {
    link->tell(handshake());
    link->tell(rpc::Sessions{true, registry_.ownSessions(now())});
    if (!lease_.holds(now())) return;
    link->tell(registry_.whole(now()));
    link->tell(rpc::Levels{lease_.epoch(), quotas_.levels()});
    if (const auto query = quotas_.openQuery(now())) link->tell(*query);
  }

  // The other registries are told once of what changes within a moment.
  void sessionsChanged() {
    if (std::exchange(sessionsChanged_, true)) return;
    tellTimer_.expires_after(kSessionsPause);
    tellTimer_.async_wait([this](const Error& error) {
      sessionsChanged_ = false;
      if (!error) tellSessions(true);
    });
  }

  void tellSessions(bool whole) {
    rpc::Sessions sessions{whole, {}};
    if (whole) sessions.sessions = registry_.ownSessions(now());
    peerLinks_.broadcast(rpc::frame(sessions));
  }

  ViewState viewState(double at) const {
    const unsigned expected = sumOf(tracker_.update().proxies);
    return {.confirmed = tracker_.confirmed(at),
            .linked = membership_.complete(),
            .allPresent = expected > 0 && registry_.proxies(at).size() >= expected};
  }

  // --- Links that others dial: proxies and registries ---
  ProxySessions::Hooks sessionHooks() {
    return {[this](const LinkPtr& link) { welcome(link); }, [this] { sessionsChanged(); },
            [this](const rpc::TokenRequest& request) { quotas_.demand(request, now()); },
            [this](const rpc::UsageReport& report) { quotas_.usage(report, now()); }};
  }

  void welcome(const LinkPtr& link) {
    link->tell(cores());
    if (registry_.number() > 0) link->tell(registry_.whole(now()));
    if (const auto query = quotas_.lastQuery()) link->tell(*query);
  }

  void arrivedOn(const LinkPtr& link, const Arrived& arrived) {
    detectStall();
    if (!link->open()) return;
    if (arrived.kind == rpc::kHandshake) {
      if (rpc::Handshake handshake; arrived.read(handshake)) greet(link, handshake);
    } else if (!sessions_.arrived(link, arrived, now()) && !peers_.arrived(link, arrived, now())) {
      link->close();
    }
  }

  void greet(const LinkPtr& link, const rpc::Handshake& handshake) {
    if (handshake.role != "registry") return sessions_.greet(link, handshake, now());
    peers_.greet(link, handshake, now());
    keepLinks(now());
  }

  void ended(const LinkPtr& link) {
    sessions_.ended(link, now());
    peers_.ended(link, now());
  }

  // --- Time ---
  // Calls that came before this process woke from a stop are dropped, also those under way.
  void detectStall() {
    if (!stall_.observe(now())) return;
    program::warn("stood still", {});
    lookups_.begin(now());
    control_.dropAll();
    orders_.dropAll("stood still");
  }

  // What waited to be accepted over the stop comes on connections that dropAll doesn't know.
  asio::awaitable<control_api::Reply> controlCall(control_api::Call call) {
    if (stall_.waking(now())) co_return control_api::Reply(503, control_api::message("stood still"));
    control_api::Reply reply = co_await calls_.control(std::move(call));
    co_return reply;
  }

  void lookAtSettings(bool asked) {
    const auto fresh = file_.look(now(), asked);
    if (!fresh) return;
    settings_ = *fresh;
    registry_.setPlaces(settings_.regionOf);
    adoptSeeds();
  }

  void tick() {
    detectStall();
    const double at = now();
    lookAtSettings(false);
    report(at);
    askLeader();
    askLease();
    quotas_.askHolder(at);
    if (const auto levels = quotas_.changedLevels(at)) peerLinks_.broadcast(rpc::frame(*levels));
    registry_.sweep(at, tracker_.confirmed(at));
    lookups_.observe(viewState(at), at);
    sessions_.closeSilent(at);
    peers_.closeSilent(at);
    keepLinks(at);
    proposeCeiling(at);
    if (at >= heartbeatAt_) tellOthers(at);
    timer_.expires_after(kTick);
    timer_.async_wait([this](const Error& error) {
      if (!error) tick();
    });
  }

  void tellOthers(double at) {
    heartbeatAt_ = at + kHeartbeat;
    tellSessions(false);
    if (membership_.listed() != toldMachines_) tellCores();
  }

  // To the proxies.
  void tellCores() {
    const rpc::Cores told = cores();
    toldMachines_ = told.cores, toldCeiling_ = told.proxies;
    sessions_.broadcast(rpc::frame(told));
  }

  // What went to each machine of the core over the links that this one has dialled, since the start.
  void report(double at) {
    if (at < reportAt_) return;
    reportAt_ = at + kReport;
    stores_.report("store");
    peerLinks_.report("registry");
    rpc::logTraffic();
    lookups_.figures().report();
    quotas_.report(at);
  }

  void wait() {
    signals_.async_wait([this](const Error& error, int number) {
      if (error) return;
      if (number == SIGHUP) return lookAtSettings(true), wait();
      program::info("ends", {{"signal", number}});
      rpc::logTraffic();
      lookups_.figures().report();
      quotas_.report(now());
      control_.close(), directory_.close();
      endTimer_.expires_after(kEndPause);
      endTimer_.async_wait([this](const Error&) {
        stores_.close(), peerLinks_.close();
        io_.stop();
      });
    });
  }

  asio::io_context& io_;
  program::SettingsFile file_;
  config::Settings settings_;
  const std::uint64_t incarnation_;
  ControlMembership membership_;
  ProxyCeiling ceiling_;
  Registry registry_;
  Directory lookups_;
  LeaderTracker tracker_;
  DutyLease lease_;
  DialerSet stores_, peerLinks_;
  OrderForwarder orders_;
  QuotaService quotas_;
  ProxySessions sessions_;
  RegistryPeers peers_;
  ListReader list_;
  OutsideCalls calls_;
  rpc::Acceptor acceptor_;
  control_api::Server control_, directory_;
  asio::steady_timer timer_, endTimer_, tellTimer_{io_};
  asio::signal_set signals_;
  std::set<std::string> linksKept_;
  std::vector<rpc::Core> toldMachines_;  // to the proxies
  ProxiesByZone toldCeiling_;            // the same
  bool ceilingUnderWay_ = false, sessionsChanged_ = false;
  StallDetector stall_{now()};
  double heartbeatAt_ = 0, reportAt_ = 0;
};

}  // namespace
}  // namespace burlwind::registry

int main(int argc, const char** argv) {
  using namespace burlwind;
  constexpr program::Needs needs{.control = true};
  auto started =
      program::start(argc, argv, "registry",
                     "- knows workers and proxies; takes the calls of operators and look-ups", needs);
  if (!started.settings) return started.status;
  boost::asio::io_context io{1};
  program::SettingsFile file(started.settingsPath, *started.settings, needs);
  return registry::RegistryServer(io, std::move(file), std::move(*started.settings)).run();
}
