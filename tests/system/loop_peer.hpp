// Peers on loopback that live in the loop of what is tested: nothing waits for time, everything for words.
#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>

namespace burlwind::loop {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

inline void runUntil(asio::io_context& io, const std::function<bool()>& done) {
  while (!done()) {
    io.restart();
    io.run_one();
  }
}

class Peer {
 public:
  explicit Peer(asio::io_context& io) : io_(io), socket(io) {}
  Peer(asio::io_context& io, std::uint16_t port) : Peer(io) {
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
  }
  void say(const std::string& text) { asio::write(socket, asio::buffer(text)); }
  // Until the other end's system has all that was said; its program has read none of it yet.
  void awaitDelivery() {
    for (int unacknowledged = 1; unacknowledged > 0;)
      if (::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) != 0) return;
  }
  // What comes until `bytes` of it are there, or the connection ends.
  std::string hears(std::size_t bytes) {
    std::string text(bytes, '\0');
    bool done = false;
    asio::async_read(socket, asio::buffer(text), [&](const Error&, std::size_t read) {
      text.resize(read);
      done = true;
    });
    runUntil(io_, [&] { return done; });
    return text;
  }
  std::string hearsAll() { return hears(1 << 16); }
  // One head without a body; empty: the connection has ended.
  std::string hearsHead() {
    std::string text;
    bool done = false;
    asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n",
                           [&](const Error& error, std::size_t) {
                             if (error) text.clear();
                             done = true;
                           });
    runUntil(io_, [&] { return done; });
    return text;
  }
  void reset() {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }

 private:
  asio::io_context& io_;

 public:
  Tcp::socket socket;
};

}  // namespace burlwind::loop
