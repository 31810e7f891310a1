// One request to a worker and the answer to it: decisions only. Bytes and events go in, a typed outcome and
// whether the connection may carry another request come out; the owner moves the bytes and keeps the time.
//
// Properties, whatever bytes arrive:
//  - An answer is the request's own only if it carries exactly one Try-Id, equal to the request's. What
//    carries another one, none, or several was not asked for here; it is skipped, and while a few are skipped
//    the own answer is still waited for.
//  - notRun and wrongServer are said only by an own answer; a promise that the request never runs is built on
//    them. After any byte was handed to the system, every other end means that the request may have run.
//  - The connection may be used again only if the request was written whole before the first byte came, that
//    byte began the own answer, nothing stood behind it, and neither side wants the connection closed. So no
//    connection on which anything unasked was seen is used again.
//  - A request without a usable Try-Id can't be told from another's: it takes a connection that nothing was
//    ever asked on, accepts the first answer alone, and the connection is closed behind it.
//  - No more is held than has been granted: before bytes are read or a body grows, neededBytes() tells what
//    that takes, and nothing goes on until grant() has it.
// Cost: the parser's, and the body held once; while a body without a told length grows, twice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include "http/http.hpp"
#include "proxy/answer_figures.hpp"

namespace burlwind::proxy {

enum class ExchangeOutcome {
  answered,     // whole, and this request's
  notSent,      // no connection, or not a byte was handed over: certainly not run
  notRun,       // turned away by its worker, which says so: certainly not run
  wrongServer,  // 421: another worker has the address: certainly not run
  broken,       // sent, and no whole answer: may have run
  timedOut,     // sent, and the time is over: may have run, or run yet
  givenUpHere,  // sent, perhaps, and given up for want of this side's own means: may have run
  abandoned     // sent, at least in part, and broken off because its client has left: may have run
};

// Whether the request has run nowhere in this exchange and never will.
constexpr bool certainlyNotRun(ExchangeOutcome outcome) {
  return outcome == ExchangeOutcome::notSent || outcome == ExchangeOutcome::notRun ||
         outcome == ExchangeOutcome::wrongServer;
}

// The only value of a message's Try-Id; empty where there is none or more than one.
template <class Fields>
std::string_view tryIdOf(const Fields& fields) {
  if (countOf(fields, "Try-Id") != 1) return {};
  return view(fields["Try-Id"]);
}

class WorkerExchange {
 public:
  using Response = http::response<http::string_body>;
  struct Request {
    std::string tryId;  // empty: none that tells its answer from others
    bool head = false;  // an answer to HEAD has no body
    std::uint64_t maxBodyBytes = kMostBody;
    std::size_t grantedBytes = std::numeric_limits<std::size_t>::max();
  };
  explicit WorkerExchange(Request request);

  // --- Events, in the order in which they happen; none counts once the exchange is finished ---
  // The system has taken `bytes` of the request. Not `whole`: the connection failed; what the worker said
  // before may still be read.
  void requestWritten(std::size_t bytes, bool whole);
  // Goes on with what was read, and may be read, within so many bytes.
  void grant(std::size_t bytes);
  // Room for what is read, and how much of it was. Only while mayRead().
  asio::mutable_buffer prepare();
  void received(std::size_t bytes);
  void received(std::string_view bytes);  // as prepare and received, with a copy
  void connectionEnded();                 // its end, or an error
  void deadlinePassed();
  void brokenOff();    // by this side, because the client has left
  void roomRefused();  // what is needed is not granted

  // --- What came of it ---
  bool finished() const { return outcome_.has_value(); }
  ExchangeOutcome outcome() const { return outcome_.value_or(ExchangeOutcome::broken); }
  // What it must be granted, in all, to go on: to read, and to keep what it has read.
  std::size_t neededBytes() const;
  bool mayRead() const { return neededBytes() <= grantedBytes_; }
  bool lengthTold() const;  // of the body at hand
  bool longBody() const { return plannedBody_ > kReadStepOfBody; }
  bool anythingReceived() const { return anythingReceived_; }
  bool connectionReusable() const;
  const Response& response() const { return response_; }  // of answered, notRun and wrongServer
  Response takeResponse() { return std::move(response_); }
  unsigned skippedAnswers() const { return skipped_; }
  std::size_t heldBytes() const;                                           // read, parsed and kept
  std::optional<AnswerBound> passedBound() const { return passedBound_; }  // of broken

 private:
  enum class Attribution { own, foreign };
  void beginAnswer();
  bool parseHead(Error& error);
  bool parseBody(Error& error);
  void planBody();
  std::size_t readStep() const;
  void consume();
  void takeAnswer();
  void skipAnswer();
  Attribution attribute(const Response& response) const;
  static ExchangeOutcome classify(const Response& response);
  void finish(ExchangeOutcome outcome) { outcome_ = outcome; }

  const Request request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  beast::flat_buffer in_;
  Response response_;
  std::optional<ExchangeOutcome> outcome_;
  std::optional<AnswerBound> passedBound_;
  std::size_t grantedBytes_ = 0;
  std::size_t headBytes_ = 0;    // of the answer at hand, parsed
  std::size_t plannedBody_ = 0;  // room that its body is to have
  std::size_t written_ = 0;
  unsigned skipped_ = 0;  // interim answers and those that were not asked for here
  bool writtenWhole_ = false;
  bool anythingReceived_ = false;
  bool answeredEarly_ = false;  // a byte came before the request was written whole
};

}  // namespace burlwind::proxy
