// The address where operators call: one HTTP/1.1 call to a connection (RFC 9112), answered at once, also
// while the clients' side is full. What a call does is decided elsewhere; this reads it, answers it and
// closes.
//
// It trusts its callers no more than any client: connections, bytes and time of each are bounded, the slowest
// caller makes room for the next, and what is malformed is told so and harms no other. Memory: at most
// `connections` times `bytes`. Descriptors: `connections` and one, kept back from the clients' side.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "http/http.hpp"

namespace burlwind::admin {

enum class Call : std::uint8_t { ready, metrics, drain, undrain };

struct Reply {
  http::status status = http::status::ok;
  std::string body;
  std::string allow;  // the methods there are, with 405
};

// What is called, or why nothing is: 404 for an unknown path, 405 for a wrong method.
struct Route {
  std::optional<Call> call;
  Reply refusal;  // where there is none
};
Route routeOf(http::verb method, std::string_view target);

class Server {
 public:
  struct Limits {
    std::size_t connections = 16;
    std::size_t headBytes = 8 * 1024;
    std::size_t bodyBytes = 4 * 1024;       // a call needs none
    std::chrono::milliseconds whole{2000};  // from connecting to the end of the call
    std::chrono::milliseconds linger{500};  // for the caller to take the answer
  };
  using Answerer = std::function<Reply(Call)>;

  Server(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& at, const Limits& limits,
         Answerer answerer);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void start();  // throws std::runtime_error, one line, if it cannot listen
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  using Connections = std::list<std::shared_ptr<Connection>>;  // the oldest first

  void accept();
  void remove(Connections::iterator place);

  const boost::asio::ip::tcp::endpoint at_;
  const Limits limits_;
  const Answerer answerer_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  Connections connections_;
};

}  // namespace burlwind::admin
