#include "registry/list_reader.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "program/log.hpp"
#include "program/spawn.hpp"
#include "program/start.hpp"
#include "rpc/link.hpp"

namespace burlwind::registry {
namespace {

using program::now;

constexpr double kReadPause = 400;      // ms between two readings
constexpr double kReadSoonPause = 150;  // and where the list has changed within kRestless
constexpr double kRestless = 2000;
constexpr double kPagesMany = 3;       // from so many pages on a list is read less often
constexpr double kLongerMost = 2.5;    // at most so many times
constexpr double kPlatformPart = 0.6;  // of the calls that the platform takes
constexpr double kFirstPause = 100;    // ms until the first, and between tries of it
constexpr double kReadWithin = 1500;
constexpr double kUnknownWay = 120;  // ms to the platform, before the first reading

}  // namespace

ListReader::ListReader(asio::io_context& io, const config::Settings& settings, Registry& registry,
                       const DutyLease& lease, OnChange changed)
    : io_(io),
      settings_(settings),
      registry_(registry),
      lease_(lease),
      changed_(std::move(changed)),
      list_(io),
      platformMs_(kUnknownWay) {}

void ListReader::start() { program::spawn(io_, run(), "read the platform's list"); }

// Who starts with no list at all reads it once for itself: leases may be a while in coming.
bool ListReader::due() const { return lease_.holds(now()) || registry_.number() == 0; }

double ListReader::pauseMs() const {
  if (registry_.number() == 0) return kFirstPause;
  const double pages = static_cast<double>(list_.pages());
  const double spare = kPlatformPart * settings_.platformRate;  // calls a second for this reader
  const double least = spare > 0 ? 1000 * pages / spare : 0;
  // A long list takes many calls: it is read less often.
  const double longer = std::clamp(pages / kPagesMany, 1.0, kLongerMost);
  const bool restless = now() - changedAt_ < kRestless;
  return std::max(longer * (restless ? kReadSoonPause : kReadPause), least);
}

asio::awaitable<void> ListReader::run() {
  asio::steady_timer pause(io_);
  while (true) {
    rpc::Error ignored;
    pause.expires_after(std::chrono::milliseconds(static_cast<int>(pauseMs())));
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (settings_.platform && due()) co_await readGuarded();
  }
}

// What one reading throws must not end all that follow.
asio::awaitable<void> ListReader::readGuarded() {
  try {
    co_await readOnce();
  } catch (const std::exception& exception) {
    program::error("the platform's list", {{"why", exception.what()}});
  }
}

asio::awaitable<void> ListReader::readOnce() {
  const bool heldBefore = lease_.holds(now());
  const std::uint64_t epochBefore = lease_.epoch();
  std::string why;
  const auto all = co_await list_.read(*settings_.platform, kReadWithin, why);
  if (!all && why != told_) program::warn("the platform's list", {{"why", why}});
  told_ = why;
  if (!all) co_return;
  platformMs_ = list_.connectMs();
  // Read under one lease: else another one may have held the duties meanwhile, and told of a newer list.
  const bool holds = heldBefore && lease_.holds(now()) && lease_.epoch() == epochBefore;
  if (!holds && registry_.number() > 0) co_return;
  const auto change = registry_.listed(holds ? lease_.epoch() : 0, *all, now());
  if (!change) co_return;
  program::info("workers", {{"number", change->number},
                            {"put", change->put.size()},
                            {"gone", change->gone.size()},
                            {"all", all->size()}});
  changedAt_ = now();
  changed_(*change, holds);
}

}  // namespace burlwind::registry
