// The daemon's command line: what it prints and how it exits.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>

#include "support/loopback.hpp"

namespace burlwind::test {
namespace {

struct Ran {
  int status = -1;
  std::string out;
};

Ran program(const std::string& words, const std::string& environment = "") {
  const std::string file = ::testing::TempDir() + "burlwind-line-" + std::to_string(getpid());
  const int status = std::system(
      ("env " + environment + " " BURLWIND_PROGRAM " " + words + " >" + file + " 2>&1 </dev/null").c_str());
  std::ifstream in(file);
  Ran ran{WEXITSTATUS(status), std::string((std::istreambuf_iterator<char>(in)), {})};
  std::remove(file.c_str());
  return ran;
}

class Files : public ::testing::Test {
 protected:
  std::string write(const std::string& name, const std::string& text) {
    const std::string path = ::testing::TempDir() + "burlwind-" + std::to_string(getpid()) + "-" + name;
    std::ofstream(path) << text;
    paths.push_back(path);
    return path;
  }
  ~Files() override {
    for (const auto& path : paths) std::remove(path.c_str());
  }
  std::vector<std::string> paths;
};
using CommandLine = Files;

TEST_F(CommandLine, HelpAndVersion) {
  const Ran help = program("--help");
  EXPECT_EQ(help.status, 0);
  for (const char* flag : {"--operator", "--check", "--version"})
    EXPECT_NE(help.out.find(flag), std::string::npos) << flag;
  const Ran version = program("--version");
  EXPECT_EQ(version.status, 0);
  EXPECT_EQ(version.out, "burlwind " BURLWIND_VERSION "\n");
}

TEST_F(CommandLine, AnUnknownFlagExitsWith2) { EXPECT_EQ(program("--bogus").status, 2); }

TEST_F(CommandLine, CheckSaysGoodOrWhatIsWrong) {
  const std::string good = "BALANCER_CONFIG=" + write("config.json", configJson("127.0.0.1:1").dump());
  EXPECT_EQ(program("--check", good).status, 0);
  const std::string bad = write("op.toml", "[clients]\nidle = 1\n");
  const Ran ran = program("--check --operator " + bad, good);
  EXPECT_EQ(ran.status, 2);
  EXPECT_EQ(ran.out, "burlwind: " + bad + ": clients.idle: is not known; did you mean idle_ms?\n");
  EXPECT_EQ(program("--check", "BALANCER_CONFIG=/nonexistent").status, 2);
  json senseless = configJson("127.0.0.1:1");
  senseless["settings"]["profiles"] = json::array();
  EXPECT_EQ(program("--check", "BALANCER_CONFIG=" + write("no.json", senseless.dump())).status, 2);
}

}  // namespace
}  // namespace burlwind::test
