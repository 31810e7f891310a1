#include "auth/convention.hpp"

#include <algorithm>
#include <array>

namespace burlwind::auth {
namespace {

constexpr std::array kHopByHop{
    "Connection", "Keep-Alive",         "Proxy-Connection",   "TE", "Trailer", "Transfer-Encoding",
    "Upgrade",    "Proxy-Authenticate", "Proxy-Authorization"};  // RFC 9110, 7.6.1
// Of each request its own, or told anew.
constexpr std::array kOwn{"Host",      "Content-Length", "Expect", "Req-Id", "Req-Deadline-Ms",
                          "Req-Retry", "Idempotency-Key"};
constexpr std::array kPlatform{"X-Tier", "X-Call-Terms"};
constexpr std::string_view kForwarded = "X-Forwarded-";
constexpr std::string_view kOriginal = "X-Original-";

template <class Names>
bool among(const Names& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [&](const auto& one) {
    return beast::iequals(beast::string_view(name.data(), name.size()), beast::string_view(one));
  });
}

bool startsWith(std::string_view name, std::string_view with) {
  return name.size() >= with.size() && beast::iequals(beast::string_view(name.data(), with.size()),
                                                      beast::string_view(with.data(), with.size()));
}

// Named by `Connection` too (RFC 9110, 7.6.1).
template <class Fields>
bool hopByHop(const Fields& fields, std::string_view name) {
  if (among(kHopByHop, name)) return true;
  const auto range = fields.equal_range(http::field::connection);
  for (auto at = range.first; at != range.second; ++at) {
    std::string_view list = view(at->value());
    while (!list.empty()) {
      std::string_view token = cut(list, ',');
      while (!token.empty() && (token.back() == ' ' || token.back() == '\t')) token.remove_suffix(1);
      if (beast::iequals(beast::string_view(token.data(), token.size()),
                         beast::string_view(name.data(), name.size())))
        return true;
    }
  }
  return false;
}

// No byte that could end a line or hide: what comes from a checker goes into another message.
bool plain(std::string_view value) {
  return std::none_of(value.begin(), value.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && byte != '\t') || byte == 0x7f;
  });
}

bool sent(const Terms& terms, const Message& message, std::string_view name) {
  if (hopByHop(message, name) || among(kOwn, name) || startsWith(name, kForwarded) ||
      startsWith(name, kOriginal))
    return false;
  if (!terms.send.empty()) return among(terms.send, name);
  return terms.convention != Convention::envoy || among(std::array{"Authorization"}, name);
}

bool told(const Terms& terms, const Reply& reply, std::string_view name) {
  if (hopByHop(reply, name) || among(std::array{"Content-Length"}, name)) return false;
  if (!terms.tell.empty()) return among(terms.tell, name);
  return terms.convention != Convention::nginx || among(std::array{"WWW-Authenticate"}, name);
}

Freshness freshnessOf(const Reply& reply) {
  Freshness out;
  const auto range = reply.equal_range(http::field::cache_control);
  for (auto at = range.first; at != range.second; ++at) {
    std::string_view list = view(at->value());
    while (!list.empty()) {
      std::string_view value = cut(list, ',');
      while (!value.empty() && value.back() == ' ') value.remove_suffix(1);
      const std::string_view name = cut(value, '=');
      const auto is = [&](const char* word) {
        return beast::iequals(beast::string_view(name.data(), name.size()), word);
      };
      // A shared cache's directives: `private` is not for one that serves many, but the text that a verdict
      // is remembered by holds its credentials.
      if (is("no-store") || is("no-cache")) out.store = false;
      if (!is("max-age")) continue;
      const auto seconds = number<unsigned long>(value);
      const Time ms =
          seconds ? static_cast<Time>(*seconds) * 1000 : 0;  // unreadable: not fresh (RFC 9111, 4.2.1)
      out.forMs = out.forMs ? std::min(*out.forMs, ms) : ms;
    }
  }
  return out;
}

}  // namespace

bool mayTake(std::string_view name) {
  return !among(kHopByHop, name) && !among(kOwn, name) && !among(kPlatform, name);
}

std::string checkText(const Terms& terms, const Message& message, const std::string& from) {
  const bool envoy = terms.convention == Convention::envoy;
  const std::string target(view(message.target()));
  http::request<http::empty_body> head;
  head.version(11);
  head.method(envoy ? message.method() : http::verb::get);
  head.target(envoy ? (terms.path == "/" ? target : terms.path + target) : terms.path);
  head.set(http::field::host,
           terms.host.empty() ? std::string(view(message[http::field::host])) : terms.host);
  for (const auto& field : message)
    if (sent(terms, message, view(field.name_string()))) head.insert(field.name_string(), field.value());
  const std::string method(view(message.method_string()));
  if (terms.convention == Convention::nginx) {
    head.set("X-Original-URI", target);
    head.set("X-Original-Method", method);
  } else if (terms.convention == Convention::traefik) {
    head.set("X-Forwarded-Method", method);
    head.set("X-Forwarded-Proto", "http");
    head.set("X-Forwarded-Host", std::string(view(message[http::field::host])));
    head.set("X-Forwarded-Uri", target);
  }
  if (!from.empty() && !envoy) head.set("X-Forwarded-For", from);
  std::string_view body;
  if (terms.bodyBytes > 0) body = std::string_view(message.body()).substr(0, terms.bodyBytes);
  if (envoy || !body.empty()) head.content_length(body.size());
  std::string out;
  append(out, head);
  return out.append(body);
}

Reading read(const Terms& terms, const Reply& reply) {
  const unsigned status = reply.result_int();
  const bool allows = terms.convention == Convention::envoy ? status == 200 : status >= 200 && status < 300;
  const bool denies = terms.convention == Convention::nginx ? status == 401 || status == 403
                                                            : !allows && status >= 300 && status < 500;
  Reading out;
  if (!allows && !denies) return out;
  auto verdict = std::make_shared<Verdict>();
  verdict->allows = allows;
  verdict->status = status;
  for (const auto& field : reply) {
    const std::string_view name = view(field.name_string()), value = view(field.value());
    const bool wanted = allows ? among(terms.take, name) : told(terms, reply, name);
    if (!wanted) continue;
    if (!plain(value)) return out;
    verdict->headers.emplace_back(name, value);
  }
  if (denies && terms.convention != Convention::nginx) verdict->body = reply.body();
  out.verdict = std::move(verdict);
  out.freshness = freshnessOf(reply);
  return out;
}

void strip(const Terms& terms, Message& message) {
  for (const std::string& name : terms.take) message.erase(name);
}

void apply(const Verdict& verdict, Message& message) {
  for (const auto& [name, value] : verdict.headers) message.insert(name, value);
}

}  // namespace burlwind::auth
