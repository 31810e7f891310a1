// Quotas in one registry's cell: it asks the holder of the quotas for many of its proxies at once and lends
// them on, so that most demands are met inside the cell, without a way to another region. Decisions only.
//
// A token that it holds was taken off the store before; one that it loses lets nothing in. It holds
// kCellAhead of what comes to its proxies, as each told it last, and of their share of the rate: a demand
// that is said again is the same one. Each token ends by itself, and is lent on for what is left of its time.
// Cost: one map entry a tenant, one queue entry a demand under way.
//
// Properties, as the proxies' own (token_cache.hpp): a grant counts once, for a request under way, and for no
// more than that one asked for. A demand that has waited for kCellWithin is answered no more: its proxy has
// asked again. Under a lower limit nothing is lent that was granted under the one before.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "distributed_quota/outstanding_requests.hpp"
#include "distributed_quota/quota_bound.hpp"
#include "distributed_quota/token_figures.hpp"
#include "distributed_quota/token_stock.hpp"
#include "rpc/messages.hpp"

namespace burlwind::distributed_quota {

constexpr double kCellStill = 3000;    // ms without a demand until a tenant is forgotten
constexpr double kCellWithin = 500;    // ms until a question to the holder counts as lost
constexpr double kCellEmptyFor = 150;  // ms that "the store is empty" is believed

class QuotaAggregator {
 public:
  struct Asker {
    std::string proxy;
    std::uint64_t incarnation = 0, number = 0;
  };
  struct Answer {
    Asker to;
    rpc::TokenGrant grant;
  };
  // A proxy's demand: met at once, or once the holder has answered, or not (the proxy has a time-out).
  void demand(const Asker& asker, const rpc::TokenDemand& demand, double now, std::vector<Answer>& out);
  // What to ask the holder for, now, under a number of its own. Without demands: nothing.
  rpc::TokenRequest request(double now);
  // One tenant's part of the answer to the request of that number.
  void granted(std::uint64_t number, const rpc::TokenGrant& grant, double now, std::vector<Answer>& out);
  // Tokens of a holder that is none any more: a new one reckons with what proxies have.
  void dropStocks();
  void limitLowered(const std::string& tenant);
  std::uint64_t dropped() const { return dropped_; }  // grants that answered nothing under way
  double stock(const std::string& tenant) const;
  std::vector<TenantTokens> tokens(double now) const;  // of each tenant asked for so far

 private:
  struct Waiting {
    Asker asker;
    double want = 0, at = 0;
  };
  struct Account {
    TokenStock stock;
    double demandedAt = 0;
    OutstandingRequests requests{kCellWithin};
    double emptyAt = -1e18;
    int use = 0;
    std::unordered_map<std::string, std::pair<double, double>> come;  // by proxy: requests a second, when
    std::deque<Waiting> waiting;
  };
  void ask(const std::string& tenant, Account& a, std::uint64_t number, double now,
           std::vector<rpc::TokenDemand>& out);
  Answer lend(const std::string& tenant, Account& a, const Waiting& to, double given, bool empty);
  void expire(const std::string& tenant, Account& a, double now);
  static double comingToProxies(Account& a, double now);
  std::unordered_map<std::string, Account> accounts_;
  std::unordered_map<std::string, TokenFigures> figures_;  // outlive the accounts
  std::uint64_t number_ = 0;                               // of the latest request
  std::uint64_t dropped_ = 0;
};

}  // namespace burlwind::distributed_quota
