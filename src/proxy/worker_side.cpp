#include "proxy/worker_side.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <chrono>

#include "config/settings.hpp"
#include "program/start.hpp"

namespace burlwind::proxy {
namespace {

using program::now;

constexpr double kKeepUntold = 4000;   // ms that a connection is kept where the worker tells no time
constexpr double kKeepPart = 0.5;      // of the time it tells
constexpr std::size_t kSurplus = 4;    // answers to others that may come before the one that is due
constexpr std::size_t kKeptMost = 64;  // a worker
// A worker may forget idle connections without a word, and resets what is sent on them next. What has been
// sent may have run, so after one such loss requests that may run once go on connections of their own for a
// while; others are sent again.
constexpr double kAvoidIdleFor = 10000;  // ms

std::chrono::microseconds span(double ms) { return std::chrono::microseconds(static_cast<long>(ms * 1000)); }

// Anything there, its end or bytes of nobody's: not to be used.
bool quiet(Tcp::socket& socket) {
  char byte = 0;
  const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// A worker that is gone without a word: bytes that nobody acknowledges, and probes where nothing is sent.
void harden(Tcp::socket& socket) {
  Error ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const int unacknowledged = 700, on = 1, seconds = 1, probes = 2;
  const int fd = socket.native_handle();
  ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged, sizeof unacknowledged);
  ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

double keepTime(const http::response<http::string_body>& response) {
  std::string_view text = view(response["Keep-Alive"]);
  while (!text.empty()) {
    auto part = cut(text, ',');
    if (!part.starts_with("timeout=")) continue;
    if (const auto seconds = number<unsigned>(part.substr(8))) return kKeepPart * 1000 * *seconds;
  }
  return kKeepUntold;
}

}  // namespace

void WorkerSide::within(const ConnectionPtr& c, double ms) {
  c->overdue = false;
  c->timer.expires_after(span(std::max(0.0, ms)));
  c->timer.async_wait([weak = std::weak_ptr<Connection>(c)](const Error& error) {
    const auto mine = weak.lock();
    if (error || !mine) return;
    mine->overdue = true;
    Error ignored;
    mine->socket.close(ignored);
  });
}

WorkerSide::ConnectionPtr WorkerSide::kept(const std::string& id) {
  const auto found = idle_.find(id);
  if (found == idle_.end()) return nullptr;
  auto& all = found->second;
  while (!all.empty()) {
    ConnectionPtr c = std::move(all.back());
    all.pop_back();
    if (now() - c->idleSince < c->keepFor && quiet(c->socket)) return c;
  }
  return nullptr;
}

asio::awaitable<WorkerSide::ConnectionPtr> WorkerSide::connect(const std::string& address, double ms) {
  const auto at = config::endpointOf(address);
  if (!at) co_return nullptr;
  Error error;
  const auto ip = asio::ip::make_address(at->ip, error);
  if (error) co_return nullptr;
  auto c = std::make_shared<Connection>(io_);
  ++opened_;
  within(c, ms);
  co_await c->socket.async_connect({ip, at->port}, asio::redirect_error(asio::use_awaitable, error));
  c->timer.cancel();
  if (error || c->overdue || !c->socket.is_open()) co_return nullptr;
  harden(c->socket);
  co_return c;
}

asio::awaitable<Answer> WorkerSide::exchange(Outgoing out) {
  Answer answer;
  ConnectionPtr c = out.once && now() < avoidIdleUntil_ ? nullptr : kept(out.id);
  answer.reused = c != nullptr;
  if (!c) c = co_await connect(out.address, std::min(out.connectWithin, out.answerWithin));
  if (!c) co_return answer;
  const double from = now();
  answer.end = End::broken;
  bool begun = false;  // any byte has come
  within(c, out.answerWithin);
  Error error;
  co_await asio::async_write(c->socket, asio::buffer(out.text),
                             asio::redirect_error(asio::use_awaitable, error));
  for (std::size_t surplus = 0; !error && surplus <= kSurplus; ++surplus) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::min<std::uint64_t>(kMostBody, out.mostAnswer));
    if (out.head) parser.skip(true);
    while (!error && !parser.is_done()) {
      if (c->in.size() && feed(parser, c->in, error)) break;
      if (error) break;
      const std::size_t n = co_await c->socket.async_read_some(
          c->in.prepare(kReadStep), asio::redirect_error(asio::use_awaitable, error));
      c->in.commit(n);
      begun = begun || n > 0;
    }
    if (error) break;
    auto& response = parser.get();
    if (response.result() == http::status::continue_) continue;
    // An answer that bears another's id is a late one that nobody waits for.
    const bool mine = view(response["Try-Id"]) == out.tryId;
    const bool turnedAway = response.count("Not-Run") || response.result_int() == 421;
    if (!mine && !turnedAway) continue;
    if (!mine && turnedAway && response.count("Try-Id")) continue;
    answer.took = now() - from;
    answer.end = response.result_int() == 421 ? End::elsewhere
                 : response.count("Not-Run")  ? End::notRun
                                              : End::answer;
    answer.full = response.result_int() == 503;
    const bool keep = response.keep_alive() && plainFraming(response) && c->in.size() == 0 && surplus == 0;
    c->keepFor = keepTime(response);
    answer.response = std::move(response);
    c->timer.cancel();
    if (keep && c->socket.is_open()) {
      c->idleSince = now();
      auto& all = idle_[out.id];
      if (all.size() < kKeptMost) all.push_back(c);
    }
    co_return answer;
  }
  if (c->overdue) answer.end = End::late;
  if (answer.reused && !c->overdue && !begun) avoidIdleUntil_ = now() + kAvoidIdleFor;
  answer.took = now() - from;
  c->timer.cancel();
  Error ignored;
  c->socket.close(ignored);
  co_return answer;
}

void WorkerSide::forget(const std::string& id) { idle_.erase(id); }

void WorkerSide::sweep(double at) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& all = it->second;
    while (!all.empty() && at - all.front()->idleSince >= all.front()->keepFor) all.pop_front();
    it = all.empty() ? idle_.erase(it) : std::next(it);
  }
}

std::size_t WorkerSide::kept() const {
  std::size_t out = 0;
  for (const auto& [id, all] : idle_) out += all.size();
  return out;
}

}  // namespace burlwind::proxy
