#include "rehearsal/load.hpp"

#include <algorithm>
#include <cmath>

#include "faults/random.hpp"

namespace burlwind::rehearsal {

using faults::Hash;
using faults::Random;
namespace {

constexpr std::uint64_t kCustomerIds = std::uint64_t{1} << 33;

std::vector<Customer> drawCustomers(const Scenario& scenario, std::uint64_t seed) {
  std::vector<Customer> out;
  Random random(seed, "customers");
  for (unsigned plan = 0; plan < scenario.plans.size(); ++plan) {
    const PlanSpec& spec = scenario.plans[plan];
    for (unsigned i = 0; i < spec.customers; ++i) {
      Customer customer;
      customer.id = random.next() % kCustomerIds;
      customer.plan = plan;
      customer.first = static_cast<unsigned>(random.below(scenario.gatekeepers.count));
      const double spread = std::round(scenario.clients.spread * scenario.gatekeepers.count);
      customer.spread = std::clamp(static_cast<unsigned>(spread), std::min(2u, scenario.gatekeepers.count),
                                   scenario.gatekeepers.count);
      // The heavy ones are the first of each plan, so that their number is as the scenario says.
      const bool heavy = i < std::lround(spec.heavyShare * spec.customers);
      customer.askedPerS = spec.rate * (heavy ? spec.heavyTimes : spec.use * random.between(0.6, 1.4));
      out.push_back(customer);
    }
  }
  return out;
}

double hotness(const Scenario& scenario, unsigned customer, double at) {
  double out = 1;
  for (const FaultSpec& fault : scenario.faults)
    if (fault.kind == FaultKind::hotCustomer && fault.aims(customer) && fault.activeAt(at)) out *= fault.size;
  return out;
}

double mostLoad(const Scenario& scenario, unsigned customer) {
  double out = *std::max_element(scenario.load.begin(), scenario.load.end());
  for (const FaultSpec& fault : scenario.faults)
    if (fault.kind == FaultKind::hotCustomer && fault.aims(customer)) out *= fault.size;
  return out;
}

unsigned drawClass(const Scenario& scenario, Random& random) {
  double all = 0;
  for (const ClassSpec& spec : scenario.classes) all += spec.share;
  double at = random.between(0, all);
  for (unsigned i = 0; i + 1 < scenario.classes.size(); ++i)
    if ((at -= scenario.classes[i].share) < 0) return i;
  return static_cast<unsigned>(scenario.classes.size() - 1);
}

std::uint64_t digestOf(const Scenario& scenario, const LoadPlan& plan) {
  Hash hash;
  for (const Arrival& arrival : plan.arrivals)
    hash.add(arrival.at)
        .add(plan.customers[arrival.customer].id)
        .add(std::uint64_t{arrival.klass})
        .add(std::uint64_t{arrival.gatekeeper})
        .add(static_cast<double>(arrival.work));
  for (const FaultSpec& fault : scenario.faults) {
    hash.add(nameOf(fault.kind)).add(fault.startMs).add(fault.lengthMs).add(fault.size);
    for (const unsigned target : fault.targets) hash.add(std::uint64_t{target});
  }
  return hash.value();
}

}  // namespace

unsigned gatekeeperOf(const Scenario& scenario, const Customer& customer, double at, double draw,
                      std::uint64_t seed) {
  const auto epoch = static_cast<std::uint64_t>(at / (1000 * scenario.clients.shiftS));
  Random random(seed ^ customer.id, "weights", epoch);
  std::vector<double> weights;
  double all = 0;
  for (unsigned i = 0; i < customer.spread; ++i) all += weights.emplace_back(random.between(0.3, 1.7));
  double left = draw * all;
  unsigned chosen = 0;
  while (chosen + 1 < customer.spread && (left -= weights[chosen]) >= 0) ++chosen;
  return (customer.first + chosen) % scenario.gatekeepers.count;
}

// Poisson arrivals of each customer at its highest rate, thinned to the rate of the moment (Lewis, Shedler
// 1979).
LoadPlan planLoad(const Scenario& scenario, std::uint64_t seed) {
  LoadPlan plan;
  plan.customers = drawCustomers(scenario, seed);
  for (unsigned i = 0; i < plan.customers.size(); ++i) {
    const Customer& customer = plan.customers[i];
    Random random(seed, "arrivals", i);
    const double most = mostLoad(scenario, i);
    if (customer.askedPerS * most <= 0) continue;
    const double gap = 1000 / (customer.askedPerS * most);
    for (double at = random.exponential(gap); at < scenario.lengthMs; at += random.exponential(gap)) {
      if (!random.chance(scenario.loadAt(at) * hotness(scenario, i, at) / most)) continue;
      Arrival arrival;
      arrival.at = at;
      arrival.customer = i;
      arrival.klass = static_cast<std::uint8_t>(drawClass(scenario, random));
      arrival.gatekeeper =
          static_cast<std::uint8_t>(gatekeeperOf(scenario, customer, at, random.unit(), seed));
      const ClassSpec& klass = scenario.classes[arrival.klass];
      arrival.work =
          static_cast<float>(klass.cv > 0 ? random.lognormal(klass.workMs, klass.cv) : klass.workMs);
      if (random.chance(scenario.clients.leaveShare))
        arrival.leaves = static_cast<float>(random.between(0.05, 0.8) * klass.aimMs);
      if (scenario.checkers.badShare > 0) arrival.good = !random.chance(scenario.checkers.badShare);
      plan.arrivals.push_back(arrival);
    }
  }
  std::stable_sort(plan.arrivals.begin(), plan.arrivals.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  plan.digest = digestOf(scenario, plan);
  return plan;
}

}  // namespace burlwind::rehearsal
