// One record on disk that outlives the process and a loss of power: LMDB, as two environments in turn.
//
// LMDB 0.9 has no checksum on its meta page: after a loss of power a torn one may name a root that was never
// written. So generation g goes to environment g mod 2 alone, with its number and a checksum (XXH3) inside,
// and the other one, synced before, is not touched. What a cut can spoil is the environment under write,
// whose generation was acknowledged to nobody; the one before it is whole. An environment that does not read
// is emptied and begun anew by the next write to it. Costs: a write copies the record once, two syncs (some
// 10 ms at 5 ms a sync). Memory: the pages of a record that were touched; address space: a map of kMapBytes
// each. LMDB wants consecutive pages for a record while the one before is still there, so that a file may
// grow to several times the largest record: 256 MB hold records of 8 MB that change their size with each
// write.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

namespace burlwind::config_store {

class Store {
 public:
  explicit Store(std::string folder);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // The newest whole record; empty where there is none (an empty disk). Errors: the folder can't be used.
  std::error_code open(std::string& record);
  // Returns once the record would outlast a loss of power.
  std::error_code write(const std::string& record);
  std::uint64_t generation() const { return generation_; }

 private:
  struct Environment;
  std::error_code begin(unsigned which);
  bool read(unsigned which, std::uint64_t& generation, std::string& record);
  void scrap(unsigned which);
  const std::string folder_;
  std::unique_ptr<Environment> environments_[2];
  std::uint64_t generation_ = 0;
};

}  // namespace burlwind::config_store
