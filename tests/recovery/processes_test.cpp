// Coming back, by several processes of the program with faults between them: played and judged by the
// rehearsal kit, which links nothing of the program. Only what holds on a machine of any speed is asked here:
// the rules, each of which allows for the kit's own lateness, and that each event was reached.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace burlwind::recovery {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

std::string scenario(unsigned gatekeepers, double seconds, const std::string& faults,
                     const std::string& gatekeeperKeys = "") {
  return "name = 'back'\nlength_s = " + std::to_string(seconds) +
         "\nseed = 3\n[fleet]\nservers = 4\nzones = 2\ncores = 3\ntell_ms = 100\ndrain_ms = 500\n"
         "[gatekeepers]\ncount = " +
         std::to_string(gatekeepers) + "\nready_within_s = 60\n" + gatekeeperKeys +
         "[clients]\nretries = 1\n"
         "[[class]]\nname = 'consulta'\nrepeat = 'safe'\nshare = 0.6\nwork_ms = 40\naim_ms = 400\n"
         "deadline_ms = 1500\n"
         "[[class]]\nname = 'confirmar'\nrepeat = 'unsafe'\nshare = 0.4\nwork_ms = 40\naim_ms = 400\n"
         "deadline_ms = 1500\n"
         "[[plan]]\nname = 'taller'\ncustomers = 30\nrate = 4\nburst = 12\nuse = 0.5\n"
         "[[plan]]\nname = 'mayorista'\ncustomers = 3\nrate = 12\nburst = 24\nuse = 0.8\n"
         "ceiling_rate = 14\nceiling_burst = 30\n" +
         faults;
}

std::string fault(const std::string& kind, double start, double length, const std::string& rest = "") {
  return "[[fault]]\nkind = '" + kind + "'\nstart_s = " + std::to_string(start) +
         "\nlength_s = " + std::to_string(length) + "\n" + rest;
}

std::string targets(unsigned from, unsigned until) {
  std::string out = "targets = [";
  for (unsigned i = from; i < until; ++i) out += (i > from ? ", " : "") + std::to_string(i);
  return out + "]\n";
}

class ComingBack : public ::testing::Test {
 protected:
  ComingBack() {
    std::string path = ::testing::TempDir() + "burlwind-back-XXXXXX";
    folder = ::mkdtemp(path.data());
  }
  ~ComingBack() override { fs::remove_all(folder); }

  static std::string textOf(const fs::path& path) {
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  // Plays it on real daemons; the five rules must hold.
  json play(const std::string& text) {
    std::ofstream(folder / "s.toml") << text;
    const std::string at = folder.string();
    const int status = std::system(
        ("exec '" BURLWIND_REHEARSE "' run '" + at + "/s.toml' --rules --report '" + at +
         "/r.json' --daemon \"'" BURLWIND_PROGRAM "'\" >'" + at + "/out' 2>'" + at + "/err' </dev/null")
            .c_str());
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0)
        << textOf(folder / "out") << textOf(folder / "err");
    return fs::exists(folder / "r.json") ? json::parse(textOf(folder / "r.json"), nullptr, false) : json{};
  }
  fs::path folder;
};

#define PLAYED(name, text)      \
  const json name = play(text); \
  ASSERT_FALSE(name.is_null()) << "no report"

// What came while it was stopped is past its time when it wakes: it goes to nobody.
TEST_F(ComingBack, AGatekeeperThatWakesSendsNothingWhoseTimeIsOver) {
  PLAYED(report, scenario(2, 6, fault("gatekeeper_stop", 2, 2.2, targets(0, 1))));
  EXPECT_GT(report["service"]["taken"], 0);
  EXPECT_EQ(report["service"]["sent_late"], 0);
}

// A worker drains and is gone while half of the gatekeepers are stopped; another starts anew.
TEST_F(ComingBack, AGatekeeperThatWakesActsOnNoListThatHasGoneStale) {
  PLAYED(report, scenario(4, 7,
                          fault("gatekeeper_stop", 2, 2.5, targets(0, 2)) +
                              fault("drain", 2.2, 4, targets(0, 1)) + fault("crash", 2.2, 1, targets(1, 2))));
  EXPECT_GT(report["service"]["asked"], 100);
}

// Three quarters die in one moment and come back in one. Without state, and without a stampede: what comes up
// at discovery is one watch each and what the back-off leaves, at workers what the gateway's first limit lets
// out.
TEST_F(ComingBack, MostGatekeepersRestartAtOnce) {
  PLAYED(report, scenario(16, 8, fault("gatekeeper_kill", 3, 0.7, targets(0, 12))));
  const json& most = report["most_a_second"];
  EXPECT_LE(most["connections_at_discovery"], 16 + 12);
  EXPECT_LE(most["connections_at_one_server"], 60);
  ASSERT_EQ(report["healings"].size(), 1u);
  EXPECT_FALSE(report["healings"][0]["to_090_s"].is_null()) << report["healings"].dump();
}

// The same while discovery is silent to them: they start from nothing and wait for it, each with its own
// draw.
TEST_F(ComingBack, MostGatekeepersRestartWhileDiscoveryIsDown) {
  PLAYED(report,
         scenario(12, 8,
                  fault("gatekeeper_kill", 2, 0.5, targets(0, 9)) +
                      fault("link", 1.9, 2.6, targets(0, 9) + "to = 'discovery'\nway = 'refused'\n")));
  // 9 askers, a span of 500 ms drawn from its upper half, and the short spans of the first second.
  EXPECT_LE(report["most_a_second"]["connections_at_discovery"], 12 + 9);
}

TEST_F(ComingBack, DiscoverySendsAByteASecondAsTheyComeBack) {
  PLAYED(report, scenario(6, 8,
                          fault("gatekeeper_kill", 2, 0.5, targets(0, 3)) +
                              fault("link", 1.9, 3, targets(0, 3) + "to = 'discovery'\nbytes_per_s = 1\n")));
  EXPECT_GT(report["service"]["asked"], 100);
}

TEST_F(ComingBack, LinksToHalfOfTheWorkersAreCutAsTheyComeBack) {
  PLAYED(report, scenario(6, 8,
                          fault("gatekeeper_kill", 2, 0.5, targets(0, 4)) +
                              fault("link", 2.2, 2, targets(0, 4) + "servers = [0, 1]\nway = 'silent'\n")));
  EXPECT_GT(report["service"]["asked"], 100);
}

// A second wave before the first is whole.
TEST_F(ComingBack, ASecondWaveOfDeathsBeforeTheFirstIsWhole) {
  PLAYED(report, scenario(8, 8,
                          fault("gatekeeper_kill", 2, 0.4, targets(0, 6)) +
                              fault("gatekeeper_kill", 3, 0.4, targets(2, 8))));
  EXPECT_EQ(report["daemons"][0]["starts"], 2);
  EXPECT_EQ(report["daemons"][3]["starts"], 3);
}

// --- With state that outlives the process ---
const std::string kKept = "keep_ms = 100\n";

std::string killed(double start, double length, unsigned from, unsigned until, const std::string& folder) {
  return fault("gatekeeper_kill", start, length, targets(from, until) + "folder = '" + folder + "'\n");
}

TEST_F(ComingBack, MostGatekeepersRestartAtOnceWithTheirState) {
  PLAYED(report, scenario(16, 8, killed(3, 0.7, 0, 12, "kept"), kKept));
  ASSERT_EQ(report["healings"].size(), 1u);
  EXPECT_FALSE(report["healings"][0]["to_090_s"].is_null()) << report["healings"].dump();
}

// Lost at some, older at others, another's at two, spoilt at one: each starts, and no ceiling is passed.
TEST_F(ComingBack, StateIsLostOlderSwappedOrSpoilt) {
  PLAYED(report, scenario(8, 8,
                          killed(3, 0.5, 0, 2, "emptied") + killed(3, 0.5, 2, 4, "older") +
                              killed(3, 0.5, 4, 6, "swapped") + killed(3, 0.5, 6, 7, "spoilt"),
                          kKept));
  for (unsigned g = 0; g < 7; ++g) EXPECT_EQ(report["daemons"][g]["starts"], 2);
}

// Again and again under customers at their ceiling.
TEST_F(ComingBack, KilledAgainAndAgainUnderCustomersAtTheirCeiling) {
  std::string faults;
  for (int i = 0; i < 8; ++i) faults += killed(1 + 0.8 * i, 0.15, 0, 2, "kept");
  std::string text = scenario(3, 8, faults, kKept);
  const std::string use = "use = 0.8";
  text.replace(text.find(use), use.size(), "use = 2.5");
  PLAYED(report, text);
  EXPECT_GE(report["daemons"][0]["starts"], 9);
}

// A power cut: all gatekeepers and all workers in one second, discovery last.
TEST_F(ComingBack, EverythingDiesInOneSecondAndDiscoveryIsBackLast) {
  PLAYED(report, scenario(8, 9,
                          killed(2, 1, 0, 8, "kept") + fault("crash", 2.5, 1.5, targets(0, 4)) +
                              fault("link", 2, 3.5, targets(0, 8) + "to = 'discovery'\nway = 'refused'\n"),
                          kKept));
  EXPECT_LE(report["most_a_second"]["connections_at_one_server"], 60);
}

// Keyed requests whose gatekeeper dies under them: their repeat comes to another one, and nothing has an
// effect twice where that must not be.
TEST_F(ComingBack, KeyedRequestsGoOnAtAnotherGatekeeper) {
  std::string text = scenario(
      4, 8, killed(1.5, 0.3, 0, 2, "kept") + killed(3, 0.3, 1, 3, "kept") + killed(4.5, 0.3, 2, 4, "emptied"),
      kKept);
  const std::string unsafe = "repeat = 'unsafe'\nshare = 0.4\nwork_ms = 40\n";
  text.replace(text.find(unsafe), unsafe.size(),
               "repeat = 'keyed'\nscope = 'all'\nwindow_ms = 4000\nshare = 2\nwork_ms = 120\n");
  PLAYED(report, text);
  EXPECT_GT(report["service"]["taken"], 0);
}

// Discovery is away as they come back, and then short of room.
TEST_F(ComingBack, DiscoveryIsDownAndThenOverbooked) {
  PLAYED(report,
         scenario(12, 9,
                  fault("gatekeeper_kill", 2, 0.5, targets(0, 9)) +
                      fault("link", 1.9, 2.6, targets(0, 9) + "to = 'discovery'\nway = 'refused'\n") +
                      fault("link", 4.5, 3,
                            targets(0, 9) + "to = 'discovery'\nbytes_per_s = 800\ndelay_ms = 200\n")));
  EXPECT_LE(report["most_a_second"]["connections_at_discovery"], 12 + 9);
}

// Checkers are asked by all that come back, and none is overrun by what each lets out at its start.
TEST_F(ComingBack, CheckersAreNotOverrunByThoseWhoComeBack) {
  PLAYED(report, "" + scenario(12, 8, fault("gatekeeper_kill", 3, 0.7, targets(0, 9))) +
                     "[checkers]\ncount = 2\ndelay_ms = 5\n");
  EXPECT_LE(report["service"]["most_checks_at_one_checker"], 40);
}

}  // namespace
}  // namespace burlwind::recovery
