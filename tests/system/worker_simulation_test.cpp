// Requests over connections to workers that answer late, twice, to another, half, never, without an id, after
// a reset or on a connection used again: 100,000 exchanges from a seed, without sockets and without waiting.
// The product's parts are WorkerExchange, IdleConnections, RetryPolicy and the texts of the messages; the
// judge sees the history of each request alone: who got it, who ran it and answered what, what the client was
// told.
#include <doctest/doctest.h>

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "proxy/idle_connections.hpp"
#include "proxy/message_text.hpp"
#include "proxy/retry_policy.hpp"
#include "proxy/worker_exchange.hpp"

namespace burlwind::proxy {
namespace {

// --- What the judge knows ---
struct Run {
  unsigned worker = 0, status = 0;
  std::string seal, body;
};
struct History {
  bool repeatable = false, head = false;
  unsigned tries = 1;
  std::vector<Run> runs;       // also those that a worker began, or begins, with nobody listening
  std::set<unsigned> workers;  // that got the request, or a part of it
  unsigned status = 0;         // what the client was told
  std::string seal, body;
  bool afterUnasked = false;  // it went on a connection on which more had come than answers that were due
};

// Empty, or the rule that is broken.
std::string judge(const History& h) {
  if (!h.repeatable && h.runs.size() > 1) return "TWICE";
  if (h.workers.size() > h.tries) return "BUDGET";
  if (h.afterUnasked) return "REUSED";
  if (promisesNotRun(h.status) && !h.runs.empty()) return "REFUSED";
  const bool fromWorker = !h.seal.empty() || (h.status >= 200 && h.status < 300);
  if (!fromWorker)
    return promisesNotRun(h.status) || h.status == 502 || h.status == 504 ? "" : "MIXED status";
  for (const Run& run : h.runs)
    if (run.status == h.status && run.seal == h.seal && (h.head ? h.body.empty() : run.body == h.body))
      return "";
  return "MIXED";
}

// --- Planted bugs: what the product's parts would do with one rule less ---
enum class Bug {
  none,
  promiseWithoutId,     // Not-Run and 421 without an id are the request's own
  anyId,                // the first answer is the request's own
  oneOfSeveralIds,      // an own id among others is enough
  interimIsAnswer,      // 1xx are answers
  endCompletes,         // an answer that ends early is whole
  reusedWithLeftovers,  // a connection is used again though bytes stand behind the answer
  reusedAfterDeadline,  // and after its request has timed out
  partialIsNotSent,     // a request that was written in part has certainly not run
  brokenIsNotRun,       // a reset of an idle connection means that nothing ran
  resentOnce,           // what may run once is sent again after a silence
  promisePassedOn,      // a worker's own 503 without Not-Run reaches the client
  promiseAfterRun,      // giving up is 503 whatever happened
  triesNotCounted,
  count
};

constexpr std::array kBugNames = {"none",
                                  "promise without id",
                                  "any id",
                                  "one of several ids",
                                  "interim answer",
                                  "end completes answer",
                                  "reuse with leftovers",
                                  "reuse after deadline",
                                  "partial write",
                                  "reset means not run",
                                  "resent",
                                  "promise passed on",
                                  "promise after run",
                                  "tries not counted"};

// --- A connection and the worker at its end ---
struct Connection {
  unsigned worker = 0;
  bool open = true;
  std::string arrived;     // unread
  std::string late;        // comes later: while the connection is idle, or just after it was taken
  std::string previousId;  // of the request before
  bool clean = true;       // each request on it has had its own whole answer, and nothing else has come
};
using ConnectionPtr = std::shared_ptr<Connection>;

class Simulation {
 public:
  Simulation(unsigned seed, Bug bug) : random_(seed), bug_(bug) {}

  // The first broken rule with the number of its request; empty: none.
  std::string play(unsigned exchanges) {
    while (exchanges_ < exchanges) {
      History history;
      const unsigned number = requests_++;
      forward(number, history);
      const std::string broken = judge(history);
      if (!broken.empty()) return broken + " at request " + std::to_string(number);
      ++told_[history.status];
    }
    return {};
  }
  unsigned exchanges() const { return exchanges_; }
  const std::map<unsigned, unsigned>& told() const { return told_; }
  const std::map<ExchangeOutcome, unsigned>& outcomes() const { return outcomes_; }
  unsigned reused() const { return reused_; }
  unsigned skipped() const { return skipped_; }

 private:
  static constexpr unsigned kWorkers = 5;
  bool chance(double part) { return std::uniform_real_distribution<double>(0, 1)(random_) < part; }
  unsigned below(unsigned most) { return static_cast<unsigned>(random_() % most); }

  // --- The proxy's way, as Forwarder goes it ---
  void forward(unsigned number, History& h) {
    h.repeatable = chance(0.5), h.head = chance(0.1), h.tries = 1 + below(3);
    ClientRequest request;
    request.message.method(h.head ? http::verb::head : http::verb::get);
    request.message.target("/r" + std::to_string(number));
    if (!chance(0.03)) request.message.set("Try-Id", "t" + std::to_string(number));
    RetryPolicy policy(h.repeatable, h.tries);
    std::vector<unsigned> tried;
    while (true) {
      if ((!policy.attemptsLeft() && bug_ != Bug::triesNotCounted) || tried.size() == kWorkers ||
          chance(0.02))
        return tell(request, h, policy, chance(0.3));
      unsigned worker = below(kWorkers);
      while (std::find(tried.begin(), tried.end(), worker) != tried.end()) worker = (worker + 1) % kWorkers;
      tried.push_back(worker);
      WorkerExchange::Response response;
      const ExchangeOutcome outcome = exchange(request, h, worker, response);
      NextStep next = policy.after(outcome, response.result_int(), chance(0.8));
      if (bug_ == Bug::resentOnce && next == NextStep::giveUpNoAnswer) next = NextStep::tryAnother;
      if (bug_ == Bug::promisePassedOn && outcome == ExchangeOutcome::answered)
        next = NextStep::deliverAnswer;
      if (next == NextStep::keepAndTryAnother || next == NextStep::deliverAnswer)
        request.answer.fromWorker = std::move(response);
      if (next == NextStep::tryAnother || next == NextStep::keepAndTryAnother) continue;
      return tell(request, h, policy, chance(0.3));
    }
  }

  // What the client reads.
  void tell(ClientRequest& request, History& h, const RetryPolicy& policy, bool timeOver) {
    if (!request.answer.fromWorker)
      request.answer.refuse(bug_ == Bug::promiseAfterRun ? 503 : policy.statusOnGivingUp(timeOver),
                            "given up");
    const std::string text = clientAnswerText(request, false) + std::string(workerBodyOf(request));
    http::response_parser<http::string_body> parser;
    if (h.head) parser.skip(true);
    beast::flat_buffer in;
    const auto room = in.prepare(text.size());
    std::copy(text.begin(), text.end(), static_cast<char*>(room.data()));
    in.commit(text.size());
    Error error;
    const bool whole = feed(parser, in, error);
    if (!whole || in.size() > 0) return;  // status 0: told nothing that reads
    h.status = parser.get().result_int();
    h.seal = view(parser.get()["Server-Seal"]);
    h.body = parser.get().body();
  }

  ExchangeOutcome exchange(const ClientRequest& request, History& h, unsigned worker,
                           WorkerExchange::Response& response) {
    ++exchanges_;
    const std::string tryId(tryIdOf(request.message));
    const auto nothingArrived = [this](const ConnectionPtr& c) {
      if (chance(0.5)) c->arrived += std::exchange(c->late, {});
      return c->open && c->arrived.empty();
    };
    ConnectionPtr connection;
    if (!tryId.empty()) connection = idle_.take(std::to_string(worker), 0, nothingArrived).value_or(nullptr);
    const bool isReused = connection != nullptr;
    if (!isReused && chance(0.03)) return ++outcomes_[ExchangeOutcome::notSent], ExchangeOutcome::notSent;
    if (!isReused) connection = std::make_shared<Connection>(Connection{worker, true, {}, {}, {}, true});
    reused_ += isReused;
    h.afterUnasked = h.afterUnasked || !connection->clean;
    WorkerExchange product({tryId, h.head, kMostBody});
    const std::string text =
        workerRequestHead(request, std::to_string(worker), 1000) + request.message.body();
    transfer(product, *connection, text, tryId, h);
    skipped_ += product.skippedAnswers();
    ExchangeOutcome outcome = product.outcome();
    bool reusable = product.connectionReusable();
    response = product.takeResponse();
    plant(*connection, tryId, h, isReused, product.anythingReceived(), outcome, reusable, response);
    ++outcomes_[outcome];
    connection->previousId = tryId;
    if (reusable) idle_.add(std::to_string(worker), connection, 0, 1000);
    return outcome;
  }

  // --- The worker's way ---
  struct Script {
    std::size_t written = 0;     // bytes of the request that the system takes
    std::string before, answer;  // read while the request is written; after it
    std::string own;             // the own and whole answer among them
    bool ends = false;           // the connection ends behind them; else it is silent
  };

  void transfer(WorkerExchange& product, Connection& connection, const std::string& text,
                const std::string& tryId, History& h) {
    std::string rest = std::exchange(connection.arrived, {}) + std::exchange(connection.late, {});
    const Script script = work(connection, text, tryId, h);
    rest += script.before;
    read_.clear();
    // Bytes that come before the request is written whole are read after it all the same, or while it is.
    if (chance(0.5)) feedInPieces(product, rest);
    product.requestWritten(script.written, script.written == text.size());
    rest += script.answer;
    feedInPieces(product, rest);
    connection.clean = !script.own.empty() && read_ == script.own;
    connection.arrived = rest;
    connection.open = !script.ends;
    if (product.finished()) return;
    if (script.ends)
      product.connectionEnded();
    else
      product.deadlinePassed();
  }

  void feedInPieces(WorkerExchange& product, std::string& bytes) {
    while (!bytes.empty() && !product.finished()) {
      const std::size_t size = chance(0.3) ? 1 + below(static_cast<unsigned>(bytes.size())) : bytes.size();
      product.received(std::string_view(bytes).substr(0, size));
      read_ += bytes.substr(0, size);
      bytes.erase(0, size);
    }
  }

  Script work(Connection& connection, const std::string& text, const std::string& tryId, History& h) {
    Script out;
    out.written = text.size();
    if (chance(0.02)) {  // the connection takes nothing, or a part
      out.written = chance(0.5) ? 0 : 1 + below(static_cast<unsigned>(text.size()) - 1);
      out.ends = true;
      if (out.written == 0) return out;
      h.workers.insert(connection.worker);
      if (chance(0.3)) out.answer = refusal(tryId);
      if (out.answer.empty() && chance(0.5)) run(connection, h, 200);  // it took what it got for the whole
      return out;
    }
    h.workers.insert(connection.worker);
    if (chance(0.04) && !connection.previousId.empty()) {  // forgotten while idle: reset, and it may have run
      if (chance(0.3)) run(connection, h, 200);
      out.ends = true;
      return out;
    }
    if (chance(0.10)) out.answer += surplus(connection, tryId, h);
    if (chance(0.05))
      out.answer += message("10" + std::to_string(chance(0.5) ? 0 : 3),
                            idField(tryId) + (chance(0.5) ? "Not-Run: full\r\n" : ""), {}, true);
    own(connection, tryId, h, out);
    return out;
  }

  // What the worker does with the request itself.
  void own(Connection& connection, const std::string& tryId, History& h, Script& out) {
    const unsigned kind = below(100);
    if (kind < 8) {
      out.answer += out.own = refusal(tryId);
    } else if (kind < 10) {
      out.answer += message("421", idField(tryId), "elsewhere", h.head);
    } else if (kind < 14) {  // silence: it could not queue it, or works on for good
      if (chance(0.5)) run(connection, h, 200);
      out.ends = chance(0.3);
      return;
    } else if (kind < 20) {  // half an answer, then an end, or nothing more
      const std::string whole = answerOf(run(connection, h, 200), tryId, h.head);
      out.answer += whole.substr(0, below(static_cast<unsigned>(whole.size())));
      out.ends = chance(0.6);
      return;
    } else if (kind < 22) {
      run(connection, h, 200);
      out.answer += "bytes that form no answer\r\n\r\n";
    } else if (kind < 24) {  // says two things at once, or a success without its seal
      const Run ran = run(connection, h, 200);
      out.answer +=
          chance(0.5) ? message("200", idField(tryId) + "Not-Run: x\r\nServer-Seal: s\r\n", ran.body, h.head)
                      : message("200", idField(tryId), ran.body, h.head);
    } else if (kind < 26) {  // it comes when nobody waits any more
      connection.late += answerOf(run(connection, h, 200), tryId, h.head);
      return;
    } else {
      const unsigned failures[] = {500, 503, 429, 408, 504};
      const unsigned status = chance(0.15) ? failures[below(5)] : 200;
      const std::string whole = answerOf(run(connection, h, status), tryId, h.head);
      out.answer += out.own = whole;
      if (chance(0.03)) out.answer += whole;  // twice
      if (chance(0.03)) connection.late += whole;
      if (chance(0.02)) out.answer += "more bytes";
      if (chance(0.03)) connection.late += surplus(connection, tryId, h);
    }
    if (chance(0.02)) out.before = std::exchange(out.answer, {});
    out.ends = chance(0.03);
  }

  Run run(const Connection& connection, History& h, unsigned status) {
    const std::string number = std::to_string(++runs_);
    Run out{connection.worker, status, "s" + number, std::string(below(40), 'b') + number};
    h.runs.push_back(out);
    return out;
  }
  // An answer that nobody asked for here: of the request before, of another one, of none.
  std::string surplus(const Connection& connection, const std::string& tryId, const History& h) {
    std::string ids[] = {idField(connection.previousId), "Try-Id: elsewhere\r\n", "", "Try-Id:\r\n",
                         idField(tryId) + "Try-Id: elsewhere\r\n"};
    // Who sends no id can't tell such an answer from its own, on a connection on which nothing else was
    // asked.
    const std::string id = tryId.empty() ? ids[1] : ids[below(5)];
    const char* const statuses[] = {"503", "429", "421", "400", "200"};
    const std::string status = statuses[below(5)];
    const std::string fields = status == "200"   ? "Server-Seal: old\r\n"
                               : status == "421" ? ""
                                                 : "Not-Run: full\r\n";
    return message(status, id + fields, "another's", h.head);
  }
  std::string refusal(const std::string& tryId) {
    const char* const statuses[] = {"503", "429", "421", "400"};
    return message(statuses[below(4)], idField(tryId) + "Not-Run: full\r\n", "full", false);
  }
  static std::string idField(const std::string& id) { return id.empty() ? "" : "Try-Id: " + id + "\r\n"; }
  static std::string answerOf(const Run& run, const std::string& tryId, bool head) {
    return message(std::to_string(run.status), idField(tryId) + "Server-Seal: " + run.seal + "\r\n", run.body,
                   head);
  }
  static std::string message(const std::string& status, const std::string& fields, const std::string& body,
                             bool head) {
    const std::string length =
        status[0] == '1' ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return "HTTP/1.1 " + status + " x\r\n" + fields + length + "\r\n" + (head ? "" : body);
  }

  // --- The planted bugs, from the bytes that were read ---
  void plant(Connection& connection, const std::string& tryId, const History& h, bool isReused, bool anything,
             ExchangeOutcome& outcome, bool& reusable, WorkerExchange::Response& response) {
    const bool unsure = outcome == ExchangeOutcome::broken || outcome == ExchangeOutcome::timedOut;
    if (bug_ == Bug::reusedWithLeftovers && outcome == ExchangeOutcome::answered)
      reusable = true, connection.arrived.clear();
    if (bug_ == Bug::reusedAfterDeadline && outcome == ExchangeOutcome::timedOut) reusable = true;
    if (bug_ == Bug::brokenIsNotRun && isReused && unsure && !anything) outcome = ExchangeOutcome::notSent;
    if (bug_ == Bug::partialIsNotSent && unsure && !anything && !connection.open)
      outcome = ExchangeOutcome::notSent;
    const bool reads = bug_ == Bug::promiseWithoutId || bug_ == Bug::anyId || bug_ == Bug::oneOfSeveralIds ||
                       bug_ == Bug::interimIsAnswer || bug_ == Bug::endCompletes;
    if (reads) readAnew(tryId, h.head, outcome, reusable, response);
  }

  // The exchange with one rule less: the first answer that the lesser rule takes for the request's own.
  void readAnew(const std::string& tryId, bool head, ExchangeOutcome& outcome, bool& reusable,
                WorkerExchange::Response& response) {
    beast::flat_buffer in;
    const auto room = in.prepare(read_.size());
    std::copy(read_.begin(), read_.end(), static_cast<char*>(room.data()));
    in.commit(read_.size());
    while (in.size() > 0) {
      http::response_parser<http::string_body> parser;
      if (head) parser.skip(true);
      Error error;
      const bool whole = feed(parser, in, error);
      if (error || (!whole && !(bug_ == Bug::endCompletes && parser.is_header_done()))) return;
      const auto& answer = parser.get();
      if (!takes(answer, tryId)) continue;
      if (answer.result_int() == 200 && countOf(answer, "Server-Seal") + answer.count("Not-Run") != 1) return;
      const bool promise = answer.count("Not-Run") > 0 || answer.result_int() == 421;
      outcome = promise ? ExchangeOutcome::notRun : ExchangeOutcome::answered;
      reusable = false;
      response = parser.release();
      return;
    }
  }
  bool takes(const WorkerExchange::Response& answer, const std::string& tryId) const {
    const bool own = !tryId.empty() && tryIdOf(answer) == tryId;
    const bool interim = answer.result_int() < 200;
    if (interim) return bug_ == Bug::interimIsAnswer && own;
    const bool promise = answer.count("Not-Run") > 0 || answer.result_int() == 421;
    if (bug_ == Bug::anyId) return true;
    if (bug_ == Bug::promiseWithoutId) return own || (promise && answer.count("Try-Id") == 0);
    if (bug_ == Bug::oneOfSeveralIds) return view(answer["Try-Id"]) == tryId;
    return own;
  }

  std::mt19937_64 random_;
  const Bug bug_;
  IdleConnections<ConnectionPtr> idle_;
  std::string read_;  // by the exchange at work
  unsigned requests_ = 0, exchanges_ = 0, runs_ = 0, reused_ = 0, skipped_ = 0;
  std::map<unsigned, unsigned> told_;
  std::map<ExchangeOutcome, unsigned> outcomes_;
};

TEST_CASE("100,000 exchanges with workers in every trouble: each client gets its own answer or a true word") {
  unsigned exchanges = 0;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Simulation simulation(seed, Bug::none);
    CHECK(simulation.play(10000) == "");
    exchanges += simulation.exchanges();
    // The troubles were there, and most requests were served all the same.
    CHECK(simulation.told().at(200) > 4000);
    CHECK(simulation.told().at(503) > 100);
    CHECK(simulation.told().at(502) > 100);
    CHECK(simulation.reused() > 2000);
    CHECK(simulation.skipped() > 500);
    CHECK(simulation.outcomes().size() == 6);
  }
  CHECK(exchanges >= 100000);
}

TEST_CASE("the judge of the exchanges finds each planted bug") {
  for (unsigned bug = 1; bug < static_cast<unsigned>(Bug::count); ++bug) {
    const std::string name = kBugNames[bug];
    CAPTURE(name);
    std::string found;
    unsigned seed = 0;
    while (found.empty() && seed < 3) found = Simulation(++seed, static_cast<Bug>(bug)).play(10000);
    MESSAGE(name << ": seed " << seed << ", " << found);
    CHECK_FALSE(found.empty());
  }
}

}  // namespace
}  // namespace burlwind::proxy
