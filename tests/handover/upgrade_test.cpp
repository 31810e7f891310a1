// Upgrades of the program itself under load: real processes, the platform's socket as descriptor 7, signals.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "support/loopback.hpp"

namespace burlwind::test {
namespace {

constexpr std::size_t kClients = 8;
constexpr int kDescriptor = 7;

class Upgrade : public Loopback {
 protected:
  void SetUp() override {
    folder_ = "/tmp/burlwind-test-XXXXXX";
    ASSERT_NE(::mkdtemp(folder_.data()), nullptr);
    json config = configJson(discovery.text(), json::array({entry("s-1", worker.text())}));
    config["listen"] = "127.0.0.1:" + std::to_string(platform.local_endpoint().port());
    std::ofstream(folder_ + "/config.json") << config.dump();
  }
  void TearDown() override {
    for (const pid_t child : children) kill(child, SIGKILL), waitpid(child, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }

  struct Process {
    pid_t id = 0;
    tcp::endpoint operators;
  };
  Process begin() {
    Process out;
    {
      tcp::acceptor free(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
      out.operators = free.local_endpoint();
    }
    const std::string at = "127.0.0.1:" + std::to_string(out.operators.port());
    out.id = fork();
    if (out.id == 0) {
      if (dup2(platform.native_handle(), kDescriptor) != kDescriptor) _exit(126);
      setenv("BALANCER_PASSED_SOCKET", std::to_string(kDescriptor).c_str(), 1);
      setenv("BALANCER_CONFIG", (folder_ + "/config.json").c_str(), 1);
      setenv("BALANCER_OPERATOR", at.c_str(), 1);
      setenv("TMPDIR", folder_.c_str(), 1);
      execl(BURLWIND_PROGRAM, BURLWIND_PROGRAM, static_cast<char*>(nullptr));
      _exit(127);
    }
    children.push_back(out.id);
    return out;
  }

  // Clients that ask, wait, and ask again on the connection while it stays open; workers answer at once.
  void pump() {
    answered_.resize(worker.peers.size(), 0);
    for (std::size_t i = 0; i < worker.peers.size(); ++i)
      for (; answered_[i] < worker.peers[i]->count("\r\n\r\n"); ++answered_[i])
        worker.peers[i]->send(reply("200 OK", "served"));
    clients_.resize(kClients);
    for (Client& client : clients_) {
      if (client.peer && (client.peer->has("served") || client.peer->has("refused: try again later\n"))) {
        served += client.peer->has("served");
        client.owed = false;
        if (client.peer->has("Connection: close"))
          client = {};
        else
          client.peer->got.clear();
      }
      if (client.peer && client.peer->ended) {
        turnedBack += client.owed;
        client = {};
      }
      if (client.owed) continue;
      if (!client.peer) client.peer = dial(platform.local_endpoint());
      Ask what;
      std::string number = std::to_string(++asked_);
      what.id = std::string(16 - number.size(), '0') + number;
      what.query = "client=" + what.id;
      client.peer->send(what.text());
      client.owed = true;
    }
  }
  void untilServed(std::size_t more) {
    const std::size_t aim = served + more;
    until([&] { return pump(), served >= aim; }, "answers");
  }
  // Asked again and again, as a platform would; the load goes on meanwhile.
  void untilReady(const Process& process) {
    PeerPtr call;
    until(
        [&] {
          pump();
          if (call && call->has("200 OK")) return true;
          if (!call || call->ended) call = knock(process.operators);
          return false;
        },
        "the process says that it is ready");
  }
  PeerPtr knock(const tcp::endpoint& at) {
    tcp::socket socket(io);
    Error error;
    socket.connect(at, error);
    if (error) return nullptr;  // it does not listen yet
    const auto out = std::make_shared<Peer>(std::move(socket));
    out->read();
    out->send("GET /ready HTTP/1.1\r\nHost: b\r\n\r\n");
    return out;
  }
  void untilEnded(const Process& process) {
    int status = -1;
    until([&] { return pump(), waitpid(process.id, &status, WNOHANG) == process.id; }, "the process ends");
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
    std::erase(children, process.id);
  }

  struct Client {
    PeerPtr peer;
    bool owed = false;
  };
  tcp::acceptor platform{io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  Listener discovery{io}, worker{io};
  std::string folder_;
  std::vector<pid_t> children;
  std::vector<Client> clients_;
  std::vector<std::size_t> answered_;
  std::size_t asked_ = 0, served = 0, turnedBack = 0;
};

TEST_F(Upgrade, UnderLoadNothingIsTurnedBackOverTwoUpgrades) {
  Process serving = begin();
  untilReady(serving);
  untilServed(200);
  for (int upgrade = 0; upgrade < 2; ++upgrade) {
    const Process next = begin();
    untilReady(next);
    untilServed(100);
    kill(serving.id, SIGTERM);
    untilEnded(serving);
    untilServed(200);
    serving = next;
  }
  // One that crosses the close of an idle connection may come again; none of these clients idles.
  EXPECT_EQ(turnedBack, 0u);
}

TEST_F(Upgrade, ANewOneThatDiesLeavesTheOldOneServing) {
  const Process old = begin();
  untilReady(old);
  untilServed(100);
  const Process next = begin();
  untilReady(next);
  kill(next.id, SIGKILL);
  untilReady(old);
  untilServed(200);
  kill(old.id, SIGTERM);
  untilEnded(old);
}

TEST_F(Upgrade, AnOldOneThatIsStoppedIsNotWaitedFor) {
  const Process old = begin();
  untilReady(old);
  untilServed(100);
  kill(old.id, SIGSTOP);
  const Process next = begin();
  const auto before = std::chrono::steady_clock::now();
  untilReady(next);
  EXPECT_LT(std::chrono::steady_clock::now() - before, std::chrono::seconds(6));
  kill(old.id, SIGKILL);
  untilServed(100);
}

TEST_F(Upgrade, ADescriptorThatDoesNotListenIsOneLineAndANonZeroExit) {
  platform.close();
  platform = tcp::acceptor(io, tcp::v4());  // bound to nothing, not listening
  const Process process = begin();
  int status = 0;
  until([&] { return waitpid(process.id, &status, WNOHANG) == process.id; }, "the process ends");
  std::erase(children, process.id);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 1) << status;
}

}  // namespace
}  // namespace burlwind::test
