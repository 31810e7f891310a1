// Links that this process keeps to one port of several machines: one each, dialled until closed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "rpc/link.hpp"

namespace burlwind::registry {

namespace asio = boost::asio;
using LinkPtr = std::shared_ptr<rpc::Link>;

class DialerSet {
 public:
  struct Hooks {
    std::function<void(const std::string& ip, const LinkPtr& link)> up;
    std::function<void(const std::string& ip, const rpc::Arrived& arrived)> arrived;
    std::function<void(const std::string& ip)> lost;  // may be empty
  };
  DialerSet(asio::io_context& io, std::uint16_t port, Hooks hooks);
  void dial(const std::string& ip);  // no-op where it is dialled already
  // Dials those that are not dialled yet and closes all others; of a link that is closed so, `lost` is
  // called.
  void keepOnly(const std::set<std::string>& ips);
  LinkPtr link(const std::string& ip) const;  // empty while there is none
  void broadcast(const std::string& frame);   // to all that are linked
  void close();
  // Logs the bytes sent to each since the start.
  void report(const char* what) const;

 private:
  asio::io_context& io_;
  const std::uint16_t port_;
  const Hooks hooks_;
  std::map<std::string, std::shared_ptr<rpc::Dialer>> dialers_;  // by ip
};

}  // namespace burlwind::registry
