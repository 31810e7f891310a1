#include "scale_run/platform_stand_in.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <chrono>

#include "program/start.hpp"
#include "scale_run/fleet_plan.hpp"

namespace burlwind::scale_run {
namespace {

constexpr double kSecond = 1000;                // ms
constexpr std::string_view kChanged = "i-new";  // begins the id of a worker that a change brought

}  // namespace

PlatformStandIn::PlatformStandIn(boost::asio::io_context& io, const FleetPlan& plan)
    : io_(io), plan_(plan), server_(io, [this](control_api::Call call) { return answer(std::move(call)); }) {}

boost::system::error_code PlatformStandIn::listen() {
  return server_.listen(plan_.platformIp(), kPlatformPort);
}

std::uint64_t PlatformStandIn::change(double now) {
  changedAt_.push_back(now);
  return changedAt_.size();
}

double PlatformStandIn::visibleAt(std::uint64_t change) const {
  return changedAt_.at(change - 1) + plan_.options().platformLag;
}

std::uint64_t PlatformStandIn::changeOf(std::string_view id) {
  std::uint64_t out = 0;
  if (id.starts_with(kChanged)) std::from_chars(id.data() + kChanged.size(), id.data() + id.size(), out);
  return out;
}

// Change c replaces the worker at place c mod all.
std::string PlatformStandIn::idOf(std::size_t place, std::uint64_t changes) const {
  const std::uint64_t all = plan_.options().workers;
  if (changes < place || changes == 0) return "i-" + std::to_string(1000000 + place);
  const std::uint64_t newest = changes - (changes - place) % all;
  if (newest == 0) return "i-" + std::to_string(1000000 + place);
  return std::string(kChanged) + std::to_string(newest);
}

std::string PlatformStandIn::page(std::size_t from, std::uint64_t changes) const {
  const Options& options = plan_.options();
  const std::size_t until = std::min<std::size_t>(from + options.pageSize, options.workers);
  std::string out = R"({"servers":{)";
  for (std::size_t place = from; place < until; ++place) {
    if (place > from) out += ",";
    char service[24];
    std::snprintf(service, sizeof service, "service%05zu", place % options.services);
    out += "\"" + idOf(place, changes) + R"(":{"backend":")" + service + R"(","address":"10.)" +
           std::to_string(128 + place / 62500) + "." + std::to_string(place / 250 % 250) + "." +
           std::to_string(1 + place % 250) + ":" + std::to_string(kWorkerPort) + R"(","zone":")" +
           plan_.zoneOf(static_cast<unsigned>(place)) +
           R"(","generation":"v1","capacity":4,"state":"ready","coldLeft":"0ms"})";
  }
  return out + R"(},"nextToken":)" +
         (until < options.workers ? "\"p-" + std::to_string(until) + "\"" : std::string("null")) + "}";
}

bool PlatformStandIn::mayCall(double now) {
  while (!callsAt_.empty() && now - callsAt_.front() >= kSecond) callsAt_.pop_front();
  if (static_cast<double>(callsAt_.size()) >= plan_.options().platformRate) return false;
  callsAt_.push_back(now);
  return true;
}

boost::asio::awaitable<control_api::Reply> PlatformStandIn::answer(control_api::Call call) {
  if (!call.is("GET", {"servers"})) co_return control_api::Reply(404, control_api::message("no such call"));
  const double now = program::now();
  if (!mayCall(now)) {
    ++calls_.refused;
    co_return control_api::Reply(429, control_api::message("too many calls"));
  }
  ++calls_.answered;
  if (plan_.options().platformDelay > 0) {
    boost::system::error_code ignored;
    boost::asio::steady_timer pause(io_);
    pause.expires_after(std::chrono::microseconds(static_cast<long>(1000 * plan_.options().platformDelay)));
    co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  std::uint64_t changes = 0;
  while (changes < changedAt_.size() && visibleAt(changes + 1) <= now) ++changes;
  std::size_t from = 0;
  if (const std::string token = call.asked("pageToken"); token.starts_with("p-"))
    std::from_chars(token.data() + 2, token.data() + token.size(), from);
  co_return control_api::Reply(200, page(from, changes));
}

}  // namespace burlwind::scale_run
