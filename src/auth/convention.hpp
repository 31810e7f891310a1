// How a check is asked and answered over HTTP, in three ways that people run. Text in, text out: no I/O.
//
// nginx:   ngx_http_auth_request_module. GET to the configured path with the request's headers, no body, and
//          X-Original-URI and X-Original-Method. 2xx allows, 401 and 403 deny (of 401 WWW-Authenticate goes
//          to the client), all else is the checker's failure.
// traefik: ForwardAuth. GET to the configured path with the request's headers and X-Forwarded-Method, -Proto,
//          -Host, -Uri, -For. 2xx allows, all else goes to the client whole.
// envoy:   ext_authz over HTTP. The request's own method and its path behind the configured prefix, with the
//          allowed headers (Authorization always) and Content-Length: 0. 200 allows, 5xx is the checker's
//          failure, all else goes to the client with the allowed headers.
//
// Of all three: 5xx is held to be the checker's failure, since a final answer of a broken checker would deny
// where its route may say otherwise. What the client sends under the names that a checker sets never goes on.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "auth/core.hpp"
#include "http/http.hpp"

namespace burlwind::auth {

enum class Convention : std::uint8_t { nginx, traefik, envoy };

struct Terms {
  Convention convention = Convention::nginx;
  std::string path = "/";  // nginx, traefik: of the check; envoy: before the request's own
  std::string host;        // of the check's Host header; empty: the request's own
  // Of the client's request, what the checker sees. Empty: nginx and traefik all but hop-by-hop ones, envoy
  // Authorization alone.
  std::vector<std::string> send;
  std::vector<std::string> take;  // set on the request that goes on, from an allowance
  // On the client's answer, from a denial. Empty: nginx WWW-Authenticate; the others all but hop-by-hop ones.
  std::vector<std::string> tell;
  std::size_t bodyBytes = 0;  // of the request's body that go along at most; 0: none does
};

constexpr std::size_t kMostVerdictBody = 64 * 1024;

using Message = http::request<http::string_body>;
using Reply = http::response<http::string_body>;

// Whether a checker may set a header of this name on requests: none that frames the message, belongs to the
// hop (RFC 9110, 7.6.1) or is the platform's own.
bool mayTake(std::string_view name);

// What goes to the checker. The same for two requests only if the checker cannot tell them apart. `from` is
// the client's address. Nothing that tells one request from another goes along: no Req-Id, no deadline.
std::string checkText(const Terms& terms, const Message& message, const std::string& from);

struct Reading {
  VerdictPtr verdict;  // none: the checker's failure
  Freshness freshness;
};
Reading read(const Terms& terms, const Reply& reply);

// Takes off what only a checker may say. At the door, for every request, checked or not.
void strip(const Terms& terms, Message& message);
// Puts on what the checker has said.
void apply(const Verdict& verdict, Message& message);

}  // namespace burlwind::auth
