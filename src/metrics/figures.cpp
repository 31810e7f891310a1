#include "metrics/figures.hpp"

#include <utility>

namespace burlwind::metrics {
namespace {

constexpr const char* kNames[] = {"success", "busy", "failure"};
constexpr const char* kReasonNames[] = {"unreadable", "ceiling", "bucket", "cap",       "store",
                                        "stranger",   "limit",   "nobody", "full",      "cold",
                                        "lost",       "time",    "denied", "unchecked", "draining",
                                        "ending",     "memory",  "client", "broken"};
static_assert(std::size(kReasonNames) == Why::kAll);

void line(std::string& out, const std::string& name, std::uint64_t value) {
  out += "balancer." + name + "=" + std::to_string(value) + "\n";
}

}  // namespace

Fate fateOf(unsigned status) {
  if (status == 200) return Fate::success;
  return status == 429 || status == 503 ? Fate::busy : Fate::failure;
}

const char* nameOf(Why why) { return kReasonNames[why.index()]; }

Figures::Figures(std::vector<std::string> classes, std::vector<std::string> plans)
    : classes_(std::move(classes)),
      plans_(std::move(plans)),
      fates_(classes_.size()),
      reasons_(plans_.size()) {}

// Of each plan those reasons that there were.
template <class Do>
void Figures::eachReason(bool failures, Do go) const {
  for (std::size_t plan = 0; plan < plans_.size(); ++plan)
    for (std::size_t why = 0; why < Why::kAll; ++why)
      if (const auto n = reasons_[plan][failures][why]; n > 0) go(plans_[plan], kReasonNames[why], n);
}

std::uint64_t Figures::sum(Fate fate) const {
  std::uint64_t out = 0;
  for (const auto& fates : fates_) out += fates[static_cast<std::size_t>(fate)];
  return out;
}

std::string Figures::text(const Hosts& hosts) const {
  std::string out;
  for (std::size_t fate = 0; fate < kFates; ++fate)
    for (std::size_t klass = 0; klass < classes_.size(); ++klass)
      line(out, std::string(kNames[fate]) + "." + classes_[klass], fates_[klass][fate]);
  line(out, "backend_calls", attempts_);
  line(out, "inflight", inflight_);
  line(out, "hosts_listed", hosts.listed);
  line(out, "hosts_down", hosts.down);
  for (const bool failures : {false, true})
    eachReason(failures, [&](const std::string& plan, const char* why, std::uint64_t n) {
      line(out, std::string(failures ? "failure" : "busy") + "_why." + plan + "." + why, n);
    });
  return out;
}

std::string Figures::summary() const {
  std::string out = "served " + std::to_string(sum(Fate::success));
  for (const bool failures : {false, true}) {
    out += failures ? "; failed " : "; refused ";
    out += std::to_string(sum(failures ? Fate::failure : Fate::busy));
    const char* before = ": ";
    eachReason(failures, [&](const std::string& plan, const char* why, std::uint64_t n) {
      out += before + plan + " " + why + " " + std::to_string(n);
      before = ", ";
    });
  }
  return out;
}

}  // namespace burlwind::metrics
