// burlwind-scale: how the control side grows with the number of proxies, measured on loopback.
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include "program/log.hpp"
#include "scale_run/play.hpp"

namespace burlwind::scale_run {
namespace {

namespace asio = boost::asio;
namespace fs = std::filesystem;

enum Exit { kMeasured = 0, kNotWhole = 1, kNoRoom = 3, kInterrupted = 130 };

constexpr double kBytesPerProxy = 200e3;    // of a hollow proxy, beside the configuration
constexpr double kConfigurationCopies = 3;  // of each hollow proxy: buffers of both ends; 2.3 measured

// Of one play: gone with this object unless it is to be kept.
class PlayFolder {
 public:
  PlayFolder(const Options& options, unsigned proxies) : kept_(!options.keep.empty()) {
    std::string text = (fs::temp_directory_path() / "burlwind-scale-XXXXXX").string();
    if (kept_)
      path_ = fs::path(options.keep) / std::to_string(proxies);
    else if (::mkdtemp(text.data()))
      path_ = text;
    std::error_code ignored;  // what can't be written there shows as a play that does not start
    fs::create_directories(path_, ignored);
  }
  ~PlayFolder() {
    std::error_code ignored;
    if (!kept_ && !path_.empty()) fs::remove_all(path_, ignored);
  }
  PlayFolder(const PlayFolder&) = delete;
  PlayFolder& operator=(const PlayFolder&) = delete;
  const fs::path& path() const { return path_; }

 private:
  const bool kept_;
  fs::path path_;
};

void raiseDescriptors() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

// What the kernel says can be had without swapping; 0 where it says nothing.
double availableBytes() {
  std::ifstream in("/proc/meminfo");
  std::string field;
  double kilobytes = 0;
  while (in >> field)
    if (field == "MemAvailable:" && in >> kilobytes) break;
  return 1024 * kilobytes;
}

bool fits(const Options& options, unsigned proxies) {
  const auto configuration = static_cast<double>(FleetPlan(options).configuration(1, 0).size());
  const double needed = proxies * (kBytesPerProxy + kConfigurationCopies * configuration);
  return needed < availableBytes() / 2;
}

fs::path programsOf(const Options& options) {
  if (!options.programs.empty()) return options.programs;
  std::error_code ignored;
  return fs::read_symlink("/proc/self/exe", ignored).parent_path();
}

struct Result {
  std::vector<PlayFigures> plays;
  bool interrupted = false;
};

// One play after the other, each on a folder of its own.
Result playAll(const Options& options) {
  Result out;
  for (const unsigned proxies : options.proxies) {
    const PlayFolder folder(options, proxies);
    asio::io_context io{1};
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      out.interrupted = true;
      io.stop();
    });
    Play play(io, options, proxies, programsOf(options), folder.path());
    asio::co_spawn(io, play.run(), [&](std::exception_ptr fault, PlayFigures figures) {
      if (fault) figures.fault = "the play broke off";
      out.plays.push_back(std::move(figures));
      io.stop();
    });
    io.run();
    if (out.interrupted) break;
    std::fprintf(stderr, "burlwind-scale: %u hollow proxies: %s\n", proxies,
                 out.plays.back().fault.empty() ? "measured" : out.plays.back().fault.c_str());
  }
  return out;
}

int run(const Options& options) {
  program::stopLog();
  raiseDescriptors();
  for (const unsigned proxies : options.proxies)
    if (!fits(options, proxies)) {
      std::fprintf(stderr, "burlwind-scale: %u hollow proxies would take over half of the free memory\n",
                   proxies);
      return kNoRoom;
    }
  const Result result = playAll(options);
  const std::string report = options.json ? json(options, result.plays) : tables(options, result.plays);
  std::fputs(report.c_str(), stdout);
  if (result.interrupted) return kInterrupted;
  for (const PlayFigures& play : result.plays)
    if (!play.fault.empty()) return kNotWhole;
  return kMeasured;
}

}  // namespace
}  // namespace burlwind::scale_run

int main(int argc, const char** argv) {
  const auto read = burlwind::scale_run::readOptions(argc, argv);
  return read.start ? burlwind::scale_run::run(read.options) : read.status;
}
