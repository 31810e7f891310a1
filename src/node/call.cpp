#include "node/call.hpp"

#include <optional>

#include "http/fields.hpp"

namespace burlwind {
namespace {

using Head = http::request_header<>;

constexpr double kMostPatience = 10 * 60 * 1000;

std::string_view header(const Head& head, const char* name) { return view(head[name]); }

// The value of `name` in a list of name=value; nothing where it is not there, or more than once.
std::string_view valueOf(std::string_view list, char mark, std::string_view name) {
  std::string_view found;
  bool seen = false;
  while (!list.empty()) {
    std::string_view value = cut(list, mark);
    if (cut(value, '=') != name) continue;
    if (std::exchange(seen, true)) return {};
    found = value;
  }
  return found;
}

bool readTerms(std::string_view terms, const irisring::Settings& settings, Call& call) {
  const auto units = unitsOf(valueOf(terms, ',', "units"), settings.mostUnits);
  const auto spread = number<unsigned>(valueOf(terms, ',', "spread"));
  const auto first = number<unsigned>(valueOf(terms, ',', "first"));
  if (!units) return false;
  if (!spread || *spread < 1 || *spread > settings.gateways || !first || *first >= settings.gateways)
    return false;
  call.units = *units;
  call.setSize = *spread;
  return true;
}

// A request that names one of these twice means one thing to us and may mean another to a worker.
bool serviceHeadersOnce(const Head& head) {
  for (const char* name : {"Host", "Req-Id", "X-Tier", "Req-Deadline-Ms", "X-Call-Terms", "Idempotency-Key"})
    if (countOf(head, name) > 1) return false;
  return true;
}

bool bodyTold(const Head& head) {
  return countOf(head, "Transfer-Encoding") > 0 ||
         (countOf(head, "Content-Length") > 0 && header(head, "Content-Length") != "0");
}

bool methodFits(const Head& head, irisring::Repeat repeat) {
  if (repeat == irisring::Repeat::safe) return head.method() == http::verb::get && !bodyTold(head);
  return head.method() == http::verb::post &&
         header(head, "Idempotency-Key").empty() == (repeat == irisring::Repeat::unsafe);
}

}  // namespace

std::variant<Call, Rejection> readCall(const Head& head, const Config& config) {
  constexpr auto bad = http::status::bad_request;
  if (!plainFraming(head)) return Rejection{bad, "the body's length is not told plainly"};
  if (!serviceHeadersOnce(head)) return Rejection{bad, "a header is repeated"};
  std::string_view target = view(head.target());
  const std::string_view path = cut(target, '?');
  if (path.size() < 2 || path.front() != '/') return Rejection{http::status::not_found, "no such path"};
  std::string_view rest = path.substr(1);
  const auto klass = indexOf(config.host.classes, cut(rest, '/'));
  // A request of the service names itself; whatever else asks for some path is told that there is none.
  const bool named = countOf(head, "Req-Id") > 0;
  if (!klass && !named) return Rejection{http::status::not_found, "no such path"};
  if (!klass) return Rejection{bad, "unknown class"};
  const auto id = hexDigits(header(head, "Req-Id"));
  if (!id) return Rejection{bad, "bad Req-Id"};
  Call call;
  call.id = *id;
  call.klass = *klass;
  if (!methodFits(head, config.settings.classes[*klass].repeat))
    return Rejection{bad, "the method, body or Idempotency-Key does not fit the class"};
  const auto plan = indexOf(config.host.plans, header(head, "X-Tier"));
  if (!plan) return Rejection{bad, "unknown plan"};
  call.plan = *plan;
  const auto customer = customerOf(valueOf(target, '&', "client"));
  if (!customer) return Rejection{bad, "bad customer"};
  call.customer = *customer;
  const auto patience = number<std::uint64_t>(header(head, "Req-Deadline-Ms"));
  if (!patience || *patience < 1 || static_cast<double>(*patience) > kMostPatience)
    return Rejection{bad, "bad Req-Deadline-Ms"};
  call.patience = static_cast<double>(*patience);
  if (!readTerms(header(head, "X-Call-Terms"), config.settings, call))
    return Rejection{bad, "bad X-Call-Terms"};
  return call;
}

}  // namespace burlwind
