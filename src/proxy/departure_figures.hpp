// How many clients left before they had their answers, at which stage of their request, and how long workers
// went on for them: counted where it happens, decides nothing. Memory: a few dozen numbers.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "proxy/client_presence.hpp"

namespace burlwind::proxy {

class DepartureFigures {
 public:
  void left(RequestKind kind, RequestStage stage) { ++left_[index(kind)][static_cast<std::size_t>(stage)]; }
  // A worker's connection was closed, or its answer read, so long after its client had left.
  void workEnded(RequestKind kind, double afterMs);

  std::uint64_t count(RequestKind kind, RequestStage stage) const {
    return left_[index(kind)][static_cast<std::size_t>(stage)];
  }
  std::uint64_t total() const;
  std::uint64_t longWork(RequestKind kind) const { return work_[index(kind)].overHalfSecond; }
  double longestWorkMs(RequestKind kind) const { return work_[index(kind)].longestMs; }

  // Prometheus text format.
  std::string text() const;
  // Logs what has changed since the last report.
  void report();

 private:
  struct Work {
    std::uint64_t count = 0, overHalfSecond = 0;
    double sumMs = 0, longestMs = 0;
  };
  static std::size_t index(RequestKind kind) { return static_cast<std::size_t>(kind); }
  std::array<std::array<std::uint64_t, kRequestStages>, kRequestKinds> left_{};
  std::array<std::array<std::uint64_t, kRequestStages>, kRequestKinds> reported_{};
  std::array<Work, kRequestKinds> work_{};
  std::array<Work, kRequestKinds> reportedWork_{};
};

}  // namespace burlwind::proxy
