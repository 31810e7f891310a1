// What a run saw on its sockets, event by event, and of what a daemon says of itself only its reasons, which
// the judge passes over. The judge's only source; written as one JSON object a line
// (docs/operators/rehearsal.md), so that a run can be judged again. Times are ms from the run's begin.
// Memory: some 130 bytes an event.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "rehearsal/scenario.hpp"

namespace burlwind::rehearsal {

enum class Kind : std::uint8_t {
  want,     // an arrival, at its intended time: number = arrival, klass, plan, customer, value = units,
            // good = it proves who it is
  ask,      // a try is taken: its last byte is written. request, number = arrival, part = try, gatekeeper,
            // value = units, extra = patience in ms, good = it proves who it is
  untaken,  // a try that no gatekeeper took: number = arrival, part = try, gatekeeper
  answer,   // request, part = status, good, value = Retry-After in ms; at = its last byte
  noise,    // bytes on the connection behind the final answer of this request
  lost,     // the connection ended with no whole answer: request, gatekeeper, good = nothing of it can have
            // been taken on this connection, text = refused: nobody listened where it was sent once more
  crossed,  // a kept connection ended with nothing answered; the client sends the request once more: request
  left,     // the client gave up: request
  overdue,  // the client waited for much longer than its time, and nothing came: request
  begin,    // an attempt has come whole: request, gatekeeper, server, connection, since = its first byte,
            // value = work, extra = the server's capacity, good = the server is cold
  end,      // an attempt is over: request, server, connection, text = served, error, declined, spoilt, closed
            // (by the gatekeeper), reset (by the server); since, above 0: when the gatekeeper had ended it
            // while the link held that back
  ran,      // a server has done a request's work: request, server
  stray,    // a request that no client sent reached a server: server, gatekeeper
  server,   // server, text = ready, cold, draining, gone, fallen, crashed
  told,     // discovery wrote to a gatekeeper: gatekeeper, server, text = ready, draining, gone;
            // value = when it started, below 0: long ago
  check,    // a checker's answer: server = its place, good = it allows, customer, value = so many out there
  daemon,   // gatekeeper, text = start, ready, term, kill, stop, wake, reload, exit, crash, hang; number =
            // exit status
  fault,    // number = its place in the scenario, text = begin, end
  usage,    // gatekeeper, value = CPU seconds since its start, extra = memory in MB, number = descriptors;
            // with no gatekeeper: of the kit itself
  lag,      // the kit itself was so late: value = ms
  said,   // a daemon's own words at its end: gatekeeper, text = plan and reason, number = how many requests,
          // good = refused, else failed
  opened  // a connection came up: gatekeeper, server; with no server: at discovery
};

struct Event {
  double at = 0;
  Kind kind = Kind::want;
  bool good = false;
  std::int16_t gatekeeper = -1;
  std::int16_t server = -1;
  std::uint16_t klass = 0, plan = 0, part = 0;
  std::uint64_t request = 0, connection = 0, customer = 0, number = 0;
  double since = 0, value = 0, extra = 0;
  std::string text;
};

struct Trace {
  std::string scenarioText;  // as read; `scenario` is it, paced
  Scenario scenario;
  std::uint64_t seed = 0;
  std::uint64_t digest = 0;
  std::vector<Event> events;

  Event& add(double at, Kind kind) {
    events.push_back({});
    events.back().at = at;
    events.back().kind = kind;
    return events.back();
  }
};

constexpr std::string_view kTraceSchema = "burlwind-rehearsal-trace/1";

void writeTrace(std::ostream& out, const Trace& trace);
// Throws FileError: name, line and reason.
Trace readTrace(std::istream& in, const std::string& name);

}  // namespace burlwind::rehearsal
