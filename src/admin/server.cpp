#include "admin/server.hpp"

#include <boost/asio/write.hpp>
#include <stdexcept>
#include <utility>

namespace burlwind::admin {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto kAcceptPause = 20ms;  // after an accept that failed for want of descriptors
constexpr int kBacklog = 128;

struct Known {
  std::string_view path;
  http::verb method;
  Call call;
};
constexpr Known kCalls[] = {{"/ready", http::verb::get, Call::ready},
                            {"/metrics", http::verb::get, Call::metrics},
                            {"/drain", http::verb::post, Call::drain},
                            {"/undrain", http::verb::post, Call::undrain}};

Reply refusal(http::status status, std::string what, std::string allow = {}) {
  return {status, std::move(what) + "\n", std::move(allow)};
}

Reply malformed(const Error& error) {
  if (error == http::error::header_limit)
    return refusal(http::status::request_header_fields_too_large, "the head is too long");
  if (error == http::error::body_limit)
    return refusal(http::status::payload_too_large, "the body is too long");
  return refusal(http::status::bad_request, "malformed call");
}

}  // namespace

Route routeOf(http::verb method, std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Known& known : kCalls) {
    if (known.path != path) continue;
    if (known.method == method) return {known.call, {}};
    const std::string_view allow = view(http::to_string(known.method));
    return {std::nullopt,
            refusal(http::status::method_not_allowed, "only " + std::string(allow), std::string(allow))};
  }
  return {std::nullopt, refusal(http::status::not_found, "no such call")};
}

// One call: read, answered, and closed once its caller has taken the answer.
class Server::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Server& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(socket_.get_executor()) {
    parser_.header_limit(static_cast<std::uint32_t>(server.limits_.headBytes));
    parser_.body_limit(server.limits_.bodyBytes);
  }

  void start(Connections::iterator place) {
    place_ = place;
    arm(server_.limits_.whole);
    read();
  }

  // Ends it and tells nobody.
  void abandon() {
    closed_ = true;
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
  }

 private:
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (!closed_) handler(error, n);
    };
  }

  void close() { server_.remove(place_); }

  void arm(std::chrono::milliseconds span) {
    timer_.expires_after(span);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (error) return;
      if (answered_) return close();
      answer(refusal(http::status::request_timeout, "too slow"));
    }));
  }

  // One read is pending until the end, which tells when the caller has gone.
  void read() {
    socket_.async_read_some(in_.prepare(kReadStep), guard([this](const Error& error, std::size_t n) {
                              if (error) return close();
                              in_.commit(n);
                              if (answered_)
                                in_.clear();
                              else
                                parse();
                              read();
                            }));
  }

  void parse() {
    Error error;
    const bool head = parser_.is_header_done() || feed(parser_, in_, error, Feed::head);
    if (error || (head && !plainFraming(parser_.get()))) return answer(malformed(error));
    if (!head) return;
    const bool whole = feed(parser_, in_, error);
    if (error) return answer(malformed(error));
    if (!whole) return;
    const Route route = routeOf(parser_.get().method(), view(parser_.get().target()));
    answer(route.call ? server_.answerer_(*route.call) : route.refusal);
  }

  void answer(Reply&& reply) {
    answered_ = true;
    http::response<http::empty_body> head(reply.status, 11);
    head.set(http::field::content_type, "text/plain");
    if (!reply.allow.empty()) head.set(http::field::allow, reply.allow);
    head.keep_alive(false);
    head.content_length(reply.body.size());
    append(out_, head);
    if (parser_.get().method() != http::verb::head) out_ += reply.body;
    arm(server_.limits_.linger);
    asio::async_write(socket_, asio::buffer(out_), guard([this](const Error& error, std::size_t) {
                        if (error) return close();
                        Error ignored;
                        socket_.shutdown(tcp::socket::shutdown_send, ignored);
                      }));
  }
  void answer(const Reply& reply) { answer(Reply(reply)); }

  Server& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  Connections::iterator place_;
  beast::flat_buffer in_;
  http::request_parser<http::string_body> parser_;
  std::string out_;
  bool answered_ = false;
  bool closed_ = false;
};

Server::Server(asio::io_context& io, const tcp::endpoint& at, const Limits& limits, Answerer answerer)
    : at_(at), limits_(limits), answerer_(std::move(answerer)), acceptor_(io), pause_(io) {}

Server::~Server() {
  for (const auto& connection : connections_) connection->abandon();
}

void Server::start() {
  try {
    acceptor_.open(at_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.set_option(tcp::acceptor::receive_buffer_size(kReceiveBuffer));
    acceptor_.bind(at_);
    acceptor_.listen(kBacklog);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("the operators' address: cannot listen at " + at_.address().to_string() + ":" +
                             std::to_string(at_.port()) + ": " + error.code().message());
  }
  accept();
}

void Server::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      pause_.expires_after(kAcceptPause);
      pause_.async_wait([this](const Error& cancelled) {
        if (!cancelled) accept();
      });
      return;
    }
    // The one that has taken longest makes room: a call takes a moment, so it is likeliest never to end.
    if (connections_.size() >= limits_.connections) remove(connections_.begin());
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    connections_.back()->start(std::prev(connections_.end()));
    accept();
  });
}

void Server::remove(Connections::iterator place) {
  const auto connection = *place;
  connections_.erase(place);
  connection->abandon();
}

}  // namespace burlwind::admin
