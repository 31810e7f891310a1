// Fields of a JSON value, each fault told with its path. The first fault stays; after it all reads answer
// with defaults, so that a reader need not ask after each field.
#pragma once

#include <picojson.h>

#include <cmath>
#include <memory>
#include <string>
#include <vector>

namespace burlwind::config {

class Reader {
 public:
  Reader(const picojson::value& value, std::string path, std::string& fault)
      : value_(&value), path_(std::move(path)), fault_(&fault) {}

  bool has(const char* name) const {
    return value_->is<picojson::object>() && value_->contains(name) &&
           !value_->get(name).is<picojson::null>();
  }
  Reader at(const char* name) const {
    static const picojson::value nothing;
    return {has(name) ? value_->get(name) : nothing, pathOf(name), *fault_};
  }
  std::vector<Reader> items() const {
    std::vector<Reader> out;
    if (!value_->is<picojson::array>()) return fail("is not a list"), out;
    const auto& all = value_->get<picojson::array>();
    for (std::size_t i = 0; i < all.size(); ++i)
      out.emplace_back(all[i], path_ + "[" + std::to_string(i) + "]", *fault_);
    return out;
  }
  const picojson::object& fields() const {
    static const picojson::object none;
    if (!value_->is<picojson::object>()) return fail("is not a table"), none;
    return value_->get<picojson::object>();
  }
  std::string text() const {
    if (!value_->is<std::string>()) return fail("is not a text"), std::string();
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
  const std::string& path() const { return path_; }
  void fail(const std::string& what) const {
    if (fault_->empty()) *fault_ = (path_.empty() ? std::string("the file") : path_) + " " + what;
  }

 private:
  std::string pathOf(const char* name) const { return path_.empty() ? name : path_ + "." + name; }
  const picojson::value* value_;
  std::string path_;
  std::string* fault_;
};

// The whole text as one value; nothing else may follow it. Null where it is none, `fault` then says why.
inline std::unique_ptr<const picojson::value> parseJson(std::string_view text, std::string& fault) {
  auto out = std::make_unique<picojson::value>();
  std::string error;
  auto end = picojson::parse(*out, text.begin(), text.end(), &error);
  if (!error.empty()) return fault = "is no whole JSON: " + error, nullptr;
  for (; end != text.end(); ++end)
    if (*end != ' ' && *end != '\n' && *end != '\r' && *end != '\t')
      return fault = "goes on after its JSON has ended", nullptr;
  return out;
}

}  // namespace burlwind::config
