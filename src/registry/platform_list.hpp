// Reads the platform's list of workers: all its pages, over one kept connection.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "rpc/messages.hpp"

namespace burlwind::registry {

class PlatformList {
 public:
  explicit PlatformList(boost::asio::io_context& io) : socket_(io), timer_(io) {}
  using Workers = std::map<std::string, rpc::Worker>;
  // `at`: another address than before ends the connection that was kept. Nothing where it can't be read
  // whole; `why` says so. At most `within` ms.
  boost::asio::awaitable<std::optional<Workers>> read(config::Endpoint at, double within, std::string& why);
  std::size_t calls() const { return calls_; }
  std::size_t pages() const { return pages_; }     // of the last list
  double connectMs() const { return connectMs_; }  // of the last connection

 private:
  boost::asio::awaitable<std::optional<std::string>> get(std::string target, std::string& why);
  config::Endpoint at_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::size_t calls_ = 0, pages_ = 1;
  double connectMs_ = 0;
};

// One page; false where it does not read. `next`: the page after it, empty on the last.
bool readPage(const std::string& body, PlatformList::Workers& into, std::string& next, std::string& fault);

}  // namespace burlwind::registry
