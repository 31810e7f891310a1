// The state of one gatekeeper on a disk: two generations of one frame (frame.hpp), and what may be said of
// what is found there. How old it may be, and what age does to it, is a rule of recovery and not of the file.
//
// Two files, NAME.state.0 and NAME.state.1: a write takes the place of the one that is not the newest, whole
// or not at all (files.hpp), so that the newest is never touched, and after a death anywhere it is there or
// the next. Trusts nothing that it reads: length, checksum, version, name and settings are checked, and a
// file over kMostFrame is not read. Cost of a write: that of its bytes and two syncs; it belongs on no loop
// that serves.
#pragma once

#include <optional>
#include <string>

#include "snapshot/files.hpp"
#include "snapshot/frame.hpp"

namespace burlwind::snapshot {

Moment momentNow();  // Linux: /proc/sys/kernel/random/boot_id, clock_gettime(2) CLOCK_BOOTTIME

// How old what was written then is now. Nothing where it cannot be told: from the future, or the wall clock
// and the boot's clock differ by more than kClocksApart on one boot.
constexpr double kClocksApart = 2000;  // ms
std::optional<double> ageOf(const Moment& written, const Moment& now);

struct Reading {
  std::optional<Snapshot> state;  // the newest that is whole and this gatekeeper's
  bool kept = false;              // there was a file, whole or not
  std::string why;                // a line for each file that cannot be used; empty: nothing is wrong
};

class Store {
 public:
  // `folder` must be there. `settings`: what must be alike for a state to mean the same.
  Store(Files& files, const std::string& folder, std::string name, std::string settings)
      : files_(files),
        path_(folder + "/" + name + ".state"),
        name_(std::move(name)),
        settings_(std::move(settings)) {}

  Reading read();
  // Empty, or one line: what failed. The newest whole one is then what it was, or this one. Numbers must
  // grow.
  std::string write(std::string_view frame);
  const std::string& path() const { return path_; }

 private:
  std::optional<Snapshot> readOne(const std::string& path, Reading& out);
  std::string pathOf(unsigned slot) const { return path_ + "." + std::to_string(slot); }
  Files& files_;
  const std::string path_, name_, settings_;
  std::optional<unsigned> newest_;  // its slot, once it is known
};

}  // namespace burlwind::snapshot
