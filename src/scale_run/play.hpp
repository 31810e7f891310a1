// One play: real config stores and registries (and a few real proxies) beside hollow proxies, a platform and
// an operator as stand-ins. Starts them, takes figures over a calm span with changes, restarts all proxies
// and one registry, ends everything. Costs some 4 MB a hollow proxy and configuration megabyte; ends early
// where more than half of the machine's memory would go.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rpc/traffic.hpp"
#include "scale_run/control_process.hpp"
#include "scale_run/figures.hpp"
#include "scale_run/fleet_plan.hpp"
#include "scale_run/hollow_proxy.hpp"
#include "scale_run/platform_stand_in.hpp"

namespace burlwind::scale_run {

class Play {
 public:
  Play(boost::asio::io_context& io, const Options& options, unsigned proxies, std::filesystem::path programs,
       std::filesystem::path folder);
  ~Play();  // ends what still runs

  // Runs until the end or the first fault, which the figures tell.
  boost::asio::awaitable<PlayFigures> run();

 private:
  using Condition = std::function<bool()>;
  enum class Outcome { met, late, noMemory, ended };
  // Looks each kPoll until it holds; `late` after `within` ms.
  boost::asio::awaitable<Outcome> until(Condition condition, double within);
  boost::asio::awaitable<bool> waitFor(const char* what, Condition condition, double within);
  boost::asio::awaitable<void> pause(double ms);

  void startCore();
  void startProxies();
  boost::asio::awaitable<bool> firstConfiguration();
  boost::asio::awaitable<void> order();  // a new version; its outcome in order_
  void measureState();
  boost::asio::awaitable<void> takeFigures();
  HollowProxy::Requests allRequests() const;  // of all hollow proxies since their start
  void noteRefused(const HollowProxy::Requests& before);
  void noteUsage(double from);
  void noteTraffic(double from);
  void watchOrder(double now);
  void watchList(double now);
  boost::asio::awaitable<void> restartProxies();
  boost::asio::awaitable<void> restartRegistry();
  boost::asio::awaitable<void> end();

  bool allInTouch() const;
  bool allRun() const;
  std::string endings() const;
  std::string missing() const;
  std::uint64_t newestIndex() const;
  std::vector<ControlProcess*> processes() const;

  boost::asio::io_context& io_;
  FleetPlan plan_;
  const unsigned proxyCount_;
  const std::filesystem::path programs_, folder_;
  PlatformStandIn platform_;
  std::vector<std::unique_ptr<ControlProcess>> stores_, registries_, realProxies_;
  std::vector<std::unique_ptr<HollowProxy>> proxies_;
  PlayFigures figures_;
  double memoryCheckedAt_ = 0;
  unsigned version_ = 0;
  struct Order {
    bool underWay = false;      // until all proxies have it
    double sentAt = 0;          // ms, steady
    double acknowledgedAt = 0;  // 0: not yet
    std::uint64_t after = 0;    // newest index before it
  } order_;
  std::uint64_t listChange_ = 0;  // under way; 0: none
  std::vector<Usage> usageBefore_;
};

}  // namespace burlwind::scale_run
