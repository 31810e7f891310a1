// The quota of all proxies together, as the holder of the quota duty keeps it: decisions only.
//
// A tenant's bucket refills at its rate and holds its burst, less what may lie outside unspent: what it has
// granted within the life of a token (tokenLifeMs), and no more of that than proxies and cells hold ahead.
// Proxies and cells take tokens out of it ahead of need, and one lets one request in, once. None comes back:
// what isn't spent ends by itself. quota_bound.hpp adds up what may be let in.
//
// While more is asked for than the rate, what comes in is shared by what each is asked for: else those who
// stand near the holder would have it all.
//
// Proxies that don't draw on the holder spend parts of their own: the refill is the others' alone (setReach).
//
// Succession: for each store the holder promises a floor, and grants nothing below it before it has told a
// lower one (told by `promises`). A new holder begins with the floors that it was told, and with nothing, but
// for a measured span without any admission, where it was told none. A floor of 0 is told like any other.
// Cost: one map entry a tenant; a constant for each demand.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "distributed_quota/quota_bound.hpp"
#include "distributed_quota/recent_use.hpp"
#include "distributed_quota/token_figures.hpp"
#include "rpc/messages.hpp"

namespace burlwind::distributed_quota {

class QuotaAllocator {
 public:
  // Takes the duty. `idle`: ms in which nobody can have let anything in, so that what came in is there.
  void clear(double now, double idle = 0) {
    stores_.clear();
    from_ = now, idle_ = idle;
  }
  // The same, where it turns out only later; each store has it once.
  void credit(double idle) { idle_ = std::max(idle_, idle); }
  // What a store surely holds, by what the holder before promised.
  void begin(const std::string& tenant, double level, double now) {
    Store& store = stores_[tenant];
    store.level = level, store.at = now, store.credited = kNoCredit;
  }
  // That store holds at least `level`, less what was granted of it since the duties were taken.
  void atLeast(const std::string& tenant, double level, double now);
  std::vector<rpc::Level> floors() const;  // as promised last
  // New floors: of stores that went below theirs, and where `all` also those that have risen since, or have
  // none.
  std::vector<rpc::Level> promises(bool all);
  double level(const std::string& tenant) const;
  std::vector<TenantTokens> tokens() const;  // of each store, since the duties were taken
  // The duty had lapsed until now, and nobody else had it: proxies had their own parts meanwhile.
  void skip(double now) {
    for (auto& [tenant, store] : stores_) store.at = now;
  }
  // The part of the proxies that draw on the holder: the refill is theirs alone.
  void setReach(double part) { reach_ = part; }

  struct Given {
    double granted = 0;
    int use = 0;
    bool empty = false;  // and more is asked for than comes in
  };
  // want: tokens, above 0. asked: requests a second that come for the tenant to `who`.
  Given take(const std::string& who, const std::string& tenant, const Limit& limit, double want, double asked,
             double now);

 private:
  struct Asker {
    double asked = 0, at = 0;  // requests a second, as told, when
    double share = 0;          // what it may take yet while more is asked for than there is
  };
  struct Store {
    double level = 0, at = 0;
    TokenFigures figures;
    double rate = 0;              // as it was limited last
    std::optional<double> floor;  // as promised
    double credited = 0;          // ms of idle_ that are in the level
    double granted = 0;           // since the duties were taken
    RecentUse outside;            // granted within the life of a token
    RecentUse underWay;           // granted within kUnderWayMs
    std::unordered_map<std::string, Asker> askers;
  };
  static double sumDemand(Store& store, const std::string& who, double asked, double now);
  static double mayLieOutside(Store& store, const Limit& limit, double now);
  void refill(Store& store, const Limit& limit, double now) const;
  std::unordered_map<std::string, Store> stores_;
  static constexpr double kNoCredit = 1e18;  // of a store that began with a level
  double from_ = 0, idle_ = 0, reach_ = 1;
};

}  // namespace burlwind::distributed_quota
