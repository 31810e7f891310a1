#include "proxy/client_connection.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

#include "http/connection_end.hpp"
#include "program/start.hpp"

namespace burlwind::proxy {

using asio::redirect_error;
using asio::use_awaitable;

std::shared_ptr<ClientConnection> ClientConnection::create(Tcp::socket socket, asio::io_context& io,
                                                           std::shared_ptr<Budget> bytes) {
  std::shared_ptr<ClientConnection> connection(new ClientConnection(std::move(socket), io, std::move(bytes)));
  connection->presence_ = std::make_shared<ClientPresence>([weak = connection->weak_from_this()] {
    if (const auto self = weak.lock()) self->look();
  });
  return connection;
}

ClientConnection::ClientConnection(Tcp::socket socket, asio::io_context& io, std::shared_ptr<Budget> bytes)
    : socket_(std::move(socket)),
      deadline_(io),
      endCheck_(io),
      allBytes_(std::move(bytes)),
      bytes_(*allBytes_),
      readAheadBytes_(*allBytes_) {}

void ClientConnection::closeAfter(double ms) {
  deadline_.arm(ms, [weak = weak_from_this()] {
    if (const auto late = weak.lock()) late->close();
  });
}

void ClientConnection::close() {
  Error ignored;
  socket_.close(ignored);
  deadline_.disarm();
  endCheck_.disarm();
}

void ClientConnection::read() {
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(piece_),
      [self = shared_from_this()](const Error& error, std::size_t size) { self->readDone(error, size); });
}

void ClientConnection::readDone(const Error& error, std::size_t size) {
  reading_ = false;
  if (error) {
    noteEnd(error);
  } else {
    std::memcpy(input_.prepare(size).data(), piece_.data(), size);
    input_.commit(size);
  }
  if (handling_ && !end_) {
    if (mayReadAhead())
      read();
    else
      watchUnread();
  }
  if (const auto resume = std::exchange(resume_, nullptr)) resume();
}

bool ClientConnection::mayReadAhead() {
  return input_.size() + kReadStep <= kMaxReadAhead && readAheadBytes_.growTo(input_.size() + kReadStep);
}

void ClientConnection::watchUnread() {
  endCheck_.arm(kEndCheckMs, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || !self->handling_ || self->end_) return;
    self->look();
    if (!self->end_) self->watchUnread();
  });
}

// An end is seen here also behind bytes that are not read.
void ClientConnection::look() {
  if (end_ || peerHasEnded(socket_)) noteEnd(asio::error::eof);
}

void ClientConnection::noteEnd(const Error& error) {
  if (!end_) end_ = error;
  const bool closedHere = error == asio::error::operation_aborted;
  if (!handling_ || closedHere) return;
  presence_->noteLeft(program::now());
  close();
}

void ClientConnection::beginRequest() {
  handling_ = true;
  presence_->enter(RequestStage::routing);
  if (end_) return noteEnd(end_);
  if (reading_) return;
  if (mayReadAhead())
    read();
  else
    watchUnread();
}

void ClientConnection::endRequest() {
  handling_ = false;
  endCheck_.disarm();
  bytes_.shrinkTo(0);
  readAheadBytes_.shrinkTo(0);
}

asio::awaitable<Error> ClientConnection::moreInput() {
  if (!end_) {
    if (!reading_) read();
    co_await inputChanged();
  }
  co_return end_;
}

asio::awaitable<void> ClientConnection::inputChanged() {
  return asio::async_initiate<const asio::use_awaitable_t<>&, void()>(
      [this](auto handler) {
        auto waiting = std::make_shared<decltype(handler)>(std::move(handler));
        resume_ = [waiting] { (*waiting)(); };
      },
      use_awaitable);
}

asio::awaitable<Error> ClientConnection::write(asio::const_buffer head, asio::const_buffer body) {
  Error error;
  const std::array<asio::const_buffer, 2> text{head, body};
  co_await asio::async_write(socket_, text, redirect_error(use_awaitable, error));
  co_return error;
}

}  // namespace burlwind::proxy
