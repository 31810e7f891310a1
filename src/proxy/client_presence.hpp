// Whether the client of a request is still there, and how far its request has come: shared by the client's
// connection, which learns of its end, and by the stages of the request, which stop their work for it.
// Decisions only; time and the look at the connection are handed in.
//
// Properties: a departure is final and noted once; stop callbacks of departure() run then, in the same call,
// or at once for who registers later. They must not resume the request: they cancel what it waits for.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <stop_token>
#include <string_view>
#include <utility>

namespace burlwind::proxy {

enum class RequestStage : std::uint8_t {
  reading,     // some of it has come
  routing,     // read, not routed yet
  tokens,      // waits for tokens of its tenant
  choosing,    // before a worker is chosen, also between two tries
  connecting,  // to a worker
  sending,     // its bytes are handed to a worker's connection
  atWorker,    // sent whole, its answer is waited for
  answering    // its answer is being written
};
constexpr std::size_t kRequestStages = 8;

enum class RequestKind : std::uint8_t { unrouted, repeatable, onceOnly };
constexpr std::size_t kRequestKinds = 3;

constexpr std::string_view nameOf(RequestStage stage) {
  constexpr std::string_view names[kRequestStages] = {"reading",    "routing", "tokens",    "choosing",
                                                      "connecting", "sending", "at_worker", "answering"};
  return names[static_cast<std::size_t>(stage)];
}

class ClientPresence {
 public:
  // Looks at the connection now and calls noteLeft where it has ended: costs a system call.
  using Look = std::function<void()>;
  ClientPresence() = default;  // of a client of whom nothing is heard any more, and that stays
  explicit ClientPresence(Look look) : look_(std::move(look)) {}

  void enter(RequestStage stage) { stage_ = stage; }
  // As far as has been noticed.
  bool left() const { return departure_.stop_requested(); }
  bool leftNow() {
    if (!left() && look_) look_();
    return left();
  }
  std::stop_token departure() const { return departure_.get_token(); }
  // now: ms.
  void noteLeft(double now) {
    if (left()) return;
    leftAt_ = now;
    stageAtDeparture_ = stage_;
    departure_.request_stop();
  }
  double leftAt() const { return leftAt_; }  // ms; where it has left
  RequestStage stageAtDeparture() const { return stageAtDeparture_; }

 private:
  const Look look_;
  std::stop_source departure_;
  RequestStage stage_ = RequestStage::routing;
  RequestStage stageAtDeparture_ = RequestStage::routing;
  double leftAt_ = 0;
};

}  // namespace burlwind::proxy
