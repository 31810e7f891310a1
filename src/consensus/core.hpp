// Agreement on one state: decisions only, no I/O, time handed in. The log of Raft (Ongaro, Ousterhout 2014)
// cut down to its last entry: a state is whole and small, each entry holds all before it, so an older entry
// is never needed. Terms, votes and the election restriction are Raft's; so are joint majorities while the
// members change.
//
// Properties, of every history, whatever is lost, late, repeated or stopped. f: what may be lost of 2f + 1.
//
//  One leader a term. A voter persists its vote before it tells it, and a candidate needs majorities of its
//  members (and of the outgoing ones while they change).
//
//  Leadership that is handed over is never held twice: the leader steps down before it tells its successor,
//  and that one needs majorities' votes for the next term like any other. Its request is granted also by who
//  hears a leader, but only for the term right after the one that was given up: no other leader can be
//  disturbed.
//
//  What was acknowledged is in each later leader's state. An entry is committed once majorities have it
//  synced; a candidate needs votes of majorities, and nobody votes for one that holds less; so one of those
//  that hold the entry has voted. Of two committed entries, one was made from the other.
//
//  A leader without a majority neither confirms, refuses nor hands out. It has authority while majorities
//  have answered rounds that it SENT less than `electLeast` ago. Answers that waited in a socket while it
//  stood still are as old as the round they answer. The check precedes everything that is processed; who
//  fails it steps down first. Since who answered a round hears that leader, and votes for nobody for
//  `electLeast` from then, no other leader begins meanwhile, but for voters that restart: they have forgotten
//  whom they heard. So authority alone answers no read: a read waits for a round that is begun after it
//  (`confirm`), and a change for its commit.
//
//  No replica votes or counts that doesn't hold what every majority could have committed. A replica is known
//  by an id that is drawn when its disk is empty, and members are ids. One that comes back with an empty disk
//  is another replica: its old votes can't be cast again, and what it says counts for nothing until it is a
//  member. Its vote counts only for who holds the entry with the new members, thus all before it. The lost
//  id never speaks again.
//
//  Who applies is a learner first: it gets the state, and is in no majority. Once it holds all but the entry
//  under way it takes a seat, one at a time, by joint majorities: the seat of a member that has lost its disk
//  at the same address, then that of one that is gone, then an empty one. A member that is heard loses its
//  seat to nobody, also where its address is claimed or it has said that it goes: gone is who was silent for
//  `gone`, `goneAfterLeave` where it left and no later incarnation has answered. A seat is taken while
//  majorities without the silent member are heard (of three: all others), an empty one while all are. So a
//  change never lowers the number of further losses that are borne: one who is heard and holds the state
//  stands where nobody was. Of five, it must not wait for a second silent one: that may never be back.
//  Weighed: a seat before the state is there (a loss meanwhile leaves a majority that holds nothing).
//
//  A member that returns with an older disk. Assumed: what is synced outlives process and power, or the disk
//  is lost as a whole and comes back empty; at most f are lost so, also while all others are without power.
//  A write that was cut short is no older disk: `persist` precedes whatever counts on it, so the generation
//  that didn't last was told to nobody (a leader sends its entry before its own write, but counts itself only
//  after it), and neither its vote nor its entry counts anywhere. A disk that
//  forgets what it had synced and keeps its id breaks the assumption: an entry at two of three, one of which
//  forgets it and the other is away, is lost, and a vote may be cast twice. No protocol of 2f + 1 mends that:
//  the one that forgot and the one that never had it see what they would see if the third were lost for good,
//  and then they have to go on. What is closed: while a leader is there, it gives who forgot the state anew;
//  and a replica never stands in a term that its own record shows as used.
//
// Order of effects: `persist` is carried out before whatever follows it in the list.
//
// How entries travel (state_transfer.hpp): each IS a whole state and is persisted as one; to a replica that
// holds a known earlier one it goes as a patch, with the result's XXH3. Up to 64 KiB go in the first message
// of the entry, so that it is committed in one round trip; more goes in pieces of 16 KiB, one transfer at a
// time to each replica, taken up where it broke off while leader and replica go on. What changes meanwhile
// follows as a patch of what has arrived. A new leader knows from their votes what the voters hold.
//
// Cost: a write of the whole state for each entry and each vote. Memory: the state and the one before it; on
// a leader also the states that others hold or are being sent, at most 32 MiB or one state (beyond it: a new
// whole one), and the payloads of the last entry; on a follower what has come of one.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "consensus/state_transfer.hpp"
#include "rpc/messages.hpp"

namespace burlwind::model_checking {
struct CoreInspector;
}

namespace burlwind::consensus {

using rpc::Member;
using Id = std::uint64_t;

struct PersistentState {  // what outlives the process
  Id self = 0;
  std::uint64_t term = 0;
  Id votedFor = 0;
  std::uint64_t lastTerm = 0, index = 0;
  std::vector<Member> members;
  std::vector<Member> former;  // while the members change: those before
  std::string state;
  MSGPACK_DEFINE(self, term, votedFor, lastTerm, index, members, former, state)
};

struct Timeouts {  // ms
  Time heartbeat = 200;
  Time electLeast = 700, electMost = 1300;  // silence until an election
  Time firstLeast = 80, firstMost = 360;    // the same, after a start
  Time reachedMost = 40;                    // at most, once another one is reached after a start
  Time gone = 2000;                         // silence until a member may be replaced
  Time goneAfterLeave = 1200;               // the same, where it has said that it goes
  Time roundKept = 3000;                    // how long the beginning of a round is known
};

using Message = std::variant<rpc::AppendRequest, rpc::AppendResponse, rpc::VoteRequest, rpc::VoteResponse,
                             rpc::TimeoutNow, rpc::StatePiece, rpc::StatePieceResponse>;
struct Send {
  Id to = 0;
  Message message;
};
struct Persist {};    // of record()
struct Committed {};  // record().state, by this leader
struct Led {};        // leads, and what it leads with is committed
struct Stepped {};    // no longer leads; what was proposed and not committed may or may not last
struct Confirmed {    // majorities have answered this round within `electLeast` of its beginning
  std::uint64_t round = 0;
};
constexpr std::size_t kMostApplicants = 8;
constexpr std::uint64_t kNeverConfirmed = ~std::uint64_t{0};
using Effect = std::variant<Persist, Send, Committed, Led, Stepped, Confirmed>;

class Core {
 public:
  // `draw`: numbers from 0 to 1, for the spread of elections.
  Core(PersistentState record, Timeouts timeouts, unsigned seats, double (*draw)(void*), void* drawer,
       Time now);

  std::vector<Effect> tick(Time now);  // at least each `heartbeat` / 2
  std::vector<Effect> receive(const Message& message, Time now);
  // A link to another replica has come up. After a start this one need not wait longer to ask for votes.
  void reached(Time now);
  void setSeats(unsigned seats) { seats_ = seats; }  // how many members a leader brings together
  // A replica that wants to be a member, or be told so again: it is a learner, and a member once it has
  // caught up and there is a seat. At most kMostApplicants at a time.
  std::vector<Effect> join(const Member& member, Time now);
  // It has said that it goes; `incarnation` of its process, 0: the one that answered last. It stays a member
  // and is sooner held to be gone, unless another incarnation of it answers.
  std::vector<Effect> leave(Id member, Time now, std::uint64_t incarnation = 0);
  // A leader that is about to end: takes no more proposals, and once what is under way is committed and a
  // member that is heard holds it, it steps down and tells that member to stand at once. Where none does
  // within `electLeast`, it leads on.
  std::vector<Effect> transferLeadership(Time now);
  // Leader, leading, nothing under way: begins an entry. Begins none and steps down where it turns out that
  // no majority has been heard.
  bool mayPropose() const { return led_ && !inFlight_ && !transferUntil_; }
  std::vector<Effect> propose(std::string state, Time now);
  // The round whose confirmation proves leadership from now on; it is begun at once. kNeverConfirmed where
  // this one leads no more.
  std::uint64_t confirm(Time now, std::vector<Effect>& out);
  std::uint64_t nextRound() const { return round_ + 1; }  // the same, at the next beat

  std::uint64_t incarnation() const { return incarnation_; }  // of this process, drawn at its start
  const PersistentState& record() const { return record_; }
  bool leads() const { return led_; }
  // The same, and majorities have answered rounds that are young enough: what is asked of a leader between
  // two events goes by this.
  bool leads(Time now) const { return led_ && hasAuthority(now); }
  bool leaderIsKnown(Time now) const { return role_ == Role::leader || now - heard_ < timeouts_.electLeast; }
  Id leader() const { return leader_; }
  std::uint64_t committed() const { return committed_; }
  bool member() const { return isMember(record_.self); }
  std::uint64_t late() const { return late_; }  // messages dropped for an old number

 private:
  friend struct model_checking::CoreInspector;  // reads the whole state, to tell visited states apart
  enum class Role { follower, preCandidate, candidate, leader };
  struct Peer {
    std::uint64_t round = 0;                // latest answered
    std::uint64_t lastTerm = 0, index = 0;  // what it holds
    Time heard = -1e9;                      // when the newest round was sent that it has answered
    Time asked = -1e9;                      // to be a member
    bool known = false;                     // what it holds is
    std::optional<Outgoing> transfer;       // at most one at a time
    unsigned failures = 0;  // transfers that it has answered and does not hold, since the last that it does
    std::uint64_t incarnation = 0;      // of the process that answered last
    std::optional<std::uint64_t> left;  // the incarnation that has said that it goes
    bool leaving() const { return left && *left == incarnation; }
  };
  bool isMember(Id id) const;
  bool hasAuthority(Time now) const;
  void stepDownIfStale(Time now, std::vector<Effect>& out);
  Time heardFrom(Id id) const;  // a member; the won election counts as a word of all
  // The same, but for the leader before: its silence is the reason for the election, and counts from its
  // start.
  Time lastWordOf(Id id) const;
  void beginRound(Time now);
  std::optional<Time> sentAt(std::uint64_t round) const;
  template <class Holds>
  bool majority(const std::vector<Member>& of, Holds holds) const;
  template <class Holds>
  bool quorum(Holds holds) const;  // of the members, and of the former ones while they change
  std::set<Id> everyone() const;
  void follow(std::uint64_t term, Id leader, Time now, std::vector<Effect>& out);
  void stand(Time now, std::vector<Effect>& out);
  void elect(Time now, bool handover, std::vector<Effect>& out);
  void handOver(Time now, std::vector<Effect>& out);
  std::optional<Id> successor(Time now) const;
  void countVotes(Time now, std::vector<Effect>& out);
  void lead(Time now, std::vector<Effect>& out);
  void begin(Time now, std::vector<Effect>& out);  // the entry that record_ now holds
  EntryId lastEntry() const { return {record_.lastTerm, record_.index}; }
  bool holdsAll(const Peer& peer) const { return EntryId{peer.lastTerm, peer.index} == lastEntry(); }
  void rememberState(std::shared_ptr<const std::string> state);
  std::shared_ptr<const std::string> shareState();
  std::shared_ptr<const Payload> payloadFor(EntryId base);
  void beginTransfer(Id to, Peer& peer);
  void sendPieces(Id to, Peer& peer, Time now, std::vector<Effect>& out) const;
  void sendMissing(Id to, Time now, std::vector<Effect>& out);
  Peer* answering(std::uint64_t term, Id from, std::uint64_t round, Time now, std::vector<Effect>& out);
  bool take(const Payload& payload, const std::string& bytes, std::vector<Effect>& out);
  void settleTransfer(Peer& peer, Time now);
  void sendHeartbeats(Time now, std::vector<Effect>& out);
  void sendTo(Id to, Time now, std::vector<Effect>& out);
  void advance(Time now, std::vector<Effect>& out);
  void changeMembers(Time now, std::vector<Effect>& out);
  void forgetApplicants(Time now);
  bool isHeard(Id member, Time now) const;
  bool isGone(const Member& member, Time now) const;
  bool isReady(Id applicant, Time now) const;
  bool addressIsInUse(const std::string& ip, Time now) const;
  bool mayReplace(const Member& member, Time now) const;
  using Seat = std::vector<Member>::iterator;
  Seat seatOfAddress(const Member& applicant, Time now);
  Seat seatOfGone(Time now);
  void seat(Seat seat, const Member& applicant, Time now, std::vector<Effect>& out);
  void rest(Time now);
  void on(const rpc::AppendRequest& m, Time now, std::vector<Effect>& out);
  void on(const rpc::AppendResponse& m, Time now, std::vector<Effect>& out);
  void on(const rpc::VoteRequest& m, Time now, std::vector<Effect>& out);
  void on(const rpc::VoteResponse& m, Time now, std::vector<Effect>& out);
  void on(const rpc::TimeoutNow& m, Time now, std::vector<Effect>& out);
  void on(const rpc::StatePiece& m, Time now, std::vector<Effect>& out);
  void on(const rpc::StatePieceResponse& m, Time now, std::vector<Effect>& out);

  PersistentState record_;
  const Timeouts timeouts_;
  unsigned seats_;
  double (*draw_)(void*);
  void* drawer_;
  std::uint64_t incarnation_;
  Time tickedAt_;
  Role role_ = Role::follower;
  bool led_ = false, inFlight_ = false;
  Id leader_ = 0, heardLeader_ = 0;  // who leads now; who was heard last
  Id formerLeader_ = 0;              // before this one led
  Time formerLeaderHeard_ = -1e9;
  Time heard_ = -1e9, electAt_ = 0, heartbeatAt_ = 0, wonAt_ = 0;
  std::optional<Time> transferUntil_;  // while leadership is being handed over
  std::uint64_t committed_ = 0, round_ = 0, confirmed_ = 0, late_ = 0;
  std::map<Id, EntryId> votes_;  // and what the voters hold
  std::map<Id, Peer> peers_;
  std::map<Id, Member> applicants_;                             // learners
  std::map<EntryId, std::shared_ptr<const Payload>> payloads_;  // of the last entry, by base
  EntryId entryBefore_;                                         // before the last one
  History history_;
  Incoming incoming_;
  std::deque<Time> sentAt_;  // the latest rounds' beginnings, the last one's last
};

}  // namespace burlwind::consensus
