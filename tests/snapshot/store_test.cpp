// State on a disk: what is read after each cut, change, failure and death; two generations; ages by two
// clocks; and the thread that writes.
#include "snapshot/store.hpp"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/wait.h>

#include <cerrno>
#include <cstring>
#include <fstream>

#include "faults/failing_files.hpp"
#include "faults/folder.hpp"
#include "snapshot/writer.hpp"

namespace burlwind::snapshot {
namespace {

using faults::FailingFiles;

Snapshot state(std::uint64_t number, const std::string& name = "n0", const std::string& settings = "s") {
  Snapshot out;
  out.settings = settings;
  out.roster = R"({"instances":[]})";
  out.descriptors = 71;
  out.module = {1, 2, ~std::uint64_t{0}};
  out.stamp = {name, number, {1e12, "boot", 5000}, 12.5};
  return out;
}

// --- The frame ---
TEST(Frame, IsReadAsItWasWritten) {
  const auto read = decode(encode(state(7)));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->settings, "s");
  EXPECT_EQ(read->roster, R"({"instances":[]})");
  EXPECT_EQ(read->descriptors, 71u);
  EXPECT_EQ(read->module, state(7).module);
  EXPECT_EQ(read->stamp.name, "n0");
  EXPECT_EQ(read->stamp.number, 7u);
  EXPECT_EQ(read->stamp.written.boot, "boot");
  EXPECT_EQ(read->stamp.written.bootMs, 5000);
  EXPECT_EQ(read->stamp.goodPerSecond, 12.5);
}

TEST(Frame, CutAtAnyByteOrWithAnyBitFlippedItIsNotTaken) {
  const std::string whole = encode(state(7));
  for (std::size_t at = 0; at < whole.size(); ++at) {
    EXPECT_FALSE(decode(whole.substr(0, at))) << at;
    for (int bit = 0; bit < 8; ++bit) {
      std::string spoilt = whole;
      spoilt[at] = static_cast<char>(spoilt[at] ^ (1 << bit));
      EXPECT_FALSE(decode(spoilt)) << at << " bit " << bit;
    }
  }
  EXPECT_FALSE(decode(whole + "x"));
}

TEST(Frame, BeyondTheBoundIsRefusedByItsHead) {
  std::string head = encode(state(7)).substr(0, kHeadBytes);
  EXPECT_TRUE(bodyBytes(head));
  head[22] = 0x7f;
  EXPECT_FALSE(bodyBytes(head));
  Snapshot large = state(7);
  large.roster.resize(kMostFrame);
  EXPECT_THROW(encode(large), std::length_error);
}

// --- Ages ---
TEST(Age, IsByTheBootsClockWhereThatIsTheSame) {
  const Moment written{1e12, "a", 1000};
  EXPECT_EQ(ageOf(written, {1e12 + 5000, "a", 6000}), 5000);
  EXPECT_EQ(ageOf(written, {1e12 + 5100, "a", 6000}), 5000);       // a clock that is being led
  EXPECT_EQ(ageOf(written, {1e12 + 5000, "b", 200}), 5000);        // another boot: the wall clock's
  EXPECT_EQ(ageOf(written, {1e12 - 1, "a", 6000}), std::nullopt);  // from the future
  EXPECT_EQ(ageOf(written, {1e12 - 1, "b", 200}), std::nullopt);
  EXPECT_EQ(ageOf(written, {1e12 + 3600e3, "a", 6000}), std::nullopt);          // set on by an hour meanwhile
  EXPECT_EQ(ageOf({1e12, "a", 9000}, {1e12 + 5000, "a", 6000}), std::nullopt);  // a boot that goes back
}

// --- The store ---
class StoreTest : public ::testing::Test {
 protected:
  Store store(Files& files, const std::string& name = "n0", const std::string& settings = "s") {
    return Store(files, folder.path(), name, settings);
  }
  std::uint64_t found() {
    const Reading reading = store(disk).read();
    return reading.state ? reading.state->stamp.number : 0;
  }
  void spoil(const std::string& name) { std::ofstream(folder.path() + "/" + name) << "no frame"; }

  faults::Folder folder{"burlwind-test"};
  DiskFiles disk;
};

TEST_F(StoreTest, AnEmptyFolderIsNoError) {
  const Reading reading = store(disk).read();
  EXPECT_FALSE(reading.kept);
  EXPECT_FALSE(reading.state);
  EXPECT_EQ(reading.why, "");
}

TEST_F(StoreTest, TheNewestThatIsWholeIsRead) {
  Store kept = store(disk);
  for (const std::uint64_t n : {1, 2, 3}) ASSERT_EQ(kept.write(encode(state(n))), "");
  EXPECT_EQ(found(), 3u);
  spoil("n0.state.0");  // where the first and the third went
  const Reading reading = store(disk).read();
  ASSERT_TRUE(reading.state);
  EXPECT_EQ(reading.state->stamp.number, 2u);
  EXPECT_NE(reading.why.find("n0.state.0: cut, changed or of another version"), std::string::npos);
  ASSERT_EQ(store(disk).write(encode(state(4))), "");  // in its place, and not in that of the newest
  EXPECT_EQ(found(), 4u);
  spoil("n0.state.0");
  EXPECT_EQ(found(), 2u);
  spoil("n0.state.1");
  EXPECT_FALSE(store(disk).read().state);
  EXPECT_TRUE(store(disk).read().kept);
}

TEST_F(StoreTest, AnothersOrOfOtherSettingsIsNotTaken) {
  ASSERT_EQ(store(disk).write(encode(state(1, "n1"))), "");
  EXPECT_NE(store(disk).read().why.find("of another gatekeeper: n1"), std::string::npos);
  ASSERT_EQ(store(disk).write(encode(state(1, "n0", "other"))), "");
  EXPECT_NE(store(disk).read().why.find("of other settings"), std::string::npos);
  EXPECT_FALSE(store(disk).read().state);
}

TEST_F(StoreTest, EachCallThatFailsIsSaidAndLeavesTheNewest) {
  FailingFiles counted(disk, FailingFiles::failAt(0, 0));
  Store counting = store(counted);
  counting.read();
  const unsigned reads = counted.calls();
  ASSERT_EQ(counting.write(encode(state(1))), "");
  ASSERT_EQ(store(disk).write(encode(state(2))), "");
  std::uint64_t number = 2;
  for (unsigned n = reads + 1; n <= counted.calls(); ++n)
    for (const bool forGood : {false, true}) {
      const std::uint64_t before = found();
      FailingFiles files(disk, FailingFiles::failAt(n, ENOSPC, forGood));
      Store failing = store(files);
      failing.read();
      EXPECT_NE(failing.write(encode(state(++number))).find(std::strerror(ENOSPC)), std::string::npos) << n;
      EXPECT_EQ(found(), n == counted.calls() ? number : before) << n;  // the last is the folder's sync
    }
}

TEST_F(StoreTest, KilledBeforeEachCallTheNewestIsFoundOrTheNextAndOneMoreBehindIt) {
  ASSERT_EQ(store(disk).write(encode(state(1))), "");
  ASSERT_EQ(store(disk).write(encode(state(2))), "");
  for (unsigned n = 1; n <= 9; ++n) {
    const std::uint64_t before = found();
    const pid_t child = ::fork();
    if (child == 0) {
      FailingFiles files(disk, FailingFiles::killAt(n));
      store(files).write(encode(state(before + 1)));
      ::_exit(0);
    }
    int status = 0;
    ASSERT_EQ(::waitpid(child, &status, 0), child);
    EXPECT_TRUE(WIFSIGNALED(status) || n == 9) << n;
    const Reading reading = store(disk).read();
    ASSERT_TRUE(reading.state) << n;
    EXPECT_EQ(reading.why, "") << n;  // both are whole
    EXPECT_TRUE(reading.state->stamp.number == before || reading.state->stamp.number == before + 1) << n;
  }
}

TEST_F(StoreTest, AFolderThatIsGoneIsAnErrorAndNothingMore) {
  Store gone(disk, folder.path() + "/none", "n0", "s");
  EXPECT_NE(gone.write(encode(state(1))), "");
  EXPECT_FALSE(gone.read().kept);
}

// --- The thread ---
class WriterTest : public ::testing::Test {
 protected:
  // Waits until so many writes have been told of.
  std::vector<Writer::Done> await(Writer& writer, std::size_t count) {
    std::vector<Writer::Done> out;
    while (out.size() < count) {
      pollfd readable{writer.readable(), POLLIN, 0};
      if (::poll(&readable, 1, 30000) != 1) break;
      for (Writer::Done& done : writer.done()) out.push_back(std::move(done));
    }
    return out;
  }
};

TEST_F(WriterTest, TellsEachEndInOrder) {
  Writer writer;
  writer.put(1, [] { return std::string(); });
  const auto first = await(writer, 1);
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].number, 1u);
  EXPECT_EQ(first[0].error, "");
  writer.put(2, [] { return std::string("it failed"); });
  EXPECT_EQ(await(writer, 1).at(0).error, "it failed");
}

TEST_F(WriterTest, ASlowDiskHoldsUpNobodyAndTheNewestTakesTheOldersPlace) {
  std::mutex mutex;
  std::condition_variable changed;
  int begun = 0;
  bool let = false;
  std::vector<unsigned long> written;
  Writer writer;
  const auto put = [&](unsigned long n) {
    writer.put(n, [&, n] {
      std::unique_lock lock(mutex);
      ++begun;
      changed.notify_all();
      changed.wait(lock, [&] { return let; });
      written.push_back(n);
      return std::string();
    });
  };
  put(1);
  {
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return begun == 1; });
  }
  for (unsigned long n = 2; n <= 100; ++n) put(n);
  EXPECT_TRUE(writer.done().empty());
  {
    const std::lock_guard lock(mutex);
    let = true;
  }
  changed.notify_all();
  writer.finish();
  EXPECT_EQ(written, (std::vector<unsigned long>{1, 100}));
  EXPECT_EQ(writer.done().size(), 2u);
}

}  // namespace
}  // namespace burlwind::snapshot
