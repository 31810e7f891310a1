// Whether a request may go on, asked of checkers: verdicts that are remembered, checks that are out, and the
// checkers they go to. Decisions only: no I/O, no clock; the time in ms is an argument and must not go back.
//
// A waiter is a request that waits for its verdict. All that come with the same text (what a checker would
// see, credentials and all, compared byte by byte) while a check of it is under way share that check. Each
// event returns what the host is to do, in order; the host does it after the call has returned.
//
// Invariants: a waiter is told once, or leaves; no waiter is told before it was asked for or after it left; a
// text has one check under way at most, and a check one attempt out at most; at a checker are no more out
// than its limit; an allowance is never told after a denial of the same text that came later; what is held is
// bounded by the settings. Cost: O(log n) a call, and O(waiters of the check) where one ends.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burlwind::auth {

using Time = double;  // ms
using WaiterId = std::uint64_t;
using CheckId = std::uint64_t;
using SourceId = std::uint64_t;

// What a checker has said. Shared, never changed.
struct Verdict {
  bool allows = false;
  unsigned status = 403;  // for the client, of a denial
  // Of an allowance: set on the request that goes on. Of a denial: on the answer to the client.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;  // of a denial
  std::size_t bytes() const;
};
using VerdictPtr = std::shared_ptr<const Verdict>;

// What holds while no checker answers.
enum class WhenDown : std::uint8_t {
  closed,  // refused
  open,    // goes on, as if there were no check
  last     // as the last verdict said, if that is no older than `lastFor`; else refused
};

struct Settings {
  std::size_t checkers = 1;
  std::size_t outPerChecker = 32;     // checks out at one checker at once
  std::size_t queue = 256;            // checks that wait for a checker
  std::size_t queuePerSource = 64;    // of these, of one source
  std::size_t waitersPerCheck = 512;  // that share one
  Time timeout = 1000;                // an attempt
  unsigned attempts = 2;              // of one check
  double retryShare = 0.1;            // further attempts for each first one, over time
  double retryBurst = 10;             // and so many at once
  unsigned ejectAfter = 3;            // failures in a row
  Time ejectFor = 1000;               // doubled at each return that fails
  Time ejectMost = 30000;
  std::size_t cacheEntries = 10000;
  std::size_t cacheBytes = 4 << 20;
  std::size_t cacheText = 8192;  // bytes of a text that is remembered at most
  Time allowFor = 0;             // where the checker does not say; 0: not remembered
  Time allowMost = 60000;
  Time denyMost = 1000;
  Time lastFor = 0;
};

struct Ask {
  std::shared_ptr<const std::string> text;  // what the checker would see
  WhenDown whenDown = WhenDown::closed;
  SourceId source = 0;
};

// How long a verdict may be remembered, as its answer says: `Cache-Control` (RFC 9111, 5.2.2).
struct Freshness {
  bool store = true;
  std::optional<Time> forMs;
};

enum class Fault : std::uint8_t {
  timeout,   // no whole answer in time
  broken,    // no connection, it ended, or what came cannot be read
  error,     // an answer that is neither an allowance nor a denial
  staleLine  // a connection that was kept had ended as the check was written: nobody's fault, once
};

enum class Told : std::uint8_t {
  verdict,  // `verdict` says
  open,     // no checker; the route lets it go on
  down,     // no checker; refused
  busy      // too many checks wait; refused
};

// What the host is to do.
struct Do {
  enum class What : std::uint8_t { start, abandon, tell } what = What::tell;
  CheckId check = 0;        // start, abandon
  std::size_t checker = 0;  // start, abandon
  bool fresh = false;       // start: on a new connection
  std::shared_ptr<const std::string> text;
  WaiterId waiter = 0;  // tell
  Told told = Told::verdict;
  VerdictPtr verdict;
};
using Todo = std::vector<Do>;

struct Counts {
  std::uint64_t asked = 0, remembered = 0, shared = 0, started = 0, resent = 0;
  std::uint64_t allowed = 0, denied = 0, open = 0, last = 0, down = 0, busy = 0;
  std::uint64_t timeouts = 0, broken = 0, errors = 0, staleLines = 0, ejections = 0, late = 0;
};

// One line, for the log.
std::string describe(const Counts& counts);

class Core {
 public:
  explicit Core(const Settings& settings);

  Todo ask(Time now, WaiterId waiter, Ask ask);
  // It wants nothing more. The check goes on for the others, and for what it tells of its text.
  void left(WaiterId waiter);
  // The attempt that is out has ended so. What is not out any more is counted and passed over.
  Todo answered(Time now, CheckId check, VerdictPtr verdict, Freshness freshness);
  Todo failed(Time now, CheckId check, Fault fault);
  // When `tick` is wanted next; nothing is missed if it comes later.
  std::optional<Time> next() const;
  Todo tick(Time now);

  std::size_t waiting() const { return waiters_.size(); }
  std::size_t out() const { return due_.size(); }
  std::size_t queued() const { return queue_.size(); }
  std::size_t remembered() const { return cache_.size(); }
  std::size_t rememberedBytes() const { return cacheBytes_; }
  bool down(Time now) const;  // no checker may be asked
  const Counts& counts() const { return counts_; }

 private:
  struct Checker {
    double limit = 1;  // slow start: each answer adds one, a failure halves it
    std::size_t out = 0;
    unsigned failures = 0;  // in a row
    Time ejectedUntil = 0, ejectFor = 0;
  };
  struct Check {
    std::shared_ptr<const std::string> text;
    std::vector<WaiterId> waiters;
    SourceId source = 0;
    unsigned attempts = 0;
    bool staleSeen = false;
    std::size_t checker = 0;
    Time due = 0;  // while an attempt is out
    bool out = false;
    std::list<CheckId>::iterator place;  // while it is queued
  };
  struct Waiter {
    CheckId check;
    WhenDown whenDown;
  };
  struct Remembered {
    std::shared_ptr<const std::string> text;
    VerdictPtr verdict;
    Time freshUntil = 0, keptUntil = 0;
  };
  using Cache = std::list<Remembered>;  // the most recently used first

  std::optional<std::size_t> choose(Time now, std::size_t butNot) const;
  Check* outNow(CheckId id);
  void start(Time now, CheckId id, Check& check, std::size_t checker, bool fresh, Todo& todo);
  void stop(Check& check, CheckId id);
  void serveQueue(Time now, Todo& todo);
  void end(Time now, CheckId id, Todo& todo, const VerdictPtr& verdict);
  void tellDown(Time now, WaiterId waiter, WhenDown whenDown, const std::string& text, Todo& todo);
  void tell(WaiterId waiter, Told told, VerdictPtr verdict, Todo& todo);
  void blame(Time now, Checker& checker);
  void remember(Time now, const std::shared_ptr<const std::string>& text, const VerdictPtr& verdict,
                Freshness freshness);
  void forget(Cache::iterator at);
  const Remembered* recall(Time now, const std::string& text);

  const Settings settings_;
  std::vector<Checker> checkers_;
  std::unordered_map<CheckId, Check> checks_;
  std::unordered_map<std::string_view, CheckId> byText_;  // views of the checks' texts
  std::unordered_map<WaiterId, Waiter> waiters_;
  std::list<CheckId> queue_;
  std::unordered_map<SourceId, std::size_t> queuedOf_;
  std::set<std::pair<Time, CheckId>> due_;
  Cache cache_;
  std::unordered_map<std::string_view, Cache::iterator> cached_;
  std::size_t cacheBytes_ = 0;
  double retryTokens_;
  CheckId lastCheck_ = 0;
  Counts counts_;
};

}  // namespace burlwind::auth
