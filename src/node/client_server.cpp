#include "node/client_server.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cstdio>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "http/connection_end.hpp"
#include "http/pieces.hpp"

namespace burlwind {
namespace {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kFirstByteWhileEmptying{300};
constexpr irisring::Time kDrainedRetryAfter = 200;  // by then the front knows, and asks elsewhere

constexpr auto kEndCheck =
    std::chrono::milliseconds(100);           // while nothing is read of a held request's client
constexpr std::size_t kMostAhead = 4 * 1024;  // read of what follows a request that is held
constexpr std::size_t kMostMarks = 16;        // of when that came
constexpr auto kAcceptPause = 50ms;           // after an accept that failed for want of descriptors
constexpr irisring::Time kFullRetryAfter = 1000;
constexpr auto kTellCountsAfter = 10s;
constexpr int kMostTurnedAtOnce = 64;  // while there are no descriptors
constexpr std::size_t kLeastIdle = 8;
// A body that goes on may take longer than a request may else: this after its head, and a second for so many
// bytes.
constexpr auto kBodyGrace = 1000ms;
constexpr double kBodyBytesPerMs = 32;
constexpr std::size_t kUploadKept = kMostHeld;      // of a long body, and where memory is short
constexpr std::size_t kUploadKeptLeast = 8 * 1024;  // (it cannot be sent anew then)
constexpr std::size_t kWriteStep = 64 * 1024;       // of a long answer
constexpr int kMostUnread = 4;                      // steps of what one that is turned away has sent already

std::string seconds(irisring::Time ms) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, ms / 1000, std::chars_format::fixed, 3).ptr;
  return std::string(text, end);
}

http::status statusOf(const Error& error) {
  if (error == http::error::body_limit) return http::status::payload_too_large;
  if (error == http::error::header_limit) return http::status::request_header_fields_too_large;
  return http::status::bad_request;
}

// When bytes came that were read ahead. A request's time counts from its last byte, also while it waits
// behind another one.
class Arrivals {
 public:
  void note(std::size_t upTo, Clock::time_point at) {
    if (marks_.size() < kMostMarks)
      marks_.push_back({upTo, at});
    else
      marks_.back().upTo = upTo;  // held to have come earlier than it did
  }
  // The time of the byte that ends at `upTo`; `latest` if it was not read ahead. Forgets what came before it.
  Clock::time_point of(std::size_t upTo, Clock::time_point latest) {
    std::erase_if(marks_, [&](const Mark& mark) { return mark.upTo < upTo; });
    return marks_.empty() ? latest : marks_.front().at;
  }

 private:
  struct Mark {
    std::size_t upTo;
    Clock::time_point at;
  };
  std::vector<Mark> marks_;
};

}  // namespace

// One client connection: one request at a time, in the order in which they come. A request is checked by its
// head, so that what is wrong is turned away before its body has come; the connection ends with that.
class ClientServer::Connection : public Asker, public std::enable_shared_from_this<Connection> {
 public:
  Connection(ClientServer& server, tcp::socket socket, admission::Id place)
      : server_(server),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        endCheck_(socket_.get_executor()),
        bytes_(server.budget_),
        ahead_(server.ahead_),
        place_(place) {}

  void start() {
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    arm(server_.conduct_.idleMost ? kFirstByteWhileEmptying : server_.limits_.wholeWithin);
    read();
    server_.accept();
  }

  void answer(Answer&& answer) override {
    if (state_ != State::held) return;
    if (uploading_) stopUpload();
    if (call_) countEnd(metrics::fateOf(static_cast<unsigned>(answer.status)), answer.why);
    // What was served has been let in; health and rejections come by here too and prove nothing.
    if (standing_ == Standing::owed && answer.status == http::status::ok)
      server_.core_.prove(place_, admission::Proof::letIn);
    auto head = headOf(answer);
    head.content_length(answer.body.size());
    state_ = State::answering;
    addHead(head);
    if (!headOnly_) body_ = std::move(answer.body);
    bytes_.shrinkTo(in_.capacity() + body_.size());
    write();
  }

  bool begin(Answer&& first, std::optional<std::uint64_t> length, std::size_t window, bool ahead) override {
    if (state_ != State::held) return false;
    if (uploading_) stopUpload();
    // Only its end would tell an HTTP/1.0 client how long it is.
    byEnd_ = !length && old_;
    chunked_ = !length && !old_;
    last_ = last_ || byEnd_;
    auto head = headOf(first);
    if (length) head.content_length(*length);
    if (chunked_) head.chunked(true);
    state_ = State::passing;
    ahead_.open(window, ahead);
    addHead(head);
    return more(std::move(first.body));
  }

  bool more(std::string&& piece) override {
    if (state_ != State::passing) return false;
    std::string chunk;
    if (chunked_ && !piece.empty()) appendChunk(chunk, piece);
    out_.add(chunk.empty() ? std::move(piece) : std::move(chunk));
    write();
    ahead_.behind(out_.bytes());
    return ahead_.wantsMore();
  }

  void finish() override {
    if (state_ != State::passing) return;
    countEnd(metrics::Fate::success, metrics::Own::client);
    if (standing_ == Standing::owed) server_.core_.prove(place_, admission::Proof::letIn);
    if (chunked_) out_.add(std::string(kLastChunk));
    finished_ = true;
    if (out_.empty()) return written();
    write();
  }

  void breakOff() override {
    if (state_ != State::passing) return;
    countEnd(metrics::Fate::failure, metrics::Own::broken);
    finished_ = true;
    cutShort();
  }

  // Ends an answer that has come whole from its worker and that its client has not taken.
  void endIfBehind() {
    if (state_ == State::passing && finished_) cutShort();
  }

  std::string from() const override {
    Error error;
    const auto peer = socket_.remote_endpoint(error);
    return error ? std::string() : peer.address().to_string();
  }

  void close() {
    if (state_ == State::closed) return;
    const bool held = state_ == State::held || (state_ == State::passing && !finished_);
    const auto self = shared_from_this();
    abandon();
    server_.remove(place_);
    if (held) server_.holder_.left(id_);
  }

  // Ends it and tells nobody.
  void abandon() {
    state_ = State::closed;
    countOut();
    timer_.cancel();
    endCheck_.cancel();
    Error ignored;
    socket_.close(ignored);
    bytes_.shrinkTo(0);
    ahead_.behind(0);
  }

  // Ends it if no request has begun since that time, unless one has come unread.
  void endIfIdleSince(Clock::time_point since) {
    Error error;
    if (state_ == State::reading && !begun() && idleSince_ <= since && socket_.available(error) == 0) close();
  }

 private:
  enum class State { reading, held, answering, passing, lingering, closed };

  // Of an answer, all but what tells its length.
  http::response<http::empty_body> headOf(const Answer& answer) {
    http::response<http::empty_body> head(answer.status, 11);
    if (!answer.contentType.empty()) head.set(http::field::content_type, answer.contentType);
    for (const auto& [name, value] : answer.headers) head.insert(name, value);
    if (answer.retryAfter > 0) head.set(http::field::retry_after, seconds(answer.retryAfter));
    last_ = last_ || !server_.conduct_.keeps || !server_.core_.keeps(place_);
    head.keep_alive(!last_);
    if (old_ && !last_) head.set(http::field::connection, "keep-alive");
    return head;
  }

  void addHead(const http::response<http::empty_body>& head) {
    std::string text;
    append(text, head);
    out_.add(std::move(text));
  }

  // Visibly: where its end is that of the connection, a reset is no end.
  void cutShort() {
    Error ignored;
    if (byEnd_) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (state_ != State::closed) handler(error, n);
    };
  }

  bool begun() const { return parser_ || in_.size() > 0; }

  void countEnd(metrics::Fate fate, metrics::Why why) {
    if (fate == metrics::Fate::success) return server_.holder_.figures().served(call_->klass);
    server_.holder_.figures().unserved(call_->klass, call_->plan, fate, why);
  }

  void countIn() {
    counted_ = true;
    server_.holder_.figures().taken();
  }
  void countOut() {
    if (std::exchange(counted_, false)) server_.holder_.figures().done();
  }

  void stand(Standing standing) {
    standing_ = standing;
    if (const auto other = server_.core_.stand(place_, standing)) server_.close(*other);
  }

  void arm(std::chrono::milliseconds span) {
    timer_.expires_after(span);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error && timer_.expiry() <= Clock::now()) expire();
    }));
  }

  void expire() {
    if (bodyComes() && Clock::now() < bodyDue())
      return arm(std::chrono::ceil<std::chrono::milliseconds>(bodyDue() - Clock::now()));
    if (uploading_ || (state_ == State::reading && begun()))
      return cutOff({http::status::request_timeout, "too slow"});
    if (state_ != State::held) close();
  }

  // The head is whole and the body is not.
  bool bodyComes() const {
    return uploading_ || (state_ == State::reading && parser_ && parser_->is_header_done());
  }

  Clock::time_point bodyDue() const {
    if (uploading_ && !upload_->hasRoom()) return Clock::now() + kBodyGrace;  // it is the worker that is slow
    return headAt_ + kBodyGrace + bodySpan();
  }

  // What the body that has come may have taken.
  Clock::duration bodySpan() const {
    const auto come = static_cast<double>(upload_ ? upload_->come() : parser_->get().body().size());
    return std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double, std::milli>(come / kBodyBytesPerMs));
  }

  // Ready for the next request.
  void listen() {
    state_ = State::reading;
    parser_.reset();
    call_.reset();
    upload_.reset();
    finished_ = false;
    idleSince_ = Clock::now();
    bytes_.shrinkTo(in_.capacity());
    stand(Standing::idle);
    arm(server_.limits_.idleFor);
    server_.accept();
  }

  // One read is pending in every state, so that the end of a client is seen while its request is held.
  void read() {
    reading_ = true;
    if (in_.size() == 0 && in_.capacity() > 2 * kReadStep) in_.shrink_to_fit();
    socket_.async_read_some(in_.prepare(uploading_ && upload_->roomy() ? kReadStepOfBody : kReadStep),
                            guard([this](const Error& error, std::size_t n) {
                              reading_ = false;
                              if (error) return close();
                              in_.commit(n);
                              received_ += n;
                              readAt_ = Clock::now();
                              came(n);
                              if (wantsMore())
                                read();
                              else
                                watchEnd();
                            }));
  }

  // While nothing is read of a client whose request is held, its end is looked for.
  void watchEnd() {
    endCheck_.expires_after(kEndCheck);
    endCheck_.async_wait(guard([this](const Error& cancelled, std::size_t) {
      if (cancelled || reading_ || state_ == State::lingering) return;
      if (peerHasEnded(socket_)) return close();
      watchEnd();
    }));
  }

  bool wantsMore() const {
    if (uploading_) return upload_->hasRoom();
    if (state_ == State::lingering) return lingered_ <= lingerBytes();
    return state_ == State::reading || (state_ != State::closed && in_.size() < kMostAhead);
  }

  void came(std::size_t n) {
    if (state_ == State::reading || uploading_) return parse();
    if (state_ != State::lingering) return arrivals_.note(received_, readAt_);
    in_.clear();
    lingered_ += n;  // one that just goes on sending is read no further
  }

  void parse() {
    if (!parser_) begin();
    Error error;
    if (!parser_->is_header_done()) {
      const bool head = feed(*parser_, in_, error, Feed::head);
      if (error) return reject({statusOf(error), "malformed request"});
      if (!head || !welcome()) return;
    }
    const bool done = feed(*parser_, in_, error);
    if (error) return cutOff({statusOf(error), "malformed request"});
    if (uploading_) return pass(done);
    auto& message = parser_->get();
    if (message.body().size() > kMostHeld) {
      if (!call_) return reject({http::status::payload_too_large, "the body is too long"});
      if (!done) return beginUpload();
    }
    const std::uint64_t told = parser_->content_length().value_or(0);
    if (!fits(std::max(message.body().capacity(), static_cast<std::size_t>(told)))) return;
    if (done) handle(ClientMessage(std::move(message.base()), std::move(message.body())));
  }

  // A body that is longer than what is held: the request goes on with what has come of it.
  void beginUpload() {
    if (!server_.conduct_.takes) return refuseTaking();
    const auto length = parser_->content_length();
    const std::size_t keep =
        bytes_.growFreely(in_.capacity() + 2 * kUploadKept) ? kUploadKept : kUploadKeptLeast;
    upload_ = std::make_shared<Upload>(length ? std::optional<std::uint64_t>(*length) : std::nullopt, keep);
    upload_->onRoom = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->goOn();
    };
    uploading_ = true;
    state_ = State::held;
    id_ = server_.holder_.nextId();
    ClientMessage message;
    message.base() = parser_->get().base();
    server_.holder_.take(id_, *call_, std::move(message), shared_from_this(), upload_);
    if (uploading_) pass(false);
  }

  void pass(bool done) {
    upload_->add(std::exchange(parser_->get().body(), {}));
    if (!done || !uploading_) return;
    uploading_ = false;
    timer_.cancel();
    stand(Standing::owed);
    countIn();
    upload_->end();
    if (state_ == State::held) server_.holder_.whole(id_, call_->patience - waited());
  }

  void goOn() {
    if (!uploading_ || reading_ || !wantsMore()) return;
    headAt_ = Clock::now() - bodySpan();  // it could not go on until now
    read();
  }

  // The body is wanted no more: the answer goes out before it has come.
  void stopUpload() {
    uploading_ = false;
    last_ = true;
    unwanted_ = true;
    parser_.reset();
    in_.clear();
  }

  // The rest of an unwanted body comes on for a while, since its client may read only once it has sent all.
  bool lingersLong() const { return unwanted_ && server_.conduct_.keeps; }
  std::size_t lingerBytes() const {
    return lingersLong() ? server_.limits_.unwantedBytes : server_.limits_.lingerBytes;
  }

  // An end of the request that its client has earned in the midst of its body.
  void cutOff(const Rejection& why) {
    if (uploading_) server_.holder_.left(id_);
    reject(why);
  }

  // A request's first byte.
  void begin() {
    if (standing_ == Standing::idle || server_.conduct_.idleMost) arm(server_.limits_.wholeWithin);
    if (standing_ == Standing::idle) stand(Standing::unfinished);
    parser_.emplace();
    parser_->body_limit(kMostBody);
    parser_->header_limit(kMostHeader);
  }

  // The head is whole. Whether the request may go on.
  bool welcome() {
    const auto& head = parser_->get();
    last_ = !head.keep_alive();
    old_ = head.version() < 11;
    headOnly_ = head.method() == http::verb::head;
    headAt_ = Clock::now();
    question_ = isQuestion(head);
    if (!isHealth(head) && !question_ && !call(head)) return false;
    const std::uint64_t length = parser_->content_length().value_or(0);
    if (length > kMostHeld) {
      if (!call_) return reject({http::status::payload_too_large, "the body is too long"}), false;
      beginUpload();
      if (!uploading_) return false;
    } else if (!fits(static_cast<std::size_t>(length))) {
      return false;
    }
    if (beast::iequals(head[http::field::expect], "100-continue") && !parser_->is_done()) sendContinue();
    return true;
  }

  static bool isHealth(const http::request_header<>& message) {
    return message.target() == "/health/ready" && plainFraming(message);
  }

  bool isQuestion(const http::request_header<>& message) const {
    return server_.holder_.isQuestion(view(message.target())) && plainFraming(message);
  }

  // Reads the head as one of the service, or rejects it.
  bool call(const http::request_header<>& message) {
    const auto read = readCall(message, server_.config_);
    if (const auto* wrong = std::get_if<Rejection>(&read)) return reject(*wrong), false;
    call_ = std::get<Call>(read);
    server_.core_.prove(place_, admission::Proof::head);
    if (!server_.holder_.holds(call_->id)) return true;
    return reject({http::status::conflict, "a request of this Req-Id is open"}), false;
  }

  // Whether there is room for a body of this size; else the client may come back.
  bool fits(std::size_t body) {
    if (bytes_.growTo(in_.capacity() + body)) return true;
    last_ = true;
    say(http::status::service_unavailable, "out of room", kFullRetryAfter, metrics::Own::memory);
    return false;
  }

  void sendContinue() {
    addHead(http::response<http::empty_body>(http::status::continue_, 11));
    write();
  }

  void handle(ClientMessage&& message) {
    if (question_) return say(server_.holder_.question(message, from()));
    if (!call_) return sayReady(message.method());
    // With the body, trailers may have brought more headers, and the same id may have come elsewhere.
    if (!message.body().empty() && !call(message)) return;
    timer_.cancel();
    stand(Standing::owed);
    call_->patience -= waited();
    countIn();
    if (!server_.conduct_.takes) return refuseTaking();
    state_ = State::held;
    id_ = server_.holder_.nextId();
    server_.holder_.take(id_, *call_, std::move(message), shared_from_this(), nullptr);
  }

  // Since the request's last byte came, which the parser has just taken.
  irisring::Time waited() {
    const auto at = arrivals_.of(received_ - in_.size(), readAt_);
    return std::chrono::duration<double, std::milli>(Clock::now() - at).count();
  }

  void refuseTaking() {
    say(http::status::service_unavailable, "not taking requests", kDrainedRetryAfter, metrics::Own::draining);
  }

  void sayReady(http::verb method) {
    if (method != http::verb::get && method != http::verb::head)
      return reject({http::status::method_not_allowed, "only GET"});
    const bool ready = server_.conduct_.saysReady;
    say(ready ? http::status::ok : http::status::service_unavailable, ready ? "ready" : "not ready");
  }

  void reject(const Rejection& why) {
    last_ = true;
    say(why.status, why.why);
  }

  // An answer from here: the request never reaches the holder.
  void say(http::status status, std::string_view what, irisring::Time retryAfter = 0,
           metrics::Why why = metrics::Own::client) {
    Answer text;
    text.status = status;
    text.body = std::string(what) + "\n";
    text.retryAfter = retryAfter;
    text.why = why;
    say(std::move(text));
  }

  void say(Answer&& text) {
    state_ = State::held;
    answer(std::move(text));
  }

  void write() {
    const bool whole = state_ == State::answering;
    if (out_.writing() || (out_.empty() && !whole)) return;
    if (whole || state_ == State::passing) arm(server_.limits_.writeWithin);
    auto all = out_.next(whole ? out_.bytes() : kWriteStep);
    if (whole) all.push_back(asio::buffer(body_));
    asio::async_write(socket_, all, guard([this, whole](const Error& error, std::size_t) {
                        if (error) return close();
                        out_.written();
                        if (whole) return written();
                        if (!out_.empty()) write();
                        if (state_ == State::passing) passed();
                      }));
  }

  // Of a long answer, what there was is written.
  void passed() {
    ahead_.behind(out_.bytes());
    if (out_.empty() && finished_) return written();
    if (out_.empty()) timer_.cancel();
    if (!finished_ && ahead_.wantsMore()) server_.holder_.room(id_);
  }

  void written() {
    body_ = {};
    countOut();
    if (last_) return linger();
    listen();
    if (in_.size() > 0) parse();
    if (!reading_ && wantsMore()) read();
  }

  // The answer's end is told at once; the connection goes when the client has seen it, so that bytes that it
  // was still sending do not reset what it has not read yet. A client that just goes on sending is cut off.
  void linger() {
    state_ = State::lingering;
    parser_.reset();
    stand(Standing::ending);
    Error ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    in_.clear();
    arm(lingersLong() ? server_.limits_.unwantedFor : server_.limits_.lingerFor);
    if (!reading_) read();
  }

  ClientServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  asio::steady_timer endCheck_;
  Budget::Share bytes_;
  beast::flat_buffer in_;
  std::optional<http::request_parser<GrowingBody>> parser_;  // from a request's first byte on
  Clock::time_point headAt_;                                 // its head was whole
  std::shared_ptr<Upload> upload_;                           // its body, if that is long
  bool uploading_ = false;                                   // and has not come to its end
  bool old_ = false;                                         // it is of HTTP/1.0
  bool headOnly_ = false;                                    // and is told no body
  // A long answer, while it is passed on.
  readahead::Share ahead_;
  bool chunked_ = false, byEnd_ = false, finished_ = false;
  std::optional<Call> call_;  // once its head is read
  bool question_ = false;     // what comes is a proxy's
  Pieces out_;
  std::string body_;
  State state_ = State::reading;
  const admission::Id place_;
  Standing standing_ = Standing::unfinished;
  Arrivals arrivals_;
  std::size_t received_ = 0;  // bytes, ever
  std::size_t lingered_ = 0;
  Clock::time_point readAt_;
  irisring::RequestId id_ = 0;
  Clock::time_point idleSince_ = Clock::now();
  bool counted_ = false;  // among those taken and not ended
  bool last_ = false;     // the connection ends with the next answer
  bool reading_ = false;
  bool unwanted_ = false;  // the answer has gone out before the body had come
};

namespace {

admission::Settings placesOf(const ClientServer::Limits& limits) {
  admission::Settings out = limits.admission;
  out.connections = limits.connections;
  const auto share = [&](double of) {
    return static_cast<std::size_t>(of * static_cast<double>(limits.connections));
  };
  out.reserve = share(limits.reserveShare);
  out.idleMost = std::max(kLeastIdle, share(limits.idleShare));
  return out;
}

admission::Address addressOf(const asio::ip::address& address) {
  const auto v6 =
      address.is_v4() ? asio::ip::make_address_v6(asio::ip::v4_mapped, address.to_v4()) : address.to_v6();
  return {v6.to_bytes()};
}

admission::Time now() {
  return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
}

// Errors are one plain line: what was passed is not for us to listen on.
void checkPassed(int descriptor) {
  int listens = 0;
  socklen_t size = sizeof listens;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || !listens)
    throw std::runtime_error("BALANCER_PASSED_SOCKET: descriptor " + std::to_string(descriptor) +
                             " is not a listening socket");
}

int copyOf(int descriptor) {
  const int out = ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
  if (out < 0) throw boost::system::system_error(errno, boost::system::system_category(), "fcntl");
  return out;
}

int openSpare() { return ::open("/dev/null", O_RDONLY | O_CLOEXEC); }

}  // namespace

ClientServer::ClientServer(asio::io_context& io, const Config& config, const Limits& limits, Budget& budget,
                           Holder& holder)
    : config_(config),
      limits_(limits),
      budget_(budget),
      ahead_(limits.readAhead),
      holder_(holder),
      acceptor_(io),
      pause_(io),
      core_(placesOf(limits), config.seed),
      spareDescriptor_(openSpare()),
      tell_(io),
      hold_(io) {}

ClientServer::~ClientServer() {
  for (const auto& [place, connection] : connections_) connection->abandon();
  if (spareDescriptor_ >= 0) ::close(spareDescriptor_);
}

void ClientServer::start() {
  if (config_.passedSocket) checkPassed(*config_.passedSocket);
  listen();
  started_ = true;
  accept();
}

// A passed socket is shared with the platform and with other processes: it is only ever closed here, and a
// copy of its descriptor at that, so that it can be taken up again.
void ClientServer::listen() {
  try {
    if (config_.passedSocket) {
      acceptor_.assign(config_.listen.protocol(), copyOf(*config_.passedSocket));
    } else {
      acceptor_.open(config_.listen.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(config_.listen);
      acceptor_.listen();
    }
    acceptor_.set_option(tcp::acceptor::receive_buffer_size(kReceiveBuffer));  // connections inherit it
    acceptor_.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(std::string("cannot listen: ") + error.what());
  }
}

// At the limit one that may be spared makes room for one that comes, but not before it does; where there is
// none, what comes is held for a moment, and then turned away as long as there is no room.
void ClientServer::accept() {
  const admission::Door door = core_.door(now());
  if (accepting_) return;
  if (waiting_ && door.is == admission::Door::Is::hold) {
    hold_.expires_at(Clock::time_point(
        std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(door.until))));
    hold_.async_wait([this](const Error& error) {
      if (!error) accept();
    });
    return;
  }
  if (waiting_) return add(*std::exchange(waiting_, std::nullopt));
  if (!acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    accepting_ = false;
    if (error == asio::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system ||
        error == asio::error::no_buffer_space || error == asio::error::no_memory)
      return acceptLater();
    if (!error) waiting_ = std::move(socket);
    accept();
  });
}

// Out of descriptors: what comes stays in the machine's queue and would be reported again at once. With the
// one that was kept for this some of them are taken and told; the next come after a pause, when an idle one
// may have made room.
void ClientServer::acceptLater() {
  if (const auto place = core_.spare()) close(*place);
  if (spareDescriptor_ >= 0) {
    ::close(spareDescriptor_);
    Error error;
    for (int i = 0; i < kMostTurnedAtOnce && !error; ++i) {
      tcp::socket socket(acceptor_.get_executor());
      acceptor_.accept(socket, error);
      if (error) break;
      turnAway(socket);
      core_.turned(admission::Turned::noDescriptors);
    }
    spareDescriptor_ = openSpare();
    tellCounts();
  }
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this](const Error& error) {
    if (!error) accept();
  });
}

// As far as it can be told without waiting: the text fits any socket's buffer.
void ClientServer::turnAway(tcp::socket& socket) {
  static constexpr std::string_view kText =
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  Error ignored;
  socket.non_blocking(true, ignored);
  // What has come is read first: closing a socket with bytes unread resets it, and the text would be lost.
  std::array<char, kReadStep> unread;
  for (int step = 0; step < kMostUnread && socket.receive(asio::buffer(unread), 0, ignored) > 0; ++step) {
  }
  socket.send(asio::buffer(kText), 0, ignored);
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  socket.close(ignored);
}

void ClientServer::add(tcp::socket socket) {
  Error error;
  const auto peer = socket.remote_endpoint(error);
  if (error) return accept();  // it has gone already
  const admission::Id place = ++lastPlace_;
  const admission::Arrival arrival = core_.arrive(now(), place, addressOf(peer.address()));
  if (arrival.evict || !arrival.taken) tellCounts();
  if (!arrival.taken) {
    turnAway(socket);
    return accept();
  }
  const auto connection = std::make_shared<Connection>(*this, std::move(socket), place);
  connections_.emplace(place, connection);
  if (arrival.evict) close(*arrival.evict);
  connection->start();  // goes on to accept
}

void ClientServer::close(admission::Id place) {
  const auto found = connections_.find(place);
  if (found == connections_.end()) return;
  const auto connection = found->second;
  connection->close();
}

void ClientServer::remove(admission::Id place) {
  core_.gone(place);
  connections_.erase(place);
  accept();
  if (connections_.empty() && empty_) empty_();
}

// One line some seconds after something was evicted or turned away, not one for each.
void ClientServer::tellCounts() {
  if (std::exchange(telling_, true)) return;
  tell_.expires_after(kTellCountsAfter);
  tell_.async_wait([this](const Error& error) {
    if (error) return;
    telling_ = false;
    std::fprintf(stderr, "burlwind: connections: %s; %zu held of %zu, %zu unproven, %zu sources\n",
                 describe(core_.counts()).c_str(), core_.held(), limits_.connections, core_.unproven(),
                 core_.sources());
  });
}

void ClientServer::follow(const lifecycle::Conduct& conduct) {
  conduct_ = conduct;
  if (!conduct.accepts && acceptor_.is_open()) stopAccepting();
  if (started_ && conduct.accepts && !acceptor_.is_open()) {
    listen();
    accept();
  }
  if (conduct.givesUp) each([](Connection& connection) { connection.endIfBehind(); });
  if (conduct.idleMost)
    sweep(std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double, std::milli>(*conduct.idleMost)));
}

void ClientServer::sweep(Clock::duration idleMost) {
  each([since = Clock::now() - idleMost](Connection& connection) { connection.endIfIdleSince(since); });
}

// Of a copy, since some may end by it.
template <class Do>
void ClientServer::each(Do act) {
  std::vector<std::shared_ptr<Connection>> all;
  for (const auto& [place, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) act(*connection);
}

void ClientServer::stopAccepting() {
  if (waiting_) add(*std::exchange(waiting_, std::nullopt));
  while (!config_.passedSocket) {
    Error error;
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (error) break;
    add(std::move(socket));
  }
  Error ignored;
  acceptor_.close(ignored);
  pause_.cancel();
  tell_.cancel();
  hold_.cancel();
  accepting_ = false;
}

}  // namespace burlwind
