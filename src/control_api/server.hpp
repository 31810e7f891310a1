// A small HTTP/1.1 server for the calls of clients' lookups, operators and the platform: one coroutine a
// connection, one dispatch on method and path segments by its owner. Bodies are held whole, up to kMaxCall; a
// connection that is idle or slow for kIdleMs is closed.
//
// Properties:
//  - The calls of a connection are handled one after the other; an answer goes out before the next call is
//    handled, on the connection that the call came on, or not at all.
//  - After dropAll nothing is written on the connections that there were, and no call that was read from them
//    but not handled yet is handled: who has stood still must not act on what was sent before it woke.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "node/budget.hpp"

namespace burlwind::control_api {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

struct Call {
  std::string method;
  std::vector<std::string> segments;         // of the path, decoded
  std::map<std::string, std::string> query;  // decoded
  std::string body;
  bool keepAlive = true;  // the caller may send another one on the connection
  bool is(std::string_view verb, std::initializer_list<std::string_view> path) const;
  std::string asked(const char* name) const;
};
// Takes "/api/rpc?call=x" apart.
Call callOf(std::string_view method, std::string_view target);

constexpr std::string_view kMetricsType = "text/plain; version=0.0.4";  // Prometheus text format

struct Reply {
  explicit Reply(int s, std::string b = {}) : status(s), body(std::move(b)) {}
  int status;
  std::string body;  // may be empty
  std::string_view contentType = "application/json";
};

// Of the bodies of calls.
struct CallLimits {
  std::size_t maxBodyBytes = std::size_t{16} << 20;  // of one
  std::size_t maxHeldBytes = std::size_t{64} << 20;  // of all that are read or handled; past it 503
};
// Where calls carry no body.
constexpr CallLimits kSmallCalls{std::size_t{64} << 10, std::size_t{1} << 20};

class Server {
 public:
  using Handler = std::function<asio::awaitable<Reply>(Call)>;
  // Called between the reading of a call and its handling; it may call dropAll, and the call is then dropped.
  using BeforeCall = std::function<void()>;
  Server(asio::io_context& io, Handler handler, BeforeCall beforeCall = nullptr, CallLimits limits = {});
  ~Server();
  boost::system::error_code listen(const std::string& ip, std::uint16_t port);
  std::uint16_t port() const;  // that it listens at
  void close();                // takes no more connections
  void dropAll();              // ends every connection without an answer

 private:
  struct Connection;
  asio::awaitable<void> accept();
  void end(const std::shared_ptr<Connection>& connection);
  asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
  asio::awaitable<bool> readCall(std::shared_ptr<Connection> connection, Call& call, Budget::Share& bytes);
  static asio::awaitable<bool> writeReply(std::shared_ptr<Connection> connection, const Call& call,
                                          const Reply& reply);
  asio::io_context& io_;
  const Handler handler_;
  const BeforeCall beforeCall_;
  const CallLimits limits_;
  const std::shared_ptr<Budget> bytes_;  // of calls, whose coroutines may outlive this object
  Tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Connection>> connections_;
};

std::string message(std::string_view text);  // {"message":"..."}

}  // namespace burlwind::control_api
