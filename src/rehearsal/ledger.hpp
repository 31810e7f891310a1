// The quotas of all customers, kept exactly and over all gatekeepers: the store (rate and burst), the
// attempts out, the ceiling, and the meter's reading of use, by periods and late. Pure: time in ms is an
// argument. Cost: O(1) an event; memory by customer.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace burlwind::rehearsal {

struct QuotaFigures {
  double rate = 1;  // units a second; 0: no quota on the rate
  double burst = 1;
  unsigned openLimit = 0;  // 0: none
  double ceilingRate = 0;  // 0: no ceiling
  double ceilingBurst = 0;
};

class Ledger {
 public:
  using Customer = std::uint64_t;
  struct Entry {
    bool inside = false;     // the quota had room, and the store has paid
    double ceilingLeft = 0;  // after it has paid; below 0: passed
  };

  explicit Ledger(std::vector<QuotaFigures> plans) : plans_(std::move(plans)) {}

  // A request's first attempt: units are taken from the store if they are there, from the ceiling always.
  Entry firstAttempt(double now, Customer customer, unsigned plan, double units);
  void attemptOut(Customer customer) { ++accounts_[customer].out; }
  void attemptOver(Customer customer);
  // Whether the quota has room for it now; nothing is taken.
  bool hasRoom(double now, Customer customer, unsigned plan, double units) const;
  double store(double now, Customer customer, unsigned plan) const;

 private:
  struct Account {
    double store = 0, ceiling = 0;
    double at = 0;
    unsigned out = 0;
    bool known = false;
  };
  Account filled(double now, Customer customer, unsigned plan) const;
  std::vector<QuotaFigures> plans_;
  std::unordered_map<Customer, Account> accounts_;
};

// Use of each customer by periods. A reading tells the last period that ended `lag` ago.
class Meter {
 public:
  explicit Meter(double periodMs) : period_(periodMs) {}
  void add(double now, std::uint64_t customer, double units);
  // Percent of `rate` units a second; below 0: nothing has been added up yet.
  int read(double now, double lagMs, std::uint64_t customer, double rate) const;

 private:
  static constexpr std::size_t kPeriods = 64;  // that are kept of a customer; a longer lag reads the oldest
  struct Cell {
    long long period = -1;
    double units = 0;
  };
  double period_;
  std::unordered_map<std::uint64_t, std::vector<Cell>> use_;
};

}  // namespace burlwind::rehearsal
