#include "rpc/traffic.hpp"

namespace burlwind::rpc {

const char* nameOf(int kind) {
  switch (kind) {
    case kHandshake:
      return "Handshake";
    case kAppendRequest:
      return "AppendRequest";
    case kAppendResponse:
      return "AppendResponse";
    case kVoteRequest:
      return "VoteRequest";
    case kVoteResponse:
      return "VoteResponse";
    case kJoin:
      return "Join";
    case kLeave:
      return "Leave";
    case kConfigUpdate:
      return "ConfigUpdate";
    case kLeaderConfirmation:
      return "LeaderConfirmation";
    case kCommandRequest:
      return "CommandRequest";
    case kCommandResponse:
      return "CommandResponse";
    case kReadRequest:
      return "ReadRequest";
    case kLeaseRequest:
      return "LeaseRequest";
    case kLeaseResponse:
      return "LeaseResponse";
    case kSessions:
      return "Sessions";
    case kWorkers:
      return "Workers";
    case kCores:
      return "Cores";
    case kStatus:
      return "Status";
    case kTokenRequest:
      return "TokenRequest";
    case kTokenResponse:
      return "TokenResponse";
    case kHeartbeat:
      return "Heartbeat";
    case kLevels:
      return "Levels";
    case kConfirmationRequest:
      return "ConfirmationRequest";
    case kTimeoutNow:
      return "TimeoutNow";
    default:
      return "unknown";
  }
}

Count Traffic::all(Direction direction) const {
  Count out;
  for (const Count& one : countsOf(direction)) out.messages += one.messages, out.bytes += one.bytes;
  return out;
}

std::string Traffic::text(Direction direction) const {
  std::string out;
  const Counts& counts = countsOf(direction);
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    if (counts[kind].messages == 0) continue;
    if (!out.empty()) out += ", ";
    out.append(nameOf(static_cast<int>(kind))).append(" ").append(std::to_string(counts[kind].messages));
    out.append(" ").append(std::to_string(counts[kind].bytes));
  }
  return out;
}

Traffic& traffic() {
  static Traffic ofThisProcess;
  return ofThisProcess;
}

}  // namespace burlwind::rpc
