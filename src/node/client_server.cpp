#include "node/client_server.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

namespace burlwind {
namespace {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr std::size_t kMostAhead = 16 * 1024;  // read of what follows a request that is held
constexpr auto kAcceptPause = 50ms;            // after an accept that failed for want of descriptors
constexpr auto kHalfSentAtStop = 500ms;        // what is left to a half-sent request once nobody accepts

std::string seconds(irisring::Time ms) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, ms / 1000, std::chars_format::fixed, 3).ptr;
  return std::string(text, end);
}

http::status statusOf(const Error& error) {
  if (error == http::error::body_limit) return http::status::payload_too_large;
  if (error == http::error::header_limit) return http::status::request_header_fields_too_large;
  return http::status::bad_request;
}

}  // namespace

// One client connection: one request at a time, in the order in which they come.
class ClientServer::Connection : public Asker, public std::enable_shared_from_this<Connection> {
 public:
  Connection(ClientServer& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(socket_.get_executor()) {}

  void start() {
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    listen();
    read();
  }

  void answer(const Answer& answer) override {
    if (state_ != State::held) return;
    http::response<http::string_body> message(answer.status, 11, answer.body);
    if (!answer.contentType.empty()) message.set(http::field::content_type, answer.contentType);
    if (answer.retryAfter > 0) message.set(http::field::retry_after, seconds(answer.retryAfter));
    last_ = last_ || server_.draining_;
    message.keep_alive(!last_);
    message.prepare_payload();
    state_ = State::answering;
    append(out_, message);
    write();
  }

  bool idle() const { return state_ == State::reading && !begun(); }
  Clock::time_point idleSince() const { return idleSince_; }

  void close() {
    if (state_ == State::closed) return;
    const bool held = state_ == State::held;
    abandon();
    const auto self = shared_from_this();
    server_.remove(self);
    if (held) server_.holder_.left(id_);
  }

  // Ends it and tells nobody.
  void abandon() {
    state_ = State::closed;
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
  }

  // Nobody accepts any more: ends a connection without a request, unless one has come unread.
  void finishUp() {
    Error error;
    if (idle() && socket_.available(error) == 0) return close();
    if (state_ == State::reading) arm(kHalfSentAtStop);
  }

 private:
  enum class State { reading, held, answering, lingering, closed };

  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (state_ != State::closed) handler(error, n);
    };
  }

  bool begun() const { return begun_ || in_.size() > 0; }

  void arm(std::chrono::milliseconds span) {
    timer_.expires_after(span);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error && timer_.expiry() <= Clock::now()) expire();
    }));
  }

  void expire() {
    if (state_ == State::reading && begun()) return reject({http::status::request_timeout, "too slow"});
    if (state_ != State::held) close();
  }

  // Ready for the next request.
  void listen() {
    state_ = State::reading;
    begun_ = false;
    idleSince_ = Clock::now();
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(kMostBody);
    parser_->header_limit(kMostHeader);
    arm(server_.limits_.idleFor);
    server_.accept();
  }

  // One read is pending in every state, so that the end of a client is seen while its request is held.
  void read() {
    reading_ = true;
    socket_.async_read_some(in_.prepare(kReadStep), guard([this](const Error& error, std::size_t n) {
                              reading_ = false;
                              if (error) return close();
                              in_.commit(n);
                              if (state_ == State::lingering) in_.clear();
                              if (state_ == State::reading) parse();
                              if (state_ != State::closed && in_.size() < kMostAhead) read();
                            }));
  }

  void parse() {
    if (!begun_ && in_.size() > 0) {
      begun_ = true;
      arm(server_.limits_.wholeWithin);
    }
    Error error;
    const bool done = feed(*parser_, in_, error);
    if (error) {
      last_ = true;
      return reject({statusOf(error), "malformed request"});
    }
    if (!done) return sendContinue();
    timer_.cancel();
    handle(parser_->release());
  }

  void sendContinue() {
    if (!parser_->is_header_done() || continued_) return;
    continued_ = true;
    if (!beast::iequals(parser_->get()[http::field::expect], "100-continue")) return;
    http::response<http::empty_body> message(http::status::continue_, 11);
    append(out_, message);
    write();
  }

  void handle(ClientMessage&& message) {
    continued_ = false;
    last_ = !message.keep_alive();
    if (message.target() == "/health/ready") return sayReady(message.method());
    const auto call = readCall(message, server_.config_);
    if (const auto* wrong = std::get_if<Rejection>(&call)) return reject(*wrong);
    state_ = State::held;
    id_ = server_.holder_.nextId();
    server_.holder_.take(id_, std::get<Call>(call), std::move(message), shared_from_this());
  }

  void sayReady(http::verb method) {
    if (method != http::verb::get) return reject({http::status::method_not_allowed, "only GET"});
    const bool ready = server_.holder_.ready() && !server_.draining_;
    reject({ready ? http::status::ok : http::status::service_unavailable, ready ? "ready" : "not ready"});
  }

  // An answer from here: the request never reaches the holder.
  void reject(const Rejection& why) {
    if (why.status == http::status::request_timeout) last_ = true;
    state_ = State::held;
    Answer text;
    text.status = why.status;
    text.body = std::string(why.why) + "\n";
    answer(text);
  }

  void write() {
    if (!writing_.empty()) return;
    writing_.swap(out_);
    if (state_ == State::answering) arm(server_.limits_.writeWithin);
    asio::async_write(socket_, asio::buffer(writing_), guard([this](const Error& error, std::size_t) {
                        if (error) return close();
                        written();
                      }));
  }

  void written() {
    writing_.clear();
    if (!out_.empty()) return write();
    if (state_ != State::answering) return;
    if (last_) return linger();
    listen();
    if (in_.size() > 0) parse();
    if (state_ != State::closed && !reading_ && in_.size() < kMostAhead) read();
  }

  // The answer's end is told at once; the connection goes when the client has seen it, so that bytes that it
  // was still sending do not reset what it has not read yet.
  void linger() {
    state_ = State::lingering;
    Error ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    in_.clear();
    arm(server_.limits_.lingerFor);
    if (!reading_) read();
  }

  ClientServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer in_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string out_, writing_;
  State state_ = State::reading;
  Clock::time_point idleSince_;
  irisring::RequestId id_ = 0;
  bool begun_ = false;      // a request's first byte has come
  bool continued_ = false;  // 100 Continue was considered
  bool last_ = false;       // the connection ends with the next answer
  bool reading_ = false;
};

ClientServer::ClientServer(asio::io_context& io, const Config& config, const Limits& limits, Holder& holder)
    : config_(config), limits_(limits), holder_(holder), acceptor_(io), pause_(io) {}

ClientServer::~ClientServer() {
  for (const auto& connection : connections_) connection->abandon();
}

void ClientServer::start() {
  try {
    acceptor_.open(config_.listen.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(config_.listen);
    acceptor_.listen();
    acceptor_.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(std::string("cannot listen: ") + error.what());
  }
  accept();
}

// At the limit an idle connection makes room for one that comes, but not before it does; where none is idle,
// the next one to turn idle or end does.
bool ClientServer::hasRoom() const { return connections_.size() < limits_.connections || oldestIdle(); }

void ClientServer::accept() {
  if (accepting_ || !hasRoom()) return;
  if (waiting_) return add(*std::exchange(waiting_, std::nullopt));
  if (!acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    accepting_ = false;
    if (error == asio::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system ||
        error == asio::error::no_buffer_space || error == asio::error::no_memory)
      return acceptLater();
    if (!error) waiting_ = std::move(socket);
    accept();
  });
}

// Out of descriptors: the connection stays in the machine's queue and would be reported again at once.
void ClientServer::acceptLater() {
  dropIdle();
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this](const Error& error) {
    if (!error) accept();
  });
}

void ClientServer::add(tcp::socket socket) {
  const auto connection = std::make_shared<Connection>(*this, std::move(socket));
  if (connections_.size() >= limits_.connections) dropIdle();
  connections_.insert(connection);
  connection->start();  // goes on to accept
}

void ClientServer::remove(const std::shared_ptr<Connection>& connection) {
  connections_.erase(connection);
  accept();
  if (connections_.empty() && !acceptor_.is_open() && done_) done_();
}

std::shared_ptr<ClientServer::Connection> ClientServer::oldestIdle() const {
  std::shared_ptr<Connection> oldest;
  for (const auto& connection : connections_)
    if (connection->idle() && (!oldest || connection->idleSince() < oldest->idleSince())) oldest = connection;
  return oldest;
}

void ClientServer::dropIdle() {
  if (const auto oldest = oldestIdle()) oldest->close();
}

void ClientServer::stopAccepting() {
  if (waiting_) add(*std::exchange(waiting_, std::nullopt));
  for (;;) {
    Error error;
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (error) break;
    add(std::move(socket));
  }
  Error ignored;
  acceptor_.close(ignored);
  pause_.cancel();
  for (const auto& connection : std::vector(connections_.begin(), connections_.end())) connection->finishUp();
}

void ClientServer::whenEmpty(std::function<void()> done) {
  done_ = std::move(done);
  if (connections_.empty() && !acceptor_.is_open()) done_();
}

}  // namespace burlwind
