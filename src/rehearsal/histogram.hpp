// Latencies by a log-linear table, as HdrHistogram counts them (G. Tene): from 1 us to over an hour with an
// error of under 1/128 of the value, in some 3,500 counters, whatever the number of values. Adding is O(1).
#pragma once

#include <bit>
#include <cmath>
#include <cstdint>
#include <vector>

namespace burlwind::rehearsal {

class Histogram {
 public:
  void add(double ms) {
    const auto us = static_cast<std::uint64_t>(std::llround(std::max(0.0, ms) * 1000));
    const std::size_t index = indexOf(us);
    if (index >= counts_.size()) counts_.resize(index + 1);
    ++counts_[index];
    ++total_;
    if (ms > most_) most_ = ms;
  }
  std::uint64_t count() const { return total_; }
  double most() const { return most_; }
  // The least value that `percent` of all values do not exceed, to the table's error; 0 where there is none.
  double percentile(double percent) const {
    if (total_ == 0) return 0;
    const auto wanted = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(std::ceil(percent / 100 * static_cast<double>(total_) - 1e-9)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i)
      if ((seen += counts_[i]) >= wanted) return std::min(most_, valueOf(i) / 1000);
    return most_;
  }

 private:
  static constexpr unsigned kBits = 7;
  static constexpr std::uint64_t kPart = std::uint64_t{1} << kBits;
  static std::size_t indexOf(std::uint64_t us) {
    if (us < 2 * kPart) return us;
    const unsigned shift = static_cast<unsigned>(std::bit_width(us)) - kBits - 1;
    return static_cast<std::size_t>(shift * kPart + (us >> shift));
  }
  static double valueOf(std::size_t index) {  // the highest of its cell
    if (index < 2 * kPart) return static_cast<double>(index);
    const std::uint64_t shift = index / kPart - 1;
    return static_cast<double>((((index - shift * kPart) + 1) << shift) - 1);
  }
  std::vector<std::uint64_t> counts_;
  std::uint64_t total_ = 0;
  double most_ = 0;
};

}  // namespace burlwind::rehearsal
