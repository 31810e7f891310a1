// Discovery: keeps a watch on the list of workers open and hands on what it tells.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "irisring/decide.hpp"
#include "recovery/core.hpp"

namespace burlwind {

struct Instance {
  std::string id;
  boost::asio::ip::tcp::endpoint address;
  std::string zone, kind;
  unsigned cell = 0;
  irisring::Phase phase = irisring::Phase::ready;
  double startedAtMs = 0;  // Unix time; 0: long ago
};

struct Roster {
  long long generation = -1;
  bool reset = false;  // the whole list; else only what changed
  std::vector<Instance> instances;
};

// Throws std::runtime_error with one plain line.
Roster parseRoster(std::string_view json);

// The same list again, whole: what parseRoster reads.
std::string rosterText(const std::map<std::string, Instance>& instances);

class Discovery {
 public:
  using Told = std::function<void(const Roster&)>;
  struct Limits {
    // Two of the empty lines that come every 2 s, and some time: what discovery has to tell counts as told 6
    // s later, so a watch that died unseen must be open again before. Shorter: one late line reopens the
    // watch.
    std::chrono::milliseconds silence{4500};
    std::chrono::milliseconds backoffMost{500};  // between tries; the agent is on this machine
    std::uint64_t seed = 0;                      // of the spans between them
  };

  // `from`: the version that is known already, or below 0.
  Discovery(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& agent, long long from,
            const Limits& limits, Told told);
  ~Discovery();
  void start();
  void stop();

 private:
  class Watch;
  std::shared_ptr<Watch> watch_;
};

}  // namespace burlwind
