// The figures that operators fetch: what this process has done since its start. Each is counted at the one
// place where its event happens; the figures decide nothing. Memory: a few numbers a class and a plan.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "irisring/decide.hpp"

namespace burlwind::metrics {

// How a request ended, as its client was told.
enum class Fate : std::uint8_t { success, busy, failure };  // served, refused, failed

// 200 is served, 429 and 503 are refusals, whoever worded them; all else has failed.
Fate fateOf(unsigned status);

// What the program refuses or fails without the decision module.
enum class Own : std::uint8_t {
  denied,     // a checker said no
  unchecked,  // none said anything in time
  draining,   // nothing more is taken
  ending,     // the process ends, and gives up what it holds
  memory,     // the message budget has no room for its body
  client,     // its client: too slow, malformed, an id that is open
  broken      // a long answer broke off, or what wanted it did
};
constexpr std::size_t kOwn = 7;

// The reason of a refusal or failure: the module's own, or the program's.
class Why {
 public:
  static constexpr std::size_t kAll = irisring::kReasons + kOwn;
  constexpr Why(irisring::Reason reason) : index_(static_cast<std::uint8_t>(reason)) {}
  constexpr Why(Own own)
      : index_(static_cast<std::uint8_t>(irisring::kReasons + static_cast<std::size_t>(own))) {}
  constexpr std::size_t index() const { return index_; }  // below kAll
  friend constexpr bool operator==(Why, Why) = default;

 private:
  std::uint8_t index_;
};
const char* nameOf(Why why);

// What the gatekeeper knows of its workers at the moment.
struct Hosts {
  std::size_t listed = 0;
  std::size_t down = 0;  // of these, avoided now
};

class Figures {
 public:
  Figures(std::vector<std::string> classes, std::vector<std::string> plans);

  // A request's end; `fate` is not success for the second.
  void served(std::size_t klass) { ++fates_[klass][0]; }
  void unserved(std::size_t klass, std::size_t plan, Fate fate, Why why) {
    ++fates_[klass][static_cast<std::size_t>(fate)];
    ++reasons_[plan][fate == Fate::failure][why.index()];
    ++unserved_;
  }
  // An attempt's last byte was handed to its connection.
  void attemptWritten() { ++attempts_; }
  // A request is whole, and its answer is written or its client gone.
  void taken() { ++inflight_; }
  void done() { --inflight_; }

  std::uint64_t count(std::size_t klass, Fate fate) const {
    return fates_[klass][static_cast<std::size_t>(fate)];
  }
  std::uint64_t count(std::size_t plan, Fate fate, Why why) const {
    return reasons_[plan][fate == Fate::failure][why.index()];
  }
  std::uint64_t attempts() const { return attempts_; }
  std::uint64_t inflight() const { return inflight_; }
  std::uint64_t unserved() const { return unserved_; }  // refusals and failures

  // One line `balancer.NAME=VALUE` a figure, every class from the start; of reasons, those that there were.
  std::string text(const Hosts& hosts) const;
  // The same of reasons as one line: `served 812; refused 30: taller store 12, ...; failed 0`.
  std::string summary() const;

 private:
  static constexpr std::size_t kFates = 3;
  using Reasons = std::array<std::uint64_t, Why::kAll>;
  template <class Do>
  void eachReason(bool failures, Do go) const;
  std::uint64_t sum(Fate fate) const;
  const std::vector<std::string> classes_, plans_;
  std::vector<std::array<std::uint64_t, kFates>> fates_;
  std::vector<std::array<Reasons, 2>> reasons_;  // by plan: of refusals, of failures
  std::uint64_t attempts_ = 0, inflight_ = 0, unserved_ = 0;
};

}  // namespace burlwind::metrics
