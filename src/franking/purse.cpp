#include "franking/purse.hpp"

#include <algorithm>
#include <cmath>

namespace burlwind::franking {
namespace {
constexpr double kTau = 1000;  // ms, memory of what came
}

Purse::Account& Purse::account(const std::string& tenant, double rate, double burst, double now) {
  if (const auto found = index_.find(tenant); found != index_.end()) {
    table_.splice(table_.begin(), table_, found->second);
  } else {
    if (table_.size() >= kTable) {
      index_.erase(table_.back().tenant);
      table_.pop_back();
    }
    table_.push_front({});
    table_.front().tenant = tenant;
    table_.front().cameAt = table_.front().ownAt = now;
    if (!inTouch_) table_.front().own = std::max(burst / couriers_, least_);
    index_[tenant] = table_.begin();
  }
  Account& a = table_.front();
  a.rate = rate, a.burst = burst;
  return a;
}

void Purse::setTouch(bool inTouch, double now) {
  if (inTouch == inTouch_) return;
  inTouch_ = inTouch;
  for (Account& a : table_) a.own = 0, a.ownAt = now, a.asked.clear();
}

// Out of touch the stock goes first: it was taken off the store already.
bool Purse::spend(Account& a, double chance, double now) {
  if (a.stock >= 1) return a.stock -= 1, true;
  if (inTouch_) return false;
  const double part = a.rate / couriers_;
  a.own =
      std::min(std::max({1.0, least_, part / 2, a.burst / couriers_}), a.own + part * (now - a.ownAt) / 1000);
  a.ownAt = now;
  if (a.own <= chance) return false;
  return a.own -= 1, true;
}

Admit Purse::admit(const std::string& tenant, double rate, double burst, double chance, double now) {
  Account& a = account(tenant, rate, burst, now);
  a.came = a.came * std::exp(-(now - a.cameAt) / kTau) + 1000 / kTau;
  a.cameAt = now;
  const bool empty = now - a.emptyAt < kEmptyFor;
  if (empty) {
    const double fraction =
        std::min(1.0, a.fraction + (1 - kFloor) * std::max(0.0, now - a.fractionAt) / kClimb);
    if (chance >= fraction && a.stock < 1) return Admit::no;
  }
  if (spend(a, chance, now)) return Admit::yes;
  if (!inTouch_ || empty) return Admit::no;
  ++a.waits;
  return Admit::wait;
}

Admit Purse::again(const std::string& tenant, double rate, bool last, double now) {
  const auto found = index_.find(tenant);
  if (found == index_.end()) return Admit::no;
  Account& a = *found->second;
  a.rate = rate;
  const bool in = spend(a, 1, now);
  // Who waits behind others goes on waiting, as long as the store is not told empty.
  if (!in && !last && inTouch_ && now - a.emptyAt >= kEmptyFor) return Admit::wait;
  if (a.waits) --a.waits;
  return in ? Admit::yes : Admit::no;
}

double Purse::target(const Account& a) const {
  const double ahead = a.came * kAhead;
  // Of a tenant that comes here seldom nothing is held ahead: at many couriers that would be its whole store.
  return a.fresh       ? std::max(ahead, std::min(a.burst / couriers_, 4.0))
         : ahead < 0.5 ? 0
                       : std::max(1.0, ahead);
}

std::vector<pouch::Wish> Purse::wishes(double now) {
  std::vector<pouch::Wish> out;
  for (Account& a : table_) {
    if (now - a.cameAt > kStill) {
      // What isn't needed goes back: others may need it.
      if (a.stock >= 1 && inTouch_) out.push_back({a.tenant, -std::floor(a.stock), 0});
      a.stock = 0, a.fresh = true;
      continue;
    }
    if (!a.asked.empty() && now - a.asked.front().first > kAnswerWithin) a.asked.clear();
    double coming = 0;
    for (const auto& [at, much] : a.asked) coming += much;
    const double most = target(a);
    if (!a.waits && a.stock + coming >= most / 2) continue;
    const double want = std::ceil(std::max(most, 0.0) - a.stock - coming + a.waits);
    if (want < 1) continue;
    a.asked.emplace_back(now, want);
    if (asked_ <= told_) asked_ = now;
    out.push_back({a.tenant, want, a.came * std::exp(-(now - a.cameAt) / kTau)});
  }
  return out;
}

bool Purse::unanswered(double now) const { return asked_ > told_ && now - asked_ > kAnswerWithin; }

void Purse::granted(const pouch::Lot& lot, double now) {
  told_ = now;
  const auto found = index_.find(lot.tenant);
  if (found == index_.end()) return;
  Account& a = *found->second;
  if (!a.asked.empty()) a.asked.pop_front();
  a.fresh = false;
  a.stock += lot.granted;
  if (!lot.empty) return;
  a.emptyAt = now;
  const double climbed =
      std::min(1.0, a.fraction + (1 - kFloor) * std::max(0.0, now - a.fractionAt) / kClimb);
  a.fraction = lot.use > 0 ? std::clamp(climbed * 100 / lot.use, kFloor, 1.0) : climbed;
  a.fractionAt = now;
}

double Purse::fraction(const std::string& tenant) const {
  const auto found = index_.find(tenant);
  return found == index_.end() ? 1 : found->second->fraction;
}
double Purse::stock(const std::string& tenant) const {
  const auto found = index_.find(tenant);
  return found == index_.end() ? 0 : found->second->stock;
}

}  // namespace burlwind::franking
