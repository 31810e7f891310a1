#include "distributed_quota/token_cache.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burlwind::distributed_quota {
namespace {
constexpr double kLeastAhead = 2;           // tokens: of fewer, many would end unused
constexpr double kTau = 2500;               // ms, memory of what came; shorter: one request looks like many
constexpr double kFirstGrantWithin = 1000;  // ms of a process's life in which it waits for its first grant
constexpr double kPartWait = 350;           // ms that a request may wait for its proxy's own part to grow

// ms in which a store fills.
double fillSpan(double rate, double burst) { return rate > 0 ? 1000 * burst / rate : 0; }

}  // namespace

TokenCache::Account& TokenCache::account(const std::string& tenant, double rate, double burst, double now) {
  Account* a = table_.touch(tenant);
  if (!a) {
    if (table_.size() >= kTable) {
      table_.drop(std::string(table_.begin()->tenant), table_.begin());
      evictedAt_ = now;
    }
    a = &table_.add(tenant);
    a->tenant = tenant;
    a->cameAt = now;
    // Nothing of its part was spent since, whoever it is: an entry was evicted at evictedAt_ at the latest.
    a->ownAt = std::max(outSince_, evictedAt_);
  }
  setLimit(*a, rate, burst);
  return *a;
}

void TokenCache::expire(Account& a, double now) { a.figures.add(TokenEvent::expired, a.stock.expire(now)); }

void TokenCache::setLimit(Account& a, double rate, double burst) {
  if (rate < a.rate || burst < a.burst) {
    a.figures.add(TokenEvent::limitLowered, a.stock.clear());
    a.requests.clear();
  }
  a.rate = rate, a.burst = burst;
}

Admit TokenCache::refuse(Account& a) {
  a.figures.add(TokenEvent::refused);
  return Admit::no;
}

void TokenCache::climb(Account& a, double now) {
  a.fraction.climb((1 - quota::kFractionFloor) * std::max(0.0, now - a.fractionAt) / kClimb);
  a.fractionAt = std::max(a.fractionAt, now);
}

void TokenCache::setContact(Contact contact, double now) {
  if (contact == contact_) return;
  const bool wasInTouch = inTouch();
  for (Account& a : table_) growPart(a, now);
  contact_ = contact;
  if (wasInTouch == inTouch()) return;
  if (wasInTouch) outSince_ = now;
  for (Account& a : table_) a.own.level = 0, a.ownAt = now, a.requests.clear();
}

double TokenCache::share(double now) const {
  if (inTouch() || proxies_ == 0 || now - outSince_ > kPartLease) return 0;
  return contact_ == Contact::unsure ? kUnsureShare : 1;
}

void TokenCache::growPart(Account& a, double now) const {
  if (proxies_ == 0) return;
  const double part = share(now) * a.rate / proxies_;
  a.own.fill(partSaved({a.rate, a.burst}, slack_, proxies_), part * std::max(0.0, now - a.ownAt) / 1000);
  a.ownAt = now;
}

bool TokenCache::spend(Account& a, double chance, double now) {
  if (!takeOne(a, chance, now)) return false;
  a.letIn.add(fillSpan(a.rate, a.burst), now);
  return true;
}

rpc::UsageReport TokenCache::usage(double now) {
  rpc::UsageReport out;
  out.coveredMs = now - std::max(beganAt_, evictedAt_);
  for (Account& a : table_) {
    expire(a, now);
    const double used = a.letIn.sum(fillSpan(a.rate, a.burst), now) + a.stock.held();
    if (used > 0) out.uses.push_back({a.tenant, used});
  }
  return out;
}

// Out of touch the stock goes first: it was taken off the store already.
bool TokenCache::takeOne(Account& a, double chance, double now) {
  expire(a, now);
  lastTokenEnds_.reset();
  if (a.stock.held() >= 1) {
    lastTokenEnds_ = a.stock.take(1).endsAt;
    a.figures.add(TokenEvent::spent);
    return true;
  }
  if (share(now) == 0) return false;
  growPart(a, now);
  if (a.own.level <= chance) return false;
  a.own.level -= 1;
  a.figures.add(TokenEvent::ownPart);
  return true;
}

Admit TokenCache::admit(const std::string& tenant, double rate, double burst, double chance, double now) {
  Account& a = account(tenant, rate, burst, now);
  expire(a, now);
  if (now - a.cameAt > kStill) a.fresh = true;
  a.came = arrivalRate(a, now) + 1000 / kTau;
  a.cameAt = now;
  const bool empty = now - a.emptyAt < kEmptyFor;
  if (empty) {
    climb(a, now);
    if (chance >= a.fraction.value && a.stock.held() < 1) return refuse(a);
  }
  if (spend(a, chance, now)) return Admit::yes;
  if (inTouch() ? empty : !partComes(a, now)) return refuse(a);
  ++a.waits;
  return Admit::wait;
}

bool TokenCache::partComes(const Account& a, double now) const {
  if (share(now) == 0) return false;
  const double part = share(now) * a.rate / proxies_;
  const double saved =
      std::min(partSaved({a.rate, a.burst}, slack_, proxies_), a.own.level + part * kPartWait / 1000);
  return saved - a.waits > 1;
}

Admit TokenCache::again(const std::string& tenant, double rate, bool last, double now) {
  Account* const known = table_.peek(tenant);
  if (!known) return Admit::no;
  Account& a = *known;
  setLimit(a, rate, a.burst);
  const bool in = spend(a, 1, now);
  // Who waits behind others goes on waiting, as long as the store is not told empty.
  if (!in && !last && (inTouch() || share(now) > 0) && now - a.emptyAt >= kEmptyFor) return Admit::wait;
  if (a.waits) --a.waits;
  return in ? Admit::yes : refuse(a);
}

void TokenCache::withdraw(const std::string& tenant) {
  Account* const known = table_.peek(tenant);
  if (known && known->waits) --known->waits;
}

void TokenCache::giveBack(const std::string& tenant, double endsAt, double now) {
  Account* const known = table_.peek(tenant);
  if (!known || !inTouch()) return;
  if (!known->letIn.takeBack(fillSpan(known->rate, known->burst), now)) return;
  known->stock.add(1, endsAt);
  known->figures.add(TokenEvent::returned);
}

// Requests a second that come now, as remembered.
double TokenCache::arrivalRate(const Account& a, double now) {
  return a.came * std::exp(-(now - a.cameAt) / kTau);
}

double TokenCache::target(const Account& a, double now) const {
  const double share = a.use > 100 ? 100.0 / a.use : 1;
  const double ahead = arrivalRate(a, now) * share * kAhead;
  // Of a tenant that comes here seldom nothing is held ahead: at many proxies that would be its whole store.
  const double most = a.fresh ? std::max(ahead, std::min(a.burst / std::max(1U, proxies_), 4.0)) : ahead;
  return most < kLeastAhead ? 0 : most;
}

rpc::TokenRequest TokenCache::request(double now) {
  rpc::TokenRequest out;
  out.number = number_ + 1;
  for (Account& a : table_) ask(a, out.number, now, out.demands);
  if (!out.demands.empty()) ++number_;
  return out;
}

void TokenCache::ask(Account& a, std::uint64_t number, double now, std::vector<rpc::TokenDemand>& out) {
  expire(a, now);
  if (now - a.cameAt > kStill) {
    a.fresh = true;
    return;
  }
  const double coming = a.requests.coming(now);
  const double most = target(a, now);
  const double stock = a.stock.held();
  if (!a.waits && stock + coming >= most / 2) return;
  const double want = std::ceil(most - stock - coming + a.waits);
  if (want < 1) return;
  a.requests.add(number, want, now);
  if (asked_ <= told_) asked_ = now;
  out.push_back({a.tenant, want, arrivalRate(a, now)});
}

void TokenCache::newHolder(double now) {
  for (Account& a : table_) a.requests.clear();
  holderless_ = false;
  told_ = now;
}

Contact TokenCache::answered(Contact contact, double now) const {
  const double waits = asked_ > told_ ? now - asked_ : 0;
  // After a start of everything a holder comes in a moment, with more than the part that has grown since.
  const bool expectsHolder = !hasGrants() && now - beganAt_ < kFirstGrantWithin;
  if (contact == Contact::held && holderless_ && !expectsHolder) return Contact::lost;
  if (contact != Contact::held || waits <= kAnswerWithin) return contact;
  return waits <= kAnswerWithin + 1000 * kUncountedWithin ? Contact::unsure : Contact::lost;
}

void TokenCache::granted(std::uint64_t number, const rpc::TokenGrant& grant, double now) {
  Account* const known = table_.peek(grant.tenant);
  const auto request = known ? known->requests.answered(number, now) : std::nullopt;
  if (!request) {
    ++dropped_;
    return;
  }
  told_ = now;
  if (!firstGrantAt_) firstGrantAt_ = now;
  holderless_ = false;
  Account& a = *known;
  a.fresh = false;
  a.use = grant.use;
  const double granted = std::clamp(grant.granted, 0.0, request->want);
  a.stock.add(granted, request->at + grant.lifeMs);
  a.figures.add(TokenEvent::received, granted);
  if (!grant.empty) return;
  a.emptyAt = now;
  climb(a, now);
  if (grant.use > 0) a.fraction.read(grant.use);
}

std::vector<TenantTokens> TokenCache::tokens(double now) const {
  std::vector<TenantTokens> out;
  for (const Account& a : table_) out.push_back({a.tenant, a.stock.heldAt(now), a.figures});
  return out;
}

double TokenCache::fraction(const std::string& tenant) const {
  const Account* const known = table_.peek(tenant);
  return known ? known->fraction.value : 1;
}
double TokenCache::stock(const std::string& tenant) const {
  const Account* const known = table_.peek(tenant);
  return known ? known->stock.held() : 0;
}

}  // namespace burlwind::distributed_quota
