#include "snapshot/files.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

namespace burlwind::snapshot {
namespace {

int result(int returned) { return returned < 0 ? errno : 0; }

std::string folderOf(const std::string& path) {
  const auto slash = path.rfind('/');
  return slash == std::string::npos ? "." : slash == 0 ? "/" : path.substr(0, slash);
}

std::string failed(const char* what, const std::string& path, int error) {
  return std::string("cannot ") + what + " " + path + ": " + std::strerror(error);
}

int writeAll(Files& files, int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const long n = files.write(file, bytes);
    if (n < 0) return static_cast<int>(-n);
    if (n == 0) return ENOSPC;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return 0;
}

}  // namespace

int DiskFiles::create(const std::string& path) {
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  return file < 0 ? -errno : file;
}

long DiskFiles::write(int file, std::string_view bytes) {
  for (;;) {
    const ssize_t n = ::write(file, bytes.data(), bytes.size());
    if (n >= 0) return n;
    if (errno != EINTR) return -errno;
  }
}

int DiskFiles::sync(int file) { return result(::fsync(file)); }
int DiskFiles::close(int file) { return result(::close(file)); }
int DiskFiles::rename(const std::string& from, const std::string& to) {
  return result(std::rename(from.c_str(), to.c_str()));
}
int DiskFiles::remove(const std::string& path) { return result(::unlink(path.c_str())); }

int DiskFiles::syncFolder(const std::string& folder) {
  const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (file < 0) return errno;
  const int error = sync(file);
  ::close(file);
  return error;
}

int DiskFiles::read(const std::string& path, std::size_t most, std::string& out) {
  const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) return errno;
  out.clear();
  char piece[65536];
  int error = 0;
  for (;;) {
    const ssize_t n = ::read(file, piece, sizeof piece);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) error = errno;
    if (n <= 0) break;
    if (out.size() + static_cast<std::size_t>(n) > most) {
      error = EFBIG;
      break;
    }
    out.append(piece, static_cast<std::size_t>(n));
  }
  ::close(file);
  return error;
}

std::string replace(Files& files, const std::string& path, std::string_view bytes) {
  const std::string fresh = path + ".new";
  const int file = files.create(fresh);
  if (file < 0) return failed("make", fresh, -file);
  int error = writeAll(files, file, bytes);
  const char* what = "write";
  if (error == 0) error = files.sync(file), what = "sync";
  const int closed = files.close(file);
  if (error == 0 && closed != 0) error = closed, what = "close";
  if (error == 0) error = files.rename(fresh, path), what = "rename";
  if (error != 0) {
    files.remove(fresh);
    return failed(what, fresh, error);
  }
  const std::string folder = folderOf(path);
  error = files.syncFolder(folder);
  return error == 0 ? "" : failed("sync", folder, error);
}

}  // namespace burlwind::snapshot
