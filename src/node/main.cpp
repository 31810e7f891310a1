// burlwind: one gatekeeper on real sockets.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "node/gatekeeper.hpp"

namespace {

int run() {
  const burlwind::Config config = burlwind::readConfig();
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  burlwind::Gatekeeper gatekeeper(io, config);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
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
