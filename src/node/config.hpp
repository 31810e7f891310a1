// What a gatekeeper is told: at its start its environment and its configuration file, on a reload the file.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "settings/settings.hpp"

namespace burlwind {

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint discovery;
  std::optional<boost::asio::ip::tcp::endpoint> operators;  // where operators call; none: nowhere
  std::optional<int> passedSocket;  // a descriptor of this process that listens at `listen` already
  std::uint64_t seed = 0;
  unsigned sockets = 1024;  // file descriptors that the process may hold
  unsigned memoryMb = 192;
  std::string known;  // the list of workers as last had, in discovery's form; may be old
  irisring::Settings settings;
  irisring::HostSettings host;
};

// All throw std::runtime_error with one plain line on what is missing or malformed.
Config readConfig();  // from BALANCER_CONFIG and the other variables, which go before the file
// The file once more. Its `discovery` goes before BALANCER_DISCOVERY, which tells how it was at the start.
Config rereadConfig();
Config parseConfig(std::string_view json);
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view hostPort);

}  // namespace burlwind
