#include "scale_run/hollow_proxy.hpp"

#include <algorithm>
#include <chrono>

#include "program/start.hpp"
#include "scale_run/platform_stand_in.hpp"

namespace burlwind::scale_run {
namespace {

using program::now;

constexpr double kTick = 100;          // ms, as in the proxy
constexpr double kTokensWithin = 350;  // ms that a request waits for a token, as in the proxy

std::chrono::milliseconds span(double ms) { return std::chrono::milliseconds(static_cast<int>(ms)); }

}  // namespace

HollowProxy::HollowProxy(boost::asio::io_context& io, const FleetPlan& plan, unsigned number)
    : plan_(plan),
      settings_(plan.hollowProxySettings(number)),
      random_(number + 1),
      sessions_(io, settings_, hooks()),
      timer_(io),
      bornAt_(now()),
      tickAt_(now()) {}

proxy::Sessions::Hooks HollowProxy::hooks() {
  proxy::Sessions::Hooks out;
  out.news = [this](const rpc::ConfigUpdate& update) {
    if (update.index <= configIndex_ || update.configuration.empty()) return;
    configIndex_ = update.index, configAt_ = now();
    sessions_.tellStatus();
  };
  out.workers = [this](const rpc::Workers& workers) { takeWorkers(workers); };
  out.cores = [this](const rpc::Cores& cores) {
    unsigned all = 0;
    for (const auto& [zone, count] : cores.proxies) all += count;
    tokens_.setProxies(all, settings_.bounds.quotaSlack);
  };
  out.tokens = [this](const rpc::TokenResponse& response) { takeTokens(response); };
  out.usage = [this] { return tokens_.usage(now()); };
  out.status = [this] { return status(); };
  return out;
}

void HollowProxy::start() {
  sessions_.start();
  // Processes tick at moments of their own: so do these.
  tickIn(std::uniform_real_distribution<double>(0, kTick)(random_));
}

bool HollowProxy::inTouch() const { return configIndex_ > 0 && listNumber_ > 0 && sessions_.inTouch(now()); }

rpc::Status HollowProxy::status() const {
  const double age = now() - bornAt_;
  rpc::Status out;
  out.ready = configIndex_ > 0 && listNumber_ > 0;
  out.index = configIndex_, out.workers = listNumber_, out.age = out.idle = age;
  out.ownPart = tokens_.contact() != distributed_quota::Contact::held, out.hasGrants = tokens_.hasGrants();
  if (out.hasGrants) out.granted = now() - *tokens_.firstGrantAt();
  return out;
}

void HollowProxy::takeWorkers(const rpc::Workers& workers) {
  listNumber_ = workers.number;
  for (const rpc::Worker& worker : workers.put) {
    const std::uint64_t change = PlatformStandIn::changeOf(worker.id);
    if (change > listChange_) listChange_ = change, listChangeAt_ = now();
  }
}

void HollowProxy::takeTokens(const rpc::TokenResponse& response) {
  for (const rpc::TokenGrant& grant : response.grants) tokens_.granted(response.number, grant, now());
  resumeWaiting(now());
  askTokens();
}

void HollowProxy::askTokens() {
  const rpc::TokenRequest request = tokens_.request(now());
  if (!request.demands.empty()) sessions_.tell(rpc::frame(request));
}

void HollowProxy::request(double at) {
  const double chance = std::uniform_real_distribution<double>(0, 1)(random_);
  const std::size_t number = plan_.tenantOf(chance);
  const auto& quota = plan_.quotas()[number];
  switch (tokens_.admit(quota.tenant, quota.rate, quota.burst, chance, at)) {
    case distributed_quota::Admit::yes:
      ++requests_.letIn;
      break;
    case distributed_quota::Admit::no:
      ++requests_.refused;
      break;
    case distributed_quota::Admit::wait:
      waiting_.push_back({number, at + kTokensWithin});
      break;
  }
}

void HollowProxy::resumeWaiting(double at) {
  std::erase_if(waiting_, [&](const Waiting& one) {
    const auto& quota = plan_.quotas()[one.tenant];
    const auto admit = tokens_.again(quota.tenant, quota.rate, at >= one.until, at);
    if (admit == distributed_quota::Admit::wait) return false;
    ++(admit == distributed_quota::Admit::yes ? requests_.letIn : requests_.refused);
    return true;
  });
}

void HollowProxy::tick() {
  const double at = now();
  sessions_.tick(at);
  tokens_.setContact(tokens_.answered(sessions_.contact(at), at), at);
  if (inTouch()) {
    due_ += std::min(at - tickAt_, 2 * kTick) * plan_.options().requestsPerSecond / 1000;
    for (; due_ >= 1; --due_) request(at);
    resumeWaiting(at);
  }
  tickAt_ = at;
  askTokens();
  tickIn(kTick);
}

void HollowProxy::tickIn(double ms) {
  timer_.expires_after(span(ms));
  timer_.async_wait([this, alive = std::weak_ptr(alive_)](const boost::system::error_code& error) {
    if (!error && !alive.expired()) tick();
  });
}

}  // namespace burlwind::scale_run
