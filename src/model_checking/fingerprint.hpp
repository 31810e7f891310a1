// A fingerprint of plain data: what is equal has the same one. 64 bits of XXH3: among ten million different
// states two share one with a chance of about 3 in a million, and would then be taken for one state.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace burlwind::model_checking {

using Fingerprint = std::uint64_t;

class FingerprintBuilder {
 public:
  void add(std::uint64_t number) { bytes_.append(reinterpret_cast<const char*>(&number), sizeof number); }
  void add(std::string_view text) {
    add(std::uint64_t{text.size()});
    bytes_.append(text);
  }
  Fingerprint result() const;

 private:
  std::string bytes_;
};

}  // namespace burlwind::model_checking
