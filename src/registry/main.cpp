// registry: the registry. Wires sessions of proxies, the other registries, the stores, the platform's
// list, the quota duty and the calls from outside; what they mean is decided in registry, rounds,
// distributed_quota and, for orders, by the store that leads.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

#include "config/configuration.hpp"
#include "control_api/server.hpp"
#include "distributed_quota/aggregator.hpp"
#include "distributed_quota/allocator.hpp"
#include "lease/lease.hpp"
#include "program/log.hpp"
#include "program/settings_file.hpp"
#include "program/start.hpp"
#include "registry/platform_list.hpp"
#include "registry/registry.hpp"
#include "rpc/link.hpp"
#include "rpc/traffic.hpp"

namespace burlwind::registry {
namespace {

namespace asio = boost::asio;
using control_api::Call;
using control_api::Reply;
using program::now;
using rpc::Arrived;
using rpc::Error;
using rpc::Link;
using LinkPtr = std::shared_ptr<Link>;

constexpr double kTick = 100;
constexpr double kHeartbeat = 400;               // to proxies and other registries
constexpr double kSessionTimeout = 1500;         // a proxy that says nothing for so long is gone
constexpr double kConfirmationTimeout = 1000;    // the leader's word counts so long
constexpr double kProcessStallThreshold = 1000;  // between two ticks: this process stood still
constexpr double kReadList = 400;                // between two readings of the platform's list
constexpr double kReadSoon = 150;                // and where it has changed within kRestless
constexpr double kRestless = 2000;
constexpr double kPagesMany = 3;       // from so many pages on a list is read less often
constexpr double kPlatformPart = 0.6;  // of the calls that the platform takes
// Who is far from the platform leaves the duties to others first, for as many times the way there and back.
constexpr double kFarTimes = 5, kFarMost = 120;
constexpr double kFirstList = 100;  // until the first, and between tries of it
constexpr double kListWithin = 1500;
constexpr double kLeaseAsk = 200;
constexpr double kLeaderWithin = 700;  // an order waits so long for a leader
constexpr double kOrderWithin = 3000;
constexpr double kReport = 10000;
// The holder tells the levels of its stores so often, and who comes next believes so much of them: what the
// one before may have given out since is less than the rule leaves above the quota.
constexpr double kTellLevels = 500, kBelieved = 0.5;
// Where all proxies have started anew of late, what comes in over so long is there at the least: while they
// were down nobody was let in, and half a second of the rate is within what the rule leaves above the quota.
constexpr double kYoung = 5000, kRestarted = 500;
constexpr std::size_t kLeastAddresses = 2, kMostAddresses = 64;

class RegistryServer {
 public:
  RegistryServer(asio::io_context& io, program::SettingsFile file, config::Settings settings)
      : io_(io),
        file_(std::move(file)),
        settings_(std::move(settings)),
        registry_(settings_.ip, settings_.regionOf),
        acceptor_(io),
        control_(io, [this](Call c) { return controlCall(std::move(c)); }),
        directory_(io, [this](Call c) { return directoryCall(std::move(c)); }),
        timer_(io),
        wake_(io),
        signals_(io, SIGTERM, SIGINT, SIGHUP) {
    std::random_device device;
    incarnation_ = (std::uint64_t{device()} << 32 | device()) | 1;
    random_.seed(incarnation_);
  }

  int run() {
    Error error = acceptor_.listen(
        settings_.ip, port(), [this](const LinkPtr& l, const Arrived& a) { arrivedOn(l, a); },
        [this](const LinkPtr& l) { ended(l); });
    if (!error) error = control_.listen(settings_.control->ip, settings_.control->port);
    if (!error) error = directory_.listen(settings_.directory->ip, settings_.directory->port);
    if (error) {
      program::error("cannot listen", {{"why", error.message()}});
      return 1;
    }
    program::info("starts", {{"ip", settings_.ip}, {"zone", settings_.zone}});
    for (const auto& seed : settings_.seeds) meet(seed.ip);
    meet(settings_.ip);
    asio::co_spawn(io_, readList(), asio::detached);
    lastTick_ = now();
    tick();
    wait();
    io_.run();
    return 0;
  }

 private:
  std::uint16_t port() const { return static_cast<std::uint16_t>(settings_.portFrom + 1); }

  rpc::Handshake hello() const {
    return {"registry", settings_.name, settings_.ip, settings_.zone, settings_.region, incarnation_, {}, 0};
  }

  // --- Stores and other registries: a machine of the core has one of each ---
  struct StoreSide {
    std::shared_ptr<rpc::Dialer> dialer;
  };
  void meet(const std::string& ip) {
    if (!stores_.contains(ip)) {
      auto dialer = std::make_shared<rpc::Dialer>(io_, ip, settings_.portFrom);
      stores_[ip] = dialer;
      dialer->start([this](LinkPtr link) { link->tell(hello()); },
                    [this, ip](const Arrived& arrived) { onStore(ip, arrived); },
                    [this, ip] { lostStore(ip); });
    }
    if (ip != settings_.ip && !others_.contains(ip)) {
      auto dialer = std::make_shared<rpc::Dialer>(io_, ip, port());
      others_[ip] = dialer;
      dialer->start(
          [this](LinkPtr link) {
            link->tell(hello());
            link->tell(rpc::Sessions{true, registry_.own(now())});
            if (!duty_.holds(now())) return;
            link->tell(registry_.whole(now()));
            link->tell(rpc::Levels{epoch_, allocator_.all()});
          },
          [this](const Arrived& arrived) { onAnswer(arrived); }, nullptr);
    }
  }

  void lostStore(const std::string& ip) {
    if (leader_ == ip) leader_.clear();
    for (auto& [number, waiting] : waiting_)
      if (waiting->at == ip) finish(*waiting, 503, "the store is gone");
  }

  void onStore(const std::string& ip, const Arrived& arrived) {
    detectStall();
    if (rpc::ConfigUpdate m; arrived.kind == rpc::kConfigUpdate && arrived.read(m)) {
      leader_ = ip, leaderTerm_ = m.term;
      takeConfigUpdate(std::move(m));
    } else if (rpc::LeaderConfirmation v; arrived.kind == rpc::kLeaderConfirmation && arrived.read(v)) {
      if (v.term < leaderTerm_) return;
      leader_ = ip, leaderTerm_ = v.term;
      if (v.index <= update_.index) heardLeader();
      if (v.holder.empty() && (!holder_.empty() || freeSince_ == 0)) freeSince_ = now();
      holder_ = v.holder, ownerEpoch_ = v.epoch;
      askLease(now());
      for (const std::string& store : v.stores) meet(store);
      wake_.cancel();
    } else if (rpc::CommandResponse o; arrived.kind == rpc::kCommandResponse && arrived.read(o)) {
      if (const auto found = waiting_.find(o.number); found != waiting_.end())
        finish(*found->second, o.status, o.text);
    } else if (rpc::LeaseResponse l; arrived.kind == rpc::kLeaseResponse && arrived.read(l)) {
      leaseSaid(l);
    }
  }

  void takeConfigUpdate(rpc::ConfigUpdate news) {
    if (news.index < update_.index) return;
    heardLeader();
    for (const std::string& store : news.stores) meet(store);
    const bool same = news.configuration == update_.configuration && news.evacuated == update_.evacuated;
    if (news.configuration != update_.configuration)
      configuration_ = config::readConfiguration(news.configuration).configuration;
    update_ = std::move(news);
    wake_.cancel();
    if (same) return;
    program::info("news",
                  {{"index", update_.index}, {"version", configuration_ ? configuration_->version : 0}});
    const std::string frame = rpc::frame(update_);
    for (auto& [link, session] : sessions_) link->send(frame);
  }

  void heardLeader() {
    const bool before = leaderConfirmed();
    confirmedAt_ = now();
    if (before) return;
    const std::string beat = rpc::frame(rpc::Heartbeat{true});
    for (auto& [link, session] : sessions_) link->send(beat);
  }

  // --- The duties: one registry reads the platform's list and keeps the quotas ---
  void askLease(double at) {
    if (at < leaseAt_ || leader_.empty()) return;
    leaseAt_ = at + kLeaseAsk;
    if (!holder_.empty() && holder_ != settings_.ip) return;
    const auto link = stores_[leader_]->link();
    if (!link) return;
    // Who is near the platform takes the duties: the list is read many times a second.
    const double leave = std::min(kFarMost, kFarTimes * platformMs_);
    const bool wants = holder_ == settings_.ip || (freeSince_ > 0 && at - freeSince_ >= leave);
    duty_.asked(++numbers_, at);
    link->tell(rpc::LeaseRequest{numbers_, settings_.ip, incarnation_, ownerEpoch_, wants});
  }

  void leaseSaid(const rpc::LeaseResponse& m) {
    const bool lapsed = !duty_.holds(now()), again = epoch_ == m.epoch && epoch_ > 0;
    if (!duty_.answered(m.number, m.span)) return;
    epoch_ = m.epoch;
    if (again) {  // nobody else has had them meanwhile
      if (lapsed) allocator_.skip(now());
      return;
    }
    // What came in while nobody can have let anything in, and what the holder before told of its stores.
    double quiet = registry_.allQuiet();
    if (registry_.allYounger(kYoung, now())) quiet = std::max(quiet, kRestarted);
    allocator_.clear(now(), quiet);
    if (standby_.epoch + 1 == epoch_)
      for (const auto& [tenant, level] : standby_.levels) allocator_.begin(tenant, kBelieved * level, now());
    program::info("takes the duties",
                  {{"epoch", epoch_}, {"quiet", quiet}, {"levels", standby_.levels.size()}});
    wake_.cancel();
  }

  asio::awaitable<void> readList() {
    PlatformList list(io_);
    asio::steady_timer pause(io_);
    std::string told;
    while (true) {
      Error ignored;
      // Who starts with no list at all reads it once for itself: leases may be a while in coming.
      const bool first = registry_.number() == 0;
      const double spare = kPlatformPart * settings_.platformRate;  // calls a second for this reader
      const double least = spare > 0 ? 1000 * static_cast<double>(list.pages()) / spare : 0;
      // A long list takes many calls: it is read less often.
      const double longer = std::clamp(static_cast<double>(list.pages()) / kPagesMany, 1.0, 2.5);
      const double wait = longer * (now() - changedAt_ < kRestless ? kReadSoon : kReadList);
      pause.expires_after(
          std::chrono::milliseconds(static_cast<int>(first ? kFirstList : std::max(wait, least))));
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      if (!settings_.platform || (!duty_.holds(now()) && registry_.number() > 0)) continue;
      std::string why;
      const auto all = co_await list.read(*settings_.platform, kListWithin, why);
      if (!all) {
        if (why != told) program::warn("the platform's list", {{"why", why}});
        told = why;
        continue;
      }
      told.clear();
      platformMs_ = list.connectMs();
      const bool holds = duty_.holds(now());
      if (!holds && registry_.number() > 0) continue;
      if (const auto change = registry_.listed(holds ? epoch_ : 0, *all, now())) {
        program::info("workers", {{"number", change->number},
                                  {"put", change->put.size()},
                                  {"gone", change->gone.size()},
                                  {"all", all->size()}});
        changedAt_ = now();
        const std::string frame = rpc::frame(*change);
        for (auto& [ip, dialer] : others_)
          if (holds && dialer->link()) dialer->link()->send(frame);
        for (auto& [link, session] : sessions_) link->send(frame);
      }
    }
  }

  // --- Links that others dial: proxies and registries ---
  struct Session {
    rpc::ProxySession seat;
    double heard = 0;
    std::uint64_t index = 0, workers = 0;  // acknowledged
  };

  void ended(const LinkPtr& link) {
    if (const auto found = sessions_.find(link); found != sessions_.end()) {
      program::info("session ends", {{"proxy", found->second.seat.name}});
      registry_.unseat(found->second.seat.name, found->second.seat.incarnation, now());
      sessions_.erase(found);
      tellSessions(true);
    }
    registries_.erase(link);
  }

  void arrivedOn(const LinkPtr& link, const Arrived& arrived) {
    detectStall();
    if (!link->open()) return;
    if (arrived.kind == rpc::kHandshake) {
      if (rpc::Handshake m; arrived.read(m)) greet(link, m);
    } else if (const auto session = sessions_.find(link); session != sessions_.end()) {
      onProxy(session->second, arrived);
    } else if (const auto other = registries_.find(link); other != registries_.end()) {
      onRegistry(link, other->second, arrived);
    } else {
      link->close();
    }
  }

  void greet(const LinkPtr& link, const rpc::Handshake& m) {
    if (m.role == "registry") {
      registries_[link] = m.ip;
      cores_[m.ip] = {m.ip, m.zone, m.region};
      meet(m.ip);
      return;
    }
    // The newest session of a proxy is the one that counts.
    for (auto& [other, session] : sessions_)
      if (session.seat.name == m.name && other != link) other->close();
    Session& session = sessions_[link];
    session.seat = {m.name, m.front, m.zone, m.region, false, m.incarnation, m.linkMbps, 0, 0, 0, 0};
    session.heard = now();
    program::info("session", {{"proxy", m.name}});
    link->tell(coresNow());
    if (update_.index > 0) link->tell(update_);
    if (registry_.number() > 0) link->tell(registry_.whole(now()));
    link->tell(rpc::Heartbeat{leaderConfirmed()});
  }

  rpc::Cores coresNow() {
    rpc::Cores out;
    cores_[settings_.ip] = {settings_.ip, settings_.zone, settings_.region};
    for (const auto& [ip, core] : cores_) out.cores.push_back(core);
    out.proxies = registry_.counts(now()).byZone;
    return out;
  }

  bool leaderConfirmed() const { return now() - confirmedAt_ < kConfirmationTimeout; }

  void onProxy(Session& session, const Arrived& arrived) {
    session.heard = now();
    if (rpc::Status m; arrived.kind == rpc::kStatus && arrived.read(m)) {
      const bool changed = session.seat.ready != m.ready;
      session.index = m.index, session.workers = m.workers;
      session.seat.ready = m.ready, session.seat.age = m.age, session.seat.quiet = m.quiet;
      session.seat.place(now());
      registry_.seat(session.seat, now());
      if (changed) tellSessions(true);
    } else if (rpc::TokenRequest t; arrived.kind == rpc::kTokenRequest && arrived.read(t)) {
      t.proxy = session.seat.name, t.incarnation = session.seat.incarnation;
      std::vector<distributed_quota::QuotaAggregator::Answer> answers;
      for (const rpc::TokenDemand& demand : t.demands)
        aggregator_.demand({t.proxy, t.incarnation, t.number}, demand, now(), answers);
      tellGrants(answers);
      askHolder();
    }
  }

  void onRegistry(const LinkPtr& link, const std::string& ip, const Arrived& arrived) {
    if (rpc::Sessions s; arrived.kind == rpc::kSessions && arrived.read(s)) {
      registry_.heard(ip, s, now());
    } else if (rpc::Workers w; arrived.kind == rpc::kWorkers && arrived.read(w)) {
      const auto taken = registry_.take(w, now());
      if (taken == Registry::Taken::gap) return link->close();  // dialled anew, it begins with a whole one
      if (taken != Registry::Taken::news) return;
      const std::string frame = rpc::frame(w);
      for (auto& [proxy, session] : sessions_) proxy->send(frame);
    } else if (rpc::Levels l; arrived.kind == rpc::kLevels && arrived.read(l)) {
      if (l.epoch < standby_.epoch) return;
      if (l.epoch > standby_.epoch) standby_.levels.clear();
      standby_.epoch = l.epoch;
      for (const auto& level : l.levels) standby_.levels[level.tenant] = level.level;
    } else if (rpc::TokenRequest t; arrived.kind == rpc::kTokenRequest && arrived.read(t)) {
      if (duty_.holds(now())) link->tell(grant(t));
    }
  }

  void tellLevels(double at) {
    if (!duty_.holds(at) || at < levelsAt_) return;
    levelsAt_ = at + kTellLevels;
    const rpc::Levels told{epoch_, allocator_.changed()};
    if (told.levels.empty()) return;
    const std::string frame = rpc::frame(told);
    for (auto& [ip, dialer] : others_)
      if (dialer->link()) dialer->link()->send(frame);
  }

  // What the holder of the quotas answers on the link that asked it.
  void onAnswer(const Arrived& arrived) {
    rpc::TokenResponse m;
    if (arrived.kind != rpc::kTokenResponse || !arrived.read(m) || m.incarnation != incarnation_) return;
    takeGrants(m.grants);
  }

  void askHolder() {
    const auto holder = others_.find(holder_);
    const bool mine = duty_.holds(now());
    if (!mine && (holder == others_.end() || !holder->second->link())) return;
    auto demands = aggregator_.demands(now());
    if (demands.empty()) return;
    const rpc::TokenRequest ask{++numbers_, settings_.ip, incarnation_, std::move(demands)};
    // The holder's own cell asks as any other: its proxies, one by one, would each have a share too small
    // for a whole request.
    if (mine)
      takeGrants(grant(ask).grants);
    else
      holder->second->link()->tell(ask);
  }

  void takeGrants(const std::vector<rpc::TokenGrant>& grants) {
    std::vector<distributed_quota::QuotaAggregator::Answer> answers;
    for (const rpc::TokenGrant& grant : grants) aggregator_.granted(grant, now(), answers);
    tellGrants(answers);
  }

  // One frame for each proxy that is answered.
  void tellGrants(const std::vector<distributed_quota::QuotaAggregator::Answer>& answers) {
    std::map<std::pair<std::string, std::uint64_t>, rpc::TokenResponse> byProxy;
    for (const auto& answer : answers) {
      auto& say = byProxy[{answer.to.proxy, answer.to.incarnation}];
      say.number = answer.to.number, say.proxy = answer.to.proxy, say.incarnation = answer.to.incarnation;
      say.grants.push_back(answer.grant);
    }
    for (auto& [link, session] : sessions_)
      if (const auto found = byProxy.find({session.seat.name, session.seat.incarnation});
          found != byProxy.end())
        link->tell(found->second);
  }

  rpc::TokenResponse grant(const rpc::TokenRequest& ask) {
    rpc::TokenResponse out{ask.number, ask.proxy, ask.incarnation, {}};
    if (!configuration_) return out;
    const auto counts = registry_.counts(now());
    allocator_.setReach(counts.known ? static_cast<double>(counts.live) / counts.known : 1);
    for (const rpc::TokenDemand& demand : ask.demands) {
      const auto tenant = std::find_if(configuration_->tenants.begin(), configuration_->tenants.end(),
                                       [&](const auto& t) { return t.name == demand.tenant; });
      if (tenant == configuration_->tenants.end()) continue;
      const auto given = allocator_.take(ask.proxy, demand.tenant, {tenant->rate, tenant->burst}, demand.want,
                                         demand.asked, now());
      out.grants.push_back({demand.tenant, given.granted, given.use, given.empty});
    }
    return out;
  }

  void tellSessions(bool whole) {
    const std::string frame =
        rpc::frame(rpc::Sessions{whole, whole ? registry_.own(now()) : std::vector<rpc::ProxySession>()});
    for (auto& [ip, dialer] : others_)
      if (dialer->link()) dialer->link()->send(frame);
  }

  // --- Calls from outside ---
  struct Waiting {
    explicit Waiting(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::string at;
    int status = 0;
    std::string text;
  };

  void finish(Waiting& waiting, int status, const std::string& text) {
    if (waiting.status) return;
    waiting.status = status, waiting.text = text;
    waiting.timer.cancel();
  }

  // Asks the store that leads; 503 where none answers in time: the caller can't know what has become of it.
  template <class Make>
  asio::awaitable<std::pair<int, std::string>> askLeader(Make make) {
    const double until = now() + kLeaderWithin;
    asio::steady_timer pause(io_);
    while (true) {
      Error ignored;
      const auto store = stores_.find(leader_);
      if (store != stores_.end() && store->second->link() && leaderConfirmed()) {
        auto waiting = std::make_shared<Waiting>(io_);
        const std::uint64_t number = ++numbers_;
        waiting->at = leader_;
        waiting_[number] = waiting;
        store->second->link()->tell(make(number));
        waiting->timer.expires_after(std::chrono::milliseconds(static_cast<int>(kOrderWithin)));
        co_await waiting->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        waiting_.erase(number);
        if (waiting->status && waiting->status != 503) co_return std::pair(waiting->status, waiting->text);
      }
      if (now() >= until) co_return std::pair(503, std::string("no majority of the stores answers"));
      pause.expires_after(std::chrono::milliseconds(50));
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  }

  asio::awaitable<Reply> order(std::string what, std::string body) {
    const auto [status, text] = co_await askLeader([&](std::uint64_t number) {
      return rpc::CommandRequest{number, what, body};
    });
    co_return Reply(status, control_api::message(text));
  }

  asio::awaitable<Reply> controlCall(Call call) {
    if (!call.is("POST", {"api", "rpc"})) co_return Reply(404, control_api::message("no such call"));
    const std::string name = call.asked("call");
    if (name == "config.replace") co_return co_await order("config", std::move(call.body));
    if (name == "evacuate.begin" || name == "evacuate.finish") {
      const std::string zone = call.asked("of");
      if (!settings_.regionOf.contains(zone))
        co_return Reply(400, control_api::message("no such zone: " + zone));
      co_return co_await order(name == "evacuate.begin" ? "evacuate" : "return", zone);
    }
    if (name == "config.read") {
      const auto [status, text] =
          co_await askLeader([](std::uint64_t number) { return rpc::ReadRequest{number}; });
      if (status != 200) co_return Reply(status, control_api::message(text));
      if (text.empty()) co_return Reply(404, control_api::message("no configuration yet"));
      co_return Reply(200, text);
    }
    co_return Reply(404, control_api::message("no such call: " + name));
  }

  asio::awaitable<Reply> directoryCall(Call call) {
    if (!call.is("GET", {"api", "lookup"})) co_return Reply(404, control_api::message("no such call"));
    const auto all = registry_.addresses(call.asked("region"), call.asked("zone"), kLeastAddresses,
                                         kMostAddresses, random_);
    if (all.empty()) co_return Reply(503, control_api::message("no gatekeeper is ready"));
    std::string out = "{\"addresses\":[";
    for (std::size_t i = 0; i < all.size(); ++i) out += (i ? ",\"" : "\"") + all[i] + "\"";
    co_return Reply(200, out + "],\"ttl\":\"2s\"}");
  }

  // What went to each machine of the core over the links that this one has dialled, since the start.
  void report(double at) {
    if (at < reportAt_) return;
    reportAt_ = at + kReport;
    for (const auto& [ip, dialer] : stores_)
      program::info("sent", {{"store", ip}, {"bytes", dialer->bytesOut()}});
    for (const auto& [ip, dialer] : others_)
      program::info("sent", {{"registry", ip}, {"bytes", dialer->bytesOut()}});
    reportTraffic();
  }

  static void reportTraffic() {
    using Direction = rpc::Traffic::Direction;
    program::info("traffic",
                  {{"in", rpc::traffic().text(Direction::in)}, {"out", rpc::traffic().text(Direction::out)}});
  }

  // --- Time ---
  // What was sent before this process woke from a stop may have been sent again elsewhere, and taken back:
  // nothing of it is acted on.
  void detectStall() {
    const double at = now();
    const bool stopped = at - lastTick_ > kProcessStallThreshold;
    lastTick_ = at;
    if (!stopped) return;
    program::warn("stood still", {});
    confirmedAt_ = -1e18;
    control_.dropAll();
    for (auto& [number, waiting] : waiting_) finish(*waiting, 503, "stood still");
  }

  void look(bool asked) {
    const auto fresh = file_.look(now(), asked);
    if (!fresh) return;
    settings_ = *fresh;
    registry_.setPlaces(settings_.regionOf);
    for (const auto& seed : settings_.seeds) meet(seed.ip);
  }

  void tick() {
    detectStall();
    const double at = now();
    look(false);
    report(at);
    askLease(at);
    askHolder();
    tellLevels(at);
    registry_.sweep(at);
    for (auto& [link, session] : sessions_)
      if (at - session.heard > kSessionTimeout) link->close();
    if (at >= heartbeatAt_) {
      heartbeatAt_ = at + kHeartbeat;
      const std::string beat = rpc::frame(rpc::Heartbeat{leaderConfirmed()});
      for (auto& [link, session] : sessions_) link->send(beat);
      tellSessions(false);
      const auto counts = registry_.counts(at).byZone;
      if (counts != told_) {
        told_ = counts;
        const std::string frame = rpc::frame(coresNow());
        for (auto& [link, session] : sessions_) link->send(frame);
      }
    }
    timer_.expires_after(std::chrono::milliseconds(static_cast<int>(kTick)));
    timer_.async_wait([this](const Error& error) {
      if (!error) tick();
    });
  }

  void wait() {
    signals_.async_wait([this](const Error& error, int number) {
      if (error) return;
      if (number == SIGHUP) return look(true), wait();
      program::info("ends", {{"signal", number}});
      reportTraffic();
      control_.close(), directory_.close();
      endTimer_.expires_after(std::chrono::milliseconds(400));
      endTimer_.async_wait([this](const Error&) {
        for (const auto* all : {&stores_, &others_})
          for (const auto& [ip, dialer] : *all) dialer->close();
        io_.stop();
      });
    });
  }

  asio::io_context& io_;
  program::SettingsFile file_;
  config::Settings settings_;
  std::uint64_t incarnation_ = 0;
  std::mt19937_64 random_;
  Registry registry_;
  rpc::ConfigUpdate update_;
  std::shared_ptr<const config::Configuration> configuration_;
  lease::LeaseHolder duty_;
  distributed_quota::QuotaAllocator allocator_;  // of the holder
  struct {
    std::uint64_t epoch = 0;
    std::map<std::string, double> levels;
  } standby_;                                      // what the holder tells of its allocator
  distributed_quota::QuotaAggregator aggregator_;  // of the others
  std::uint64_t epoch_ = 0;
  rpc::Acceptor acceptor_;
  control_api::Server control_, directory_;
  asio::steady_timer timer_, wake_, endTimer_{io_};
  asio::signal_set signals_;
  std::map<std::string, std::shared_ptr<rpc::Dialer>> stores_, others_;  // by ip
  std::map<std::string, rpc::Core> cores_;
  std::map<LinkPtr, Session> sessions_;
  std::map<LinkPtr, std::string> registries_;
  std::map<std::uint64_t, std::shared_ptr<Waiting>> waiting_;
  std::map<std::string, unsigned> told_;
  std::string leader_, holder_;
  std::uint64_t leaderTerm_ = 0, ownerEpoch_ = 0, numbers_ = 0;
  double lastTick_ = 0, heartbeatAt_ = 0, confirmedAt_ = -1e18, leaseAt_ = 0, reportAt_ = 0, levelsAt_ = 0;
  double platformMs_ = kFarMost, freeSince_ = 0, changedAt_ = -1e18;
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
