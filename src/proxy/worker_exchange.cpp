#include "proxy/worker_exchange.hpp"

#include <algorithm>
#include <cstring>

namespace burlwind::proxy {
namespace {

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

WorkerExchange::WorkerExchange(Request request) : request_(std::move(request)) { beginAnswer(); }

void WorkerExchange::beginAnswer() {
  parser_.emplace();
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
  const auto room = in_.prepare(kReadStep);
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
    const bool whole = feed(*parser_, in_, error);
    if (error) {
      passedBound_ = boundOf(error);
      return finish(ExchangeOutcome::broken);
    }
    if (!whole) return;
    takeAnswer();
  }
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
