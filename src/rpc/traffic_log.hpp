// The line "traffic" of a program's log: what it has sent and received since its start, by kind of message.
#pragma once

#include "program/log.hpp"
#include "rpc/traffic.hpp"

namespace burlwind::rpc {

inline void logTraffic() {
  using Direction = Traffic::Direction;
  program::info("traffic", {{"in", traffic().text(Direction::in)}, {"out", traffic().text(Direction::out)}});
}

}  // namespace burlwind::rpc
