// The few calls by which state is kept on a disk, as an interface, so that a test can let each of them fail
// or end the process between any two; and a file replaced whole. Errors are values: 0, or errno.
//
// Trusts nothing that it reads: who reads checks. Cost: that of the calls; `replace` syncs the file and its
// folder, which may take long and belongs on no loop that serves.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace burlwind::snapshot {

class Files {
 public:
  virtual ~Files() = default;
  // A new file to write, emptied where there is one; a descriptor, or minus errno.
  virtual int create(const std::string& path) = 0;
  // How many bytes were written, which may be fewer than asked for, or minus errno.
  virtual long write(int file, std::string_view bytes) = 0;
  virtual int sync(int file) = 0;
  virtual int close(int file) = 0;
  virtual int rename(const std::string& from, const std::string& to) = 0;
  virtual int syncFolder(const std::string& folder) = 0;
  virtual int remove(const std::string& path) = 0;
  // The whole of a file of at most `most` bytes into `out`; EFBIG for a larger one.
  virtual int read(const std::string& path, std::size_t most, std::string& out) = 0;
};

// POSIX.1-2017: open, write, fsync, rename.
class DiskFiles : public Files {
 public:
  int create(const std::string& path) override;
  long write(int file, std::string_view bytes) override;
  int sync(int file) override;
  int close(int file) override;
  int rename(const std::string& from, const std::string& to) override;
  int syncFolder(const std::string& folder) override;
  int remove(const std::string& path) override;
  int read(const std::string& path, std::size_t most, std::string& out) override;
};

// Writes PATH.new, syncs it, renames it to PATH and syncs the folder: whoever reads PATH, after a crash
// anywhere, finds the old content or the new one whole. Empty, or one line: what failed and why; PATH.new is
// then removed and PATH as it was, except where only the folder's sync failed: then it may be either.
std::string replace(Files& files, const std::string& path, std::string_view bytes);

}  // namespace burlwind::snapshot
