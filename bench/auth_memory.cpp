// What the core of forward authentication holds at its worst under the default settings: verdicts remembered,
// checks that wait, and requests that share them. Bytes that the allocator has handed out; ratios to the
// settings' bounds count.
//
//   cmake --build build --target auth_memory && build/auth_memory
#include <malloc.h>

#include <cstdio>

#include "auth/core.hpp"

namespace {

using namespace burlwind::auth;

std::size_t inUse() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

std::shared_ptr<const std::string> text(std::size_t number, std::size_t bytes) {
  std::string out = std::to_string(number);
  out.resize(bytes, 'x');
  return std::make_shared<const std::string>(std::move(out));
}

// Asks for so many texts of one size, each answered and remembered.
void remember(std::size_t bytes) {
  const Settings settings;
  const std::size_t before = inUse();
  Core core(settings);
  const auto verdict = [] {
    auto out = std::make_shared<Verdict>();
    out->allows = true;
    out->headers = {{"X-User", "somebody"}};
    return out;
  };
  for (std::size_t i = 0; i < 2 * settings.cacheEntries; ++i) {
    core.ask(0, i, {text(i, bytes), WhenDown::closed, 0});
    core.answered(0, i + 1, verdict(), {true, 60000});
  }
  std::printf("remembered, texts of %5zu B: %6zu entries, bound %.1f MB, held %.1f MB (%.2f of the bound)\n",
              bytes, core.remembered(), static_cast<double>(settings.cacheBytes) / 1e6,
              static_cast<double>(inUse() - before) / 1e6,
              static_cast<double>(inUse() - before) / static_cast<double>(settings.cacheBytes));
}

// Checks out and queued to the last, each with so many requests that wait for it.
void wait(std::size_t bytes, std::size_t waiters) {
  const Settings settings;
  const std::size_t before = inUse();
  Core core(settings);
  WaiterId last = 0;
  std::size_t checks = 0;
  for (std::size_t i = 0; i < settings.queue + settings.outPerChecker; ++i) {
    const auto one = text(i, bytes);
    const auto waitingBefore = core.waiting();
    for (std::size_t w = 0; w < waiters; ++w) core.ask(0, ++last, {one, WhenDown::closed, i});
    checks += core.waiting() > waitingBefore;
  }
  std::printf(
      "waiting, texts of %5zu B, %3zu requests each: %zu checks, held %.1f MB, %.0f B a request beside its "
      "text\n",
      bytes, waiters, checks, static_cast<double>(inUse() - before) / 1e6,
      (static_cast<double>(inUse() - before) - static_cast<double>(checks * bytes)) /
          static_cast<double>(core.waiting()));
}

}  // namespace

int main() {
  for (const std::size_t bytes : {100u, 300u, 1000u, 8192u}) remember(bytes);
  wait(300, 1);
  wait(16384, 1);
  wait(300, 512);
}
