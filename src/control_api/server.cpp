#include "control_api/server.hpp"

#include <picojson.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

#include "http/http.hpp"
#include "program/listen.hpp"

namespace burlwind::control_api {
namespace {

constexpr auto kIdle = std::chrono::seconds(10);
constexpr std::uint64_t kMostCall = 16 * 1024 * 1024;

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
  Connection(Tcp::socket s, asio::io_context& io) : socket(std::move(s)), timer(io) {}
  Tcp::socket socket;
  asio::steady_timer timer;
  void close() {
    Error ignored;
    socket.close(ignored);
    timer.cancel();
  }
  void within(std::chrono::steady_clock::duration span, const std::shared_ptr<Connection>& self) {
    timer.expires_after(span);
    timer.async_wait([self](const Error& error) {
      if (!error) self->close();
    });
  }
};

Server::Server(asio::io_context& io, Handler handler)
    : io_(io), handler_(std::move(handler)), acceptor_(io) {}
Server::~Server() = default;

boost::system::error_code Server::listen(const std::string& ip, std::uint16_t port) {
  const Error error = program::listenAt(acceptor_, ip, port, 512);
  if (!error) asio::co_spawn(io_, accept(), asio::detached);
  return error;
}

void Server::close() {
  Error ignored;
  acceptor_.close(ignored);
}

void Server::dropAll() {
  for (const auto& c : connections_) c->close();
}

asio::awaitable<void> Server::accept() {
  asio::steady_timer pause(io_);
  while (acceptor_.is_open()) {
    Error error;
    Tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (!acceptor_.is_open()) co_return;
    if (error) {
      pause.expires_after(std::chrono::milliseconds(50));
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    auto connection = std::make_shared<Connection>(std::move(socket), io_);
    connections_.insert(connection);
    asio::co_spawn(io_, serve(connection), asio::detached);
  }
}

asio::awaitable<void> Server::serve(std::shared_ptr<Connection> c) {
  beast::flat_buffer in;
  Error error;
  c->socket.set_option(Tcp::no_delay(true), error);
  for (bool goOn = true; goOn && c->socket.is_open();) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMostCall);
    c->within(kIdle, c);
    while (!parser.is_done()) {
      if (in.size() && feed(parser, in, error)) break;
      if (error) break;
      const auto room = in.prepare(8192);
      const std::size_t n =
          co_await c->socket.async_read_some(room, asio::redirect_error(asio::use_awaitable, error));
      if (error) break;
      in.commit(n);
    }
    if (error || !c->socket.is_open()) break;
    c->timer.cancel();
    const auto& request = parser.get();
    goOn = request.keep_alive();
    Call call = callOf(view(request.method_string()), view(request.target()));
    call.body = std::move(parser.get().body());
    const Reply reply = co_await handler_(std::move(call));
    if (!c->socket.is_open()) break;
    http::response<http::empty_body> head{static_cast<http::status>(reply.status), 11};
    if (!reply.body.empty()) head.set(http::field::content_type, "application/json");
    head.keep_alive(goOn);
    head.content_length(reply.body.size());
    std::string out;
    append(out, head);
    out += reply.body;
    c->within(kIdle, c);
    co_await asio::async_write(c->socket, asio::buffer(out),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
  }
  c->close();
  connections_.erase(c);
}

}  // namespace burlwind::control_api
