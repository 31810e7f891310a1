// A held connection between two of the system's own processes: frames in and out, in order. What waits to be
// sent is bounded (kMostWaiting); a peer that does not read is let go. A link that is silent for longer than
// its owner bears is closed by its owner: links keep no time themselves, but for TCP_USER_TIMEOUT, since a
// cut says nothing.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "rpc/frame.hpp"

namespace burlwind::rpc {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

// One frame of the largest, and what waits besides. A peer that takes nothing is let go sooner, by
// kUserTimeout.
constexpr std::size_t kMostWaiting = kMostFrame + std::size_t{4} * 1024 * 1024;  // bytes
constexpr int kUserTimeout = 1500;                                               // ms
// A machine without power says nothing, and the opening packet is sent again only after a second: asked anew,
// it answers as soon as it is up.
constexpr int kDialWithin = 350;  // ms
// The first tries are sooner: after a loss of everything all come up within a second, one by one.
constexpr int kSoonTries = 6, kSoonWithin = 220, kSoonPause = 60;  // ms

void harden(Tcp::socket& socket);  // no delay, TCP_USER_TIMEOUT; errors are ignored: the link then ends later

class Link : public std::enable_shared_from_this<Link> {
 public:
  using OnFrame = std::function<void(const Arrived&)>;
  using OnEnd = std::function<void()>;
  explicit Link(Tcp::socket socket);
  // Both are called from the loop, never from within start, send or close. `ended` comes once, and nothing
  // comes after it; close() brings it on unless it was `forget`.
  void start(OnFrame arrived, OnEnd ended);
  void send(std::string frame);
  template <class Message>
  void tell(const Message& message) {
    send(frame(message));
  }
  void close();
  void forget();  // closes, and nothing is called any more
  bool open() const { return open_; }
  std::uint64_t bytesOut() const { return out_; }

 private:
  void read();
  void write();
  void end();
  Tcp::socket socket_;
  OnFrame arrived_;
  OnEnd ended_;
  std::string in_;
  std::deque<std::string> waiting_;
  std::size_t waitingBytes_ = 0;
  std::uint64_t out_ = 0;
  bool open_ = true, writing_ = false;
};

// Keeps dialling one address until it is closed; each link that comes up is handed over. Pauses between tries
// grow to 800 ms.
class Dialer : public std::enable_shared_from_this<Dialer> {
 public:
  using OnUp = std::function<void(std::shared_ptr<Link>)>;
  Dialer(asio::io_context& io, std::string ip, std::uint16_t port);
  void start(OnUp up, Link::OnFrame arrived, Link::OnEnd down);
  void close();
  const std::shared_ptr<Link>& link() const { return link_; }  // empty while there is none
  const std::string& ip() const { return ip_; }
  // Bytes told to the other side over all links so far.
  std::uint64_t bytesOut() const { return before_ + (link_ ? link_->bytesOut() : 0); }

 private:
  void dial();
  void pause();
  asio::io_context& io_;
  const std::string ip_;
  const std::uint16_t port_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  OnUp up_;
  Link::OnFrame arrived_;
  Link::OnEnd down_;
  std::shared_ptr<Link> link_;
  std::uint64_t before_ = 0;  // bytes over links that have ended
  int tries_ = 0;             // since the last link, or the start
  bool closed_ = false;
};

// Takes links that others dial, starts them and holds them until they end.
class Acceptor {
 public:
  using LinkPtr = std::shared_ptr<Link>;
  using OnFrame = std::function<void(const LinkPtr&, const Arrived&)>;
  using OnEnd = std::function<void(const LinkPtr&)>;
  explicit Acceptor(asio::io_context& io) : acceptor_(io), retry_(io) {}
  // An error where the address can't be had.
  Error listen(const std::string& ip, std::uint16_t port, OnFrame arrived, OnEnd ended);
  void close();

 private:
  void accept();
  void take(const LinkPtr& link);
  Tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  OnFrame arrived_;
  OnEnd ended_;
  std::set<LinkPtr> links_;
};

}  // namespace burlwind::rpc
