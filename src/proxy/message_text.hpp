// The messages that the proxy writes, as text: requests to workers and answers to clients. No I/O.
//
// Fields that concern one connection alone are left out, and so are those that the proxy writes itself; all
// others go along unchanged. A body's length is always told, so that an answer that ends early is seen.
#pragma once

#include <string>
#include <string_view>

#include "proxy/client_request.hpp"

namespace burlwind::proxy {

// The head of the request as it goes to that worker, with `leftMs` of the client's time; its body goes as it
// came.
std::string workerRequestHead(const ClientRequest& request, const std::string& worker, double leftMs);
// The answer but for a worker's body; close: the connection ends behind it, which the client is told.
std::string clientAnswerText(const ClientRequest& request, bool close);
// The body that goes behind that text, as its worker gave it.
std::string_view workerBodyOf(const ClientRequest& request);

}  // namespace burlwind::proxy
