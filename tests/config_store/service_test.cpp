// When exactly a leader answers, message by message: never by a heartbeat round that began before the
// question.
#include "config_store/service.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace burlwind::config_store {
namespace {

constexpr ReaderId kReader = 1;

// The first of three members, with the other two played by hand: the second answers what it is asked to.
class Leader {
 public:
  Leader() : service_(consensus::Core(record(), {}, 3, &middle, nullptr, 0), {}, 0) {
    while (!service_.leads() && now_ < 5000) tick();
    REQUIRE(service_.leads());
    take(service_.readerGreeted(kReader, now_));
    ask(rpc::ConfirmationRequest{1});
    answer();
    REQUIRE(newest<rpc::LeaderConfirmation>()->number == 1);
  }

  // What the other stores have not answered yet.
  std::vector<consensus::Message> takeUnanswered() { return std::exchange(unanswered_, {}); }
  void answer(const std::vector<consensus::Message>& messages) {
    for (const auto& message : messages) {
      if (const auto* vote = std::get_if<rpc::VoteRequest>(&message))
        take(service_.fromStore(rpc::VoteResponse{vote->term, kOther, vote->preVote, true}, now_));
      if (const auto* append = std::get_if<rpc::AppendRequest>(&message))
        take(service_.fromStore(
            rpc::AppendResponse{append->term, kOther, append->round, append->lastTerm, append->index}, now_));
    }
  }
  void answer() {
    while (!unanswered_.empty()) answer(takeUnanswered());
  }
  // The next heartbeat; what was sent before it is not answered any more.
  void nextHeartbeat() {
    unanswered_.clear();
    while (unanswered_.empty()) {
      now_ += 50;
      take(service_.tick(now_));
    }
  }
  void ask(const ReaderRequest& request, ReaderId reader = kReader) {
    take(service_.fromReader(reader, request, now_));
  }
  void greet(ReaderId reader) { take(service_.readerGreeted(reader, now_)); }
  void end(ReaderId reader) { service_.readerEnded(reader); }
  void tick() {
    now_ += 50;
    take(service_.tick(now_));
    answer();
  }
  Time now() const { return now_; }
  template <class Message>
  const Message* newest() const {
    for (auto it = told_.rbegin(); it != told_.rend(); ++it)
      if (const auto* message = std::get_if<Message>(&*it)) return message;
    return nullptr;
  }
  // What is asked between a heartbeat and its answer is not answered by it, but by the next round.
  template <class Response>
  void answersOnlyByTheNextRound(const ReaderRequest& request) {
    nextHeartbeat();
    const auto before = takeUnanswered();
    told_.clear();
    ask(request);
    const auto after = takeUnanswered();
    answer(before);
    CHECK(newest<Response>() == nullptr);
    if (after.empty())
      nextHeartbeat(), answer();
    else
      answer(after);
    CHECK(newest<Response>() != nullptr);
  }

 private:
  static constexpr consensus::Id kOther = 2;
  static double middle(void*) { return 0.5; }
  static consensus::PersistentState record() {
    consensus::PersistentState out;
    out.self = 1;
    out.members = {{1, "10.0.0.1"}, {kOther, "10.0.0.2"}, {3, "10.0.0.3"}};
    return out;
  }
  void take(const Effects& effects) {
    for (const Effect& effect : effects) {
      if (const auto* toStore = std::get_if<SendToStore>(&effect); toStore && toStore->to == kOther)
        unanswered_.push_back(toStore->message);
      if (const auto* toReaders = std::get_if<SendToReaders>(&effect)) told_.push_back(toReaders->message);
    }
  }
  Time now_ = 0;
  Service service_;
  std::vector<consensus::Message> unanswered_;
  std::vector<ReaderMessage> told_;
};

TEST_CASE("a greeting is told nothing of the state until its question is confirmed") {
  Leader leader;
  CHECK(leader.newest<rpc::ConfigUpdate>()->index > 0);
}

TEST_CASE("no question is answered by a round that began before it") {
  Leader leader;
  leader.answersOnlyByTheNextRound<rpc::LeaderConfirmation>(rpc::ConfirmationRequest{2});
  leader.answersOnlyByTheNextRound<rpc::CommandResponse>(rpc::ReadRequest{3});
  leader.answersOnlyByTheNextRound<rpc::CommandResponse>(rpc::CommandRequest{4, "config", "{"});
}

TEST_CASE("the duties are granted once their owner is agreed on, and again by a round after each question") {
  Leader leader;
  const rpc::LeaseRequest request{5, "10.0.0.9", 77, 0, true};
  leader.ask(request);
  CHECK(leader.newest<rpc::LeaseResponse>() == nullptr);
  leader.answer();
  REQUIRE(leader.newest<rpc::LeaseResponse>());
  CHECK(leader.newest<rpc::LeaseResponse>()->span == lease::kLeaseSpan);
  leader.answersOnlyByTheNextRound<rpc::LeaseResponse>(request);
}

TEST_CASE("a registry whose link has ended before its question was confirmed is granted nothing") {
  Leader leader;
  const rpc::LeaseRequest request{5, "10.0.0.9", 77, 0, true};
  leader.ask(request);
  leader.answer();
  REQUIRE(leader.newest<rpc::LeaseResponse>()->span == lease::kLeaseSpan);
  const Time granted = leader.now();
  while (leader.now() < granted + 300) leader.tick();
  leader.nextHeartbeat();
  leader.ask(request);
  leader.end(kReader);
  leader.answer();
  // The next one need not wait longer than for what was granted before.
  while (leader.now() < granted + lease::kLeaseSpan * (1 + lease::kDrift)) leader.tick();
  constexpr ReaderId kNext = 2;
  leader.greet(kNext);
  leader.ask(rpc::LeaseRequest{6, "10.0.0.8", 78, 0, true}, kNext);
  leader.answer();
  CHECK(leader.newest<rpc::LeaseResponse>()->number == 6);
  CHECK(leader.newest<rpc::LeaseResponse>()->span == lease::kLeaseSpan);
}

TEST_CASE("the newest question of a round is answered, once") {
  Leader leader;
  leader.nextHeartbeat();
  leader.ask(rpc::ConfirmationRequest{2});
  leader.ask(rpc::ConfirmationRequest{3});
  leader.nextHeartbeat();
  leader.answer();
  CHECK(leader.newest<rpc::LeaderConfirmation>()->number == 3);
}

}  // namespace
}  // namespace burlwind::config_store
