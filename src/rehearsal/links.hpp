// The links of a run that some fault of its scenario is on: a relay for each (faults/relay.hpp), so that what
// no fault touches costs nothing. Sets them as the scenario's timetable says; decides nothing.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "faults/relay.hpp"
#include "rehearsal/world.hpp"

namespace burlwind::rehearsal {

class Links {
 public:
  // Told when a gatekeeper has ended its connection to a server; `port` is the one that the server sees.
  using Ended = std::function<void(unsigned gatekeeper, unsigned server, std::uint16_t port)>;
  Links(World& world, Ended ended)
      : world_(world), ended_(std::move(ended)), table_(world.scenario.links()) {}

  // The address at which who dials reaches `real`: that of a relay where a fault is on the link, else `real`
  // itself. Asked again with another `real`, new connections go there. Throws SetupError.
  std::string toServer(unsigned gatekeeper, unsigned server, const std::string& real);
  std::string toDiscovery(unsigned gatekeeper, const std::string& real);
  boost::asio::ip::tcp::endpoint toGatekeeper(unsigned gatekeeper,
                                              const boost::asio::ip::tcp::endpoint& real);

  // Each link as it is at this moment of the scenario.
  void follow();
  double saidSince(unsigned gatekeeper, unsigned server, std::uint16_t port) const;

 private:
  struct Link {
    faults::End near, far;
    std::unique_ptr<faults::Relay> relay;
  };
  boost::asio::ip::tcp::endpoint through(const faults::End& near, const faults::End& far,
                                         const boost::asio::ip::tcp::endpoint& real,
                                         faults::Relay::Tell tell);
  bool faulty(const faults::End& near, const faults::End& far) const;

  World& world_;
  const Ended ended_;
  const faults::Timetable table_;
  std::map<std::pair<std::string, std::string>, Link> links_;  // by the names of who dials and who listens
};

}  // namespace burlwind::rehearsal
