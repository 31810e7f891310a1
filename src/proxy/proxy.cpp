#include "proxy/proxy.hpp"

#include <chrono>

#include "program/log.hpp"
#include "program/start.hpp"
#include "proxy/memory_plan.hpp"
#include "proxy/routing.hpp"
#include "rpc/traffic_log.hpp"

namespace burlwind::proxy {
namespace {

using program::now;

constexpr double kTickMs = 100;
constexpr double kProcessStallThreshold = 1000;  // ms between two ticks: this process stood still
constexpr double kAcceptsMs = 2000;              // after SIGTERM
constexpr double kEndBeforeGraceMs = 300;
constexpr double kReportMs = 10000;  // between two lines of figures
// Until a proxy that starts may serve; clients ask but once more, and not all in one moment: up to so much
// later.
constexpr double kStartsMs = 800, kStartsMoreMs = 700;
constexpr double kQuotaRetryMs = 500;  // and up to as much again

}  // namespace

Proxy::Proxy(asio::io_context& io, config::Settings settings)
    : io_(io),
      settings_(std::move(settings)),
      sessions_(io, settings_, hooks()),
      answerBudget_(std::make_shared<AnswerBudget>(memoryPlan(settings_.memoryMb).answers)),
      balancer_({settings_.zone, settings_.region}, settings_.regionOf, settings_.bounds.coldExcess,
                settings_.bounds.coldSlack),
      forwarder_(io, balancer_, departures_, answerFigures_, answerBudget_, [this] { return draw(); }),
      tokens_(
          io, now(), [this](const rpc::TokenRequest& request) { sessions_.tell(rpc::frame(request)); },
          [this] { sessions_.tellStatus(); }),
      bytes_(std::make_shared<Budget>(memoryPlan(settings_.memoryMb).requestBytes)),
      clients_(
          io, bytes_, departures_, answerFigures_,
          [this] { return configuration_ ? configuration_->limits : config::ClientLimits{}; },
          [this](ClientRequest& request) { return handle(request); }),
      timer_(io) {
  startedAt_ = now();
  std::random_device device;
  random_.seed(std::uint64_t{device()} << 32 | device());
  forwarder_.setBudget(settings_.bounds.retryRatio, settings_.bounds.retrySlack, 0);
}

Sessions::Hooks Proxy::hooks() {
  return {[this](const rpc::ConfigUpdate& update) { takeConfigUpdate(update); },
          [this](const rpc::Workers& workers) { balancer_.take(workers, now()); },
          [this](const rpc::Cores& cores) {
            proxies_ = cores.proxies;
            takeProxyCounts();
          },
          [this](const rpc::TokenResponse& response) { tokens_.take(response); },
          [this] { return tokens_.usage(); },
          [this] { return status(); },
          [this] { tokens_.tick(sessions_.contact(now()), now()); }};
}

rpc::Status Proxy::status() const {
  const double at = now();
  rpc::Status out;
  out.ready = ready(), out.index = index_, out.workers = balancer_.number();
  out.age = at - startedAt_, out.idle = at - std::max(startedAt_, tokens_.lastAdmittedAt());
  out.unreadable = unreadable_;
  out.ownPart = tokens_.spendsOwnPart();
  out.hasGrants = tokens_.firstGrantAt().has_value();
  out.granted = at - tokens_.firstGrantAt().value_or(at);
  return out;
}

double Proxy::draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

bool Proxy::ready() const { return configuration_ && balancer_.size() > 0 && !leaving_; }

Error Proxy::start() {
  const Error error = clients_.listen(settings_.front->ip, settings_.front->port);
  if (error) return error;
  lastTick_ = now();
  sessions_.start();
  tick();
  return error;
}

void Proxy::adopt(const config::Settings& settings) {
  settings_ = settings;
  balancer_.setPlaces(settings_.regionOf);
  balancer_.setColdBound(settings_.bounds.coldExcess, settings_.bounds.coldSlack);
  sessions_.adoptSeeds();
  const MemoryPlan plan = memoryPlan(settings_.memoryMb);
  bytes_->setMost(plan.requestBytes);
  answerBudget_->setLimits(plan.answers);
  if (!proxies_.empty()) takeProxyCounts();
}

void Proxy::takeProxyCounts() {
  unsigned all = 0;
  for (const auto& [zone, count] : proxies_) all += count;
  balancer_.setProxies(proxies_);
  tokens_.setProxies(all, settings_.bounds.quotaSlack);
  forwarder_.setBudget(settings_.bounds.retryRatio, settings_.bounds.retrySlack, all);
}

void Proxy::takeConfigUpdate(const rpc::ConfigUpdate& update) {
  if (update.index <= index_ || update.configuration.empty()) return;
  auto read = config::readConfiguration(update.configuration);
  if (!read.configuration) {
    program::error("configuration does not read", {{"why", read.fault}, {"index", update.index}});
    unreadable_ = update.index;
    sessions_.tellStatus();
    return;
  }
  configuration_ = std::move(read.configuration);
  index_ = update.index;
  for (const auto& service : configuration_->services)
    balancer_.setService(service.name, {service.coldRate, service.coldFor});
  balancer_.setEvacuated({update.evacuated.begin(), update.evacuated.end()}, now());
  program::info(
      "in force",
      {{"version", configuration_->version}, {"index", index_}, {"evacuated", update.evacuated.size()}});
  sessions_.tellStatus();  // the registry sends the next one then
}

asio::awaitable<void> Proxy::handle(ClientRequest& request) {
  request.configuration = configuration_;
  if (!request.configuration) {
    request.answer.refuse(503, "no configuration yet", kStartsMs + kStartsMoreMs * draw());
    co_return;
  }
  if (!assignRoute(request, draw())) co_return;
  TokenGate::Admission admission{true, std::nullopt};
  if (request.tenant && request.tenant->rate > 0) {
    const double chance = draw();
    admission = co_await tokens_.admit(*request.tenant, chance, request.until, request.client);
    if (!admission.admitted) {
      request.answer.refuse(429, "over the quota", kQuotaRetryMs * (1 + chance));
      co_return;
    }
  }
  co_await forwarder_.forward(request);
  const bool unused = request.client->left() && !request.reachedWorker;
  if (unused && admission.tokenEndsAt) tokens_.giveBack(request.tenant->name, *admission.tokenEndsAt);
}

void Proxy::tick() {
  const double at = now();
  if (at - lastTick_ > kProcessStallThreshold) program::warn("stood still", {{"ms", at - lastTick_}});
  lastTick_ = at;
  sessions_.tick(at);
  tokens_.tick(sessions_.contact(at), at);
  forwarder_.tick(at);
  report(at);
  if (leaving_) finishLeaving(at);
  timer_.expires_after(std::chrono::microseconds(static_cast<long>(kTickMs * 1000)));
  timer_.async_wait([this](const Error& error) {
    if (!error) tick();
  });
}

void Proxy::finishLeaving(double now) {
  if (now - leaveAt_ > kAcceptsMs) clients_.stopAccepting();
  if (clients_.accepting()) return;
  clients_.closeIdle();
  if (clients_.empty() || now - leaveAt_ > settings_.bounds.grace - kEndBeforeGraceMs) io_.stop();
}

void Proxy::report(double now) {
  if (now < reportAt_) return;
  reportAt_ = now + kReportMs;
  forwarder_.report();
  tokens_.report();
  clients_.report();
  departures_->report();
  answerFigures_->report();
  rpc::logTraffic();
}

void Proxy::leave() {
  if (leaving_) return;
  leaving_ = true;
  leaveAt_ = now();
  tokens_.report();
  departures_->report();
  answerFigures_->report();
  rpc::logTraffic();
  clients_.closeBehindAnswers();
  sessions_.tellStatus();
}

}  // namespace burlwind::proxy
