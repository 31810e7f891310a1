#include "config_store/store.hpp"

#include <fcntl.h>
#include <lmdb.h>
#include <sys/stat.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cerrno>
#include <cstring>

namespace burlwind::config_store {
namespace {

constexpr std::size_t kMapBytes =
    std::size_t{256} * 1024 * 1024;  // of address space; a file grows as it is used
constexpr char kKey[] = "record";

std::error_code systemError(int rc) { return {rc > 0 ? rc : EIO, std::generic_category()}; }

void append(std::string& out, std::uint64_t number) {
  for (int i = 0; i < 8; ++i) out.push_back(static_cast<char>(number >> (8 * i)));
}
std::uint64_t numberAt(const char* at) {
  std::uint64_t out = 0;
  for (int i = 7; i >= 0; --i) out = out << 8 | static_cast<unsigned char>(at[i]);
  return out;
}

// generation, checksum of generation and record, record
std::string sealed(std::uint64_t generation, const std::string& record) {
  std::string body;
  append(body, generation);
  body += record;
  std::string out;
  out.reserve(body.size() + 8);
  append(out, XXH3_64bits(body.data(), body.size()));
  return out += body;
}

bool unseal(const char* data, std::size_t size, std::uint64_t& generation, std::string& record) {
  if (size < 16 || numberAt(data) != XXH3_64bits(data + 8, size - 8)) return false;
  generation = numberAt(data + 8);
  record.assign(data + 16, size - 16);
  return true;
}

void syncFolder(const std::string& folder) {
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return;
  ::fsync(fd);
  ::close(fd);
}

}  // namespace

struct Store::Environment {
  MDB_env* env = nullptr;
  MDB_dbi dbi = 0;
  ~Environment() {
    if (env) ::mdb_env_close(env);
  }
};

Store::Store(std::string folder) : folder_(std::move(folder)) {}
Store::~Store() = default;

namespace {
std::string pathOf(const std::string& folder, unsigned which) {
  return folder + (which ? "/hole-1.mdb" : "/hole-0.mdb");
}

// A file that is shorter than what its meta page tells would be read beyond its end.
bool fits(MDB_env* env, const std::string& path) {
  MDB_envinfo info{};
  MDB_stat stat{};
  struct ::stat file {};
  if (::mdb_env_info(env, &info) || ::mdb_env_stat(env, &stat) || ::stat(path.c_str(), &file)) return false;
  return static_cast<std::uint64_t>(file.st_size) >= (info.me_last_pgno + 1) * std::uint64_t{stat.ms_psize};
}
}  // namespace

std::error_code Store::begin(unsigned which) {
  auto made = std::make_unique<Environment>();
  int rc = ::mdb_env_create(&made->env);
  if (!rc) rc = ::mdb_env_set_mapsize(made->env, kMapBytes);
  // One process, one thread: no lock file, no reader table.
  if (!rc)
    rc = ::mdb_env_open(made->env, pathOf(folder_, which).c_str(), MDB_NOSUBDIR | MDB_NOLOCK | MDB_NORDAHEAD,
                        0644);
  if (!rc && !fits(made->env, pathOf(folder_, which))) rc = MDB_CORRUPTED;
  MDB_txn* txn = nullptr;
  if (!rc) rc = ::mdb_txn_begin(made->env, nullptr, MDB_RDONLY, &txn);
  if (!rc) {
    rc = ::mdb_dbi_open(txn, nullptr, 0, &made->dbi);
    ::mdb_txn_commit(txn);
  }
  if (rc) return systemError(rc);
  environments_[which] = std::move(made);
  return {};
}

bool Store::read(unsigned which, std::uint64_t& generation, std::string& record) {
  if (!environments_[which]) return false;
  MDB_txn* txn = nullptr;
  if (::mdb_txn_begin(environments_[which]->env, nullptr, MDB_RDONLY, &txn)) return false;
  MDB_val key{sizeof kKey, const_cast<char*>(kKey)};
  MDB_val value{};
  const bool good = !::mdb_get(txn, environments_[which]->dbi, &key, &value) &&
                    unseal(static_cast<const char*>(value.mv_data), value.mv_size, generation, record);
  ::mdb_txn_abort(txn);
  return good;
}

void Store::scrap(unsigned which) {
  environments_[which].reset();
  ::unlink(pathOf(folder_, which).c_str());
  syncFolder(folder_);
}

std::error_code Store::open(std::string& record) {
  record.clear();
  if (::mkdir(folder_.c_str(), 0755) && errno != EEXIST) return systemError(errno);
  for (unsigned which = 0; which < 2; ++which) {
    if (::access(pathOf(folder_, which).c_str(), F_OK)) continue;
    std::uint64_t generation = 0;
    std::string found;
    if (begin(which) || !read(which, generation, found)) {
      scrap(which);
    } else if (generation > generation_) {
      generation_ = generation;
      record = std::move(found);
    }
  }
  return {};
}

std::error_code Store::write(const std::string& record) {
  const std::uint64_t generation = generation_ + 1;
  const unsigned which = generation % 2;
  const bool fresh = !environments_[which];
  if (fresh)
    if (const auto error = begin(which)) return error;
  MDB_txn* txn = nullptr;
  int rc = ::mdb_txn_begin(environments_[which]->env, nullptr, 0, &txn);
  if (rc) return scrap(which), systemError(rc);
  const std::string value = sealed(generation, record);
  MDB_val key{sizeof kKey, const_cast<char*>(kKey)};
  MDB_val data{value.size(), const_cast<char*>(value.data())};
  rc = ::mdb_put(txn, environments_[which]->dbi, &key, &data, 0);
  if (rc) {
    ::mdb_txn_abort(txn);
    return scrap(which), systemError(rc);
  }
  // A commit that failed leaves its environment in doubt; the other one holds what was acknowledged.
  if ((rc = ::mdb_txn_commit(txn))) return scrap(which), systemError(rc);
  if (fresh) syncFolder(folder_);
  generation_ = generation;
  return {};
}

}  // namespace burlwind::config_store
