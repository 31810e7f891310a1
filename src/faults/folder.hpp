// The folder of a process, and what becomes of it between two lives: kept, emptied, of an older copy, of
// another's, or not to be used at all. All paths lie below one folder that goes with this object.
#pragma once

#include <string>

namespace burlwind::faults {

class Folder {
 public:
  // A fresh one in the place for temporary files. Throws SetupError.
  explicit Folder(const std::string& name);
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string& path() const { return path_; }
  std::string sub(const std::string& name) const;  // below it; is made

  void empty(const std::string& name) const;
  void copy(const std::string& from, const std::string& to) const;  // `to` is replaced
  void swap(const std::string& one, const std::string& other) const;
  // Each file in it keeps its length and loses its middle byte.
  void scribble(const std::string& name) const;
  // A file in its place: whatever is opened, made or renamed there fails, for every user. Undone by mend.
  void spoil(const std::string& name) const;
  void mend(const std::string& name) const;

 private:
  std::string path_;
};

}  // namespace burlwind::faults
