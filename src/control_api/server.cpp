#include "control_api/server.hpp"

#include <picojson.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

#include "http/body_size.hpp"
#include "http/http.hpp"
#include "program/deadline.hpp"
#include "program/listen.hpp"
#include "program/spawn.hpp"

namespace burlwind::control_api {
namespace {

constexpr double kIdleMs = 10000;
constexpr std::size_t kReadBytes = 8192;
constexpr int kBacklog = 512;
constexpr auto kAcceptPause = std::chrono::milliseconds(50);  // after an error: no descriptors

std::string decoded(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned code = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ptr == text.data() + i + 3) {
      out.push_back(static_cast<char>(code));
      i += 2;
    } else {
      out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return out;
}

}  // namespace

bool Call::is(std::string_view verb, std::initializer_list<std::string_view> path) const {
  return method == verb && std::equal(segments.begin(), segments.end(), path.begin(), path.end());
}

std::string Call::asked(const char* name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

Call callOf(std::string_view method, std::string_view target) {
  Call out;
  out.method = method;
  const auto mark = target.find('?');
  std::string_view path = target.substr(0, mark);
  std::string_view query = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
  while (!path.empty()) {
    const auto part = cut(path, '/');
    if (!part.empty()) out.segments.push_back(decoded(part));
  }
  while (!query.empty()) {
    auto part = cut(query, '&');
    const auto name = cut(part, '=');
    if (!name.empty()) out.query[decoded(name)] = decoded(part);
  }
  return out;
}

std::string message(std::string_view text) {
  picojson::object out;
  out["message"] = picojson::value(std::string(text));
  return picojson::value(out).serialize();
}

struct Server::Connection {
  Connection(Tcp::socket s, asio::io_context& io) : socket(std::move(s)), deadline(io) {}
  Tcp::socket socket;
  program::Deadline deadline;
  beast::flat_buffer in;
  void close() {
    Error ignored;
    socket.close(ignored);
    deadline.disarm();
  }
  static void closeWhenIdle(const std::shared_ptr<Connection>& connection) {
    connection->deadline.arm(kIdleMs, [weak = std::weak_ptr<Connection>(connection)] {
      if (const auto idle = weak.lock()) idle->close();
    });
  }
};

Server::Server(asio::io_context& io, Handler handler, BeforeCall beforeCall, CallLimits limits)
    : io_(io),
      handler_(std::move(handler)),
      beforeCall_(std::move(beforeCall)),
      limits_(limits),
      bytes_(std::make_shared<Budget>(limits.maxHeldBytes)),
      acceptor_(io) {}
Server::~Server() = default;

boost::system::error_code Server::listen(const std::string& ip, std::uint16_t port) {
  const Error error = program::listenAt(acceptor_, ip, port, kBacklog);
  if (!error) program::spawn(io_, accept(), "accept calls");
  return error;
}

std::uint16_t Server::port() const {
  Error ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void Server::close() {
  Error ignored;
  acceptor_.close(ignored);
}

void Server::dropAll() {
  for (const auto& connection : connections_) connection->close();
}

asio::awaitable<void> Server::accept() {
  asio::steady_timer pause(io_);
  while (acceptor_.is_open()) {
    Error error;
    Tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (!acceptor_.is_open()) co_return;
    if (error) {
      pause.expires_after(kAcceptPause);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    socket.set_option(Tcp::no_delay(true), error);
    auto connection = std::make_shared<Connection>(std::move(socket), io_);
    connections_.insert(connection);
    program::spawn(io_, serve(connection), "serve a call", [this, connection] { end(connection); });
  }
}

asio::awaitable<void> Server::serve(std::shared_ptr<Connection> connection) {
  const std::shared_ptr<Budget> bytes = bytes_;
  for (bool goOn = true; goOn;) {
    Call call;
    Budget::Share held(*bytes);
    const bool read = co_await readCall(connection, call, held);
    if (read && beforeCall_) beforeCall_();
    if (!read || !connection->socket.is_open()) break;
    const Reply reply = co_await handler_(call);
    if (!connection->socket.is_open()) break;
    const bool written = co_await writeReply(connection, call, reply);
    goOn = written && call.keepAlive;
  }
  end(connection);
}

void Server::end(const std::shared_ptr<Connection>& connection) {
  connection->close();
  connections_.erase(connection);
}

// One whole call; false: the connection is to end.
asio::awaitable<bool> Server::readCall(std::shared_ptr<Connection> connection, Call& call,
                                       Budget::Share& bytes) {
  http::request_parser<http::string_body> parser;
  parser.body_limit(limits_.maxBodyBytes);
  Connection::closeWhenIdle(connection);
  auto& in = connection->in;
  Error error;
  while (!parser.is_done()) {
    if (in.size() > 0 && feed(parser, in, error)) break;
    if (error) break;
    if (parser.is_header_done() && !bytes.growTo(bytesToHold(parser))) {
      call.keepAlive = false;
      co_await writeReply(connection, call, Reply(503, message("too many bytes are held")));
      co_return false;
    }
    const std::size_t read = co_await connection->socket.async_read_some(
        in.prepare(kReadBytes), asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    in.commit(read);
  }
  if (error || !connection->socket.is_open()) co_return false;
  connection->deadline.disarm();
  auto& request = parser.get();
  call = callOf(view(request.method_string()), view(request.target()));
  call.keepAlive = request.keep_alive();
  call.body = std::move(request.body());
  co_return true;
}

asio::awaitable<bool> Server::writeReply(std::shared_ptr<Connection> connection, const Call& call,
                                         const Reply& reply) {
  http::response<http::empty_body> head{static_cast<http::status>(reply.status), 11};
  if (!reply.body.empty())
    head.set(http::field::content_type, {reply.contentType.data(), reply.contentType.size()});
  head.keep_alive(call.keepAlive);
  head.content_length(reply.body.size());
  std::string out;
  append(out, head);
  if (call.method != "HEAD") out += reply.body;
  Connection::closeWhenIdle(connection);
  Error error;
  co_await asio::async_write(connection->socket, asio::buffer(out),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

}  // namespace burlwind::control_api
