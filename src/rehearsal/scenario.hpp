// What a rehearsal plays: fleet, plans, classes, clients, load by the minute, faults by time. Read from TOML
// and checked whole before anything is started. Decides nothing and does no I/O but reading its file.
//
// In the file times are the season's own. `pace` plays them that many times faster: `paced` scales work,
// aims, deadlines, plan figures and fault times together. Connect times and the kernel do not scale.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "faults/timetable.hpp"

namespace burlwind::rehearsal {

enum class Repeat { safe, keyed, unsafe };
enum class Scope { all, zone };

struct ClassSpec {
  std::string name;
  Repeat repeat = Repeat::safe;
  Scope scope = Scope::zone;  // keyed: who drops a repeat
  double share = 1;           // of the requests
  double workMs = 100;        // of one core, mean
  double cv = 1;
  double aimMs = 1000;
  double deadlineMs = 3000;
  double windowMs = 0;  // keyed: for how long a repeat is dropped
  double worth = 1;
};

struct PlanSpec {
  std::string name;
  unsigned customers = 1;
  double use = 0.4;       // mean asked, as a share of the rate
  double heavyShare = 0;  // of the customers, who ask heavyTimes the rate
  double heavyTimes = 2;
  double rate = 1;   // units a second
  double burst = 5;  // units
  unsigned openLimit = 0;
  double ceilingRate = 0;  // 0: no ceiling
  double ceilingBurst = 0;
  double ceilingSlack = 0;
  double price = 1;
  double overCost = 1;
};

struct FleetSpec {
  unsigned servers = 6;
  unsigned zones = 2;
  unsigned cores = 3;
  double speedCv = 0.1;
  double slotsPerCore = 6;
  double queuePerCore = 12;
  double thrash = 0.1;  // capacity lost when twice thrashAt a core are in work
  double thrashAt = 4;
  double coldFrom = 0.3;  // share of its capacity that a cold server has
  double warmMs = 12000;
  double errorShare = 0;
  unsigned connections = 1000;  // that a server accepts
  double idleMs = 30000;
  double handshakeMs = 0.5;  // work of a core for each new connection
  double reportPeriodMs = 400;
  double reportDelayMs = 60;
  double reportNoise = 0.05;
  double meterPeriodMs = 1000;
  double meterLagMs = 600;
  double drainMs = 4000;
  double tellMs = 1500;  // how late discovery tells a gatekeeper, at most
};

struct GatekeeperSpec {
  unsigned count = 2;
  unsigned sockets = 1024;
  unsigned memoryMb = 192;
  unsigned port = 0;  // 0: a free one
  double connectMs = 250;
  double readyWithinS = 10;
  double keepMs = 0;  // their state is kept in a folder each, so often; 0: it is not. It does not scale
};

struct ClientSpec {
  unsigned retries = 1;
  double backoffMs = 100;
  double honourShare = 0.7;      // of the clients, who heed Retry-After
  double patienceShare = 1;      // of the deadline, for each try
  double leaveShare = 0;         // of the requests, whose client leaves early
  double spread = 1;             // share of the gatekeepers that a customer comes through
  double shiftS = 10;            // a customer's weights change about so often
  unsigned idleConnections = 0;  // kept open beside, without a request
};

struct RuleSpec {
  double drainGraceMs = 1000;
  double fallMultiple = 2.5;
  double fallSpanMs = 1000;
  double answerGraceMs = 8;
  double slackMs = 50;  // each time limit is so much longer on sockets; does not scale
};

// Checkers of forward authentication; with any, gatekeepers ask them about every request.
struct CheckerSpec {
  unsigned count = 0;    // 0: nothing is checked
  double delayMs = 2;    // until an answer, mean
  unsigned maxAgeS = 0;  // an allowance may be remembered so long; 0: not at all. It does not scale
  double badShare = 0;   // of the arrivals, who prove nothing
  std::string whenDown = "closed";  // for classes that are safe to repeat; the others are always closed
};

enum class FaultKind {
  slow,
  falseUtil,
  lateMeter,
  lateReports,
  cut,
  crash,
  cold,
  shrink,
  drain,
  neighbour,
  hotCustomer,
  spoilt,
  rude,
  discoveryDown,
  gatekeeperKill,
  gatekeeperRestart,
  gatekeeperReload,
  flood,
  checkerSlow,
  checkerDown,
  checkerFlips,
  gatekeeperStop,
  link
};
std::string_view nameOf(FaultKind kind);

// What becomes of a killed gatekeeper's folder before it is started again: `older` is a copy of it as it was
// at half of the time until the kill, `swapped` that of the next target.
enum class Folder { kept, emptied, older, swapped, spoilt };

// The links of a gatekeeper that a fault of kind `link` is on. Who dials sends `out`: clients to a
// gatekeeper, a gatekeeper to its workers and to discovery.
enum class Peer { workers, discovery, clients };
enum class Sides { both, out, back };

struct LinkSpec {
  Peer peer = Peer::workers;
  std::vector<unsigned> servers;  // of the workers; empty: all that there are at the begin
  Sides sides = Sides::both;
  faults::Condition condition;
};

struct FaultSpec {
  FaultKind kind = FaultKind::slow;
  double startMs = 0;
  double lengthMs = 0;
  std::vector<unsigned> targets;  // servers, a zone, gatekeepers or customers, by kind; empty: all that apply
  double size = 0;                // by kind: a factor, a share, ms or a count
  Folder folder = Folder::kept;   // of the kind gatekeeper_kill
  LinkSpec link{};                // of the kind `link`

  bool activeAt(double ms) const { return ms >= startMs && ms < startMs + lengthMs; }
  bool aims(unsigned target) const;
};

struct Scenario {
  std::string name = "unnamed";
  std::string about;
  double lengthMs = 20000;
  double pace = 1;
  std::uint64_t seed = 1;
  std::vector<double> load{1};  // factor on all arrivals, points evenly over the length, linear between
  FleetSpec fleet;
  GatekeeperSpec gatekeepers;
  ClientSpec clients;
  CheckerSpec checkers;
  RuleSpec rules;
  std::vector<ClassSpec> classes;
  std::vector<PlanSpec> plans;
  std::vector<FaultSpec> faults;

  double loadAt(double ms) const;
  // Whether a customer's good token is denied at that time.
  bool flipped(std::uint64_t customer, double ms) const;
  // The faults of kind `link`, on ends named as below.
  faults::Timetable links() const;
};

// Ends of links, as timetables and reports call them.
faults::End gatekeeperEnd(unsigned gatekeeper, const Scenario& scenario);
faults::End serverEnd(unsigned server, const Scenario& scenario);
faults::End clientsEnd();
faults::End discoveryEnd();

// Both throw FileError (checked_toml): file, key and reason.
Scenario parseScenario(std::string_view text, const std::string& name);
Scenario readScenario(const std::string& path);
Scenario paced(Scenario scenario);  // the times and rates as played; `pace` stays for the report

}  // namespace burlwind::rehearsal
