// What operators and registries saw, checked as it grows and against the state at the end:
//  - one winner on each parent, and nothing confirmed is lost: what was answered 200 is in the chain of
//    versions at the end, as the child of its parent;
//  - nothing taken is refused: what was answered 400 or 412 is not in that chain; and 412 only where another
//    order on the same parent had been called by then (operators build on confirmed versions alone);
//  - an invalid configuration is never answered 200, never read and not in the chain;
//  - a read, and the state that a registry holds confirmed, are never behind what was confirmed before the
//    question (with the chain, config.read is linearizable);
//  - a zone is evacuated from its begin's 200 until its finish is called, and free after the finish's 200;
//  - never two holders of the duties.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config_store/ledger.hpp"

namespace burlwind::order_simulation {

struct ConfigOrder {
  std::uint64_t version = 0;
  std::uint64_t parent = 0;
  std::string body;
  bool valid = true;
};

class History {
 public:
  struct Snapshot {  // what was confirmed when a question was sent
    std::uint64_t version = 0;
    std::set<std::string> evacuated;
  };
  Snapshot confirmed() const { return {newest_, evacuated_}; }

  void called(const ConfigOrder& order);  // before any copy of it can arrive
  void answered(const ConfigOrder& order, int status);
  void read(const Snapshot& before, std::uint64_t version, const std::string& body);
  void registryConfirmed(const Snapshot& before, std::uint64_t version,
                         const std::vector<std::string>& evacuated);
  void evacuationAcknowledged(const std::string& zone);
  void finishCalled(const std::string& zone);
  void finishAcknowledged(const std::string& zone);
  void holders(unsigned count);
  // The state at the end; `reachable`: somebody leads, after all faults are over.
  void finish(const config_store::State& state, bool reachable);

  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t acknowledged() const { return acknowledged_.size(); }
  std::size_t invalid() const { return invalid_.size(); }
  std::size_t refused() const { return refused_.size(); }
  std::size_t reads() const { return reads_; }
  std::size_t evacuations() const { return evacuations_; }

 private:
  using Taken = std::pair<std::uint64_t, std::uint64_t>;  // version, digest
  void violated(const std::string& what) { violations_.push_back(what); }
  std::uint64_t newest_ = 0;
  std::set<std::string> evacuated_;              // acknowledged, and the finish not called
  std::set<std::string> free_;                   // finish acknowledged, and no later begin acknowledged
  std::map<Taken, std::uint64_t> acknowledged_;  // with the parent
  std::set<Taken> refused_;
  std::set<Taken> invalid_;
  std::map<std::uint64_t, std::set<Taken>> called_;  // by parent
  std::size_t reads_ = 0;
  std::size_t evacuations_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace burlwind::order_simulation
