// Fields of a JSON value, each fault told with its path. The first fault stays; after it all reads answer
// with defaults, so that a reader need not ask after each field.
#pragma once

#include <picojson.h>

#include <array>
#include <cmath>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burlwind::config {

class Reader {
 public:
  Reader(const picojson::value& root, std::string& fault) : value_(&root), fault_(&fault) {}

  bool has(const char* name) const { return find(name) != nullptr; }
  Reader at(const char* name) const {
    static const picojson::value nothing;
    const picojson::value* const found = find(name);
    return child(found ? *found : nothing, {name, 0});
  }
  std::vector<Reader> items() const {
    std::vector<Reader> out;
    if (!value_->is<picojson::array>()) return fail("is not a list"), out;
    const auto& all = value_->get<picojson::array>();
    out.reserve(all.size());
    for (std::size_t i = 0; i < all.size(); ++i) out.push_back(child(all[i], {nullptr, i}));
    return out;
  }
  // Of a table whose keys are not known: each with its key. Valid while the JSON is.
  std::vector<std::pair<std::string_view, Reader>> fields() const {
    std::vector<std::pair<std::string_view, Reader>> out;
    if (!value_->is<picojson::object>()) return fail("is not a table"), out;
    for (const auto& [key, value] : value_->get<picojson::object>())
      out.emplace_back(key, child(value, {key.c_str(), 0}));
    return out;
  }
  std::string text() const { return std::string(view()); }
  // The same without a copy; valid while the JSON is.
  std::string_view view() const {
    if (!value_->is<std::string>()) return fail("is not a text"), std::string_view();
    return value_->get<std::string>();
  }
  double number() const {
    if (!value_->is<double>() || !std::isfinite(value_->get<double>())) return fail("is not a number"), 0.0;
    return value_->get<double>();
  }
  bool truth() const {
    if (!value_->is<bool>()) return fail("is neither true nor false"), false;
    return value_->get<bool>();
  }
  const picojson::value& value() const { return *value_; }
  void fail(const std::string& what) const {
    if (fault_->empty()) *fault_ = (depth_ == 0 ? std::string("the file") : path()) + " " + what;
  }

 private:
  struct Step {
    const char* name;  // null: an item of a list
    std::size_t index;
  };
  static constexpr std::size_t kMostSteps = 8;  // of a path that is told; deeper ones are cut

  const picojson::value* find(const char* name) const {
    if (!value_->is<picojson::object>()) return nullptr;
    const auto& all = value_->get<picojson::object>();
    const auto found = all.find(name);
    return found == all.end() || found->second.is<picojson::null>() ? nullptr : &found->second;
  }
  Reader child(const picojson::value& value, Step step) const {
    Reader out = *this;
    out.value_ = &value;
    if (depth_ < kMostSteps) out.steps_[out.depth_++] = step;
    return out;
  }
  std::string path() const {
    std::string out;
    for (std::size_t i = 0; i < depth_; ++i) {
      if (steps_[i].name)
        out.append(out.empty() ? "" : ".").append(steps_[i].name);
      else
        out.append("[").append(std::to_string(steps_[i].index)).append("]");
    }
    return out;
  }
  const picojson::value* value_;
  std::string* fault_;
  std::array<Step, kMostSteps> steps_;
  std::size_t depth_ = 0;
};

// Nesting that is read; deeper texts are no JSON here.
constexpr std::size_t kDeepestJson = 100;

// What is found on the way, each with its path; the first of its kind.
struct JsonNotes {
  std::string repeatedKey, tooLarge;
};

// Builds a value as picojson's own context does, but bounds the nesting of tables too, and notes keys that
// stand twice in one table (the last one counts) and numbers that no double holds (where it would throw).
class JsonContext : public picojson::default_parse_context {
 public:
  JsonContext(picojson::value* out, std::size_t depths, const JsonContext* parent, const std::string* key,
              std::size_t index, JsonNotes& notes)
      : default_parse_context(out, depths), parent_(parent), key_(key), index_(index), notes_(notes) {}

  // The parser goes on whatever is answered here.
  bool set_number(double number) {
    if (std::isfinite(number)) return default_parse_context::set_number(number);
    if (notes_.tooLarge.empty()) notes_.tooLarge = path() + " is too large a number";
    return false;
  }
  template <typename Input>
  bool parse_array_item(Input& in, std::size_t index) {
    auto& items = out_->get<picojson::array>();
    items.emplace_back();
    JsonContext item(&items.back(), depths_, this, nullptr, index, notes_);
    return picojson::_parse(item, in);
  }
  bool parse_object_start() {
    if (depths_ == 0) return false;
    --depths_;
    *out_ = picojson::value(picojson::object_type, false);
    return true;
  }
  template <typename Input>
  bool parse_object_item(Input& in, const std::string& key) {
    auto& fields = out_->get<picojson::object>();
    const auto [field, isFirst] = fields.try_emplace(key);
    JsonContext item(&field->second, depths_, this, &key, 0, notes_);
    if (!isFirst && notes_.repeatedKey.empty()) notes_.repeatedKey = item.path() + " stands twice";
    return picojson::_parse(item, in);
  }

 private:
  std::string path() const {
    if (!parent_) return {};
    const std::string before = parent_->path();
    if (!key_) return before + "[" + std::to_string(index_) + "]";
    return before.empty() ? *key_ : before + "." + *key_;
  }
  const JsonContext* const parent_;
  const std::string* const key_;  // null: an item of a list
  const std::size_t index_;
  JsonNotes& notes_;
};

struct ParsedJson {
  std::unique_ptr<const picojson::value> value;  // null: `fault` says why
  std::string fault;
  std::string repeatedKey;  // the first key that stands twice in one table, with its path
};

// The whole text as one value; nothing else may follow it.
inline ParsedJson parseJson(std::string_view text) {
  ParsedJson out;
  JsonNotes notes;
  auto value = std::make_unique<picojson::value>();
  std::string error;
  JsonContext context(value.get(), kDeepestJson, nullptr, nullptr, 0, notes);
  const auto end = picojson::_parse(context, text.begin(), text.end(), &error);
  const std::string_view rest(end, text.end());
  const bool goesOn = rest.find_first_not_of(" \n\r\t") != std::string_view::npos;
  if (!error.empty())
    out.fault = "is no whole JSON: " + error;
  else if (goesOn)
    out.fault = "goes on after its JSON has ended";
  else if (!notes.tooLarge.empty())
    out.fault = "is no JSON: " + notes.tooLarge;
  else
    out.value = std::move(value);
  out.repeatedKey = std::move(notes.repeatedKey);
  return out;
}

}  // namespace burlwind::config
