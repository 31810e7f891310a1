// One call of an operator to a registry's control address.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>

#include "config/settings.hpp"

namespace burlwind::scale_run {

// POST /api/rpc?call=`call`; the answer's status, 0 where none comes within some seconds.
boost::asio::awaitable<int> callOperator(boost::asio::io_context& io, config::Endpoint at, std::string call,
                                         const std::string& body);

}  // namespace burlwind::scale_run
