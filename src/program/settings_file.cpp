#include "program/settings_file.hpp"

#include <sys/stat.h>

#include <utility>

#include "program/log.hpp"

namespace burlwind::program {
namespace {

std::string joined(const std::vector<std::string>& paths) {
  std::string out;
  for (const auto& path : paths) out += (out.empty() ? "" : " ") + path;
  return out;
}

}  // namespace

SettingsFile::SettingsFile(std::string path, config::Settings inForce, Needs needs)
    : path_(std::move(path)), inForce_(std::move(inForce)), needs_(needs), seen_(mark()) {}

SettingsFile::Mark SettingsFile::mark() const {
  struct stat about {};
  if (::stat(path_.c_str(), &about) != 0) return {};
  return {about.st_mtim.tv_sec, about.st_mtim.tv_nsec, about.st_size, about.st_ino};
}

std::optional<config::Settings> SettingsFile::look(double now, bool asked) {
  if (!asked && now < lookAt_) return {};
  lookAt_ = now + kLook;
  const Mark here = mark();
  if (!asked && here == seen_) return {};
  seen_ = here;
  auto read = readChecked(path_, needs_);
  if (!read.settings) {
    if (asked || read.fault != told_) error("settings", {{"why", read.fault}, {"kept", "the ones before"}});
    told_ = read.fault;
    return {};
  }
  told_.clear();
  auto change = config::changeOf(inForce_, *read.settings);
  if (!change.waiting.empty()) warn("settings wait for a start", {{"fields", joined(change.waiting)}});
  if (change.taken.empty()) return {};
  info("settings", {{"taken", joined(change.taken)}});
  inForce_ = change.inForce;
  return std::move(change.inForce);
}

}  // namespace burlwind::program
