// A gatekeeper that was stopped and goes on: what it then does with a list, requests and attempts that time
// has passed by. The stop is played by a loop that does not run, and SIGCONT, which is all that a process
// sees of one.
#include "node/wake.hpp"

#include <algorithm>
#include <csignal>
#include <thread>

#include "support/loopback.hpp"

namespace burlwind::test {
namespace {

using namespace std::chrono_literals;

class Wake : public Loopback {
 protected:
  void open() {
    WakeSignal::install();
    const json known = json::array({entry("s-1", worker.text()), entry("s-2", other.text(), "Terminating")});
    node.emplace(io, parseConfig(configJson(discovery.text(), known).dump()));
    node->start();
    until([&] { return discovery.count("\r\n\r\n") == 1; }, "a watch");
    client = dial(node->address());
    client->send(Ask().text());
    until([&] { return worker.count("\r\n\r\n") == 1; }, "a request at the worker");
    worker.peers[0]->send(reply("200 OK", "before"));
    until([&] { return client->has("before"); }, "its answer");
  }
  void stopAndContinue(std::chrono::milliseconds length = 400ms) {
    std::this_thread::sleep_for(length);
    ::raise(SIGCONT);
  }
  void untilAskedAnew() {
    until([&] { return discovery.peers.size() == 2 && discovery.peers[1]->has("watch=1 HTTP/1.1\r\n"); },
          "the whole list asked for anew");
  }
  void tellList(const json& list) {
    discovery.peers[1]->send(kWatchHead + chunk(roster(9, true, list) + "\n"));
  }

  Listener discovery{io}, worker{io}, other{io};
  std::optional<Gatekeeper> node;
  PeerPtr client;
};

TEST_F(Wake, WhatIsSentOnWaitsForTheListAndGoesByIt) {
  open();
  client->send(Ask().text());
  stopAndContinue();
  untilAskedAnew();
  EXPECT_EQ(worker.count("\r\n\r\n"), 1u);  // nothing more than before
  tellList(json::array({entry("s-1", worker.text(), "Terminating"), entry("s-2", other.text())}));
  until([&] { return other.count("\r\n\r\n") == 1; }, "the request at the worker that the list names");
  EXPECT_EQ(worker.count("\r\n\r\n"), 1u);
  other.peers[0]->send(reply("200 OK", "after"));
  until([&] { return client->has("after"); }, "its answer");
}

TEST_F(Wake, AWorkerThatHasStartedAnewIsChosenAnew) {
  open();
  client->send(Ask().text());
  stopAndContinue();
  untilAskedAnew();
  // Cold by its new start, and so with its share of work for now: the request goes to the other one.
  const double now =
      std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
  tellList(json::array({entry("s-1", worker.text(), "Ready", now), entry("s-2", other.text())}));
  until([&] { return other.count("\r\n\r\n") + worker.count("\r\n\r\n") == 2; }, "the request");
  EXPECT_EQ(other.count("\r\n\r\n"), 1u);
}

TEST_F(Wake, WithoutDiscoveryTheLastListServesAfterAWhile) {
  open();
  client->send(Ask().text());
  const auto woken = std::chrono::steady_clock::now() + 400ms;
  stopAndContinue();
  until([&] { return worker.count("\r\n\r\n") == 2; }, "the request by the last list");
  EXPECT_GE(std::chrono::steady_clock::now() - woken, std::chrono::milliseconds(200));
}

TEST_F(Wake, WhatCameMeanwhileAndIsPastItsTimeIsRefusedAtOnceAndGoesToNobody) {
  open();
  Ask shortly;
  shortly.deadline = "150";
  client->send(shortly.text());
  stopAndContinue();
  until([&] { return client->has("429"); }, "a refusal");
  EXPECT_TRUE(client->has("Retry-After"));
  untilAskedAnew();
  tellList(json::array({entry("s-1", worker.text())}));
  client->send(Ask().text());
  until([&] { return worker.count("\r\n\r\n") == 2; }, "the next request");
  EXPECT_EQ(node->held(), 1u);
}

TEST_F(Wake, AClientThatLeavesMeanwhileLeavesNothingBehind) {
  open();
  client->send(Ask().text());
  stopAndContinue();
  untilAskedAnew();
  client->end();
  until([&] { return node->held() == 0; }, "that it is let go");
  tellList(json::array({entry("s-1", worker.text())}));
  const auto next = dial(node->address());
  next->send(Ask().text());
  until([&] { return worker.count("\r\n\r\n") == 2; }, "another client's request");
  EXPECT_EQ(worker.count("\r\n\r\n"), 2u);
}

TEST_F(Wake, AShortStopChangesNothing) {
  open();
  client->send(Ask().text());
  stopAndContinue(50ms);
  until([&] { return worker.count("\r\n\r\n") == 2; }, "the request");
  EXPECT_EQ(discovery.peers.size(), 1u);
  EXPECT_EQ(node->recovery().stops(), 0u);
}

}  // namespace
}  // namespace burlwind::test
