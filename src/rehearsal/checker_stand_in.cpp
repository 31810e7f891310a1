#include "rehearsal/checker_stand_in.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cmath>
#include <optional>

#include "faults/random.hpp"
#include "http/http.hpp"

namespace burlwind::rehearsal {

using faults::Hash;
using faults::Random;
namespace {

using asio::ip::tcp;

constexpr std::string_view kScheme = "Bearer good-";
constexpr std::size_t kHugeToken = 6000;  // bytes

}  // namespace

std::string tokenOf(const Customer& customer) { return std::string(kScheme) + hex16(customer.id); }

std::string badCredentials(std::uint64_t number) {
  switch (number % 5) {
    case 0:
      return "";
    case 1:
      return "Authorization: Bearer bad-" + hex16(number) + "\r\n";
    case 2:
      return "Authorization: Bearer bad\r\n" + std::string(kChecked) + ": " + hex16(number) + "\r\n";
    case 3:
      return "Authorization: Bearer " + std::string(kHugeToken, 'x') + "\r\n";
    default:
      return "Authorization: Bearer good-\x01\x02\r\n";
  }
}

class CheckerStandIn::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(CheckerStandIn& checker, tcp::socket socket)
      : checker_(checker), socket_(std::move(socket)), delay_(socket_.get_executor()) {}

  void start() {
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    parser_.emplace();
    read();
  }
  void reset() {
    if (!socket_.is_open()) return;
    Error ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

 private:
  void close() {
    if (std::exchange(asked_, false)) --checker_.out_;
    delay_.cancel();
    Error ignored;
    socket_.close(ignored);
    checker_.connections_.erase(shared_from_this());
  }
  void read() {
    socket_.async_read_some(in_.prepare(kReadStep),
                            [self = shared_from_this(), this](const Error& error, std::size_t n) {
                              if (!socket_.is_open()) return;
                              if (error) return close();
                              in_.commit(n);
                              Error wrong;
                              if (!asked_ && feed(*parser_, in_, wrong)) asked();
                              if (wrong) return close();
                              read();
                            });
  }

  void asked() {
    const World& world = checker_.world_;
    asked_ = true;
    ++checker_.out_;
    Random random(world.seed, "checker",
                  Hash().add(std::uint64_t{checker_.index_}).add(checker_.asked_++).value());
    double wait = random.exponential(world.scenario.checkers.delayMs);
    world.eachActive(FaultKind::checkerSlow, checker_.index_,
                     [&](const FaultSpec& fault) { wait += fault.size; });
    const std::string authorization(view(parser_->get()[http::field::authorization]));
    parser_.emplace();
    delay_.expires_after(World::span(wait));
    delay_.async_wait([self = shared_from_this(), this, authorization](const Error& error) {
      if (!error && socket_.is_open()) answer(authorization);
    });
  }

  void answer(const std::string& authorization) {
    World& world = checker_.world_;
    const auto customer = authorization.starts_with(kScheme)
                              ? number<std::uint64_t>(authorization.substr(kScheme.size()), 16)
                              : std::nullopt;
    const bool allows = customer && !world.scenario.flipped(*customer, world.now());
    Event& event = world.trace.add(world.now(), Kind::check);
    event.server = static_cast<std::int16_t>(checker_.index_);
    event.customer = customer.value_or(0);
    event.good = allows;
    event.value = checker_.out_;
    const unsigned maxAge = world.scenario.checkers.maxAgeS;
    out_ = allows
               ? "HTTP/1.1 204 No Content\r\n" + std::string(kChecked) + ": " + hex16(*customer) +
                     "\r\nCache-Control: " +
                     (maxAge > 0 ? "max-age=" + std::to_string(maxAge) : std::string("no-store")) + "\r\n\r\n"
               : "HTTP/1.1 401 Unauthorized\r\nWWW-Authenticate: Bearer\r\nCache-Control: "
                 "no-store\r\nContent-Length: 0\r\n\r\n";
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this(), this](const Error& error, std::size_t) {
                        if (!socket_.is_open()) return;
                        if (std::exchange(asked_, false)) --checker_.out_;
                        if (error) return close();
                        Error wrong;
                        if (in_.size() > 0 && feed(*parser_, in_, wrong)) asked();
                        if (wrong) close();
                      });
  }

  CheckerStandIn& checker_;
  tcp::socket socket_;
  asio::steady_timer delay_;
  beast::flat_buffer in_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string out_;
  bool asked_ = false;
};

CheckerStandIn::CheckerStandIn(World& world, unsigned index)
    : world_(world),
      index_(index),
      at_(asio::ip::address_v4({127, 64, 0, static_cast<unsigned char>(index + 1)}), 0) {}

CheckerStandIn::~CheckerStandIn() { setDown(true); }

void CheckerStandIn::listen() {
  try {
    acceptor_ = std::make_shared<tcp::acceptor>(world_.io, at_);
  } catch (const boost::system::system_error& error) {
    throw SetupError("checker: cannot listen: " + error.code().message());
  }
  at_ = acceptor_->local_endpoint();
  accept();
}

std::string CheckerStandIn::address() const {
  return at_.address().to_string() + ":" + std::to_string(at_.port());
}

void CheckerStandIn::setDown(bool down) {
  if (!down) return listen();
  if (acceptor_) {
    Error ignored;
    acceptor_->close(ignored);
    acceptor_.reset();
  }
  const std::set<std::shared_ptr<Connection>> all = connections_;
  for (const auto& connection : all) connection->reset();
}

void CheckerStandIn::accept() {
  const auto acceptor = acceptor_;
  acceptor->async_accept([this, acceptor](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;  // closed: this may be gone
    if (!error) {
      const auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_.insert(connection);
      connection->start();
    }
    if (acceptor == acceptor_) accept();
  });
}

}  // namespace burlwind::rehearsal
