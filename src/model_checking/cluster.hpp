// Replicas that run the code of src/consensus, each with its disk, its clock and its lives, and the
// properties that are checked after each of their steps. It has no network: what a step sends is handed back,
// and whoever drives the cluster (the search, a play) decides what arrives, when and how often.
//
// It stands in for the host (src/config_store/main.cpp) and keeps its order: a write is synced before
// anything that follows it in the list of effects is carried out, and what is written is the record as it
// stands when the effects are carried out.
//
// A copy shares with the original all that neither changes: a step costs one copy of one replica.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "consensus/core.hpp"
#include "model_checking/letter.hpp"
#include "model_checking/properties.hpp"

namespace burlwind::model_checking {

// As consensus::Core takes it. Without a `draw`, each life of a replica draws one number of its own each
// time, near the middle of the range.
struct Randomness {
  double (*draw)(void*) = nullptr;
  void* drawer = nullptr;
};

struct ClusterShape {
  unsigned members = 3;
  unsigned applicants = 1;  // empty replicas that no member knows yet
  consensus::Timeouts timeouts;
  std::vector<Property> unchecked;  // to look past a violation that is known
};

// Where a replica loses its power in a step: never, or before its first write has been synced.
enum class PowerLoss { none, atFirstWrite };

// What a step did, in the words of a timeline; filled where asked for.
using Notes = std::vector<std::string>;

struct Sent {
  LetterPtr letter;
  unsigned writesBefore = 0;  // in the same step: on a slow disk they delay it
};

struct StepResult {
  std::vector<Sent> sent;
  unsigned writes = 0;
  bool committed = false;  // a leader told its host so
  bool lostPower = false;
};

class Cluster {
 public:
  Cluster(const ClusterShape& shape, Randomness randomness);

  unsigned size() const { return static_cast<unsigned>(replicas_.size()); }
  const consensus::Core& core(unsigned replica) const { return replicas_[replica]->core; }
  Time now(unsigned replica) const { return replicas_[replica]->now; }
  Id id(unsigned replica) const { return core(replica).record().self; }
  // The replica that has this id now; size(): none, as its disk was lost.
  unsigned replicaOf(Id id) const;
  const Properties& properties() const { return *properties_; }
  const std::optional<Violation>& violation() const { return properties_->violation(); }
  Fingerprint fingerprint() const;
  // Whether all have what the leader has committed, and are its members: no lost disk is unrepaired.
  bool isWhole() const;
  // Whether a message would change nothing but a count of such, now and for ever.
  bool isVoid(const Letter& letter) const;

  // --- Steps ---
  void setClock(unsigned replica, Time now);
  StepResult tick(unsigned replica, PowerLoss loss, Notes* notes);
  StepResult receive(unsigned replica, const Letter& letter, PowerLoss loss, Notes* notes);
  // A further word is added to the state; only where mayPropose().
  StepResult propose(unsigned replica, const std::string& word, PowerLoss loss, Notes* notes);
  StepResult read(unsigned replica, Notes* notes);
  StepResult join(unsigned leader, unsigned applicant, PowerLoss loss, Notes* notes);
  StepResult leave(unsigned leader, unsigned leaving, PowerLoss loss, Notes* notes);
  // The leader is about to end, and hands leadership over.
  StepResult transferLeadership(unsigned leader, PowerLoss loss, Notes* notes);
  // The process ends, or the machine loses its power, between two steps; it starts again from its disk.
  void restart(unsigned replica);
  // Its disk is lost: it starts with an empty one, thus a new id; at the same or at another address.
  void wipe(unsigned replica, bool atAnotherAddress);

 private:
  struct Round {
    std::uint64_t number;
    EntryNumber committedBefore;  // anywhere, when it was begun
    Time begun;                   // on the leader's clock
  };
  struct Replica {
    consensus::Core core;
    PersistentState disk;
    std::string ip;
    Time now = 0;
    unsigned life = 0;
    std::vector<Round> rounds;  // of its own, in its term, not yet confirmed
    EntryNumber served;         // what its host would hand out
    std::uint64_t servedInTerm = 0;
    mutable std::optional<Fingerprint> fingerprint = {};  // made where it is asked for
  };
  using ReplicaPtr = std::shared_ptr<const Replica>;

  Replica begin(PersistentState disk, std::string ip, Time now, unsigned life) const;
  void put(unsigned replica, Replica&& changed);
  Fingerprint fingerprintOf(const Replica& changed) const;
  void noteRound(Replica& leader, std::uint64_t term, std::uint64_t round);
  template <class Call>
  StepResult step(unsigned replica, PowerLoss loss, Notes* notes, Call call);
  StepResult carryOut(Replica& changed, const Replica& before, const std::vector<consensus::Effect>& effects,
                      PowerLoss loss, Notes* notes);
  void carryOutSend(Replica& changed, const consensus::Send& send, StepResult& result, Notes* notes);
  void carryOutCommitted(Replica& changed, const Replica& before);
  void carryOutConfirmed(Replica& changed, const Replica& before, std::uint64_t round);

  unsigned seats_;
  consensus::Timeouts timeouts_;
  Randomness randomness_;
  std::vector<ReplicaPtr> replicas_;
  std::shared_ptr<Properties> properties_;  // shared until it changes
  mutable std::optional<Fingerprint> propertiesFingerprint_;
  Properties& changeProperties();
};

// The column of a replica in a timeline, from its id: a, b, c; after a lost disk b2, b3.
std::string nameOf(Id id);

}  // namespace burlwind::model_checking
