#include "node/call.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace burlwind {
namespace {

constexpr irisring::CustomerId kCustomers = irisring::CustomerId{1} << 33;
constexpr double kMostPatience = 10 * 60 * 1000;

// The whole of a text as a number, or nothing.
template <class T, class... Base>
std::optional<T> number(std::string_view text, Base... base) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::string_view header(const ClientMessage& message, const char* name) { return view(message[name]); }

// The part before the first `mark`; the text goes on behind it.
std::string_view cut(std::string_view& text, char mark) {
  const auto at = text.find(mark);
  const auto part = text.substr(0, at);
  text = at == std::string_view::npos ? std::string_view{} : text.substr(at + 1);
  return part;
}

// The value of `name` in a list of name=value.
std::string_view valueOf(std::string_view list, char mark, std::string_view name) {
  while (!list.empty()) {
    std::string_view value = cut(list, mark);
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    if (cut(value, '=') == name) return value;
  }
  return {};
}

std::optional<unsigned> indexOf(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (name.empty() || found == names.end()) return std::nullopt;
  return static_cast<unsigned>(found - names.begin());
}

bool readTerms(std::string_view terms, const irisring::Settings& settings, Call& call) {
  const auto units = number<double>(valueOf(terms, ',', "units"));
  const auto spread = number<unsigned>(valueOf(terms, ',', "spread"));
  const auto first = number<unsigned>(valueOf(terms, ',', "first"));
  if (!units || !std::isfinite(*units) || *units <= 0 || *units > settings.mostUnits) return false;
  if (!spread || *spread < 1 || *spread > settings.gateways || !first || *first >= settings.gateways)
    return false;
  call.units = *units;
  call.setSize = *spread;
  return true;
}

bool methodFits(const ClientMessage& message, irisring::Repeat repeat) {
  if (repeat == irisring::Repeat::safe) return message.method() == http::verb::get && message.body().empty();
  return message.method() == http::verb::post &&
         (repeat == irisring::Repeat::unsafe || !header(message, "Idempotency-Key").empty());
}

}  // namespace

std::variant<Call, Rejection> readCall(const ClientMessage& message, const Config& config) {
  constexpr auto bad = http::status::bad_request;
  std::string_view target = view(message.target());
  const std::string_view path = cut(target, '?');
  if (path.size() < 2 || path.front() != '/') return Rejection{http::status::not_found, "no such path"};
  std::string_view rest = path.substr(1);
  const auto klass = indexOf(config.host.classes, cut(rest, '/'));
  // A request of the service names itself; whatever else asks for some path is told that there is none.
  const bool named = !header(message, "Req-Id").empty();
  if (!klass && !named) return Rejection{http::status::not_found, "no such path"};
  if (!klass) return Rejection{bad, "unknown class"};
  if (!named) return Rejection{bad, "no Req-Id"};
  Call call;
  call.klass = *klass;
  if (!methodFits(message, config.settings.classes[*klass].repeat))
    return Rejection{bad, "the method, body or Idempotency-Key does not fit the class"};
  const auto plan = indexOf(config.host.plans, header(message, "X-Tier"));
  if (!plan) return Rejection{bad, "unknown plan"};
  call.plan = *plan;
  const std::string_view key = valueOf(target, '&', "client");
  const auto customer = number<irisring::CustomerId>(key, 16);
  if (key.size() != 16 || !customer || *customer >= kCustomers) return Rejection{bad, "bad customer"};
  call.customer = *customer;
  const auto patience = number<std::uint64_t>(header(message, "Req-Deadline-Ms"));
  if (!patience || *patience < 1 || static_cast<double>(*patience) > kMostPatience)
    return Rejection{bad, "bad Req-Deadline-Ms"};
  call.patience = static_cast<double>(*patience);
  if (!readTerms(header(message, "X-Call-Terms"), config.settings, call))
    return Rejection{bad, "bad X-Call-Terms"};
  return call;
}

}  // namespace burlwind
