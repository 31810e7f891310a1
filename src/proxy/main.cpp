// proxy: the proxy on every edge machine.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "control_api/server.hpp"
#include "program/log.hpp"
#include "program/settings_file.hpp"
#include "program/start.hpp"
#include "proxy/proxy.hpp"

namespace burlwind::proxy {
namespace {

class Program {
 public:
  Program(asio::io_context& io, program::SettingsFile file, config::Settings settings)
      : io_(io),
        file_(std::move(file)),
        readiness_(*settings.readiness),
        proxy_(io, std::move(settings)),
        ready_(
            io, [this](control_api::Call call) { return answer(std::move(call)); }, nullptr,
            control_api::kSmallCalls),
        signals_(io, SIGTERM, SIGINT, SIGHUP),
        timer_(io) {}

  int run() {
    Error error = proxy_.start();
    if (!error) error = ready_.listen(readiness_.ip, readiness_.port);
    if (error) {
      program::error("cannot listen", {{"why", error.message()}});
      return 1;
    }
    program::info("starts");
    wait();
    watch();
    io_.run();
    program::info("ended");
    return 0;
  }

 private:
  asio::awaitable<control_api::Reply> answer(control_api::Call call) {
    if (call.is("GET", {"api", "metrics"})) {
      control_api::Reply metrics(200, proxy_.metrics());
      metrics.contentType = control_api::kMetricsType;
      co_return metrics;
    }
    if (!call.is("GET", {"api", "ready"}))
      co_return control_api::Reply(404, control_api::message("no such call"));
    co_return control_api::Reply(proxy_.ready() ? 200 : 503, "");
  }
  void wait() {
    signals_.async_wait([this](const Error& error, int number) {
      if (error) return;
      if (number == SIGHUP) {
        look(true);
      } else {
        program::info("ends", {{"signal", number}});
        proxy_.leave();
      }
      wait();
    });
  }
  void look(bool asked) {
    if (const auto fresh = file_.look(program::now(), asked)) proxy_.adopt(*fresh);
  }
  void watch() {
    timer_.expires_after(std::chrono::milliseconds(static_cast<int>(program::kLook)));
    timer_.async_wait([this](const Error& error) {
      if (error) return;
      look(false);
      watch();
    });
  }
  asio::io_context& io_;
  program::SettingsFile file_;
  const config::Endpoint readiness_;
  Proxy proxy_;
  control_api::Server ready_;
  asio::signal_set signals_;
  asio::steady_timer timer_;
};

}  // namespace
}  // namespace burlwind::proxy

int main(int argc, const char** argv) {
  using namespace burlwind;
  constexpr program::Needs needs{.front = true};
  auto started = program::start(argc, argv, "proxy", "- carries clients' requests to workers", needs);
  if (!started.settings) return started.status;
  boost::asio::io_context io{1};
  program::SettingsFile file(started.settingsPath, *started.settings, needs);
  return proxy::Program(io, std::move(file), std::move(*started.settings)).run();
}
