#include "order_simulation/simulation.hpp"

#include <algorithm>
#include <memory>

#include "order_simulation/cluster.hpp"
#include "order_simulation/operators.hpp"

namespace burlwind::order_simulation {
namespace {

constexpr double kBetweenFaultsLeast = 300;
constexpr double kBetweenFaultsMost = 4000;
constexpr double kLongCut = 20000;
constexpr double kBusyPause = 200;
constexpr double kUnnoticedLeast = 600;
constexpr double kUnnoticedMost = 990;
constexpr double kFreezes[] = {600, 900, 1200, 3000, 20000};

class Faults {
 public:
  Faults(Cluster& cluster, Focus focus, double until, std::vector<std::string>& log)
      : cluster_(cluster), focus_(focus), until_(until), log_(log) {}

  void next() {
    cluster_.events.after(cluster_.draw(kBetweenFaultsLeast, kBetweenFaultsMost), [this] {
      if (cluster_.events.now() >= until_) return;
      if (focus_ == Focus::wakes)
        freezeUnnoticed(cluster_.leader().value_or(0));
      else
        one();
      next();
    });
  }

  void mendAll() {
    cluster_.network.healAll();
    for (unsigned i = 0; i < cluster_.size(); ++i) {
      cluster_.stores[i]->setWriteTime(kWriteTime);
      cluster_.stores[i]->process.thaw();
      cluster_.registries[i]->process.thaw();
      if (!cluster_.stores[i]->process.up()) cluster_.stores[i]->start();
      if (!cluster_.registries[i]->process.up()) cluster_.registries[i]->start();
    }
  }

 private:
  static constexpr double kWriteTime = 2;

  // The leader more often than another.
  unsigned target() {
    const auto leader = cluster_.leader();
    return leader && cluster_.chance(0.5) ? *leader : cluster_.pick(cluster_.size());
  }

  void one() {
    const unsigned machine = target();
    switch (cluster_.pick(7)) {
      case 0:
        return cut(machine, true, true);
      case 1:
        return cluster_.chance(0.5) ? cut(machine, true, false) : cut(machine, false, true);
      case 2:
        return restart(*cluster_.stores[machine], machine, "store");
      case 3:
        return restart(*cluster_.registries[machine], machine, "registry");
      case 4:
        return freeze(cluster_.stores[machine]->process, machine, "store");
      case 5:
        return freeze(cluster_.registries[machine]->process, machine, "registry");
      default:
        return cluster_.chance(0.5) ? wipe(machine) : slowDisk(machine);
    }
  }

  void told(const std::string& what, unsigned machine, double span) {
    log_.push_back(std::to_string(static_cast<long>(cluster_.events.now())) + " " + what + " " +
                   std::to_string(machine) + " for " + std::to_string(static_cast<long>(span)));
  }

  void cut(unsigned machine, bool out, bool in) {
    const double span = cluster_.chance(0.3) ? kLongCut : cluster_.draw(300, 6000);
    told(out && in ? "cut" : out ? "mute" : "deaf", machine, span);
    for (unsigned other = 0; other < cluster_.size(); ++other) {
      if (other == machine) continue;
      if (out) cluster_.network.cut(machine, other);
      if (in) cluster_.network.cut(other, machine);
    }
    cluster_.events.after(span, [this, machine] {
      for (unsigned other = 0; other < cluster_.size(); ++other) {
        cluster_.network.heal(machine, other);
        cluster_.network.heal(other, machine);
      }
    });
  }

  template <class Node>
  void restart(Node& node, unsigned machine, const char* name) {
    if (!node.process.up()) return;
    const double span = cluster_.draw(50, 3000);
    told(std::string("kill ") + name, machine, span);
    node.kill();
    startLater(node, span);
  }

  template <class Node>
  void startLater(Node& node, double span) {
    cluster_.events.after(span, [&node] {
      if (!node.process.up()) node.start();
    });
  }

  void freeze(Process& process, unsigned machine, const char* name) {
    const double span = kFreezes[cluster_.pick(std::size(kFreezes))];
    told(std::string("freeze ") + name, machine, span);
    process.freeze();
    cluster_.events.after(span, [&process] { process.thaw(); });
  }

  void freezeUnnoticed(unsigned machine) {
    const double span = cluster_.draw(kUnnoticedLeast, kUnnoticedMost);
    told("freeze store", machine, span);
    Process& process = cluster_.stores[machine]->process;
    process.freeze();
    cluster_.events.after(span, [&process] { process.thaw(); });
  }

  void slowDisk(unsigned machine) {
    const double span = cluster_.draw(1000, 5000);
    told("slow disk", machine, span);
    cluster_.stores[machine]->setWriteTime(cluster_.draw(20, 900));
    cluster_.events.after(span, [this, machine] { cluster_.stores[machine]->setWriteTime(kWriteTime); });
  }

  // A disk is lost only while all stores hold the same entry, as members: the agreement's assumption is that
  // of each set of members, also of the one before that is still in force, a majority keeps its disk.
  void wipe(unsigned machine) {
    const auto leader = cluster_.leader();
    if (!leader) return;
    const auto& record = cluster_.stores[*leader]->service()->record();
    for (const auto& store : cluster_.stores) {
      const auto& disk = store->disk();
      const bool same = disk.lastTerm == record.lastTerm && disk.index == record.index;
      const auto isStore = [&](const rpc::Member& member) { return member.id == disk.self; };
      const bool member = std::any_of(disk.members.begin(), disk.members.end(), isStore);
      if (!store->process.up() || !same || !member || !disk.former.empty()) return;
    }
    const double span = cluster_.draw(50, 2000);
    told("wipe", machine, span);
    cluster_.stores[machine]->kill();
    cluster_.stores[machine]->wipe();
    startLater(*cluster_.stores[machine], span);
  }

  Cluster& cluster_;
  const Focus focus_;
  const double until_;
  std::vector<std::string>& log_;
};

config_store::State stateAtEnd(const Cluster& cluster) {
  config_store::State state;
  if (const auto leader = cluster.leader())
    config_store::unpack(cluster.stores[*leader]->service()->record().state, state);
  return state;
}

}  // namespace

SimulationReport simulate(const SimulationOptions& options) {
  SimulationReport report;
  Cluster cluster(options.machines, options.seed);
  Faults faults(cluster, options.focus, options.faultsFor, report.faults);
  OperatorHabits habits;
  if (options.focus == Focus::wakes) habits.mostPause = kBusyPause;
  for (unsigned i = 0; i < options.configOperators; ++i)
    std::make_shared<ConfigOperator>(cluster, i, habits)->start(options.faultsFor);
  for (const char* zone : {"a", "b"})
    std::make_shared<EvacuationOperator>(cluster, zone, OperatorHabits{})->start(options.faultsFor);
  faults.next();
  cluster.run(options.faultsFor);
  faults.mendAll();
  cluster.run(options.calmFor);
  const auto leader = cluster.leader();
  cluster.history.finish(stateAtEnd(cluster), leader.has_value());
  report.violations = cluster.history.violations();
  report.acknowledged = cluster.history.acknowledged();
  report.refused = cluster.history.refused();
  report.reads = cluster.history.reads();
  report.evacuations = cluster.history.evacuations();
  if (leader) report.terms = cluster.stores[*leader]->service()->record().term;
  return report;
}

}  // namespace burlwind::order_simulation
