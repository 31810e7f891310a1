// Scripted peers over loopback sockets for the tests: they do as the test says. Everything runs in the test's
// own thread, and waits are for events, with a generous limit.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <sstream>

#include "http/http.hpp"

namespace burlwind::test {

using asio::ip::tcp;

// One end of a connection: what has come so far, and whether the other side has ended it.
class Peer : public std::enable_shared_from_this<Peer> {
 public:
  explicit Peer(tcp::socket socket) : socket_(std::move(socket)) {
    Error ignored;  // what is written in pieces goes out in pieces
    socket_.set_option(tcp::no_delay(true), ignored);
  }
  std::string got;
  bool ended = false;

  void read() {
    socket_.async_read_some(asio::buffer(piece_),
                            [self = shared_from_this(), this](const Error& error, std::size_t n) {
                              got.append(piece_.data(), n);
                              if (error)
                                ended = true;
                              else
                                read();
                            });
  }
  void send(const std::string& text) {
    Error ignored;  // the other side may have gone already
    asio::write(socket_, asio::buffer(text), ignored);
  }
  // As much as the connection takes at once.
  std::size_t sendSome(const std::string& text) {
    Error ignored;
    socket_.non_blocking(true, ignored);
    return socket_.send(asio::buffer(text), 0, ignored);
  }
  void end() { socket_.close(); }
  std::uint16_t peerPort() const { return socket_.remote_endpoint().port(); }
  bool has(const std::string& text) const { return got.find(text) != std::string::npos; }
  std::size_t count(const std::string& text) const {
    std::size_t n = 0;
    for (auto at = got.find(text); at != std::string::npos; at = got.find(text, at + 1)) ++n;
    return n;
  }

 private:
  tcp::socket socket_;
  std::array<char, 4096> piece_{};
};
using PeerPtr = std::shared_ptr<Peer>;

class Listener {
 public:
  explicit Listener(asio::io_context& io)
      : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    accept();
  }
  std::vector<PeerPtr> peers;

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::string text() const { return "127.0.0.1:" + std::to_string(address().port()); }
  std::size_t count(const std::string& what) const {
    std::size_t n = 0;
    for (const auto& peer : peers) n += peer->count(what);
    return n;
  }

 private:
  void accept() {
    acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<Peer>(std::move(socket)));
      peers.back()->read();
      accept();
    });
  }
  tcp::acceptor acceptor_;
};

// What discovery writes: the head of a watch's answer, and a piece of it.
inline const std::string kWatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
inline std::string chunk(const std::string& text) {
  std::ostringstream size;
  size << std::hex << text.size();
  return size.str() + "\r\n" + text + "\r\n";
}

inline std::string reply(const std::string& status, const std::string& body, const std::string& extra = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extra +
         "\r\n" + body;
}

class Loopback : public ::testing::Test {
 protected:
  using Condition = std::function<bool()>;

  // Runs until the condition holds; fails the test if it does not for a long time.
  void until(const Condition& holds, const char* what) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!holds()) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(100));
      ASSERT_LT(std::chrono::steady_clock::now(), limit) << "never: " << what;
    }
  }
  PeerPtr dial(const tcp::endpoint& to) {
    tcp::socket socket(io);
    socket.connect(to);
    const auto peer = std::make_shared<Peer>(std::move(socket));
    peer->read();
    return peer;
  }
  // A port at which nobody listens.
  std::string nobody() { return Listener(io).text(); }

  asio::io_context io{1};
};

}  // namespace burlwind::test
