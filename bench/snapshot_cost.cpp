// What keeping a state costs the loop: the module's part (remember) and its frame, for a table that is full,
// and what the thread then writes. Prints times and ratios of one run; no part of CI's verdict.
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <vector>

#include "irisring/decide.hpp"
#include "snapshot/files.hpp"
#include "snapshot/frame.hpp"

namespace {

using namespace irisring;
using Clock = std::chrono::steady_clock;

struct Silent : Actions {
  RequestId sent = 0;
  void send(RequestId id, WorkerId, Time) override { sent = id; }
  void refuse(RequestId, Time, Reason) override {}
  void fail(RequestId, Reason) override {}
  void setTimer(Time, std::uint64_t) override {}
  void subscribe() override {}
  void log(const std::string&) override {}
};

Settings settings() {
  Settings out;
  ClassSettings klass;
  klass.aim = 1000, klass.deadline = 3000, klass.repeat = Repeat::safe;
  out.classes = {klass};
  PlanSettings plan;
  plan.rate = 10, plan.burst = 20, plan.ceilingRate = 20, plan.ceilingBurst = 40;
  out.plans = {plan};
  out.meterPeriod = 1000;
  return out;
}

double ms(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

void measure(unsigned customers, unsigned workers) {
  Silent actions;
  Gateway gateway(settings(), 7, 0, actions);
  std::vector<Member> list(workers);
  for (unsigned i = 0; i < workers; ++i) list[i].worker = i + 1;
  gateway.members(0, ListKind::full, list);
  Time now = 10000;
  for (unsigned round = 0; round < 4; ++round)
    for (unsigned c = 0; c < customers; ++c, now += 0.2) {
      gateway.request(now, {c + round * customers + 1, 0, 0, c + 1, now + 3000});
      Outcome end;
      end.id = actions.sent, end.worker = 1, end.elapsed = 5, end.finished = true, end.usePercent = 40;
      gateway.outcome(now, end);
    }
  double made = 0, framed = 0, written = 0;
  std::size_t bytes = 0;
  constexpr int kTimes = 5;
  burlwind::snapshot::DiskFiles files;
  const std::string path = (std::filesystem::temp_directory_path() / "burlwind-snapshot-cost").string();
  for (int i = 0; i < kTimes; ++i) {
    burlwind::snapshot::Snapshot state;
    auto begin = Clock::now();
    state.module = gateway.remember(now);
    made = std::max(made, ms(begin));
    begin = Clock::now();
    const std::string frame = encode(state);
    framed = std::max(framed, ms(begin));
    begin = Clock::now();
    burlwind::snapshot::replace(files, path, frame);
    written = std::max(written, ms(begin));
    bytes = frame.size();
  }
  std::filesystem::remove(path);
  std::printf(
      "%6u customers %6u workers: made %.2f ms on the loop; framed %.2f ms, written %.2f ms on the thread; "
      "%.2f MB\n",
      customers, workers, made, framed, written, static_cast<double>(bytes) / (1 << 20));
}

}  // namespace

int main() {
  for (const unsigned customers : {100u, 1000u, 4096u}) measure(customers, 100);
  measure(4096, 1000);
  measure(4096, 10000);
}
