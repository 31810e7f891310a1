// What connections cost the clients' side, which runs in a process of its own: memory of one that is held,
// CPU of one that is taken (and pushes out another), of one that is turned away, and of clients that wait
// while there are no descriptors. Ratios of one run count; the machine's own speed does not.
//
//   cmake --build build --target admission_cost && build/admission_cost
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <ctime>
#include <fstream>

#include "node/client_server.hpp"

namespace {

using namespace burlwind;
using namespace std::chrono_literals;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

// Holds what comes, for good, and tells of each by a byte.
struct Hold : Holder {
  explicit Hold(int told) : told_(told) {}
  bool ready() const override { return true; }
  bool holds(std::uint64_t) const override { return false; }
  irisring::RequestId nextId() override { return ++last; }
  void take(irisring::RequestId, const Call&, ClientMessage&&, const std::shared_ptr<Asker>&) override {
    if (write(told_, "h", 1) != 1) _exit(1);
  }
  void left(irisring::RequestId) override {}
  irisring::RequestId last = 0;

 private:
  const int told_;
};

void limitDescriptors(rlim_t most) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = std::min(files.rlim_max, most);
  setrlimit(RLIMIT_NOFILE, &files);
}

[[noreturn]] void serve(const ClientServer::Limits& limits, int told) {
  asio::io_context io{1};
  Budget budget{std::size_t{1} << 30};
  Config config;
  config.listen = {asio::ip::address_v4::loopback(), 0};
  config.seed = 1;
  config.settings.plans.push_back({});
  config.settings.classes.emplace_back().repeat = irisring::Repeat::safe;
  config.settings.gateways = 1;
  config.settings.mostUnits = 1;
  config.host.classes = {"look"};
  config.host.plans = {"small"};
  Hold holder(told);
  ClientServer server(io, config, limits, budget, holder);
  server.start();
  const unsigned short port = server.address().port();
  if (write(told, &port, sizeof port) != sizeof port) _exit(1);
  io.run();
  _exit(0);
}

// The clients' side, and what it has used.
class Side {
 public:
  explicit Side(const ClientServer::Limits& limits, rlim_t descriptors = 16384) {
    int ends[2];
    if (pipe(ends) != 0 || (child_ = fork()) < 0) throw std::runtime_error("no process");
    if (child_ == 0) {
      limitDescriptors(descriptors);
      serve(limits, ends[1]);
    }
    unsigned short port = 0;
    if (read(ends[0], &port, sizeof port) != sizeof port) throw std::runtime_error("it did not start");
    close(ends[1]);
    told_ = ends[0];
    to = {asio::ip::address_v4::loopback(), port};
    clock_getcpuclockid(child_, &clock_);
  }
  ~Side() { kill(child_, SIGKILL), waitpid(child_, nullptr, 0), close(told_); }
  Side(const Side&) = delete;
  Side& operator=(const Side&) = delete;

  double cpuMs() const {
    timespec at{};
    clock_gettime(clock_, &at);
    return static_cast<double>(at.tv_sec) * 1e3 + static_cast<double>(at.tv_nsec) / 1e6;
  }
  double residentBytes() const {
    std::ifstream in("/proc/" + std::to_string(child_) + "/statm");
    double all = 0, resident = 0;
    in >> all >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
  }
  void untilHeld() const {
    char byte;
    if (read(told_, &byte, 1) != 1) throw std::runtime_error("it has ended");
  }
  tcp::endpoint to;

 private:
  pid_t child_ = 0;
  int told_ = -1;
  clockid_t clock_{};
};

asio::io_context clientsIo;

tcp::socket dial(const tcp::endpoint& to) {
  tcp::socket out(clientsIo);
  out.connect(to);
  return out;
}

// Until the other side has ended it; the bytes that came.
std::size_t readAll(tcp::socket& socket) {
  Error error;
  std::array<char, 1024> piece;
  std::size_t all = 0;
  while (!error) all += socket.read_some(asio::buffer(piece), error);
  return all;
}

void askHealth(tcp::socket& socket) {
  static const std::string kQuestion = "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n";
  asio::write(socket, asio::buffer(kQuestion));
  std::array<char, 1024> piece;
  socket.read_some(asio::buffer(piece));
}

// A request that is held for good.
void ask(tcp::socket& socket, unsigned id) {
  char text[256];
  const int size = std::snprintf(text, sizeof text,
                                 "GET /look?client=0000000000000001 HTTP/1.1\r\nHost: b\r\nReq-Id: %016x\r\n"
                                 "X-Tier: small\r\nReq-Deadline-Ms: 60000\r\n"
                                 "X-Call-Terms: units=1,spread=1,first=0\r\n\r\n",
                                 id);
  asio::write(socket, asio::buffer(text, static_cast<std::size_t>(size)));
}

ClientServer::Limits limitsFor(std::size_t connections) {
  ClientServer::Limits out;
  out.connections = connections;
  out.idleShare = 1;
  out.wholeWithin = out.idleFor = 1h;
  return out;
}

void memoryOfOneHeld(bool asked) {
  constexpr std::size_t kCount = 6000;
  Side side(limitsFor(2 * kCount));
  auto last = dial(side.to);
  askHealth(last);
  const double before = side.residentBytes();
  std::vector<tcp::socket> all;
  for (std::size_t i = 0; i < kCount; ++i) {
    all.push_back(dial(side.to));
    if (asked) askHealth(all.back());
  }
  auto end = dial(side.to);
  askHealth(end);  // taken after all others
  std::printf("memory of one held, %s: %.0f bytes\n", asked ? "idle after an answer" : "silent",
              (side.residentBytes() - before) / kCount);
}

// A program that comes back as soon as it is ended.
void flood(const char* what, const Side& side, std::size_t held, std::size_t count) {
  std::vector<tcp::socket> ring;
  for (std::size_t i = 0; i < held; ++i) ring.push_back(dial(side.to));
  const double cpu = side.cpuMs();
  const auto start = Clock::now();
  for (std::size_t i = 0; i < count; ++i) {
    tcp::socket& oldest = ring[i % held];
    readAll(oldest);
    oldest = dial(side.to);
  }
  const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
  std::printf("%s: %.1f us of CPU each, %.0f a second from one program\n", what,
              (side.cpuMs() - cpu) * 1e3 / static_cast<double>(count), static_cast<double>(count) / seconds);
}

// To compare with: a health question on a connection that stays.
void question(const Side& side, std::size_t count) {
  auto socket = dial(side.to);
  askHealth(socket);
  const double cpu = side.cpuMs();
  for (std::size_t i = 0; i < count; ++i) askHealth(socket);
  std::printf("a health question on a kept connection: %.1f us of CPU\n",
              (side.cpuMs() - cpu) * 1e3 / static_cast<double>(count));
}

void turnedAway() {
  ClientServer::Limits limits = limitsFor(1);
  limits.admission.acceptWait = 0;
  const Side side(limits);
  auto owed = dial(side.to);
  ask(owed, 1);
  side.untilHeld();
  auto first = dial(side.to);
  readAll(first);  // turned away: the request is held
  flood("one turned away, the table being full of requests", side, 1, 40000);
}

// Every descriptor belongs to a request that is held, and more clients come.
void withoutDescriptors() {
  constexpr std::size_t kDescriptors = 128, kWaiting = 1000, kSpared = 24;  // some are the process's own
  const Side side(limitsFor(4000), kDescriptors);
  std::vector<tcp::socket> owed, waiting;
  for (unsigned i = 0; i < kDescriptors; ++i) {
    owed.push_back(dial(side.to));
    ask(owed.back(), i + 1);
    if (i + kSpared < kDescriptors) side.untilHeld();
  }
  const double cpu = side.cpuMs();
  const auto start = Clock::now();
  for (std::size_t i = 0; i < kWaiting; ++i) waiting.push_back(dial(side.to));
  std::size_t told = 0;
  for (auto& one : waiting) told += readAll(one) > 0;
  const double ms = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
  std::printf("without descriptors: %zu of %zu told 503 within %.0f ms, %.1f%% of a core meanwhile\n", told,
              kWaiting, ms, (side.cpuMs() - cpu) / ms * 100);
}

}  // namespace

int main() {
  setvbuf(stdout, nullptr, _IOLBF, 0);
  limitDescriptors(16384);
  memoryOfOneHeld(false);
  memoryOfOneHeld(true);
  {
    const Side side(limitsFor(200));
    question(side, 20000);
    flood("one taken, which pushes out another", side, 400, 40000);
  }
  turnedAway();
  withoutDescriptors();
}
