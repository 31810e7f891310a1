// Tokens that were taken off a tenant's store and wait for requests: decisions only, time handed in. Each
// ends by itself at a time of this process's steady clock, wherever it has come through; the one that ends
// first goes first. Cost: one entry for each grant that is not used up.
#pragma once

#include <algorithm>
#include <vector>

namespace burlwind::distributed_quota {

class TokenStock {
 public:
  struct Taken {
    double tokens = 0;
    double endsAt = 0;  // ms, the earliest of theirs
  };
  void add(double tokens, double endsAt) {
    if (tokens <= 0) return;
    const auto later = std::upper_bound(batches_.begin(), batches_.end(), endsAt,
                                        [](double at, const Taken& batch) { return at < batch.endsAt; });
    batches_.insert(later, {tokens, endsAt});
  }
  // Takes out what has ended by `now`; how much that was.
  double expire(double now) {
    double ended = 0;
    auto next = batches_.begin();
    for (; next != batches_.end() && next->endsAt <= now; ++next) ended += next->tokens;
    batches_.erase(batches_.begin(), next);
    return ended;
  }
  // At most `tokens`, as much as there is.
  Taken take(double tokens) {
    Taken out;
    if (!batches_.empty()) out.endsAt = batches_.front().endsAt;
    auto next = batches_.begin();
    while (out.tokens < tokens && next != batches_.end()) {
      const double part = std::min(next->tokens, tokens - out.tokens);
      out.tokens += part;
      next->tokens -= part;
      if (next->tokens <= 0) ++next;
    }
    batches_.erase(batches_.begin(), next);
    return out;
  }
  // What has not ended by `now`.
  double heldAt(double now) const {
    double sum = 0;
    for (const Taken& batch : batches_) sum += batch.endsAt > now ? batch.tokens : 0;
    return sum;
  }
  // What is not taken out yet, ended or not.
  double held() const {
    double sum = 0;
    for (const Taken& batch : batches_) sum += batch.tokens;
    return sum;
  }
  // Takes out everything; how much that was.
  double clear() {
    const double sum = held();
    batches_.clear();
    return sum;
  }

 private:
  std::vector<Taken> batches_;  // by their ends
};

}  // namespace burlwind::distributed_quota
