#include "node/gatekeeper.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <cstdio>
#include <cstdlib>

#include "checked_toml/checked_toml.hpp"
#include "node/wake.hpp"

namespace burlwind {
namespace {

using irisring::ListKind;
using irisring::Member;
using irisring::Outcome;
using irisring::RequestId;
using irisring::Result;
using irisring::Time;
using irisring::WorkerId;
using namespace std::chrono_literals;

constexpr Time kWayBack =
    10;  // ms kept for the way back; measured within the program: 0.4 at the 99th percentile
constexpr unsigned kSparedSockets = 24;  // descriptors for the listener, discovery, timers, standard streams
constexpr unsigned kOwnMegabytes = 12;   // the program, the module's customers, connections without messages
constexpr unsigned kLeastMegabytes = 4;
constexpr Time kUploadMost = 30 * 60 * 1000;  // ms that a body may come at most
constexpr Time kUncheckedRetryAfter = 1000;
constexpr Time kStaleRetryAfter = 250;  // told to what came while this process was stopped
constexpr Time kMeterDelay = 1000;      // ms from a metered period's end to its reading, with some to spare
constexpr auto kTellAfter = 10s;
constexpr double kIdleShare = 0.8;  // of the time that a worker keeps an idle connection
constexpr std::size_t kLeastClients = 8;
constexpr unsigned kOperatorsSockets = 20;  // kept back where operators call, whatever clients hold

std::chrono::steady_clock::duration span(Time ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

// A request has one attempt at most, and requests hold a third of the descriptors at most.
std::size_t workersSockets(const Config& config) { return std::max<std::size_t>(8, config.sockets / 3); }

// All others: clients keep many connections without a request, and each that must make room costs one later.
std::size_t clientsSockets(const Config& config) {
  const std::size_t taken =
      workersSockets(config) + kSparedSockets + (config.operators ? kOperatorsSockets : 0);
  return std::max<std::size_t>(kLeastClients, config.sockets - std::min<std::size_t>(config.sockets, taken));
}

// Half of what the program itself does not need, since what is held is not all that it takes to hold it.
std::size_t bytesOfMessages(const Config& config) {
  return (config.memoryMb - std::min(config.memoryMb - kLeastMegabytes, kOwnMegabytes)) *
         (std::size_t{1} << 20) / 2;
}

// Beside that, in pieces that are let go as they are written: with it 300 readers of 32 MB take 32 of 48 MB.
std::size_t bytesAhead(const Config& config, double share) {
  return static_cast<std::size_t>(share * 2 * static_cast<double>(bytesOfMessages(config)));
}

WorkerPool::Limits poolLimits(const Config& config, const OperatorSettings::Workers& workers) {
  WorkerPool::Limits out;
  out.answerWithin = workers.answerWithin;
  out.idlePerWorker = workers.idlePerWorker;
  out.connectTimeout = std::chrono::milliseconds(std::lround(std::max(1.0, config.host.connectTimeout)));
  out.idleFor = std::chrono::milliseconds(std::lround(kIdleShare * config.host.idleTimeout));
  out.total = workersSockets(config);
  return out;
}

ClientServer::Limits serverLimits(const Config& config, const OperatorSettings& settings) {
  const OperatorSettings::Clients& clients = settings.clients;
  ClientServer::Limits out;
  out.admission = settings.admission.settings;
  out.reserveShare = settings.admission.reserveShare;
  out.idleShare = settings.admission.idleShare;
  out.idleFor = clients.idle;
  out.wholeWithin = clients.wholeWithin;
  out.writeWithin = clients.writeWithin;
  out.connections = clientsSockets(config);
  out.readAhead = bytesAhead(config, clients.readAheadShare);
  return out;
}

// The same number at every gatekeeper, whatever the address: they all run this program.
WorkerId numberOf(const std::string& instanceId) { return std::hash<std::string>{}(instanceId); }

// Makes what goes on of a client's request, once for all attempts. What concerns only the client's connection
// stays behind.
void prepare(ClientMessage& message, const Upload* upload, std::string& head,
             std::shared_ptr<const std::string>& body) {
  for (const auto field : {http::field::connection, http::field::keep_alive, http::field::te,
                           http::field::trailer, http::field::transfer_encoding, http::field::upgrade,
                           http::field::expect, http::field::proxy_connection})
    message.erase(field);
  message.erase("Req-Deadline-Ms");
  message.version(11);
  if (upload && upload->length())
    message.content_length(*upload->length());
  else if (upload)
    message.chunked(true);
  else if (message.method() != http::verb::get)
    message.content_length(message.body().size());
  body = std::make_shared<const std::string>(std::move(message.body()));
  append(head, http::request<http::empty_body>(std::move(message.base())));
  head.resize(head.size() - 2);  // goes on with the deadline
}

// A thing is sure once nothing can be left of what was before the start: by the platform's own figures.
recovery::Horizons horizonsOf(const irisring::Settings& settings) {
  recovery::Horizons out;
  out.metered = settings.meterPeriod > 0;
  out.use = 2 * settings.meterPeriod + kMeterDelay;
  out.ceilings = out.out = 0;
  for (const irisring::PlanSettings& plan : settings.plans)
    if (plan.ceilingRate > 0)
      out.ceilings = std::max(out.ceilings, 1000 * plan.ceilingBurst / plan.ceilingRate);
  for (const irisring::ClassSettings& klass : settings.classes) out.out = std::max(out.out, klass.deadline);
  return out;
}

bool forWantOfWorkers(irisring::Reason reason) {
  using irisring::Reason;
  return reason == Reason::limit || reason == Reason::nobody || reason == Reason::full ||
         reason == Reason::cold;
}

unsigned indexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<unsigned>(std::find(names.begin(), names.end(), name) - names.begin());
}

bool named(const std::vector<std::string>& names, const std::string& name) {
  return indexOf(names, name) < names.size();
}

}  // namespace

Gatekeeper::Gatekeeper(asio::io_context& io, const Config& config, const OperatorSettings& settings,
                       std::unique_ptr<snapshot::Files> files)
    : io_(io),
      config_(config),
      operator_(settings),
      keeper_(keeperOf(std::move(files))),
      recovery_(clock_.now(), keeper_ ? keeper_->stored() : recovery::Stored{}, horizonsOf(config.settings)),
      draws_(static_cast<std::minstd_rand::result_type>(config.seed ^ config.seed >> 32)),
      lastBeat_(clock_.now()),
      recoveryChanges_(io),
      postponedUntil_(io),
      outUntil_(io),
      figures_(config.host.classes, config.host.plans),
      budget_(bytesOfMessages(config)),
      pool_(io, poolLimits(config, settings.workers), budget_, config.settings.reportFields,
            {[this](AttemptEnd&& end) { ended(std::move(end)); }, [this] { figures_.attemptWritten(); },
             [this](LongAnswer&& answer) { return begun(std::move(answer)); },
             [this](RequestId id, std::string&& piece) { return more(id, std::move(piece)); }}),
      server_(io, config_, serverLimits(config, settings), budget_, *this),
      gateway_(config.settings, config.seed, clock_.now(), *this),
      answers_(settings.answer),
      out_(io),
      tell_(io),
      lifeChanges_(io) {
  server_.whenEmpty([this] { emptied(); });
  if (config_.operators)
    admin_ = std::make_unique<admin::Server>(io, *config_.operators, admin::Server::Limits{},
                                             [this](admin::Call call) { return called(call); });
  long long from = -1;
  if (!config_.known.empty()) {
    const Roster known = parseRoster(config_.known);
    from = known.generation;
    told(known, ListKind::cached);
  }
  takeUpStored();
  watch(config_.discovery, from);
  checkNames(settings);
  startAsking(settings);
}

Gatekeeper::~Gatekeeper() = default;

void Gatekeeper::start() {
  if (admin_) admin_->start();
  discovery_->start();
  if (keeper_) keeper_->start();
  if (config_.passedSocket)
    join();
  else
    serve();
}

void Gatekeeper::serve() {
  server_.start();
  serving_ = true;
  if (!listed_.empty()) live(lifecycle::Event::listed);
}

void Gatekeeper::reload(const Config& config, const OperatorSettings& settings) {
  checkNames(settings);
  answers_.use(settings.answer);
  startAsking(settings);
  follow(config);
}

// Versions of one discovery say nothing at another, so the new one is asked for the whole list; until it
// comes the list that is had stays in force.
void Gatekeeper::follow(const Config& config) {
  if (config.discovery == config_.discovery) return log("reloaded: discovery is where it was");
  config_.discovery = config.discovery;
  watch(config_.discovery, -1);
  discovery_->start();
  log("reloaded: discovery has moved");
}

void Gatekeeper::watch(const asio::ip::tcp::endpoint& agent, long long from) {
  discovery_ = std::make_unique<Discovery>(
      io_, agent, from,
      Discovery::Limits{operator_.discovery.silence, operator_.discovery.backoffMost, config_.seed},
      [this, number = ++watches_](const Roster& roster) {
        beat();
        if (number != watches_) return;  // from before a stop: a new watch brings the whole list
        heardDiscovery_ = true;
        told(roster, roster.reset ? ListKind::full : ListKind::delta);
      });
}

// --- Its life ----------------------------------------------------------------------------------------------

void Gatekeeper::drain(std::function<void()> done) {
  done_ = std::move(done);
  live(lifecycle::Event::terminate);
}

void Gatekeeper::live(lifecycle::Event event) {
  if (life_.on(clock_.now(), event)) log(std::string("state: ") + lifecycle::nameOf(life_.state()));
  if (life_.state() == lifecycle::State::serving) tellRecovery(recovery_.ready(clock_.now()));
  conduct();
}

// --- Coming back -------------------------------------------------------------------------------------------

void Gatekeeper::beat() {
  const Time now = clock_.now();
  const Time before = std::exchange(lastBeat_, now);
  if (WakeSignal::take()) woke(before);
}

// What was told meanwhile lies unread, and behind it may lie more: the whole list is asked for anew, and what
// is sent on waits for it, for a bounded time.
void Gatekeeper::woke(Time since) {
  const Time now = clock_.now();
  if (!recovery_.woke(since, now)) return;
  log("recovery: stopped for up to " + std::to_string(std::lround(now - since)) + " ms; " +
      recovery_.describe(now));
  if (link_) link_->woke(std::chrono::milliseconds(std::lround(now - since)));
  watch(config_.discovery, -1);
  discovery_->start();
  postponedUntil_.expires_after(span(recovery_.holdsUntil() - now));
  postponedUntil_.async_wait(later([this] { sendPostponed(); }));
  tellRecovery(false);
}

void Gatekeeper::tellRecovery(bool changed) {
  const Time now = clock_.now();
  if (changed) log("recovery: " + recovery_.describe(now));
  const auto next = recovery_.next(now);
  if (!next) {
    recoveryChanges_.cancel();
    return;
  }
  recoveryChanges_.expires_after(span(*next - now) + 1ms);
  recoveryChanges_.async_wait(later([this] { tellRecovery(recovery_.look(clock_.now())); }));
}

std::string Gatekeeper::recoveryFigures() const {
  const Time now = clock_.now();
  std::string out;
  const auto line = [&](const std::string& name, double value) {
    if (value != recovery::kNever)
      out += "balancer.recovery." + name + "=" + std::to_string(std::lround(value)) + "\n";
  };
  for (std::size_t i = 0; i < recovery::kThings; ++i) {
    const auto thing = static_cast<recovery::Thing>(i);
    line(recovery::nameOf(thing), static_cast<double>(recovery_.degree(thing, now)));
  }
  line("ready_ms", recovery_.toReady());
  line("nine_tenths_ms", recovery_.toNineTenths());
  line("whole_ms", recovery_.toWhole());
  line("stops", recovery_.stops());
  return out;
}

// Follows what holds now, and looks again when time alone changes it.
void Gatekeeper::conduct() {
  const Time now = clock_.now();
  const lifecycle::Conduct is = life_.conduct(now);
  if (is != conduct_) {
    conduct_ = is;
    living_ = true;
    server_.follow(is);
    if (is.givesUp) giveUpAll();
    living_ = false;
  }
  if (const auto next = life_.next(now)) {
    lifeChanges_.expires_after(span(*next - now));
    lifeChanges_.async_wait(later([this] { conduct(); }));
  } else {
    lifeChanges_.cancel();
  }
  if (!conduct_.keeps) emptied();
}

void Gatekeeper::emptied() {
  if (living_ || server_.connections() > 0) return;
  if (life_.on(clock_.now(), lifecycle::Event::empty)) log("state: drained");
  if (life_.state() == lifecycle::State::ending && !conduct_.accepts && done_) {
    if (keeper_) keeper_->finish();
    done_();
  }
}

// --- State that outlives the process -----------------------------------------------------------------------

std::unique_ptr<Keeper> Gatekeeper::keeperOf(std::unique_ptr<snapshot::Files> files) {
  if (!operator_.snapshot.enabled) return nullptr;
  Keeper::Host host;
  host.make = [this] { return stateNow(); };
  host.lasting = [this] { gateway_.remembered(); };
  host.log = [this](const std::string& line) { log(line); };
  return std::make_unique<Keeper>(io_, operator_.snapshot, config_.name, handedOverSettings(),
                                  files ? std::move(files) : std::make_unique<snapshot::DiskFiles>(),
                                  std::move(host));
}

snapshot::Snapshot Gatekeeper::stateNow() {
  snapshot::Snapshot out;
  out.settings = handedOverSettings();
  out.roster = rosterText(instances_);
  out.module = gateway_.remember(clock_.now());
  out.stamp.goodPerSecond = recovery_.goodPerSecond(clock_.now());
  return out;
}

// By what recovery permits at its age. The attempts of the process that died count as out until none of them
// can be.
void Gatekeeper::takeUpStored() {
  const auto state = keeper_ ? keeper_->take() : std::nullopt;
  if (!state) return;
  const recovery::Permits permits = recovery_.permits();
  try {
    if (permits.takesList && instances_.empty()) told(parseRoster(state->roster), ListKind::cached);
  } catch (const std::runtime_error& error) {
    return log(std::string("snapshot: ") + error.what());
  }
  std::vector<irisring::CustomerId> out;
  const auto kept = permits.takesWorkers ? irisring::Kept::lately : irisring::Kept::longAgo;
  if (!permits.takesUse || !gateway_.takeOver(clock_.now(), state->module, 1, out, kept)) return;
  for (const irisring::CustomerId customer : out) ++outElsewhere_[customer];
  outUntil_.expires_after(span(horizonsOf(config_.settings).out));
  outUntil_.async_wait(later([this] { returnAll(); }));
  log("snapshot: taken up, " + std::to_string(gateway_.customersHeld()) + " customers");
}

// --- Two processes of one gatekeeper
// ---------------------------------------------------------------------------

void Gatekeeper::join() {
  const char* folder = std::getenv("TMPDIR");
  handover::Link::Host host;
  host.serve = [this] { serve(); };
  host.resume = [this] { live(lifecycle::Event::alone); };
  host.yield = [this] {
    if (keeper_) keeper_->leave();
    live(lifecycle::Event::yield);
  };
  host.beat = [this] { beat(); };
  host.give = [this] { return handOver(); };
  host.take = [this](snapshot::Snapshot&& snapshot) { return takeOver(std::move(snapshot)); };
  host.ended = [this](std::uint64_t customer) {
    const auto found = outElsewhere_.find(customer);
    if (found == outElsewhere_.end()) return;
    if (--found->second == 0) outElsewhere_.erase(found);
    gateway_.returned(clock_.now(), customer);
  };
  host.part = [this](double part) { actAs(part); };
  host.log = [this](const std::string& line) { log(line); };
  link_ = std::make_unique<handover::Link>(io_, handover::pathIn(folder ? folder : "", config_.name),
                                           handover::Link::Limits{}, std::move(host));
  link_->start();
}

// What must be alike for what one process knows to mean the same to the other.
std::string Gatekeeper::handedOverSettings() const {
  std::string out = config_.name;
  for (const auto* names :
       {&config_.host.classes, &config_.host.plans, &config_.host.zones, &config_.host.kinds})
    for (const std::string& name : *names) out += "|" + name;
  for (const irisring::PlanSettings& plan : config_.settings.plans)
    out += "|" + std::to_string(plan.rate) + "," + std::to_string(plan.burst) + "," +
           std::to_string(plan.ceilingRate) + "," + std::to_string(plan.ceilingBurst);
  return out;
}

snapshot::Snapshot Gatekeeper::handOver() {
  if (keeper_) keeper_->leave();
  live(lifecycle::Event::takenOver);
  pool_.closeAllIdle();
  snapshot::Snapshot out;
  out.settings = handedOverSettings();
  out.roster = rosterText(instances_);
  out.descriptors = server_.connections() + pool_.connections() + kSparedSockets;
  out.module = gateway_.handOver(clock_.now(), handover::kTakes);
  budget_.setMost(bytesOfMessages(config_) / 2);
  server_.limitAhead(0.5);
  pool_.limit(workersSockets(config_) / 2);
  return out;
}

bool Gatekeeper::takeOver(snapshot::Snapshot&& snapshot) {
  if (snapshot.settings != handedOverSettings()) return false;
  std::vector<irisring::CustomerId> out;
  try {
    // What discovery itself has told is newer.
    if (!heardDiscovery_ && !snapshot.roster.empty()) told(parseRoster(snapshot.roster), ListKind::cached);
  } catch (const std::runtime_error&) {
    return false;
  }
  if (!gateway_.takeOver(clock_.now(), snapshot.module, handover::kTakes, out)) return false;
  for (const irisring::CustomerId customer : out) ++outElsewhere_[customer];
  descriptorsElsewhere_ = snapshot.descriptors;
  return true;
}

// Of what the gatekeeper may do and hold; what the other process had out is over when it is gone.
void Gatekeeper::actAs(double part) {
  gateway_.actAs(clock_.now(), part);
  const std::size_t clients = clientsSockets(config_), workers = workersSockets(config_);
  server_.limitAhead(part >= 1 ? 1 : 0.5);
  if (part >= 1) {
    budget_.setMost(bytesOfMessages(config_));
    server_.limit(clients);
    pool_.limit(workers);
  } else {
    // The other one held so many when it handed over, and takes no more; if it has not told, half is taken
    // for its.
    const std::size_t others = descriptorsElsewhere_ > 0 ? descriptorsElsewhere_ : config_.sockets / 2;
    const std::size_t left = config_.sockets - std::min<std::size_t>(others, config_.sockets);
    const std::size_t own = workers / 2 + kSparedSockets + kOperatorsSockets;
    budget_.setMost(bytesOfMessages(config_) / 2);
    server_.limit(std::max<std::size_t>(kLeastClients, left - std::min(left, own)));
    pool_.limit(workers / 2);
  }
  if (part >= 1) returnAll();
}

void Gatekeeper::returnAll() {
  for (const auto& [customer, times] : std::exchange(outElsewhere_, {}))
    for (unsigned i = 0; i < times; ++i) gateway_.returned(clock_.now(), customer);
}

admin::Reply Gatekeeper::called(admin::Call call) {
  using lifecycle::State;
  const bool leaving = life_.state() == State::ending || life_.state() == State::handingOver;
  admin::Reply out;
  switch (call) {
    case admin::Call::ready:
      if (!conduct_.saysReady) out.status = http::status::service_unavailable;
      break;
    case admin::Call::metrics: {
      const irisring::Fleet fleet = gateway_.fleet(clock_.now());
      out.body = figures_.text({fleet.listed, fleet.avoided}) + recoveryFigures();
      return out;
    }
    case admin::Call::drain:
      live(lifecycle::Event::drain);
      break;
    case admin::Call::undrain:
      live(lifecycle::Event::undrain);
      if (leaving) out.status = http::status::conflict;
      break;
  }
  out.body = conduct_.saysReady ? "ready\n" : std::string(lifecycle::nameOf(life_.state())) + "\n";
  return out;
}

// --- From the clients ------------------------------------------------------------------------------------

void Gatekeeper::take(RequestId id, const Call& call, ClientMessage&& message,
                      const std::shared_ptr<Asker>& asker, const std::shared_ptr<Upload>& upload) {
  beat();
  const Time now = clock_.now();
  Held& held = held_.try_emplace(id, io_).first->second;
  held.clientsId = call.id;
  clientsIds_.insert(call.id);
  held.message = std::move(message);
  held.call = call;
  held.asker = asker;
  held.upload = upload;
  held.whole = !upload;
  // How long a body goes on is the client's side's to bound; the request's time counts from its end.
  if (upload)
    held.expires = now + kUploadMost;
  else
    waitUntil(id, held, recovery_.cameAt(now) + std::max(0.0, call.patience - kWayBack));
  check(id, held);
}

void Gatekeeper::waitUntil(RequestId id, Held& held, Time expires) {
  held.expires = expires;
  held.deadline.expires_after(span(expires - clock_.now()));
  held.deadline.async_wait(later([this, id] { expire(id); }));
}

void Gatekeeper::whole(RequestId id, Time patience) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  Held& held = found->second;
  held.whole = true;
  const Time now = clock_.now();
  if (!held.passing) waitUntil(id, held, now + std::max(0.0, patience - kWayBack));
  gateway_.whole(now, id, held.expires);
}

void Gatekeeper::admit(RequestId id, const Held& held) {
  const Call& call = held.call;
  if (keeper_) keeper_->note();
  // It came while this process was stopped, and its client has gone on: to run it now serves nobody.
  if (held.whole && held.expires <= clock_.now()) return refuse(id, kStaleRetryAfter, irisring::Reason::time);
  gateway_.request(clock_.now(), {id, call.klass, call.plan, call.customer, held.expires, call.units,
                                  call.setSize, held.whole});
}

void Gatekeeper::left(RequestId id) {
  beat();
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  const bool checking = found->second.checking;
  release(found);
  if (checking) return asking_->left(id);
  gateway_.clientLeft(clock_.now(), id);
  if (auto end = pool_.giveUp(id, Result::cancelled)) ended(std::move(*end));
}

// The deadline: an attempt that is out has timed out. The answer goes out now, whatever the module says.
void Gatekeeper::expire(RequestId id) {
  const auto found = held_.find(id);
  if (found == held_.end() || found->second.passing) return;
  if (found->second.checking) return unchecked(id);
  if (auto end = pool_.giveUp(id, Result::timeout)) {
    end->outcome.finished = false;
    gateway_.outcome(std::max(clock_.now(), found->second.expires), end->outcome);
  }
  if (!held_.contains(id)) return;
  fail(id, irisring::Reason::time);
  gateway_.clientLeft(clock_.now(), id);
}

void Gatekeeper::giveUpAll() {
  while (!held_.empty()) {
    const RequestId id = held_.begin()->first;
    if (held_.begin()->second.checking) {
      unchecked(id);
      continue;
    }
    fail(id, metrics::Own::ending);
    gateway_.clientLeft(clock_.now(), id);
    if (auto end = pool_.giveUp(id, Result::cancelled)) ended(std::move(*end));
  }
}

// --- Checks ----------------------------------------------------------------------------------------------

void Gatekeeper::checkNames(const OperatorSettings& settings) const {
  for (const std::string& klass : config_.host.classes)
    if (auth::isQuestion(settings.answer, "/" + klass))
      throw FileError(settings.file + ": auth.answer.path: the platform has a class " + klass);
  for (const auth::Route& route : settings.auth.routes) {
    for (const std::string& klass : route.classes)
      if (!named(config_.host.classes, klass))
        throw FileError(settings.file + ": auth.route.classes: the platform has no class " + klass);
    for (const std::string& plan : route.plans)
      if (!named(config_.host.plans, plan))
        throw FileError(settings.file + ": auth.route.plans: the platform has no plan " + plan);
  }
}

// None without checkers. What waits for a verdict of those that were is asked of these.
void Gatekeeper::startAsking(const OperatorSettings& settings) {
  const auth::Asked& asked = settings.auth;
  asking_.reset();
  if (asked.on())
    asking_ = std::make_unique<auth::Asking>(
        io_, asked, [this](RequestId id, auth::Told told, const auth::VerdictPtr& verdict) {
          decided(id, told, verdict);
        });
  std::vector<RequestId> waiting;
  for (const auto& [id, held] : held_)
    if (held.checking) waiting.push_back(id);
  for (const RequestId id : waiting) check(id, held_.at(id));
}

// Before the module hears of it: what is denied takes no units, and what no checker has room for either.
void Gatekeeper::check(RequestId id, Held& held) {
  held.checking = false;
  if (!asking_) return admit(id, held);
  const auth::Asked& asked = asking_->asked();
  auth::strip(asked.terms, held.message);
  const auth::Route& route =
      auth::routeOf(asked, config_.host.classes[held.call.klass], config_.host.plans[held.call.plan]);
  if (!route.check) return admit(id, held);
  held.checking = true;
  tellLater();
  asking_->ask(id, route, held.message, held.asker->from());
}

void Gatekeeper::decided(RequestId id, auth::Told told, const auth::VerdictPtr& verdict) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  Held& held = found->second;
  held.checking = false;
  if (told == auth::Told::verdict && !verdict->allows) return deny(id, *verdict);
  if (told == auth::Told::down || told == auth::Told::busy) return unchecked(id, told);
  if (verdict) auth::apply(*verdict, held.message);
  admit(id, held);
}

// A final answer: the checker's.
void Gatekeeper::deny(RequestId id, const auth::Verdict& verdict) {
  Answer denial;
  denial.status = static_cast<http::status>(verdict.status);
  denial.headers = verdict.headers;
  denial.contentType.clear();
  denial.why = metrics::Own::denied;
  denial.body = verdict.body;
  answer(id, std::move(denial));
}

// Nobody said in time whether it may go on: nothing has run, and it may come again.
void Gatekeeper::unchecked(RequestId id, auth::Told told) {
  Answer refusal;
  refusal.status = http::status::service_unavailable;
  if (asking_) {
    asking_->left(id);
    if (told == auth::Told::down) refusal.status = static_cast<http::status>(asking_->asked().errorStatus);
  }
  refusal.body = "no checker answers: try again later\n";
  refusal.retryAfter = kUncheckedRetryAfter;
  refusal.why = metrics::Own::unchecked;
  answer(id, std::move(refusal));
}

// --- Questions of proxies --------------------------------------------------------------------------------

Answer Gatekeeper::question(const http::request_header<>& head, const std::string& from) {
  tellLater();
  auth::Said told = said(head, from);
  Answer out;
  out.status = static_cast<http::status>(told.status);
  out.headers = std::move(told.headers);
  out.body = std::move(told.body);
  return out;
}

// Nothing of a question is held, so this answer is its only one.
auth::Said Gatekeeper::said(const http::request_header<>& head, const std::string& from) {
  const auth::AnswerSettings& settings = answers_.settings();
  auth::AnswerCounts& counts = answers_.counts;
  ++counts.asked;
  if (!auth::isProxy(settings, from)) {
    ++counts.strangers;
    return auth::unusable(settings.convention, 403, "this address is no configured proxy's");
  }
  const auto read = auth::readQuestion(
      settings, {config_.host.classes, config_.host.plans, config_.settings.mostUnits}, head);
  if (const auto* wrong = std::get_if<std::string>(&read)) {
    ++counts.unusable;
    return auth::unusable(settings.convention, 400, *wrong);
  }
  const auto& asked = std::get<auth::Question>(read);
  const Time now = clock_.now();
  switch (answers_.known(now, asked)) {
    case auth::Answers::Known::yes:
      ++counts.repeated;
      return auth::allowed();
    case auth::Answers::Known::differs:
      ++counts.unusable;
      return auth::unusable(settings.convention, 409, "another request of this id was let go");
    case auth::Answers::Known::no:
      break;
  }
  const unsigned setSize = settings.gatekeepers > 0 ? settings.gatekeepers : config_.settings.gateways;
  const irisring::Leave leave = gateway_.leave(
      now, {0, asked.klass, asked.plan, asked.customer, now, asked.units, setSize}, settings.metered);
  if (!leave.granted) {
    ++counts.refused;
    return auth::refused(settings.convention, leave.retryAfter);
  }
  ++counts.allowed;
  answers_.letGo(now, asked);
  countOut();
  return auth::allowed();
}

// Called with each that is let go and by its own timer.
void Gatekeeper::countOut() {
  const Time now = clock_.now();
  for (const std::uint64_t customer : answers_.ended(now)) gateway_.returned(now, customer);
  const auto next = answers_.next();
  if (!next || countingOut_) return;
  countingOut_ = true;
  out_.expires_after(span(*next - now));
  out_.async_wait(later([this] {
    countingOut_ = false;
    countOut();
  }));
}

// One line some seconds after a check, a question or a refusal, not one for each.
void Gatekeeper::tellLater() {
  if (std::exchange(telling_, true)) return;
  tell_.expires_after(kTellAfter);
  tell_.async_wait(later([this] {
    telling_ = false;
    tell();
  }));
}

void Gatekeeper::tell() {
  if (asking_) log("checks: " + auth::describe(asking_->core().counts()));
  if (answers_.settings().on()) log("questions of proxies: " + auth::describe(answers_.counts));
  if (std::exchange(unservedTold_, figures_.unserved()) != figures_.unserved()) log(figures_.summary());
}

// --- From the workers ------------------------------------------------------------------------------------

void Gatekeeper::ended(AttemptEnd&& end) {
  beat();
  Outcome& outcome = end.outcome;
  noteNews(outcome);
  const auto found = held_.find(outcome.id);
  const bool mine = found != held_.end();
  outcome.finished = !mine || outcome.result == Result::ok || end.passed;
  if (link_ && mine) link_->tellEnded(found->second.call.customer);
  if (mine && end.passed) {
    const auto asker = std::move(found->second.asker);
    release(found);
    if (outcome.result == Result::ok) {
      asker->more(std::move(end.body));
      asker->finish();
    } else {
      asker->breakOff();
    }
    return gateway_.outcome(clock_.now(), outcome);
  }
  if (mine && outcome.result == Result::ok) {
    Answer served;
    served.body = std::move(end.body);
    served.contentType = std::move(end.contentType);
    answer(outcome.id, std::move(served));
  }
  gateway_.outcome(clock_.now(), outcome);
}

// What a stop has made late says nothing of the worker.
void Gatekeeper::noteNews(Outcome& outcome) {
  const Time now = clock_.now();
  if (outcome.result == Result::timeout && recovery_.stoppedDuring(outcome.elapsed, now))
    outcome.result = Result::cancelled;
  outcome.elapsed = recovery_.lived(outcome.elapsed, now);
  bool changed = false;
  if (outcome.result == Result::ok) changed = recovery_.on(now, recovery::Event::good);
  if (outcome.usePercent >= 0) changed = recovery_.on(now, recovery::Event::reading) || changed;
  if (changed) tellRecovery(true);
}

// The first bytes of a long answer: from here on it is the final one, and its time has been met.
bool Gatekeeper::begun(LongAnswer&& answer) {
  const auto found = held_.find(answer.id);
  if (found == held_.end()) return false;
  Held& held = found->second;
  held.passing = true;
  held.deadline.cancel();
  gateway_.answering(clock_.now(), answer.id);
  Answer served;
  served.body = std::move(answer.first);
  served.contentType = std::move(answer.contentType);
  const auto asker = held.asker;
  // Where a cap binds, an attempt that its reader holds up is another request turned away.
  const bool ahead = config_.settings.plans[held.call.plan].openLimit > 0;
  return asker->begin(std::move(served), answer.length, answer.window, ahead);
}

bool Gatekeeper::more(RequestId id, std::string&& piece) {
  const auto found = held_.find(id);
  if (found == held_.end()) return false;
  const auto asker = found->second.asker;
  return asker->more(std::move(piece));
}

// --- From discovery --------------------------------------------------------------------------------------

Member Gatekeeper::memberOf(const Instance& instance) const {
  Member out;
  out.worker = numberOf(instance.id);
  out.phase = instance.phase;
  out.zone = indexOf(config_.host.zones, instance.zone);
  out.kind = indexOf(config_.host.kinds, instance.kind);
  out.cell = instance.cell;
  out.started = instance.startedAtMs;
  return out;
}

void Gatekeeper::told(const Roster& roster, ListKind kind) {
  if (kind != ListKind::delta) instances_.clear();
  for (const Instance& instance : roster.instances) {
    if (instance.phase == irisring::Phase::gone)
      instances_.erase(instance.id);
    else
      instances_[instance.id] = instance;
  }
  std::vector<Member> members;
  std::unordered_set<WorkerId> unnamed;
  if (kind != ListKind::delta) unnamed = listed_;
  for (const Instance& instance : roster.instances) {
    members.push_back(memberOf(instance));
    const WorkerId worker = members.back().worker;
    unnamed.erase(worker);
    if (instance.phase == irisring::Phase::ready) {
      listed_.insert(worker);
      starts_[worker] = instance.startedAtMs;
      pool_.place(worker, {instance.address, instance.startedAtMs});
    } else {
      listed_.erase(worker), starts_.erase(worker);
      pool_.retire(worker);
    }
  }
  for (const WorkerId worker : unnamed) {
    listed_.erase(worker), starts_.erase(worker);
    pool_.retire(worker);
  }
  const Time now = clock_.now();
  gateway_.members(now, kind, members);
  tellRecovery(
      recovery_.on(now, kind == ListKind::cached ? recovery::Event::cached : recovery::Event::listed));
  if (kind != ListKind::cached) sendPostponed();
  if (serving_ && !listed_.empty()) live(lifecycle::Event::listed);
}

// --- What the module asks for ----------------------------------------------------------------------------
// These are called from within an event, so none of them feeds the module another.

void Gatekeeper::send(RequestId id, WorkerId worker, Time timeout) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  Held& held = found->second;
  const Postponed attempt{id, worker, timeout, held.attempts++, startOf(worker)};
  if (clock_.now() < recovery_.holdsUntil())
    postponed_.push_back(attempt);
  else
    start(id, held, attempt);
}

double Gatekeeper::startOf(WorkerId worker) const {
  const auto found = starts_.find(worker);
  return found == starts_.end() ? -1 : found->second;
}

// Chosen by a list that may have been stale. Whoever is gone from it, drains or has started anew gets
// nothing, and the module looks for another.
void Gatekeeper::sendPostponed() {
  for (const Postponed& attempt : std::exchange(postponed_, {})) {
    const auto found = held_.find(attempt.id);
    if (found == held_.end())
      reportUnsent(attempt.id, attempt.attempt, attempt.worker, Result::cancelled);
    else if (!listed_.contains(attempt.worker) || startOf(attempt.worker) != attempt.startedAt)
      reportUnsent(attempt.id, attempt.attempt, attempt.worker, Result::connectFailed);
    else
      start(attempt.id, found->second, attempt);
  }
}

void Gatekeeper::start(RequestId id, Held& held, const Postponed& attempt) {
  const Time left = held.expires - clock_.now(), timeout = attempt.timeout;
  // Of a long body the beginning may be gone: it cannot be sent again.
  if (left <= 0 || (held.upload && !held.upload->holds(0)))
    return reportUnsent(id, attempt.attempt, attempt.worker, Result::moot);
  const bool early = timeout > 0 && timeout < left;
  const Time wait = held.whole ? (early ? timeout : left) : held.call.patience - kWayBack;
  if (held.head.empty()) prepare(held.message, held.upload.get(), held.head, held.body);
  Message message{held.head, held.body, held.upload};
  message.head +=
      "Req-Deadline-Ms: " + std::to_string(std::max(1L, std::lround(std::floor(wait)))) + "\r\n\r\n";
  pool_.start(id, attempt.attempt, attempt.worker, std::move(message),
              early ? std::optional(span(timeout)) : std::nullopt);
}

// Nothing is sent, and the module learns so from a handler of its own.
void Gatekeeper::reportUnsent(RequestId id, unsigned attempt, WorkerId worker, Result result) {
  AttemptEnd end;
  end.outcome.id = id;
  end.outcome.attempt = attempt;
  end.outcome.worker = worker;
  end.outcome.result = result;
  asio::post(io_, later([this, end = std::move(end)]() mutable { ended(std::move(end)); }));
}

void Gatekeeper::refuse(RequestId id, Time retryAfter, irisring::Reason reason) {
  Answer refusal;
  refusal.status = http::status::too_many_requests;
  refusal.body = "refused: try again later\n";
  refusal.retryAfter = retryAfter;
  if (forWantOfWorkers(reason))
    refusal.retryAfter = recovery_.comeBack(retryAfter, config_.settings.maxRetryAfter,
                                            std::generate_canonical<double, 30>(draws_), clock_.now());
  refusal.why = reason;
  answer(id, std::move(refusal));
}

void Gatekeeper::fail(RequestId id, metrics::Why why) {
  Answer failure;
  failure.status = http::status::bad_gateway;
  failure.body = "failed\n";
  failure.why = why;
  answer(id, std::move(failure));
}

void Gatekeeper::setTimer(Time wait, std::uint64_t tag) {
  auto timer = std::make_unique<asio::steady_timer>(io_, span(wait));
  auto& pending = *timer;
  pending.async_wait(later([this, timer = std::move(timer), tag] { gateway_.timer(clock_.now(), tag); }));
}

void Gatekeeper::log(const std::string& line) { std::fprintf(stderr, "burlwind: %s\n", line.c_str()); }

// The final answer. What comes later for this request finds nothing.
void Gatekeeper::answer(RequestId id, Answer&& answer) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  const auto asker = std::move(found->second.asker);
  const bool passing = found->second.passing;
  release(found);
  if (answer.status != http::status::ok) tellLater();
  if (passing) return asker->breakOff();
  asker->answer(std::move(answer));
}

void Gatekeeper::release(std::unordered_map<RequestId, Held>::iterator held) {
  clientsIds_.erase(held->second.clientsId);
  held_.erase(held);
}

}  // namespace burlwind
