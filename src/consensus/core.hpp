// Agreement on one state: decisions only, no I/O, time handed in. The log of Raft (Ongaro, Ousterhout 2014)
// cut down to its last entry: a state is whole and small, each entry holds all before it, so an older entry
// is never needed. Terms, votes and the election restriction are Raft's; so are joint majorities while the
// members change.
//
// What it promises, as properties of histories:
//  - One leader a term. Of two entries committed, one was made from the other.
//  - What was told committed is in every later leader's state, as long as of each set of members a majority
//    keeps its disk. Safety never gives way; without a majority nothing goes on, for as long as that lasts.
//  - A replica is known by an id that is drawn when its disk is empty, and members are ids. One that comes
//  back
//    with an empty disk is another replica: its old votes can't be cast again, its acknowledgements count for
//    nothing until the leader has made it a member, by joint majorities of the old and the new members. The
//    lost id never speaks again, so the old majority in that change is one of replicas that have forgotten
//    nothing.
//
// Order of effects: `persist` is carried out before whatever follows it in the list.
// Cost: a write of the whole state for each entry and each vote; memory: the state, twice.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "rpc/messages.hpp"

namespace burlwind::model_checking {
struct CoreInspector;
}

namespace burlwind::consensus {

using rpc::Member;
using Time = double;  // ms of the host's steady clock
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
  Time gone = 1500;                         // silence until a member may be replaced
};

using Message = std::variant<rpc::AppendRequest, rpc::AppendResponse, rpc::VoteRequest, rpc::VoteResponse>;
struct Send {
  Id to = 0;
  Message message;
};
struct Persist {};    // of record()
struct Committed {};  // record().state, by this leader
struct Led {};        // leads, and what it leads with is committed
struct Stepped {};    // no longer leads; what was proposed and not committed may or may not last
struct Confirmed {    // a majority has answered this round: it still leads
  std::uint64_t round = 0;
};
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
  // A replica that wants to be a member, or be told so again.
  std::vector<Effect> join(const Member& member, Time now);
  std::vector<Effect> leave(Id member, Time now);  // it has said that it goes
  // Leader, leading, nothing under way: begins an entry.
  bool mayPropose() const { return led_ && !inFlight_; }
  std::vector<Effect> propose(std::string state, Time now);
  // The round whose confirmation proves leadership from now on; it is begun at once.
  std::uint64_t confirm(Time now, std::vector<Effect>& out);
  std::uint64_t nextRound() const { return round_ + 1; }  // the same, at the next beat

  const PersistentState& record() const { return record_; }
  bool leads() const { return led_; }
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
    Time heard = 0, sentWhole = -1e9;
    bool leaving = false;
  };
  bool isMember(Id id) const;
  template <class Holds>
  bool majority(const std::vector<Member>& of, Holds holds) const;
  template <class Holds>
  bool quorum(Holds holds) const;  // of the members, and of the former ones while they change
  std::set<Id> everyone() const;
  void follow(std::uint64_t term, Id leader, Time now, std::vector<Effect>& out);
  void stand(Time now, std::vector<Effect>& out);
  void elect(Time now, std::vector<Effect>& out);
  void countVotes(Time now, std::vector<Effect>& out);
  void lead(Time now, std::vector<Effect>& out);
  void begin(Time now, std::vector<Effect>& out);  // the entry that record_ now holds
  void sendHeartbeats(Time now, std::vector<Effect>& out);
  void sendTo(Id to, Time now, std::vector<Effect>& out);
  void advance(Time now, std::vector<Effect>& out);
  void changeMembers(Time now, std::vector<Effect>& out);
  void rest(Time now);
  void on(const rpc::AppendRequest& m, Time now, std::vector<Effect>& out);
  void on(const rpc::AppendResponse& m, Time now, std::vector<Effect>& out);
  void on(const rpc::VoteRequest& m, Time now, std::vector<Effect>& out);
  void on(const rpc::VoteResponse& m, Time now, std::vector<Effect>& out);

  PersistentState record_;
  const Timeouts timeouts_;
  unsigned seats_;
  double (*draw_)(void*);
  void* drawer_;
  Role role_ = Role::follower;
  bool led_ = false, inFlight_ = false;
  Id leader_ = 0;
  Time heard_ = -1e9, electAt_ = 0, heartbeatAt_ = 0, wonAt_ = 0;
  std::uint64_t committed_ = 0, round_ = 0, confirmed_ = 0, late_ = 0;
  std::set<Id> votes_;
  std::map<Id, Peer> peers_;
  std::map<Id, Member> applicants_;
};

}  // namespace burlwind::consensus
