// Who may serve what: the decisions of registries and proxies, message by message.
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <utility>

#include "proxy/session_core.hpp"
#include "registry/directory.hpp"
#include "registry/grant_fence.hpp"
#include "registry/leader_tracker.hpp"
#include "registry/order_forwarder.hpp"
#include "registry/proxy_feed.hpp"
#include "registry/registry.hpp"
#include "registry/stall_detector.hpp"

namespace burlwind {
namespace {

using registry::LeaderTracker;
using registry::ProxyFeed;
using Taken = LeaderTracker::Taken;

rpc::ConfigUpdate update(std::uint64_t term, std::uint64_t index, std::string text = "c") {
  return {term, index, std::move(text), {}, {}};
}
rpc::LeaderConfirmation confirmation(std::uint64_t term, std::uint64_t index, std::uint64_t number) {
  return {term, index, {}, 0, {}, number};
}

// A registry linked to three stores, with the numbers of its first questions.
struct Asked {
  Asked() {
    for (const char* store : {"a", "b", "c"}) tracker.linked(store);
    for (const auto& question : tracker.questions(0)) numbers[question.store] = question.request.number;
  }
  LeaderTracker tracker;
  std::map<std::string, std::uint64_t> numbers;
};

TEST_CASE("The leader's answer counts from when the question was sent") {
  Asked asked;
  REQUIRE(asked.numbers.size() == 3);
  CHECK(asked.tracker.take("a", update(1, 1)) == Taken::changed);
  CHECK(asked.tracker.take("a", confirmation(1, 1, asked.numbers["a"]), 900));
  CHECK(asked.tracker.confirmed(999));
  CHECK_FALSE(asked.tracker.confirmed(1000));  // 100 ms after it came
}

TEST_CASE("Neither an update nor a hint nor another's number confirms anything") {
  Asked asked;
  asked.tracker.take("a", update(2, 5));
  asked.tracker.take("a", confirmation(2, 5, 0), 1500);
  CHECK(asked.tracker.leader() == "a");
  CHECK_FALSE(asked.tracker.confirmed(1500));
  CHECK(asked.tracker.publishable(1500) == nullptr);
  CHECK_FALSE(asked.tracker.take("a", confirmation(2, 5, asked.numbers["b"]), 1500));
  CHECK_FALSE(asked.tracker.take("a", confirmation(2, 5, 77), 1500));
  CHECK_FALSE(asked.tracker.confirmed(1500));
  CHECK(asked.tracker.dropped() == 2);
}

TEST_CASE("An answer to a question of an earlier link proves nothing on the next one") {
  Asked asked;
  asked.tracker.take("a", update(1, 1));
  asked.tracker.lost("a");
  asked.tracker.linked("a");
  CHECK_FALSE(asked.tracker.take("a", confirmation(1, 1, asked.numbers["a"]), 20));
  CHECK_FALSE(asked.tracker.confirmed(20));
  const auto again = asked.tracker.questions(20);  // the others were asked 20 ms ago
  REQUIRE(again.size() == 1);
  CHECK(again[0].store == "a");
}

TEST_CASE("What is behind in term or index is dropped and counted") {
  Asked asked;
  asked.tracker.take("a", update(3, 7, "new"));
  CHECK(asked.tracker.take("b", update(2, 6, "old")) == Taken::dropped);
  CHECK(asked.tracker.take("b", update(2, 9, "fork")) == Taken::dropped);
  CHECK(asked.tracker.take("a", update(3, 6, "old")) == Taken::dropped);
  CHECK_FALSE(asked.tracker.take("b", confirmation(2, 6, asked.numbers["b"]), 10));
  CHECK(asked.tracker.leader() == "a");
  CHECK(asked.tracker.update().configuration == "new");
  CHECK(asked.tracker.dropped() == 4);
}

TEST_CASE("A registry that lacks what was confirmed is not confirmed, and tells proxies nothing") {
  Asked asked;
  ProxyFeed feed;
  rpc::Status status;
  status.number = 1;
  feed.heard(status);
  asked.tracker.take("a", update(1, 4));
  asked.tracker.take("a", confirmation(1, 5, asked.numbers["a"]), 10);
  CHECK_FALSE(asked.tracker.confirmed(10));
  CHECK(feed.due(asked.tracker, 10) == nullptr);
  CHECK_FALSE(feed.heartbeat(asked.tracker, 10).confirmed);
  asked.tracker.take("a", update(1, 5, "d"));
  const auto questions = asked.tracker.questions(310);
  REQUIRE(questions.size() == 3);  // not confirmed: all are asked
  asked.tracker.take("a", confirmation(1, 5, questions[0].request.number), 350);
  REQUIRE(feed.due(asked.tracker, 350));
  CHECK(feed.due(asked.tracker, 350) == nullptr);  // once
  CHECK(feed.heartbeat(asked.tracker, 350).age >= 40);
  CHECK(asked.tracker.questions(650).size() == 1);  // confirmed: the leader alone
}

// A registry that is confirmed at 10 ms and holds an update of that index.
struct Confirmed : Asked {
  explicit Confirmed(std::uint64_t index) {
    tracker.take("a", update(1, index));
    tracker.take("a", confirmation(1, index, numbers["a"]), 10);
  }
  void change(std::uint64_t index) { tracker.take("a", update(1, index, "c" + std::to_string(index))); }
};
rpc::Status statusOf(std::uint64_t number, std::uint64_t index, std::uint64_t unreadable = 0) {
  rpc::Status out;
  out.number = number, out.index = index, out.unreadable = unreadable;
  return out;
}

TEST_CASE("One update is under way on a session, and the newest follows it") {
  Confirmed registry(4);
  ProxyFeed feed;
  CHECK(feed.due(registry.tracker, 20) == nullptr);  // what the proxy holds isn't known yet
  feed.heard(statusOf(1, 0));
  REQUIRE(feed.due(registry.tracker, 20));
  for (std::uint64_t index = 5; index < 300; ++index) {
    registry.change(index);
    CHECK(feed.due(registry.tracker, 30) == nullptr);
  }
  feed.heard(statusOf(2, 4));
  const auto* const next = feed.due(registry.tracker, 40);
  REQUIRE(next);
  CHECK(next->index == 299);
  feed.heard(statusOf(3, 299));
  CHECK(feed.due(registry.tracker, 50) == nullptr);
}

TEST_CASE("An update that does not read, or is dropped without a word, holds up no newer one") {
  Confirmed registry(4);
  ProxyFeed feed;
  feed.heard(statusOf(1, 0));
  REQUIRE(feed.due(registry.tracker, 20));
  registry.change(5);
  SUBCASE("told") {
    feed.heard(statusOf(2, 0, 4));
    CHECK(feed.due(registry.tracker, 30) != nullptr);
  }
  SUBCASE("not told") {
    CHECK(feed.due(registry.tracker, 900) == nullptr);
    const auto questions = registry.tracker.questions(1500);
    REQUIRE_FALSE(questions.empty());
    registry.tracker.take("a", confirmation(1, 5, questions[0].request.number), 1510);
    CHECK(feed.due(registry.tracker, 20 + registry::kUpdateTimeout) != nullptr);
  }
}

TEST_CASE("A proxy that lacks nothing is sent nothing when it comes to another registry") {
  Confirmed registry(9);
  ProxyFeed feed;
  feed.heard(statusOf(1, 9));
  CHECK(feed.due(registry.tracker, 20) == nullptr);
  CHECK(feed.heartbeat(registry.tracker, 20).index == 9);
}

TEST_CASE("A new leader's hint has it asked at once") {
  Asked asked;
  asked.tracker.take("b", confirmation(1, 0, asked.numbers["b"]), 10);  // and is confirmed: asked alone
  asked.tracker.take("c", confirmation(2, 0, 0), 20);
  const auto questions = asked.tracker.questions(20);
  REQUIRE(questions.size() == 1);
  CHECK(questions[0].store == "c");
}

// --- What belongs to an earlier session, incarnation, holder or moment ---
rpc::ProxySession seatOf(std::uint64_t incarnation, double bornAt, bool ready) {
  rpc::ProxySession out;
  out.name = "p", out.front = "10.0.0.9:80", out.incarnation = incarnation;
  out.bornAt = bornAt, out.ready = ready;
  return out;
}

TEST_CASE("A proxy that has dialled again keeps its seat when its earlier link ends") {
  registry::Registry registry("10.0.0.1", {});
  registry.registerSession(seatOf(7, 0, true), 100, 1);
  registry.registerSession(seatOf(7, 0, true), 200, 2);
  registry.deregisterSession("p", 1, 210);
  CHECK(registry.ownSessions(210).size() == 1);
  registry.registerSession(seatOf(7, 0, false), 220, 1);  // late, on the earlier link
  CHECK(registry.ownSessions(220)[0].ready);
  registry.deregisterSession("p", 2, 230);
  CHECK(registry.ownSessions(230).empty());
}

TEST_CASE("Of two incarnations of a proxy the later one counts, wherever it has its session") {
  registry::Registry registry("10.0.0.1", {});
  registry.registerSession(seatOf(7, 0, true), 1000, 1);  // its process has ended, which isn't known here yet
  rpc::Sessions told{true, {seatOf(8, 0, false)}};
  told.sessions[0].age = 50;
  registry.observeSessions("10.0.0.2", told, 1000);
  registry::Directory directory(registry, 1);
  CHECK(directory.answer({}, 1000).addresses.empty());  // the later one is not ready
  CHECK(registry.liveByZone()[""] == 1);
}

TEST_CASE("A grant counts once, for this process's own question, from the newest holder known") {
  registry::GrantFence fence(5);
  const auto grant = [](std::uint64_t number, std::uint64_t incarnation, std::uint64_t epoch) {
    return rpc::TokenResponse{number, "10.0.0.1", incarnation, {}, epoch};
  };
  for (const std::uint64_t number : {1, 2, 3, 4}) fence.asked(number, 0);
  CHECK(fence.accepts(grant(1, 5, 8), 8, 100));
  CHECK_FALSE(fence.accepts(grant(1, 5, 8), 8, 100));  // a second time
  CHECK_FALSE(fence.accepts(grant(2, 4, 8), 8, 100));  // another incarnation's
  CHECK_FALSE(fence.accepts(grant(3, 5, 7), 8, 100));  // the holder has lost the lease since
  CHECK_FALSE(fence.accepts(grant(4, 5, 8), 8, 2500));
  CHECK_FALSE(fence.accepts(grant(9, 5, 8), 8, 100));
}

TEST_CASE("Calls that are read just after a stop are told apart from those that come later") {
  registry::StallDetector stall(0);
  CHECK_FALSE(stall.observe(900));
  CHECK(stall.observe(2000));
  CHECK_FALSE(stall.observe(2010));
  CHECK(stall.waking(2010));  // the second one out of the buffers
  CHECK_FALSE(stall.waking(2200));
}

// On a loop that is polled by hand: no link, no time passes.
TEST_CASE("An order that waits for a leader is not sent any more after a stop") {
  boost::asio::io_context io;
  LeaderTracker tracker;
  registry::DialerSet stores(io, 1, {});
  registry::OrderForwarder orders(io, stores, tracker);
  registry::LeaderAnswer answer;
  const auto call = [&]() -> boost::asio::awaitable<void> {
    answer = co_await orders.order("evacuate", "z");
  };
  boost::asio::co_spawn(io, call(), boost::asio::detached);
  io.poll();
  REQUIRE(answer.status == 0);
  orders.dropAll("stood still");
  io.poll();
  CHECK(answer.status == 503);
}

// --- The proxy's end ---
using proxy::SessionCore;

template <class Effect>
std::vector<Effect> only(const proxy::SessionEffects& effects) {
  std::vector<Effect> out;
  for (const auto& effect : effects)
    if (const auto* one = std::get_if<Effect>(&effect)) out.push_back(*one);
  return out;
}
rpc::Workers list(std::uint64_t epoch, std::uint64_t number, std::uint64_t before = 0) {
  rpc::Workers out;
  out.term = epoch, out.number = number, out.before = before, out.whole = before == 0;
  return out;
}

// A proxy that has opened one session and sent its first Status on it, number 1.
struct Linked {
  Linked() {
    core.setSeeds({"10.0.0.1"}, 0);
    id = only<proxy::OpenSession>(core.tick(0)).at(0).id;
    core.linked(id, 0);
  }
  SessionCore core{{"z", "r"}, 7};
  proxy::SessionId id = 0;
};

TEST_CASE("A configuration comes into force only from a session whose registry is confirmed") {
  Linked p;
  CHECK(p.core.arrived(p.id, update(1, 1), 10).empty());
  CHECK(p.core.arrived(p.id, list(1, 1), 10).empty());
  CHECK(p.core.arrived(p.id, rpc::Heartbeat{false, 0, 1}, 10).empty());
  CHECK(p.core.arrived(p.id, rpc::Heartbeat{true, 5, 0}, 10).empty());  // answers no Status
  const auto effects = p.core.arrived(p.id, rpc::Heartbeat{true, 5, 1}, 20);
  CHECK(only<rpc::ConfigUpdate>(effects).size() == 1);
  CHECK(only<rpc::Workers>(effects).size() == 1);
  CHECK(p.core.inTouch(20));
}

TEST_CASE("A session is good without an update where the proxy has what its registry holds") {
  Linked p;
  p.core.arrived(p.id, update(1, 7), 10);
  p.core.arrived(p.id, list(1, 1), 10);
  p.core.arrived(p.id, rpc::Heartbeat{true, 0, 1, 7}, 10);
  p.core.setSeeds({"10.0.0.1", "10.0.0.2"}, 0);
  p.core.unlinked(p.id);
  const auto opened = only<proxy::OpenSession>(p.core.tick(100)).at(0);
  const auto status = only<proxy::SendStatus>(p.core.linked(opened.id, 110)).at(0);
  p.core.arrived(opened.id, list(1, 1), 120);
  SUBCASE("the same") {
    p.core.arrived(opened.id, rpc::Heartbeat{true, 0, status.number, 7}, 120);
    CHECK(p.core.inTouch(120));
  }
  SUBCASE("a newer one, which must come first") {
    p.core.arrived(opened.id, rpc::Heartbeat{true, 0, status.number, 8}, 120);
    CHECK_FALSE(p.core.inTouch(120));
  }
}

TEST_CASE("Heartbeats that waited in a buffer make nothing fresher") {
  Linked p;
  p.core.arrived(p.id, update(1, 1), 10);
  p.core.arrived(p.id, list(1, 1), 10);
  p.core.arrived(p.id, rpc::Heartbeat{true, 100, 1}, 20);
  const auto status = only<proxy::SendStatus>(p.core.statusNow(400)).at(0);
  p.core.arrived(p.id, rpc::Heartbeat{true, 300, status.number}, 6000);  // this process stood still
  CHECK_FALSE(p.core.inTouch(6000));
}

TEST_CASE("Nothing in force goes back when another registry takes over") {
  Linked p;
  p.core.setSeeds({"10.0.0.1", "10.0.0.2"}, 0);
  p.core.arrived(p.id, update(2, 9), 10);
  p.core.arrived(p.id, list(5, 100), 10);
  p.core.arrived(p.id, rpc::Heartbeat{true, 0, 1}, 10);
  p.core.unlinked(p.id);
  const auto opened = only<proxy::OpenSession>(p.core.tick(100)).at(0);
  const auto status = only<proxy::SendStatus>(p.core.linked(opened.id, 110)).at(0);
  p.core.arrived(opened.id, update(2, 8), 120);
  p.core.arrived(opened.id, list(5, 98), 120);
  p.core.arrived(opened.id, list(5, 99, 98), 120);
  const auto effects = p.core.arrived(opened.id, rpc::Heartbeat{true, 0, status.number}, 120);
  REQUIRE(p.core.current() == opened.id);
  CHECK(only<rpc::ConfigUpdate>(effects).empty());
  CHECK(only<rpc::Workers>(effects).empty());
  CHECK(p.core.arrived(opened.id, list(5, 100, 99), 130).empty());
  CHECK(only<rpc::Workers>(p.core.arrived(opened.id, list(5, 101, 100), 130)).size() == 1);
  CHECK(only<proxy::RestartLink>(p.core.arrived(opened.id, list(5, 103, 102), 130)).size() == 1);
  CHECK(p.core.dropped() == 3);
}

}  // namespace
}  // namespace burlwind
