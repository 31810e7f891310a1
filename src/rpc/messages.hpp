// What the system's own processes tell each other, as plain data. Times are spans in ms as they stood when
// the message was sent: clocks of two machines are never compared.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace burlwind::rpc {

enum Kind {
  kHandshake = 1,
  kAppendRequest,
  kAppendResponse,
  kVoteRequest,
  kVoteResponse,
  kJoin,
  kLeave,
  kConfigUpdate,
  kLeaderConfirmation,
  kCommandRequest,
  kCommandResponse,
  kReadRequest,
  kLeaseRequest,
  kLeaseResponse,
  kSessions,
  kWorkers,
  kCores,
  kStatus,
  kTokenRequest,
  kTokenResponse,
  kHeartbeat,
  kLevels,
  kConfirmationRequest,
  kTimeoutNow,
  kStatePiece,
  kStatePieceResponse,
  kUsageQuery,
  kUsageReport
};

// --- Who speaks ---
struct Handshake {
  static constexpr Kind kKind = kHandshake;
  std::string role, name, ip, zone, region;
  std::uint64_t incarnation = 0;  // drawn at the process's start
  std::string front;              // a proxy's address for clients
  double linkMbps = 0;            // of its machine; 0: not told
  MSGPACK_DEFINE(role, name, ip, zone, region, incarnation, front, linkMbps)
};

// --- Stores among themselves (src/consensus) ---
struct Member {
  std::uint64_t id = 0;
  std::string ip;
  bool operator==(const Member&) const = default;
  MSGPACK_DEFINE(id, ip)
};
// A heartbeat; where `whole`, with the entry's state, where `patch`, with what makes it of the base's state.
struct AppendRequest {
  static constexpr Kind kKind = kAppendRequest;
  std::uint64_t term = 0, from = 0, round = 0, lastTerm = 0, index = 0, committed = 0;
  bool whole = false;
  std::vector<Member> members, former;
  std::string state;
  bool patch = false;
  std::uint64_t baseTerm = 0, baseIndex = 0;
  std::uint64_t hash = 0;  // XXH3 of the state; 0: not told
  MSGPACK_DEFINE(term, from, round, lastTerm, index, committed, whole, members, former, state, patch,
                 baseTerm, baseIndex, hash)
};
// A part of an entry that is too large for one message: `data` at `offset` of `size` bytes, the state or,
// where there is a base, a patch.
struct StatePiece {
  static constexpr Kind kKind = kStatePiece;
  std::uint64_t term = 0, from = 0, round = 0, lastTerm = 0, index = 0, baseTerm = 0, baseIndex = 0;
  std::vector<Member> members, former;
  std::uint64_t hash = 0, size = 0, offset = 0;
  std::string data;
  MSGPACK_DEFINE(term, from, round, lastTerm, index, baseTerm, baseIndex, members, former, hash, size, offset,
                 data)
};
struct StatePieceResponse {
  static constexpr Kind kKind = kStatePieceResponse;
  std::uint64_t term = 0, from = 0, round = 0, lastTerm = 0, index = 0;  // of the entry in transfer
  std::uint64_t held = 0;                                                // bytes from the beginning
  bool refused = false;  // it can't be made of what is held here
  MSGPACK_DEFINE(term, from, round, lastTerm, index, held, refused)
};
struct AppendResponse {
  static constexpr Kind kKind = kAppendResponse;
  std::uint64_t term = 0, from = 0, round = 0, lastTerm = 0, index = 0;
  std::uint64_t incarnation = 0;  // of the process that answers
  MSGPACK_DEFINE(term, from, round, lastTerm, index, incarnation)
};
struct VoteRequest {
  static constexpr Kind kKind = kVoteRequest;
  std::uint64_t term = 0, from = 0, lastTerm = 0, index = 0;
  bool preVote = false;   // asks whether it would be granted; binds nobody
  bool handover = false;  // the leader of the term before has stepped down and asked for this election
  MSGPACK_DEFINE(term, from, lastTerm, index, preVote, handover)
};
struct VoteResponse {
  static constexpr Kind kKind = kVoteResponse;
  std::uint64_t term = 0, from = 0;
  bool preVote = false, granted = false;
  std::uint64_t lastTerm = 0, index = 0;  // what the voter holds
  MSGPACK_DEFINE(term, from, preVote, granted, lastTerm, index)
};
struct TimeoutNow {  // the leader of `term` has stepped down: who gets this stands for election at once
  static constexpr Kind kKind = kTimeoutNow;
  std::uint64_t term = 0, from = 0, lastTerm = 0, index = 0;
  MSGPACK_DEFINE(term, from, lastTerm, index)
};
struct Join {
  static constexpr Kind kKind = kJoin;
  Member member;
  MSGPACK_DEFINE(member)
};
struct Leave {
  static constexpr Kind kKind = kLeave;
  std::uint64_t from = 0;
  std::uint64_t incarnation = 0;  // of the process that ends
  MSGPACK_DEFINE(from, incarnation)
};

// --- A store and its readers ---
struct ConfigUpdate {  // the agreed state, committed
  static constexpr Kind kKind = kConfigUpdate;
  std::uint64_t term = 0, index = 0;
  std::string configuration;  // as the operator sent it; empty before the first
  std::vector<std::string> evacuated;
  std::vector<std::string> stores;            // ips
  std::map<std::string, unsigned> proxies{};  // by zone: the agreed ceiling of how many there may be
  MSGPACK_DEFINE(term, index, configuration, evacuated, stores, proxies)
};
struct ConfirmationRequest {  // a reader asks whether this store still leads
  static constexpr Kind kKind = kConfirmationRequest;
  std::uint64_t number = 0;  // grows with each question of this reader; from 1
  MSGPACK_DEFINE(number)
};
// The leader has heard a majority in a round that it began after the reader's question `number` came.
struct LeaderConfirmation {
  static constexpr Kind kKind = kLeaderConfirmation;
  std::uint64_t term = 0, index = 0;
  std::string holder;       // of the duties' lease: ip; empty: nobody
  std::uint64_t epoch = 0;  // of the owner of the duties that is agreed on
  std::vector<std::string> stores;
  std::uint64_t number = 0;  // the newest question that is covered; 0: none, only a hint whom to ask
  MSGPACK_DEFINE(term, index, holder, epoch, stores, number)
};
// An order of an operator. `knownIndex` is the index that the registry knew when it accepted the call, the
// same in each repeat of its own: a call that was accepted before the zone last changed is no order of now.
struct CommandRequest {
  static constexpr Kind kKind = kCommandRequest;
  std::uint64_t number = 0;  // of this question on its link
  std::string what;          // "config", "evacuate", "return"; of registries: kRaiseCeiling, kLowerCeiling
  std::string body;          // the configuration, the zone, or a packed RaiseCeiling or LowerCeiling
  bool tellsIndex = false;   // else `knownIndex` is not told, and nothing is held against it
  std::uint64_t knownIndex = 0;
  MSGPACK_DEFINE(number, what, body, tellsIndex, knownIndex)
};
template <class Message>
std::string packed(const Message& message) {
  msgpack::sbuffer out;
  msgpack::pack(out, message);
  return {out.data(), out.size()};
}
// How many proxies there may be, by zone. Registries alone order it, never a call from outside.
constexpr const char* kRaiseCeiling = "raise_proxy_ceiling";
constexpr const char* kLowerCeiling = "lower_proxy_ceiling";
struct RaiseCeiling {  // to at least these
  std::map<std::string, unsigned> proxies;
  MSGPACK_DEFINE(proxies)
};
struct LowerCeiling {  // to `wanted`, where it is still `expected`
  std::map<std::string, unsigned> expected, wanted;
  MSGPACK_DEFINE(expected, wanted)
};
struct ReadRequest {
  static constexpr Kind kKind = kReadRequest;
  std::uint64_t number = 0;
  MSGPACK_DEFINE(number)
};
struct CommandResponse {
  static constexpr Kind kKind = kCommandResponse;
  std::uint64_t number = 0;
  int status = 0;  // as HTTP has it; 503: no clear answer
  std::string text;
  bool judged = false;  // by the leader: asked again it would say the same
  MSGPACK_DEFINE(number, status, text, judged)
};
struct LeaseRequest {
  static constexpr Kind kKind = kLeaseRequest;
  std::uint64_t number = 0;
  std::string ip;
  std::uint64_t incarnation = 0, epoch = 0;  // of the asking process; of the owner that it was told of last
  bool wants = false;                        // else it only shows that it is there
  MSGPACK_DEFINE(number, ip, incarnation, epoch, wants)
};
struct LeaseResponse {  // granted: for `span` from when the question was sent
  static constexpr Kind kKind = kLeaseResponse;
  std::uint64_t number = 0;
  double span = 0;
  std::uint64_t epoch = 0;  // of this owner of the duties
  MSGPACK_DEFINE(number, span, epoch)
};

// --- Registries among themselves ---
struct ProxySession {  // a proxy's session as its registry tells it
  std::string name, front, zone, region;
  bool ready = false;
  std::uint64_t incarnation = 0;
  double linkMbps = 0;
  double age = 0;          // ms since its process began
  double idle = 0;         // ms from its last admission under a quota, or its beginning, to its last Status
  double told = 0;         // ms since that Status
  bool ownPart = false;    // it spends its own part of the quotas, not the holder's tokens
  bool hasGrants = false;  // it has been granted tokens in this life,
  double granted = 0;      // ms before its last Status for the first time
  // The spans as times of the clock of who holds this; not sent.
  double bornAt = 0, admittedAt = 0, toldAt = 0, grantedAt = 0;
  bool sameAs(const ProxySession& o) const {
    return name == o.name && front == o.front && zone == o.zone && region == o.region && ready == o.ready &&
           incarnation == o.incarnation && linkMbps == o.linkMbps && ownPart == o.ownPart &&
           hasGrants == o.hasGrants;
  }
  void place(double now) {
    bornAt = now - age, toldAt = now - told;
    admittedAt = toldAt - idle, grantedAt = toldAt - granted;
  }
  // The other way; `idle` and `granted` stand as they were told.
  void unplace(double now) { age = now - bornAt, told = now - toldAt; }
  MSGPACK_DEFINE(name, front, zone, region, ready, incarnation, linkMbps, age, idle, told, ownPart, hasGrants,
                 granted)
};
struct Sessions {
  static constexpr Kind kKind = kSessions;
  bool whole = false;  // else nothing has changed since the last
  std::vector<ProxySession> sessions;
  MSGPACK_DEFINE(whole, sessions)
};

// --- The list of workers ---
struct Worker {
  std::string id, service, address, zone;
  unsigned slots = 0;
  bool draining = false;
  double coldLeft = 0;  // ms
  MSGPACK_DEFINE(id, service, address, zone, slots, draining, coldLeft)
};
struct Workers {  // whole, or the difference from `before`
  static constexpr Kind kKind = kWorkers;
  std::uint64_t term = 0, number = 0, before = 0;
  bool whole = false;
  std::vector<Worker> put;
  std::vector<std::string> gone;
  MSGPACK_DEFINE(term, number, before, whole, put, gone)
};

// --- A registry and its proxies ---
struct Core {
  std::string ip, zone, region;
  bool operator==(const Core&) const = default;
  MSGPACK_DEFINE(ip, zone, region)
};
struct Cores {
  static constexpr Kind kKind = kCores;
  std::vector<Core> cores;                  // the control machines
  std::map<std::string, unsigned> proxies;  // by zone: the agreed ceiling; empty: none is agreed on yet
  std::uint64_t version = 0;                // index of the agreed state that both were taken from
  MSGPACK_DEFINE(cores, proxies, version)
};
struct Status {
  static constexpr Kind kKind = kStatus;
  bool ready = false;
  std::uint64_t index = 0, workers = 0;     // what is in force there
  double age = 0, idle = 0;                 // as in ProxySession
  std::uint64_t number = 0;                 // grows with each of this proxy; from 1
  bool ownPart = false, hasGrants = false;  // as in ProxySession
  double granted = 0;                       // the same
  std::uint64_t unreadable = 0;             // index of the last update that didn't read there; 0: none
  MSGPACK_DEFINE(ready, index, workers, age, idle, number, ownPart, hasGrants, granted, unreadable)
};
struct Heartbeat {  // the answer to a Status, and told where `confirmed` begins
  static constexpr Kind kKind = kHeartbeat;
  bool confirmed = false;    // the leader has confirmed what this registry holds
  std::uint64_t age = 0;     // ms since the registry sent the question that the leader confirmed
  std::uint64_t number = 0;  // of the newest Status that came before this was sent; 0: none
  std::uint64_t index = 0;   // a proxy that has this index or a later one in force lacks no configuration
  MSGPACK_DEFINE(confirmed, age, number, index)
};

// --- Quotas ---
struct TokenDemand {
  std::string tenant;
  double want = 0;   // requests, in stock beyond what is held and under way
  double asked = 0;  // requests a second that came
  MSGPACK_DEFINE(tenant, want, asked)
};
struct TokenRequest {
  static constexpr Kind kKind = kTokenRequest;
  std::uint64_t number = 0;
  std::string proxy;
  std::uint64_t incarnation = 0;
  std::vector<TokenDemand> demands;
  MSGPACK_DEFINE(number, proxy, incarnation, demands)
};
struct TokenGrant {
  std::string tenant;
  double granted = 0;
  int use = 0;         // percent of the rate that all ask for
  bool empty = false;  // the store has nothing left
  // ms from when the request was sent that this answers until the tokens end; as preset: of a peer that tells
  // none.
  double lifeMs = 400;
  MSGPACK_DEFINE(tenant, granted, use, empty, lifeMs)
};
struct TokenResponse {
  static constexpr Kind kKind = kTokenResponse;
  std::uint64_t number = 0;
  std::string proxy;
  std::uint64_t incarnation = 0;
  std::vector<TokenGrant> grants;
  std::uint64_t epoch = 0;  // of the owner of the duties that grants; 0 to a proxy
  bool noHolder = false;    // nobody who grants can be reached, and so nobody counts on this asker
  MSGPACK_DEFINE(number, proxy, incarnation, grants, epoch, noHolder)
};

// The holder asks what proxies have let in lately, through their registries; each answers the same way.
struct UsageQuery {
  static constexpr Kind kKind = kUsageQuery;
  std::uint64_t epoch = 0;  // of the owner of the duties that asks
  MSGPACK_DEFINE(epoch)
};
struct TenantUse {
  std::string tenant;
  double used = 0;  // let in within the last burst / rate seconds, and in stock
  MSGPACK_DEFINE(tenant, used)
};
struct UsageReport {
  static constexpr Kind kKind = kUsageReport;
  std::uint64_t epoch = 0;
  std::string proxy;
  std::uint64_t incarnation = 0;
  double coveredMs = 0;  // how far back the proxy knows of all that it has let in
  std::vector<TenantUse> uses;
  MSGPACK_DEFINE(epoch, proxy, incarnation, coveredMs, uses)
};

struct Level {  // of a tenant's store: the holder grants nothing of it before it has told a lower one
  std::string tenant;
  double level = 0;
  MSGPACK_DEFINE(tenant, level)
};
struct Levels {  // the holder's, for who holds the quotas next: those that have changed
  static constexpr Kind kKind = kLevels;
  std::uint64_t epoch = 0;
  std::vector<Level> levels;
  MSGPACK_DEFINE(epoch, levels)
};

}  // namespace burlwind::rpc
