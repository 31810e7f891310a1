#include "checked_toml/checked_toml.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <numeric>
#include <set>
#include <sstream>

namespace burlwind {
namespace {

std::size_t distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, diagonal + (a[i - 1] == b[j - 1] ? 0 : 1)});
      diagonal = above;
    }
  }
  return row.back();
}

std::string plain(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace

std::string nearest(std::string_view word, const std::vector<std::string>& candidates) {
  std::string best;
  std::size_t least = std::max<std::size_t>(1, word.size() / 3) + 1;
  for (const std::string& candidate : candidates) {
    // A name cut short, or one with something behind it, is near whatever its length.
    const bool part = word.size() >= 3 && (candidate.starts_with(word) || word.starts_with(candidate));
    const std::size_t apart = part ? 1 : distance(word, candidate);
    if (apart < least) best = candidate, least = apart;
  }
  return best;
}

struct CheckedTable::Node {
  toml::table table;
  std::string file, path;
  std::set<std::string> asked;

  std::string nameOf(const std::string& key) const { return path.empty() ? key : path + "." + key; }
};

CheckedTable CheckedTable::parse(std::string_view text, const std::string& file) {
  try {
    return CheckedTable(std::make_shared<Node>(Node{toml::parse(text), file, "", {}}));
  } catch (const toml::parse_error& error) {
    std::ostringstream out;
    out << file << ": line " << error.source().begin.line << ": " << error.description();
    throw FileError(out.str());
  }
}

CheckedTable CheckedTable::read(const std::string& path) {
  std::ifstream in(path);
  const std::string text((std::istreambuf_iterator<char>(in)), {});
  if (!in.is_open() || in.bad()) throw FileError(path + ": cannot be read");
  return parse(text, path);
}

void CheckedTable::fail(const std::string& key, const std::string& reason) const {
  throw FileError(node_->file + ": " + node_->nameOf(key) + ": " + reason);
}

bool CheckedTable::has(const std::string& key) const { return node_->table.contains(key); }

double CheckedTable::number(const std::string& key, std::optional<double> otherwise, Range range) {
  node_->asked.insert(key);
  const toml::node* found = node_->table.get(key);
  if (!found && !otherwise) fail(key, "is missing");
  if (!found) return *otherwise;
  const auto value = found->is_number() ? found->value<double>() : std::nullopt;
  if (!value || !std::isfinite(*value)) fail(key, "is not a number");
  if (*value < range.least || *value > range.most)
    fail(key, plain(*value) + " is not from " + plain(range.least) + " to " + plain(range.most));
  return *value;
}

long CheckedTable::whole(const std::string& key, std::optional<long> otherwise, Range range) {
  std::optional<double> instead;
  if (otherwise) instead = static_cast<double>(*otherwise);
  const double value = number(key, instead, range);
  if (value != std::floor(value) || std::abs(value) > 9e15) fail(key, "is not a whole number");
  return static_cast<long>(value);
}

bool CheckedTable::truth(const std::string& key, std::optional<bool> otherwise) {
  node_->asked.insert(key);
  const toml::node* found = node_->table.get(key);
  if (!found && !otherwise) fail(key, "is missing");
  if (!found) return *otherwise;
  if (!found->is_boolean()) fail(key, "is neither true nor false");
  return **found->as_boolean();
}

std::string CheckedTable::text(const std::string& key, std::optional<std::string> otherwise,
                               const std::vector<std::string>& allowed) {
  node_->asked.insert(key);
  const toml::node* found = node_->table.get(key);
  if (!found && !otherwise) fail(key, "is missing");
  if (!found) return *otherwise;
  if (!found->is_string()) fail(key, "is not a text");
  std::string value = **found->as_string();
  if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), value) == allowed.end()) {
    std::string list;
    for (const std::string& word : allowed) list += (list.empty() ? "" : ", ") + word;
    fail(key, "'" + value + "' is none of: " + list);
  }
  return value;
}

std::vector<double> CheckedTable::numbers(const std::string& key,
                                          std::optional<std::vector<double>> otherwise, Range range) {
  node_->asked.insert(key);
  const toml::node* found = node_->table.get(key);
  if (!found && !otherwise) fail(key, "is missing");
  if (!found) return *otherwise;
  if (!found->is_array()) fail(key, "is not a list of numbers");
  std::vector<double> out;
  for (const toml::node& item : *found->as_array()) {
    const auto value = item.is_number() ? item.value<double>() : std::nullopt;
    if (!value || !std::isfinite(*value)) fail(key, "holds something that is not a number");
    if (*value < range.least || *value > range.most)
      fail(key, plain(*value) + " is not from " + plain(range.least) + " to " + plain(range.most));
    out.push_back(*value);
  }
  return out;
}

std::vector<std::string> CheckedTable::texts(const std::string& key,
                                             std::optional<std::vector<std::string>> otherwise) {
  node_->asked.insert(key);
  const toml::node* found = node_->table.get(key);
  if (!found && !otherwise) fail(key, "is missing");
  if (!found) return *otherwise;
  if (!found->is_array()) fail(key, "is not a list of texts");
  std::vector<std::string> out;
  for (const toml::node& item : *found->as_array()) {
    if (!item.is_string()) fail(key, "holds something that is not a text");
    out.push_back(**item.as_string());
  }
  return out;
}

CheckedTable CheckedTable::table(const std::string& key) {
  node_->asked.insert(key);
  const toml::node* found = node_->table.get(key);
  if (found && !found->is_table()) fail(key, "is not a table");
  const std::string path = node_->nameOf(key);
  return CheckedTable(
      std::make_shared<Node>(Node{found ? *found->as_table() : toml::table{}, node_->file, path, {}}));
}

std::vector<CheckedTable> CheckedTable::tables(const std::string& key) {
  node_->asked.insert(key);
  std::vector<CheckedTable> out;
  const toml::node* found = node_->table.get(key);
  if (!found) return out;
  if (!found->is_array_of_tables()) fail(key, "is not a list of tables");
  for (const toml::node& item : *found->as_array()) {
    const std::string path = node_->nameOf(key) + "[" + std::to_string(out.size()) + "]";
    out.push_back(CheckedTable(std::make_shared<Node>(Node{*item.as_table(), node_->file, path, {}})));
  }
  return out;
}

void CheckedTable::finish() const {
  const std::vector<std::string> known(node_->asked.begin(), node_->asked.end());
  for (const auto& [key, value] : node_->table) {
    const std::string name(key.str());
    if (node_->asked.contains(name)) continue;
    const std::string near = nearest(name, known);
    fail(name, near.empty() ? "is not known" : "is not known; did you mean " + near + "?");
  }
}

}  // namespace burlwind
