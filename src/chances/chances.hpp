// Chances of counts: what is the chance that fewer than so many are out now, where a mean is known? Free of
// any policy. Cost: `room` steps up to means of 30, from there on one; of n queues that hold `part` each, (n
// * part)^2 steps and as many allocations as there are queues. Sources: Poisson's distribution, and from a
// mean of 30 on the normal one in its place; the loss system of A. K. Erlang (1917), whose states follow a
// Poisson distribution cut off at what it holds.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>
#include <vector>

namespace burlwind::chances {

constexpr double kMeanCounted = 30;  // means from which on a normal spread stands for Poisson's

// Chance that something with `mean` out as a rule (0 or more) has fewer than `room` out now, if nothing
// limits it.
inline double under(unsigned room, double mean) {
  if (mean > kMeanCounted) return 0.5 * std::erfc((mean + 0.5 - room) / std::sqrt(2 * mean));
  double term = std::exp(-mean), sum = 0;
  for (unsigned i = 0; i < room && term > 1e-12 * sum; ++i) sum += term, term *= mean / (i + 1);
  return sum;
}

// The same of several queues that are asked for `mean` in all and hold `part` each at most: each loses what
// finds it full, and the chances of so many at all of them follow one after another.
inline double underOfQueues(unsigned room, double mean, unsigned queues, unsigned part) {
  if (queues == 0) return 1;
  std::vector<double> one(part + 1, 1), all(1, 1);
  for (std::size_t i = 1; i <= part; ++i) one[i] = one[i - 1] * mean / queues / static_cast<double>(i);
  const double whole = std::accumulate(one.begin(), one.end(), 0.0);
  for (unsigned queue = 0; queue < queues; ++queue) {
    std::vector<double> next(all.size() + part, 0);
    for (std::size_t i = 0; i < all.size(); ++i)
      for (std::size_t k = 0; k <= part; ++k) next[i + k] += all[i] * one[k] / whole;
    all = std::move(next);
  }
  const auto fewer = static_cast<long>(std::min<std::size_t>(room, all.size()));
  return std::accumulate(all.begin(), all.begin() + fewer, 0.0);
}

}  // namespace burlwind::chances
