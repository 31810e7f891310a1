// Stands in for the platform: the list of workers over GET /servers, in pages, as old as its lag, so many
// calls a second and no more. A change takes one worker away and adds another, whose id tells the change.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "control_api/server.hpp"
#include "scale_run/options.hpp"

namespace burlwind::scale_run {

class FleetPlan;

class PlatformStandIn {
 public:
  PlatformStandIn(boost::asio::io_context& io, const FleetPlan& plan);
  boost::system::error_code listen();
  void close() { server_.close(); }

  // One worker is replaced. Returns the change's number (from 1); it is seen on the list after the lag.
  std::uint64_t change(double now);
  // When (ms, steady) that change can be seen on the list.
  double visibleAt(std::uint64_t change) const;
  // The change that brought this worker; 0 for those there were from the start.
  static std::uint64_t changeOf(std::string_view id);

  struct Calls {
    std::uint64_t answered = 0, refused = 0;
  };
  const Calls& calls() const { return calls_; }

 private:
  boost::asio::awaitable<control_api::Reply> answer(control_api::Call call);
  std::string page(std::size_t from, std::uint64_t changes) const;
  std::string idOf(std::size_t place, std::uint64_t changes) const;
  bool mayCall(double now);

  boost::asio::io_context& io_;
  const FleetPlan& plan_;
  control_api::Server server_;
  std::vector<double> changedAt_;  // of each change
  std::deque<double> callsAt_;     // of the last second
  Calls calls_;
};

}  // namespace burlwind::scale_run
