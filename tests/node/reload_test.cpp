// New configurations while the gatekeeper runs: the move to another discovery, and the signal that starts it.
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "support/loopback.hpp"

namespace burlwind::test {
namespace {

using namespace std::chrono_literals;

class Reload : public Loopback {
 protected:
  void open() {
    const json known = json::array({entry("s-1", worker.text())});
    node.emplace(io, parseConfig(configJson(first.text(), known).dump()));
    node->start();
    until([&] { return first.count("\r\n\r\n") == 1; }, "a watch at the first discovery");
  }
  void reload(const Listener& to) { node->reload(parseConfig(configJson(to.text()).dump()), {}); }

  Listener first{io}, second{io}, worker{io}, other{io};
  std::optional<Gatekeeper> node;
};

// The versions of one discovery mean nothing at another; until that speaks, the list that is had stays.
TEST_F(Reload, MovesToTheNewDiscoveryAndKeepsTheListUntilItSpeaks) {
  open();
  const auto client = dial(node->address());
  client->send(Ask().text());
  until([&] { return worker.count("\r\n\r\n") == 1; }, "a request at the worker");
  reload(second);
  until([&] { return second.count("\r\n\r\n") == 1; }, "a watch at the second discovery");
  EXPECT_TRUE(second.peers[0]->has("GET /registry/instances?watch=1 HTTP/1.1\r\n")) << second.peers[0]->got;
  until([&] { return first.peers[0]->ended; }, "the first watch ends");
  worker.peers[0]->send(reply("200 OK", "before it spoke"));
  until([&] { return client->has("before it spoke"); }, "the answer under way");
  client->send(Ask().text());
  until([&] { return worker.count("\r\n\r\n") == 2; }, "a request by the list that was had");
  worker.peers[0]->send(reply("200 OK", "still there"));
  until([&] { return client->has("still there"); }, "its answer");
  second.peers[0]->send(kWatchHead +
                        chunk(roster(1, true, json::array({entry("s-2", other.text())})) + "\n"));
  until([&] { return worker.peers[0]->ended; }, "the unnamed worker's connection ends");
  client->send(Ask().text());
  until([&] { return other.count("\r\n\r\n") == 1; }, "a request by the new list");
}

TEST_F(Reload, TheSameDiscoveryIsLeftAloneAndADrainGoesOn) {
  open();
  const auto client = dial(node->address());
  client->send(Ask().text());
  until([&] { return worker.count("\r\n\r\n") == 1; }, "a request at the worker");
  bool done = false;
  node->drain([&] { done = true; });
  reload(first);
  reload(second);
  reload(second);
  until([&] { return second.count("\r\n\r\n") == 1; }, "a watch at the second discovery");
  worker.peers[0]->send(reply("200 OK", "served"));
  until([&] { return client->has("served"); }, "the answer");
  client->end();
  until([&] { return done; }, "the drain's end");
  EXPECT_EQ(first.peers.size(), 1u);
  EXPECT_EQ(second.peers.size(), 1u);
}

// Thousands that say nothing come and go meanwhile: the move goes on, and a client is served.
TEST_F(Reload, AFloodKeepsItNeitherFromMovingNorFromServing) {
  open();
  std::vector<PeerPtr> crowd;
  const auto flood = [&] {
    for (int i = 0; i < 300; ++i) {
      crowd.push_back(dial(node->address()));
      io.restart();
      io.poll();
    }
  };
  flood();
  const auto client = dial(node->address());
  client->send(Ask().text());
  until([&] { return worker.count("\r\n\r\n") == 1; }, "a request at the worker");
  reload(second);
  flood();
  until([&] { return second.count("\r\n\r\n") == 1; }, "a watch at the second discovery");
  flood();
  worker.peers[0]->send(reply("200 OK", "served"));
  until([&] { return client->has("served"); }, "the answer");
  until([&] { return std::count_if(crowd.begin(), crowd.end(), [](auto& one) { return one->ended; }) > 600; },
        "the flood pushed out itself");
}

// A watch whose other side died unseen tells nothing more: it is opened again.
TEST_F(Reload, ASilentWatchIsOpenedAgain) {
  Discovery::Limits limits;
  limits.silence = 50ms;
  Discovery watch(io, first.address(), 3, limits, [](const Roster&) {});
  watch.start();
  until([&] { return first.count("watch=1&from=3 HTTP/1.1\r\n") >= 2; }, "another watch");
}

// The program itself: SIGHUP ends it by default.
class Program : public Reload {
 protected:
  void TearDown() override {
    if (child > 0) kill(child, SIGKILL), waitpid(child, nullptr, 0);
    std::filesystem::remove(file);
    std::filesystem::remove(lines);
  }
  void write(const std::string& text) const { std::ofstream(file) << text; }
  std::string logged() const {
    std::ifstream in(lines);
    return std::string(std::istreambuf_iterator<char>(in), {});
  }
  void run() {
    ASSERT_GE(child = fork(), 0);
    if (child > 0) return;
    if (!std::freopen(lines.c_str(), "w", stderr)) _exit(126);
    setenv("BALANCER_CONFIG", file.c_str(), 1);
    setenv("BALANCER_DISCOVERY", first.text().c_str(), 1);
    execl(BURLWIND_PROGRAM, BURLWIND_PROGRAM, static_cast<char*>(nullptr));
    _exit(127);
  }

  const std::string file = ::testing::TempDir() + "burlwind-reload-" + std::to_string(getpid()) + ".json";
  const std::string lines = file + ".log";
  pid_t child = 0;
};

TEST_F(Program, OnSighupItReadsTheFileAgainAndABadOneChangesNothing) {
  write(configJson(first.text()).dump());
  run();
  until([&] { return first.count("\r\n\r\n") == 1; }, "a watch");
  write("{ this is no configuration");
  kill(child, SIGHUP);
  until([&] { return logged().find("not reloaded: configuration: not JSON") != std::string::npos; },
        "a line");
  EXPECT_FALSE(first.peers[0]->ended);
  write(configJson(second.text()).dump());
  kill(child, SIGHUP);
  until([&] { return second.count("\r\n\r\n") == 1; }, "a watch at the discovery that the file names");
  kill(child, SIGTERM);
  int status = 0;
  ASSERT_EQ(waitpid(child, &status, 0), child);
  child = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

}  // namespace
}  // namespace burlwind::test
