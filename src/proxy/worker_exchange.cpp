#include "proxy/worker_exchange.hpp"

#include <algorithm>
#include <cstring>

namespace burlwind::proxy {
namespace {

constexpr std::size_t kFirstBodyBytes = 4096;  // room of a body that tells no length
constexpr std::size_t kHeadCopies = 3;         // a head as read, its fields, and what keeps these
constexpr unsigned kMaxSkippedAnswers = 4;  // before the own one; a connection with more of them is given up

bool isInterim(unsigned status) { return status < 200; }

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

// The statuses with which a worker turns a request away.
bool mayCarryNotRun(unsigned status) {
  return status == 400 || status == 408 || status == 429 || status == 503;
}

std::optional<AnswerBound> boundOf(const Error& error) {
  if (error == http::error::header_limit) return AnswerBound::head;
  if (error == http::error::body_limit || error == http::error::buffer_overflow) return AnswerBound::body;
  return std::nullopt;
}

}  // namespace

WorkerExchange::WorkerExchange(Request request)
    : request_(std::move(request)), grantedBytes_(request_.grantedBytes) {
  beginAnswer();
}

void WorkerExchange::beginAnswer() {
  parser_.emplace();
  headBytes_ = plannedBody_ = 0;
  parser_->body_limit(std::min<std::uint64_t>(kMostBody, request_.maxBodyBytes));
  if (request_.head) parser_->skip(true);
}

void WorkerExchange::requestWritten(std::size_t bytes, bool whole) {
  if (finished()) return;
  written_ = bytes;
  writtenWhole_ = whole;
  if (!whole && bytes == 0) finish(ExchangeOutcome::notSent);
}

asio::mutable_buffer WorkerExchange::prepare() {
  const auto room = in_.prepare(readStep());
  return {room.data(), room.size()};
}

void WorkerExchange::received(std::size_t bytes) {
  in_.commit(bytes);
  if (bytes == 0) return;
  anythingReceived_ = true;
  answeredEarly_ = answeredEarly_ || !writtenWhole_;
  consume();
}

void WorkerExchange::received(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto room = prepare();
    const std::size_t size = std::min(room.size(), bytes.size());
    std::memcpy(room.data(), bytes.data(), size);
    received(size);
    bytes.remove_prefix(size);
  }
}

void WorkerExchange::grant(std::size_t bytes) {
  grantedBytes_ = bytes;
  consume();
}

void WorkerExchange::roomRefused() {
  if (finished()) return;
  passedBound_ = AnswerBound::room;
  finish(written_ > 0 ? ExchangeOutcome::givenUpHere : ExchangeOutcome::notSent);
}

void WorkerExchange::connectionEnded() {
  if (finished()) return;
  finish(written_ > 0 ? ExchangeOutcome::broken : ExchangeOutcome::notSent);
}

void WorkerExchange::deadlinePassed() {
  if (finished()) return;
  finish(ExchangeOutcome::timedOut);
}

void WorkerExchange::brokenOff() {
  if (finished()) return;
  finish(written_ > 0 ? ExchangeOutcome::abandoned : ExchangeOutcome::notSent);
}

void WorkerExchange::consume() {
  while (!finished() && in_.size() > 0) {
    Error error;
    const bool inBody = parser_->is_header_done();
    const bool whole = inBody ? parseBody(error) : parseHead(error);
    if (error) {
      passedBound_ = boundOf(error);
      return finish(ExchangeOutcome::broken);
    }
    if (whole)
      takeAnswer();
    else if (inBody || !parser_->is_header_done())
      return;
  }
}

// True where the answer ends with it.
bool WorkerExchange::parseHead(Error& error) {
  const std::size_t before = in_.size();
  const bool done = feed(*parser_, in_, error, Feed::head);
  headBytes_ += before - in_.size();
  if (!done) return false;
  planBody();
  return parser_->is_done();
}

// True where the answer ends with it; false: it needs more bytes, or more room for them.
bool WorkerExchange::parseBody(Error& error) {
  planBody();
  if (!mayRead()) return false;
  parser_->get().body().reserve(plannedBody_);
  return feed(*parser_, in_, error);
}

// What is read of a body and not parsed may all be part of it.
void WorkerExchange::planBody() {
  if (parser_->is_done()) return;
  if (const auto told = parser_->content_length()) {
    plannedBody_ = static_cast<std::size_t>(*told);
    return;
  }
  const std::size_t size = parser_->get().body().size() + in_.size();
  if (size <= plannedBody_) return;
  plannedBody_ = std::max({size, 2 * plannedBody_, kFirstBodyBytes});
}

std::size_t WorkerExchange::readStep() const { return longBody() ? kReadStepOfBody : kReadStep; }

std::size_t WorkerExchange::neededBytes() const {
  if (finished()) return response_.body().capacity() + kHeadCopies * headBytes_;
  const std::size_t room = parser_->get().body().capacity();
  // While a body moves to larger room it is held twice.
  const std::size_t body = plannedBody_ > room ? plannedBody_ + room : room;
  const std::size_t head = kHeadCopies * (parser_->is_header_done() ? headBytes_ : headBytes_ + in_.size());
  return body + head + 2 * (in_.size() + readStep());
}

bool WorkerExchange::lengthTold() const {
  return !parser_->is_header_done() || parser_->content_length().has_value();
}

void WorkerExchange::takeAnswer() {
  const auto& response = parser_->get();
  if (isInterim(response.result_int())) {
    // Nobody has asked to change the protocol.
    if (response.result() == http::status::switching_protocols) return finish(ExchangeOutcome::broken);
    return skipAnswer();
  }
  if (attribute(response) == Attribution::foreign) {
    // Whether that one has a body depends on the method of its own request, which nobody here knows.
    if (request_.head) return finish(ExchangeOutcome::broken);
    return skipAnswer();
  }
  const ExchangeOutcome outcome = classify(response);
  if (outcome != ExchangeOutcome::broken) response_ = parser_->release();
  finish(outcome);
}

void WorkerExchange::skipAnswer() {
  if (++skipped_ > kMaxSkippedAnswers) return finish(ExchangeOutcome::broken);
  beginAnswer();
}

WorkerExchange::Attribution WorkerExchange::attribute(const Response& response) const {
  if (request_.tryId.empty())
    return skipped_ == 0 && countOf(response, "Try-Id") == 0 ? Attribution::own : Attribution::foreign;
  return tryIdOf(response) == request_.tryId ? Attribution::own : Attribution::foreign;
}

// What an own answer says. One that contradicts itself, or that may be read in two ways, says nothing.
ExchangeOutcome WorkerExchange::classify(const Response& response) {
  const unsigned status = response.result_int();
  if (!plainFraming(response)) return ExchangeOutcome::broken;
  if (status == 421) return ExchangeOutcome::wrongServer;
  if (response.count("Not-Run") > 0)
    return mayCarryNotRun(status) ? ExchangeOutcome::notRun : ExchangeOutcome::broken;
  // A success without its worker's stamp is not that worker's whole answer.
  if (isSuccess(status) && countOf(response, "Server-Seal") != 1) return ExchangeOutcome::broken;
  return ExchangeOutcome::answered;
}

std::size_t WorkerExchange::heldBytes() const {
  const auto& body = finished() ? response_.body() : parser_->get().body();
  return in_.capacity() + body.capacity();
}

bool WorkerExchange::connectionReusable() const {
  const bool ownAnswer = outcome_ == ExchangeOutcome::answered || outcome_ == ExchangeOutcome::notRun;
  return ownAnswer && !request_.tryId.empty() && writtenWhole_ && !answeredEarly_ && skipped_ == 0 &&
         in_.size() == 0 && response_.keep_alive();
}

}  // namespace burlwind::proxy
