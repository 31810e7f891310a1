#include "node/worker_pool.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace burlwind {
namespace {

using asio::ip::tcp;
using irisring::Outcome;
using irisring::RequestId;
using irisring::Result;
using irisring::WorkerId;
using Clock = std::chrono::steady_clock;

template <class T>
bool parse(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

// The figures of `inflight=7,queue=2,util=0.61` in the settings' order; none unless all are there.
std::vector<double> readReport(std::string_view text, const std::vector<std::string>& fields) {
  std::vector<double> out(fields.size());
  std::size_t found = 0;
  while (!text.empty()) {
    const auto comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
    const auto sign = pair.find('=');
    const auto field = std::find(fields.begin(), fields.end(), pair.substr(0, sign));
    if (sign == std::string_view::npos || field == fields.end()) continue;
    found += parse(pair.substr(sign + 1), out[static_cast<std::size_t>(field - fields.begin())]);
  }
  return found == fields.size() && found > 0 ? out : std::vector<double>{};
}

Result resultOf(const http::response<http::string_body>& answer) {
  if (answer.result() == http::status::ok) return Result::ok;
  const bool busy = answer.result() == http::status::service_unavailable ||
                    answer.result() == http::status::gateway_timeout;
  return busy && view(answer["Srv-Declined"]) == "1" ? Result::full : Result::error;
}

double unixNow() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

// One connection. A read is pending from the moment it is up: while an attempt is out it brings the answer,
// while none is, whatever it brings ends the connection.
class WorkerPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(WorkerPool& pool, WorkerId to, const tcp::endpoint& at)
      : worker(to), address(at), openedAtMs(unixNow()), pool_(pool), socket_(pool.io_), timer_(pool.io_) {}

  const WorkerId worker;
  const tcp::endpoint address;
  const double openedAtMs;

  void begin(RequestId id, unsigned attempt, std::string bytes, std::optional<Clock::duration> timeout) {
    outcome_ = Outcome{};
    outcome_.id = id;
    outcome_.attempt = attempt;
    outcome_.worker = worker;
    startedAt_ = Clock::now();
    giveUpAt_ = timeout ? startedAt_ + *timeout : Clock::time_point::max();
    out_ = std::move(bytes);
    written_ = false;
    busy_ = true;
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(kMostBody);
    parser_->header_limit(kMostHeader);
    if (up_)
      write();
    else
      connect();
  }

  // The end of the attempt that is out, as seen from here, if it is given up now.
  Outcome stop(Result result) {
    busy_ = false;
    outcome_.result = written_ || result == Result::cancelled ? result : Result::connectFailed;
    stamp();
    return outcome_;
  }

  bool busy() const { return busy_; }
  RequestId request() const { return outcome_.id; }

  // Whether the worker has ended or spoiled this idle connection and the read has not told yet.
  bool spoiled() {
    char byte;
    Error error;
    socket_.non_blocking(true, error);
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
  }

  void rest() {
    giveUpAt_ = Clock::now() + pool_.limits_.idleFor;
    arm(giveUpAt_);
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
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (!closed_) handler(error, n);
    };
  }

  void stamp() {
    outcome_.elapsed = std::chrono::duration<double, std::milli>(Clock::now() - startedAt_).count();
  }

  void arm(Clock::time_point at) {
    if (at == Clock::time_point::max()) {
      timer_.cancel();
      return;
    }
    timer_.expires_at(at);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error && timer_.expiry() <= Clock::now()) expire();
    }));
  }

  void expire() {
    if (busy_)
      end(up_ ? Result::timeout : Result::connectFailed);
    else
      pool_.drop(*this);
  }

  void connect() {
    arm(std::min(giveUpAt_, startedAt_ + pool_.limits_.connectTimeout));
    socket_.async_connect(address, guard([this](const Error& error, std::size_t) {
                            if (error) return end(Result::connectFailed);
                            Error ignored;
                            socket_.set_option(tcp::no_delay(true), ignored);
                            up_ = true;
                            read();
                            write();
                          }));
  }

  void write() {
    arm(giveUpAt_);
    asio::async_write(socket_, asio::buffer(out_), guard([this](const Error& error, std::size_t) {
                        if (!busy_) return;
                        if (error) return end(Result::connectFailed);
                        written_ = true;
                      }));
  }

  void read() {
    socket_.async_read_some(in_.prepare(kReadStep), guard([this](const Error& error, std::size_t n) {
                              in_.commit(n);
                              if (!busy_) return pool_.drop(*this);
                              error ? broken() : take();
                            }));
  }

  void take() {
    Error error;
    const bool done = feed(*parser_, in_, error);
    if (error) return end(Result::error);
    if (done) return answered();
    read();
  }

  // The worker has ended the connection; an answer that only this delimits is whole now.
  void broken() {
    Error error;
    if (parser_->is_header_done() && parser_->need_eof()) {
      parser_->put_eof(error);
      if (!error && parser_->is_done()) return answered();
    }
    end(Result::reset);
  }

  void answered() {
    auto& answer = parser_->get();
    AttemptEnd whole;
    outcome_.result = resultOf(answer);
    stamp();
    int percent = 0;
    if (parse(view(answer["X-RateLimit-Used"]), percent) && percent >= 0) outcome_.usePercent = percent;
    outcome_.report = readReport(view(answer["Srv-Load"]), pool_.reportFields_);
    whole.outcome = outcome_;
    whole.contentType = std::string(view(answer[http::field::content_type]));
    // Kept only if the exchange was a whole and ordinary one: nothing of it is left on either side.
    const bool good = written_ && in_.size() == 0 && answer.keep_alive() &&
                      answer.result() != http::status::switching_protocols && answer.result_int() >= 200;
    whole.body = std::move(answer.body());
    busy_ = false;
    const auto self = shared_from_this();
    if (good) {
      pool_.keep(self);
      if (!closed_) read();
    } else {
      pool_.drop(*this);
    }
    pool_.finish(*this, std::move(whole));
  }

  void end(Result result) {
    AttemptEnd whole;
    whole.outcome = stop(result);
    const auto self = shared_from_this();
    pool_.drop(*this);
    pool_.finish(*this, std::move(whole));
  }

  WorkerPool& pool_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer in_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string out_;
  Outcome outcome_;
  Clock::time_point startedAt_, giveUpAt_;
  bool up_ = false;
  bool busy_ = false;
  bool written_ = false;  // the request's last byte: from here on it may have run
  bool closed_ = false;
};

WorkerPool::WorkerPool(asio::io_context& io, const Limits& limits, std::vector<std::string> reportFields,
                       Ended ended)
    : io_(io), limits_(limits), reportFields_(std::move(reportFields)), ended_(std::move(ended)) {}

WorkerPool::~WorkerPool() {
  *alive_ = false;
  for (auto& [id, connection] : busy_) connection->close();
  for (auto& [id, worker] : workers_)
    for (auto& connection : worker.idle) connection->close();
}

void WorkerPool::place(WorkerId id, const Place& place) {
  Worker& worker = workers_[id];
  const bool restarted = place.startedAtMs > worker.place.startedAtMs;
  if (restarted || place.address != worker.place.address) closeIdle(worker);
  worker.place = place;
  worker.retired = false;
  if (!restarted) return;
  // The process that these attempts went to is no more, whether or not its machine has said so.
  std::vector<Shared> lost;
  for (auto& [request, connection] : busy_)
    if (connection->worker == id && connection->openedAtMs < place.startedAtMs) lost.push_back(connection);
  for (const Shared& connection : lost) {
    report(connection->stop(Result::reset));
    busy_.erase(connection->request());
    drop(*connection);
  }
}

void WorkerPool::retire(WorkerId id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  found->second.retired = true;
  closeIdle(found->second);
}

void WorkerPool::start(RequestId id, unsigned attempt, WorkerId target, std::string bytes,
                       std::optional<Clock::duration> timeout) {
  const auto worker = workers_.find(target);
  Shared connection;
  if (worker != workers_.end() && !worker->second.retired) {
    connection = takeIdle(worker->second);
    if (!connection && makeRoom()) {
      connection = std::make_shared<Connection>(*this, target, worker->second.place.address);
      ++total_;
    }
  }
  if (!connection) {
    Outcome outcome;
    outcome.id = id;
    outcome.attempt = attempt;
    outcome.worker = target;
    outcome.result = Result::connectFailed;
    return report(outcome);
  }
  busy_[id] = connection;
  connection->begin(id, attempt, std::move(bytes), timeout);
}

std::optional<AttemptEnd> WorkerPool::giveUp(RequestId id, Result result) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return std::nullopt;
  const Shared connection = found->second;
  busy_.erase(found);
  AttemptEnd end;
  end.outcome = connection->stop(result);
  drop(*connection);
  return end;
}

WorkerPool::Shared WorkerPool::takeIdle(Worker& worker) {
  while (!worker.idle.empty()) {
    const Shared connection = worker.idle.back();
    if (!connection->spoiled()) {
      worker.idle.pop_back();
      return connection;
    }
    drop(*connection);
  }
  return nullptr;
}

// At the limit the connection that has stood idle longest at some worker makes room.
bool WorkerPool::makeRoom() {
  if (total_ < limits_.total) return true;
  for (auto& [id, worker] : workers_) {
    if (worker.idle.empty()) continue;
    const Shared oldest = worker.idle.front();
    drop(*oldest);
    return true;
  }
  return false;
}

// Reports an end from a handler of its own: the module is never told anything from within one of its actions.
void WorkerPool::report(Outcome outcome) {
  asio::post(io_, [this, alive = alive_, outcome = std::move(outcome)]() mutable {
    if (!*alive) return;
    AttemptEnd end;
    end.outcome = std::move(outcome);
    ended_(std::move(end));
  });
}

void WorkerPool::finish(Connection& connection, AttemptEnd&& end) {
  const auto found = busy_.find(end.outcome.id);
  if (found != busy_.end() && found->second.get() == &connection) busy_.erase(found);
  ended_(std::move(end));
}

void WorkerPool::keep(const Shared& connection) {
  const auto found = workers_.find(connection->worker);
  const bool wanted = found != workers_.end() && !found->second.retired &&
                      found->second.place.address == connection->address &&
                      found->second.place.startedAtMs <= connection->openedAtMs &&
                      found->second.idle.size() < limits_.idlePerWorker;
  if (!wanted) return drop(*connection);
  found->second.idle.push_back(connection);
  connection->rest();
}

void WorkerPool::drop(Connection& connection) {
  connection.close();
  --total_;
  const auto found = workers_.find(connection.worker);
  if (found != workers_.end())
    std::erase_if(found->second.idle, [&](const Shared& other) { return other.get() == &connection; });
}

void WorkerPool::closeIdle(Worker& worker) {
  const auto idle = std::move(worker.idle);
  worker.idle.clear();
  for (const Shared& connection : idle) drop(*connection);
}

}  // namespace burlwind
