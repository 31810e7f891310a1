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
  if (now - a.wishedAt > kCellStill)
    figures_[demand.tenant].add(TokenEvent::expired, std::exchange(a.stock, 0));
  if (demand.want < 0) {  // given back
    a.stock -= demand.want;
    figures_[demand.tenant].add(TokenEvent::received, -demand.want);
    return;
  }
  a.wished = a.wished * std::exp(-(now - a.wishedAt) / kTau) + demand.want * 1000 / kTau;
  a.wishedAt = now;
  a.come[asker.proxy] = {demand.asked, now};
  if (a.waiting.empty() && a.stock >= demand.want) {
    out.push_back(lend(demand.tenant, a, asker, demand.want, demand.want, false));
  } else if (now - a.emptyAt < kCellEmptyFor) {
    const double given = std::min(demand.want, std::floor(a.stock));
    out.push_back(lend(demand.tenant, a, asker, demand.want, given, true));
  } else {
    a.waiting.push_back({asker, demand.want, now});
  }
}

QuotaAggregator::Answer QuotaAggregator::lend(const std::string& tenant, Account& a, const Asker& to,
                                              double want, double given, bool empty) {
  a.stock -= given;
  TokenFigures& figures = figures_[tenant];
  figures.add(TokenEvent::lent, given);
  figures.add(TokenEvent::refused, want - given);
  return {to, {tenant, given, a.use, empty}};
}

void QuotaAggregator::dropStocks() {
  for (auto& [tenant, account] : accounts_) {
    figures_[tenant].add(TokenEvent::expired, std::exchange(account.stock, 0));
    account.requests.clear();
  }
}

rpc::TokenRequest QuotaAggregator::request(double now) {
  rpc::TokenRequest out;
  out.number = number_ + 1;
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    Account& a = it->second;
    if (now - a.wishedAt > kCellStill) {
      if (a.stock >= 1) out.demands.push_back({it->first, -std::floor(a.stock), 0});
      figures_[it->first].add(TokenEvent::handedBack, a.stock);
      it = accounts_.erase(it);
      continue;
    }
    ask(it->first, a, out.number, now, out.demands);
    ++it;
  }
  if (!out.demands.empty()) ++number_;
  return out;
}

void QuotaAggregator::ask(const std::string& tenant, Account& a, std::uint64_t number, double now,
                          std::vector<rpc::TokenDemand>& out) {
  std::erase_if(a.waiting, [&](const Waiting& w) { return now - w.at > kCellWithin; });
  double waits = 0;
  for (const Waiting& w : a.waiting) waits += w.want;
  const double wished = a.wished * std::exp(-(now - a.wishedAt) / kTau);
  const double ahead = wished * kCellAhead < 0.5 ? 0 : wished * kCellAhead;
  // Several requests may be under way: a demand that comes behind one doesn't wait for its answer to be
  // asked.
  const double coming = a.requests.coming(now);
  const bool due = waits > 0 || a.stock + coming < ahead / 2;
  const double want = std::ceil(waits + ahead - a.stock - coming);
  if (!due || want < 1 || now - a.emptyAt <= kCellEmptyFor) return;
  a.requests.add(number, want, now);
  out.push_back({tenant, want, comingToProxies(a, now)});
}

// Requests a second that come to the proxies that told of it lately.
double QuotaAggregator::comingToProxies(Account& a, double now) {
  std::erase_if(a.come, [&](const auto& told) { return now - told.second.second > kComeFor; });
  double sum = 0;
  for (const auto& [proxy, told] : a.come) sum += told.first;
  return sum;
}

void QuotaAggregator::granted(std::uint64_t number, const rpc::TokenGrant& grant, double now,
                              std::vector<Answer>& out) {
  const auto found = accounts_.find(grant.tenant);
  const auto wanted = found == accounts_.end() ? std::nullopt : found->second.requests.answered(number, now);
  if (!wanted) {
    ++dropped_;
    return;
  }
  Account& a = found->second;
  const double granted = std::clamp(grant.granted, 0.0, *wanted);
  a.stock += granted;
  figures_[grant.tenant].add(TokenEvent::received, granted);
  a.use = grant.use;
  if (grant.empty) a.emptyAt = now;
  std::erase_if(a.waiting, [&](const Waiting& w) { return now - w.at > kCellWithin; });
  while (!a.waiting.empty() && (grant.empty || a.stock >= a.waiting.front().want)) {
    const Waiting w = a.waiting.front();
    a.waiting.pop_front();
    const double given = std::min(w.want, std::floor(a.stock));
    out.push_back(lend(grant.tenant, a, w.asker, w.want, given, given < w.want));
  }
}

std::vector<TenantTokens> QuotaAggregator::tokens() const {
  std::vector<TenantTokens> out;
  for (const auto& [tenant, figures] : figures_) out.push_back({tenant, stock(tenant), figures});
  return out;
}

double QuotaAggregator::stock(const std::string& tenant) const {
  const auto found = accounts_.find(tenant);
  return found == accounts_.end() ? 0 : found->second.stock;
}

}  // namespace burlwind::distributed_quota
