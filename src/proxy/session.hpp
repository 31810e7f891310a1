// A proxy's sessions with the registries: links and messages. What they mean, and which of them comes into
// force, is decided in session_core.hpp.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "config/settings.hpp"
#include "proxy/session_core.hpp"
#include "rpc/link.hpp"
#include "rpc/messages.hpp"

namespace burlwind::proxy {

namespace asio = boost::asio;

class Sessions {
 public:
  struct Hooks {
    std::function<void(const rpc::ConfigUpdate&)> news;
    std::function<void(const rpc::Workers&)> workers;
    std::function<void(const rpc::Cores&)> cores;
    std::function<void(const rpc::TokenResponse&)> tokens;
    std::function<rpc::UsageReport()> usage;
    std::function<rpc::Status()> status;
    std::function<void()> moved;  // another registry's session counts from now on; may be empty
  };
  Sessions(asio::io_context& io, const config::Settings& settings, Hooks hooks);
  ~Sessions();
  void start();
  void adoptSeeds();     // those that the settings name now
  void tick(double at);  // each 100 ms
  bool inTouch(double now) const { return core_.inTouch(now); }
  distributed_quota::Contact contact(double now) const { return core_.contact(now); }
  void tell(const std::string& frame);  // on the session that counts
  void tellStatus();

 private:
  void open(SessionId id, const std::string& ip);
  void greet(SessionId id, const std::shared_ptr<rpc::Link>& link);
  void arrived(SessionId id, const rpc::Arrived& frame);
  void carryOut(const SessionEffects& effects);
  void carryOut(const OpenSession& effect) { open(effect.id, effect.ip); }
  void carryOut(const CloseSession& effect);
  void carryOut(const RestartLink& effect);
  void carryOut(const SendStatus& effect);
  void carryOut(const rpc::ConfigUpdate& update) { hooks_.news(update); }
  void carryOut(const rpc::Workers& workers) { hooks_.workers(workers); }
  void carryOut(const rpc::Cores& cores) { hooks_.cores(cores); }
  void carryOut(const rpc::TokenResponse& tokens) { hooks_.tokens(tokens); }
  void carryOut(const rpc::UsageQuery& query);
  std::shared_ptr<rpc::Link> link(SessionId id) const;  // empty while there is none

  asio::io_context& io_;
  const config::Settings& settings_;
  const Hooks hooks_;
  const std::uint64_t incarnation_;
  SessionCore core_;
  std::map<SessionId, std::shared_ptr<rpc::Dialer>> dialers_;
  std::string currentIp_;  // as logged
};

}  // namespace burlwind::proxy
