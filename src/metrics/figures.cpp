#include "metrics/figures.hpp"

#include <utility>

namespace burlwind::metrics {
namespace {

constexpr const char* kNames[] = {"success", "busy", "failure"};

void line(std::string& out, const std::string& name, std::uint64_t value) {
  out += "balancer." + name + "=" + std::to_string(value) + "\n";
}

}  // namespace

Fate fateOf(unsigned status) {
  if (status == 200) return Fate::success;
  return status == 429 || status == 503 ? Fate::busy : Fate::failure;
}

Figures::Figures(std::vector<std::string> classes) : classes_(std::move(classes)), fates_(classes_.size()) {}

std::string Figures::text(const Hosts& hosts) const {
  std::string out;
  for (std::size_t fate = 0; fate < kFates; ++fate)
    for (std::size_t klass = 0; klass < classes_.size(); ++klass)
      line(out, std::string(kNames[fate]) + "." + classes_[klass], fates_[klass][fate]);
  line(out, "backend_calls", attempts_);
  line(out, "inflight", inflight_);
  line(out, "hosts_listed", hosts.listed);
  line(out, "hosts_down", hosts.down);
  return out;
}

}  // namespace burlwind::metrics
