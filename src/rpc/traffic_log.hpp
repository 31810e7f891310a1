// The log line `traffic`: what this process has sent and received over its links since its start, by kind of
// message. Costs one pass over the counters and one line.
#pragma once

#include "program/log.hpp"
#include "rpc/traffic.hpp"

namespace burlwind::rpc {

inline void logTraffic() {
  using Direction = Traffic::Direction;
  program::info("traffic", {{"in", traffic().text(Direction::in)}, {"out", traffic().text(Direction::out)}});
}

}  // namespace burlwind::rpc
