// How a new holder of the quotas finds out what its stores hold: decisions only, no I/O, time handed in.
//
// It asks all proxies, under its epoch, what each has let in lately and has in stock. A store that refills at
// `rate` and holds `burst` has at least
//
//     burst - (let in within the last burst / rate seconds) - (in stock) - (granted by this holder since)
//
// tokens, wherever it stood before: it was not below 0 then, and has refilled for as long as it takes to
// fill. That holds only where every proxy that there may be has answered, and each for the whole of that
// time: of one that is cut off, or has begun anew since, nothing is known, and nothing is given for it.
//
// What the holder before granted can't be spent unseen: cells drop their stocks when they are asked, and pass
// the question on behind the tokens that they have lent out before.
// Cost: one report a proxy until all are there, or kUsageWithin is over.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "distributed_quota/quota_bound.hpp"
#include "rpc/messages.hpp"

namespace burlwind::registry {

constexpr double kUsageWithin = 3000;  // ms from taking the duties, for the answers
constexpr double kAnswerCounts = 500;  // ms until a proxy's sessions tell whether it draws

class UsageRecovery {
 public:
  // Takes the duties under that epoch: asks anew.
  void begin(std::uint64_t epoch, double now);
  // The question, while it is open.
  std::optional<rpc::UsageQuery> query(double now) const;
  // A report of the open question is kept, the newest of each proxy's incarnation.
  void take(const rpc::UsageReport& report, double now);
  // All of `expected` proxies have answered; the question is closed with the first true.
  bool complete(unsigned expected, double now);
  // The answers that came in time; said once, where they were not enough.
  std::optional<std::size_t> expired(double now);
  // Proxies that have answered within the last kAnswerCounts, and so draw on this holder.
  std::size_t answeredLately(double now) const;
  // What may be in the tenant's store at least; nothing where some proxy's memory is too short.
  std::optional<double> leastLevel(const std::string& tenant, const distributed_quota::Limit& limit) const;

 private:
  struct Report {
    std::uint64_t incarnation = 0;
    double at = 0, coveredMs = 0;
    std::map<std::string, double> used;  // by tenant
  };
  std::uint64_t epoch_ = 0;
  double beganAt_ = -1e18;
  bool open_ = false;
  std::map<std::string, Report> reports_;  // by proxy
};

}  // namespace burlwind::registry
