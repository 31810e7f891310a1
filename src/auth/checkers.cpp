#include "auth/checkers.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <optional>

namespace burlwind::auth {
namespace {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
constexpr unsigned kMostInterim = 8;  // 1xx answers ahead of one

}  // namespace

// A read is pending from the moment it is up: while a check is out it brings the answer, while none is,
// whatever it brings ends the connection.
class Checkers::Line : public std::enable_shared_from_this<Line> {
 public:
  Line(Checkers& pool, std::size_t to) : checker(to), pool_(pool), socket_(pool.io_), idle_(pool.io_) {}

  const std::size_t checker;
  CheckId check = 0;
  bool busy = false;

  // A handler that does nothing once this is closed.
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (!closed_) handler(error, n);
    };
  }

  void begin(CheckId id, std::shared_ptr<const std::string> text) {
    check = id;
    busy = true;
    kept_ = up_;
    any_ = false;
    interim_ = 0;
    out_ = std::move(text);
    idle_.cancel();
    await();
    up_ ? write() : connect();
  }

  void rest() {
    parser_.reset();
    out_.reset();
    idle_.expires_after(pool_.limits_.idleFor);
    idle_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error && !busy) pool_.drop(*this);
    }));
  }

  void close() {
    closed_ = true;
    idle_.cancel();
    Error ignored;
    socket_.close(ignored);
  }

 private:
  void await() {
    parser_.emplace();
    parser_->body_limit(kMostVerdictBody);
    parser_->header_limit(kMostHeader);
  }

  void connect() {
    Error error;
    const auto& address = pool_.addresses_[checker];
    socket_.open(address.protocol(), error);
    if (error)
      return asio::post(pool_.io_, [self = shared_from_this(), this] {
        if (!closed_) fail();
      });
    socket_.async_connect(address, guard([this](const Error& failed, std::size_t) {
                            if (failed) return fail();
                            Error ignored;
                            socket_.set_option(tcp::no_delay(true), ignored);
                            up_ = true;
                            read();
                            write();
                          }));
  }

  void write() {
    writing_ = true;
    asio::async_write(socket_, asio::buffer(*out_),
                      guard([this, text = out_](const Error& error, std::size_t) {
                        writing_ = false;
                        if (error && busy) fail();
                      }));
  }

  void read() {
    socket_.async_read_some(in_.prepare(kReadStep), guard([this](const Error& error, std::size_t n) {
                              in_.commit(n);
                              if (!busy) return pool_.drop(*this);
                              if (error) return fail();
                              any_ = true;
                              take();
                            }));
  }

  void take() {
    Error error;
    if (!parser_->is_header_done()) {
      const bool head = feed(*parser_, in_, error, Feed::head);
      if (error || (head && !readable())) return fail();
      if (head && parser_->get().result_int() < 200) return passOver();
    }
    const bool done = feed(*parser_, in_, error);
    if (error) return fail();
    if (!done) return read();
    Reply reply = parser_->release();
    // Kept only if nothing of the exchange is left on either side.
    const bool keep = !writing_ && in_.size() == 0 && reply.keep_alive();
    pool_.finish(*this, keep, &reply, Fault::broken);
    if (!closed_) read();
  }

  // As for workers: an answer whose end only the connection's end would tell may have been cut short.
  bool readable() {
    const auto& head = parser_->get();
    return plainFraming(head) && head.result() != http::status::switching_protocols &&
           (!parser_->need_eof() || head.result_int() < 200);
  }

  void passOver() {
    if (++interim_ > kMostInterim) return fail();
    await();
    in_.size() > 0 ? take() : read();
  }

  void fail() { pool_.finish(*this, false, nullptr, kept_ && !any_ ? Fault::staleLine : Fault::broken); }

  Checkers& pool_;
  tcp::socket socket_;
  asio::steady_timer idle_;
  beast::flat_buffer in_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::shared_ptr<const std::string> out_;
  unsigned interim_ = 0;
  bool up_ = false;
  bool writing_ = false;  // the check's bytes are still in use
  bool kept_ = false;     // this check found it up
  bool any_ = false;      // some of the answer has come
  bool closed_ = false;
};

Checkers::Checkers(asio::io_context& io, std::vector<tcp::endpoint> addresses, const Limits& limits,
                   Ended ended)
    : io_(io),
      addresses_(std::move(addresses)),
      limits_(limits),
      ended_(std::move(ended)),
      idle_(addresses_.size()) {}

Checkers::~Checkers() {
  for (auto& [check, line] : busy_) line->close();
  for (auto& idle : idle_)
    for (auto& line : idle) line->close();
}

void Checkers::start(CheckId check, std::size_t checker, std::shared_ptr<const std::string> text,
                     bool fresh) {
  Shared line = fresh ? nullptr : takeIdle(checker);
  if (!line) line = std::make_shared<Line>(*this, checker);
  busy_[check] = line;
  line->begin(check, std::move(text));
}

void Checkers::abandon(CheckId check) {
  const auto found = busy_.find(check);
  if (found == busy_.end()) return;
  const Shared line = found->second;
  busy_.erase(found);
  line->close();
}

Checkers::Shared Checkers::takeIdle(std::size_t checker) {
  auto& idle = idle_[checker];
  if (idle.empty()) return nullptr;
  const Shared out = idle.back();
  idle.pop_back();
  return out;
}

void Checkers::finish(Line& line, bool keep, Reply* reply, Fault fault) {
  const Shared self = line.shared_from_this();
  const CheckId check = line.check;
  busy_.erase(check);
  line.busy = false;
  auto& idle = idle_[line.checker];
  if (keep && idle.size() < limits_.idlePerChecker) {
    idle.push_back(self);
    line.rest();
  } else {
    line.close();
  }
  ended_(check, reply, fault);
}

void Checkers::drop(Line& line) {
  const Shared self = line.shared_from_this();
  line.close();
  std::erase(idle_[line.checker], self);
}

}  // namespace burlwind::auth
