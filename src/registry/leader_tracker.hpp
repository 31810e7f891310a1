// Which config store leads, what of its state this registry holds, and since when that is known to be the
// newest: decisions only, no I/O, time handed in.
//
// What a store says is never taken for the present by the moment at which it arrives: it may have waited in
// a buffer, and who said it may have been cut off. So the registry asks numbered questions, and an answer
// counts from when its question was sent (the leader answers once a majority has confirmed it after the
// question came). Properties:
//  - confirmed(now): at some moment within the last kConfirmationTimeout no store had committed anything that
//    this registry does not hold.
//  - The state held never goes back, whoever tells it: what is behind in term or index is dropped.
//  - publishable(now) is empty before the first confirmation and whenever the last one is too old.
// Assumption: this machine's clock does not stand still while its process runs on.
// Cost: one configuration; one entry for each question under way.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rpc/messages.hpp"

namespace burlwind::registry {

constexpr double kConfirmationTimeout = 1000;  // ms from the question on
constexpr double kConfirmationPause = 300;     // ms between two questions to one store

struct StoreQuestion {
  std::string store;  // ip
  rpc::ConfirmationRequest request;
};

class LeaderTracker {
 public:
  void linked(const std::string& store);
  void lost(const std::string& store);  // its link has ended
  // What is to be asked now: the leader; all stores that are linked while what is held isn't confirmed; and
  // each that has just been linked.
  std::vector<StoreQuestion> questions(double now);

  enum class Taken { dropped, unchanged, changed };  // changed: the configuration or the evacuated zones
  Taken take(const std::string& store, rpc::ConfigUpdate update);
  // False where it is dropped: behind, or no answer to a question on this link.
  bool take(const std::string& store, const rpc::LeaderConfirmation& confirmation, double now);

  bool confirmed(double now) const { return confirmationAge(now) < kConfirmationTimeout; }
  double confirmationAge(double now) const { return now - confirmedFrom_; }  // ms; since the question
  const std::string& leader() const { return leader_; }                      // ip; empty: not known
  const rpc::ConfigUpdate& update() const { return update_; }                // as held, confirmed or not
  // What proxies may be told now; null: nothing.
  const rpc::ConfigUpdate* publishable(double now) const;
  // The index at which what proxies are told changed last.
  std::uint64_t contentIndex() const { return contentIndex_; }
  std::uint64_t dropped() const { return dropped_; }  // messages that were behind or answered nothing

 private:
  struct Question {
    std::string store;
    double sentAt = 0;
  };
  bool isBehind(std::uint64_t term, std::uint64_t index) const;
  bool confirm(const std::string& store, const rpc::LeaderConfirmation& confirmation);

  std::string leader_;
  std::uint64_t term_ = 0;  // the newest that a leader was heard of
  rpc::ConfigUpdate update_;
  std::uint64_t contentIndex_ = 0;
  std::map<std::string, double> askAt_;          // by linked store: when the next question is due
  std::map<std::uint64_t, Question> questions_;  // under way, by number
  std::uint64_t number_ = 0, dropped_ = 0;
  double confirmedFrom_ = -1e18;
};

}  // namespace burlwind::registry
