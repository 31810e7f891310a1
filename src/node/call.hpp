// A client's request, read and checked: what the module is asked, and what goes on to a worker.
#pragma once

#include <cstdint>
#include <variant>

#include "http/http.hpp"
#include "node/config.hpp"

namespace burlwind {

using ClientMessage = http::request<http::string_body>;

struct Call {
  std::uint64_t id = 0;  // the client's
  unsigned klass = 0;
  unsigned plan = 0;
  irisring::CustomerId customer = 0;
  irisring::Time patience = 0;  // how long the client waits from when it sent the request
  double units = 1;
  unsigned setSize = 1;
};

struct Rejection {
  http::status status = http::status::bad_request;
  std::string_view why;
};

// By the head alone, so that what is wrong is turned away before its body comes.
std::variant<Call, Rejection> readCall(const http::request_header<>& head, const Config& config);

}  // namespace burlwind
