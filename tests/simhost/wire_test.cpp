#include "simhost/wire.hpp"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "settings/settings.hpp"

namespace irisring {
namespace {

using wire::Header;

template <class T>
void put(std::string& to, T value) {
  to.append(reinterpret_cast<const char*>(&value), sizeof value);
}

std::string frame(std::uint32_t records, const std::string& body, double clock = 1000) {
  std::string out;
  put(out, std::uint32_t{1});
  put(out, clock);
  put(out, static_cast<std::uint32_t>(20 + body.size()));
  put(out, records);
  return out + body;
}

std::string unhex(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i + 1 < text.size();) {
    if (text[i] == ' ') {
      ++i;
      continue;
    }
    out.push_back(static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16)));
    i += 2;
  }
  return out;
}

struct Seen : wire::Events {
  std::vector<Request> requests;
  std::vector<Outcome> outcomes;
  std::vector<Member> list;
  unsigned at = 0;
  std::uint64_t tag = 0;
  void instance(unsigned n) override { at = n; }
  void start(std::uint64_t, std::string_view) override {}
  void members(ListKind, const std::vector<Member>& m) override { list = m; }
  void request(const Request& r) override { requests.push_back(r); }
  void outcome(const Outcome& o) override { outcomes.push_back(o); }
  void clientLeft(RequestId) override {}
  void timer(std::uint64_t t) override { tag = t; }
  void stop() override {}
};

void read(Seen& seen, std::uint32_t records, const std::string& body) {
  wire::readRecords({1, 0, static_cast<std::uint32_t>(20 + body.size()), records}, body, seen);
}

TEST(Wire, ReadsTheDocumentedRecords) {
  Seen seen;
  read(seen, 2,
       unhex("78 0300 1e c4913a5d 00 00000000 640ad2557c3bf091 0000000020e6c040 00000040 00004040 0000803f "
             "0100"));
  ASSERT_EQ(seen.requests.size(), 1u);
  EXPECT_EQ(seen.at, 3u);
  EXPECT_EQ(seen.requests[0].units, 2);
  EXPECT_EQ(seen.requests[0].setSize, 3u);
  read(seen, 1, unhex("32 c4913a5d 00 0000 0300 0a124a07 2b23 5600 0000000000803240 01 02 52b81e3f00004040"));
  ASSERT_EQ(seen.outcomes.size(), 1u);
  EXPECT_EQ(seen.outcomes[0].usePercent, 0x55);
  EXPECT_EQ(seen.outcomes[0].trueUnits, 3);
  EXPECT_TRUE(seen.outcomes[0].finished);
  EXPECT_EQ(seen.outcomes[0].report.size(), 2u);
  read(seen, 1,
       unhex("14 02 29000000 02000000 01 0a124a07 2b23 0000803f 00 00 0000000000000000 0000"
             " 01 0a9011f2 5423 0000c03f 01 00 0000000000d4b740 0000"));
  ASSERT_EQ(seen.list.size(), 2u);
  EXPECT_EQ(seen.list[1].zone, 1u);
}

TEST(Wire, WritesTheDocumentedReply) {
  wire::Reply reply;
  reply.begin(12);
  reply.by(3);
  reply.send(0x5d3a91c4, 0x232b074a120aULL, 80);
  reply.setTimer(500, 77);
  reply.by(5);
  reply.log("two servers unknown");
  const std::string out = reply.finish();
  EXPECT_EQ(out.substr(0, 4), unhex("0c000000"));
  EXPECT_EQ(out.substr(8, 4), unhex("05000000"));
  EXPECT_EQ(out.substr(12, 3 + 19 + 17), unhex("8c 0300 0a c4913a5d 0a124a07 2b23 0000000000005440"
                                               " 32 0000000000407f40 4d00000000000000"));
}

TEST(Wire, MalformedRecordsThrow) {
  Seen seen;
  EXPECT_THROW(read(seen, 1, unhex("46 4d0000")), std::runtime_error);                   // truncated
  EXPECT_THROW(read(seen, 1, unhex("fe 00")), std::runtime_error);                       // unknown code
  EXPECT_THROW(read(seen, 1, unhex("14 03 29000000 ffffffff 01")), std::runtime_error);  // count past the end
  EXPECT_THROW(read(seen, 1, unhex("78 0300 00")), std::runtime_error);                  // bytes left over
  EXPECT_THROW(read(seen, 9, unhex("78 0300")), std::runtime_error);                     // records missing
  EXPECT_THROW(wire::readHeader(unhex("01000000 00000000206ec040 01000000 00000000")), std::runtime_error);
}

TEST(SettingsText, ReadsKnownKeysAndIgnoresOthers) {
  const Settings s = parseSettings(
      "me=1\nnInstances=3\nunknown.key=what ever\nreport.fields=util,queue\nprofiles.count=1\n"
      "profiles.0.aim=800.0\nprofiles.0.repeat=keyed\nprofiles.0.dedupScope=zone\nplans.count=1\n"
      "plans.0.unitsPerS=2.5\nplans.0.atOnce=4\ndiscovery=on_request\n");
  EXPECT_EQ(s.self, 1u);
  EXPECT_EQ(s.gateways, 3u);
  EXPECT_EQ(s.reportFields.size(), 2u);
  EXPECT_EQ(s.classes.at(0).scope, Scope::zone);
  EXPECT_EQ(s.plans.at(0).openLimit, 4u);
  EXPECT_TRUE(s.askDiscovery);
}

TEST(SettingsText, MalformedLinesThrow) {
  EXPECT_THROW(parseSettings("me"), std::runtime_error);
  EXPECT_THROW(parseSettings("me=one"), std::runtime_error);
  EXPECT_THROW(parseSettings("me=-1"), std::runtime_error);
  EXPECT_THROW(parseSettings("plans.count=99999999"), std::runtime_error);
  EXPECT_THROW(parseSettings("familyInfo.truedUp=perhaps"), std::runtime_error);
  EXPECT_THROW(parseSettings("profiles.count=1\nprofiles.0.repeat=often"), std::runtime_error);
}

// The adapter as a process: one plain line on standard error and a non-zero exit, never a crash.
int drill(const std::string& input, std::string& errors) {
  const auto stem = std::filesystem::temp_directory_path() / ("irisring_drill_" + std::to_string(::getpid()));
  const std::string in = stem.string() + ".in", err = stem.string() + ".err";
  std::ofstream(in, std::ios::binary) << input;
  const int status = std::system(("'" IRISRING_DRILL "' <'" + in + "' >/dev/null 2>'" + err + "'").c_str());
  std::ifstream text(err);
  errors.assign(std::istreambuf_iterator<char>(text), {});
  std::filesystem::remove(in);
  std::filesystem::remove(err);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(Drill, EmptyInputAndEmptyBatchesEndWell) {
  std::string errors;
  EXPECT_EQ(drill("", errors), 0);
  EXPECT_EQ(drill(frame(0, "") + frame(0, ""), errors), 0);
  EXPECT_EQ(errors, "");
}

TEST(Drill, MalformedInputGetsOneLineAndANonZeroExit) {
  std::string settings = "me=zero\n", start = unhex("78 0000 0a 0100000000000000");
  put(start, static_cast<std::uint32_t>(settings.size()));
  std::string huge = frame(0, "");
  huge.replace(12, 4, unhex("ffffffff"));
  for (const std::string& input :
       {frame(0, "").substr(0, 11), frame(1, unhex("46 4d00")), frame(1, unhex("fe")), huge,
        frame(2, start + settings), frame(2, unhex("78 0300 46 4d00000000000000")),
        frame(1, unhex("46 4d00000000000000")).substr(0, 25)}) {
    std::string errors;
    EXPECT_EQ(drill(input, errors), 1);
    EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 1) << errors;
  }
}

}  // namespace
}  // namespace irisring
