#include "scale_run/operator_call.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>

namespace burlwind::scale_run {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto kAnswerWithin = std::chrono::seconds(5);
constexpr std::string_view kBeforeStatus = "HTTP/1.1 ";

int statusOf(const std::string& head) {
  int status = 0;
  if (head.starts_with(kBeforeStatus))
    std::from_chars(head.data() + kBeforeStatus.size(), head.data() + head.size(), status);
  return status;
}

}  // namespace

asio::awaitable<int> callOperator(asio::io_context& io, config::Endpoint at, std::string call,
                                  const std::string& body) {
  boost::system::error_code error;
  Tcp::socket socket(io);
  asio::steady_timer timer(io);
  timer.expires_after(kAnswerWithin);
  timer.async_wait([&socket](const boost::system::error_code& stopped) {
    boost::system::error_code ignored;
    if (!stopped) socket.close(ignored);
  });
  const Tcp::endpoint endpoint(asio::ip::make_address(at.ip, error), at.port);
  co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
  const std::string request =
      "POST /api/rpc?call=" + call + " HTTP/1.1\r\nHost: " + at.ip +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
      body;
  if (!error)
    co_await asio::async_write(socket, asio::buffer(request),
                               asio::redirect_error(asio::use_awaitable, error));
  std::string head(4096, '\0');
  std::size_t held = 0;
  while (!error && held < head.size() && head.find("\r\n\r\n") == std::string::npos) {
    const auto free = asio::buffer(head.data() + held, head.size() - held);
    held += co_await socket.async_read_some(free, asio::redirect_error(asio::use_awaitable, error));
  }
  timer.cancel();
  co_return error ? 0 : statusOf(head);
}

}  // namespace burlwind::scale_run
