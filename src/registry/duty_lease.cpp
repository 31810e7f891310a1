#include "registry/duty_lease.hpp"

#include <algorithm>

namespace burlwind::registry {
namespace {
constexpr double kAskPause = 200;  // ms
// Who is far from the platform leaves the duties to others first, for as many times the way there and back.
constexpr double kFarTimes = 5, kFarMost = 120;
}  // namespace

void DutyLease::heard(const rpc::LeaderConfirmation& confirmation, double now) {
  if (confirmation.holder.empty() && (!holderIp_.empty() || freeSince_ == 0)) freeSince_ = now;
  holderIp_ = confirmation.holder, ownerEpoch_ = confirmation.epoch;
}

std::optional<rpc::LeaseRequest> DutyLease::ask(double platformMs, double now) {
  if (now < askAt_) return std::nullopt;
  askAt_ = now + kAskPause;
  if (!holderIp_.empty() && holderIp_ != ip_) return std::nullopt;
  // Who is near the platform takes the duties: the list is read many times a second.
  const double leave = std::min(kFarMost, kFarTimes * platformMs);
  const bool wants = holderIp_ == ip_ || (freeSince_ > 0 && now - freeSince_ >= leave);
  holder_.asked(++number_, now);
  return rpc::LeaseRequest{number_, ip_, incarnation_, ownerEpoch_, wants};
}

DutyLease::Answer DutyLease::answered(const rpc::LeaseResponse& response, double now) {
  const bool lapsed = !holder_.holds(now);
  if (!holder_.answered(response.number, response.span)) return Answer::refused;
  const bool again = epoch_ == response.epoch && epoch_ > 0;
  epoch_ = response.epoch;
  if (!again) return Answer::taken;
  return lapsed ? Answer::regained : Answer::renewed;
}

}  // namespace burlwind::registry
