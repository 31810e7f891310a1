// A fingerprint of plain data: what is equal has the same one. 64 bits: among ten million different states
// two share one with a chance of about 3 in a million, and would then be taken for one state.
#pragma once

#include <cstdint>
#include <string_view>

namespace burlwind::model_checking {

using Fingerprint = std::uint64_t;

class FingerprintBuilder {
 public:
  // One multiplication to 128 bits, folded, as in wyhash: nothing is allocated.
  void add(std::uint64_t number) {
    const auto product = static_cast<Wide>(state_ ^ number ^ kFirst) * (state_ + kSecond);
    state_ = static_cast<std::uint64_t>(product) ^ static_cast<std::uint64_t>(product >> 64);
  }
  void add(std::string_view text);
  Fingerprint result() const { return state_; }

 private:
  __extension__ using Wide = unsigned __int128;
  static constexpr std::uint64_t kFirst = 0xa0761d6478bd642f, kSecond = 0xe7037ed1a0b428db;
  std::uint64_t state_ = 0x8ebc6af09c88c6e3;
};

}  // namespace burlwind::model_checking
