// burlwind: one gatekeeper on real sockets.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "node/gatekeeper.hpp"
#include "node/wake.hpp"

namespace {

struct CommandLine {
  std::string operatorFile;
  bool check = false;
};

burlwind::OperatorSettings operatorSettings(const CommandLine& line) {
  return line.operatorFile.empty() ? burlwind::OperatorSettings{}
                                   : burlwind::readOperatorFile(line.operatorFile);
}

// A file that cannot be read changes nothing: the gatekeeper goes on with what it has.
void reload(burlwind::Gatekeeper& gatekeeper, const CommandLine& line) {
  try {
    gatekeeper.reload(burlwind::rereadConfig(), operatorSettings(line));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "burlwind: not reloaded: %s\n", error.what());
  }
}

void onReload(boost::asio::signal_set& signals, burlwind::Gatekeeper& gatekeeper, const CommandLine& line) {
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    reload(gatekeeper, line);
    onReload(signals, gatekeeper, line);
  });
}

// Reads everything and makes what a start makes, but opens no socket.
int check(const CommandLine& line) {
  try {
    const burlwind::OperatorSettings settings = operatorSettings(line);
    const burlwind::Config config = burlwind::readConfig();
    boost::asio::io_context io(1);
    const burlwind::Gatekeeper gatekeeper(io, config, settings);
    std::printf("burlwind: admission: %s\n", burlwind::admission::describe(gatekeeper.admission()).c_str());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "burlwind: %s\n", error.what());
    return 2;
  }
  std::puts("burlwind: the configuration is good");
  return 0;
}

int run(const CommandLine& line) {
  const burlwind::OperatorSettings settings = operatorSettings(line);
  const burlwind::Config config = burlwind::readConfig();
  std::signal(SIGPIPE, SIG_IGN);
  burlwind::WakeSignal::install();
  boost::asio::io_context io(1);
  boost::asio::signal_set reloads(io, SIGHUP), ends(io, SIGTERM, SIGINT);
  burlwind::Gatekeeper gatekeeper(io, config, settings);
  onReload(reloads, gatekeeper, line);
  ends.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) gatekeeper.drain([&] { io.stop(); });
  });
  gatekeeper.start();
  io.run();
  std::fprintf(stderr, "burlwind: %s\n", gatekeeper.counted().summary().c_str());
  return 0;
}

}  // namespace

int main(int count, char** words) {
  CommandLine line;
  CLI::App app("burlwind: a gatekeeper for fair quotas. BALANCER_CONFIG names its configuration.",
               "burlwind");
  app.set_version_flag("--version", "burlwind " BURLWIND_VERSION);
  app.add_option("--operator", line.operatorFile, "the operator file (TOML); without it all defaults hold")
      ->type_name("FILE");
  app.add_flag("--check", line.check, "read everything, say what is wrong, start nothing; exit 0 or 2");
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    return line.check ? check(line) : run(line);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "burlwind: %s\n", error.what());
    return 1;
  }
}
