// Operators as clients of the registries: they lose answers, call any registry, repeat an order unchanged
// until a clear answer comes, and some copies of their calls arrive late.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "order_simulation/cluster.hpp"

namespace burlwind::order_simulation {

struct OperatorHabits {
  double lostAnswers = 0.1;  // shares
  double lateCopies = 0.1;
  double invalidOrders = 0.15;
  double mostLate = 10000;  // ms
  double silence = 1000;    // ms, then the next registry is asked
  double mostPause = 1200;  // ms between two calls of its own
};

// Replaces the configuration again and again, on top of what it read or put last.
class ConfigOperator : public std::enable_shared_from_this<ConfigOperator> {
 public:
  ConfigOperator(Cluster& cluster, unsigned name, OperatorHabits habits)
      : cluster_(cluster), name_(name), habits_(habits) {}
  void start(double until);

 private:
  void next();
  void read();
  void order();
  void send(const ConfigOrder& order, unsigned attempt);
  void sendLateCopy(const ConfigOrder& order);
  Cluster& cluster_;
  const unsigned name_;
  const OperatorHabits habits_;
  double until_ = 0;
  std::uint64_t version_ = 0;  // the newest that it knows
  unsigned orders_ = 0;
};

// Empties one zone and takes that back, again and again.
class EvacuationOperator : public std::enable_shared_from_this<EvacuationOperator> {
 public:
  EvacuationOperator(Cluster& cluster, std::string zone, OperatorHabits habits)
      : cluster_(cluster), zone_(std::move(zone)), habits_(habits) {}
  void start(double until);

 private:
  void begin();
  void finish();
  void send(const std::string& what, unsigned attempt, std::function<void()> acknowledged);
  Cluster& cluster_;
  const std::string zone_;
  const OperatorHabits habits_;
  double until_ = 0;
};

}  // namespace burlwind::order_simulation
