#include "registry/proxy_sessions.hpp"

#include "program/log.hpp"

namespace burlwind::registry {
namespace {
constexpr double kSessionTimeout = 1500;  // ms: a proxy that says nothing for so long is gone
}

void ProxySessions::greet(const LinkPtr& link, const rpc::Handshake& handshake, double now) {
  for (auto& [other, session] : sessions_)
    if (session.seat.name == handshake.name && other != link) other->close();
  Session& session = sessions_[link];
  session.seat.name = handshake.name, session.seat.front = handshake.front;
  session.seat.zone = handshake.zone, session.seat.region = handshake.region;
  session.seat.incarnation = handshake.incarnation, session.seat.linkMbps = handshake.linkMbps;
  session.heard = now;
  session.number = ++numbers_;
  program::info("session", {{"proxy", handshake.name}});
  hooks_.welcome(link);
}

bool ProxySessions::arrived(const LinkPtr& link, const rpc::Arrived& arrived, double now) {
  const auto found = sessions_.find(link);
  if (found == sessions_.end()) return false;
  Session& session = found->second;
  session.heard = now;
  if (rpc::Status status; arrived.kind == rpc::kStatus && arrived.read(status)) {
    onStatus(link, session, status, now);
  } else if (rpc::TokenRequest request; arrived.kind == rpc::kTokenRequest && arrived.read(request)) {
    request.proxy = session.seat.name, request.incarnation = session.seat.incarnation;
    hooks_.demand(request);
  } else if (rpc::UsageReport report; arrived.kind == rpc::kUsageReport && arrived.read(report)) {
    report.proxy = session.seat.name, report.incarnation = session.seat.incarnation;
    hooks_.usage(report);
  }
  return true;
}

void ProxySessions::onStatus(const LinkPtr& link, Session& session, const rpc::Status& status, double now) {
  const rpc::ProxySession before = session.seat;
  session.index = status.index, session.workers = status.workers;
  session.seat.ready = status.ready, session.seat.age = status.age, session.seat.idle = status.idle;
  session.seat.ownPart = status.ownPart, session.seat.hasGrants = status.hasGrants, session.seat.told = 0;
  session.seat.granted = status.granted;
  session.seat.place(now);
  registry_.registerSession(session.seat, now, session.number);
  session.feed.heard(status);
  link->tell(session.feed.heartbeat(tracker_, now));
  if (const rpc::ConfigUpdate* const update = session.feed.due(tracker_, now)) link->tell(*update);
  if (!session.seat.sameAs(before)) hooks_.changed();
}

void ProxySessions::publish(double now) {
  std::string frame;
  for (auto& [link, session] : sessions_) {
    const rpc::ConfigUpdate* const update = session.feed.due(tracker_, now);
    if (!update) continue;
    if (frame.empty()) frame = rpc::frame(*update);
    link->send(frame);
  }
}

void ProxySessions::sendHeartbeats(double now) {
  for (auto& [link, session] : sessions_) link->tell(session.feed.heartbeat(tracker_, now));
}

void ProxySessions::ended(const LinkPtr& link, double now) {
  const auto found = sessions_.find(link);
  if (found == sessions_.end()) return;
  program::info("session ends", {{"proxy", found->second.seat.name}});
  registry_.deregisterSession(found->second.seat.name, found->second.number, now);
  sessions_.erase(found);
  hooks_.changed();
}

void ProxySessions::closeSilent(double now) {
  for (auto& [link, session] : sessions_) {
    if (now - session.heard > kSessionTimeout) link->close();
    presumeOwnPart(session, now);
  }
}

// Who hasn't been heard may have no answers either, and spends its own part: the holder must know in time.
void ProxySessions::presumeOwnPart(Session& session, double now) {
  if (session.seat.ownPart || now - session.seat.toldAt < kReportTimeout) return;
  session.seat.ownPart = true;
  registry_.registerSession(session.seat, now, session.number);
  hooks_.changed();
}

void ProxySessions::broadcast(const std::string& frame) {
  for (auto& [link, session] : sessions_) link->send(frame);
}

void ProxySessions::tell(const rpc::TokenResponse& response) {
  for (auto& [link, session] : sessions_)
    if (session.seat.name == response.proxy && session.seat.incarnation == response.incarnation)
      link->tell(response);
}

}  // namespace burlwind::registry
