// The figures that operators fetch: what this process has done since its start. Each is counted at the one
// place where its event happens; the figures decide nothing. Memory: a few numbers a class.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace burlwind::metrics {

// How a request ended, as its client was told.
enum class Fate : std::uint8_t { success, busy, failure };  // served, refused, failed

// 200 is served, 429 and 503 are refusals, whoever worded them; all else has failed.
Fate fateOf(unsigned status);

// What the gatekeeper knows of its workers at the moment.
struct Hosts {
  std::size_t listed = 0;
  std::size_t down = 0;  // of these, avoided now
};

class Figures {
 public:
  explicit Figures(std::vector<std::string> classes);

  void ended(std::size_t klass, Fate fate) { ++fates_[klass][static_cast<std::size_t>(fate)]; }
  // An attempt's last byte was handed to its connection.
  void attemptWritten() { ++attempts_; }
  // A request is whole, and its answer is written or its client gone.
  void taken() { ++inflight_; }
  void done() { --inflight_; }

  std::uint64_t count(std::size_t klass, Fate fate) const {
    return fates_[klass][static_cast<std::size_t>(fate)];
  }
  std::uint64_t attempts() const { return attempts_; }
  std::uint64_t inflight() const { return inflight_; }

  // One line `balancer.NAME=VALUE` a figure, every class from the start.
  std::string text(const Hosts& hosts) const;

 private:
  static constexpr std::size_t kFates = 3;
  const std::vector<std::string> classes_;
  std::vector<std::array<std::uint64_t, kFates>> fates_;
  std::uint64_t attempts_ = 0, inflight_ = 0;
};

}  // namespace burlwind::metrics
