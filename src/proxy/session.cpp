#include "proxy/session.hpp"

#include <random>
#include <utility>
#include <variant>

#include "program/log.hpp"
#include "program/start.hpp"

namespace burlwind::proxy {
namespace {

using program::now;

std::uint64_t drawIncarnation() {
  std::random_device device;
  return (std::uint64_t{device()} << 32 | device()) | 1;
}

template <class Message>
std::optional<FromRegistry> readAs(const rpc::Arrived& arrived) {
  Message message;
  if (!arrived.read(message)) return std::nullopt;
  return FromRegistry(std::move(message));
}

std::optional<FromRegistry> read(const rpc::Arrived& arrived) {
  switch (arrived.kind) {
    case rpc::kHeartbeat:
      return readAs<rpc::Heartbeat>(arrived);
    case rpc::kConfigUpdate:
      return readAs<rpc::ConfigUpdate>(arrived);
    case rpc::kWorkers:
      return readAs<rpc::Workers>(arrived);
    case rpc::kCores:
      return readAs<rpc::Cores>(arrived);
    case rpc::kTokenResponse:
      return readAs<rpc::TokenResponse>(arrived);
    case rpc::kUsageQuery:
      return readAs<rpc::UsageQuery>(arrived);
    default:
      return std::nullopt;
  }
}

}  // namespace

Sessions::Sessions(asio::io_context& io, const config::Settings& settings, Hooks hooks)
    : io_(io),
      settings_(settings),
      hooks_(std::move(hooks)),
      incarnation_(drawIncarnation()),
      core_({settings.zone, settings.region}, incarnation_) {
  adoptSeeds();
}

// A dialer and its link hold each other until it is closed.
Sessions::~Sessions() {
  for (const auto& [id, dialer] : dialers_) dialer->close();
}

void Sessions::adoptSeeds() {
  std::vector<std::string> ips;
  for (const auto& seed : settings_.seeds) ips.push_back(seed.ip);
  core_.setSeeds(ips, now());
}

void Sessions::start() { tick(now()); }

void Sessions::tick(double at) { carryOut(core_.tick(at)); }

void Sessions::tellStatus() { carryOut(core_.statusNow(now())); }

void Sessions::open(SessionId id, const std::string& ip) {
  const auto port = static_cast<std::uint16_t>(settings_.portFrom + 1);
  const auto dialer = std::make_shared<rpc::Dialer>(io_, ip, port);
  dialers_[id] = dialer;
  dialer->start([this, id](std::shared_ptr<rpc::Link> up) { greet(id, up); },
                [this, id](const rpc::Arrived& frame) { arrived(id, frame); },
                [this, id] { core_.unlinked(id); });
}

void Sessions::greet(SessionId id, const std::shared_ptr<rpc::Link>& link) {
  std::string front;
  if (settings_.front) front = settings_.front->ip + ":" + std::to_string(settings_.front->port);
  link->tell(rpc::Handshake{"proxy", settings_.name, settings_.ip, settings_.zone, settings_.region,
                            incarnation_, front, settings_.linkMbps});
  carryOut(core_.linked(id, now()));
}

void Sessions::arrived(SessionId id, const rpc::Arrived& frame) {
  auto message = read(frame);
  if (!message) return;
  carryOut(core_.arrived(id, std::move(*message), now()));
  if (core_.currentIp() == currentIp_) return;
  currentIp_ = core_.currentIp();
  program::info("session", {{"registry", currentIp_}});
  if (hooks_.moved) hooks_.moved();
}

void Sessions::carryOut(const SessionEffects& effects) {
  for (const auto& effect : effects) std::visit([this](const auto& one) { carryOut(one); }, effect);
}

void Sessions::carryOut(const CloseSession& effect) {
  const auto found = dialers_.find(effect.id);
  if (found == dialers_.end()) return;
  found->second->close();
  dialers_.erase(found);
}

void Sessions::carryOut(const RestartLink& effect) {
  if (const auto open = link(effect.id)) open->close();
}

void Sessions::carryOut(const SendStatus& effect) {
  const auto open = link(effect.id);
  if (!open) return;
  rpc::Status status = hooks_.status();
  status.number = effect.number;
  open->tell(status);
}

void Sessions::carryOut(const rpc::UsageQuery& query) {
  rpc::UsageReport report = hooks_.usage();
  report.epoch = query.epoch;
  tell(rpc::frame(report));
}

std::shared_ptr<rpc::Link> Sessions::link(SessionId id) const {
  const auto found = dialers_.find(id);
  return found == dialers_.end() ? nullptr : found->second->link();
}

void Sessions::tell(const std::string& frame) {
  if (const auto open = link(core_.current())) open->send(frame);
}

}  // namespace burlwind::proxy
