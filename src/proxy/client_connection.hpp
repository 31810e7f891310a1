// One connection from a client. A read is pending on it also while a request is handled, so that its end is
// seen in every state; that read serves the next request, and costs no system call of its own.
//
// What comes meanwhile is read ahead, up to kMaxReadAhead and within the process's bytes. At the bound
// reading pauses, and the connection is looked at each kEndCheckMs instead: an end behind bytes that are not
// read is seen as long as the system's own buffer has taken these.
//
// A client that only shuts its sending side can't be told from one that closed: either has left. Its
// connection is closed at once, and what it sent behind the request at work is not handled.
#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "http/http.hpp"
#include "node/budget.hpp"
#include "program/deadline.hpp"
#include "proxy/client_presence.hpp"

namespace burlwind::proxy {

using Tcp = asio::ip::tcp;

constexpr std::size_t kMaxReadAhead = 4 * kReadStep;  // bytes behind a request that is handled
constexpr double kEndCheckMs = 100;

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  static std::shared_ptr<ClientConnection> create(Tcp::socket socket, asio::io_context& io,
                                                  std::shared_ptr<Budget> bytes);

  // Waits until more has been read, or the connection has ended: then its error. One caller at a time.
  asio::awaitable<Error> moreInput();
  // Both, one behind the other; they outlive the call.
  asio::awaitable<Error> write(asio::const_buffer head, asio::const_buffer body = {});
  // While a request is handled and answered: notes the client's departure.
  void beginRequest();
  void endRequest();
  void closeAfter(double ms);
  void keepOpen() { deadline_.disarm(); }
  void close();
  // Destroys the coroutine that waits for input, if there is one.
  void abandon() { resume_ = nullptr; }

  bool isOpen() const { return socket_.is_open(); }
  beast::flat_buffer& input() { return input_; }  // read, and not yet part of a request
  Budget::Share& bytes() { return bytes_; }       // of the request at work
  const std::shared_ptr<ClientPresence>& presence() const { return presence_; }
  bool idle = true;  // no byte of a request has come

 private:
  ClientConnection(Tcp::socket socket, asio::io_context& io, std::shared_ptr<Budget> bytes);
  void read();
  void readDone(const Error& error, std::size_t size);
  bool mayReadAhead();
  void watchUnread();
  void look();
  void noteEnd(const Error& error);
  asio::awaitable<void> inputChanged();

  Tcp::socket socket_;
  program::Deadline deadline_;
  program::Deadline endCheck_;
  const std::shared_ptr<Budget> allBytes_;
  Budget::Share bytes_;
  Budget::Share readAheadBytes_;
  beast::flat_buffer input_;
  std::array<char, kReadStep> piece_{};  // of the pending read
  std::shared_ptr<ClientPresence> presence_;
  std::function<void()> resume_;  // of who waits for input
  Error end_;                     // why nothing more is read
  bool reading_ = false;
  bool handling_ = false;  // a request is handled
};

}  // namespace burlwind::proxy
