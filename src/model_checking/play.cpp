#include "model_checking/play.hpp"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <utility>

#include "model_checking/core_inspector.hpp"

namespace burlwind::model_checking {
namespace {

constexpr Time kClocksApart = 1'000'000;  // of two replicas at most
constexpr Time kTick = 50;
constexpr Time kJoinPause = 300;
constexpr Time kProcessStallThreshold = 1000;  // the host ticks first after so long a stop
constexpr Time kFirstOrder = 1500;
constexpr Time kLastOrdersBefore = 3000;
constexpr unsigned kLastOrders = 10;
constexpr Time kCalm = 15'000;  // after the last event, until an order must be taken
constexpr unsigned kPlaysPerLarge = 8;
constexpr std::size_t kLargeOrder = 1500;
constexpr std::size_t kRowsShown = 60;
constexpr unsigned kDrawsOfDelays = 4;  // tried before an event is taken for needed

// SplitMix64: a stream of numbers from a seed.
class Numbers {
 public:
  explicit Numbers(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t z = state_ += 0x9e3779b97f4a7c15;
    z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
    z = (z ^ z >> 27) * 0x94d049bb133111eb;
    return z ^ z >> 31;
  }
  double fraction() { return static_cast<double>(next() >> 11) * 0x1p-53; }
  double between(double least, double most) { return least + fraction() * (most - least); }
  unsigned below(unsigned count) { return static_cast<unsigned>(next() % count); }

 private:
  std::uint64_t state_;
};

double drawFraction(void* numbers) { return static_cast<Numbers*>(numbers)->fraction(); }

ClusterShape shapeOf(const Play& play) {
  ClusterShape shape;
  shape.members = play.replicas;
  shape.applicants = 0;
  shape.unchecked = play.unchecked;
  return shape;
}

struct Arrival {
  unsigned from = 0, to = 0;
  LetterPtr letter;  // none: it asks to be a member, or says that it goes
  Id sender = 0;     // of a letter-less one
  bool leaves = false;
};

struct Machine {
  bool up = true;
  unsigned life = 0;
  Time frozenUntil = 0, busyUntil = 0, lastTick = 0, joinAt = 0;
  Time writeTime = 0, slowUntil = 0;
  bool losesPower = false;  // in its next step that writes
  Time powerBackAfter = 0;
  std::deque<Arrival> inbox;  // what came while it could not read
};

class Player {
 public:
  Player(const Play& play, bool withRows)
      : play_(play),
        withRows_(withRows),
        spread_((play.seed + play.delays * 7919) ^ 0x5bd1e995),
        cluster_(shapeOf(play), {&drawFraction, &spread_}),
        machines_(play.replicas) {}

  PlayResult run() {
    for (unsigned i = 0; i < machines_.size(); ++i) scheduleTick(i, i * 7.0);
    for (const PlannedEvent& event : play_.events) at(event.at, [this, &event] { plan(event); });
    const Time last = play_.events.empty() ? 0 : play_.events.back().at;
    for (Time time = last + kCalm - 3000; time < last + kCalm; time += 300) at(time, [this] { order(); });
    at(last + kCalm - kLastOrdersBefore, [this] { committedBeforeCalm_ = result_.committed; });
    const Time end = last + kCalm;
    while (!queue_.empty() && queue_.top().at <= end && !cluster_.violation()) {
      const Item item = queue_.top();
      queue_.pop();
      now_ = item.at;
      item.run();
    }
    result_.violation = cluster_.violation();
    if (!result_.violation && result_.committed == committedBeforeCalm_)
      result_.violation = Violation{Property::goesOn, "no order was taken after all faults had ended"};
    return std::move(result_);
  }

 private:
  struct Item {
    Time at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Item& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  void at(Time time, std::function<void()> run) { queue_.push({time, ++items_, std::move(run)}); }

  // --- Machines ---
  bool awake(unsigned i) const {
    const Machine& m = machines_[i];
    return m.up && now_ >= m.frozenUntil && now_ >= m.busyUntil;
  }
  Time clockOf(unsigned i) const { return now_ + kClocksApart * (i + 1) / (play_.replicas + 1); }

  void scheduleTick(unsigned i, Time delay) {
    const unsigned life = machines_[i].life;
    at(now_ + delay, [this, i, life] {
      if (machines_[i].life != life || !machines_[i].up) return;
      scheduleTick(i, kTick);
      if (awake(i)) wake(i);
    });
  }

  // The turn of a machine's loop: what has come, and its timer; after a long stop the timer first.
  void wake(unsigned i) {
    Machine& m = machines_[i];
    const Time stood = now_ - m.lastTick;
    m.lastTick = now_;
    if (stood > kProcessStallThreshold) tick(i);
    while (!m.inbox.empty() && awake(i)) {
      const Arrival arrival = std::move(m.inbox.front());
      m.inbox.pop_front();
      process(arrival);
    }
    if (stood <= kProcessStallThreshold && awake(i)) tick(i);
  }

  void tick(unsigned i) {
    step(i, "tick", [&](PowerLoss loss, Notes* notes) { return cluster_.tick(i, loss, notes); });
    Machine& m = machines_[i];
    if (!awake(i) || now_ < m.joinAt) return;
    const consensus::Core& core = cluster_.core(i);
    if (core.member() && core.leaderIsKnown(clockOf(i))) return;
    m.joinAt = now_ + kJoinPause;
    for (unsigned j = 0; j < machines_.size(); ++j)
      if (j != i) sendArrival({i, j, nullptr, cluster_.id(i), false}, 0);
  }

  void stop(unsigned i, Time backAfter) {
    Machine& m = machines_[i];
    m.up = false;
    ++m.life;
    m.inbox.clear();
    m.frozenUntil = m.busyUntil = 0;
    m.losesPower = false;
    at(now_ + backAfter, [this, i, life = m.life] {
      if (machines_[i].life == life) start(i);
    });
  }

  void start(unsigned i) {
    Machine& m = machines_[i];
    m.up = true;
    ++m.life;
    m.lastTick = now_;
    cluster_.setClock(i, clockOf(i));
    cluster_.restart(i);
    row(i, "starts", {});
    scheduleTick(i, numbersOf(i, i).between(0, kTick));
  }

  template <class Call>
  void step(unsigned i, const std::string& what, Call call) {
    Machine& m = machines_[i];
    cluster_.setClock(i, clockOf(i));
    Notes notes;
    const bool wasLeader = cluster_.core(i).leads();
    const StepResult result =
        call(m.losesPower ? PowerLoss::atFirstWrite : PowerLoss::none, withRows_ ? &notes : nullptr);
    ++result_.steps;
    result_.committed += result.committed;
    const bool matters = result.writes > 0 || result.committed || result.lostPower ||
                         wasLeader != cluster_.core(i).leads() || cluster_.violation();
    if (matters) row(i, what, notes);
    const Time writeTime = now_ < m.slowUntil ? m.writeTime : 1;
    for (const auto& [letter, writesBefore] : result.sent) {
      const unsigned to = cluster_.replicaOf(letter->to);
      if (to < machines_.size()) sendArrival({i, to, letter, 0, false}, writesBefore * writeTime);
    }
    if (result.writes > 0) m.busyUntil = now_ + result.writes * writeTime;
    if (result.lostPower) stop(i, m.powerBackAfter);
  }

  // --- Messages ---
  Numbers numbersOf(unsigned from, unsigned to) {
    const std::uint64_t count = ++sentOn_[{from, to}];
    return Numbers((play_.seed + play_.delays * 7919) * 1'000'003 + (from * 64 + to) * 0x100000000 + count);
  }

  void sendArrival(const Arrival& arrival, Time after) {
    Numbers numbers = numbersOf(arrival.from, arrival.to);
    const double lot = numbers.fraction();
    if (lot < 0.005) return;  // lost
    const auto slow = slowLinks_.find(std::minmax(arrival.from, arrival.to));
    const bool isSlow = slow != slowLinks_.end() && now_ < slow->second;
    const Time most = isSlow ? 1000 : lot < 0.02 ? 400 : 20;
    at(now_ + after + numbers.between(1, most), [this, arrival] { arrive(arrival); });
    if (lot > 0.99) at(now_ + after + numbers.between(1, 2 * most), [this, arrival] { arrive(arrival); });
  }

  void arrive(const Arrival& arrival) {
    const auto cut = cuts_.find({arrival.from, arrival.to});
    if (cut != cuts_.end() && now_ < cut->second) return;
    if (!machines_[arrival.to].up) return;
    machines_[arrival.to].inbox.push_back(arrival);
    if (awake(arrival.to)) wakeForInbox(arrival.to);
  }

  void wakeForInbox(unsigned i) {
    Machine& m = machines_[i];
    if (now_ - m.lastTick > kProcessStallThreshold) return wake(i);
    while (!m.inbox.empty() && awake(i)) {
      const Arrival arrival = std::move(m.inbox.front());
      m.inbox.pop_front();
      process(arrival);
    }
  }

  void process(const Arrival& arrival) {
    const unsigned i = arrival.to;
    if (arrival.letter) {
      if (cluster_.id(i) != arrival.letter->to) return;
      const std::string what = withRows_ ? "from " + nameOf(arrival.letter->from) + ": " +
                                               model_checking::describe(arrival.letter->message)
                                         : std::string();
      step(i, what,
           [&](PowerLoss loss, Notes* notes) { return cluster_.receive(i, *arrival.letter, loss, notes); });
      return;
    }
    if (cluster_.id(arrival.from) != arrival.sender) return;
    const std::string name = nameOf(arrival.sender);
    if (arrival.leaves)
      step(i, name + " says that it goes",
           [&](PowerLoss loss, Notes* notes) { return cluster_.leave(i, arrival.from, loss, notes); });
    else
      step(i, name + " asks to be a member",
           [&](PowerLoss loss, Notes* notes) { return cluster_.join(i, arrival.from, loss, notes); });
  }

  // --- Planned events ---
  void plan(const PlannedEvent& event) {
    const unsigned i = event.replica;
    Machine& m = machines_[i];
    switch (event.kind) {
      case PlannedKind::order:
        return order();
      case PlannedKind::read:
        return read();
      case PlannedKind::freeze:
        if (!m.up) return;
        m.frozenUntil = now_ + event.span;
        row(i, describe(event), {});
        at(m.frozenUntil, [this, i] {
          if (awake(i)) wakeForInbox(i);
        });
        return;
      case PlannedKind::restart:
        row(i, describe(event), {});
        return stop(i, event.span);
      case PlannedKind::powerLoss:
        m.losesPower = true;
        m.powerBackAfter = event.span;
        return;
      case PlannedKind::powerLossOfAll:
        row(i, describe(event), {});
        for (unsigned j = 0; j < machines_.size(); ++j) stop(j, event.span * (1 + j));
        return;
      case PlannedKind::wipe:
        return loseDisk(event, false);
      case PlannedKind::replace:
        return loseDisk(event, true);
      case PlannedKind::transfer:
        return endOrderly(event);
      case PlannedKind::retire:
        return retire(event);
      case PlannedKind::cut:
        cuts_[{i, event.other}] = now_ + event.span;
        row(i, describe(event), {});
        return;
      case PlannedKind::isolate:
        row(i, describe(event), {});
        for (unsigned j = 0; j < machines_.size(); ++j) cuts_[{i, j}] = cuts_[{j, i}] = now_ + event.span;
        return;
      case PlannedKind::slowDisk:
        m.writeTime = event.writeTime;
        m.slowUntil = now_ + event.span;
        row(i, describe(event), {});
        return;
      case PlannedKind::slowLink:
        slowLinks_[std::minmax(i, event.other)] = now_ + event.span;
        return;
    }
  }

  bool mayLoseDisk() {
    if (cluster_.isWhole()) disksLost_ = 0;
    return disksLost_ < (play_.replicas - 1) / 2;
  }

  void loseDisk(const PlannedEvent& event, bool atAnotherAddress) {
    if (!mayLoseDisk()) return;
    ++disksLost_;
    row(event.replica, describe(event), {});
    stop(event.replica, event.span);
    cluster_.wipe(event.replica, atAnotherAddress);
  }

  void sayGoodbye(unsigned i) {
    step(i, "is about to end",
         [&](PowerLoss loss, Notes* notes) { return cluster_.transferLeadership(i, loss, notes); });
    for (unsigned j = 0; j < machines_.size(); ++j)
      if (j != i) sendArrival({i, j, nullptr, cluster_.id(i), true}, 0);
  }

  void endOrderly(const PlannedEvent& event) {
    if (!awake(event.replica)) return;
    row(event.replica, describe(event), {});
    sayGoodbye(event.replica);
    at(now_ + kJoinPause, [this, event] { stop(event.replica, event.span); });
  }

  void retire(const PlannedEvent& event) {
    if (!awake(event.replica) || !mayLoseDisk()) return;
    row(event.replica, describe(event), {});
    sayGoodbye(event.replica);
    at(now_ + kJoinPause, [this, event] { loseDisk(event, true); });
  }

  void order() {
    for (unsigned i = 0; i < machines_.size(); ++i) {
      if (!awake(i) || !cluster_.core(i).mayPropose()) continue;
      const std::string number = std::to_string(++orders_);
      const std::string word = number + std::string(play_.orderBytes, '.');
      step(i, "order " + number,
           [&](PowerLoss loss, Notes* notes) { return cluster_.propose(i, word, loss, notes); });
    }
  }

  void read() {
    for (unsigned i = 0; i < machines_.size(); ++i)
      if (awake(i) && cluster_.core(i).leads())
        step(i, "read", [&](PowerLoss, Notes* notes) { return cluster_.read(i, notes); });
  }

  void row(unsigned i, std::string what, Notes notes) {
    if (!withRows_) return;
    result_.rows.push_back(
        {static_cast<unsigned>(result_.steps), now_, i, std::move(what), std::move(notes)});
  }

  const Play& play_;
  const bool withRows_;
  Numbers spread_;
  Cluster cluster_;
  std::vector<Machine> machines_;
  std::priority_queue<Item> queue_;
  std::uint64_t items_ = 0;
  std::map<std::pair<unsigned, unsigned>, std::uint64_t> sentOn_;
  std::map<std::pair<unsigned, unsigned>, Time> cuts_;
  std::map<std::pair<unsigned, unsigned>, Time> slowLinks_;
  Time now_ = 0;
  unsigned orders_ = 0, disksLost_ = 0, committedBeforeCalm_ = 0;
  PlayResult result_;
};

PlannedEvent drawFault(Numbers& numbers, unsigned replicas, Time at) {
  static constexpr PlannedKind kinds[] = {
      PlannedKind::freeze,   PlannedKind::freeze,   PlannedKind::restart,       PlannedKind::powerLoss,
      PlannedKind::wipe,     PlannedKind::replace,  PlannedKind::retire,        PlannedKind::transfer,
      PlannedKind::cut,      PlannedKind::cut,      PlannedKind::isolate,       PlannedKind::isolate,
      PlannedKind::slowDisk, PlannedKind::slowLink, PlannedKind::powerLossOfAll};
  PlannedEvent event;
  event.at = at;
  event.kind = kinds[numbers.below(std::size(kinds))];
  event.replica = numbers.below(replicas);
  event.other = (event.replica + 1 + numbers.below(replicas - 1)) % replicas;
  event.span = numbers.fraction() < 0.5 ? numbers.between(50, 900) : numbers.between(500, 5000);
  event.writeTime = numbers.between(20, 900);
  if (event.kind == PlannedKind::powerLossOfAll) event.span = numbers.between(20, 300);
  return event;
}

const char* nameOf(PlannedKind kind) {
  switch (kind) {
    case PlannedKind::order:
      return "an operator's order";
    case PlannedKind::read:
      return "a read";
    case PlannedKind::freeze:
      return "stands still";
    case PlannedKind::restart:
      return "the process ends, and starts";
    case PlannedKind::powerLoss:
      return "loses power in its next write, and is back";
    case PlannedKind::powerLossOfAll:
      return "all lose power, and are back one by one";
    case PlannedKind::wipe:
      return "its disk is lost, and it starts empty";
    case PlannedKind::replace:
      return "it is lost, and another address takes its place";
    case PlannedKind::transfer:
      return "is ended in order, and starts";
    case PlannedKind::retire:
      return "says that it goes, and another address takes its place";
    case PlannedKind::cut:
      return "is not heard by one";
    case PlannedKind::isolate:
      return "is cut off";
    case PlannedKind::slowDisk:
      return "has a slow disk";
    case PlannedKind::slowLink:
      return "has a slow link to one";
  }
  return "";
}

}  // namespace

std::string describe(const PlannedEvent& event) {
  const bool ofOne = event.kind != PlannedKind::order && event.kind != PlannedKind::read &&
                     event.kind != PlannedKind::powerLossOfAll;
  const bool ofTwo = event.kind == PlannedKind::cut || event.kind == PlannedKind::slowLink;
  char text[160];
  std::snprintf(text, sizeof text, "%s%s%s%s",
                ofOne ? std::string(1, static_cast<char>('a' + event.replica)).c_str() : "", ofOne ? " " : "",
                nameOf(event.kind),
                ofTwo ? (": " + std::string(1, static_cast<char>('a' + event.other))).c_str() : "");
  std::string out = text;
  if (event.span > 0) out += ", " + std::to_string(static_cast<long>(event.span)) + " ms";
  if (event.kind == PlannedKind::slowDisk)
    out += ", " + std::to_string(static_cast<long>(event.writeTime)) + " ms a write";
  return out;
}

Play drawPlay(std::uint64_t seed, unsigned replicas, unsigned orders) {
  Numbers numbers(seed);
  Play play;
  play.seed = seed;
  play.replicas = replicas;
  // In some the state grows until it travels in pieces.
  if (numbers.below(kPlaysPerLarge) == 0) play.orderBytes = kLargeOrder;
  const Time ordersApart = numbers.between(30, 200);
  const Time faultsApart = numbers.between(150, 3000);
  const Time end = kFirstOrder + orders * ordersApart;
  for (unsigned i = 0; i < orders; ++i)
    play.events.push_back({kFirstOrder + i * ordersApart, PlannedKind::order, 0, 0, 0, 0});
  Time at = kFirstOrder;
  for (; at < end; at += numbers.between(100, 1000))
    play.events.push_back({at, PlannedKind::read, 0, 0, 0, 0});
  for (at = kFirstOrder; at < end; at += numbers.between(0, 2 * faultsApart))
    play.events.push_back(drawFault(numbers, replicas, at));
  std::stable_sort(play.events.begin(), play.events.end(),
                   [](const PlannedEvent& a, const PlannedEvent& b) { return a.at < b.at; });
  return play;
}

PlayResult run(const Play& play, bool withRows) { return Player(play, withRows).run(); }

namespace {

bool breaks(const Play& play, Property property) {
  const PlayResult result = run(play);
  return result.violation && result.violation->property == property;
}

// Leaves `count` events out from `from` on; where the rest breaks the property by none of some draws of the
// delays, nothing.
std::optional<Play> without(const Play& play, std::size_t from, std::size_t count, Property property) {
  Play trial = play;
  const auto begin = trial.events.begin() + static_cast<std::ptrdiff_t>(from);
  const auto left = static_cast<std::size_t>(trial.events.end() - begin);
  trial.events.erase(begin, begin + static_cast<std::ptrdiff_t>(std::min(count, left)));
  for (unsigned draws = 0; draws < kDrawsOfDelays; ++draws, ++trial.delays)
    if (breaks(trial, property)) return trial;
  return std::nullopt;
}

}  // namespace

Play shrink(const Play& play, Property property) {
  Play least = play;
  for (bool smaller = true; std::exchange(smaller, false);)
    for (std::size_t part = std::max<std::size_t>(least.events.size() / 2, 1); part > 0; part /= 2)
      for (std::size_t from = 0; from < least.events.size();) {
        if (auto less = without(least, from, part, property)) {
          least = std::move(*less);
          smaller = true;
        } else {
          from += part;
        }
      }
  return least;
}

std::string drawPlayReport(const Play& play, const PlayResult& result) {
  std::string out = "planned events:\n";
  for (const PlannedEvent& event : play.events) {
    char time[32];
    std::snprintf(time, sizeof time, "%8.0f ms  ", event.at);
    out += time + describe(event) + "\n";
  }
  std::vector<std::string> columns;
  for (unsigned i = 0; i < play.replicas; ++i) columns.emplace_back(1, static_cast<char>('a' + i));
  const std::size_t skipped = result.rows.size() > kRowsShown ? result.rows.size() - kRowsShown : 0;
  out += "the last steps that wrote, committed or changed who leads (" + std::to_string(skipped) +
         " before them):\n";
  out +=
      drawTimeline(columns, {result.rows.begin() + static_cast<std::ptrdiff_t>(skipped), result.rows.end()});
  return out;
}

}  // namespace burlwind::model_checking
