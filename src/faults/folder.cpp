#include "faults/folder.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <ios>

#include "faults/process.hpp"

namespace burlwind::faults {
namespace {

namespace fs = std::filesystem;

fs::path aside(const fs::path& path) { return path.string() + ".aside"; }

}  // namespace

Folder::Folder(const std::string& name) {
  std::string path = (fs::temp_directory_path() / (name + "-XXXXXX")).string();
  if (!::mkdtemp(path.data())) throw SetupError("cannot make a folder in " + path);
  path_ = path;
}

Folder::~Folder() {
  std::error_code ignored;
  fs::remove_all(path_, ignored);
}

std::string Folder::sub(const std::string& name) const {
  const fs::path out = fs::path(path_) / name;
  fs::create_directories(out);
  return out.string();
}

void Folder::empty(const std::string& name) const {
  fs::remove_all(sub(name));
  sub(name);
}

void Folder::copy(const std::string& from, const std::string& to) const {
  empty(to);
  // The process may be writing there: a file that it renames away meanwhile is passed over, as a copy by
  // another program would.
  for (const auto& entry : fs::directory_iterator(sub(from))) {
    std::error_code error;
    fs::copy(entry.path(), fs::path(sub(to)) / entry.path().filename(), fs::copy_options::recursive, error);
    if (error && error != std::errc::no_such_file_or_directory)
      throw fs::filesystem_error("cannot copy", entry.path(), error);
  }
}

void Folder::swap(const std::string& one, const std::string& other) const {
  const fs::path a = sub(one), b = sub(other);
  fs::rename(a, aside(a));
  fs::rename(b, a);
  fs::rename(aside(a), b);
}

void Folder::scribble(const std::string& name) const {
  for (const auto& entry : fs::directory_iterator(sub(name))) {
    if (!entry.is_regular_file() || entry.file_size() == 0) continue;
    std::fstream file(entry.path(), std::ios::in | std::ios::out | std::ios::binary);
    const auto middle = static_cast<std::streamoff>(entry.file_size() / 2);
    file.seekg(middle);
    const int byte = file.get();
    file.seekp(middle);
    file.put(static_cast<char>(byte ^ 0x55));
  }
}

void Folder::spoil(const std::string& name) const {
  const fs::path path = sub(name);
  fs::rename(path, aside(path));
  std::ofstream(path) << "no folder\n";
}

void Folder::mend(const std::string& name) const {
  const fs::path path = fs::path(path_) / name;
  fs::remove(path);
  fs::rename(aside(path), path);
}

}  // namespace burlwind::faults
