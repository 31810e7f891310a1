#include "proxy/client_server.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http/body_size.hpp"
#include "program/listen.hpp"
#include "program/log.hpp"
#include "program/spawn.hpp"
#include "program/start.hpp"
#include "proxy/message_text.hpp"

namespace burlwind::proxy {
namespace {

using asio::redirect_error;
using asio::use_awaitable;
using program::now;

constexpr int kBacklog = 1024;
constexpr auto kAcceptPause = std::chrono::milliseconds(20);  // after an error: no descriptors
constexpr double kBodyWithinMs = 20000;                       // beside what a head may take
constexpr double kWriteWithinMs = 10000;
constexpr double kNoRoomRetryMs = 1000;  // until there may be room for a body again

using Parser = http::request_parser<http::string_body>;

bool expectsContinue(const Parser& parser) {
  return parser.is_header_done() && beast::iequals(parser.get()[http::field::expect], "100-continue");
}

// What the client did can be told to it: not the connection's end, but bytes that are no proper request.
bool isBadRequest(const Error& error) {
  if (error.category() != http::make_error_code(http::error::bad_version).category()) return false;
  return error != http::error::end_of_stream && error != http::error::partial_message;
}

unsigned statusOf(const Error& badRequest) {
  if (badRequest == http::error::header_limit) return 431;
  return badRequest == http::error::body_limit ? 413 : 400;
}

}  // namespace

ClientServer::ClientServer(asio::io_context& io, std::shared_ptr<Budget> bytes,
                           std::shared_ptr<DepartureFigures> departures,
                           std::shared_ptr<AnswerFigures> answers, Limits limits, Handler handler)
    : io_(io),
      bytes_(std::move(bytes)),
      departures_(std::move(departures)),
      answerFigures_(std::move(answers)),
      limits_(std::move(limits)),
      handler_(std::move(handler)),
      acceptor_(io) {}

ClientServer::~ClientServer() {
  for (const auto& connection : connections_) connection->abandon();
}

Error ClientServer::listen(const std::string& ip, std::uint16_t port) {
  const Error error = program::listenAt(acceptor_, ip, port, kBacklog);
  if (!error) program::spawn(io_, accept(), "accept clients");
  return error;
}

std::uint16_t ClientServer::port() const {
  Error ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void ClientServer::stopAccepting() {
  Error ignored;
  acceptor_.close(ignored);
}

void ClientServer::closeIdle() {
  for (const auto& connection : std::set<ConnectionPtr>(connections_))
    if (connection->idle) connection->close();
}

asio::awaitable<void> ClientServer::accept() {
  asio::steady_timer pause(io_);
  while (acceptor_.is_open()) {
    Error error;
    Tcp::socket socket = co_await acceptor_.async_accept(redirect_error(use_awaitable, error));
    if (!acceptor_.is_open()) co_return;
    if (error) {
      pause.expires_after(kAcceptPause);
      co_await pause.async_wait(redirect_error(use_awaitable, error));
      continue;
    }
    socket.set_option(Tcp::no_delay(true), error);
    auto connection = ClientConnection::create(std::move(socket), io_, bytes_);
    connections_.insert(connection);
    program::spawn(io_, serve(connection), "serve a client", [this, connection] {
      answerFigures_->exception();
      end(connection);
    });
  }
}

asio::awaitable<void> ClientServer::serve(ConnectionPtr connection) {
  for (bool goOn = true; goOn && connection->isOpen();) {
    ClientRequest request;
    request.bytes = &connection->bytes();
    request.client = connection->presence();
    const Read read = co_await readRequest(connection, request);
    if (read == Read::ended) {
      const bool leftMidway = !connection->idle && connection->isOpen();
      if (leftMidway) departures_->left(RequestKind::unrouted, RequestStage::reading);
      break;
    }
    connection->beginRequest();
    const ClientPresence& client = *request.client;
    if (read == Read::request && !client.left()) co_await handle(request);
    if (client.left()) {
      departures_->left(request.kind(), client.stageAtDeparture());
      break;
    }
    goOn = read == Read::request && request.message.keep_alive() && !closeBehindAnswers_;
    ++answers_[{request.answer.statusCode(),
                request.answer.fromWorker ? std::string_view("a worker's") : request.answer.reason}];
    request.client->enter(RequestStage::answering);
    const bool written = co_await writeAnswer(connection, request, !goOn);
    if (client.left()) departures_->left(request.kind(), client.stageAtDeparture());
    if (!written || client.left()) break;
    connection->endRequest();
  }
  end(connection);
}

void ClientServer::end(const ConnectionPtr& connection) {
  connection->close();
  connections_.erase(connection);
}

// What the handler throws ends the request alone: it may have run.
asio::awaitable<void> ClientServer::handle(ClientRequest& request) {
  try {
    co_await handler_(request);
    co_return;
  } catch (const std::exception& exception) {
    program::error("request ended by an exception", {{"why", exception.what()}});
  }
  answerFigures_->exception();
  request.answer.fromWorker.reset();
  request.answer.share.reset();
  request.answer.refuse(502, "its handling failed");
}

asio::awaitable<ClientServer::Read> ClientServer::readRequest(ConnectionPtr connection,
                                                              ClientRequest& request) {
  const config::ClientLimits limits = limits_();
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.header));
  parser.body_limit(std::min<std::uint64_t>(limits.body, kMostBody));
  auto& in = connection->input();
  connection->idle = in.size() == 0;
  bool toldToContinue = false;
  connection->closeAfter(connection->idle ? limits.idle : limits.headerRead);
  Error error;
  while (!parser.is_done()) {
    if (in.size() > 0 && feed(parser, in, error)) break;
    if (error) break;
    // What will not fit is refused by its head; what tells no length, once it does not fit any more.
    if (parser.is_header_done() && !connection->bytes().growTo(bytesToHold(parser))) {
      request.arrivedAt = now();
      request.answer.refuse(503, "too many bytes are held", kNoRoomRetryMs);
      co_return Read::refused;
    }
    if (!toldToContinue && expectsContinue(parser)) {
      toldToContinue = true;
      static const std::string go = "HTTP/1.1 100 Continue\r\n\r\n";
      error = co_await connection->write(asio::buffer(go));
    }
    error = co_await connection->moreInput();
    if (error) break;
    if (!connection->idle) continue;
    connection->idle = false;
    connection->closeAfter(limits.headerRead + kBodyWithinMs);
  }
  connection->keepOpen();
  if (!connection->isOpen()) co_return Read::ended;
  request.arrivedAt = now();
  if (error) {
    if (!isBadRequest(error)) co_return Read::ended;
    request.answer.refuse(statusOf(error), "it does not read");
    co_return Read::refused;
  }
  request.message = parser.release();
  if (plainFraming(request.message)) co_return Read::request;
  request.answer.refuse(400, "its length is told in two ways");
  co_return Read::refused;
}

asio::awaitable<bool> ClientServer::writeAnswer(ConnectionPtr connection, const ClientRequest& request,
                                                bool close) {
  const std::string text = clientAnswerText(request, close);
  AnswerFigures::Held held(answerFigures_, AnswerHolder::writing);
  const std::string_view body = workerBodyOf(request);
  held.set(text.capacity() + body.size());
  connection->closeAfter(kWriteWithinMs);
  const Error error = co_await connection->write(asio::buffer(text), asio::buffer(body));
  connection->keepOpen();
  co_return !error;
}

void ClientServer::report() {
  for (const auto& [what, count] : std::exchange(answers_, {}))
    program::info("answers", {{"status", what.first}, {"why", what.second}, {"count", count}});
}

}  // namespace burlwind::proxy
