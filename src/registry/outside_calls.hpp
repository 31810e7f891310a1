// The calls from outside: an operator's orders and reads, and clients' look-ups.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <utility>

#include "config/settings.hpp"
#include "control_api/server.hpp"
#include "registry/directory.hpp"
#include "registry/order_forwarder.hpp"

namespace burlwind::registry {

class OutsideCalls {
 public:
  // `metrics`: this program's figures in Prometheus text format.
  OutsideCalls(const config::Settings& settings, Directory& directory, OrderForwarder& orders,
               std::function<std::string()> metrics)
      : settings_(settings), directory_(directory), orders_(orders), metrics_(std::move(metrics)) {}
  asio::awaitable<control_api::Reply> control(control_api::Call call);
  asio::awaitable<control_api::Reply> directory(control_api::Call call);

 private:
  asio::awaitable<control_api::Reply> order(std::string what, std::string body);
  asio::awaitable<control_api::Reply> readConfiguration();
  void logAbroad(const Lookup& lookup, const LookupAnswer& answer);

  const config::Settings& settings_;
  Directory& directory_;
  OrderForwarder& orders_;
  const std::function<std::string()> metrics_;
  double abroadLoggedAt_ = -1e18;
};

}  // namespace burlwind::registry
