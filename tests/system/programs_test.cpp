// The three programs as processes: what they say of their command line and settings, that a settings file
// that is spoilt under them changes nothing, and that SIGTERM ends them in order. Waits for their words and
// their ends, never for time; a process that says nothing is ended by an alarm of its own.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <regex>
#include <string>
#include <vector>

#include "process.hpp"
#include "support/configurations.hpp"

namespace burlwind {
namespace {

namespace fs = std::filesystem;

const char* const kPrograms[] = {BURLWIND_PROXY, BURLWIND_REGISTRY, BURLWIND_CONFIG_STORE};

// A machine alone, on an address of its own; nobody else answers there.
std::string settings(const fs::path& data) {
  return R"({"self":{"nodeName":"n","ipAddress":"127.77.0.1","zone":"a","region":"A","firstBoot":true,"dataFolder":")" +
         data.string() +
         R"(","limits":{}},"network":{"bind":{"front":"127.77.0.1:18389","readiness":"127.77.0.1:18384","control":"127.77.0.1:18383","directory":"127.77.0.1:18385"},"internalPorts":[17460,17475],"seedNodes":["127.77.0.1:18383"],"zones":{"a":"leon"}},"provider":{},"settings":{"bounds":{"grace":"4s"}}})";
}

// A clock that jumps can do no harm to what never looks at it: all spans are of the steady clock.
TEST_CASE("no part of the system reads the time of day") {
  const std::regex day(
      R"(system_clock|gettimeofday|CLOCK_REALTIME|\btime\((NULL|nullptr|0)\)|localtime|gmtime|strftime)");
  unsigned files = 0;
  for (const char* package :
       {"config", "consensus", "control_api", "proxy", "distributed_quota", "http", "config_store",
        "registry", "rpc", "program", "quota", "lease", "load_balancing"})
    for (const auto& file : fs::directory_iterator(fs::path(BURLWIND_SOURCES) / package)) {
      std::ifstream in(file.path());
      const std::string text((std::istreambuf_iterator<char>(in)), {});
      CHECK_MESSAGE(!std::regex_search(text, day), file.path().string());
      ++files;
    }
  CHECK(files > 40);
}

TEST_CASE("each program tells its version, checks its settings, and names what is wrong") {
  Folder folder;
  const fs::path good = folder.path / "good.json", cut = folder.path / "cut.json",
                 bad = folder.path / "bad.json";
  const std::string text = settings(folder.path);
  std::ofstream(good) << text;
  std::ofstream(cut) << text.substr(0, text.size() / 2);
  std::string wrong = text;
  wrong.replace(wrong.find("[17460,17475]"), 13, "[17460]      ");
  std::ofstream(bad) << wrong;
  std::ofstream(folder.path / "valid.conf") << support::spoilt("customers", "[]");
  std::ofstream(folder.path / "spoilt.conf") << support::spoilt("limits.idle", "\"0ms\"");
  for (const char* program : kPrograms) {
    CAPTURE(program);
    Process version(program, {"--version"}, good);
    CHECK(version.ends() == 0);
    CHECK(version.said().find(BURLWIND_VERSION) != std::string::npos);
    Process check(program, {"--check"}, good);
    CHECK(check.ends() == 0);
    Process short_(program, {"--check"}, cut);
    CHECK(short_.ends() == 2);
    CHECK(short_.said().find("cut.json") != std::string::npos);
    Process ports(program, {"--check"}, bad);
    CHECK(ports.ends() == 2);
    CHECK(ports.said().find("network.internalPorts") != std::string::npos);
    Process valid(program, {"--check", "--configuration", (folder.path / "valid.conf").string()}, good);
    CHECK(valid.ends() == 0);
    Process spoilt(program, {"--check", "--configuration", (folder.path / "spoilt.conf").string()}, good);
    CHECK(spoilt.ends() == 2);
    CHECK(spoilt.said().find("spoilt.conf: limits.idle") != std::string::npos);
    Process alone(program, {"--configuration", (folder.path / "valid.conf").string()}, good);
    CHECK(alone.ends() == 2);
    Process missing(program, {}, folder.path / "none.json");
    CHECK(missing.ends() == 2);
    Process odd(program, {"--bogus"}, good);
    CHECK(odd.ends() == 2);
    CHECK(odd.said().find("--bogus") != std::string::npos);
  }
}

TEST_CASE("a settings file spoilt under a running program changes nothing, and SIGTERM ends it with 0") {
  Folder folder;
  const fs::path file = folder.path / "local.json";
  for (const char* program : kPrograms) {
    CAPTURE(program);
    std::ofstream(file) << settings(folder.path / "data");
    Process process(program, {}, file);
    REQUIRE(process.says("\"what\":\"starts\""));
    std::ofstream(file) << "{\"self\":";
    process.signal(SIGHUP);
    CHECK(process.says("\"kept\":\"the ones before\""));
    CHECK(process.runs());
    process.signal(SIGTERM);
    CHECK(process.says("\"what\":\"ends\""));
    CHECK(process.ends() == 0);
  }
}

TEST_CASE("a changed settings file is taken with and without SIGHUP, and what waits for a start is named") {
  Folder folder;
  const fs::path file = folder.path / "local.json", next = folder.path / "next.json";
  for (const char* program : kPrograms) {
    CAPTURE(program);
    const std::string before = settings(folder.path / "data");
    std::ofstream(file) << before;
    Process process(program, {}, file);
    REQUIRE(process.says("\"what\":\"starts\""));
    std::string bounds = before;
    bounds.replace(bounds.find("\"bounds\":{"), 10, "\"bounds\":{\"retrySlack\":7,");
    std::ofstream(next) << bounds;
    fs::rename(next, file);
    process.signal(SIGHUP);
    CHECK(process.says("\"taken\":\"settings.bounds\""));
    // Another one, of which nobody is told.
    std::string moved = bounds;
    moved.replace(moved.find("\"zone\":\"a\""), 10, "\"zone\":\"b\"");
    moved.replace(moved.find("\"retrySlack\":7"), 14, "\"retrySlack\":8");
    std::ofstream(next) << moved;
    fs::rename(next, file);
    CHECK(process.says("\"fields\":\"self.zone\""));
    CHECK(process.says("\"taken\":\"settings.bounds\""));
    process.signal(SIGTERM);
    CHECK(process.ends() == 0);
  }
}

std::string storeSettings(const std::string& ip, const fs::path& data) {
  return R"({"self":{"nodeName":")" + ip + R"(","ipAddress":")" + ip +
         R"(","zone":"a","region":"A","firstBoot":true,"dataFolder":")" + data.string() +
         R"(","limits":{}},"network":{"bind":{"front":")" + ip + R"(:18389","readiness":")" + ip +
         R"(:18384","control":")" + ip + R"(:18383","directory":")" + ip +
         R"(:18385"},"internalPorts":[17460,17475],"seedNodes":["127.78.0.1:18383","127.78.0.2:18383",)" +
         R"("127.78.0.3:18383"],"zones":{"a":"A"}},"provider":{},"settings":{"tolerance":{"machines":1},)" +
         R"("bounds":{"grace":"4s"}}})";
}

TEST_CASE("a config store that leads hands leadership over when it gets SIGTERM") {
  Folder folder;
  std::vector<std::unique_ptr<Process>> stores;
  std::vector<Process*> running;
  for (const std::string ip : {"127.78.0.1", "127.78.0.2", "127.78.0.3"}) {
    const fs::path file = folder.path / (ip + ".json");
    std::ofstream(file) << storeSettings(ip, folder.path / ip);
    stores.push_back(std::make_unique<Process>(BURLWIND_CONFIG_STORE, std::vector<std::string>{}, file));
    running.push_back(stores.back().get());
  }
  Process* leader = Process::firstToSay(running, "\"what\":\"leads\"");
  REQUIRE(leader);
  leader->signal(SIGTERM);
  REQUIRE(leader->says("\"what\":\"ends\""));
  CHECK(leader->says("\"what\":\"leads no more\""));
  CHECK(leader->ends() == 0);
  std::erase(running, leader);
  CHECK(Process::firstToSay(running, "\"what\":\"leads\""));
}

}  // namespace
}  // namespace burlwind
