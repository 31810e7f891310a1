#include "distributed_quota/aggregator.hpp"

#include <algorithm>
#include <cmath>

namespace burlwind::distributed_quota {
namespace {
constexpr double kTau = 1000;      // ms, memory of demands
constexpr double kComeFor = 2000;  // ms that what a proxy told of its requests counts
}  // namespace

void QuotaAggregator::demand(const Asker& asker, const rpc::TokenDemand& demand, double now,
                             std::vector<Answer>& out) {
  Account& a = accounts_[demand.tenant];
  if (demand.want < 0) {  // given back
    a.stock -= demand.want;
    return;
  }
  a.wished = a.wished * std::exp(-(now - a.wishedAt) / kTau) + demand.want * 1000 / kTau;
  a.wishedAt = now;
  a.come[asker.proxy] = {demand.asked, now};
  if (a.waiting.empty() && a.stock >= demand.want) {
    a.stock -= demand.want;
    out.push_back({asker, {demand.tenant, demand.want, a.use, false}});
  } else if (now - a.emptyAt < kCellEmptyFor) {
    const double given = std::min(demand.want, std::floor(a.stock));
    a.stock -= given;
    out.push_back({asker, {demand.tenant, given, a.use, true}});
  } else {
    a.waiting.push_back({asker, demand.want, now});
  }
}

std::vector<rpc::TokenDemand> QuotaAggregator::demands(double now) {
  std::vector<rpc::TokenDemand> out;
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    Account& a = it->second;
    std::erase_if(a.waiting, [&](const Waiting& w) { return now - w.at > kCellWithin; });
    if (now - a.wishedAt > kCellStill) {
      if (a.stock >= 1) out.push_back({it->first, -std::floor(a.stock), 0});
      it = accounts_.erase(it);
      continue;
    }
    double waits = 0;
    for (const Waiting& w : a.waiting) waits += w.want;
    const double wished = a.wished * std::exp(-(now - a.wishedAt) / kTau);
    const double ahead = wished * kCellAhead < 0.5 ? 0 : wished * kCellAhead;
    // Several questions may be under way: a demand that comes behind one doesn't wait for its answer to be
    // asked.
    if (!a.asked.empty() && now - a.asked.front().first > kCellWithin) a.asked.clear();
    double coming = 0;
    for (const auto& [at, much] : a.asked) coming += much;
    const bool due = waits > 0 || a.stock + coming < ahead / 2;
    const double want = std::ceil(waits + ahead - a.stock - coming);
    if (due && want >= 1 && now - a.emptyAt > kCellEmptyFor) {
      a.asked.emplace_back(now, want);
      double come = 0;
      for (auto c = a.come.begin(); c != a.come.end();) {
        const bool old = now - c->second.second > kComeFor;
        come += old ? 0 : c->second.first;
        c = old ? a.come.erase(c) : std::next(c);
      }
      out.push_back({it->first, want, come});
    }
    ++it;
  }
  return out;
}

void QuotaAggregator::granted(const rpc::TokenGrant& grant, double now, std::vector<Answer>& out) {
  const auto found = accounts_.find(grant.tenant);
  if (found == accounts_.end()) return;
  Account& a = found->second;
  if (!a.asked.empty()) a.asked.pop_front();
  a.stock += grant.granted;
  a.use = grant.use;
  if (grant.empty) a.emptyAt = now;
  while (!a.waiting.empty() && (grant.empty || a.stock >= a.waiting.front().want)) {
    const Waiting w = a.waiting.front();
    a.waiting.pop_front();
    const double given = std::min(w.want, std::floor(a.stock));
    a.stock -= given;
    out.push_back({w.asker, {grant.tenant, given, a.use, given < w.want}});
  }
}

double QuotaAggregator::stock(const std::string& tenant) const {
  const auto found = accounts_.find(tenant);
  return found == accounts_.end() ? 0 : found->second.stock;
}

}  // namespace burlwind::distributed_quota
