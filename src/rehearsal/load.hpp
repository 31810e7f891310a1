// The clients' arrivals of a whole run, drawn before it begins: who asks what, when, through which
// gatekeeper, and how much work it is. Pure: the same scenario and seed give the same plan, on any machine.
// Arrivals do not wait for answers (open loop); a request's time counts from when it was meant to be sent.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rehearsal/scenario.hpp"

namespace burlwind::rehearsal {

struct Customer {
  std::uint64_t id = 0;
  unsigned plan = 0;
  unsigned first = 0, spread = 1;  // its gatekeepers: so many in a row, counted round
  double askedPerS = 0;
};

struct Arrival {
  double at = 0;  // ms from the begin
  std::uint32_t customer = 0;
  std::uint8_t klass = 0;
  std::uint8_t gatekeeper = 0;
  float work = 0;    // ms of a core
  float leaves = 0;  // the client leaves so many ms after the begin of its wait; 0: it stays
  bool good = true;  // it proves who it is
};

struct LoadPlan {
  std::vector<Customer> customers;
  std::vector<Arrival> arrivals;  // by time
  std::uint64_t digest = 0;       // of arrivals and faults
};

LoadPlan planLoad(const Scenario& scenario, std::uint64_t seed);

// The gatekeeper through which a customer comes at that time: its weights shift now and then.
unsigned gatekeeperOf(const Scenario& scenario, const Customer& customer, double at, double draw,
                      std::uint64_t seed);

}  // namespace burlwind::rehearsal
