#include "handover/link.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <deque>
#include <stdexcept>
#include <utility>

#include "http/http.hpp"

namespace burlwind::handover {

using snapshot::bodyBytes;
using snapshot::decode;
using snapshot::encode;
using snapshot::kHeadBytes;
namespace {

using stream = asio::local::stream_protocol;

constexpr char kAsk = 'T', kTaken = 'K', kEnded = 'R';
constexpr std::size_t kRecord = 1 + sizeof(std::uint64_t);
constexpr std::chrono::milliseconds kTurn{50};
constexpr std::size_t kMostBehind = std::size_t{1}
                                    << 20;  // bytes of records that the other side has not read

bool ofThisUser(int descriptor) {
  ucred who{};
  socklen_t size = sizeof who;
  return ::getsockopt(descriptor, SOL_SOCKET, SO_PEERCRED, &who, &size) == 0 && who.uid == ::geteuid();
}

}  // namespace

std::string pathIn(const std::string& folder, const std::string& name) {
  std::string out = folder + "/burlwind-";
  for (const char c : name)
    out += std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' ? c : '.';
  out += ".handover";
  return folder.empty() || out.size() >= sizeof(sockaddr_un{}.sun_path) ? std::string() : out;
}

// One end of the connection. What it reads depends on which end it is.
class Link::Lease : public std::enable_shared_from_this<Lease> {
 public:
  Lease(Link& link, stream::socket socket) : link_(link), socket_(std::move(socket)), timer_(link.io_) {}

  void ask() {
    arm(link_.limits_.answer);
    send(std::string(1, kAsk));
    read(kHeadBytes, [this] {
      const auto size = bodyBytes(in_);
      if (!size) return link_.follow(Event::noState);
      const std::string head = in_;
      read(*size, [this, head] { link_.taken(head + in_); });
    });
  }

  // The new side has taken up what came.
  void confirm() {
    timer_.cancel();
    send(std::string(1, kTaken));
    readRecords();
  }

  void awaitAsk() {
    arm(link_.limits_.confirm);
    read(1, [this] {
      if (in_[0] != kAsk) return lost();
      link_.follow(Event::asks);
    });
  }

  void give(const std::string& frame) {
    arm(link_.limits_.confirm);
    send(frame);
    read(1, [this] {
      timer_.cancel();
      read(1, [this] { lost(); });  // nothing more is said: this reads the end
    });
  }

  void tellEnded(std::uint64_t customer) {
    std::string record(1, kEnded);
    record.append(reinterpret_cast<const char*>(&customer), sizeof customer);
    if (behind_ < kMostBehind) send(std::move(record));
  }

  void close() {
    closed_ = true;
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
  }

 private:
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t = 0) {
      if (!closed_) link_.host_.beat();  // which may give this connection up
      if (!closed_) handler(error);
    };
  }

  void lost() {
    if (std::exchange(closed_, true)) return;
    close();
    link_.follow(Event::otherGone);
  }

  void arm(std::chrono::milliseconds span) {
    timer_.expires_after(span);
    timer_.async_wait(guard([this](const Error& error) {
      if (!error) lost();
    }));
  }

  void read(std::size_t bytes, std::function<void()> then) {
    in_.resize(bytes);
    asio::async_read(socket_, asio::buffer(in_),
                     guard([this, then = std::move(then)](const Error& error) { error ? lost() : then(); }));
  }

  void readRecords() {
    read(kRecord, [this] {
      std::uint64_t customer = 0;
      std::memcpy(&customer, in_.data() + 1, sizeof customer);
      link_.host_.ended(customer);
      readRecords();
    });
  }

  void send(std::string text) {
    behind_ += text.size();
    out_.push_back(std::move(text));
    if (out_.size() == 1) write();
  }

  void write() {
    asio::async_write(socket_, asio::buffer(out_.front()), guard([this](const Error& error) {
                        if (error) return lost();
                        behind_ -= out_.front().size();
                        out_.pop_front();
                        if (!out_.empty()) write();
                      }));
  }

  Link& link_;
  stream::socket socket_;
  asio::steady_timer timer_;
  std::string in_;
  std::deque<std::string> out_;
  std::size_t behind_ = 0;
  bool closed_ = false;
};

Link::Link(asio::io_context& io, std::string path, const Limits& limits, Host host)
    : io_(io),
      path_(std::move(path)),
      limits_(limits),
      host_(std::move(host)),
      acceptor_(io),
      timer_(io),
      other_(io) {}

Link::~Link() {
  if (lease_) lease_->close();
}

void Link::start() {
  if (path_.empty()) return follow(Event::nobody);
  stream::socket socket(io_);
  Error error;
  socket.connect(stream::endpoint(path_), error);  // of a Unix socket: at once, or not at all
  if (error || !ofThisUser(socket.native_handle())) return follow(Event::nobody);
  lease_ = std::make_shared<Lease>(*this, std::move(socket));
  follow(Event::found);
  lease_->ask();
}

void Link::tellEnded(std::uint64_t customer) {
  if (core_.state() == State::gave && lease_) lease_->tellEnded(customer);
}

void Link::taken(std::string&& frame) {
  auto snapshot = decode(frame);
  const bool fits = snapshot && host_.take(std::move(*snapshot));
  if (fits) lease_->confirm();
  follow(fits ? Event::state : Event::noState);
}

// Does what the core says, in an order in which the parts never come to more than 1.
void Link::follow(Event event) {
  const State before = core_.state();
  const Steps steps = core_.on(event);
  if (steps.decline && lease_) host_.log("hand-over: declined, another one is not over yet");
  if (steps.yield) {
    host_.yield();
  } else if (steps.give) {
    give();
  } else if (core_.state() != before) {
    host_.part(core_.part());
  }
  if (core_.state() == State::cautious && before != State::cautious) {
    host_.log("hand-over: nothing could be taken over from the process that serves");
    if (lease_) lease_->close();
    lease_.reset();
    timer_.expires_after(limits_.overlap);
    timer_.async_wait([this](const Error& error) {
      if (!error) follow(Event::overlapEnds);
    });
  }
  if (event == Event::state) host_.log("hand-over: taken over");
  if (event == Event::otherGone && core_.state() == State::whole) {
    host_.log("hand-over: the other process is gone");
    lease_.reset();
  }
  if (steps.resume) host_.resume();
  if (steps.serve) host_.serve();
  if (steps.listen) listen();
}

// One that is too large is not handed over: the other process goes on without, and this one as before.
void Link::give() {
  try {
    lease_->give(encode(host_.give()));
    host_.log("hand-over: another process has taken over");
  } catch (const std::length_error& error) {
    host_.log(std::string("hand-over: ") + error.what());
    lease_->close();
    follow(Event::otherGone);
  }
}

void Link::listen() {
  if (path_.empty()) return;
  try {
    Error closed;
    acceptor_.close(closed);  // one whose place another process has taken
    ::unlink(path_.c_str());  // of a process that is no more
    acceptor_.open();
    const mode_t before = ::umask(0077);
    Error error;
    acceptor_.bind(stream::endpoint(path_), error);
    ::umask(before);
    if (error) throw boost::system::system_error(error);
    acceptor_.listen();
  } catch (const boost::system::system_error& error) {
    Error ignored;
    acceptor_.close(ignored);
    return host_.log(std::string("hand-over: cannot listen at ") + path_ + ": " + error.code().message());
  }
  accept();
}

// What asked meanwhile waits to be accepted, and may have closed its end; who it was is known all the same.
void Link::woke(std::chrono::milliseconds gap) {
  if (gap < limits_.answer) return;
  if (core_.state() == State::asked) {  // the other one has waited in vain, and serves: asked anew
    lease_->close();
    lease_.reset();
    follow(Event::again);
    return start();
  }
  if (!acceptor_.is_open()) return;
  staleUntil_ = std::chrono::steady_clock::now() + kTurn;
  for (int peer;
       (peer = ::accept4(acceptor_.native_handle(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;) {
    tooLate(peer);
    ::close(peer);
  }
}

// Only a process that is there: one that died has not gone on. pidfd_open(2) is readable when it ends.
void Link::tooLate(int peer) {
  ucred who{};
  socklen_t size = sizeof who;
  if (::getsockopt(peer, SOL_SOCKET, SO_PEERCRED, &who, &size) != 0 || who.uid != ::geteuid()) return;
  if (who.pid <= 0 || who.pid == ::getpid() || core_.state() != State::whole) return;
  const int other = static_cast<int>(::syscall(SYS_pidfd_open, who.pid, 0));
  if (other < 0) return;
  Error ignored;
  other_.close(ignored);
  other_.assign(other);
  host_.log("hand-over: another process has gone on while this one was stopped; nothing more is taken here");
  follow(Event::tooLate);
  other_.async_wait(asio::posix::stream_descriptor::wait_read,
                    [this, alive = std::weak_ptr<bool>(alive_)](const Error& error) {
                      if (error || alive.expired()) return;
                      Error none;
                      other_.close(none);
                      follow(Event::otherGone);
                    });
}

void Link::accept() {
  acceptor_.async_accept([this](const Error& error, stream::socket socket) {
    if (error) return;
    host_.beat();
    if (std::chrono::steady_clock::now() < staleUntil_) {
      tooLate(socket.native_handle());
    } else if (!lease_ && ofThisUser(socket.native_handle())) {
      lease_ = std::make_shared<Lease>(*this, std::move(socket));
      lease_->awaitAsk();
    } else {
      host_.log("hand-over: declined, another one is not over yet");
    }
    accept();
  });
}

}  // namespace burlwind::handover
