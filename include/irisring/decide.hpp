// irisring: the interface of the decision module (implemented in src/policy).
//
// A host feeds events to one Gateway object per gateway and carries out the actions it is handed. All times
// are milliseconds of the host's clock; the module reads no other clock and no other source of randomness
// than the salt. Nothing here decides anything.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace irisring {

using Time = double;
using RequestId = std::uint32_t;
using WorkerId = std::uint64_t;  // opaque
using CustomerId = std::uint64_t;

enum class Repeat { safe, keyed, unsafe };
enum class Scope { all, zone, cell };
enum class Phase { gone, ready, draining };
// spoilt: an answer came and is of no use. It has run, and that says nothing of the worker.
enum class Result { ok, error, full, timeout, connectFailed, reset, cancelled, moot, spoilt };

// The guard that has turned a request away, or why what was let in is given up. Each refusal and failure has
// one: the first that holds, in this order for a try that is new.
enum class Reason : std::uint8_t {
  unreadable,  // a class, plan or figure that the settings do not have
  ceiling,     // this gateway's part of the customer's hard ceiling is used up
  bucket,      // this gateway's bucket of the customer is empty
  cap,         // the customer's attempts out at once are held to be as many as it may have
  store,       // its quota over all gateways is held to be used up, and the admit fraction lets no more in
  stranger,    // nothing is known of the customer, and its set is far larger than its store or cap
  limit,       // this gateway has as many attempts out as the workers have borne lately
  nobody,      // no worker that may serve it is listed as ready
  full,        // those that are have said that they are full, or have as much out as they bear
  cold,        // one has room, but is cold and has had its share of work for now
  lost,        // its attempts have failed, and class, settings or what is left of repeats allow no other
  time         // its time is over
};
constexpr std::size_t kReasons = 12;

struct ClassSettings {
  Time aim = 0;       // an answer within this earns full worth
  Time deadline = 0;  // what a client waits in all
  Repeat repeat = Repeat::unsafe;
  Scope scope = Scope::all;  // keyed: the workers that drop a repeat
  Time window = 0;           // keyed: for how long they do
  double worth = 1;
  double lateWorth = 0;  // share of the worth that an answer past the aim earns
};

struct PlanSettings {
  double rate = 0;  // units a second over all gateways; 0: no quota on the rate
  double burst = 0;
  unsigned openLimit = 0;  // attempts out at once over all gateways; 0: no such cap
  double ceilingRate = 0;  // 0: no hard ceiling
  double ceilingBurst = 0;
  double ceilingSlack = 0;
  double price = 1;
  double overWorth = 0;  // share of its worth that work beyond the quota earns
  double overCost = 0;   // share of its worth that it costs
};

struct Settings {
  unsigned self = 0;
  unsigned gateways = 1;
  unsigned zone = 0;
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  std::vector<std::string> reportFields;
  bool askDiscovery = false;  // the list of workers comes only on request
  Time askWithin = 0;
  unsigned maxAttempts = 1;
  Time maxRetryAfter = 0;
  Time meterPeriod = 0;       // 0: answers carry no readings
  bool settlesUnits = false;  // units of a request are a guess that the answer corrects
  double mostUnits = 1;
  Time drainGrace = 0;
  double coldFrom = 1;
  Time warmUp = 0;
  double fallMultiple = 1;
  Time fallSpan = 0;
  double crossZonePrice = 0;
};

struct Member {
  WorkerId worker = 0;
  Phase phase = Phase::ready;
  unsigned zone = 0;
  unsigned kind = 0;
  unsigned cell = 0;
  Time started = 0;  // 0: long ago
};

enum class ListKind { failed, delta, cached, full };

struct Request {
  RequestId id = 0;
  unsigned klass = 0;
  unsigned plan = 0;
  CustomerId customer = 0;
  Time expires = 0;
  double units = 1;
  unsigned setSize = 1;  // gateways that this customer's requests come through
  bool whole = true;     // else its body still comes: it loads no worker until `whole` is told
};

struct Outcome {
  RequestId id = 0;
  Result result = Result::ok;
  unsigned attempt = 0;
  double trueUnits = 0;  // 0: none told
  WorkerId worker = 0;
  int usePercent = -1;  // metered use of the customer's quota; below 0: none told
  Time elapsed = 0;
  bool finished = false;  // nothing more is owed for this request
  std::vector<double> report;
};

// What is said of a request that somebody else sends on.
struct Leave {
  bool granted = false;
  Time retryAfter = 0;                 // ms, where it is not
  Reason reason = Reason::unreadable;  // and why
};

// The workers as routing sees them at a moment.
struct Fleet {
  std::size_t listed = 0;   // not gone
  std::size_t avoided = 0;  // of these: draining, or sent to only where there is no other
};

// What one process of a gateway hands over to the next: a plain value, of use only to a process of the same
// build on the same machine.
using State = std::vector<std::uint64_t>;

// Whether a state was kept on a disk, and for so long that what it knows of workers and load has faded.
enum class Kept { no, lately, longAgo };

// What the module asks of its host.
class Actions {
 public:
  virtual ~Actions() = default;
  virtual void send(RequestId id, WorkerId worker, Time timeout) = 0;  // 0: until the client gives up
  virtual void refuse(RequestId id, Time retryAfter, Reason reason) = 0;
  virtual void fail(RequestId id, Reason reason) = 0;
  virtual void setTimer(Time wait, std::uint64_t tag) = 0;
  virtual void subscribe() = 0;  // ask for the list of workers and its changes
  virtual void log(const std::string& line) = 0;
};

class Gateway {
 public:
  // Throws std::invalid_argument on settings that make no sense.
  Gateway(const Settings& settings, std::uint64_t salt, Time now, Actions& actions);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  void members(Time now, ListKind kind, const std::vector<Member>& list);
  void request(Time now, const Request& request);
  void outcome(Time now, const Outcome& outcome);
  // The body of a request that was not whole has come to its end, and its time counts from here.
  void whole(Time now, RequestId id, Time expires);
  // The answer of the attempt that is out has begun and is long: the worker has done its work. The attempt
  // stays out until its end is told.
  void answering(Time now, RequestId id);
  void clientLeft(Time now, RequestId id);
  void timer(Time now, std::uint64_t tag);

  // Asks for a request that the host hands to nobody, since a proxy elsewhere sends it on: decided by the
  // customer's quota, cap and ceiling alone, told at once, and nothing of it is held. What is granted takes
  // its units and counts as one attempt out until `returned`. `metered`: the meter will count it.
  Leave leave(Time now, const Request& request, bool metered);
  void returned(Time now, CustomerId customer);

  // Two processes are one gateway while one takes over from the other. Each then does its `part` of what the
  // gateway may do, over 0 and up to 1; both parts must come to no more than 1. What is there goes with it:
  // stored units of buckets and ceilings are cut to the part.
  void actAs(Time now, double part);
  // What this process knows of customers, workers and the meter, to be taken over by one that does `part`;
  // this one goes on with the rest, until it is told to act as the whole.
  State handOver(Time now, double part);
  // False, with nothing changed, if it does not fit: cut, of another build or of other settings. Workers must
  // be listed before, since what is known of others is dropped. Attempts out that are told to `returned` as
  // they end are named in `out`, once each.
  bool takeOver(Time now, const State& state, double part, std::vector<CustomerId>& out,
                Kept kept = Kept::no);

  // What another process of this gateway may take over (`Kept::lately`) once this one has died, by surprise
  // and at any moment; this one goes on as before. Of hard ceilings it gives back only what is then sure to
  // be unspent: from `remembered`, which says that it is on the disk, on this process spends nothing of that.
  // Without that call, what the last one that is there gives back stays unspent.
  State remember(Time now);
  void remembered();

  Fleet fleet(Time now) const;
  std::size_t customersHeld() const;
  std::size_t requestsHeld() const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace irisring
