// Being the checker: a proxy elsewhere asks on a path whether a request may go, and is told by the decision
// module's quotas. How a question is read and an answer worded, and what is remembered between questions: no
// I/O, no clock; the time in ms is an argument and must not go back.
//
// A question is a request's head. Which of its headers name the customer, the plan, the class and the units
// is set; a field that is missing, repeated or cannot be read is told so and takes nothing. Units are taken
// once for a request id: asked again, an allowance is said again. A refusal is not remembered, as it took
// nothing.
//
// A proxy does not tell when what it let go has ended, so it counts as out for a set time. Cost: O(1) a
// question; what is held is bounded by the settings.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/network_v6.hpp>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "auth/convention.hpp"

namespace burlwind::auth {

struct AnswerSettings {
  std::string path;  // questions are asked at this path and below it; empty: none are
  Convention convention = Convention::nginx;
  std::vector<boost::asio::ip::network_v6> proxies;  // who may ask; IPv4 as mapped addresses
  // The headers that name each. Without the class's header the class is the first part of the request's path,
  // as the convention tells that. Without the id's each question takes its units.
  std::string customer = "X-Customer", plan = "X-Tier", klass = "X-Class", units = "X-Units",
              id = "X-Request-Id";
  unsigned gatekeepers = 0;  // among which the proxies spread a customer's questions; 0: all
  // Whether what is let go reaches servers whose meter counts it. Where it does not, the gatekeepers do not
  // learn of one another's, and a customer's questions belong at one of them.
  bool metered = true;
  Time outFor = 100;            // ms that what was let go counts as out
  std::size_t outMost = 10000;  // so many at once; beyond, the oldest counts no longer
  Time rememberFor = 10000;     // ms
  std::size_t remembered = 10000;
  bool on() const { return !path.empty(); }
};

// What the platform names, and the most units of a request.
struct Platform {
  const std::vector<std::string>& classes;
  const std::vector<std::string>& plans;
  double mostUnits;
};

struct Question {
  std::string id;  // empty: none told
  unsigned klass = 0, plan = 0;
  std::uint64_t customer = 0;
  double units = 1;
  bool operator==(const Question&) const = default;
};

bool isQuestion(const AnswerSettings& settings, std::string_view target);
bool isProxy(const AnswerSettings& settings, const std::string& from);

// The question, or what is wrong with it.
std::variant<Question, std::string> readQuestion(const AnswerSettings& settings, const Platform& platform,
                                                 const http::request_header<>& head);

// What a proxy is told. nginx's auth_request passes on 401 and 403 alone and makes 500 of all else, so there
// X-Auth-Status has what the others get as the status.
struct Said {
  unsigned status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};
Said allowed();
Said refused(Convention convention, Time retryAfter);  // 429, Retry-After in whole seconds
Said unusable(Convention convention, unsigned status, std::string_view why);  // 4xx; asking again won't help

struct AnswerCounts {
  std::uint64_t asked = 0, allowed = 0, repeated = 0, refused = 0, unusable = 0, strangers = 0;
};

std::string describe(const AnswerCounts& counts);  // one line, for the log

// What was let go: for how long it counts as out, and for how long its id is known.
class Answers {
 public:
  enum class Known { no, yes, differs };

  explicit Answers(AnswerSettings settings) : settings_(std::move(settings)) {}
  // New settings hold for what comes; what was let go before is still known.
  void use(AnswerSettings settings) { settings_ = std::move(settings); }
  const AnswerSettings& settings() const { return settings_; }

  // Whether a request of this id was let go already. `differs`: it was another one.
  Known known(Time now, const Question& question);
  void letGo(Time now, const Question& question);
  // Customers of what counts as out no longer, one for each.
  std::vector<std::uint64_t> ended(Time now);
  std::optional<Time> next() const;  // when `ended` is wanted next

  std::size_t out() const { return out_.size(); }
  std::size_t remembered() const { return ids_.size(); }
  AnswerCounts counts;

 private:
  struct Remembered {
    Question question;
    Time until;
  };
  void forget(Time now);

  AnswerSettings settings_;
  std::deque<std::pair<Time, std::uint64_t>> out_;                              // the earliest first
  std::list<Remembered> ids_;                                                   // the oldest first
  std::unordered_map<std::string_view, std::list<Remembered>::iterator> byId_;  // views of the ids
};

}  // namespace burlwind::auth
