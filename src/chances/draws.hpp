// Numbers drawn from a seed, the same ones with every library and on every machine (splitmix64, G. L. Steele
// and others, 2014). Cost: some nanoseconds a draw.
#pragma once

#include <cstdint>

namespace burlwind::chances {

class Draws {
 public:
  explicit Draws(std::uint64_t seed) : state_(seed) {}
  double next() {  // from 0 to under 1
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

}  // namespace burlwind::chances
