// One request of a client on its way through the proxy, and the answer that it gets.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "config/configuration.hpp"
#include "http/http.hpp"
#include "node/budget.hpp"
#include "proxy/answer_budget.hpp"
#include "proxy/client_presence.hpp"

namespace burlwind::proxy {

// The answer: a worker's, as it gave it, or one of the proxy's own with a status and a reason.
struct ClientAnswer {
  std::optional<http::response<http::string_body>> fromWorker;
  std::shared_ptr<AnswerBudget::Share> share;  // of fromWorker
  unsigned status = 0;                         // of the proxy's own; 0: none stands yet
  std::string_view reason;                     // literal text
  double retryAfterMs = -1;                    // below 0: not told

  bool stands() const { return fromWorker.has_value() || status != 0; }
  unsigned statusCode() const { return fromWorker ? fromWorker->result_int() : status; }
  void take(http::response<http::string_body> response, std::shared_ptr<AnswerBudget::Share> itsShare) {
    fromWorker = std::move(response);
    share = std::move(itsShare);
  }
  void refuse(unsigned code, std::string_view text, double retryAfter = -1) {
    status = code, reason = text, retryAfterMs = retryAfter;
  }
};

struct ClientRequest {
  http::request<http::string_body> message;
  double arrivedAt = 0;                    // ms, read whole
  double until = 0;                        // ms; its time is over
  Budget::Share* bytes = nullptr;          // of its connection
  std::shared_ptr<ClientPresence> client;  // of its connection
  // What the configuration says of it; the pointers lead into the configuration that was in force.
  std::shared_ptr<const config::Configuration> configuration;
  const config::Route* route = nullptr;
  const config::Tenant* tenant = nullptr;
  std::string service;
  bool reachedWorker = false;  // some of it was handed to a worker's connection
  ClientAnswer answer;

  std::string_view field(const char* name) const { return view(message[name]); }
  RequestKind kind() const {
    if (!route) return RequestKind::unrouted;
    return route->safe ? RequestKind::repeatable : RequestKind::onceOnly;
  }
};

}  // namespace burlwind::proxy
