#include "rehearsal/healing.hpp"

#include <algorithm>

namespace burlwind::rehearsal {
namespace {

constexpr double kStepMs = 100;
constexpr double kBeforeSpans = 5;
constexpr double kSureSpans = 3;

}  // namespace

void ServiceOverTime::add(double at, double offered, double served) {
  points_.push_back({at, offered, served});
  settled_ = false;
}

void ServiceOverTime::settle() const {
  if (settled_) return;
  std::sort(points_.begin(), points_.end(), [](const Point& a, const Point& b) { return a.at < b.at; });
  for (std::size_t i = 1; i < points_.size(); ++i) {
    points_[i].offered += points_[i - 1].offered;
    points_[i].served += points_[i - 1].served;
  }
  settled_ = true;
}

double ServiceOverTime::share(double from, double until) const {
  settle();
  const auto sumsBefore = [&](double at) {
    const auto it = std::lower_bound(points_.begin(), points_.end(), at,
                                     [](const Point& p, double when) { return p.at < when; });
    return it == points_.begin() ? Point{at, 0, 0} : *(it - 1);
  };
  const Point a = sumsBefore(from), b = sumsBefore(until);
  return b.offered > a.offered ? (b.served - a.served) / (b.offered - a.offered) : 1;
}

Healing heal(const ServiceOverTime& service, std::size_t fault, double begin, double length, double until) {
  Healing out;
  out.fault = fault;
  out.before = service.share(begin - kBeforeSpans * kSpanMs, begin);
  const double last = std::min(until - kSpanMs, begin + length + kAfterSpans * kSpanMs);
  for (double at = begin; at <= last; at += kStepMs)
    if (const double share = service.share(at, at + kSpanMs); share < out.lowest)
      out.lowest = share, out.lowestAt = at - begin;
  const auto back = [&](double part, double spans) {
    if (out.lowest >= part * out.before) return 0.0;
    for (double at = begin + out.lowestAt; at <= until - spans * kSpanMs; at += kStepMs)
      if (service.share(at, at + spans * kSpanMs) >= part * out.before) return at - begin;
    return Healing::kNever;
  };
  out.to90 = back(0.9, 1);
  out.to98 = back(0.98, kSureSpans);
  return out;
}

}  // namespace burlwind::rehearsal
