#include "node/worker_pool.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cmath>

#include "http/connection_end.hpp"

namespace burlwind {
namespace {

using asio::ip::tcp;
using irisring::Outcome;
using irisring::RequestId;
using irisring::Result;
using irisring::WorkerId;
using Clock = std::chrono::steady_clock;

constexpr double kMostFigure = 1e6;  // of a load report
constexpr int kMostPercent = 1000000;
constexpr unsigned kMostInterim = 8;  // 1xx answers ahead of one
// From so many bytes on an answer that is to be long is passed on. Fewer: what is spoilt at its beginning
// could not be had elsewhere any more; more: the client's first bytes wait.
constexpr std::size_t kPassFrom = 8 * 1024;
constexpr std::size_t kPassBytes = 160 * 1024;      // of memory for one that is passed on, on both sides
constexpr std::size_t kPassWindow = 64 * 1024;      // bytes that its client may be behind
constexpr std::size_t kPassWindowLeast = 8 * 1024;  // and where memory is short
constexpr std::size_t kUploadStep = 32 * 1024;

// The figures of `inflight=7,queue=2,util=0.61` in the settings' order; none unless all are there, each once
// and such that it can be so. What the module takes in once stays in its means.
std::vector<double> readReport(std::string_view text, const std::vector<std::string>& fields) {
  std::vector<double> out(fields.size(), -1);
  std::size_t found = 0;
  while (!text.empty()) {
    std::string_view value = cut(text, ',');
    const auto field = std::find(fields.begin(), fields.end(), cut(value, '='));
    if (field == fields.end()) continue;
    const auto figure = number<double>(value);
    double& place = out[static_cast<std::size_t>(field - fields.begin())];
    if (!figure || !std::isfinite(*figure) || *figure < 0 || *figure > kMostFigure || place >= 0) return {};
    place = *figure;
    ++found;
  }
  return found == fields.size() ? out : std::vector<double>{};
}

// A header that can be read in one way only; else nothing.
std::string_view only(const http::fields& fields, const char* name) {
  return countOf(fields, name) == 1 ? view(fields[name]) : std::string_view{};
}

Result resultOf(const http::response<GrowingBody>& answer) {
  if (answer.result() == http::status::ok) return Result::ok;
  const bool busy = answer.result() == http::status::service_unavailable ||
                    answer.result() == http::status::gateway_timeout;
  return busy && only(answer, "Srv-Declined") == "1" ? Result::full : Result::error;
}

// A want of this machine's own, which says nothing of the worker.
bool isLocal(const Error& error) {
  using namespace boost::system;
  return error == asio::error::no_descriptors || error == errc::too_many_files_open_in_system ||
         error == asio::error::no_buffer_space || error == asio::error::no_memory ||
         error == errc::address_not_available;
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
      : worker(to),
        address(at),
        openedAtMs(unixNow()),
        pool_(pool),
        socket_(pool.io_),
        timer_(pool.io_),
        bytes_(pool.budget_) {}

  const WorkerId worker;
  const tcp::endpoint address;
  const double openedAtMs;

  void begin(RequestId id, unsigned attempt, Message message, std::optional<Clock::duration> timeout) {
    outcome_ = Outcome{};
    outcome_.id = id;
    outcome_.attempt = attempt;
    outcome_.worker = worker;
    startedAt_ = Clock::now();
    giveUpAt_ = timeout ? startedAt_ + *timeout : Clock::time_point::max();
    patience_ = timeout;
    if (message.upload) giveUpAt_ = Clock::time_point::max();  // its time counts from its last byte
    out_ = std::move(message);
    uploaded_ = 0;
    written_ = passing_ = paused_ = tight_ = false;
    busy_ = true;
    interim_ = 0;
    await();
    if (up_)
      write();
    else
      connect();
  }

  // The end of the attempt that is out, as seen from here, if it is given up now.
  Outcome stop(Result result) {
    const bool sent = written_ || passing_ || result == Result::cancelled || result == Result::moot;
    busy_ = false;
    outcome_.result = sent ? result : Result::connectFailed;
    stamp();
    return outcome_;
  }

  bool busy() const { return busy_; }
  RequestId request() const { return outcome_.id; }

  // Whether its answer has begun to be passed on.
  bool passing() const { return passing_; }

  // There is room again for what is passed on.
  void resume() {
    if (!closed_ && std::exchange(paused_, false)) take();
  }

  // Whether the worker has ended or spoiled this idle connection and the read has not told yet.
  bool spoiled() {
    char byte;
    Error error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
  }

  // Idle from now on; it holds no more than it must.
  void rest() {
    parser_.reset();
    out_ = {};
    passing_ = false;
    bytes_.shrinkTo(0);
    giveUpAt_ = Clock::now() + pool_.limits_.idleFor;
    arm(giveUpAt_);
  }

  void close() {
    closed_ = true;
    timer_.cancel();
    closeDroppingQueued(socket_);  // what is given up is not to arrive later
    bytes_.shrinkTo(0);
  }

 private:
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (!closed_) handler(error, n);
    };
  }

  static double msSince(Clock::time_point then) {
    return std::chrono::duration<double, std::milli>(Clock::now() - then).count();
  }

  // A long answer's time is that of its first bytes.
  void stamp() {
    if (!passing_) outcome_.elapsed = msSince(startedAt_);
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
    if (!busy_) return pool_.drop(*this);
    if (!up_) return end(Result::connectFailed);
    if (out_.upload && !written_ && !answering_) return end(Result::connectFailed);
    end(answering_ && Clock::now() < giveUpAt_ ? Result::spoilt : Result::timeout);
  }

  // Ready for an answer.
  void await() {
    answering_ = false;
    parser_.emplace();
    parser_->body_limit(kMostBody);
    parser_->header_limit(kMostHeader);
  }

  void connect() {
    Error error;
    socket_.open(address.protocol(), error);
    if (!error) socket_.set_option(tcp::socket::receive_buffer_size(kReceiveBuffer), error);
    if (error)
      return asio::post(pool_.io_, [self = shared_from_this(), this, error] {
        if (!closed_) notUp(error);
      });
    arm(std::min(giveUpAt_, startedAt_ + pool_.limits_.connectTimeout));
    socket_.async_connect(address, guard([this](const Error& failed, std::size_t) {
                            if (failed) return notUp(failed);
                            Error ignored;
                            socket_.set_option(tcp::no_delay(true), ignored);
                            socket_.non_blocking(true, ignored);
                            up_ = true;
                            read();
                            write();
                          }));
  }

  void notUp(const Error& error) { end(isLocal(error) ? Result::moot : Result::connectFailed); }

  // From here on the request may have run, unless the system tells that its last byte was not written: the
  // system takes it in within this call, however much later the handler runs.
  void write() {
    if (out_.upload) return writeHead();
    arm(giveUpAt_);
    written_ = writing_ = true;
    const std::string_view body = out_.body ? std::string_view(*out_.body) : std::string_view{};
    const std::array<asio::const_buffer, 2> all{asio::buffer(out_.head),
                                                asio::buffer(body.data(), body.size())};
    asio::async_write(socket_, all, guard([this](const Error& error, std::size_t) {
                        writing_ = false;
                        if (!error) pool_.events_.written();
                        if (!error || !busy_) return;
                        written_ = false;
                        end(Result::connectFailed);
                      }));
  }

  // A long body: its head, then what has come of it, piece by piece, as the worker takes it.
  void writeHead() {
    out_.upload->onMore = [weak = weak_from_this(), id = outcome_.id] {
      if (const auto self = weak.lock(); self && self->busy_ && self->outcome_.id == id) self->writeMore();
    };
    piece_ = std::move(out_.head);
    writePiece(false);
  }

  void writeMore() {
    if (closed_ || writing_ || written_) return;
    Upload& upload = *out_.upload;
    const std::string_view next = upload.from(uploaded_).substr(0, kUploadStep);
    const bool last = upload.whole() && uploaded_ + next.size() == upload.come();
    if (next.empty() && !last) return arm(Clock::time_point::max());  // the client is awaited, elsewhere
    uploaded_ += next.size();
    piece_.clear();
    if (upload.length()) {
      piece_ = next;
    } else {
      if (!next.empty()) appendChunk(piece_, next);
      if (last) piece_ += kLastChunk;
    }
    writePiece(last);
  }

  void writePiece(bool last) {
    writing_ = true;
    // From here on it may have run, as above.
    written_ = last;
    arm(Clock::now() + pool_.limits_.passWithin);
    asio::async_write(socket_, asio::buffer(piece_), guard([this, last](const Error& error, std::size_t) {
                        writing_ = false;
                        if (!error && last) pool_.events_.written();
                        if (!busy_) return;
                        if (error) return written_ = false, end(Result::connectFailed);
                        if (!last) {
                          out_.upload->taken(uploaded_);
                          return writeMore();
                        }
                        startedAt_ = Clock::now();
                        if (patience_) giveUpAt_ = startedAt_ + *patience_;
                        arm(giveUpAt_);
                      }));
  }

  void read() {
    const bool body = busy_ && parser_->is_header_done();
    if (!body && in_.size() == 0 && in_.capacity() > 2 * kReadStep) in_.shrink_to_fit();
    socket_.async_read_some(in_.prepare(body && !tight_ ? kReadStepOfBody : kReadStep),
                            guard([this](const Error& error, std::size_t n) {
                              in_.commit(n);
                              if (!busy_) return pool_.drop(*this);
                              if (error) return atEnd(error);
                              take();
                            }));
  }

  // The connection's end is that of an answer that tells no other, if it was ended in order.
  void atEnd(const Error& why) {
    Error error;
    if (why != asio::error::eof || !parser_->is_header_done() || !parser_->need_eof())
      return end(Result::reset);
    parser_->put_eof(error);
    if (error) return end(Result::reset);
    answered();
  }

  void take() {
    answering_ = true;
    arm(passing_ ? Clock::now() + pool_.limits_.passWithin
                 : std::min(giveUpAt_, Clock::now() + pool_.limits_.answerWithin));
    Error error;
    if (!parser_->is_header_done()) {
      const bool head = feed(*parser_, in_, error, Feed::head);
      if (error || (head && !readable())) return end(Result::spoilt);
      if (head && parser_->get().result_int() < 200) return passOver();
    }
    const bool done = feed(*parser_, in_, error);
    if (error) return end(Result::spoilt);
    if (!done && isLong()) {
      if (!(passing_ ? passMore() : beginPassing())) return;
    } else if (!passing_ && !bytes_.growTo(parser_->get().body().capacity() + in_.capacity())) {
      return end(Result::spoilt);
    }
    if (done) return answered();
    read();
  }

  bool isLong() const {
    if (passing_) return true;
    const auto& answer = parser_->get();
    if (answer.result() != http::status::ok || answer.body().size() < kPassFrom) return false;
    const auto length = parser_->content_length();
    return !length || *length > kMostHeld;
  }

  // From here on this is the final answer: what its first byte tells cannot be taken back. Both say whether
  // to read on; what holds it up then is its client.
  bool beginPassing() {
    passing_ = true;
    outcome_.elapsed = msSince(startedAt_);
    LongAnswer begun;
    tight_ = !bytes_.growFreely(kPassBytes);
    begun.window = tight_ ? kPassWindowLeast : kPassWindow;
    begun.id = outcome_.id;
    begun.contentType = std::string(view(parser_->get()[http::field::content_type]));
    if (const auto length = parser_->content_length()) begun.length = *length;
    begun.first = std::exchange(parser_->get().body(), {});
    return goesOn(pool_.events_.begun(std::move(begun)));
  }

  bool passMore() {
    std::string more = std::exchange(parser_->get().body(), {});
    return more.empty() || goesOn(pool_.events_.more(outcome_.id, std::move(more)));
  }

  bool goesOn(bool wanted) {
    if (closed_ || !busy_) return false;
    if (wanted) return true;
    paused_ = true;
    arm(Clock::time_point::max());
    return false;
  }

  // Whether the head tells in one way where the answer ends.
  bool readable() {
    const auto& head = parser_->get();
    return plainFraming(head) && head.result() != http::status::switching_protocols;
  }

  // An interim answer; the one that counts is still to come.
  void passOver() {
    if (++interim_ > kMostInterim) return end(Result::spoilt);
    await();
    arm(giveUpAt_);
    if (in_.size() > 0) return take();
    read();
  }

  void answered() {
    auto& answer = parser_->get();
    AttemptEnd whole;
    outcome_.result = resultOf(answer);
    stamp();
    whole.passed = passing_;
    const auto percent = number<int>(only(answer, "X-RateLimit-Used"));
    if (percent && *percent >= 0 && *percent <= kMostPercent) outcome_.usePercent = *percent;
    outcome_.report = readReport(only(answer, "Srv-Load"), pool_.reportFields_);
    whole.outcome = outcome_;
    whole.contentType = std::string(view(answer[http::field::content_type]));
    // Kept only if the exchange was a whole and ordinary one: nothing of it is left on either side.
    const bool sent = !out_.upload || written_;
    const bool good = sent && !writing_ && in_.size() == 0 && answer.keep_alive() && !parser_->need_eof();
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
    whole.passed = passing_;
    const auto self = shared_from_this();
    pool_.drop(*this);
    pool_.finish(*this, std::move(whole));
  }

  WorkerPool& pool_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  Budget::Share bytes_;
  beast::flat_buffer in_;
  std::optional<http::response_parser<GrowingBody>> parser_;
  Message out_;
  std::string piece_;           // of a long body, as it is written
  std::uint64_t uploaded_ = 0;  // of its bytes
  std::optional<Clock::duration> patience_;
  Outcome outcome_;
  Clock::time_point startedAt_, giveUpAt_;
  unsigned interim_ = 0;
  bool up_ = false;
  bool busy_ = false;
  bool written_ = false;    // the request's last byte: from here on it may have run
  bool writing_ = false;    // the request's bytes are still in use
  bool answering_ = false;  // the answer's first byte has come
  bool passing_ = false;    // it is long, and passed on while it comes
  bool tight_ = false;      // with little memory
  bool paused_ = false;     // for as long as its client takes no more
  bool closed_ = false;
};

WorkerPool::WorkerPool(asio::io_context& io, const Limits& limits, Budget& budget,
                       std::vector<std::string> reportFields, Events events)
    : io_(io),
      limits_(limits),
      budget_(budget),
      reportFields_(std::move(reportFields)),
      events_(std::move(events)) {}

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
  if (restarted) endLost(id, place);
}

// The process that these attempts went to is no more, whether or not its machine has said so.
void WorkerPool::endLost(WorkerId id, const Place& place) {
  std::vector<Shared> lost;
  for (auto& [request, connection] : busy_)
    if (connection->worker == id && connection->openedAtMs < place.startedAtMs) lost.push_back(connection);
  for (const Shared& connection : lost) {
    AttemptEnd end;
    end.passed = connection->passing();
    end.outcome = connection->stop(Result::reset);
    report(std::move(end));
    busy_.erase(connection->request());
    drop(*connection);
  }
}

void WorkerPool::retire(WorkerId id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  closeIdle(found->second);
  workers_.erase(found);
}

void WorkerPool::start(RequestId id, unsigned attempt, WorkerId target, Message message,
                       std::optional<Clock::duration> timeout) {
  const auto worker = workers_.find(target);
  Shared connection;
  if (worker != workers_.end()) connection = takeIdle(worker->second);
  if (!connection && worker != workers_.end() && makeRoom()) {
    connection = std::make_shared<Connection>(*this, target, worker->second.place.address);
    ++total_;
  }
  if (!connection) {
    AttemptEnd end;
    Outcome& outcome = end.outcome;
    outcome.id = id;
    outcome.attempt = attempt;
    outcome.worker = target;
    // For want of room here the worker is not to blame.
    outcome.result = worker == workers_.end() ? Result::connectFailed : Result::moot;
    return report(std::move(end));
  }
  busy_[id] = connection;
  connection->begin(id, attempt, std::move(message), timeout);
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

void WorkerPool::resume(RequestId id) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return;
  const Shared connection = found->second;
  connection->resume();
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
  if (total_ < most_) return true;
  for (auto& [id, worker] : workers_) {
    if (worker.idle.empty()) continue;
    const Shared oldest = worker.idle.front();
    drop(*oldest);
    return true;
  }
  return false;
}

// Reports an end from a handler of its own: the module is never told anything from within one of its actions.
void WorkerPool::report(AttemptEnd end) {
  asio::post(io_, [this, alive = alive_, end = std::move(end)]() mutable {
    if (*alive) events_.ended(std::move(end));
  });
}

void WorkerPool::finish(Connection& connection, AttemptEnd&& end) {
  const auto found = busy_.find(end.outcome.id);
  if (found != busy_.end() && found->second.get() == &connection) busy_.erase(found);
  events_.ended(std::move(end));
}

void WorkerPool::keep(const Shared& connection) {
  const auto found = workers_.find(connection->worker);
  const bool wanted = found != workers_.end() && found->second.place.address == connection->address &&
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

void WorkerPool::closeAllIdle() {
  for (auto& [id, worker] : workers_) closeIdle(worker);
}

void WorkerPool::closeIdle(Worker& worker) {
  const auto idle = std::move(worker.idle);
  worker.idle.clear();
  for (const Shared& connection : idle) drop(*connection);
}

}  // namespace burlwind
