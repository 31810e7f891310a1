// The three programs as processes: what they say of their command line and settings, that a settings file
// that is spoilt under them changes nothing, and that SIGTERM ends them in order. Waits for their words and
// their ends, never for time; a process that says nothing is ended by an alarm of its own.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace burlwind {
namespace {

namespace fs = std::filesystem;

const char* const kPrograms[] = {BURLWIND_COURIER, BURLWIND_POSTMASTER, BURLWIND_PIGEONHOLE};

struct Folder {
  Folder() {
    std::string text = (fs::temp_directory_path() / "burlwind-programs-XXXXXX").string();
    path = ::mkdtemp(text.data());
  }
  ~Folder() { fs::remove_all(path); }
  fs::path path;
};

// A machine alone, on an address of its own; nobody else answers there.
std::string settings(const fs::path& data) {
  return R"({"self":{"nodeName":"n","ipAddress":"127.77.0.1","zone":"a","region":"A","firstBoot":true,"dataFolder":")" +
         data.string() +
         R"(","limits":{}},"network":{"bind":{"front":"127.77.0.1:18389","readiness":"127.77.0.1:18384","control":"127.77.0.1:18383","directory":"127.77.0.1:18385"},"internalPorts":[17460,17475],"seedNodes":["127.77.0.1:18383"],"zones":{"a":"A"}},"provider":{},"settings":{"bounds":{"grace":"4s"}}})";
}

class Process {
 public:
  Process(const char* program, std::vector<std::string> words, const fs::path& file) {
    int out[2];
    REQUIRE(::pipe(out) == 0);
    id_ = ::fork();
    REQUIRE(id_ >= 0);
    if (id_ == 0) {
      ::alarm(60);  // outlives exec
      ::dup2(out[1], 1), ::dup2(out[1], 2);
      ::close(out[0]), ::close(out[1]);
      ::setenv("BURLWIND_NODE_FILE", file.c_str(), 1);
      std::vector<char*> argv{const_cast<char*>(program)};
      for (std::string& word : words) argv.push_back(word.data());
      argv.push_back(nullptr);
      ::execv(program, argv.data());
      ::_exit(127);
    }
    ::close(out[1]);
    out_ = out[0];
  }
  ~Process() {
    if (id_ > 0) ::kill(id_, SIGKILL), ::waitpid(id_, nullptr, 0);
    ::close(out_);
  }
  // Reads until this is said, past what was waited for before; false where the process ends first.
  bool says(const std::string& what) {
    char piece[512];
    std::size_t at = 0;
    while ((at = said_.find(what)) == std::string::npos) {
      const auto n = ::read(out_, piece, sizeof piece);
      if (n <= 0) return false;
      said_.append(piece, static_cast<std::size_t>(n));
    }
    said_.erase(0, at + what.size());
    return true;
  }
  int ends() {
    says("(to its end)");
    int status = 0;
    ::waitpid(id_, &status, 0);
    id_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  void signal(int number) const { ::kill(id_, number); }
  bool runs() const { return ::waitpid(id_, nullptr, WNOHANG) == 0; }
  const std::string& said() const { return said_; }

 private:
  pid_t id_ = 0;
  int out_ = -1;
  std::string said_;
};

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

}  // namespace
}  // namespace burlwind
