#include "proxy/routing.hpp"

#include <algorithm>

namespace burlwind::proxy {
namespace {

constexpr double kTimeoutUntoldMs = 60000;
constexpr double kNoWeightRetryMs = 500;

// By weight; empty where no service has one.
std::string chooseService(const config::Route& route, double draw) {
  double sum = 0;
  for (const auto& part : route.parts) sum += std::max(0.0, part.weight);
  double left = draw * sum;
  std::string chosen;
  for (const auto& part : route.parts) {
    if (part.weight <= 0) continue;
    chosen = part.service;
    if ((left -= part.weight) < 0) break;
  }
  return chosen;
}

double timeAllowedMs(const ClientRequest& request) {
  const double timeout = request.route->timeout > 0 ? request.route->timeout : kTimeoutUntoldMs;
  const auto told = number<double>(request.field("Time-Left-Ms"));
  return told && *told >= 0 ? std::min(timeout, *told) : timeout;
}

}  // namespace

bool assignRoute(ClientRequest& request, double draw) {
  const config::Configuration& configuration = *request.configuration;
  const std::string_view target = view(request.message.target());
  if (!target.starts_with('/')) return request.answer.refuse(400, "no such target"), false;
  request.route = configuration.routeOf(request.field("Host"), target.substr(0, target.find('?')));
  if (!request.route) return request.answer.refuse(404, "no such route"), false;
  if (!configuration.tenants.empty() && !request.route->open) {
    const bool hasKey = request.message.count("Api-Key") > 0;
    request.tenant = hasKey ? configuration.tenantOf(request.field("Api-Key")) : nullptr;
    if (!request.tenant) return request.answer.refuse(401, "no such key"), false;
  }
  request.until = request.arrivedAt + timeAllowedMs(request);
  request.service = chooseService(*request.route, draw);
  if (request.service.empty())
    return request.answer.refuse(503, "no service has a weight", kNoWeightRetryMs), false;
  return true;
}

}  // namespace burlwind::proxy
