#include "auth/answering.hpp"

#include <algorithm>
#include <cmath>

#include "http/fields.hpp"

namespace burlwind::auth {
namespace {

using Head = http::request_header<>;

constexpr std::size_t kMostId = 128;  // bytes
constexpr Time kSecond = 1000;

boost::asio::ip::address_v6 asV6(const boost::asio::ip::address& address) {
  return address.is_v4() ? boost::asio::ip::make_address_v6(boost::asio::ip::v4_mapped, address.to_v4())
                         : address.to_v6();
}

std::string_view header(const Head& head, const std::string& name) { return view(head[name]); }

// The path of the request that is asked about.
std::string_view originalPath(const AnswerSettings& settings, const Head& head) {
  switch (settings.convention) {
    case Convention::nginx:
      return header(head, "X-Original-URI");
    case Convention::traefik:
      return header(head, "X-Forwarded-Uri");
    case Convention::envoy:
      return view(head.target()).substr(settings.path.size());
  }
  return {};
}

std::string_view className(const AnswerSettings& settings, const Head& head) {
  if (countOf(head, settings.klass) > 0) return header(head, settings.klass);
  std::string_view path = originalPath(settings, head);
  if (!path.starts_with('/')) return {};
  path = path.substr(1);
  return path.substr(0, path.find_first_of("/?"));
}

bool plainId(std::string_view id) {
  return id.size() <= kMostId &&
         std::all_of(id.begin(), id.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

}  // namespace

bool isQuestion(const AnswerSettings& settings, std::string_view target) {
  if (!settings.on() || !target.starts_with(settings.path)) return false;
  const std::string_view rest = target.substr(settings.path.size());
  return rest.empty() || rest.front() == '/' || rest.front() == '?';
}

bool isProxy(const AnswerSettings& settings, const std::string& from) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(from, error);
  if (error) return false;
  const boost::asio::ip::network_v6 one(asV6(address), 128);
  return std::any_of(settings.proxies.begin(), settings.proxies.end(),
                     [&](const auto& network) { return one == network || one.is_subnet_of(network); });
}

std::variant<Question, std::string> readQuestion(const AnswerSettings& settings, const Platform& platform,
                                                 const Head& head) {
  for (const std::string* name :
       {&settings.customer, &settings.plan, &settings.klass, &settings.units, &settings.id})
    if (countOf(head, *name) > 1) return *name + " is repeated";
  Question out;
  const auto customer = customerOf(header(head, settings.customer));
  if (!customer) return settings.customer + " names no customer";
  out.customer = *customer;
  const auto plan = indexOf(platform.plans, header(head, settings.plan));
  if (!plan) return settings.plan + " names no plan";
  out.plan = *plan;
  const auto klass = indexOf(platform.classes, className(settings, head));
  if (!klass) return "neither " + settings.klass + " nor the request's path names a class";
  out.klass = *klass;
  if (countOf(head, settings.units) > 0) {
    const auto units = unitsOf(header(head, settings.units), platform.mostUnits);
    if (!units) return settings.units + " is no number of units";
    out.units = *units;
  }
  const std::string_view id = header(head, settings.id);
  if (!plainId(id)) return settings.id + " is too long or not plain";
  out.id = std::string(id);
  return out;
}

Said allowed() { return {}; }

Said unusable(Convention convention, unsigned status, std::string_view why) {
  Said out{status, {}, std::string(why) + "\n"};
  if (convention == Convention::nginx && status != 401 && status != 403) {
    out.headers.emplace_back("X-Auth-Status", std::to_string(status));
    out.status = 403;
  }
  return out;
}

Said refused(Convention convention, Time retryAfter) {
  Said out = unusable(convention, 429, "beyond the quota: try again later");
  // A proxy's client may read whole seconds only (RFC 9110, 10.2.3).
  const auto seconds = static_cast<long>(std::ceil(std::max(1.0, retryAfter) / kSecond));
  out.headers.emplace_back("Retry-After", std::to_string(seconds));
  return out;
}

std::string describe(const AnswerCounts& c) {
  return std::to_string(c.asked) + " asked, " + std::to_string(c.allowed) + " allowed, " +
         std::to_string(c.repeated) + " asked again, " + std::to_string(c.refused) + " refused, " +
         std::to_string(c.unusable) + " unusable, " + std::to_string(c.strangers) + " by no proxy";
}

Answers::Known Answers::known(Time now, const Question& question) {
  forget(now);
  if (question.id.empty()) return Known::no;
  const auto found = byId_.find(question.id);
  if (found == byId_.end()) return Known::no;
  return found->second->question == question ? Known::yes : Known::differs;
}

void Answers::letGo(Time now, const Question& question) {
  out_.emplace_back(now + settings_.outFor, question.customer);
  if (question.id.empty() || settings_.remembered == 0) return;
  ids_.push_back({question, now + settings_.rememberFor});
  byId_.emplace(ids_.back().question.id, std::prev(ids_.end()));
  forget(now);
}

// New settings may have made the times of those that come later earlier: these are forgotten with the ones
// before them.
void Answers::forget(Time now) {
  while (!ids_.empty() && (ids_.front().until <= now || ids_.size() > settings_.remembered)) {
    byId_.erase(ids_.front().question.id);
    ids_.pop_front();
  }
}

std::vector<std::uint64_t> Answers::ended(Time now) {
  std::vector<std::uint64_t> out;
  while (!out_.empty() && (out_.front().first <= now || out_.size() > settings_.outMost)) {
    out.push_back(out_.front().second);
    out_.pop_front();
  }
  return out;
}

std::optional<Time> Answers::next() const {
  return out_.empty() ? std::nullopt : std::optional(out_.front().first);
}

}  // namespace burlwind::auth
