#include "model_checking/world.hpp"

#include <algorithm>
#include <utility>

#include "model_checking/core_inspector.hpp"

namespace burlwind::model_checking {
namespace {

// Longer than the shortest election timeout, shorter than what the host itself takes for a stop.
constexpr Time kPause = 900;

ClusterShape shapeOf(const Scenario& scenario) {
  ClusterShape shape;
  shape.timeouts = scenario.timeouts;
  shape.members = scenario.members;
  shape.applicants = scenario.applicants;
  shape.unchecked = scenario.unchecked;
  return shape;
}

}  // namespace

World::World(const Scenario& scenario)
    : cluster_(shapeOf(scenario), {}), timeouts_(scenario.timeouts), members_(scenario.members) {
  begin(scenario.start);
  budget_ = scenario.budget;
}

void World::act(EventKind kind, unsigned replica, unsigned other) {
  apply({kind, static_cast<std::uint8_t>(replica), static_cast<std::uint8_t>(other), PowerLoss::none, 0});
}

void World::begin(Start start) {
  if (start == Start::cold) return;
  act(EventKind::election, 0);
  settle();
  if (start == Start::settled) return;
  if (start == Start::divided || start == Start::reelected) beDivided();
  if (start == Start::reelected) beReelected();
  if (start == Start::divided || start == Start::reelected) return;
  act(EventKind::propose, 0);
  settle();
  if (start == Start::silent || start == Start::learner) beSilent();
  if (start == Start::learner) beLearner();
}

void World::deliverAllTo(unsigned replica) {
  const Id receiver = cluster_.id(replica);
  const auto isHis = [receiver](const LetterPtr& letter) { return letter->to == receiver; };
  for (auto his = letters_.begin();
       (his = std::find_if(letters_.begin(), letters_.end(), isHis)) != letters_.end();)
    apply({EventKind::deliver, static_cast<std::uint8_t>(replica), 0, PowerLoss::none, (*his)->fingerprint});
}

// Delivers all that is on its way until nothing is; a heartbeat tells the followers what is committed.
void World::settle() {
  for (unsigned heartbeats = 0;; ++heartbeats) {
    while (!letters_.empty())
      for (unsigned i = 0; i < cluster_.size(); ++i) deliverAllTo(i);
    if (heartbeats == 2) return;
    act(EventKind::heartbeat, 0);
  }
}

void World::beSilent() {
  const consensus::Timeouts& timeouts = timeouts_;
  const unsigned last = members_ - 1;
  for (Time silent = 0; silent <= timeouts.gone; silent += timeouts.heartbeat) {
    act(EventKind::heartbeat, 0);
    for (unsigned i = 1; i < last; ++i) deliverAllTo(i);
    deliverAllTo(0);
    letters_.clear();
  }
}

void World::beLearner() {
  const unsigned last = members_ - 1;
  act(EventKind::replace, last);
  act(EventKind::join, 0, last);
  deliverAllTo(last);
}

void World::beDivided() {
  act(EventKind::propose, 0);
  letters_.clear();
  act(EventKind::pause, 2);
  act(EventKind::election, 1);
  for (unsigned turns = 0; turns < 2; ++turns) {
    deliverAllTo(2);
    deliverAllTo(1);
  }
  letters_.clear();
  if (cluster_.core(1).record().lastTerm != cluster_.core(1).record().term) {
    // A core that makes no entry when it begins to lead: a planted bug.
    act(EventKind::heartbeat, 1);
    deliverAllTo(2);
    deliverAllTo(1);
    act(EventKind::propose, 1);
    letters_.clear();
  }
  act(EventKind::heartbeat, 1);  // without the state, which it has just sent
  deliverAllTo(0);
  letters_.clear();
  for (unsigned i = 0; i < members_; ++i) act(EventKind::pause, i);
  act(EventKind::heartbeat, 1);  // it steps down
  letters_.clear();
}

void World::beReelected() {
  act(EventKind::election, 0);
  for (unsigned turns = 0; turns < 2; ++turns) {
    deliverAllTo(2);
    deliverAllTo(0);
  }
}

Fingerprint World::fingerprint() const {
  FingerprintBuilder out;
  out.add(cluster_.fingerprint());
  out.add(letters_.size());
  for (const auto& letter : letters_) out.add(letter->fingerprint);
  for (const unsigned left : {orders_, budget_.orders, budget_.reads, budget_.elections, budget_.heartbeats,
                              budget_.pauses, budget_.repeats, budget_.restarts, budget_.powerLosses,
                              budget_.disksLost, budget_.joins, budget_.leaves, budget_.transfers})
    out.add(left);
  return out.result();
}

void World::addSteps(std::vector<Event>& out, Event event) const {
  out.push_back(event);
  if (budget_.powerLosses == 0) return;
  event.loss = PowerLoss::atFirstWrite;
  out.push_back(event);
}

std::vector<Event> World::events() const {
  std::vector<Event> out;
  for (const auto& letter : letters_) {
    const auto receiver = static_cast<std::uint8_t>(cluster_.replicaOf(letter->to));
    addSteps(out, {EventKind::deliver, receiver, 0, PowerLoss::none, letter->fingerprint});
    if (budget_.repeats > 0)
      out.push_back({EventKind::repeat, receiver, 0, PowerLoss::none, letter->fingerprint});
  }
  for (unsigned i = 0; i < cluster_.size(); ++i) {
    addClockEvents(out, i);
    addLeaderEvents(out, i);
    addFaults(out, i);
  }
  return out;
}

void World::addClockEvents(std::vector<Event>& out, unsigned replica) const {
  const auto i = static_cast<std::uint8_t>(replica);
  const bool leads = CoreInspector::isLeader(cluster_.core(replica));
  if (leads && budget_.heartbeats > 0) addSteps(out, {EventKind::heartbeat, i, 0, PowerLoss::none, 0});
  // Who is no member waits, but is never a candidate.
  if (!leads && budget_.elections > 0 && cluster_.core(replica).member())
    addSteps(out, {EventKind::election, i, 0, PowerLoss::none, 0});
  if (budget_.pauses > 0 && cluster_.core(replica).member())
    out.push_back({EventKind::pause, i, 0, PowerLoss::none, 0});
}

void World::addLeaderEvents(std::vector<Event>& out, unsigned replica) const {
  const auto i = static_cast<std::uint8_t>(replica);
  const consensus::Core& core = cluster_.core(replica);
  if (!CoreInspector::isLeader(core)) return;
  if (budget_.orders > 0 && core.mayPropose()) addSteps(out, {EventKind::propose, i, 0, PowerLoss::none, 0});
  if (budget_.reads > 0 && core.leads()) out.push_back({EventKind::read, i, 0, PowerLoss::none, 0});
  if (budget_.transfers > 0) addSteps(out, {EventKind::transfer, i, 0, PowerLoss::none, 0});
  for (unsigned other = 0; other < cluster_.size(); ++other) {
    const auto j = static_cast<std::uint8_t>(other);
    if (other == replica) continue;
    if (budget_.joins > 0 && !cluster_.core(other).member() &&
        !CoreInspector::isApplicant(core, cluster_.id(other)))
      addSteps(out, {EventKind::join, i, j, PowerLoss::none, 0});
    if (budget_.leaves > 0 && cluster_.core(other).member())
      addSteps(out, {EventKind::leave, i, j, PowerLoss::none, 0});
  }
}

void World::addFaults(std::vector<Event>& out, unsigned replica) const {
  const auto i = static_cast<std::uint8_t>(replica);
  if (!cluster_.core(replica).member()) return;
  if (budget_.restarts > 0) out.push_back({EventKind::restart, i, 0, PowerLoss::none, 0});
  if (budget_.disksLost == 0) return;
  out.push_back({EventKind::wipe, i, 0, PowerLoss::none, 0});
  out.push_back({EventKind::replace, i, 0, PowerLoss::none, 0});
}

LetterPtr World::find(Fingerprint letter) const {
  const auto found = std::find_if(letters_.begin(), letters_.end(),
                                  [letter](const LetterPtr& l) { return l->fingerprint == letter; });
  return found == letters_.end() ? nullptr : *found;
}

bool World::apply(const Event& event, Notes* notes) {
  const std::optional<StepResult> result = step(event, notes);
  if (!result) return false;
  send(result->sent);
  dropVoid();
  return true;
}

unsigned* World::budgetOf(EventKind kind) {
  switch (kind) {
    case EventKind::deliver:
      return nullptr;
    case EventKind::repeat:
      return &budget_.repeats;
    case EventKind::election:
      return &budget_.elections;
    case EventKind::heartbeat:
      return &budget_.heartbeats;
    case EventKind::propose:
      return &budget_.orders;
    case EventKind::read:
      return &budget_.reads;
    case EventKind::join:
      return &budget_.joins;
    case EventKind::leave:
      return &budget_.leaves;
    case EventKind::transfer:
      return &budget_.transfers;
    case EventKind::pause:
      return &budget_.pauses;
    case EventKind::restart:
      return &budget_.restarts;
    case EventKind::wipe:
    case EventKind::replace:
      return &budget_.disksLost;
  }
  return nullptr;
}

std::optional<StepResult> World::step(const Event& event, Notes* notes) {
  const auto spend = [](unsigned* left) {
    if (left && *left > 0) --*left;
  };
  spend(budgetOf(event.kind));
  const bool ofLetter = event.kind == EventKind::deliver || event.kind == EventKind::repeat;
  if (ofLetter && !find(event.letter)) return std::nullopt;
  StepResult result = perform(event, notes);
  if (event.loss == PowerLoss::none) return result;
  if (!result.lostPower) return std::nullopt;
  spend(&budget_.powerLosses);
  return result;
}

StepResult World::perform(const Event& event, Notes* notes) {
  const unsigned replica = event.replica;
  switch (event.kind) {
    case EventKind::deliver:
    case EventKind::repeat:
      return deliver(event, notes);
    case EventKind::election:
    case EventKind::heartbeat:
      return tickAtDeadline(event, notes);
    case EventKind::propose:
      return propose(event, notes);
    case EventKind::read:
      return cluster_.read(replica, notes);
    case EventKind::join:
      return cluster_.join(replica, event.other, event.loss, notes);
    case EventKind::leave:
      return cluster_.leave(replica, event.other, event.loss, notes);
    case EventKind::transfer:
      return cluster_.transferLeadership(replica, event.loss, notes);
    case EventKind::pause:
      pause(replica, notes);
      break;
    case EventKind::restart:
      cluster_.restart(replica);
      break;
    case EventKind::wipe:
    case EventKind::replace:
      cluster_.wipe(replica, event.kind == EventKind::replace);
      if (notes) notes->push_back("starts empty, as " + nameOf(cluster_.id(replica)));
      break;
  }
  return {};
}

StepResult World::deliver(const Event& event, Notes* notes) {
  const LetterPtr letter = find(event.letter);
  if (event.kind == EventKind::deliver) std::erase(letters_, letter);
  return cluster_.receive(event.replica, *letter, event.loss, notes);
}

StepResult World::tickAtDeadline(const Event& event, Notes* notes) {
  const Time deadline = CoreInspector::deadline(cluster_.core(event.replica));
  cluster_.setClock(event.replica, std::max(deadline, cluster_.now(event.replica)));
  return cluster_.tick(event.replica, event.loss, notes);
}

StepResult World::propose(const Event& event, Notes* notes) {
  const std::string word(1, static_cast<char>('u' + orders_++));
  if (notes) notes->push_back("order " + word);
  return cluster_.propose(event.replica, word, event.loss, notes);
}

void World::pause(unsigned replica, Notes* notes) {
  cluster_.setClock(replica, cluster_.now(replica) + kPause);
  if (notes) notes->push_back("stands still for " + std::to_string(static_cast<long>(kPause)) + " ms");
}

void World::send(const std::vector<Sent>& sent) {
  for (const auto& [letter, writes] : sent) {
    const auto place = std::lower_bound(
        letters_.begin(), letters_.end(), letter,
        [](const LetterPtr& a, const LetterPtr& b) { return a->fingerprint < b->fingerprint; });
    if (place != letters_.end() && (*place)->fingerprint == letter->fingerprint) continue;
    letters_.insert(place, letter);
  }
}

void World::dropVoid() {
  std::erase_if(letters_, [this](const LetterPtr& letter) { return cluster_.isVoid(*letter); });
}

std::string World::describe(const Event& event) const {
  const std::string loss = event.loss == PowerLoss::none ? "" : " (loses power)";
  switch (event.kind) {
    case EventKind::deliver:
    case EventKind::repeat: {
      const LetterPtr letter = find(event.letter);
      if (!letter) return "no such message";
      return "from " + nameOf(letter->from) + ": " + model_checking::describe(letter->message) +
             (event.kind == EventKind::repeat ? " (it arrives once more)" : "") + loss;
    }
    case EventKind::election:
      return "election timeout" + loss;
    case EventKind::heartbeat:
      return "heartbeat" + loss;
    case EventKind::pause:
      return "pause";
    case EventKind::propose:
      return "an operator's order" + loss;
    case EventKind::read:
      return "a read";
    case EventKind::restart:
      return "the process ends and starts";
    case EventKind::wipe:
      return "its disk is lost";
    case EventKind::replace:
      return "replaced by a machine at another address";
    case EventKind::join:
      return nameOf(cluster_.id(event.other)) + " asks to be a member" + loss;
    case EventKind::leave:
      return nameOf(cluster_.id(event.other)) + " says that it goes" + loss;
    case EventKind::transfer:
      return "is about to end" + loss;
  }
  return nameOf(cluster_.id(event.replica));
}

}  // namespace burlwind::model_checking
