#include "rehearsal/ledger.hpp"

#include <algorithm>
#include <cmath>

namespace burlwind::rehearsal {

Ledger::Account Ledger::filled(double now, Customer customer, unsigned plan) const {
  const QuotaFigures& figures = plans_.at(plan);
  const auto found = accounts_.find(customer);
  Account account = found == accounts_.end() ? Account{} : found->second;
  if (!account.known) {
    account = {figures.burst, figures.ceilingBurst, now, account.out, true};
    return account;
  }
  const double seconds = std::max(0.0, now - account.at) / 1000;
  account.store = std::min(figures.burst, account.store + figures.rate * seconds);
  account.ceiling = std::min(figures.ceilingBurst, account.ceiling + figures.ceilingRate * seconds);
  account.at = std::max(account.at, now);
  return account;
}

Ledger::Entry Ledger::firstAttempt(double now, Customer customer, unsigned plan, double units) {
  const bool inside = hasRoom(now, customer, plan, units);
  Account account = filled(now, customer, plan);
  const QuotaFigures& figures = plans_[plan];
  if (inside && figures.rate > 0) account.store -= units;
  if (figures.ceilingRate > 0) account.ceiling -= units;
  accounts_[customer] = account;
  return {inside, account.ceiling};
}

void Ledger::attemptOver(Customer customer) {
  const auto found = accounts_.find(customer);
  if (found != accounts_.end() && found->second.out > 0) --found->second.out;
}

bool Ledger::hasRoom(double now, Customer customer, unsigned plan, double units) const {
  const QuotaFigures& figures = plans_.at(plan);
  const Account account = filled(now, customer, plan);
  constexpr double kRounding = 1e-9;
  if (figures.rate > 0 && account.store + kRounding < units) return false;
  return figures.openLimit == 0 || account.out < figures.openLimit;
}

double Ledger::store(double now, Customer customer, unsigned plan) const {
  return filled(now, customer, plan).store;
}

void Meter::add(double now, std::uint64_t customer, double units) {
  const auto period = static_cast<long long>(std::floor(now / period_));
  std::vector<Cell>& cells = use_[customer];
  if (cells.empty()) cells.resize(kPeriods);
  Cell& cell = cells[static_cast<std::size_t>(period) % kPeriods];
  if (cell.period != period) cell = {period, 0};
  cell.units += units;
}

int Meter::read(double now, double lagMs, std::uint64_t customer, double rate) const {
  const auto period = static_cast<long long>(std::floor((now - lagMs) / period_)) - 1;
  if (period < 0 || rate <= 0) return -1;
  const auto found = use_.find(customer);
  if (found == use_.end()) return 0;
  const Cell& cell = found->second[static_cast<std::size_t>(period) % kPeriods];
  if (cell.period != period) return 0;
  return static_cast<int>(std::lround(100 * cell.units / (rate * period_ / 1000)));
}

}  // namespace burlwind::rehearsal
