// The calls from outside: an operator's orders and reads, and clients' look-ups.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <random>
#include <string>

#include "config/settings.hpp"
#include "control_api/server.hpp"
#include "registry/order_forwarder.hpp"
#include "registry/registry.hpp"

namespace burlwind::registry {

class OutsideCalls {
 public:
  OutsideCalls(const config::Settings& settings, const Registry& registry, OrderForwarder& orders,
               std::uint64_t seed)
      : settings_(settings), registry_(registry), orders_(orders), random_(seed) {}
  asio::awaitable<control_api::Reply> control(control_api::Call call);
  asio::awaitable<control_api::Reply> directory(control_api::Call call);

 private:
  asio::awaitable<control_api::Reply> order(std::string what, std::string body);
  asio::awaitable<control_api::Reply> readConfiguration();

  const config::Settings& settings_;
  const Registry& registry_;
  OrderForwarder& orders_;
  std::mt19937_64 random_;
};

}  // namespace burlwind::registry
