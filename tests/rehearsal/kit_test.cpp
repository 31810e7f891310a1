// The whole kit as a program: against a good and a deliberately bad daemon, and against what can go wrong
// with a daemon, a scenario or the machine. The verdicts are those of the exit status and of the report.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

namespace burlwind::rehearsal {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

const std::string kBase =
    "name = 'kit'\nlength_s = 30\npace = 10\nseed = 3\n"
    "[fleet]\nservers = 3\nzones = 1\ncores = 3\ncold_from = 0.05\nwarm_ms = 60000\ntell_ms = 500\ndrain_ms "
    "= 8000\n"
    "[gatekeepers]\ncount = 1\nready_within_s = 30\n[clients]\nretries = 0\n"
    "[[class]]\nname = 'consulta'\nrepeat = 'safe'\nwork_ms = 60\naim_ms = 10000\ndeadline_ms = 20000\n"
    "[[class]]\nname = 'confirmar'\nrepeat = 'unsafe'\nwork_ms = 60\naim_ms = 10000\ndeadline_ms = 20000\n";
const std::string kPlan = "[[plan]]\nname = 'taller'\ncustomers = 4\nrate = 5\nburst = 50\nuse = 0.6\n";

struct Ran {
  int status = -1;
  std::string out, err;
  json report;
  double seconds = 0;
};

class Kit : public ::testing::Test {
 protected:
  Kit() {
    std::string path = ::testing::TempDir() + "burlwind-kit-XXXXXX";
    folder = ::mkdtemp(path.data());
  }
  ~Kit() override { fs::remove_all(folder); }

  std::string write(const std::string& name, const std::string& text) {
    std::ofstream(folder / name) << text;
    return (folder / name).string();
  }
  static std::string textOf(const fs::path& path) {
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  Ran kit(const std::string& words, const std::string& before = "") {
    const auto begin = std::chrono::steady_clock::now();
    const int status =
        std::system((before + "exec '" BURLWIND_REHEARSE "' " + words + " >'" + (folder / "out").string() +
                     "' 2>'" + (folder / "err").string() + "' </dev/null")
                        .c_str());
    Ran ran;
    ran.status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    ran.out = textOf(folder / "out");
    ran.err = textOf(folder / "err");
    ran.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    return ran;
  }
  Ran play(const std::string& scenario, const std::string& daemon) {
    const std::string path = write("s.toml", scenario), report = (folder / "r.json").string();
    Ran ran = kit("run '" + path + "' --rules --report '" + report + "' --daemon \"" + daemon + "\"");
    if (fs::exists(report) && fs::file_size(report) > 0) ran.report = json::parse(textOf(report));
    return ran;
  }
  // Plays a bug and expects exactly this rule broken; the breaches' times lie in [from, to) seconds.
  void expectBug(const std::string& bug, const std::string& extra, const std::string& rule, double from,
                 double to) {
    const Ran ran = play(kBase + extra, "'" BURLWIND_BAD_PROXY "' " + bug);
    EXPECT_EQ(ran.status, 1) << ran.out << ran.err;
    ASSERT_TRUE(ran.report.contains("rules")) << ran.err;
    for (const json& one : ran.report["rules"]) {
      EXPECT_EQ(one["held"], one["rule"] != rule) << one["rule"] << " " << ran.out;
      for (const json& breach : one["breaches"]) {
        EXPECT_GE(breach["at_s"].get<double>(), from);
        EXPECT_LT(breach["at_s"].get<double>(), to);
      }
    }
  }

  fs::path folder;
};

using KitCatches = Kit;
using KitSurvives = Kit;

TEST_F(KitCatches, NothingOnAGoodRun) {
  const Ran ran = play(kBase + kPlan, "'" BURLWIND_BAD_PROXY "' good");
  EXPECT_EQ(ran.status, 0) << ran.out << ran.err;
  EXPECT_GT(ran.report["service"]["served"], 100);
  EXPECT_EQ(ran.report["schema"], "burlwind-rehearsal-report/1");
}

TEST_F(KitCatches, AnUnsafeResend) { expectBug("resend", kPlan, "effect", 0, 6); }
TEST_F(KitCatches, ASecondAttempt) { expectBug("second", kPlan, "effect", 0, 6); }
TEST_F(KitCatches, AnAnswerGivenTwice) { expectBug("twice", kPlan, "answer", 0, 6); }
TEST_F(KitCatches, AnAnswerAfterItsTime) { expectBug("late", kPlan, "answer", 2, 9); }
TEST_F(KitCatches, ARequestThatIsDropped) { expectBug("drop", kPlan, "answer", 0, 6); }
TEST_F(KitCatches, AnAnswerThatNoWorkerMade) { expectBug("made_up", kPlan, "answer", 0, 6); }

TEST_F(KitCatches, SendingToADrainedServer) {
  expectBug("drained", kPlan + "[[fault]]\nkind = 'drain'\nstart_s = 2\nlength_s = 27\ntargets = [0]\n",
            "drain", 0.3, 6);
}

TEST_F(KitCatches, OverrunningAColdServerThatThenStaysDown) {
  expectBug("overrun", kPlan + "[[fault]]\nkind = 'cold'\nstart_s = 5\nsize = 1\n", "cold", 0.5, 3.5);
  const std::string text = textOf(folder / "out");
  EXPECT_NE(text.find("cold server 3 was overrun"), std::string::npos) << text;
  EXPECT_NE(text.find("gatekeepers 0 (100%)"), std::string::npos) << text;
}

TEST_F(KitCatches, PassingACeiling) {
  expectBug("ceiling",
            "[[plan]]\nname = 'mayorista'\ncustomers = 2\nrate = 2\nburst = 5\nuse = 5\nceiling_rate = "
            "2\nceiling_burst = 5\n",
            "ceiling", 0, 4);
}

TEST_F(KitCatches, ATraceIsJudgedAgainAsBefore) {
  const std::string path = write("s.toml", kBase + kPlan), trace = (folder / "t").string();
  const Ran first =
      kit("run '" + path + "' --rules --trace '" + trace + "' --daemon \"'" BURLWIND_BAD_PROXY "' resend\"");
  const Ran again = kit("judge --rules '" + trace + "'");
  EXPECT_EQ(again.status, 1);
  EXPECT_EQ(again.out, first.out);
}

// --- What can go wrong ---
TEST_F(KitSurvives, ACommandThatDoesNotExist) {
  const Ran ran = play(kBase + kPlan, "/nonexistent/daemon");
  EXPECT_EQ(ran.status, 2) << ran.out;
  EXPECT_NE(ran.err.find("the daemon's command does not run: /nonexistent/daemon"), std::string::npos)
      << ran.err;
}

TEST_F(KitSurvives, ADaemonThatCrashesAtItsStart) {
  const Ran ran = play(kBase + kPlan, "sh -c 'echo the reason >&2; exit 7'");
  EXPECT_EQ(ran.status, 1) << ran.out;
  EXPECT_NE(ran.err.find("ended by itself with status 7"), std::string::npos) << ran.err;
  EXPECT_NE(ran.err.find("the reason"), std::string::npos) << ran.err;
}

TEST_F(KitSurvives, ADaemonThatIsNeverReady) {
  const std::string scenario = kBase + kPlan;
  const auto at = scenario.find("count = 1\n");
  const Ran ran =
      play(std::string(scenario).replace(at, 29, "count = 1\nready_within_s = 0.5"), "sleep 1000");
  EXPECT_EQ(ran.status, 1) << ran.out;
  EXPECT_NE(ran.err.find("is not ready after"), std::string::npos) << ran.err;
  EXPECT_LT(ran.seconds, 20);
}

TEST_F(KitSurvives, ADaemonThatCrashesInTheMiddle) {
  const Ran ran = play(kBase + kPlan, "sh -c '(sleep 1; kill -9 \\$\\$) & exec " BURLWIND_BAD_PROXY " good'");
  EXPECT_EQ(ran.status, 1) << ran.out;
  EXPECT_NE(ran.err.find("ended by itself with status 137"), std::string::npos) << ran.err;
  EXPECT_TRUE(ran.report["daemons"][0]["crashed"]);
}

TEST_F(KitSurvives, ADaemonThatDoesNotEnd) {
  const Ran ran = play(kBase + kPlan, "'" BURLWIND_BAD_PROXY "' deaf");
  EXPECT_EQ(ran.status, 1) << ran.out;
  EXPECT_NE(ran.err.find("did not end on SIGTERM"), std::string::npos) << ran.err;
  EXPECT_TRUE(ran.report["daemons"][0]["crashed"]);
}

TEST_F(KitSurvives, CtrlCLeavesNoProcess) {
  const std::string mark = "burlwind-mark-" + std::to_string(getpid());
  const std::string path = write("s.toml", kBase + kPlan);
  const pid_t kit = fork();
  if (kit == 0) {
    const std::string daemon = "sh -c 'exec " BURLWIND_BAD_PROXY " good' " + mark;
    const std::string err = (folder / "err").string();
    if (!freopen(err.c_str(), "w", stderr) || !freopen("/dev/null", "w", stdout)) _exit(9);
    execl(BURLWIND_REHEARSE, BURLWIND_REHEARSE, "run", path.c_str(), "--daemon", daemon.c_str(), nullptr);
    _exit(9);
  }
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (textOf(folder / "err").find("playing ") == std::string::npos &&
         std::chrono::steady_clock::now() < limit)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  const std::string children =
      textOf("/proc/" + std::to_string(kit) + "/task/" + std::to_string(kit) + "/children");
  const pid_t daemon = std::atoi(children.c_str());
  EXPECT_GT(daemon, 0) << children;
  kill(kit, SIGINT);
  int status = 0;
  waitpid(kit, &status, 0);
  EXPECT_EQ(WEXITSTATUS(status), 130);
  EXPECT_NE(textOf(folder / "err").find("interrupted"), std::string::npos);
  EXPECT_NE(kill(daemon, 0), 0) << "the daemon lives on";
}

TEST_F(KitSurvives, APortThatIsTaken) {
  // Taken by this test: a listener on the first gatekeeper's own address.
  const int holder = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  inet_pton(AF_INET, "127.62.0.1", &at.sin_addr);
  socklen_t size = sizeof at;
  ASSERT_EQ(bind(holder, reinterpret_cast<const sockaddr*>(&at), size), 0);
  ASSERT_EQ(listen(holder, 1), 0);
  ASSERT_EQ(getsockname(holder, reinterpret_cast<sockaddr*>(&at), &size), 0);
  const std::string port = std::to_string(ntohs(at.sin_port));
  std::string scenario = kBase + kPlan;
  scenario.insert(scenario.find("count = 1\n"), "port = " + port + "\n");
  const Ran ran = play(scenario, "'" BURLWIND_BAD_PROXY "' good");
  EXPECT_EQ(ran.status, 2);
  EXPECT_NE(ran.err.find("cannot use 127.62.0.1:" + port), std::string::npos) << ran.err;
  EXPECT_EQ(std::count(ran.err.begin(), ran.err.end(), '\n'), 1) << ran.err;
  close(holder);
}

TEST_F(KitSurvives, TooFewDescriptors) {
  const std::string path = write("s.toml", kBase + kPlan);
  const Ran ran = kit("run '" + path + "' --daemon true", "ulimit -n 100; ");
  EXPECT_EQ(ran.status, 2);
  EXPECT_NE(ran.err.find("too few descriptors"), std::string::npos) << ran.err;
}

TEST_F(KitSurvives, AWrongScenarioFlagOrFile) {
  EXPECT_EQ(kit("run /nonexistent.toml").status, 2);
  EXPECT_EQ(kit("run --bogus").status, 2);
  EXPECT_EQ(kit("").status, 2);
  EXPECT_EQ(kit("judge /nonexistent").status, 2);
  const std::string path =
      write("s.toml", kBase + kPlan + "[[fault]]\nkind = 'cut'\nstart_s = 1\nlength_s = 1\ntargets = [0]\n");
  const Ran ran = kit("check '" + path + "'");
  EXPECT_EQ(ran.status, 2);
  EXPECT_EQ(ran.err, "burlwind-rehearse: " + path + ": fault[0].kind: a cut wants two zones at least\n");
  const std::string good = write("g.toml", kBase + kPlan);
  EXPECT_EQ(kit("run '" + good + "' --report /nonexistent/r.json --daemon true").status, 2);
  EXPECT_EQ(kit("check '" + good + "'").status, 0);
}

TEST_F(KitSurvives, ListsWhatIsShipped) {
  const Ran ran = kit("list");
  EXPECT_EQ(ran.status, 0) << ran.err;
  for (const char* name :
       {"smoke", "quiet", "december", "two-faults", "cold-mid-run", "building-cut", "rolling-restart"})
    EXPECT_NE(ran.out.find(name), std::string::npos) << name;
}

}  // namespace
}  // namespace burlwind::rehearsal
