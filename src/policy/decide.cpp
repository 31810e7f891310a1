// irisring: the decision module. Its interface (settings, events, actions) is include/irisring/decide.hpp.
// Reading order: Core's events below, with attempts and final answers; then what they call: quota.hpp (with
// src/meter) for what a customer may have, workers.hpp for where it goes. Why each departs
// from the source design stands where it does, and tuned values stand in the file that uses them.
#include "irisring/decide.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>
#include <unordered_map>

#include "policy/quota.hpp"
#include "policy/workers.hpp"
#include "words/words.hpp"

namespace irisring {
namespace {

using namespace policy;

constexpr unsigned kMostAttempts = 4;  // more than this on one request only adds load
constexpr double kPatience = 5;        // usual latencies before an attempt that may be repeated is given up
constexpr double kPatienceOfAim =
    1.5;  // and at least this share of the aim; 1: cuts off work whose client asks anew at once
constexpr double kBudgetMost = 5;     // early time-outs in a row
constexpr double kBudgetStep = 0.05;  // earned by each good answer; higher: time-outs feed an overload
constexpr Time kHoldStep = 40;        // ms between looks for a worker for a request that must not be refused
constexpr Time kRetryAfter = 250;     // ms advised when no worker can take the request
constexpr Time kLogEvery = 2000;      // ms between log lines

bool provesUnrun(Result result) {
  return result == Result::full || result == Result::connectFailed || result == Result::moot;
}

void require(bool holds, const char* what) {
  if (!holds) throw std::invalid_argument(std::string("settings: ") + what);
}

std::vector<Time> aims(const Settings& settings) {
  std::vector<Time> out;
  for (const ClassSettings& c : settings.classes) out.push_back(c.aim);
  return out;
}

bool sane(double value) { return std::isfinite(value) && value >= 0; }

}  // namespace

class Gateway::Core {
 public:
  Core(const Settings& settings, std::uint64_t salt, Time now, Actions& actions)
      : set_(settings),
        actions_(actions),
        random_(salt),
        pace_(aims(set_), now),
        quota_(set_, pace_, random_, now),
        workers_(set_, pace_, random_) {
    require(set_.gateways >= 1 && set_.self < set_.gateways, "gateway number out of range");
    require(!set_.classes.empty(), "no classes");
    require(!set_.plans.empty(), "no plans");
    require(sane(set_.meterPeriod) && sane(set_.warmUp) && sane(set_.drainGrace) &&
                sane(set_.maxRetryAfter) && sane(set_.coldFrom) && sane(set_.fallMultiple) &&
                sane(set_.fallSpan) && sane(set_.mostUnits) && sane(set_.crossZonePrice) &&
                sane(set_.askWithin),
            "a figure is negative or not finite");
    for (const auto& c : set_.classes)
      require(sane(c.aim) && sane(c.deadline) && sane(c.window) && sane(c.worth) && sane(c.lateWorth),
              "a class's figure is negative or not finite");
    for (const auto& p : set_.plans)
      require(sane(p.rate) && sane(p.burst) && sane(p.ceilingRate) && sane(p.ceilingBurst) &&
                  sane(p.ceilingSlack) && sane(p.price) && sane(p.overWorth) && sane(p.overCost),
              "a plan's figure is negative or not finite");
    if (set_.askDiscovery) actions_.subscribe();
  }

  // --- Events -------------------------------------------------------------------------------------------

  void request(Time now, const Request& ask) {
    if (held_.contains(ask.id)) return;
    if (!readable(ask)) {
      actions_.refuse(ask.id, kRetryAfter, Reason::unreadable);
      return;
    }
    Customer& customer = quota_.lookUp(now, ask);
    if (const auto no = quota_.admit(customer, ask)) return refuse(ask.id, *no);
    // After admit, which notes the demand: a stranger that asks again is likelier one that asks too much.
    if (quota_.isStranger(customer)) return refuse(ask.id, {pace_.usual(ask.klass), Reason::stranger});
    Held held;
    held.ask = ask;
    held.arrived = now;
    Worker* worker = workers_.pick(now, held);
    quota_.notePressed(now, worker != nullptr);
    if (!worker) return refuse(ask.id, {kRetryAfter, workers_.noWorker()});
    quota_.debit(customer, ask.units, true);
    send(now, held_.emplace(ask.id, held).first->second, *worker);
  }

  Leave leave(Time now, const Request& ask, bool metered) {
    if (!readable(ask)) return {false, kRetryAfter, Reason::unreadable};
    Customer& customer = quota_.lookUp(now, ask);
    if (const auto no = quota_.admit(customer, ask)) return {false, advice(no->wait), no->reason};
    quota_.debit(customer, ask.units, metered);
    quota_.noteOpen(customer, now, 1);
    return {.granted = true};
  }

  void returned(Time now, CustomerId id) {
    Customer* customer = quota_.peek(id);
    if (customer && customer->open > 0) quota_.noteOpen(*customer, now, -1);
  }

  void outcome(Time now, const Outcome& end) {
    const auto found = held_.find(end.id);
    Worker* const worker = workers_.find(end.worker);
    const auto sent = out_.find(outKey(end.id, end.attempt));
    if (sent == out_.end()) return;  // repeated or unknown
    const Flight flight = sent->second;
    out_.erase(sent);
    Customer* customer = quota_.peek(flight.customer);
    if (flight.counts && customer && customer->open > 0) quota_.noteOpen(*customer, now, -1);
    if (worker && workers_.judge(*worker, now, flight, end))
      log(now, "worker ejected: attempts in a row failed");
    if (end.result == Result::ok) budget_ = std::min(kBudgetMost, budget_ + kBudgetStep);
    if (end.result == Result::timeout) budget_ = std::max(0.0, budget_ - 1);
    if (customer && end.usePercent >= 0) quota_.read(*customer, now, end.usePercent);
    if (end.result == Result::ok && end.usePercent < 0) quota_.meter().none(now);
    if (found == held_.end()) return;
    Held& held = found->second;
    held.out = false;
    if (set_.settlesUnits && end.result == Result::ok && customer && end.trueUnits > 0)
      quota_.settle(*customer, now, held.ask.units - end.trueUnits);
    if (end.finished || end.result == Result::ok) {
      held_.erase(found);
      return;
    }
    if (!provesUnrun(end.result) && !held.mayHaveRun) {
      held.mayHaveRun = true;
      held.ranAt = end.worker;
      held.ranSince = held.sentAt;
      if (worker) held.ranZone = worker->listed.zone, held.ranCell = worker->listed.cell;
    }
    if (end.result == Result::moot) return giveUp(held, held.attempts > 1 ? Reason::lost : Reason::time);
    again(now, held);
  }

  void whole(Time now, RequestId id, Time expires) {
    const auto found = held_.find(id);
    if (found == held_.end() || found->second.ask.whole) return;
    Held& held = found->second;
    held.ask.whole = true;
    held.ask.expires = expires;
    held.arrived = now;
    const auto flight = out_.find(outKey(id, held.attempts - 1));
    if (!held.out || flight == out_.end()) return;
    held.sentAt = now;
    count(now, flight->second);
    if (Worker* worker = workers_.find(held.tried.back())) workers_.load(now, flight->second, *worker);
  }

  // What reads a long answer slowly holds up no worker: were it counted, two such readers would have a worker
  // taken for silent.
  void answering(Time now, RequestId id) {
    const auto found = held_.find(id);
    if (found == held_.end() || !found->second.out) return;
    const auto flight = out_.find(outKey(id, found->second.attempts - 1));
    Worker* worker = workers_.find(found->second.tried.back());
    if (flight == out_.end() || !worker) return;
    worker->heardAt = now;
    workers_.unload(flight->second, *worker);
  }

  void clientLeft(Time, RequestId id) { held_.erase(id); }

  void timer(Time now, std::uint64_t tag) {
    if (tag == kAskTag) return actions_.subscribe();
    const auto found = held_.find(static_cast<RequestId>(tag));
    if (found == held_.end() || found->second.out) return;
    again(now, found->second);
  }

  void members(Time now, ListKind kind, const std::vector<Member>& list) {
    if (kind == ListKind::failed) return actions_.setTimer(kRetryAfter, kAskTag);
    workers_.list(now, kind, list);
  }

  void actAs(Time now, double part) {
    quota_.actAs(now, part);
    workers_.actAs(part);
  }

  State handOver(Time now, double part) {
    actAs(now, 1 - part);
    const double theirs = part / quota_.part();
    return written([&](Customer& c) { c.tokens.level *= theirs, c.ceiling.level *= theirs; });
  }

  State remember(Time now) {
    quota_.keep(now);
    return written([](Customer& c) { c.ceiling.level = c.keptNext; });
  }

  void remembered() { quota_.kept(); }

  bool takeOver(Time now, const State& state, double part, std::vector<CustomerId>& out, Kept kept) {
    burlwind::words::Reader unpack{state};
    const std::array<std::uint64_t, kStateHead> head{kStateVersion, pace_.classes(), set_.plans.size()};
    if (state.size() < kStateHead || !std::equal(head.begin(), head.end(), state.begin())) return false;
    unpack.at = kStateHead;
    Core other(set_, 0, now, actions_);
    other.actAs(now, quota_.part());
    other.eachOwn(unpack);
    other.quota_.readTable(now, kept, unpack);
    other.workers_.eachWorker(unpack);
    if (!unpack.whole()) return false;
    burlwind::words::Reader own{state, kStateHead};
    if (kept != Kept::longAgo) eachOwn(own);
    quota_.takeTable(other.quota_, part, kept, out);
    workers_.actAs(part);
    if (kept != Kept::longAgo) workers_.takeWorkers(other.workers_);
    return true;
  }

  Fleet fleet(Time now) const { return workers_.fleet(now); }
  std::size_t customersHeld() const { return quota_.size(); }
  std::size_t requestsHeld() const { return held_.size(); }

 private:
  static constexpr std::uint64_t kAskTag = ~std::uint64_t{0};

  // --- Hand-over: the same lists of fields are read and written, in 64-bit words ------------------------

  template <class Change>
  State written(Change change) {  // with each customer as `change` makes it
    State out{kStateVersion, pace_.classes(), set_.plans.size()};
    burlwind::words::Writer pack{out};
    eachOwn(pack);
    quota_.writeTable(change, pack);
    workers_.eachWorker(pack);
    return out;
  }

  static constexpr std::uint64_t kStateVersion = 1;
  static constexpr std::size_t kStateHead = 3;  // words: the version, how many classes and plans

  // In the order of the first version, whichever part a field belongs to now.
  template <class Do>
  void eachOwn(Do& go) {
    pace_.each(go), quota_.meter().eachMisfit(go);
    workers_.eachMean(go), quota_.meter().eachOwn(go), quota_.eachSince(go);
    workers_.eachLimit(go), quota_.eachPressed(go), workers_.eachWarm(go);
  }

  bool readable(const Request& ask) const {
    return ask.klass < set_.classes.size() && ask.plan < set_.plans.size() && std::isfinite(ask.units) &&
           std::isfinite(ask.expires);
  }

  static std::uint64_t outKey(RequestId id, unsigned attempt) {
    return std::uint64_t{id} << 16 | (attempt & 0xffff);
  }

  // --- Attempts and final answers --------------------------------------------------------------------

  void send(Time now, Held& held, Worker& worker) {
    const ClassSettings& klass = set_.classes[held.ask.klass];
    const Time left = held.ask.expires - now;
    Time timeout = 0;
    const bool last = held.attempts + 1 >= std::min(set_.maxAttempts, kMostAttempts);
    if (klass.repeat != Repeat::unsafe && !last && budget_ >= 1) {
      timeout = std::max(kPatience * pace_.usual(held.ask.klass), kPatienceOfAim * klass.aim);
      if (timeout >= left) timeout = 0;
    }
    held.sentAt = now;
    held.out = true;
    held.tried.push_back(worker.listed.worker);
    Flight& flight = out_[outKey(held.ask.id, held.attempts)] = Flight{held.ask.customer, held.ask.klass};
    ++held.attempts;
    if (held.ask.whole) count(now, flight), workers_.load(now, flight, worker);
    workers_.send(now, worker);
    actions_.send(held.ask.id, worker.listed.worker, timeout);
  }

  // A whole request is with a worker from now on. Before that its attempt is not out: a body that comes for
  // seconds would hold a cap that its plan needs for other requests.
  void count(Time now, Flight& flight) {
    flight.counts = true;
    if (Customer* customer = quota_.peek(flight.customer)) quota_.noteOpen(*customer, now, 1);
  }

  // Another attempt where the class and the time allow one, else the final answer.
  void again(Time now, Held& held) {
    const ClassSettings& klass = set_.classes[held.ask.klass];
    const bool bound = held.mayHaveRun && klass.repeat != Repeat::safe;
    if (now >= held.ask.expires || (klass.lateWorth <= 0 && now > held.arrived + klass.aim))
      return giveUp(held, Reason::time);
    if (held.attempts >= std::min(set_.maxAttempts, kMostAttempts) ||
        (bound && klass.repeat == Repeat::unsafe) || (bound && now > held.ranSince + klass.window) ||
        (held.mayHaveRun && budget_ < 1))
      return giveUp(held, Reason::lost);
    Worker* worker = workers_.pick(now, held);
    if (worker) return send(now, held, *worker);
    if (!held.mayHaveRun || now + kHoldStep >= held.ask.expires) return giveUp(held, workers_.noWorker());
    actions_.setTimer(kHoldStep, held.ask.id);
  }

  // A refusal says that trying again is harmless; where that is not known the answer is a failure.
  void giveUp(Held& held, Reason reason) {
    const ClassSettings& klass = set_.classes[held.ask.klass];
    const RequestId id = held.ask.id;
    const bool harmless = !held.mayHaveRun || klass.repeat == Repeat::safe ||
                          (klass.repeat == Repeat::keyed && klass.scope == Scope::all);
    held_.erase(id);
    if (harmless)
      refuse(id, {kRetryAfter, reason});
    else
      actions_.fail(id, reason);
  }

  Time advice(Time wait) const {
    const Time most = set_.maxRetryAfter > 0 ? set_.maxRetryAfter : wait;
    return std::clamp(wait, 1.0, std::max(1.0, most));
  }

  void refuse(RequestId id, Refusal why) { actions_.refuse(id, advice(why.wait), why.reason); }

  void log(Time now, const char* line) {
    if (now - loggedAt_ < kLogEvery) return;
    loggedAt_ = now;
    actions_.log(line);
  }

  const Settings set_;
  Actions& actions_;
  burlwind::chances::Draws random_;
  burlwind::meter::Pace pace_;
  Quota quota_;
  Workers workers_;
  std::unordered_map<RequestId, Held> held_;
  std::unordered_map<std::uint64_t, Flight> out_;
  double budget_ = kBudgetMost;  // early time-outs and repeats after them that are left
  Time loggedAt_ = -kLogEvery;
};

Gateway::Gateway(const Settings& settings, std::uint64_t salt, Time now, Actions& actions)
    : core_(std::make_unique<Core>(settings, salt, now, actions)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
void Gateway::members(Time now, ListKind kind, const std::vector<Member>& list) {
  core_->members(now, kind, list);
}
void Gateway::request(Time now, const Request& request) { core_->request(now, request); }
void Gateway::outcome(Time now, const Outcome& outcome) { core_->outcome(now, outcome); }
void Gateway::whole(Time now, RequestId id, Time expires) { core_->whole(now, id, expires); }
void Gateway::answering(Time now, RequestId id) { core_->answering(now, id); }
void Gateway::clientLeft(Time now, RequestId id) { core_->clientLeft(now, id); }
void Gateway::timer(Time now, std::uint64_t tag) { core_->timer(now, tag); }
Leave Gateway::leave(Time now, const Request& request, bool metered) {
  return core_->leave(now, request, metered);
}
void Gateway::returned(Time now, CustomerId customer) { core_->returned(now, customer); }
void Gateway::actAs(Time now, double part) { core_->actAs(now, part); }
State Gateway::handOver(Time now, double part) { return core_->handOver(now, part); }
State Gateway::remember(Time now) { return core_->remember(now); }
void Gateway::remembered() { core_->remembered(); }
bool Gateway::takeOver(Time now, const State& state, double part, std::vector<CustomerId>& out, Kept kept) {
  return core_->takeOver(now, state, part, out, kept);
}
Fleet Gateway::fleet(Time now) const { return core_->fleet(now); }
std::size_t Gateway::customersHeld() const { return core_->customersHeld(); }
std::size_t Gateway::requestsHeld() const { return core_->requestsHeld(); }

}  // namespace irisring
