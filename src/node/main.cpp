// burlwind: one gatekeeper on real sockets.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "node/gatekeeper.hpp"

namespace {

// A file that cannot be read changes nothing: the gatekeeper goes on with what it has.
void reload(burlwind::Gatekeeper& gatekeeper) {
  try {
    gatekeeper.reload(burlwind::rereadConfig());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "burlwind: not reloaded: %s\n", error.what());
  }
}

void onReload(boost::asio::signal_set& signals, burlwind::Gatekeeper& gatekeeper) {
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    reload(gatekeeper);
    onReload(signals, gatekeeper);
  });
}

int run() {
  const burlwind::Config config = burlwind::readConfig();
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  boost::asio::signal_set reloads(io, SIGHUP), ends(io, SIGTERM, SIGINT);
  burlwind::Gatekeeper gatekeeper(io, config);
  onReload(reloads, gatekeeper);
  ends.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) gatekeeper.drain([&] { io.stop(); });
  });
  gatekeeper.start();
  io.run();
  return 0;
}

}  // namespace

int main() {
  try {
    return run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "burlwind: %s\n", error.what());
    return 1;
  }
}
