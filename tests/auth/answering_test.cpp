// Being the checker, as pure code: reading questions, wording answers, and what is remembered between them.
#include "auth/answering.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace burlwind::auth {
namespace {

const std::vector<std::string> kClasses{"look", "order"}, kPlans{"small", "large"};
const Platform kPlatform{kClasses, kPlans, 4};

AnswerSettings settings(Convention convention = Convention::nginx) {
  AnswerSettings out;
  out.path = "/auth";
  out.convention = convention;
  return out;
}

http::request_header<> head(const std::map<std::string, std::string>& without = {}) {
  http::request_header<> out;
  out.method(http::verb::get);
  out.target("/auth/order/7?x=1");
  const std::map<std::string, std::string> all{{"X-Customer", "00000000b4d65521"},
                                               {"X-Tier", "large"},
                                               {"X-Original-URI", "/look?client=1"},
                                               {"X-Forwarded-Uri", "/order/1"},
                                               {"X-Request-Id", "r-1"}};
  for (const auto& [name, value] : all)
    if (!without.contains(name)) out.set(name, value);
  for (const auto& [name, value] : without)
    if (!value.empty()) out.set(name, value);
  return out;
}

Question good(const AnswerSettings& with, const http::request_header<>& from) {
  const auto read = readQuestion(with, kPlatform, from);
  EXPECT_TRUE(std::holds_alternative<Question>(read))
      << (std::holds_alternative<std::string>(read) ? std::get<std::string>(read) : "");
  return std::holds_alternative<Question>(read) ? std::get<Question>(read) : Question{};
}

TEST(Questions, AreWhatComesAtThePathAndBelowIt) {
  for (const char* yes : {"/auth", "/auth/", "/auth/order/7?x=1", "/auth?x"})
    EXPECT_TRUE(isQuestion(settings(), yes)) << yes;
  for (const char* no : {"/", "/author", "/order/auth", "", "/aut"})
    EXPECT_FALSE(isQuestion(settings(), no)) << no;
  EXPECT_FALSE(isQuestion(AnswerSettings{}, "/auth")) << "off without a path";
}

TEST(Questions, OnlyConfiguredProxiesMayAsk) {
  AnswerSettings some = settings();
  using boost::asio::ip::make_network_v6;
  some.proxies = {make_network_v6("::ffff:10.1.0.0/112"), make_network_v6("2001:db8::7/128")};
  EXPECT_TRUE(isProxy(some, "10.1.255.3"));
  EXPECT_TRUE(isProxy(some, "::ffff:10.1.0.1"));
  EXPECT_TRUE(isProxy(some, "2001:db8::7"));
  for (const char* no : {"10.2.0.1", "2001:db8::8", "", "nonsense", "::"})
    EXPECT_FALSE(isProxy(some, no)) << no;
}

TEST(Questions, TheClassIsTheHeadersOrThePathsFirstPart) {
  EXPECT_EQ(good(settings(Convention::nginx), head()).klass, 0u);
  EXPECT_EQ(good(settings(Convention::traefik), head()).klass, 1u);
  EXPECT_EQ(good(settings(Convention::envoy), head()).klass, 1u);
  EXPECT_EQ(good(settings(Convention::nginx), head({{"X-Class", "order"}})).klass, 1u);
}

TEST(Questions, EachFieldIsReadByItsConfiguredName) {
  AnswerSettings named = settings();
  named.customer = "X-Workshop", named.plan = "X-Contract", named.units = "X-Size", named.id = "X-Trace";
  const Question read = good(named, head({{"X-Workshop", "0000000000000005"},
                                          {"X-Contract", "small"},
                                          {"X-Size", "2.5"},
                                          {"X-Trace", "t"}}));
  EXPECT_EQ(read, (Question{"t", 0, 0, 5, 2.5}));
}

TEST(Questions, WhatCannotBeReadIsToldByName) {
  const std::vector<std::pair<std::string, std::vector<std::string>>> wrong{
      {"X-Customer", {"", "b4d65521", "00000000b4d6552g", "ffffffffffffffff", "-000000000000001"}},
      {"X-Tier", {"", "huge", "large, small"}},
      {"X-Class", {"dance", "look/"}},
      {"X-Units", {"0", "-1", "5", "nan", "inf", "1e400", "two", "1 2"}},
      {"X-Request-Id", {std::string(129, 'x'), "a b", "a\x7f"}}};
  for (const auto& [name, values] : wrong)
    for (const std::string& value : values) {
      const auto read = readQuestion(settings(), kPlatform, head({{name, value}}));
      ASSERT_TRUE(std::holds_alternative<std::string>(read)) << name << ": '" << value << "'";
      EXPECT_NE(std::get<std::string>(read).find(name), std::string::npos) << std::get<std::string>(read);
    }
}

TEST(Questions, ARepeatedFieldMeansNothing) {
  for (const char* name : {"X-Customer", "X-Tier", "X-Units", "X-Request-Id"}) {
    auto twice = head({{"X-Units", "1"}});
    twice.insert(name, std::string(twice[name]));
    EXPECT_TRUE(std::holds_alternative<std::string>(readQuestion(settings(), kPlatform, twice))) << name;
  }
}

// RFC 9110, 10.2.3: whole seconds, and never none.
TEST(Wording, ARefusalSaysWhenToComeBack) {
  for (const auto convention : {Convention::traefik, Convention::envoy}) {
    const Said said = refused(convention, 1200);
    EXPECT_EQ(said.status, 429u);
    EXPECT_EQ(said.headers, (decltype(said.headers){{"Retry-After", "2"}}));
  }
  EXPECT_EQ(refused(Convention::envoy, 0).headers[0].second, "1");
}

TEST(Wording, NginxIsToldWhatItPassesOn) {
  const Said said = refused(Convention::nginx, 1000);
  EXPECT_EQ(said.status, 403u);
  EXPECT_EQ(said.headers, (decltype(said.headers){{"X-Auth-Status", "429"}, {"Retry-After", "1"}}));
  EXPECT_EQ(unusable(Convention::nginx, 400, "x").status, 403u);
  EXPECT_EQ(unusable(Convention::envoy, 400, "x").status, 400u);
  EXPECT_EQ(allowed().status, 200u);
}

TEST(Answers, AnIdIsKnownForItsTimeAndOnlyForItsRequest) {
  AnswerSettings some = settings();
  some.rememberFor = 100;
  Answers answers(some);
  const Question first{"a", 0, 0, 1, 1};
  Question other = first;
  other.units = 2;
  EXPECT_EQ(answers.known(0, first), Answers::Known::no);
  answers.letGo(0, first);
  EXPECT_EQ(answers.known(99, first), Answers::Known::yes);
  EXPECT_EQ(answers.known(99, other), Answers::Known::differs);
  EXPECT_EQ(answers.known(100, first), Answers::Known::no);
  const Question unnamed{"", 0, 0, 1, 1};
  answers.letGo(200, unnamed);
  EXPECT_EQ(answers.known(200, unnamed), Answers::Known::no);
}

TEST(Answers, WhatWasLetGoIsOutForItsTime) {
  AnswerSettings some = settings();
  some.outFor = 50;
  some.outMost = 2;
  Answers answers(some);
  answers.letGo(0, {"a", 0, 0, 1, 1});
  answers.letGo(10, {"b", 0, 0, 2, 1});
  EXPECT_EQ(answers.next(), 50);
  EXPECT_TRUE(answers.ended(49).empty());
  answers.letGo(20, {"c", 0, 0, 3, 1});
  EXPECT_EQ(answers.ended(20), (std::vector<std::uint64_t>{1})) << "no more than are counted at once";
  EXPECT_EQ(answers.ended(70), (std::vector<std::uint64_t>{2, 3}));
  EXPECT_EQ(answers.next(), std::nullopt);
}

// Against a plain model: within its time an id is let go once, each that is let go ends once, and what is
// held keeps to its bounds.
TEST(Answers, HoldUnderArbitraryQuestions) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    AnswerSettings some = settings();
    some.remembered = 50, some.outMost = 40, some.rememberFor = 300, some.outFor = 120;
    Answers answers(some);
    std::map<std::string, std::pair<Time, std::size_t>> last;  // when it was let go, as the how manieth
    std::size_t letGo = 0, ended = 0;
    Time now = 0;
    for (int step = 0; step < 5000; ++step) {
      now += random() % 10;
      ended += answers.ended(now).size();
      const Question question{"r" + std::to_string(random() % 80), 0, 0, random() % 5, 1};
      const auto known = answers.known(now, question);
      const auto before = last.find(question.id);
      const bool within = before != last.end() && now < before->second.first + some.rememberFor &&
                          letGo - before->second.second <= some.remembered;
      ASSERT_EQ(known != Answers::Known::no, within) << "seed " << seed << " step " << step;
      if (known == Answers::Known::no) {
        last[question.id] = {now, letGo++};
        answers.letGo(now, question);
        ended += answers.ended(now).size();
      }
      ASSERT_LE(answers.remembered(), some.remembered);
      ASSERT_LE(answers.out(), some.outMost);
      ASSERT_EQ(answers.out(), letGo - ended);
    }
    ended += answers.ended(now + some.outFor).size();
    EXPECT_EQ(ended, letGo) << "seed " << seed;
  }
}

}  // namespace
}  // namespace burlwind::auth
