// TOML files that people write, read with a check of every key: its type, its range, and that it is known.
// Every error names the file, the key and the reason, and for an unknown key the nearest known one.
// Cost: linear in the file; an unknown key costs one edit distance to each known key of its table.
#pragma once

#include <limits>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace burlwind {

// "FILE: KEY: REASON", one line.
class FileError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Range {
  double least = std::numeric_limits<double>::lowest();
  double most = std::numeric_limits<double>::max();
};

// The candidate with the least edit distance to `word`; empty if none is near (more than a third of it
// apart).
std::string nearest(std::string_view word, const std::vector<std::string>& candidates);

// One table of a file. Keys are taken one by one; `finish` then rejects what was not asked for. Every call
// throws FileError on a value of another type or out of range. Copies share what has been taken.
class CheckedTable {
 public:
  static CheckedTable parse(std::string_view text, const std::string& file);
  static CheckedTable read(const std::string& path);  // also throws where the file cannot be read

  bool has(const std::string& key) const;
  // Without a default the key must be there.
  double number(const std::string& key, std::optional<double> otherwise, Range range = {});
  long whole(const std::string& key, std::optional<long> otherwise, Range range = {});
  bool truth(const std::string& key, std::optional<bool> otherwise);
  std::string text(const std::string& key, std::optional<std::string> otherwise,
                   const std::vector<std::string>& allowed = {});
  std::vector<double> numbers(const std::string& key, std::optional<std::vector<double>> otherwise,
                              Range range = {});
  std::vector<std::string> texts(const std::string& key, std::optional<std::vector<std::string>> otherwise);
  CheckedTable table(const std::string& key);  // empty where there is none
  std::vector<CheckedTable> tables(const std::string& key);

  // Rejects the keys that nothing has taken.
  void finish() const;
  [[noreturn]] void fail(const std::string& key, const std::string& reason) const;

 private:
  struct Node;
  explicit CheckedTable(std::shared_ptr<Node> node) : node_(std::move(node)) {}
  std::shared_ptr<Node> node_;
};

}  // namespace burlwind
