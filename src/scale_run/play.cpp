#include "scale_run/play.hpp"

#include <sys/sysinfo.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "config/configuration.hpp"
#include "config_store/store.hpp"
#include "program/start.hpp"
#include "scale_run/operator_call.hpp"

namespace burlwind::scale_run {
namespace {

namespace asio = boost::asio;
using program::now;
using Direction = rpc::Traffic::Direction;

constexpr double kPoll = 10;             // ms
constexpr double kStartWithin = 60000;   // ms, for each step of a play
constexpr double kChangeWithin = 20000;  // ms, of a change to the last proxy
constexpr double kOrderWithin = 20000;   // ms, of an operator's order with its repeats
constexpr double kSettle = 2000;         // ms before figures are taken
constexpr double kEndWithin = 3000;      // ms from SIGTERM to SIGKILL
constexpr double kMemoryPause = 1000;    // ms between two looks at memory
constexpr double kMemoryPart = 0.5;      // of the machine's
constexpr double kMinute = 60000, kMegabyte = 1024 * 1024;
constexpr double kTickSlack = 0.2;  // s that a log's clock may differ from this one's

double machineMb() {
  struct sysinfo info {};
  ::sysinfo(&info);
  return static_cast<double>(info.totalram) * info.mem_unit / kMegabyte;
}

double perSecond(double from, double until, double seconds) {
  return seconds > 0 ? std::max(0.0, until - from) / seconds : 0;
}

// What was counted between two lines, a second.
KindCounts rates(const KindCounts& from, const KindCounts& until, double seconds) {
  KindCounts out;
  for (const auto& [kind, last] : until) {
    const auto found = from.find(kind);
    const KindCount first = found == from.end() ? KindCount{} : found->second;
    const KindCount rate{perSecond(first.messages, last.messages, seconds),
                         perSecond(first.bytes, last.bytes, seconds)};
    if (rate.messages > 0) out[kind] = rate;
  }
  return out;
}

KindCount sum(const KindCounts& counts) {
  KindCount out;
  for (const auto& [kind, count] : counts) out.messages += count.messages, out.bytes += count.bytes;
  return out;
}

void add(KindCounts& to, const KindCounts& more) {
  for (const auto& [kind, count] : more) {
    to[kind].messages += count.messages;
    to[kind].bytes += count.bytes;
  }
}

void noteBusiest(RoleFigures& role, const KindCounts& in, const KindCounts& out) {
  const KindCount allIn = sum(in);
  const KindCount allOut = sum(out);
  role.busiestIn = std::max(role.busiestIn, allIn.bytes);
  role.busiestOut = std::max(role.busiestOut, allOut.bytes);
  role.busiestMessages = std::max(role.busiestMessages, allIn.messages + allOut.messages);
}

KindCounts kindCounts(Direction direction) { return readKindCounts(rpc::traffic().text(direction)); }

}  // namespace

Play::Play(asio::io_context& io, const Options& options, unsigned proxies, std::filesystem::path programs,
           std::filesystem::path folder)
    : io_(io),
      plan_(options),
      proxyCount_(proxies),
      programs_(std::move(programs)),
      folder_(std::move(folder)),
      platform_(io, plan_) {
  plan_.setProxies(proxies);
  figures_.proxies = proxies;
}

Play::~Play() = default;

asio::awaitable<void> Play::pause(double ms) {
  boost::system::error_code ignored;
  asio::steady_timer timer(io_);
  timer.expires_after(std::chrono::microseconds(static_cast<long>(1000 * ms)));
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::vector<ControlProcess*> Play::processes() const {
  std::vector<ControlProcess*> out;
  for (const auto* all : {&stores_, &registries_, &realProxies_})
    for (const auto& one : *all) out.push_back(one.get());
  return out;
}

bool Play::allRun() const {
  const auto all = processes();
  return std::all_of(all.begin(), all.end(), [](ControlProcess* one) { return one->runs(); });
}

std::string Play::endings() const {
  std::string out;
  for (const ControlProcess* one : processes())
    if (!one->ending().empty()) out += (out.empty() ? "" : ", ") + one->ending();
  return out;
}

asio::awaitable<Play::Outcome> Play::until(Condition condition, double within) {
  const double deadline = now() + within;
  while (true) {
    if (condition()) co_return Outcome::met;
    if (now() > deadline) co_return Outcome::late;
    if (now() - memoryCheckedAt_ > kMemoryPause) {
      memoryCheckedAt_ = now();
      double used = usageOf(::getpid()).residentMb;
      if (!allRun()) co_return Outcome::ended;
      for (ControlProcess* one : processes()) used += one->usage().residentMb;
      if (used > kMemoryPart * machineMb()) co_return Outcome::noMemory;
    }
    co_await pause(kPoll);
  }
}

// False, with the fault noted, where it does not come.
asio::awaitable<bool> Play::waitFor(const char* what, Condition condition, double within) {
  const Outcome outcome = co_await until(std::move(condition), within);
  if (outcome == Outcome::met) co_return true;
  const char* why = outcome == Outcome::late       ? "not in time"
                    : outcome == Outcome::noMemory ? "half of the machine's memory is in use"
                                                   : "a process has ended by itself: ";
  figures_.fault = std::string(what) + ": " + why;
  if (outcome == Outcome::ended) figures_.fault += endings();
  co_return false;
}

void Play::startCore() {
  for (unsigned core = 0; core < plan_.options().registries; ++core) {
    const std::filesystem::path data = folder_ / ("data" + std::to_string(core));
    std::filesystem::create_directories(data);
    const std::string name = "core" + std::to_string(core);
    const std::string settings = plan_.coreSettings(core, data.string(), true);
    stores_.push_back(std::make_unique<ControlProcess>("config_store", programs_ / "config_store", folder_,
                                                       name, settings));
    registries_.push_back(
        std::make_unique<ControlProcess>("registry", programs_ / "registry", folder_, name, settings));
  }
}

void Play::startProxies() {
  for (unsigned i = 0; i < proxyCount_; ++i) {
    proxies_.push_back(std::make_unique<HollowProxy>(io_, plan_, i));
    proxies_.back()->start();
  }
}

bool Play::allInTouch() const {
  return std::all_of(proxies_.begin(), proxies_.end(), [](const auto& proxy) { return proxy->inTouch(); });
}

std::uint64_t Play::newestIndex() const {
  std::uint64_t out = 0;
  for (const auto& proxy : proxies_) out = std::max(out, proxy->configIndex());
  return out;
}

void Play::measureState() {
  const std::string text = plan_.configuration(1, 0);
  StateFigures& state = figures_.state;
  state.configurationBytes = static_cast<double>(text.size());
  double from = ownProcessorSeconds();
  const auto read = config::readConfiguration(text);
  state.readMs = 1000 * (ownProcessorSeconds() - from);
  if (!read.configuration) figures_.fault = "the generated configuration does not read: " + read.fault;
  from = ownProcessorSeconds();
  const std::string frame = rpc::frame(rpc::ConfigUpdate{1, 1, text, {}, {}});
  state.frameMs = 1000 * (ownProcessorSeconds() - from);
  const std::filesystem::path folder = folder_ / "state";
  std::filesystem::create_directories(folder);
  config_store::Store store(folder.string());
  std::string record;
  if (store.open(record)) return;
  from = now();
  if (!store.write(frame)) state.writeMs = now() - from;
}

asio::awaitable<bool> Play::firstConfiguration() {
  order_ = {true, now(), 0, 0};
  co_await order();
  co_return figures_.fault.empty();
}

// Sent until there is a clear answer, to one registry after the other.
asio::awaitable<void> Play::order() {
  const unsigned parent = version_++;
  const std::string body = plan_.configuration(version_, parent);
  const double deadline = now() + kOrderWithin;
  unsigned core = version_;
  while (true) {
    const config::Endpoint at{plan_.coreIp(core++ % plan_.options().registries), kControlPort};
    const int status = co_await callOperator(io_, at, "config.replace", body);
    if (status == 200) break;
    if (status >= 400 && status < 500) figures_.fault = "an order was refused: " + std::to_string(status);
    if (now() > deadline) figures_.fault = "an order was not acknowledged in time";
    if (!allRun()) figures_.fault = "an order: a process has ended by itself: " + endings();
    if (!figures_.fault.empty()) co_return;
    co_await pause(50);
  }
  order_.acknowledgedAt = now();
}

// What has not come to all proxies, for the line that tells a fault.
std::string Play::missing() const {
  const auto count = [this](auto lacks) {
    return std::to_string(
        std::count_if(proxies_.begin(), proxies_.end(), [&](const auto& p) { return lacks(*p); }));
  };
  std::string out;
  if (order_.underWay)
    out += "; order r" + std::to_string(version_) + (order_.acknowledgedAt > 0 ? " (acknowledged)" : "") +
           ": " + count([this](const HollowProxy& p) { return p.configIndex() <= order_.after; }) +
           " proxies lack it";
  if (listChange_ > 0)
    out += "; change " + std::to_string(listChange_) +
           " of the list: " + count([this](const HollowProxy& p) { return p.listChange() < listChange_; }) +
           " proxies lack it";
  return out + "; " + count([](const HollowProxy& p) { return !p.inTouch(); }) + " are out of touch";
}

// Notes the delays of the order under way once the last proxy has it.
void Play::watchOrder(double) {
  if (!order_.underWay || order_.acknowledgedAt == 0) return;
  double last = 0;
  for (const auto& proxy : proxies_) {
    if (proxy->configIndex() <= order_.after) return;
    last = std::max(last, proxy->configAt());
  }
  figures_.acknowledged.all.push_back(order_.acknowledgedAt - order_.sentAt);
  figures_.inForce.all.push_back(std::max(0.0, last - order_.acknowledgedAt));
  order_.underWay = false;
}

void Play::watchList(double) {
  if (listChange_ == 0) return;
  double last = 0;
  for (const auto& proxy : proxies_) {
    if (proxy->listChange() < listChange_) return;
    last = std::max(last, proxy->listChangeAt());
  }
  figures_.listed.all.push_back(std::max(0.0, last - platform_.visibleAt(listChange_)));
  listChange_ = 0;
}

asio::awaitable<void> Play::takeFigures() {
  const Options& options = plan_.options();
  const double from = now();
  const double until = from + 1000 * options.seconds;
  const double orderPause = options.changesPerMinute > 0 ? kMinute / options.changesPerMinute : 1e18;
  const double listPause = options.listChangesPerMinute > 0 ? kMinute / options.listChangesPerMinute : 1e18;
  const double ownFrom = ownProcessorSeconds();
  const KindCounts inFrom = kindCounts(Direction::in);
  const KindCounts outFrom = kindCounts(Direction::out);
  const auto callsFrom = platform_.calls().answered;
  const HollowProxy::Requests requestsFrom = allRequests();
  usageBefore_.clear();
  for (ControlProcess* one : processes()) usageBefore_.push_back(one->usage());
  double orderAt = from;
  double listAt = from + listPause / 2;
  const auto step = [&] {
    const double at = now();
    watchOrder(at), watchList(at);
    if (at >= orderAt && at < until && !order_.underWay && options.changesPerMinute > 0) {
      orderAt = at + orderPause;
      order_ = {true, at, 0, newestIndex()};
      asio::co_spawn(io_, order(), asio::detached);
    }
    if (at >= listAt && at < until && listChange_ == 0 && options.listChangesPerMinute > 0) {
      listAt = at + listPause;
      listChange_ = platform_.change(at);
    }
    return !figures_.fault.empty() || (at >= until && !order_.underWay && listChange_ == 0);
  };
  const bool whole =
      co_await waitFor("the changes' way to all proxies", step, 1000 * options.seconds + kChangeWithin);
  // What a change that is late has cost is told all the same.
  if (!whole) figures_.fault += missing();
  if (!allRun()) co_return;

  const double seconds = (now() - from) / 1000;
  figures_.ownProcessor = (ownProcessorSeconds() - ownFrom) / seconds;
  figures_.platformCalls = static_cast<double>(platform_.calls().answered - callsFrom) / seconds;
  RoleFigures& hollow = figures_.roles["hollow proxy"];
  hollow.processes = proxyCount_;
  hollow.in = rates(inFrom, kindCounts(Direction::in), seconds);
  hollow.out = rates(outFrom, kindCounts(Direction::out), seconds);
  hollow.busiestIn = sum(hollow.in).bytes / proxyCount_;
  hollow.busiestOut = sum(hollow.out).bytes / proxyCount_;
  hollow.busiestMessages = (sum(hollow.in).messages + sum(hollow.out).messages) / proxyCount_;
  hollow.sockets = 1;
  noteRefused(requestsFrom);
  noteUsage(from);
  noteTraffic(from);
}

HollowProxy::Requests Play::allRequests() const {
  HollowProxy::Requests sum;
  for (const auto& proxy : proxies_) {
    sum.letIn += proxy->requests().letIn;
    sum.refused += proxy->requests().refused;
  }
  return sum;
}

void Play::noteRefused(const HollowProxy::Requests& before) {
  const HollowProxy::Requests all = allRequests();
  const auto letIn = static_cast<double>(all.letIn - before.letIn);
  const auto refused = static_cast<double>(all.refused - before.refused);
  figures_.refused = letIn + refused > 0 ? refused / (letIn + refused) : 0;
}

void Play::noteUsage(double from) {
  const double seconds = (now() - from) / 1000;
  std::size_t place = 0;
  for (ControlProcess* one : processes()) {
    const Usage usage = one->usage();
    RoleFigures& role = figures_.roles[one->role()];
    const double share = (usage.processorSeconds - usageBefore_[place++].processorSeconds) / seconds;
    role.processorMean = (role.processorMean * role.processes + share) / (role.processes + 1);
    ++role.processes;
    role.processorMost = std::max(role.processorMost, share);
    role.residentMb = std::max(role.residentMb, usage.residentMb);
    role.peakMb = std::max(role.peakMb, usage.peakMb);
    role.sockets = std::max(role.sockets, usage.sockets);
  }
}

// From the last line of each log before the span to the last one in it: the lines come each ten seconds.
void Play::noteTraffic(double from) {
  for (ControlProcess* one : processes()) {
    const auto lines = trafficLines(one->log());
    const double began = (from - one->startedAt()) / 1000;
    auto first = std::find_if(lines.begin(), lines.end(),
                              [&](const TrafficLine& line) { return line.seconds + kTickSlack >= began; });
    if (first == lines.end()) continue;
    const bool tooFew = lines.end() - first < 2;
    if (tooFew && first != lines.begin()) --first;
    const TrafficLine& last = lines.back();
    const double seconds = last.seconds - first->seconds;
    if (seconds <= 0) continue;
    const KindCounts in = rates(first->in, last.in, seconds);
    const KindCounts out = rates(first->out, last.out, seconds);
    RoleFigures& role = figures_.roles[one->role()];
    add(role.in, in), add(role.out, out);
    noteBusiest(role, in, out);
  }
}

asio::awaitable<void> Play::restartProxies() {
  std::vector<double> before;
  for (const auto& one : registries_) before.push_back(one->usage().processorSeconds);
  proxies_.clear();
  const double from = now();
  startProxies();
  const bool good = co_await waitFor(
      "all proxies' restart", [this] { return allInTouch(); }, kStartWithin);
  if (!good) co_return;
  figures_.proxiesRestart.all.push_back(now() - from);
  for (std::size_t i = 0; i < registries_.size(); ++i)
    figures_.restartProcessor =
        std::max(figures_.restartProcessor, registries_[i]->usage().processorSeconds - before[i]);
}

asio::awaitable<void> Play::restartRegistry() {
  ControlProcess& one = *registries_.back();
  const double from = now();
  one.kill();
  one.start();
  // A lost link is seen on the next turn of the loop; until then all still seem to be in touch.
  co_await pause(2 * kPoll);
  const bool good = co_await waitFor(
      "one registry's restart", [this] { return allInTouch(); }, kStartWithin);
  if (good) figures_.registryRestart.all.push_back(now() - from);
}

asio::awaitable<void> Play::end() {
  proxies_.clear();
  platform_.close();
  for (ControlProcess* one : processes()) one->terminate();
  const double deadline = now() + kEndWithin;
  while (now() < deadline) {
    bool running = false;
    for (ControlProcess* one : processes()) running = one->runs() || running;
    if (!running) break;
    co_await pause(kPoll);
  }
  for (ControlProcess* one : processes()) one->kill();
}

asio::awaitable<PlayFigures> Play::run() {
  measureState();
  if (const auto error = platform_.listen())
    figures_.fault = "the platform's address can't be had: " + error.message();
  bool good = figures_.fault.empty();
  if (good) {
    startCore();
    good = co_await firstConfiguration();
  }
  if (good) {
    const double from = now();
    for (unsigned i = 0; i < plan_.options().realProxies; ++i)
      realProxies_.push_back(std::make_unique<ControlProcess>(
          "proxy", programs_ / "proxy", folder_, "edge" + std::to_string(i), plan_.realProxySettings(i)));
    startProxies();
    good = co_await waitFor(
        "the first start", [this] { return allInTouch(); }, kStartWithin);
    figures_.start.all.push_back(now() - from);
    order_.underWay = false;
  }
  if (good) {
    co_await pause(std::min(kSettle, 1000 * plan_.options().seconds));
    co_await takeFigures();
    good = figures_.fault.empty();
  }
  if (good) {
    co_await restartProxies();
    good = figures_.fault.empty();
  }
  if (good) co_await restartRegistry();
  co_await end();
  co_return figures_;
}

}  // namespace burlwind::scale_run
