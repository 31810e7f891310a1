#include "proxy/worker_side.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <utility>

#include "config/settings.hpp"
#include "http/connection_end.hpp"
#include "program/start.hpp"

namespace burlwind::proxy {
namespace {

using asio::redirect_error;
using asio::use_awaitable;
using program::now;

constexpr double kKeepUntoldMs = 4000;  // that a connection is kept where the worker tells no time
constexpr double kKeepPart = 0.5;       // of the time it tells
// A worker may forget idle connections without a word, and resets what is sent on them next. What has been
// sent may have run, so after one such loss requests that may run once go on connections of their own for a
// while; others are sent again.
constexpr double kAvoidIdleForMs = 10000;
constexpr double kIdleLookMs = 1000;  // between two looks at what has come on idle connections

// Anything there, its end or bytes that nobody asked for: not to be used.
bool nothingArrived(Tcp::socket& socket) {
  char byte = 0;
  const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// A worker that is gone without a word: bytes that nobody acknowledges, and probes where nothing is sent.
void detectSilentLoss(Tcp::socket& socket) {
  Error ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const int unacknowledgedMs = 700;
  const int on = 1;
  const int seconds = 1;
  const int probes = 2;
  const int fd = socket.native_handle();
  ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMs, sizeof unacknowledgedMs);
  ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void setReceiveBuffer(Tcp::socket& socket, std::size_t bytes) {
  Error ignored;
  socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
}

double keepTimeMs(const WorkerExchange::Response& response) {
  std::string_view text = view(response["Keep-Alive"]);
  while (!text.empty()) {
    auto part = cut(text, ',');
    if (!part.starts_with("timeout=")) continue;
    if (const auto seconds = number<unsigned>(part.substr(8))) return kKeepPart * 1000 * *seconds;
  }
  return kKeepUntoldMs;
}

}  // namespace

void WorkerSide::Connection::breakOff(EndedBy why) {
  if (!socket.is_open()) return;
  endedBy = why;
  closeDroppingQueued(socket);
  room.cancel();
}

void WorkerSide::sweep(double now) {
  if (now - lookedAt_ < kIdleLookMs) return idle_.sweep(now);
  lookedAt_ = now;
  idle_.sweep(now, [](const ConnectionPtr& connection) { return nothingArrived(connection->socket); });
}

void WorkerSide::closeAfter(const ConnectionPtr& connection, double ms) {
  connection->deadline.arm(ms, [weak = std::weak_ptr<Connection>(connection)] {
    if (const auto late = weak.lock()) late->breakOff(EndedBy::deadline);
  });
}

WorkerSide::ConnectionPtr WorkerSide::takeIdle(const WorkerCall& call) {
  if (call.request.tryId.empty()) return nullptr;
  if (call.runsOnce && now() < avoidIdleUntil_) return nullptr;
  const auto usable = [](const ConnectionPtr& connection) { return nothingArrived(connection->socket); };
  return idle_.take(call.worker, now(), usable).value_or(nullptr);
}

asio::awaitable<WorkerSide::ConnectionPtr> WorkerSide::connect(const WorkerCall& call, double withinMs) {
  const auto endpoint = config::endpointOf(call.address);
  if (!endpoint) co_return nullptr;
  Error error;
  const auto ip = asio::ip::make_address(endpoint->ip, error);
  if (error) co_return nullptr;
  auto connection = std::make_shared<Connection>(io_);
  closeAfter(connection, withinMs);
  const std::stop_callback giveUp(call.client->departure(),
                                  [&connection] { connection->breakOff(EndedBy::departure); });
  co_await connection->socket.async_connect({ip, endpoint->port}, redirect_error(use_awaitable, error));
  connection->deadline.disarm();
  if (error || !connection->socket.is_open()) co_return nullptr;
  detectSilentLoss(connection->socket);
  setReceiveBuffer(connection->socket, kAnswerReceiveBuffer);
  co_return connection;
}

// Writes the request and reads until the exchange is finished.
asio::awaitable<void> WorkerSide::transfer(ConnectionPtr connection, const WorkerCall& call,
                                           WorkerExchange& exchange, double withinMs) {
  Tcp::socket& socket = connection->socket;
  closeAfter(connection, withinMs);
  Error error;
  bool sending = true;
  // Only the end of the write tells whether the request was handed over whole: it may have been, and not be
  // known here yet.
  const auto leaveOrBreakOff = [&] {
    const bool withWorker = !sending && !error && unsentBytes(socket) == 0;
    if (!call.runsOnce || !withWorker) connection->breakOff(EndedBy::departure);
  };
  const std::stop_callback clientLeft(call.client->departure(), [&] {
    Error ignored;
    if (call.runsOnce && sending)
      socket.cancel(ignored);
    else
      leaveOrBreakOff();
  });
  call.client->enter(RequestStage::sending);
  const std::array<asio::const_buffer, 2> text{asio::buffer(call.head), call.body};
  const std::size_t written = co_await asio::async_write(socket, text, redirect_error(use_awaitable, error));
  sending = false;
  if (call.client->left()) leaveOrBreakOff();
  call.client->enter(RequestStage::atWorker);
  exchange.requestWritten(written, !error);
  noteOwnEnd(*connection, exchange);
  AnswerFigures::Held held(figures_, AnswerHolder::reading);
  while (!exchange.finished()) {
    if (!exchange.mayRead()) {
      co_await awaitRoom(connection, exchange, call.share);
      continue;
    }
    const std::size_t read =
        co_await socket.async_read_some(exchange.prepare(), redirect_error(use_awaitable, error));
    exchange.received(read);
    held.set(exchange.heldBytes());
    noteOwnEnd(*connection, exchange);
    if (error) exchange.connectionEnded();
  }
  connection->deadline.disarm();
  if (const auto bound = exchange.passedBound()) figures_->gaveUp(*bound, call.worker);
}

bool WorkerSide::takeRoom(Connection& connection, WorkerExchange& exchange, AnswerBudget::Share& share) {
  const auto length = exchange.lengthTold() ? AnswerBudget::Length::told : AnswerBudget::Length::untold;
  const std::size_t systemBytes = exchange.longBody() ? kLongReceiveBuffer : connection.systemBytes;
  if (!share.growTo(exchange.neededBytes() + systemBytes, length)) return false;
  if (connection.systemBytes < systemBytes) setReceiveBuffer(connection.socket, systemBytes);
  connection.systemBytes = systemBytes;
  exchange.grant(share.bytes() - connection.systemBytes);
  return true;
}

asio::awaitable<void> WorkerSide::awaitRoom(ConnectionPtr connection, WorkerExchange& exchange,
                                            std::shared_ptr<AnswerBudget::Share> share) {
  share->onRelease([weak = std::weak_ptr<Connection>(connection)] {
    if (const auto waiting = weak.lock()) waiting->room.cancel();
  });
  while (connection->socket.is_open() && !takeRoom(*connection, exchange, *share)) {
    if (share->neverFits(exchange.neededBytes() + kLongReceiveBuffer) || share->mustGiveWay()) {
      exchange.roomRefused();
      break;
    }
    Error woken;
    connection->room.expires_at(asio::steady_timer::time_point::max());
    co_await connection->room.async_wait(redirect_error(use_awaitable, woken));
  }
  share->onRelease(nullptr);
  noteOwnEnd(*connection, exchange);
}

// Where this side has ended the connection, the exchange is told why before it hears of the end.
void WorkerSide::noteOwnEnd(const Connection& connection, WorkerExchange& exchange) {
  if (connection.endedBy == EndedBy::deadline) exchange.deadlinePassed();
  if (connection.endedBy == EndedBy::departure) exchange.brokenOff();
}

void WorkerSide::keepOrClose(const ConnectionPtr& connection, const std::string& worker,
                             const WorkerExchange& exchange) {
  if (exchange.connectionReusable() && connection->socket.is_open()) {
    if (std::exchange(connection->systemBytes, kAnswerReceiveBuffer) > kAnswerReceiveBuffer)
      setReceiveBuffer(connection->socket, kAnswerReceiveBuffer);
    idle_.add(worker, connection, now(), keepTimeMs(exchange.response()));
    return;
  }
  Error ignored;
  connection->socket.close(ignored);
}

asio::awaitable<ExchangeResult> WorkerSide::exchange(WorkerCall call) {
  const double until = now() + call.withinMs;
  ExchangeResult result;
  while (true) {
    call.client->enter(RequestStage::connecting);
    if (call.client->leftNow()) co_return result;
    ConnectionPtr connection = takeIdle(call);
    const bool reused = connection != nullptr;
    if (!reused) {
      connection = co_await connect(call, std::min(call.connectWithin, until - now()));
      if (!connection) co_return result;
      if (call.client->leftNow()) {
        idle_.add(call.worker, connection, now(), kKeepUntoldMs);
        co_return result;
      }
    }
    if (now() >= until) co_return result;
    const double sentAt = now();
    call.request.grantedBytes = call.share->bytes() - connection->systemBytes;
    WorkerExchange exchange(call.request);
    co_await transfer(connection, call, exchange, until - sentAt);
    keepOrClose(connection, call.worker, exchange);
    // An idle connection that took nothing any more: another one does.
    if (reused && exchange.outcome() == ExchangeOutcome::notSent) continue;
    const bool forgotten = reused && exchange.outcome() == ExchangeOutcome::broken;
    if (forgotten && !exchange.anythingReceived()) avoidIdleUntil_ = now() + kAvoidIdleForMs;
    result.outcome = exchange.outcome();
    result.elapsedMs = now() - sentAt;
    result.skippedAnswers = exchange.skippedAnswers();
    call.share->shrinkTo(exchange.neededBytes() + connection->systemBytes);
    result.share = std::move(call.share);
    result.response = exchange.takeResponse();
    co_return result;
  }
}

}  // namespace burlwind::proxy
