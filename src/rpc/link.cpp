#include "rpc/link.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "program/listen.hpp"
#include "rpc/traffic.hpp"

namespace burlwind::rpc {
namespace {

constexpr std::size_t kReadAhead = 16384;  // bytes

}  // namespace

void harden(Tcp::socket& socket) {
  Error ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const int ms = kUserTimeout;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

Link::Link(Tcp::socket socket) : socket_(std::move(socket)) { harden(socket_); }

void Link::start(OnFrame arrived, OnEnd ended) {
  arrived_ = std::move(arrived), ended_ = std::move(ended);
  read();
}

void Link::read() {
  const std::size_t held = in_.size();
  in_.resize(held + kReadAhead);
  socket_.async_read_some(asio::buffer(in_.data() + held, in_.size() - held),
                          [this, self = shared_from_this(), held](const Error& error, std::size_t n) {
                            in_.resize(held + n);
                            if (error || !open_) return end();
                            std::size_t from = 0;
                            std::size_t before = 0;
                            Arrived one;
                            for (Cut cut; open_ && (cut = cutFrame(in_, from, one)) != Cut::more;) {
                              if (cut == Cut::broken) return end();
                              traffic().count(Traffic::Direction::in, one.kind, from - before);
                              before = from;
                              if (arrived_) arrived_(one);
                            }
                            in_.erase(0, from);
                            if (!open_) return end();
                            read();
                          });
}

void Link::send(std::string frame) {
  if (!open_) return;
  waitingBytes_ += frame.size();
  out_ += frame.size();
  traffic().count(Traffic::Direction::out, kindOf(frame), frame.size());
  waiting_.push_back(std::move(frame));
  if (waitingBytes_ > kMostWaiting) return close();
  if (!writing_) write();
}

// All that waits goes out in one call: fewer wake-ups, fewer packets.
void Link::write() {
  if (waiting_.empty() || !open_) return;
  writing_ = true;
  auto batch = std::make_shared<std::string>();
  for (std::string& one : waiting_) batch->append(one);
  waiting_.clear();
  asio::async_write(socket_, asio::buffer(*batch),
                    [this, self = shared_from_this(), batch](const Error& error, std::size_t) {
                      writing_ = false;
                      waitingBytes_ -= std::min(waitingBytes_, batch->size());
                      if (error) return close();
                      write();
                    });
}

void Link::close() {
  if (!open_) return;
  open_ = false;
  Error ignored;
  socket_.close(ignored);  // the pending read ends, and with it comes `ended`
}

void Link::forget() {
  arrived_ = nullptr, ended_ = nullptr;
  close();
}

void Link::end() {
  close();
  arrived_ = nullptr;
  if (auto ended = std::move(ended_)) {
    ended_ = nullptr;
    ended();
  }
}

Dialer::Dialer(asio::io_context& io, std::string ip, std::uint16_t port)
    : io_(io), ip_(std::move(ip)), port_(port), socket_(io), timer_(io) {}

void Dialer::start(OnUp up, Link::OnFrame arrived, Link::OnEnd down) {
  up_ = std::move(up), arrived_ = std::move(arrived), down_ = std::move(down);
  dial();
}

void Dialer::close() {
  closed_ = true;
  timer_.cancel();
  Error ignored;
  socket_.close(ignored);
  if (link_) link_->forget();
  link_.reset();
}

void Dialer::dial() {
  if (closed_) return;
  Error error;
  const auto ip = asio::ip::make_address(ip_, error);
  if (error) return;
  socket_ = Tcp::socket(io_);
  auto done = std::make_shared<bool>(false);
  timer_.expires_after(std::chrono::milliseconds(tries_ < kSoonTries ? kSoonWithin : kDialWithin));
  timer_.async_wait([this, self = shared_from_this(), done](const Error& stopped) {
    if (stopped || *done) return;
    Error ignored;
    socket_.close(ignored);
  });
  socket_.async_connect({ip, port_}, [this, self = shared_from_this(), done](const Error& refused) {
    *done = true;
    timer_.cancel();
    if (closed_) return;
    if (refused) return pause();
    tries_ = 0;
    link_ = std::make_shared<Link>(std::move(socket_));
    link_->start(arrived_, [this, self] {
      before_ += link_->bytesOut();
      link_.reset();
      if (closed_) return;
      if (down_) down_();
      pause();
    });
    up_(link_);
  });
}

void Dialer::pause() {
  if (closed_) return;
  const int grown = 100 << std::clamp(tries_ - kSoonTries, 0, 3);
  timer_.expires_after(std::chrono::milliseconds(tries_ < kSoonTries ? kSoonPause : grown));
  ++tries_;
  timer_.async_wait([this, self = shared_from_this()](const Error& error) {
    if (!error) dial();
  });
}

Error Acceptor::listen(const std::string& ip, std::uint16_t port, OnFrame arrived, OnEnd ended) {
  arrived_ = std::move(arrived), ended_ = std::move(ended);
  const Error error = program::listenAt(acceptor_, ip, port, 512);
  if (!error) accept();
  return error;
}

void Acceptor::close() {
  Error ignored;
  acceptor_.close(ignored);
}

void Acceptor::take(const LinkPtr& link) {
  links_.insert(link);
  link->start(
      [this, weak = std::weak_ptr<Link>(link)](const Arrived& arrived) {
        if (const auto l = weak.lock()) arrived_(l, arrived);
      },
      [this, weak = std::weak_ptr<Link>(link)] {
        const auto l = weak.lock();
        if (!l) return;
        ended_(l);
        links_.erase(l);
      });
}

void Acceptor::accept() {
  acceptor_.async_accept([this](const Error& error, Tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (error) {  // no descriptors: what waits is taken a little later
      retry_.expires_after(std::chrono::milliseconds(50));
      retry_.async_wait([this](const Error& stopped) {
        if (!stopped) accept();
      });
      return;
    }
    take(std::make_shared<Link>(std::move(socket)));
    accept();
  });
}

}  // namespace burlwind::rpc
