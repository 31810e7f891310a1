// What one proxy may let in of each tenant: decisions only.
//
// In touch with the registries: a stock of tokens, asked for ahead of need. The stock is the local bucket of
// the design; it follows what comes here, up to kAhead of it, and is given up when a tenant has been still
// for kStill. A tenant new here begins with a demand of burst / gatekeepers. Where the allocator says that
// the store is empty, the admit fraction trims: each reading u multiplies it by 100 / u, within [0.05, 1]; it
// climbs back within kClimb without readings. Out of touch: a part of its own, rate / n, which nobody else is
// given (see allocator.hpp). It holds no more than half a second of it. The table is an LRU of kTable
// tenants; an evicted one comes back with nothing and asks.
//
// Properties: a grant adds to the stock once, only for a request that is under way, and no more than that one
// asked for; so the stock and what may come never exceed the target and those who wait. A stock that nobody
// touched for kStill lets nothing in: the process may have stood still, and others have had its share.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "distributed_quota/outstanding_requests.hpp"
#include "quota/bucket.hpp"
#include "quota/lru_table.hpp"
#include "rpc/messages.hpp"

namespace burlwind::distributed_quota {

constexpr std::size_t kTable = 4096;
constexpr double kAhead = 0.6;         // seconds of demand in stock
constexpr double kStill = 3000;        // ms
constexpr double kClimb = 3000;        // ms from the floor back to 1
constexpr double kEmptyFor = 150;      // ms that "the store is empty" is believed
constexpr double kAnswerWithin = 500;  // ms until an ask counts as lost

enum class Admit { yes, wait, no };

// Out of touch a part of less than a request lets one in by as much chance, and owes the rest.
class TokenCache {
 public:
  void setTouch(bool inTouch, double now);
  // `slack`: requests that the rule leaves above rate and burst, over all proxies.
  void setProxies(unsigned known, double slack) {
    proxies_ = known ? known : 1;
    least_ = std::min(1.5, 0.7 * slack / proxies_);
  }
  // An ask has gone unanswered for longer than one that is answered takes.
  bool unanswered(double now) const;

  // One request of a tenant with a limit (rate above 0). wait: ask now and try again when told. `chance`: a
  // number drawn from 0 to 1.
  Admit admit(const std::string& tenant, double rate, double burst, double chance, double now);
  // One that waited: no second count of its coming.
  // `last`: it will not wait any longer.
  Admit again(const std::string& tenant, double rate, bool last, double now);
  // What to ask for, now, under a number of its own. Without demands: nothing.
  rpc::TokenRequest request(double now);
  // One tenant's part of the answer to the request of that number.
  void granted(std::uint64_t number, const rpc::TokenGrant& grant, double now);
  std::uint64_t dropped() const { return dropped_; }  // grants that answered nothing under way
  double fraction(const std::string& tenant) const;
  double stock(const std::string& tenant) const;

 private:
  struct Account {
    std::string tenant;
    double rate = 0, burst = 0;
    double stock = 0;
    double came = 0, cameAt = 0;  // requests a second, of late
    quota::Bucket own;            // the part out of touch
    double ownAt = 0;
    OutstandingRequests requests{kAnswerWithin};
    double emptyAt = -1e18;  // the store was told empty
    quota::AdmitFraction fraction;
    double fractionAt = 0;  // climbed until then
    bool fresh = true;
    unsigned short waits = 0;  // requests that wait for an answer
  };
  Account& account(const std::string& tenant, double rate, double burst, double now);
  void ask(Account& a, std::uint64_t number, double now, std::vector<rpc::TokenDemand>& out);
  static void climb(Account& a, double now);
  bool spend(Account& a, double chance, double now);
  double target(const Account& a) const;
  quota::LruTable<std::string, Account> table_;
  bool inTouch_ = false;
  double least_ = 0.5;     // that a part out of touch begins with
  unsigned proxies_ = 32;  // until told: more than there may be, so that parts are too small at worst
  double asked_ = -1e18, told_ = -1e18;
  std::uint64_t number_ = 0;  // of the latest request
  std::uint64_t dropped_ = 0;
};

}  // namespace burlwind::distributed_quota
