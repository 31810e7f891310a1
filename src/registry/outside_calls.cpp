#include "registry/outside_calls.hpp"

#include <utility>

#include "program/log.hpp"
#include "program/start.hpp"

namespace burlwind::registry {
namespace {

using control_api::Call;
using control_api::message;
using control_api::Reply;

constexpr double kAbroadLogPauseMs = 1000;  // between two log lines

}  // namespace

asio::awaitable<Reply> OutsideCalls::order(std::string what, std::string body) {
  const double from = program::now();
  const std::string name = what;
  LeaderAnswer answer = co_await orders_.order(std::move(what), std::move(body));
  program::info(
      "order answered",
      {{"what", name}, {"status", answer.status}, {"text", answer.text}, {"ms", program::now() - from}});
  co_return Reply(answer.status, message(answer.text));
}

asio::awaitable<Reply> OutsideCalls::readConfiguration() {
  LeaderAnswer answer = co_await orders_.read();
  if (answer.status != 200) co_return Reply(answer.status, message(answer.text));
  if (answer.text.empty()) co_return Reply(404, message("no configuration yet"));
  co_return Reply(200, answer.text);
}

asio::awaitable<Reply> OutsideCalls::control(Call call) {
  if (!call.is("POST", {"api", "rpc"})) co_return Reply(404, message("no such call"));
  const std::string name = call.asked("call");
  if (name == "config.replace") co_return co_await order("config", std::move(call.body));
  if (name == "evacuate.begin" || name == "evacuate.finish") {
    const std::string zone = call.asked("of");
    if (!settings_.regionOf.contains(zone)) co_return Reply(400, message("no such zone: " + zone));
    std::string what = name == "evacuate.begin" ? "evacuate" : "return";
    co_return co_await order(std::move(what), zone);
  }
  if (name == "config.read") co_return co_await readConfiguration();
  co_return Reply(404, message("no such call: " + name));
}

void OutsideCalls::logAbroad(const Lookup& lookup, const LookupAnswer& answer) {
  const double now = program::now();
  if (answer.abroad == 0 || now - abroadLoggedAt_ < kAbroadLogPauseMs) return;
  abroadLoggedAt_ = now;
  program::info("look-up names other regions", {{"host", lookup.host},
                                                {"zone", lookup.zone},
                                                {"named", answer.addresses.size()},
                                                {"abroad", answer.abroad},
                                                {"hasHomes", answer.hasHomes}});
}

asio::awaitable<Reply> OutsideCalls::directory(Call call) {
  if (call.is("GET", {"api", "metrics"})) {
    Reply metrics(200, metrics_());
    metrics.contentType = control_api::kMetricsType;
    co_return metrics;
  }
  if (!call.is("GET", {"api", "lookup"})) co_return Reply(404, message("no such call"));
  const Lookup lookup{call.asked("name"), call.asked("region"), call.asked("zone")};
  const LookupAnswer answer = directory_.answer(lookup, program::now());
  if (answer.tooEarly) co_return Reply(503, message("begins: not all gatekeepers are known yet"));
  logAbroad(lookup, answer);
  const auto& all = answer.addresses;
  if (all.empty()) co_return Reply(503, message("no gatekeeper is ready"));
  std::string out = "{\"addresses\":[";
  for (std::size_t i = 0; i < all.size(); ++i) out += (i ? ",\"" : "\"") + all[i] + "\"";
  co_return Reply(200, out + "],\"ttl\":\"2s\"}");
}

}  // namespace burlwind::registry
