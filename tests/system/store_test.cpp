// The store's files after a loss of power: cut, torn and mixed at every boundary of the last write, on real
// files. What was written before it must be read, whole.
#include "config_store/store.hpp"

#include <doctest/doctest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>

namespace burlwind::config_store {
namespace {

namespace fs = std::filesystem;

struct Folder {
  Folder() {
    std::string text = (fs::temp_directory_path() / "burlwind-hole-XXXXXX").string();
    path = ::mkdtemp(text.data());
  }
  ~Folder() { fs::remove_all(path); }
  fs::path path;
};

std::string bytesOf(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}
void put(const fs::path& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc)
      .write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
}
std::string record(char letter, std::size_t size) { return std::string(size, letter); }

TEST_CASE("what was written is read again, the newest") {
  Folder folder;
  for (const char letter : {'a', 'b', 'c', 'd'}) {
    Store store(folder.path / "d");
    std::string found;
    REQUIRE_FALSE(store.open(found));
    if (letter != 'a') CHECK(found == record(static_cast<char>(letter - 1), 20000));
    REQUIRE_FALSE(store.write(record(letter, 20000)));
  }
}

TEST_CASE("power is lost in the last write: each page of it old, new, missing or torn") {
  Folder folder;
  const fs::path live = folder.path / "live";
  std::string found;
  {
    Store store(live);
    REQUIRE_FALSE(store.open(found));
    for (const char letter : {'a', 'b', 'c', 'd', 'e'}) REQUIRE_FALSE(store.write(record(letter, 9000)));
  }
  // Generation 5 is 'e'; the sixth goes to hole-0, over 'd'.
  const std::string before = bytesOf(live / "hole-0.mdb"), other = bytesOf(live / "hole-1.mdb");
  {
    Store store(live);
    REQUIRE_FALSE(store.open(found));
    REQUIRE_FALSE(store.write(record('f', 9000)));
  }
  const std::string after = bytesOf(live / "hole-0.mdb");
  CHECK(bytesOf(live / "hole-1.mdb") == other);
  const fs::path torn = folder.path / "torn";
  const auto tryIt = [&](const std::string& bytes) {
    fs::remove_all(torn);
    fs::create_directories(torn);
    put(torn / "hole-0.mdb", bytes);
    put(torn / "hole-1.mdb", other);
    Store store(torn);
    REQUIRE_FALSE(store.open(found));
    CHECK((found == record('e', 9000) || found == record('f', 9000)));
    REQUIRE_FALSE(store.write(record('g', 9000)));
    Store again(torn);
    REQUIRE_FALSE(again.open(found));
    CHECK(found == record('g', 9000));
  };
  std::string old = before;
  old.resize(std::max(before.size(), after.size()), '\0');
  for (std::size_t at = 0; at <= after.size(); at += 512) {  // new up to here, old behind, and the reverse
    tryIt(after.substr(0, at) + old.substr(at));
    tryIt(old.substr(0, at) + after.substr(std::min(at, after.size())));
    tryIt(after.substr(0, at));  // the file was not made longer
  }
  for (std::size_t at = 0; at < 200; at += 4) {  // within both meta pages, word by word
    for (const std::size_t page : {std::size_t{0}, std::size_t{4096}}) {
      std::string mixed = old;
      mixed.replace(page, at, after.substr(page, at));
      tryIt(mixed);
    }
  }
  for (unsigned mask = 0; mask < 256; ++mask) {  // each page by itself, old or new
    std::string mixed = old;
    for (std::size_t page = 0; page < 8 && (page + 1) * 4096 <= after.size(); ++page)
      if (mask >> page & 1) mixed.replace(page * 4096, 4096, after.substr(page * 4096, 4096));
    tryIt(mixed);
  }
}

TEST_CASE("records of 8 MB that grow and shrink are written again and again") {
  Folder folder;
  Store store(folder.path / "d");
  std::string found;
  REQUIRE_FALSE(store.open(found));
  for (std::size_t i = 0; i < 24; ++i) {
    CAPTURE(i);
    const std::size_t size = 8'000'000 + 350'000 * (i % 7) - 600'000 * (i % 3);
    REQUIRE_FALSE(store.write(record(static_cast<char>('a' + i), size)));
  }
  Store again(folder.path / "d");
  REQUIRE_FALSE(again.open(found));
  CHECK(found == record('x', 8'000'000 + 350'000 * 2 - 600'000 * 2));
}

TEST_CASE("rubbish in place of a file is scrapped, the other one is read") {
  Folder folder;
  std::string found;
  {
    Store store(folder.path);
    REQUIRE_FALSE(store.open(found));
    for (const char letter : {'a', 'b'}) REQUIRE_FALSE(store.write(record(letter, 100)));
  }
  put(folder.path / "hole-0.mdb", std::string(8192, '\x55'));
  Store store(folder.path);
  REQUIRE_FALSE(store.open(found));
  CHECK(found == record('a', 100));
  REQUIRE_FALSE(store.write("next"));
}

}  // namespace
}  // namespace burlwind::config_store
