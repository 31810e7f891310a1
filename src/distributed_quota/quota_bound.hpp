// What may be let in of one tenant, over all proxies, added up in one place.
//
// In any window of w ms no more is let in than
//
//     rate x w + burst + excess
//
// A token ends tokenLifeMs after it was granted, wherever it lies: in a message, a registry's cell, a proxy's
// stock, or back from a request that reached no worker. Each process counts that time on its own steady clock
// from when it sent its request, which was before the grant. Of what was granted within that life, cells and
// proxies hold kStockSpan of the rate at most, shared by what comes to each, once they were told how much all
// ask for; the rest is under way, or was granted for a request that waits, and is spent when it comes. The
// store refills at the rate, as far as
//
//     level + min(granted within tokenLifeMs, heldAhead + granted within kUnderWayMs) <= storeRoom
//
// In a window no more is let in than that sum at its begin and what the store refills by in it. What is more
// comes from these sources, each bounded:
//
//  - stocks: storeRoom is the burst, or what may be held ahead and comes in meanwhile where that is more;
//  - the first moment of a tenant or of a press, before anybody was told how much all ask for: proxies may
//  hold
//    the burst for a life, of which the store counts on all but kUntold of the rate;
//  - parts out of touch: a proxy spends rate / n, n the agreed ceiling (registry/proxy_ceiling.hpp), and the
//    holder refills only the parts of those that draw on it. A proxy tells its registry that it begins, and
//    counts no more kToldWithin later. Where it can't be heard it counts no more once it, or its registry,
//    was silent for long enough (kUncountedWithin): meanwhile it spends kUnsureShare of its part. A proxy
//    that has been out of touch for longer may have saved up part of a burst (kBurstSaved) and a share of
//    what the rule's slack leaves (kSlackSaved): small quotas over many proxies would let nobody in without
//    it. Each proxy is in one of these states, so the largest of their sums counts;
//  - a new holder: it believes the level that the one before promised not to go below without telling.
//    Where the last such message was lost with that holder, up to kBelieved of the burst, or of a second of
//    the rate, is there twice. Where all proxies have restarted and none has been granted a token since, it
//    begins with kRestartCredit of the rate. Both can't be in one window: who knows levels gives no credit.
//
// Where the sum is not enough refusals are what gives way: a part out of touch grows from nothing, a new
// holder without levels begins with what a measured idle span gives.
// The deployments' rule: (rate x w + burst) x 1.1 + 20 over 5 s, burst no smaller than a tenth of the rate.
#pragma once

#include <algorithm>

namespace burlwind::distributed_quota {

constexpr double kAhead = 0.4;      // seconds of demand that a proxy holds in stock
constexpr double kCellAhead = 0.2;  // seconds of its proxies' demand that a registry's cell holds
constexpr double kStockSpan = kAhead + kCellAhead;
constexpr double kTokenLife = 1.5;        // s; longer than both spans and a way to the holder and back
constexpr double kTokenLifeLeast = 0.5;   // s, of tenants whose burst is small beside their rate
constexpr double kUnderWayMs = 100;       // from a grant until a request that waits has it
constexpr double kUntold = 0.4;           // s of the rate
constexpr double kRefillSpan = 0.1;       // s of the rate that a store may hold beside what is outside
constexpr double kUncountedWithin = 0.7;  // s from a proxy's first doubt until the holder counts it no more
constexpr double kToldWithin = 0.3;       // s from when a proxy tells that it spends its own part to the same
constexpr double kUnsureShare = 0.4;      // of its part that a proxy spends meanwhile
constexpr double kBurstSaved = 0.5;       // of the burst, or of a second of the rate, that all may save up
constexpr double kSlackSaved = 0.95;      // of the rule's slack that all may save up besides
constexpr double kBelieved = 0.1;         // of a store's level that the holder promises to its successor
constexpr double kRestartCredit = 0.4;    // s of the rate

struct Limit {
  double rate = 0, burst = 0;  // requests a second, requests
};

// ms from a grant until its tokens end.
inline double tokenLifeMs(const Limit& limit) {
  const double ofBurst = limit.rate > 0 ? kTokenLife * limit.burst / limit.rate : 0;
  return 1000 * std::clamp(ofBurst, kTokenLifeLeast, kTokenLife);
}

// Tokens that proxies and cells may hold ahead of need, all together, as the store counts on them.
inline double heldAhead(const Limit& limit) {
  // Windows of grants are kept to an eighth of a life.
  const double atRate = std::min(kStockSpan, 1.125 * tokenLifeMs(limit) / 1000) * limit.rate;
  return std::max(atRate, limit.burst - kUntold * limit.rate);
}

// Tokens that a store and all that lies outside it may hold together.
inline double storeRoom(const Limit& limit) {
  const double ahead = std::min(heldAhead(limit), kStockSpan * limit.rate);
  return std::max(limit.burst, ahead + kRefillSpan * limit.rate);
}

// Requests that a proxy out of touch may save up, of `proxies` that there may be.
inline double partSaved(const Limit& limit, double slack, unsigned proxies) {
  const double ofBurst = kBurstSaved * std::min(limit.burst, limit.rate);
  return (ofBurst + kSlackSaved * slack) / std::max(1U, proxies);
}

// What may be let in beyond rate x w + burst, at worst. `slack`: requests that the rule leaves.
inline double worstExcess(const Limit& limit, double slack) {
  const double stocks = storeRoom(limit) - limit.burst;
  const double saved = partSaved(limit, slack, 1);
  const double uncounted = std::max(kUnsureShare * kUncountedWithin, kToldWithin) * limit.rate;
  const double untold = std::min(limit.burst, kUntold * limit.rate);
  const double ofProxies = std::max({saved, uncounted, untold});
  const double believed = kBelieved * std::min(limit.burst, limit.rate);
  const double restarted = kRestartCredit * limit.rate + kSlackSaved * slack;  // nobody has saved up anything
  return stocks + std::max(ofProxies + believed, restarted);
}

}  // namespace burlwind::distributed_quota
