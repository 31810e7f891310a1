#include "model_checking/cluster.hpp"

#include <algorithm>
#include <utility>

#include "model_checking/core_inspector.hpp"

namespace burlwind::model_checking {
namespace {

using consensus::Core;

constexpr Time kClockAtStart = 100'000;  // a clock that has run longer than any timeout
constexpr Id kIdsPerReplica = 1000;      // the lives of one disk after another: ids keep the replicas' order

std::string address(unsigned replica, Id generation) {
  return "10.0." + std::to_string(generation) + "." + std::to_string(replica + 1);
}

Id firstId(unsigned replica) { return (replica + 1) * kIdsPerReplica + 1; }

std::string entryText(const PersistentState& record) {
  return std::to_string(record.lastTerm) + "/" + std::to_string(record.index);
}

// One number for each life of each replica, all near the middle: who is started again is told from who was
// there before.
constexpr unsigned kLives = 64;
constexpr double kLivesApart = 1e-5;
double drawFixed(void* drawer) { return *static_cast<const double*>(drawer); }
void* drawerOfLife(Id replica, unsigned life) {
  static std::vector<double> draws = [] {
    std::vector<double> out;
    for (unsigned i = 0; i < kLives * kLives; ++i) out.push_back(0.5 + i * kLivesApart);
    return out;
  }();
  return &draws[replica % kLives * kLives + life % kLives];
}

void note(Notes* notes, std::string text) {
  if (notes) notes->push_back(std::move(text));
}

std::string membersText(const PersistentState& record) {
  std::string out;
  for (const auto& member : record.members) out += (out.empty() ? "" : " ") + nameOf(member.id);
  if (record.former.empty()) return out;
  out += " (outgoing:";
  for (const auto& member : record.former) out += " " + nameOf(member.id);
  return out + ")";
}

}  // namespace

std::string nameOf(Id id) {
  if (id < kIdsPerReplica) return std::to_string(id);
  std::string out(1, static_cast<char>('a' + id / kIdsPerReplica - 1));
  if (const Id generation = id % kIdsPerReplica; generation > 1) out += std::to_string(generation);
  return out;
}

Cluster::Cluster(const ClusterShape& shape, Randomness randomness)
    : seats_(shape.members),
      timeouts_(shape.timeouts),
      randomness_(randomness),
      properties_(std::make_shared<Properties>(shape.timeouts.electLeast, shape.unchecked)) {
  PersistentState first;
  for (unsigned i = 0; i < shape.members; ++i) first.members.push_back({firstId(i), address(i, 1)});
  properties_->begin(first);
  for (unsigned i = 0; i < shape.members + shape.applicants; ++i) {
    PersistentState disk = i < shape.members ? first : PersistentState{};
    disk.self = firstId(i);
    replicas_.push_back(nullptr);
    put(i, begin(std::move(disk), address(i, 1), kClockAtStart, 0));
  }
}

Cluster::Replica Cluster::begin(PersistentState disk, std::string ip, Time now, unsigned life) const {
  const bool fixed = randomness_.draw == nullptr;
  Core core(disk, timeouts_, seats_, fixed ? &drawFixed : randomness_.draw,
            fixed ? drawerOfLife(disk.self / kIdsPerReplica, life) : randomness_.drawer, now);
  return {std::move(core), std::move(disk), std::move(ip), now, life, {}, {}, 0, {}};
}

Fingerprint Cluster::fingerprintOf(const Replica& changed) const {
  FingerprintBuilder out;
  CoreInspector::add(out, changed.core, changed.now);
  add(out, changed.disk);
  out.add(changed.ip);
  if (CoreInspector::isLeader(changed.core)) {
    out.add(changed.servedInTerm);
    out.add(changed.served.term);
    out.add(changed.served.index);
    out.add(changed.rounds.size());
    for (const Round& round : changed.rounds) {
      out.add(round.number);
      out.add(round.committedBefore.term);
      out.add(round.committedBefore.index);
      out.add(static_cast<std::uint64_t>(std::min(changed.now - round.begun, timeouts_.electLeast) * 1000));
    }
  }
  return out.result();
}

void Cluster::put(unsigned replica, Replica&& changed) {
  changed.fingerprint.reset();
  replicas_[replica] = std::make_shared<const Replica>(std::move(changed));
}

Properties& Cluster::changeProperties() {
  propertiesFingerprint_.reset();
  if (properties_.use_count() > 1) properties_ = std::make_shared<Properties>(*properties_);
  return *properties_;
}

unsigned Cluster::replicaOf(Id id) const {
  for (unsigned i = 0; i < size(); ++i)
    if (replicas_[i]->disk.self == id) return i;
  return size();
}

Fingerprint Cluster::fingerprint() const {
  FingerprintBuilder out;
  for (const auto& replica : replicas_) {
    if (!replica->fingerprint) replica->fingerprint = fingerprintOf(*replica);
    out.add(*replica->fingerprint);
  }
  if (!propertiesFingerprint_) propertiesFingerprint_ = properties_->fingerprint();
  out.add(*propertiesFingerprint_);
  return out.result();
}

bool Cluster::isWhole() const {
  for (unsigned i = 0; i < size(); ++i) {
    if (!core(i).leads()) continue;
    const PersistentState& record = core(i).record();
    if (!record.former.empty() || record.members.size() != seats_) return false;
    return std::all_of(record.members.begin(), record.members.end(), [&](const rpc::Member& member) {
      const unsigned holder = replicaOf(member.id);
      return holder < size() && lastEntry(replicas_[holder]->disk) >= properties_->newestCommitted();
    });
  }
  return false;
}

bool Cluster::isVoid(const Letter& letter) const {
  const unsigned receiver = replicaOf(letter.to);
  if (receiver == size()) return true;
  if (!isAnswer(letter.message) || termOf(letter.message) >= core(receiver).record().term) return false;
  const Replica& replica = *replicas_[receiver];
  Core trial = replica.core;
  if (!trial.receive(letter.message, replica.now).empty()) return false;
  FingerprintBuilder before;
  FingerprintBuilder after;
  CoreInspector::add(before, replica.core, replica.now);
  CoreInspector::add(after, trial, replica.now);
  return before.result() == after.result();
}

void Cluster::setClock(unsigned replica, Time now) {
  Replica changed = *replicas_[replica];
  changed.now = now;
  put(replica, std::move(changed));
}

template <class Call>
StepResult Cluster::step(unsigned replica, PowerLoss loss, Notes* notes, Call call) {
  const ReplicaPtr before = replicas_[replica];
  Replica changed = *before;
  const std::vector<consensus::Effect> effects = call(changed.core, changed.now);
  StepResult result = carryOut(changed, *before, effects, loss, notes);
  if (result.lostPower)
    restart(replica);
  else
    put(replica, std::move(changed));
  return result;
}

StepResult Cluster::carryOut(Replica& changed, const Replica& before,
                             const std::vector<consensus::Effect>& effects, PowerLoss loss, Notes* notes) {
  const PersistentState& record = changed.core.record();
  // An entry that follows a commit in the same call comes after it: it is told with the first write or
  // message.
  bool told = lastEntry(record) == lastEntry(before.core.record());
  const auto tellEntry = [&] {
    if (!std::exchange(told, true)) changeProperties().recordChanged(before.core.record(), record);
  };
  if (record.term != before.core.record().term) changed.rounds.clear();
  StepResult result;
  for (const auto& effect : effects) {
    if (std::holds_alternative<consensus::Persist>(effect)) {
      tellEntry();
      if (loss == PowerLoss::atFirstWrite) {
        note(notes, "loses power before entry " + entryText(record) + ", term " +
                        std::to_string(record.term) + " is synced; starts again");
        result.lostPower = true;
        return result;
      }
      ++result.writes;
      changeProperties().persisted(changed.disk, record);
      changed.disk = record;
      note(notes, "synced: entry " + entryText(record) + ", term " + std::to_string(record.term) +
                      (record.votedFor ? ", vote for " + nameOf(record.votedFor) : ""));
    } else if (const auto* send = std::get_if<consensus::Send>(&effect)) {
      tellEntry();
      carryOutSend(changed, *send, result, notes);
    } else if (std::holds_alternative<consensus::Committed>(effect)) {
      result.committed = true;
      carryOutCommitted(changed, before);
      note(notes, "COMMITTED entry " + std::to_string(changed.served.term) + "/" +
                      std::to_string(changed.served.index));
    } else if (const auto* confirmed = std::get_if<consensus::Confirmed>(&effect)) {
      carryOutConfirmed(changed, before, confirmed->round);
      note(notes, "CONFIRMED round " + std::to_string(confirmed->round));
    } else if (std::holds_alternative<consensus::Led>(effect)) {
      note(notes, "LEADS term " + std::to_string(record.term));
    } else if (std::holds_alternative<consensus::Stepped>(effect)) {
      note(notes, "leads no more");
    }
  }
  tellEntry();
  if (before.core.committed() != changed.core.committed() ||
      lastEntry(record) != lastEntry(before.core.record()))
    changeProperties().committedIndex(record, before.core.committed(), changed.core.committed());
  if (notes && membersText(record) != membersText(before.core.record()))
    note(notes, "members: " + membersText(record));
  return result;
}

void Cluster::noteRound(Replica& leader, std::uint64_t term, std::uint64_t round) {
  const PersistentState& record = leader.core.record();
  changeProperties().leaderSpoke(term, record.self, lastEntry(record));
  if (leader.rounds.empty() || leader.rounds.back().number < round)
    leader.rounds.push_back({round, properties_->newestCommitted(), leader.now});
}

void Cluster::carryOutSend(Replica& changed, const consensus::Send& send, StepResult& result, Notes* notes) {
  if (const auto* append = std::get_if<rpc::AppendRequest>(&send.message))
    noteRound(changed, append->term, append->round);
  if (const auto* piece = std::get_if<rpc::StatePiece>(&send.message))
    noteRound(changed, piece->term, piece->round);
  if (const auto* handover = std::get_if<rpc::TimeoutNow>(&send.message))
    changeProperties().handedOver(handover->term);
  LetterPtr letter = makeLetter(changed.core.record().self, send);
  note(notes, "> " + nameOf(send.to) + ": " + describe(send.message));
  result.sent.push_back({std::move(letter), result.writes});
}

// The entry of that number: the last one, or the one before where another was begun in the same step.
void Cluster::carryOutCommitted(Replica& changed, const Replica& before) {
  const PersistentState& record = changed.core.record();
  const PersistentState& old = before.core.record();
  const std::uint64_t index = changed.core.committed();
  changed.served = index == record.index ? lastEntry(record)
                   : index == old.index  ? lastEntry(old)
                                         : EntryNumber{record.term, index};
  changed.servedInTerm = record.term;
  changeProperties().acted(record.term);
  changeProperties().committed(record.self, record.term, changed.served);
}

void Cluster::carryOutConfirmed(Replica& changed, const Replica& before, std::uint64_t round) {
  const PersistentState& record = changed.core.record();
  auto& rounds = changed.rounds;
  const auto begun =
      std::find_if(rounds.begin(), rounds.end(), [round](const Round& r) { return r.number == round; });
  if (begun == rounds.end()) return;  // of a leader that is alone: nobody was asked
  changeProperties().acted(record.term);
  changeProperties().confirmed(record.term, round, changed.now - begun->begun,
                               membershipOf(before.core.record()), membershipOf(record));
  if (changed.core.leads() && changed.servedInTerm == record.term)
    changeProperties().handedOut(record.self, changed.served, begun->committedBefore);
  rounds.erase(rounds.begin(), begun + 1);
}

StepResult Cluster::tick(unsigned replica, PowerLoss loss, Notes* notes) {
  return step(replica, loss, notes, [](Core& core, Time now) { return core.tick(now); });
}

StepResult Cluster::receive(unsigned replica, const Letter& letter, PowerLoss loss, Notes* notes) {
  StepResult result =
      step(replica, loss, notes, [&](Core& core, Time now) { return core.receive(letter.message, now); });
  const auto processed = [&](std::uint64_t term, std::uint64_t round) {
    if (core(replica).record().term == term) changeProperties().answered(id(replica), term, round);
  };
  if (const auto* append = std::get_if<rpc::AppendRequest>(&letter.message))
    processed(append->term, append->round);
  if (const auto* piece = std::get_if<rpc::StatePiece>(&letter.message)) processed(piece->term, piece->round);
  return result;
}

StepResult Cluster::propose(unsigned replica, const std::string& word, PowerLoss loss, Notes* notes) {
  return step(replica, loss, notes, [&](Core& core, Time now) {
    const std::string& state = core.record().state;
    return core.propose(state.empty() ? word : state + "," + word, now);
  });
}

StepResult Cluster::read(unsigned replica, Notes* notes) {
  return step(replica, PowerLoss::none, notes, [](Core& core, Time now) {
    std::vector<consensus::Effect> effects;
    core.confirm(now, effects);
    return effects;
  });
}

StepResult Cluster::join(unsigned leader, unsigned applicant, PowerLoss loss, Notes* notes) {
  const rpc::Member member{id(applicant), replicas_[applicant]->ip};
  return step(leader, loss, notes, [&](Core& core, Time now) { return core.join(member, now); });
}

StepResult Cluster::leave(unsigned leader, unsigned leaving, PowerLoss loss, Notes* notes) {
  const Id member = id(leaving);
  return step(leader, loss, notes, [&](Core& core, Time now) { return core.leave(member, now); });
}

StepResult Cluster::transferLeadership(unsigned leader, PowerLoss loss, Notes* notes) {
  return step(leader, loss, notes, [](Core& core, Time now) { return core.transferLeadership(now); });
}

void Cluster::restart(unsigned replica) {
  const Replica& before = *replicas_[replica];
  put(replica, begin(before.disk, before.ip, before.now, before.life + 1));
}

void Cluster::wipe(unsigned replica, bool atAnotherAddress) {
  const Replica& before = *replicas_[replica];
  PersistentState empty;
  empty.self = before.disk.self + 1;
  const std::string ip = atAnotherAddress ? address(replica, empty.self % kIdsPerReplica) : before.ip;
  put(replica, begin(std::move(empty), ip, before.now, before.life + 1));
}

}  // namespace burlwind::model_checking
