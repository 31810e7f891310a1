// A file replaced whole: each call fails, each write is short, and a process is killed before each call; what
// is found afterwards is the old content or the new one.
#include "snapshot/files.hpp"

#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstring>
#include <filesystem>

#include "faults/failing_files.hpp"
#include "faults/folder.hpp"

namespace burlwind::snapshot {
namespace {

using faults::FailingFiles;
using Call = FailingFiles::Call;

constexpr unsigned kCalls = 6;  // create, write, sync, close, rename, sync of the folder

class Replace : public ::testing::Test {
 protected:
  std::string found() {
    std::string out;
    return disk.read(path, 1 << 20, out) == 0 ? out : "none";
  }
  bool left() const { return std::filesystem::exists(path + ".new"); }

  faults::Folder folder{"burlwind-test"};
  const std::string path = folder.path() + "/state";
  DiskFiles disk;
};

TEST_F(Replace, TakesAsManyCallsAsTheTestsCut) {
  FailingFiles files(disk, FailingFiles::failAt(0, 0));
  EXPECT_EQ(replace(files, path, "new"), "");
  EXPECT_EQ(files.calls(), kCalls);
  EXPECT_EQ(found(), "new");
}

TEST_F(Replace, EachCallThatFailsLeavesOneOrTheOtherAndSaysSo) {
  for (const int error : {ENOSPC, EIO, EROFS})
    for (unsigned n = 1; n <= kCalls; ++n) {
      ASSERT_EQ(replace(disk, path, "old"), "");
      FailingFiles files(disk, FailingFiles::failAt(n, error));
      const std::string wrong = replace(files, path, "new");
      EXPECT_NE(wrong.find(std::strerror(error)), std::string::npos) << n << ": " << wrong;
      EXPECT_EQ(found(), n < kCalls ? "old" : "new") << n;
      EXPECT_FALSE(left()) << n;
    }
}

TEST_F(Replace, ADiskThatFailsForGoodKeepsTheOld) {
  ASSERT_EQ(replace(disk, path, "old"), "");
  for (unsigned n = 1; n < kCalls; ++n) {
    FailingFiles files(disk, FailingFiles::failAt(n, EIO, true));
    EXPECT_NE(replace(files, path, "new"), "");
    EXPECT_EQ(found(), "old");
  }
}

TEST_F(Replace, ShortWritesAreContinued) {
  FailingFiles files(disk, FailingFiles::failAt(0, 0));
  files.shorten(7);
  const std::string text(1000, 'x');
  EXPECT_EQ(replace(files, path, text), "");
  EXPECT_EQ(found(), text);
}

TEST_F(Replace, KilledBeforeEachCallOneOrTheOtherIsFoundWhole) {
  for (unsigned n = 1; n <= kCalls; ++n) {
    ASSERT_EQ(replace(disk, path, "old"), "");
    const pid_t child = ::fork();
    if (child == 0) {
      FailingFiles files(disk, FailingFiles::killAt(n));
      replace(files, path, "new");
      ::_exit(0);
    }
    int status = 0;
    ASSERT_EQ(::waitpid(child, &status, 0), child);
    EXPECT_TRUE(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL) << n;
    EXPECT_EQ(found(), n < kCalls ? "old" : "new") << n;
  }
  EXPECT_EQ(replace(disk, path, "next"), "");  // what was left behind is in nobody's way
  EXPECT_EQ(found(), "next");
}

TEST_F(Replace, AFolderThatCannotBeUsed) {
  const std::string inside = folder.sub("f") + "/state";
  folder.spoil("f");
  EXPECT_NE(replace(disk, inside, "x").find("Not a directory"), std::string::npos);
}

TEST_F(Replace, MoreThanIsWantedIsNotRead) {
  ASSERT_EQ(replace(disk, path, std::string(100, 'x')), "");
  std::string out;
  EXPECT_EQ(disk.read(path, 99, out), EFBIG);
  EXPECT_EQ(disk.read(path, 100, out), 0);
}

}  // namespace
}  // namespace burlwind::snapshot
