// Connections to workers that wait for their next request, by worker: decisions only, time handed in. The one
// that was used last is taken first, so that those that are not needed grow old and are dropped.
#pragma once

#include <cstddef>
#include <deque>
#include <iterator>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace burlwind::proxy {

constexpr std::size_t kMaxIdlePerWorker = 64;

// Connection: whatever its owner holds of one; destroying it closes it.
template <class Connection>
class IdleConnections {
 public:
  // keepForMs: how long the worker is believed to keep it open.
  void add(const std::string& worker, Connection connection, double now, double keepForMs) {
    auto& all = byWorker_[worker];
    if (all.size() < kMaxIdlePerWorker) all.push_back({std::move(connection), now, keepForMs});
  }
  // One to use now, or nothing. usable(connection): nothing has come on it while it waited; others are
  // closed.
  template <class Usable>
  std::optional<Connection> take(const std::string& worker, double now, Usable usable) {
    const auto found = byWorker_.find(worker);
    if (found == byWorker_.end()) return std::nullopt;
    auto& all = found->second;
    while (!all.empty()) {
      Entry entry = std::move(all.back());
      all.pop_back();
      if (!expired(entry, now) && usable(entry.connection)) return std::move(entry.connection);
    }
    return std::nullopt;
  }
  void forget(const std::string& worker) { byWorker_.erase(worker); }
  // Closes what has waited too long, and what is not usable.
  template <class Usable>
  void sweep(double now, Usable usable) {
    for (auto it = byWorker_.begin(); it != byWorker_.end();) {
      auto& all = it->second;
      std::erase_if(all,
                    [&](const Entry& entry) { return expired(entry, now) || !usable(entry.connection); });
      it = all.empty() ? byWorker_.erase(it) : std::next(it);
    }
  }
  void sweep(double now) {
    sweep(now, [](const Connection&) { return true; });
  }
  std::size_t size() const {
    std::size_t sum = 0;
    for (const auto& [worker, all] : byWorker_) sum += all.size();
    return sum;
  }

 private:
  struct Entry {
    Connection connection;
    double idleSince = 0, keepForMs = 0;
  };
  static bool expired(const Entry& entry, double now) { return now - entry.idleSince >= entry.keepForMs; }
  std::unordered_map<std::string, std::deque<Entry>> byWorker_;
};

}  // namespace burlwind::proxy
