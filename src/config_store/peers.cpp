#include "config_store/peers.hpp"

#include <utility>
#include <variant>

namespace burlwind::config_store {

Peers::Peers(rpc::asio::io_context& io, std::string ownIp, std::uint16_t port, OnUp up, OnFrame arrived)
    : io_(io), ownIp_(std::move(ownIp)), port_(port), up_(std::move(up)), arrived_(std::move(arrived)) {}

void Peers::dial(const std::string& ip) {
  if (ip == ownIp_ || dialers_.contains(ip)) return;
  auto dialer = std::make_shared<rpc::Dialer>(io_, ip, port_);
  dialers_[ip] = dialer;
  dialer->start(up_, arrived_, nullptr);
}

void Peers::learn(consensus::Id id, const std::string& ip, double now) {
  learnt_[id] = {ip, now};
  dial(ip);
}

void Peers::keepOnly(const std::set<std::string>& ips, double now) {
  std::set<std::string> kept = ips;
  std::erase_if(learnt_, [&](const auto& learnt) {
    if (now - learnt.second.at > kLearntFor && !ips.contains(learnt.second.ip)) return true;
    kept.insert(learnt.second.ip);
    return false;
  });
  std::erase_if(dialers_, [&](const auto& dialer) {
    if (kept.contains(dialer.first)) return false;
    dialer.second->close();
    return true;
  });
  std::erase_if(dialledBy_, [](const auto& link) { return link.second.expired(); });
}

void Peers::dialledBy(consensus::Id id, const LinkPtr& link) { dialledBy_[id] = link; }

void Peers::send(consensus::Id to, const consensus::Message& message,
                 const consensus::PersistentState& members) {
  const auto tell = [&](rpc::Link& link) { std::visit([&](const auto& m) { link.tell(m); }, message); };
  const auto found = dialers_.find(ipOf(to, members));
  if (found != dialers_.end() && found->second->link()) return tell(*found->second->link());
  // Whom this store has not reached yet may have reached it: after a loss of everything that is the sooner
  // way.
  const auto dialled = dialledBy_.find(to);
  const LinkPtr link = dialled == dialledBy_.end() ? nullptr : dialled->second.lock();
  if (link && link->open()) tell(*link);
}

std::string Peers::ipOf(consensus::Id id, const consensus::PersistentState& members) const {
  for (const auto* all : {&members.members, &members.former})
    for (const auto& member : *all)
      if (member.id == id) return member.ip;
  const auto found = learnt_.find(id);
  return found == learnt_.end() ? std::string() : found->second.ip;
}

void Peers::close() {
  for (auto& [ip, dialer] : dialers_) dialer->close();
}

}  // namespace burlwind::config_store
