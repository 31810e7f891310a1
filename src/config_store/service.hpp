// One store as its readers see it: decisions only, no I/O. Time is handed in, connections are opaque ids, and
// what is to be done comes back as a list of effects.
//
// It judges the orders of operators (ledger), answers reads and lease questions once a majority has confirmed
// that this store still leads, and decides which state is told to which reader. The agreement itself stands
// in src/consensus; the service owns its core, so that every input of a store passes through one object.
//
// Order of effects: `Persist` is carried out before whatever follows it in the list. All times are in ms of
// the host's steady clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config_store/ledger.hpp"
#include "consensus/core.hpp"
#include "lease/lease.hpp"
#include "rpc/messages.hpp"

namespace burlwind::config_store {

using consensus::Time;
using ReaderId = std::uint64_t;  // a reader's link; never used again

using ReaderRequest =
    std::variant<rpc::CommandRequest, rpc::ReadRequest, rpc::LeaseRequest, rpc::ConfirmationRequest>;
using ReaderMessage =
    std::variant<rpc::ConfigUpdate, rpc::LeaderConfirmation, rpc::CommandResponse, rpc::LeaseResponse>;

struct Persist {};  // of record()
struct SendToStore {
  consensus::Id to = 0;
  consensus::Message message;
};
struct SendToReaders {
  std::vector<ReaderId> to;
  ReaderMessage message;
};
struct CloseReader {
  ReaderId reader = 0;
};
struct DialStore {
  std::string ip;
};
// For the log.
struct OrderJudged {
  std::string what;
  std::string subject;  // the version of a configuration and its parent
  int status = 0;
  std::string text;
};
struct LeadershipGained {
  std::uint64_t term = 0, index = 0;
};
struct LeadershipLost {
  std::uint64_t term = 0;
};
struct StallDetected {};  // between two inputs this process stood still
using Effect = std::variant<Persist, SendToStore, SendToReaders, CloseReader, DialStore, OrderJudged,
                            LeadershipGained, LeadershipLost, StallDetected>;
using Effects = std::vector<Effect>;

class Service {
 public:
  // `core` with a record whose state unpacks; `state` is that state.
  Service(consensus::Core core, State state, Time now);

  Effects tick(Time now);  // at least every 50 ms
  // --- The other stores ---
  Effects fromStore(const consensus::Message& message, Time now);
  Effects joinRequested(const rpc::Member& member, Time now);
  // `incarnation`: of the process that ends; 0: not told.
  Effects leaveAnnounced(consensus::Id member, Time now, std::uint64_t incarnation = 0);
  // This process is about to end: another store is made leader where this one is.
  Effects transferLeadership(Time now);
  Effects storeReached(Time now);  // a link to another store has come up
  // --- Readers ---
  Effects readerGreeted(ReaderId reader, Time now);
  Effects fromReader(ReaderId reader, const ReaderRequest& request, Time now);
  void readerEnded(ReaderId reader);

  void setSeats(unsigned seats) { core_.setSeats(seats); }
  // That have a zone: a configuration may bind routes to them.
  void setRegions(Regions regions) { regions_ = std::move(regions); }
  const consensus::PersistentState& record() const { return core_.record(); }
  bool leads() const { return core_.leads(); }
  std::uint64_t incarnation() const { return core_.incarnation(); }  // of this process
  // It is no member, or has not heard of a leader: it asks to be let in.
  bool wantsToJoin(Time now) const { return !core_.member() || !core_.leaderIsKnown(now); }

 private:
  struct WaitingOrder {
    ReaderId reader;
    rpc::CommandRequest request;
  };
  struct JudgedOrder {
    ReaderId reader;
    rpc::CommandResponse response;
  };
  struct UnchangingOrder {  // answered once `round` is confirmed
    std::uint64_t round;
    JudgedOrder order;
  };
  struct PendingRead {
    std::uint64_t round;
    ReaderId reader;
    std::uint64_t number;
  };
  struct PendingLease {
    std::uint64_t round;
    ReaderId reader;
    rpc::LeaseRequest request;
  };
  struct Question {  // a ConfirmationRequest
    std::uint64_t round, number;
  };
  struct Reader {
    std::vector<Question> questions;                // not covered yet, oldest first
    bool hasAsked = false;                          // of this leader
    std::uint64_t updateTerm = 0, updateIndex = 0;  // of the last ConfigUpdate on this link; 0: none
  };

  void detectStall(Time now, Effects& out);
  void translate(const std::vector<consensus::Effect>& effects, Time now, Effects& out);
  void translateOne(const consensus::Effect& effect, Time now, Effects& out);
  void committed(Time now, Effects& out);
  void leadershipGained(Time now, Effects& out);
  void leadershipLost(Effects& out);
  void roundConfirmed(std::uint64_t round, Time now, Effects& out);
  void judgeWaiting(Time now, Effects& out);

  void on(ReaderId reader, const rpc::CommandRequest& request, Time now, Effects& out);
  void on(ReaderId reader, const rpc::ReadRequest& request, Time now, Effects& out);
  void on(ReaderId reader, const rpc::LeaseRequest& request, Time now, Effects& out);
  void on(ReaderId id, const rpc::ConfirmationRequest& request, Time now, Effects& out);

  void answerLease(const PendingLease& asked, Time now, Effects& out);
  void sendLease(const PendingLease& asked, double span, Effects& out);
  void ownerAgreed(Time now, Effects& out);
  void send(ReaderId reader, ReaderMessage message, Effects& out);
  void sendToAll(ReaderMessage message, Effects& out);
  void pushConfigUpdate(Effects& out);
  void answerQuestions(ReaderId id, Reader& reader, std::uint64_t round, Time now, Effects& out);
  void sendConfigUpdate(ReaderId id, Reader& reader, Effects& out);
  std::vector<std::string> storeIps() const;
  rpc::ConfigUpdate configUpdate() const;
  rpc::LeaderConfirmation leaderConfirmation(Time now, std::uint64_t number) const;

  consensus::Core core_;
  Regions regions_;
  State state_;  // committed
  // Its index. The core's may be ahead: a round may be confirmed by the message that commits the next entry.
  std::uint64_t stateIndex_ = 0;
  lease::LeaseGrantor lease_;
  std::map<ReaderId, Reader> readers_;
  std::deque<WaitingOrder> orders_;
  std::vector<JudgedOrder> underWay_;  // answered once the entry under way is committed
  std::vector<UnchangingOrder> unchanging_;
  std::vector<PendingRead> reads_;
  std::vector<PendingLease> leases_;
  std::optional<PendingLease> nextOwner_;  // waits to be agreed on
  Time lastInput_ = 0;
  bool leaseWasBusy_ = false;
  bool hintIsDue_ = false;  // with the next confirmed round all readers are told who holds the duties
};

}  // namespace burlwind::config_store
