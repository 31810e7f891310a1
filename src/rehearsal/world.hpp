// What all stand-ins of one run share: the loop, the clock, the scenario as played, the trace, and who has
// asked what. One thread; nothing here is locked.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <unordered_map>

#include "faults/process.hpp"
#include "rehearsal/load.hpp"
#include "rehearsal/trace.hpp"

namespace burlwind::rehearsal {

using faults::SetupError;  // here with exit status 2

struct Asked {  // a try, by its Req-Id
  std::uint32_t arrival = 0;
  std::uint16_t klass = 0;
  std::uint16_t attempts = 0;  // that have come whole to a server
  float work = 0;
  double units = 1;
};

struct World {
  boost::asio::io_context& io;
  const Scenario& scenario;  // paced
  const LoadPlan& plan;
  Trace& trace;
  std::uint64_t seed = 0;
  std::chrono::steady_clock::time_point begin{};
  double unixBegin = 0;  // ms
  std::unordered_map<std::uint64_t, Asked> book;
  // When a gatekeeper began to say what now comes to a server on the connection from this port, where a link
  // may hold it back; below 0: as it comes.
  std::function<double(unsigned gatekeeper, unsigned server, std::uint16_t port)> saidSince{};

  void startClock() {
    begin = std::chrono::steady_clock::now();
    unixBegin = std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
                    .count();
  }
  double now() const {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
  }
  std::chrono::steady_clock::time_point at(double ms) const { return begin + span(ms); }
  static std::chrono::steady_clock::duration span(double ms) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double, std::milli>(ms));
  }
  unsigned zoneOf(unsigned number) const { return number % scenario.fleet.zones; }

  // The product, sum or largest of what the active faults of a kind do to a target.
  template <class Take>
  void eachActive(FaultKind kind, unsigned target, const Take& take) const {
    const double at = now();
    for (const FaultSpec& fault : scenario.faults)
      if (fault.kind == kind && fault.activeAt(at) && fault.aims(target)) take(fault);
  }
};

// A customer or a request id as it is written.
inline std::string hex16(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

// The body that a server makes for a request; the client knows it by that.
inline std::string bodyFor(const std::string& id) { return "done " + id + "\n"; }

}  // namespace burlwind::rehearsal
