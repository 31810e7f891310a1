#include "snapshot/store.hpp"

#include <time.h>

#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstring>
#include <fstream>

namespace burlwind::snapshot {

Moment momentNow() {
  Moment out;
  out.wallMs =
      std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
  std::ifstream("/proc/sys/kernel/random/boot_id") >> out.boot;
  timespec since{};
  if (::clock_gettime(CLOCK_BOOTTIME, &since) == 0)
    out.bootMs = 1e3 * static_cast<double>(since.tv_sec) + 1e-6 * static_cast<double>(since.tv_nsec);
  return out;
}

std::optional<double> ageOf(const Moment& written, const Moment& now) {
  const double wall = now.wallMs - written.wallMs;
  if (!std::isfinite(wall) || wall < 0) return std::nullopt;
  if (written.boot.empty() || written.boot != now.boot) return wall;
  const double boot = now.bootMs - written.bootMs;
  if (boot < 0 || std::abs(boot - wall) > kClocksApart) return std::nullopt;
  return boot;
}

std::optional<Snapshot> Store::readOne(const std::string& path, Reading& out) {
  std::string bytes;
  const int error = files_.read(path, kHeadBytes + kMostFrame, bytes);
  if (error == ENOENT) return std::nullopt;
  out.kept = true;
  const auto refuse = [&](const std::string& why) {
    out.why += (out.why.empty() ? "" : "; ") + path + ": " + why;
    return std::nullopt;
  };
  if (error != 0) return refuse(std::strerror(error));
  auto state = decode(bytes);
  if (!state) return refuse("cut, changed or of another version");
  if (state->stamp.name != name_) return refuse("of another gatekeeper: " + state->stamp.name.substr(0, 64));
  if (state->settings != settings_) return refuse("of other settings");
  return state;
}

Reading Store::read() {
  Reading out;
  newest_ = 1;
  for (unsigned slot = 0; slot < 2; ++slot) {
    auto state = readOne(pathOf(slot), out);
    if (!state || (out.state && out.state->stamp.number > state->stamp.number)) continue;
    out.state = std::move(state);
    newest_ = slot;
  }
  return out;
}

std::string Store::write(std::string_view frame) {
  if (!newest_) read();
  const unsigned slot = 1 - *newest_;
  std::string error = replace(files_, pathOf(slot), frame);
  // Where the file is there and only its folder's sync failed, it may be the newest: the other one stays.
  if (error.empty()) newest_ = slot;
  return error;
}

}  // namespace burlwind::snapshot
