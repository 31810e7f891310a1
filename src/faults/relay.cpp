#include "faults/relay.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "http/http.hpp"

namespace burlwind::faults {
namespace {

using asio::ip::tcp;

constexpr int kBacklog = 512;
constexpr std::size_t kStep = 16 * 1024;

void resetSocket(tcp::socket& socket) {
  Error ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

// One connection: a socket on each side, a stream in each direction.
class Relay::Passage : public std::enable_shared_from_this<Passage> {
 public:
  Passage(Relay& relay, tcp::socket near, std::uint64_t number)
      : relay_(&relay),
        near_(std::move(near)),
        far_(relay.io_),
        out_(*this, near_, far_, Direction::out, number),
        back_(*this, far_, near_, Direction::back, number) {}

  void start() {
    Error ignored;
    near_.set_option(tcp::no_delay(true), ignored);
    far_.async_connect(relay_->target_, [self = shared_from_this(), this](const Error& error) {
      if (!relay_) return;
      if (error) {
        tell(What::farRefused);
        return end(true);
      }
      Error none;
      far_.set_option(tcp::no_delay(true), none);
      port_ = far_.local_endpoint(none).port();
      ++relay_->opened_;
      tell(What::opened);
      up_ = true;
      set(Direction::out), set(Direction::back);
      out_.read(), back_.read();
    });
  }

  void set(Direction direction) {
    if (!relay_) return;
    Stream& stream = direction == Direction::out ? out_ : back_;
    stream.shape.set(relay_->side(direction).condition, relay_->clock_());
    if (up_) stream.pump(), stream.passEnd();
  }
  // The relay is going, or the condition is a reset: both sides see one.
  void end(bool reset) {
    const auto self = shared_from_this();
    Relay* relay = std::exchange(relay_, nullptr);
    out_.timer.cancel(), back_.timer.cancel();
    Error ignored;
    for (tcp::socket* socket : {&near_, &far_})
      if (reset)
        resetSocket(*socket);
      else
        socket->close(ignored);
    if (relay) relay->passages_.erase(self);
  }

  std::uint16_t port() const { return port_; }
  double saidSince() const { return saidSince_; }
  std::size_t waiting(Direction direction) const {
    return (direction == Direction::out ? out_ : back_).shape.waiting();
  }

 private:
  struct Stream {
    Stream(Passage& p, tcp::socket& f, tcp::socket& t, Direction d, std::uint64_t number)
        : passage(p),
          from(f),
          to(t),
          direction(d),
          timer(f.get_executor()),
          shape(number * 2 + static_cast<std::uint64_t>(d)) {}
    Passage& passage;
    tcp::socket &from, &to;
    const Direction direction;
    asio::steady_timer timer;
    Shape shape;
    std::array<char, kStep> piece{};
    std::string held, going;
    bool reading = false, writing = false, ended = false, endedByReset = false, endPassed = false;

    void read() {
      if (reading || ended || held.size() >= kMost) return;
      reading = true;
      from.async_read_some(asio::buffer(piece),
                           [self = passage.shared_from_this(), this](const Error& error, std::size_t n) {
                             reading = false;
                             if (!passage.relay_) return;
                             passage.came(*this, n);
                             if (error) return came(error);
                             read();
                           });
    }
    void came(const Error& error) {
      ended = true;
      endedByReset = error == asio::error::connection_reset;
      passage.tell(direction == Direction::out ? What::nearEnded : What::farEnded);
      passEnd();
    }

    void pump() {
      if (writing || !passage.relay_) return;
      const double now = passage.relay_->clock_();
      if (const std::size_t n = shape.take(now)) return write(n);
      const double next = shape.nextAt();
      if (next == Shape::kNever) return passEnd();
      timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double, std::milli>(std::max(0.0, next - now))));
      timer.async_wait([self = passage.shared_from_this(), this](const Error& error) {
        if (!error) pump();
      });
    }
    void write(std::size_t n) {
      writing = true;
      going = held.substr(0, n);
      held.erase(0, n);
      if (direction == Direction::back) passage.answered();
      asio::async_write(to, asio::buffer(going),
                        [self = passage.shared_from_this(), this](const Error& error, std::size_t sent) {
                          writing = false;
                          if (!passage.relay_) return;
                          passage.relay_->side(direction).delivered += sent;
                          if (error) return passage.end(true);  // nobody is left to take it
                          read();
                          pump();
                        });
    }
    // An end follows the last byte, and only where ends pass.
    void passEnd() {
      if (!passage.relay_ || !ended || endPassed || writing || shape.waiting() > 0) return;
      if (!passage.relay_->side(direction).condition.passesEnds()) return;
      endPassed = true;
      if (endedByReset) return passage.end(true);
      Error ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      passage.endIfDone();
    }
  };

  void came(Stream& stream, std::size_t n) {
    if (n == 0) return;
    const double now = relay_->clock_();
    if (stream.direction == Direction::out && saidSince_ < 0) saidSince_ = now;
    stream.held.append(stream.piece.data(), n);
    stream.shape.push(n, now);
    stream.pump();
  }
  void answered() { saidSince_ = -1; }
  void endIfDone() {
    if (out_.endPassed && back_.endPassed) end(false);
  }
  void tell(What what) {
    if (relay_ && relay_->tell_) relay_->tell_(what, port_);
  }

  Relay* relay_;  // none once it has ended
  tcp::socket near_, far_;
  Stream out_, back_;
  std::uint16_t port_ = 0;
  double saidSince_ = -1;
  bool up_ = false;
};

Relay::Relay(asio::io_context& io, const asio::ip::address& host, tcp::endpoint target, std::uint64_t seed,
             Clock clock, Tell tell)
    : io_(io),
      address_(host, 0),
      target_(std::move(target)),
      seed_(seed),
      clock_(std::move(clock)),
      tell_(std::move(tell)),
      acceptor_(io) {
  listen();
  accept();
}

Relay::~Relay() {
  while (!passages_.empty()) (*passages_.begin())->end(true);
}

void Relay::listen() {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address_);
  acceptor_.listen(kBacklog);
  address_ = acceptor_.local_endpoint();
}

void Relay::accept() {
  if (accepting_ || silent_ || !acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) return;
    accepting_ = false;
    Error none;
    const bool own = !error && std::erase(fillerPorts_, socket.remote_endpoint(none).port()) > 0;
    if (own || (!error && side(Direction::out).condition.way == Way::reset)) {
      resetSocket(socket);
    } else if (!error) {
      const auto passage = std::make_shared<Passage>(*this, std::move(socket), seed_ + opened_);
      passages_.insert(passage);
      passage->start();
    }
    accept();
  });
}

void Relay::set(Direction direction, const Condition& condition) {
  side(direction).condition = condition;
  settle();
  const std::vector<std::shared_ptr<Passage>> all(passages_.begin(), passages_.end());
  for (const auto& passage : all) condition.way == Way::reset ? passage->end(true) : passage->set(direction);
}

void Relay::set(const Condition& condition) {
  set(Direction::out, condition);
  set(Direction::back, condition);
}

const Condition& Relay::condition(Direction direction) const { return side(direction).condition; }
std::uint64_t Relay::delivered(Direction direction) const { return side(direction).delivered; }

std::size_t Relay::waiting(Direction direction) const {
  std::size_t out = 0;
  for (const auto& passage : passages_) out += passage->waiting(direction);
  return out;
}

double Relay::saidSince(std::uint16_t port) const {
  for (const auto& passage : passages_)
    if (passage->port() == port) return passage->saidSince();
  return -1;
}

// The listening socket: closed where connections are refused, its queue full where they never come up.
void Relay::settle() {
  const auto any = [&](Way way) { return sides_[0].condition.way == way || sides_[1].condition.way == way; };
  const bool silent = any(Way::silent), refused = !silent && any(Way::refused);
  Error ignored;
  if (refused) {
    fillers_.clear(), fillerPorts_.clear();
    acceptor_.close(ignored);
    accepting_ = silent_ = false;
    return;
  }
  if (!acceptor_.is_open()) listen();
  if (silent == silent_) return accept();
  silent_ = silent;
  if (silent) {
    acceptor_.cancel(ignored);
    accepting_ = false;
    ::listen(acceptor_.native_handle(), 0);
    fill();
  } else {
    fillers_.clear();
    ::listen(acceptor_.native_handle(), kBacklog);
    accept();
  }
}

// Two take the queue of one and its overhang. Not Asio's own connect: that waits for the outcome, and the
// second is never to have one.
void Relay::fill() {
  Error ignored;
  for (int i = 0; i < 2; ++i) {
    fillers_.emplace_back(io_);
    fillers_.back().open(tcp::v4(), ignored);
    fillers_.back().native_non_blocking(true, ignored);
    ::connect(fillers_.back().native_handle(), address_.data(), static_cast<socklen_t>(address_.size()));
    fillerPorts_.push_back(fillers_.back().local_endpoint(ignored).port());
  }
}

}  // namespace burlwind::faults
