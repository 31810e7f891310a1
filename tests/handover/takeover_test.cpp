// Two processes of one gatekeeper over loopback: the platform's socket, a Unix socket in a folder of their
// own.
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <thread>

#include "node/wake.hpp"
#include "support/loopback.hpp"

namespace burlwind::test {
namespace {

class TakeOver : public Loopback {
 protected:
  void SetUp() override {
    std::string folder = "/tmp/burlwind-test-XXXXXX";
    ASSERT_NE(::mkdtemp(folder.data()), nullptr);
    folder_ = folder;
    ::setenv("TMPDIR", folder.c_str(), 1);
  }
  void TearDown() override {
    ::unsetenv("TMPDIR");
    std::filesystem::remove_all(folder_);
  }
  std::unique_ptr<Gatekeeper> begin() {
    json file = configJson(discovery.text(), json::array({entry("s-1", worker.text())}));
    file["operator"] = "127.0.0.1:0";
    Config config = parseConfig(file.dump());
    config.listen = platform.local_endpoint();
    config.passedSocket = platform.native_handle();
    auto out = std::make_unique<Gatekeeper>(io, config);
    out->start();
    return out;
  }
  PeerPtr ask(const std::string& id) {
    const auto client = dial(platform.local_endpoint());
    Ask what;
    what.id = id;
    client->send(what.text());
    return client;
  }
  void untilSeen(std::size_t n) {
    until([&] { return worker.count("\r\n\r\n") == n; }, "a request at the worker");
  }
  void answerAll(const std::string& body) {
    for (const auto& peer : worker.peers)
      if (!peer->ended) peer->send(reply("200 OK", body));
  }
  std::string socket() const { return folder_ + "/burlwind-n0.handover"; }

  tcp::acceptor platform{io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  Listener discovery{io}, worker{io};
  std::string folder_;
};

TEST_F(TakeOver, TheNewOneServesTheOldOneFinishesAndNothingIsTurnedBack) {
  auto old = begin();
  EXPECT_TRUE(old->ready());
  const auto held = ask("00000000000000a1");
  untilSeen(1);
  const auto idle = dial(platform.local_endpoint());
  idle->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  until([&] { return idle->has("ready\n"); }, "a connection that waits");
  auto fresh = begin();
  until([&] { return fresh->ready(); }, "the new one says yes");
  EXPECT_EQ(old->state(), lifecycle::State::handingOver);
  const auto next = ask("00000000000000a2");
  untilSeen(2);
  EXPECT_EQ(fresh->held(), 1u);  // all that comes, comes to the new one
  EXPECT_EQ(old->held(), 1u);
  bool done = false;
  old->drain([&] { done = true; });
  answerAll("served");
  for (const auto& client : {held, next}) until([&] { return client->has("served"); }, "an answer");
  EXPECT_TRUE(held->has("Connection: close"));
  EXPECT_FALSE(next->has("Connection: close"));
  until([&] { return done && idle->ended; }, "the old one ends");
  old.reset();
  until([&] { return fresh->link().state() == handover::State::whole; }, "the new one is there for the next");
  auto third = begin();  // an upgrade of an upgrade
  until([&] { return third->ready() && fresh->state() == lifecycle::State::handingOver; },
        "the third one serves");
}

// What the old one holds is not the new one's to take; when it is gone, it is.
TEST_F(TakeOver, DescriptorsAreCountedOverBoth) {
  auto old = begin();
  std::vector<PeerPtr> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(dial(platform.local_endpoint()));
    crowd.back()->send("GET /health/re");
    until([&] { return old->connections() == crowd.size(); }, "a connection that does not go on");
  }
  auto fresh = begin();
  until([&] { return fresh->ready(); }, "the new one serves");
  const std::size_t few = fresh->admission().connections;
  EXPECT_LE(few + 60 + 256 / 3, 256u);  // of 256 in all
  old.reset();
  until([&] { return fresh->admission().connections > few; }, "all are its own");
  EXPECT_EQ(fresh->admission().connections, 256u - 256 / 3 - 24 - 20);
}

TEST_F(TakeOver, TheOldOneGoesOnIfTheNewOneDies) {
  auto old = begin();
  auto fresh = begin();
  until([&] { return old->state() == lifecycle::State::handingOver; }, "the hand-over");
  fresh.reset();
  until([&] { return old->ready(); }, "the old one serves again");
  const auto client = ask("00000000000000a1");
  untilSeen(1);
  answerAll("as before");
  until([&] { return client->has("as before"); }, "an answer");
  EXPECT_FALSE(client->has("Connection: close"));
}

TEST_F(TakeOver, TwoNewOnesAtOnceAreBothServedAndOneHandsOver) {
  auto old = begin();
  auto one = begin(), two = begin();
  until([&] { return one->ready() && two->ready(); }, "both serve");
  EXPECT_EQ(old->state(), lifecycle::State::handingOver);
}

// The socket of a process that hangs takes the connection and says nothing.
TEST_F(TakeOver, OneThatHangsIsNotWaitedFor) {
  asio::local::stream_protocol::acceptor hung(io, asio::local::stream_protocol::endpoint(socket()));
  auto fresh = begin();
  EXPECT_FALSE(fresh->ready());
  until([&] { return fresh->ready(); }, "it serves all the same");
}

TEST_F(TakeOver, WhatIsLeftOfADeadProcessIsNoHindrance) {
  { asio::local::stream_protocol::acceptor dead(io, asio::local::stream_protocol::endpoint(socket())); }
  ASSERT_TRUE(std::filesystem::exists(socket()));
  auto fresh = begin();
  EXPECT_TRUE(fresh->ready());
  auto next = begin();
  until([&] { return next->ready() && fresh->state() == lifecycle::State::handingOver; },
        "and it hands over");
}

TEST_F(TakeOver, NonsenseIsNotTaken) {
  asio::local::stream_protocol::acceptor liar(io, asio::local::stream_protocol::endpoint(socket()));
  auto fresh = begin();
  asio::local::stream_protocol::socket to(io);
  liar.accept(to);
  asio::write(to, asio::buffer(std::string(100, 'x')));
  until([&] { return fresh->ready(); }, "it serves all the same");
}

TEST_F(TakeOver, SigtermBeforeTheTakeOverIsAnOrdinaryEnd) {
  auto old = begin();
  bool done = false;
  old->drain([&] { done = true; });
  auto fresh = begin();
  until([&] { return fresh->ready() && done; }, "one ends and the other serves");
  const auto client = ask("00000000000000a1");
  untilSeen(1);
  answerAll("served");
  until([&] { return client->has("served"); }, "an answer");
}

// The old one hangs while another process asks, waits in vain, and goes on without it.
class HungOld : public TakeOver {
 protected:
  void TearDown() override {
    if (child > 0) kill(child, SIGKILL), waitpid(child, nullptr, 0);
    TakeOver::TearDown();
  }
  // A process of its own that asks, and then is there.
  void askFromAnother() {
    int told[2];
    ASSERT_EQ(pipe(told), 0);
    child = fork();
    if (child == 0) {
      sockaddr_un at{};
      at.sun_family = AF_UNIX;
      std::strncpy(at.sun_path, socket().c_str(), sizeof at.sun_path - 1);
      const int to = ::socket(AF_UNIX, SOCK_STREAM, 0);
      const bool asked =
          ::connect(to, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 && ::write(to, "T", 1) == 1;
      ::close(to);
      [[maybe_unused]] const auto said = ::write(told[1], asked ? "y" : "n", 1);
      for (;;) pause();
    }
    char answer = 0;
    ASSERT_EQ(::read(told[0], &answer, 1), 1);
    EXPECT_EQ(answer, 'y');
    ::close(told[0]), ::close(told[1]);
  }
  pid_t child = 0;
};

TEST_F(HungOld, TakesNothingMoreWhenItWakesAndServesAgainIfTheOtherDies) {
  WakeSignal::install();
  auto old = begin();
  const auto client = ask("00000000000000a1");
  untilSeen(1);
  answerAll("before");
  until([&] { return client->has("before"); }, "an answer");
  askFromAnother();
  Ask next;
  next.id = "00000000000000a2";
  client->send(next.text());
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));  // the stop: longer than the other one waits
  raise(SIGCONT);
  until([&] { return client->has("503"); }, "a refusal");
  EXPECT_EQ(worker.count("\r\n\r\n"), 1u);
  EXPECT_EQ(old->state(), lifecycle::State::handingOver);
  EXPECT_EQ(old->link().state(), handover::State::superseded);
  kill(child, SIGKILL);
  until([&] { return old->ready(); }, "the old one serves again");
  const auto later = ask("00000000000000a3");
  untilSeen(2);
  answerAll("after");
  until([&] { return later->has("after"); }, "an answer");
}

TEST_F(HungOld, OneThatAskedAndDiedHasNotGoneOn) {
  WakeSignal::install();
  auto old = begin();
  askFromAnother();
  kill(child, SIGKILL), waitpid(child, nullptr, 0), child = 0;
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  raise(SIGCONT);
  const auto client = ask("00000000000000a1");
  untilSeen(1);
  answerAll("served");
  until([&] { return client->has("served"); }, "an answer");
  EXPECT_TRUE(old->ready());
}

// The new one hangs between its question and the answer: by then that is taken back.
TEST_F(TakeOver, ANewOneThatHungAsksAnew) {
  WakeSignal::install();
  asio::local::stream_protocol::acceptor old(io, asio::local::stream_protocol::endpoint(socket()));
  auto fresh = begin();
  asio::local::stream_protocol::socket first(io), second(io);
  old.accept(first);
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  raise(SIGCONT);
  bool again = false;
  old.async_accept(second, [&](const Error& error) { again = !error; });
  const auto client = dial(platform.local_endpoint());  // something to handle
  until([&] { return again; }, "another question");
  EXPECT_EQ(fresh->link().state(), handover::State::asked);
}

}  // namespace
}  // namespace burlwind::test
