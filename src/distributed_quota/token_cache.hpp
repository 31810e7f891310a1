// What one proxy may let in of each tenant: decisions only.
//
// In touch with the registries: a stock of tokens, asked for ahead of need. The stock is the local bucket of
// the design; it follows what comes here, up to kAhead of it and of this proxy's share of the rate, and each
// token in it ends by itself (token_stock.hpp). A tenant that has been still for kStill is new again; one new
// here begins with a demand of burst / gatekeepers. Where the allocator says that
// the store is empty, the admit fraction trims: each reading u multiplies it by 100 / u, within [0.05, 1]; it
// climbs back within kClimb without readings. Out of touch: a part of its own, rate / n, n the agreed ceiling
// of proxies, which nobody else is given (quota_bound.hpp has the sum). The part grows from nothing from when
// touch was lost, or the process began, holds no more than partSaved, and ends kPartLease later: who is out
// of touch for longer may have been forgotten. Who was never told a ceiling has no part. The table is an LRU
// of kTable tenants; an evicted one comes back with nothing and asks, or has what has grown since the
// eviction.
//
// Properties: a grant adds to the stock once, only for a request that is under way, and no more than that one
// asked for; so the stock and what may come never exceed the target and those who wait. A token lets nothing
// in once its time is over, whether this process stood still or a request came back with it; under a lower
// limit none that was granted under the one before does.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "distributed_quota/outstanding_requests.hpp"
#include "distributed_quota/quota_bound.hpp"
#include "distributed_quota/recent_use.hpp"
#include "distributed_quota/token_figures.hpp"
#include "distributed_quota/token_stock.hpp"
#include "quota/bucket.hpp"
#include "quota/lru_table.hpp"
#include "rpc/messages.hpp"

namespace burlwind::distributed_quota {

constexpr std::size_t kTable = 4096;
constexpr double kStill = 3000;        // ms
constexpr double kClimb = 3000;        // ms from the floor back to 1
constexpr double kEmptyFor = 150;      // ms that "the store is empty" is believed
constexpr double kAnswerWithin = 500;  // ms until an ask counts as lost
constexpr double kPartLease = 120000;  // ms out of touch until a proxy's own part ends

enum class Admit { yes, wait, no };

enum class Contact {
  held,    // tokens come from the holder
  unsure,  // they don't, and the holder may still count this proxy among those that draw on it
  lost     // it counts it no more: the part of its own is set aside for it
};

// Out of touch a part of less than a request lets one in by as much chance, and owes the rest.
class TokenCache {
 public:
  TokenCache() : TokenCache(0) {}
  // beganAt: ms, of this process.
  explicit TokenCache(double beganAt) : beganAt_(beganAt), outSince_(beganAt), evictedAt_(beganAt) {}
  void setContact(Contact contact, double now);
  // `ceiling`: how many proxies there may be; 0: not told, there is no part out of touch. `slack`: requests
  // that the rule leaves above rate and burst, over all proxies.
  void setProxies(unsigned ceiling, double slack) { proxies_ = ceiling, slack_ = slack; }
  Contact contact() const { return contact_; }
  // `contact` of the session, less where asks go unanswered: the registry doesn't reach the holder, which
  // counts this proxy no more once it has not heard that registry for kUncountedWithin.
  Contact answered(Contact contact, double now) const;
  // The registry reaches nobody who grants: until the next grant this proxy has its own part alone.
  void noHolder() { holderless_ = true; }
  // There is a new holder: what was asked of the one before is asked again, the own part ends.
  void newHolder(double now);
  // When an ask was answered for the first time in this life; nothing before.
  std::optional<double> firstGrantAt() const { return firstGrantAt_; }
  bool hasGrants() const { return firstGrantAt_.has_value(); }

  // One request of a tenant with a limit (rate above 0). wait: ask now and try again when told. `chance`: a
  // number drawn from 0 to 1.
  Admit admit(const std::string& tenant, double rate, double burst, double chance, double now);
  // One that waited: no second count of its coming.
  // `last`: it will not wait any longer.
  Admit again(const std::string& tenant, double rate, bool last, double now);
  // One that waited waits no more: its client has left.
  void withdraw(const std::string& tenant);
  // When the token of the request that was let in last ends, in ms; nothing where it came off no stock.
  std::optional<double> lastTokenEnds() const { return lastTokenEnds_; }
  // A token that was taken off the stock and let nothing in: it is in stock again until it ends. Out of
  // touch, or where the tenant was forgotten, it is lost.
  void giveBack(const std::string& tenant, double endsAt, double now);
  // What to ask for, now, under a number of its own. Without demands: nothing.
  rpc::TokenRequest request(double now);
  // One tenant's part of the answer to the request of that number.
  void granted(std::uint64_t number, const rpc::TokenGrant& grant, double now);
  std::uint64_t dropped() const { return dropped_; }  // grants that answered nothing under way
  // What was let in and is in stock, by tenant, and how far back that is known (usage_recovery.hpp).
  rpc::UsageReport usage(double now);
  std::vector<TenantTokens> tokens(double now) const;  // of each tenant in the table
  double fraction(const std::string& tenant) const;
  double stock(const std::string& tenant) const;

 private:
  struct Account {
    std::string tenant;
    double rate = 0, burst = 0;
    TokenStock stock;
    int use = 0;                  // percent of the rate that all ask for, as told last
    double came = 0, cameAt = 0;  // requests a second, of late
    RecentUse letIn;
    TokenFigures figures;
    quota::Bucket own;  // the part out of touch
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
  static void expire(Account& a, double now);
  static void setLimit(Account& a, double rate, double burst);
  static Admit refuse(Account& a);
  static void climb(Account& a, double now);
  bool spend(Account& a, double chance, double now);
  bool takeOne(Account& a, double chance, double now);
  void growPart(Account& a, double now) const;
  double share(double now) const;                      // of the part out of touch that may be spent
  bool partComes(const Account& a, double now) const;  // soon enough for one more that waits
  bool inTouch() const { return contact_ == Contact::held; }
  static double arrivalRate(const Account& a, double now);
  double target(const Account& a, double now) const;
  quota::LruTable<std::string, Account> table_;
  Contact contact_ = Contact::lost;
  std::optional<double> lastTokenEnds_;
  bool holderless_ = false;  // told so, and no grant since
  double beganAt_ = 0, outSince_ = 0, evictedAt_ = 0;
  double slack_ = 0;
  unsigned proxies_ = 0;  // the ceiling; 0: not told
  double asked_ = -1e18, told_ = -1e18;
  std::optional<double> firstGrantAt_;
  std::uint64_t number_ = 0;  // of the latest request
  std::uint64_t dropped_ = 0;
};

}  // namespace burlwind::distributed_quota
