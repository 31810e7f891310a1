// Reads the platform's list of workers again and again while this registry holds the duties, and tells what
// has changed. A registry that has no list at all reads it once for itself.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "config/settings.hpp"
#include "registry/duty_lease.hpp"
#include "registry/platform_list.hpp"
#include "registry/registry.hpp"

namespace burlwind::registry {

namespace asio = boost::asio;

class ListReader {
 public:
  // `byHolder`: read under the lease, so for the other registries too.
  using OnChange = std::function<void(const rpc::Workers& change, bool byHolder)>;
  ListReader(asio::io_context& io, const config::Settings& settings, Registry& registry,
             const DutyLease& lease, OnChange changed);
  void start();
  double platformMs() const { return platformMs_; }  // the way to the platform and back

 private:
  asio::awaitable<void> run();
  asio::awaitable<void> readGuarded();
  asio::awaitable<void> readOnce();
  bool due() const;
  double pauseMs() const;
  asio::io_context& io_;
  const config::Settings& settings_;
  Registry& registry_;
  const DutyLease& lease_;
  const OnChange changed_;
  PlatformList list_;
  std::string told_;  // the last fault that was logged
  double platformMs_, changedAt_ = -1e18;
};

}  // namespace burlwind::registry
