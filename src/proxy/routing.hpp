// Which route, tenant and service a request belongs to, and how long it may take: decisions only.
#pragma once

#include "proxy/client_request.hpp"

namespace burlwind::proxy {

// Fills in route, tenant, service and `until` by request.configuration (which is there), or refuses the
// request. draw: from 0 to under 1, for the choice among a route's services.
bool assignRoute(ClientRequest& request, double draw);

}  // namespace burlwind::proxy
