// The messages that the proxy writes, as text: requests to workers and answers to clients. No I/O.
//
// Fields that concern one connection alone are left out, and so are those that the proxy writes itself; all
// others go along unchanged. A body's length is always told, so that an answer that ends early is seen.
#pragma once

#include <string>

#include "proxy/client_request.hpp"

namespace burlwind::proxy {

// The request as it goes to that worker, with `leftMs` of the client's time.
std::string workerRequestText(const ClientRequest& request, const std::string& worker, double leftMs);
// close: the connection ends behind it, which the client is told.
std::string clientAnswerText(const ClientRequest& request, bool close);

}  // namespace burlwind::proxy
