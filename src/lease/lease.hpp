// Leases of duties that one registry does: decisions only. The store's leader grants, once a majority has
// confirmed it after the question came; the registry counts from when it sent the question, and stops a
// margin before the end. Property: at no time do two registries hold the lease, as long as no clock runs
// faster than another by more than kDrift.
//
// Who may hold it is part of what the stores agree on (LeaseOwner): a process that is not the owner is
// granted nothing before it has been agreed on as the next one, so that a new leader knows of whom it must
// wait out a grant that it has not seen. It needs not wait
//  - for that owner itself, which goes on under the new leader as if nothing had happened;
//  - where another process asks from the owner's own machine and its question bears the owner's epoch: it
//    was alive after that one was agreed on, the owner had asked before, and a machine runs one registry at
//    a time; so the owner has ended. A question with an older epoch may have waited in a buffer since
//    before.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>

namespace burlwind::lease {

constexpr double kLeaseSpan = 800;   // ms
constexpr double kDrift = 0.05;      // of the span
constexpr double kStopBefore = 100;  // ms, with what is left of the span

struct LeaseOwner {
  std::string ip;
  std::uint64_t incarnation = 0;  // of the process; 0: nobody yet
  std::uint64_t epoch = 0;        // one more with each owner
  bool operator==(const LeaseOwner&) const = default;
  MSGPACK_DEFINE(ip, incarnation, epoch)
};
struct Applicant {
  std::string ip;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;  // of the latest owner that it has been told of
  bool wants = false;       // else it only shows that it is there
};

class LeaseGrantor {
 public:
  enum class Decision { grant, refuse, agree };  // agree: granted once the asker is the owner agreed on
  void lead(const LeaseOwner& agreed, double now) { until_ = agreed.incarnation ? now + kLonger : now; }
  Decision ask(const LeaseOwner& agreed, const Applicant& who, double now) {
    if (who.ip == agreed.ip && who.incarnation == agreed.incarnation) {
      if (!who.wants) return Decision::refuse;
      granted(now);
      return Decision::grant;
    }
    if (who.ip == agreed.ip && who.epoch == agreed.epoch) until_ = std::min(until_, now);
    return now < until_ || !who.wants ? Decision::refuse : Decision::agree;
  }
  void granted(double now) { until_ = std::max(until_, now + kLonger); }
  // Whether the owner may hold the lease now.
  bool busy(double now) const { return now < until_; }

 private:
  static constexpr double kLonger = kLeaseSpan * (1 + kDrift);
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

}  // namespace burlwind::lease
