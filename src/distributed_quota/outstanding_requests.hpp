// The requests for tokens of one tenant that are under way: decisions only, time handed in. An answer counts
// once, for the request whose number it bears, and only until that one counts as lost: what is asked for
// again in its place must not be had twice. Tokens that are not taken so have been taken off the store: they
// let nothing in.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

namespace burlwind::distributed_quota {

class OutstandingRequests {
 public:
  // withinMs: after it a request counts as lost.
  explicit OutstandingRequests(double withinMs) : withinMs_(withinMs) {}
  void add(std::uint64_t number, double want, double now) { requests_.push_back({number, want, now}); }
  // The tokens that may come yet.
  double coming(double now) {
    while (!requests_.empty() && now - requests_.front().at > withinMs_) requests_.pop_front();
    double sum = 0;
    for (const Request& request : requests_) sum += request.want;
    return sum;
  }
  struct Request {
    std::uint64_t number = 0;
    double want = 0, at = 0;  // when it was sent
  };
  // That request; nothing where it is not under way.
  std::optional<Request> answered(std::uint64_t number, double now) {
    for (auto it = requests_.begin(); it != requests_.end(); ++it) {
      if (it->number != number) continue;
      const Request request = *it;
      requests_.erase(it);
      if (now - request.at > withinMs_) return std::nullopt;
      return request;
    }
    return std::nullopt;
  }
  void clear() { requests_.clear(); }

 private:
  double withinMs_;
  std::deque<Request> requests_;  // oldest first
};

}  // namespace burlwind::distributed_quota
