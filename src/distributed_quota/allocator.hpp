// The quota of all gatekeepers together, as the holder of the quota duty keeps it: decisions only.
//
// A tenant's bucket refills at its rate and holds its burst; proxies take tokens out of it ahead of need,
// and one token lets one request in, once. What proxies hold in stock is bounded by them (TokenCache), so in
// any window w no more than rate x w + burst + stock is let in, however requests spread over proxies; a proxy
// that dies loses its stock, which lets nothing in.
//
// While more is asked for than the rate, what comes in is shared by what each is asked for: else those who
// stand near the holder would have it all.
//
// Proxies out of reach of the registries have parts of their own: rate / n each, n proxies known. They may
// spend it from the moment they lose touch; the allocator takes it off the refill from the moment it knows,
// one silence later, which is what the rule's slack bears. A new holder starts with empty buckets: the one
// before may have given out the burst just now. Cost: one map entry a tenant; a constant for each demand.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "rpc/messages.hpp"

namespace burlwind::distributed_quota {

struct Limit {
  double rate = 0, burst = 0;  // requests a second, requests
};

class QuotaAllocator {
 public:
  // Takes the duty. `quiet`: ms in which nobody can have let anything in, so that what came in is there.
  void clear(double now, double quiet = 0) {
    stores_.clear();
    from_ = now - quiet;
  }
  // What a store surely holds, by what the holder before told of it.
  void begin(const std::string& tenant, double level, double now) {
    Store& store = stores_[tenant];
    store.level = level, store.at = now;
  }
  std::vector<rpc::Level> all() const;  // what each store holds
  std::vector<rpc::Level> changed();    // and of those whose level moved since it was told here last
  // The duty had lapsed until now, and nobody else had it: proxies had their own parts meanwhile.
  void skip(double now) {
    for (auto& [tenant, store] : stores_) store.at = now;
  }
  // Of the known proxies, those in touch: the refill is theirs alone.
  void setReach(double part) { reach_ = part; }

  struct Given {
    double granted = 0;
    int use = 0;
    bool empty = false;  // and more is asked for than comes in
  };
  // asked: requests a second that come for the tenant to `who` demands. Below 0, `want` is given back.
  Given take(const std::string& who, const std::string& tenant, const Limit& limit, double want, double asked,
             double now);

 private:
  struct Asker {
    double asked = 0, at = 0;  // requests a second, as told, when
    double share = 0;          // what it may take yet while more is asked for than there is
  };
  struct Store {
    double level = 0, at = 0;
    double told = 0;  // of the level
    std::unordered_map<std::string, Asker> askers;
  };
  static double hear(Store& store, const std::string& who, double asked, double now);
  std::unordered_map<std::string, Store> stores_;
  double from_ = 0, reach_ = 1;
};

}  // namespace burlwind::distributed_quota
