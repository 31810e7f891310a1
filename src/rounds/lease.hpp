// Leases of duties that one registry does: decisions only. The store's leader grants, once a majority has
// confirmed it after the question came; the registry counts from when it sent the question, and stops a
// margin before the end. A new leader knows nothing of the grants before it, and waits until they must have
// ended. Property: at no time do two registries hold the lease, as long as no clock runs faster than another
// by more than kDrift.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace burlwind::rounds {

constexpr double kLeaseSpan = 1000;  // ms
constexpr double kDrift = 0.05;      // of the span
constexpr double kStopBefore = 100;  // ms, with what is left of the span

class LeaseGrantor {
 public:
  void lead(double now) {
    holder_.clear();
    until_ = now + kLeaseSpan * (1 + kDrift);
  }
  // The span granted from when the question was sent; 0: another one holds it.
  double ask(const std::string& who, double now) {
    if (who != holder_ && now < until_) return 0;
    if (who != holder_) ++epoch_;
    holder_ = who;
    until_ = now + kLeaseSpan * (1 + kDrift);
    return kLeaseSpan;
  }
  std::uint64_t epoch() const { return epoch_; }  // of this leader's holders, one after the other
  std::string holder(double now) const { return now < until_ ? holder_ : std::string(); }

 private:
  std::string holder_;
  std::uint64_t epoch_ = 0;
  double until_ = 0;
};

class LeaseHolder {
 public:
  void asked(std::uint64_t number, double now) {
    std::erase_if(asked_, [&](const auto& ask) { return now - ask.second > kLeaseSpan; });
    asked_[number] = now;
  }
  // The answer to that question, also where it comes after the next one was asked: it counts from its own.
  // False where it grants nothing.
  bool answered(std::uint64_t number, double span) {
    const auto found = asked_.find(number);
    if (found == asked_.end() || span <= 0) return false;
    until_ = std::max(until_, found->second + span - kStopBefore);
    return true;
  }
  bool holds(double now) const { return now < until_; }

 private:
  std::map<std::uint64_t, double> asked_;  // by number, when
  double until_ = -1e18;
};

}  // namespace burlwind::rounds
