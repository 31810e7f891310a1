// State that outlives the process, in a gatekeeper: written, taken up, and in nobody's way when the disk
// fails; and off where it is not switched on.
#include <signal.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>

#include "faults/failing_files.hpp"
#include "faults/folder.hpp"
#include "faults/log_watch.hpp"
#include "faults/process.hpp"
#include "support/loopback.hpp"

namespace burlwind::test {
namespace {

namespace fs = std::filesystem;
using recovery::Degree;
using recovery::Thing;

class KeptState : public Loopback {
 protected:
  OperatorSettings operators() const {
    OperatorSettings out;
    out.snapshot.enabled = true;
    out.snapshot.folder = folder.path();
    out.snapshot.every = std::chrono::milliseconds(50);
    return out;
  }
  void open(const json& known = {}, std::unique_ptr<snapshot::Files> files = nullptr) {
    node.emplace(io, parseConfig(configJson(discovery.text(), known).dump()), operators(), std::move(files));
    node->start();
  }
  json workers() const { return json::array({entry("s-1", worker.text())}); }
  void serveOne(std::size_t before = 0) {
    const auto client = dial(node->address());
    client->send(Ask().text());
    until([&] { return worker.count("\r\n\r\n") == before + 1; }, "a request at the worker");
    worker.peers.back()->send(reply("200 OK", "served", "X-RateLimit-Used: 3\r\n"));
    until([&] { return client->has("served"); }, "its answer");
    client->end();
  }
  void end() {
    bool done = false;
    node->drain([&] { done = true; });
    until([&] { return done; }, "its end");
    node.reset();
  }
  bool there(unsigned slot) const { return fs::exists(folder.path() + "/n0.state." + std::to_string(slot)); }

  faults::Folder folder{"burlwind-test"};
  Listener discovery{io}, worker{io};
  std::optional<Gatekeeper> node;
};

TEST_F(KeptState, IsTakenUpByTheNextProcess) {
  open(workers());
  EXPECT_EQ(node->recovery().degree(Thing::use, 0), Degree::nothing);
  serveOne();
  end();
  EXPECT_TRUE(there(0) && there(1));  // at the start, and at the end
  open();
  EXPECT_EQ(node->recovery().permits(), (recovery::Permits{true, true, true}));
  EXPECT_EQ(node->recovery().degree(Thing::use, 0), Degree::doubtful);
  EXPECT_EQ(node->recovery().degree(Thing::list, 0), Degree::doubtful);
  // Discovery says nothing: the list that was kept serves.
  EXPECT_TRUE(node->ready());
  serveOne(1);
}

TEST_F(KeptState, IsWrittenWhileItServes) {
  open(workers());
  serveOne();
  until([&] { return there(0) && there(1); }, "two states");
  node.reset();  // dies: nothing is written at its end
  open();
  EXPECT_EQ(node->recovery().degree(Thing::use, 0), Degree::doubtful);
}

TEST_F(KeptState, SpoiltOnesAreLeftAndTheStartIsAsWithout) {
  open(workers());
  serveOne();
  end();
  folder.scribble(".");
  open(workers());
  EXPECT_EQ(node->recovery().permits(), recovery::Permits{});
  EXPECT_EQ(node->recovery().degree(Thing::use, 0), Degree::nothing);
  serveOne(1);
}

TEST_F(KeptState, ADiskThatFailsStopsNothing) {
  snapshot::DiskFiles disk;
  for (unsigned n = 1; n <= 8; ++n) {
    auto files = std::make_unique<faults::FailingFiles>(
        disk, faults::FailingFiles::failAt(n, n % 2 == 0 ? ENOSPC : EIO, true));
    const std::size_t before = worker.count("\r\n\r\n");
    open(workers(), std::move(files));
    serveOne(before);
    end();
  }
}

TEST_F(KeptState, AnothersStateIsNotTaken) {
  open(workers());
  serveOne();
  end();
  for (const unsigned slot : {0u, 1u})
    fs::rename(folder.path() + "/n0.state." + std::to_string(slot),
               folder.path() + "/n1.state." + std::to_string(slot));
  json config = configJson(discovery.text(), workers());
  config["name"] = "n1";
  node.emplace(io, parseConfig(config.dump()), operators());
  EXPECT_EQ(node->recovery().permits(), recovery::Permits{});
}

// The program itself: threads and files are as without the section, until it says enabled = true.
class OffMeansOff : public KeptState {
 protected:
  struct Seen {
    std::size_t threads = 0, files = 0, libraries = 0;
    bool operator==(const Seen&) const = default;
  };
  Seen start(const std::string& operatorFile) {
    std::ofstream(folder.path() + "/config.json") << configJson(discovery.text(), workers()).dump();
    std::string command = BURLWIND_PROGRAM;
    if (!operatorFile.empty()) {
      std::ofstream(folder.path() + "/operator.toml") << operatorFile;
      command += " --operator " + folder.path() + "/operator.toml";
    }
    faults::Process process({"n0", folder.path() + "/log"});
    process.start(command,
                  {{"BALANCER_CONFIG", folder.path() + "/config.json"}, {"TMPDIR", folder.sub("tmp")}});
    const std::size_t before = discovery.peers.size();
    until([&] { return discovery.peers.size() > before && discovery.peers.back()->has("watch=1"); },
          "its watch");
    const std::string proc = "/proc/" + std::to_string(process.id());
    Seen out;
    out.threads = static_cast<std::size_t>(
        std::distance(fs::directory_iterator(proc + "/task"), fs::directory_iterator{}));
    std::ifstream maps(proc + "/maps");
    for (std::string line; std::getline(maps, line);)
      out.libraries += line.find(".so") != std::string::npos && line.find("r-xp") != std::string::npos;
    process.signal(SIGTERM);
    until([&] { return process.ended().has_value(); }, "its end");
    const fs::path kept = folder.sub("kept");
    out.files =
        static_cast<std::size_t>(std::distance(fs::directory_iterator(kept), fs::directory_iterator{}));
    return out;
  }
};

TEST_F(OffMeansOff, NothingBeginsButByEnabled) {
  const std::string at = "folder = \"" + folder.sub("kept") + "\"\n";
  const Seen plain = start("");
  EXPECT_EQ(plain.threads, 1u);
  EXPECT_EQ(start("[snapshot]\n"), plain);
  EXPECT_EQ(start("[snapshot]\n" + at), plain);
  EXPECT_EQ(start("[snapshot]\nenabled = false\n" + at), plain);
  const Seen on = start("[snapshot]\nenabled = true\n" + at);
  EXPECT_EQ(on.threads, 2u);
  EXPECT_EQ(on.libraries, plain.libraries);
  EXPECT_GE(on.files, 1u);
}

// The program itself, ended or stopped at named points of its coming back: lines of its log.
class ComesBack : public KeptState {
 protected:
  void SetUp() override {
    {
      tcp::acceptor free(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
      at = free.local_endpoint();
    }
    json config = configJson(discovery.text(), workers());
    config["listen"] = "127.0.0.1:" + std::to_string(at.port());
    std::ofstream(folder.path() + "/config.json") << config.dump();
    std::ofstream(folder.path() + "/operator.toml")
        << "[snapshot]\nenabled = true\nfolder = \"" + folder.sub("kept") + "\"\nevery_ms = 50\n";
  }
  void start() {
    process.start(std::string(BURLWIND_PROGRAM) + " --operator " + folder.path() + "/operator.toml",
                  {{"BALANCER_CONFIG", folder.path() + "/config.json"}});
  }
  // Runs until this is in its log; whoever watches acts at that moment.
  void startUntil(const std::string& point, const std::function<void()>& then) {
    bool seen = false;
    faults::LogWatch watch(io, process.logPath(), [&](const std::string& line) {
      if (seen || line.find(point) == std::string::npos) return;
      seen = true;
      then();
    });
    start();
    until([&] { return seen; }, point.c_str());
  }
  void untilEnded() {
    until([&] { return process.ended().has_value(); }, "its end");
  }
  void untilServes() {
    const std::size_t before = worker.count("\r\n\r\n");
    PeerPtr client;
    until(
        [&] {
          if (!client || client->ended) {
            tcp::socket socket(io);
            Error refused;
            socket.connect(at, refused);
            if (refused) return false;
            client = std::make_shared<Peer>(std::move(socket));
            client->read();
            client->send(Ask().text());
          }
          return worker.count("\r\n\r\n") > before;
        },
        "a request at the worker");
    worker.peers.back()->send(reply("200 OK", "served"));
    until([&] { return client->has("served"); }, "its answer");
  }

  tcp::endpoint at;
  faults::Process process{{"n0", folder.path() + "/log"}};
};

const char* const kPoints[] = {"snapshot: /", "recovery: list doubtful", "state: serving", "ready after"};

TEST_F(ComesBack, KilledAtEachPointOfItItComesBackAllTheSame) {
  start();
  untilServes();
  until([&] { return fs::exists(folder.path() + "/kept/n0.state.0"); }, "a first state");
  for (const char* point : kPoints) {
    process.signal(SIGKILL);
    untilEnded();
    startUntil(point, [&] { process.signal(SIGKILL); });
    untilEnded();
    start();
    untilServes();
    EXPECT_NE(process.logSinceStart().find("snapshot: taken up"), std::string::npos) << point;
  }
}

TEST_F(ComesBack, StoppedAtEachPointOfItItGoesOn) {
  start();
  untilServes();
  for (const char* point : kPoints) {
    process.signal(SIGKILL);
    untilEnded();
    startUntil(point, [&] {
      process.stop();
      std::this_thread::sleep_for(std::chrono::milliseconds(300));  // the stop
      process.wake();
    });
    untilServes();
  }
}

// The disk is full from the first byte: it serves, says so, and says when that is over.
TEST_F(ComesBack, OnAFullDiskItServesAndSaysSo) {
  faults::Process small({"n0", folder.path() + "/log.small", 1024, 4096});
  folder.spoil("kept");
  small.start(std::string(BURLWIND_PROGRAM) + " --operator " + folder.path() + "/operator.toml",
              {{"BALANCER_CONFIG", folder.path() + "/config.json"}});
  until([&] { return small.ended().has_value(); }, "that it says so and starts nothing");
  EXPECT_NE(small.logEnd().find("snapshot.folder: '" + folder.path() + "/kept' is not a folder"),
            std::string::npos)
      << small.logEnd();
  folder.mend("kept");
  start();
  untilServes();
  folder.spoil("kept");  // while it runs
  bool said = false, again = false;
  faults::LogWatch watch(io, process.logPath(), [&](const std::string& line) {
    said = said || line.find("trying again") != std::string::npos;
    again = again || line.find("snapshot: written again") != std::string::npos;
  });
  untilServes();
  until([&] { return said; }, "the line that says so");
  folder.mend("kept");
  until([&] { return again; }, "the line that says that it is over");
}

}  // namespace
}  // namespace burlwind::test
