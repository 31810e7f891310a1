// Random draws of rehearsals and fault runs: the same seed and stream name give the same draws on every
// machine and with every standard library (SplitMix64, Steele, Lea, Flood 2014; the distributions are written
// out here).
#pragma once

#include <cmath>
#include <cstdint>
#include <string_view>

namespace burlwind::faults {

// FNV-1a over bytes or numbers; also the digest of a plan.
class Hash {
 public:
  Hash& add(std::string_view text) {
    for (const char c : text) value_ = (value_ ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
    return *this;
  }
  Hash& add(std::uint64_t number) {
    for (int i = 0; i < 8; ++i) value_ = (value_ ^ ((number >> (8 * i)) & 0xff)) * 0x100000001b3u;
    return *this;
  }
  // Rounded, so that the last bit of a floating-point library does not show.
  Hash& add(double number) { return add(static_cast<std::uint64_t>(std::llround(number * 1024))); }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325u;
};

class Random {
 public:
  Random(std::uint64_t seed, std::string_view stream) : state_(Hash().add(seed).add(stream).value()) {}
  Random(std::uint64_t seed, std::string_view stream, std::uint64_t number)
      : state_(Hash().add(seed).add(stream).add(number).value()) {}

  std::uint64_t next() {
    std::uint64_t z = state_ += 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
  }
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }  // from 0, below 1
  double between(double least, double most) { return least + (most - least) * unit(); }
  std::size_t below(std::size_t n) {
    return n == 0 ? 0 : static_cast<std::size_t>(unit() * static_cast<double>(n));
  }
  bool chance(double share) { return unit() < share; }
  double exponential(double mean) { return -mean * std::log(1 - unit()); }
  double normal() { return std::sqrt(-2 * std::log(1 - unit())) * std::cos(6.283185307179586 * unit()); }
  double lognormal(double mean, double cv) {
    const double variance = std::log(1 + cv * cv);
    return mean * std::exp(std::sqrt(variance) * normal() - variance / 2);
  }

 private:
  std::uint64_t state_;
};

}  // namespace burlwind::faults
