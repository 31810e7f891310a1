// Quotas in one registry's cell: it asks the holder of the quotas for many of its proxies at once and lends
// them on, so that most demands are met inside the cell, without a way to another region. Decisions only.
//
// A token that it holds was taken off the store before; one that it loses lets nothing in. It holds
// kCellAhead of what its proxies demand for, and gives back what has been still for kCellStill. Cost: one map
// entry a tenant, one queue entry a demand under way.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rpc/messages.hpp"

namespace burlwind::distributed_quota {

constexpr double kCellAhead = 0.3;     // seconds of demands
constexpr double kCellStill = 3000;    // ms
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
  std::vector<rpc::TokenDemand> demands(double now);  // for the holder; empty: nothing
  void granted(const rpc::TokenGrant& grant, double now, std::vector<Answer>& out);
  double stock(const std::string& tenant) const;

 private:
  struct Waiting {
    Asker asker;
    double want = 0, at = 0;
  };
  struct Account {
    double stock = 0;
    double wished = 0, wishedAt = 0;              // tokens a second, of late
    std::deque<std::pair<double, double>> asked;  // questions under way: when, how much
    double emptyAt = -1e18;
    int use = 0;
    std::unordered_map<std::string, std::pair<double, double>> come;  // by proxy: requests a second, when
    std::deque<Waiting> waiting;
  };
  std::unordered_map<std::string, Account> accounts_;
};

}  // namespace burlwind::distributed_quota
