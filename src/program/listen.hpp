// Opens an acceptor at an address: one way for all that take connections. The error says what can't be had;
// the acceptor may then be open, and is closed with its owner.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace burlwind::program {

inline boost::system::error_code listenAt(boost::asio::ip::tcp::acceptor& acceptor, const std::string& ip,
                                          std::uint16_t port, int backlog) {
  using Tcp = boost::asio::ip::tcp;
  boost::system::error_code error;
  const Tcp::endpoint at(boost::asio::ip::make_address(ip, error), port);
  if (!error) acceptor.open(at.protocol(), error);
  if (!error) acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(at, error);
  if (!error) acceptor.listen(backlog, error);
  return error;
}

}  // namespace burlwind::program
