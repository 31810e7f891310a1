#include "distributed_quota/aggregator.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace burlwind::distributed_quota {
namespace {
constexpr double kComeFor = 2000;   // ms that what a proxy told of its requests counts
constexpr double kLeastLent = 0.5;  // tokens ahead, below which none are
}  // namespace

void QuotaAggregator::demand(const Asker& asker, const rpc::TokenDemand& demand, double now,
                             std::vector<Answer>& out) {
  if (demand.want <= 0) return;
  Account& a = accounts_[demand.tenant];
  expire(demand.tenant, a, now);
  a.demandedAt = now;
  a.come[asker.proxy] = {demand.asked, now};
  const Waiting asked{asker, demand.want, now};
  const double held = std::floor(a.stock.held());
  if (a.waiting.empty() && held >= demand.want)
    out.push_back(lend(demand.tenant, a, asked, demand.want, false));
  else if (now - a.emptyAt < kCellEmptyFor)
    out.push_back(lend(demand.tenant, a, asked, std::min(demand.want, held), true));
  else
    a.waiting.push_back(asked);
}

QuotaAggregator::Answer QuotaAggregator::lend(const std::string& tenant, Account& a, const Waiting& to,
                                              double given, bool empty) {
  const TokenStock::Taken taken = a.stock.take(given);
  TokenFigures& figures = figures_[tenant];
  figures.add(TokenEvent::lent, taken.tokens);
  figures.add(TokenEvent::refused, to.want - taken.tokens);
  // The proxy counts from when it asked, which was before the demand came here.
  const double lifeMs = taken.tokens > 0 ? taken.endsAt - to.at : 0;
  return {to.asker, {tenant, taken.tokens, a.use, empty, lifeMs}};
}

void QuotaAggregator::expire(const std::string& tenant, Account& a, double now) {
  if (const double ended = a.stock.expire(now); ended > 0) figures_[tenant].add(TokenEvent::expired, ended);
}

void QuotaAggregator::dropStocks() {
  for (auto& [tenant, account] : accounts_) {
    figures_[tenant].add(TokenEvent::expired, account.stock.clear());
    account.requests.clear();
  }
}

void QuotaAggregator::limitLowered(const std::string& tenant) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) return;
  figures_[tenant].add(TokenEvent::limitLowered, found->second.stock.clear());
  found->second.requests.clear();
}

rpc::TokenRequest QuotaAggregator::request(double now) {
  rpc::TokenRequest out;
  out.number = number_ + 1;
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    Account& a = it->second;
    expire(it->first, a, now);
    if (now - a.demandedAt > kCellStill) {
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
  const double comes = comingToProxies(a, now);
  const double share = a.use > 100 ? 100.0 / a.use : 1;
  const double wished = comes * share * kCellAhead;
  const double ahead = wished < kLeastLent ? 0 : wished;
  // Several requests may be under way: a demand that comes behind one doesn't wait for its answer to be
  // asked.
  const double coming = a.requests.coming(now);
  const double stock = a.stock.held();
  const bool due = waits > 0 || stock + coming < ahead / 2;
  const double want = std::ceil(waits + ahead - stock - coming);
  if (!due || want < 1 || now - a.emptyAt <= kCellEmptyFor) return;
  a.requests.add(number, want, now);
  out.push_back({tenant, want, comes});
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
  const auto request = found == accounts_.end() ? std::nullopt : found->second.requests.answered(number, now);
  if (!request) {
    ++dropped_;
    return;
  }
  Account& a = found->second;
  const double granted = std::clamp(grant.granted, 0.0, request->want);
  a.stock.add(granted, request->at + grant.lifeMs);
  figures_[grant.tenant].add(TokenEvent::received, granted);
  expire(grant.tenant, a, now);
  a.use = grant.use;
  if (grant.empty) a.emptyAt = now;
  std::erase_if(a.waiting, [&](const Waiting& w) { return now - w.at > kCellWithin; });
  while (!a.waiting.empty() && (grant.empty || a.stock.held() >= a.waiting.front().want)) {
    const Waiting first = a.waiting.front();
    a.waiting.pop_front();
    const double given = std::min(first.want, std::floor(a.stock.held()));
    out.push_back(lend(grant.tenant, a, first, given, given < first.want));
  }
}

std::vector<TenantTokens> QuotaAggregator::tokens(double now) const {
  std::vector<TenantTokens> out;
  for (const auto& [tenant, figures] : figures_) {
    const auto account = accounts_.find(tenant);
    const double held = account == accounts_.end() ? 0 : account->second.stock.heldAt(now);
    out.push_back({tenant, held, figures});
  }
  return out;
}

double QuotaAggregator::stock(const std::string& tenant) const {
  const auto found = accounts_.find(tenant);
  return found == accounts_.end() ? 0 : found->second.stock.held();
}

}  // namespace burlwind::distributed_quota
