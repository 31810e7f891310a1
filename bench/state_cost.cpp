// What a change costs a config store at three sizes of its state: packing and writing the record (two
// environments in turn, synced), and the patch that goes to the others. Prints times of one run; no part of
// CI's verdict.
//
//     state_cost [folder]     the folder's disk is written to; a temporary one if none is given
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <string>

#include "config_store/store.hpp"
#include "consensus/core.hpp"
#include "consensus/state_patch.hpp"

namespace {

using namespace burlwind;
using Clock = std::chrono::steady_clock;

std::string text(std::size_t size) {
  std::mt19937 random(1);
  std::string out(size, ' ');
  for (char& c : out) c = static_cast<char>('a' + random() % 26);
  return out;
}

template <class Work>
double milliseconds(Work work) {
  const auto from = Clock::now();
  work();
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

void measure(const std::filesystem::path& folder, std::size_t size) {
  constexpr int kTimes = 20;
  config_store::Store store(folder / std::to_string(size));
  std::string found;
  if (store.open(found)) std::exit(1);
  consensus::PersistentState record;
  record.members = {{1, "10.0.0.1"}, {2, "10.0.0.2"}, {3, "10.0.0.3"}};
  record.state = text(size);
  double pack = 0;
  double write = 0;
  double worst = 0;
  double patch = 0;
  double apply = 0;
  std::size_t patchBytes = 0;
  for (int i = 0; i < kTimes; ++i) {
    std::string after = record.state;
    after.insert(after.size() / 3, "a route more");
    after.replace(after.size() / 2, 9, "a version");
    std::string made;
    patch += milliseconds([&] { made = consensus::makePatch(record.state, after); });
    apply +=
        milliseconds([&] { consensus::applyPatch(record.state, made, consensus::kMostStateBytes, found); });
    patchBytes = made.size();
    record.state = std::move(after);
    ++record.index;
    msgpack::sbuffer out;
    pack += milliseconds([&] { msgpack::pack(out, record); });
    const double one = milliseconds([&] {
      if (store.write({out.data(), out.size()})) std::exit(1);
    });
    write += one;
    worst = std::max(worst, one);
  }
  std::printf(
      "%8zu bytes: pack %.2f ms, write %.2f ms (worst %.2f), patch %.2f ms and %zu bytes, apply %.2f ms\n",
      size, pack / kTimes, write / kTimes, worst, patch / kTimes, patchBytes, apply / kTimes);
}

}  // namespace

int main(int argc, char** argv) {
  const std::filesystem::path folder =
      (argc > 1 ? std::filesystem::path(argv[1]) : std::filesystem::temp_directory_path()) /
      "burlwind-state-cost";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  for (const std::size_t size : {60'000u, 2'000'000u, 8'000'000u}) measure(folder, size);
  std::filesystem::remove_all(folder);
}
