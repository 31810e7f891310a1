#include "registry/dialer_set.hpp"

#include <utility>

#include "program/log.hpp"

namespace burlwind::registry {

DialerSet::DialerSet(asio::io_context& io, std::uint16_t port, Hooks hooks)
    : io_(io), port_(port), hooks_(std::move(hooks)) {}

void DialerSet::dial(const std::string& ip) {
  if (dialers_.contains(ip)) return;
  auto dialer = std::make_shared<rpc::Dialer>(io_, ip, port_);
  dialers_[ip] = dialer;
  rpc::Link::OnEnd lost;
  if (hooks_.lost) lost = [this, ip] { hooks_.lost(ip); };
  dialer->start([this, ip](LinkPtr link) { hooks_.up(ip, link); },
                [this, ip](const rpc::Arrived& arrived) { hooks_.arrived(ip, arrived); }, std::move(lost));
}

void DialerSet::keepOnly(const std::set<std::string>& ips) {
  for (auto it = dialers_.begin(); it != dialers_.end();) {
    if (ips.contains(it->first)) {
      ++it;
      continue;
    }
    const std::string ip = it->first;
    const bool wasLinked = it->second->link() != nullptr;
    it->second->close();
    it = dialers_.erase(it);
    if (wasLinked && hooks_.lost) hooks_.lost(ip);
  }
  for (const std::string& ip : ips) dial(ip);
}

LinkPtr DialerSet::link(const std::string& ip) const {
  const auto found = dialers_.find(ip);
  return found == dialers_.end() ? nullptr : found->second->link();
}

void DialerSet::broadcast(const std::string& frame) {
  for (auto& [ip, dialer] : dialers_)
    if (dialer->link()) dialer->link()->send(frame);
}

void DialerSet::close() {
  for (const auto& [ip, dialer] : dialers_) dialer->close();
}

void DialerSet::report(const char* what) const {
  for (const auto& [ip, dialer] : dialers_)
    program::info("sent", {{what, ip}, {"bytes", dialer->bytesOut()}});
}

}  // namespace burlwind::registry
