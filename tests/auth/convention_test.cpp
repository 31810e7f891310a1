// What a checker is sent and how its answer is read, in each of the three conventions.
#include "auth/convention.hpp"

#include <gtest/gtest.h>

namespace burlwind::auth {
namespace {

Message order() {
  Message out(http::verb::post, "/confirmar/7?client=1", 11);
  out.set("Host", "pedidos.example.org");
  out.set("Authorization", "Bearer abc");
  out.set("Req-Id", "00000000000000a1");
  out.set("Req-Deadline-Ms", "500");
  out.set("X-Tier", "taller");
  out.set("Connection", "keep-alive, X-Hop");
  out.set("X-Hop", "1");
  out.set("Proxy-Authorization", "Basic xyz");
  out.set("X-Forwarded-Uri", "/forged");
  out.set("X-Original-URI", "/forged");
  out.set("Content-Length", "4");
  out.body() = "body";
  return out;
}

Terms termsOf(Convention convention) {
  Terms out;
  out.convention = convention;
  out.path = "/check";
  out.host = "auth.example.org";
  out.take = {"X-User", "X-Groups"};
  return out;
}

Reply reply(unsigned status, const std::vector<std::pair<std::string, std::string>>& headers = {},
            const std::string& body = "") {
  Reply out;
  out.result(status);
  for (const auto& [name, value] : headers) out.insert(name, value);
  out.body() = body;
  return out;
}

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

TEST(AuthConvention, NginxSendsAGetWithTheHeadersAndNoBody) {
  const std::string text = checkText(termsOf(Convention::nginx), order(), "10.0.0.9");
  EXPECT_EQ(text.find("GET /check HTTP/1.1\r\n"), 0u) << text;
  for (const char* part :
       {"Host: auth.example.org\r\n", "Authorization: Bearer abc\r\n", "X-Tier: taller\r\n",
        "X-Original-URI: /confirmar/7?client=1\r\n", "X-Original-Method: POST\r\n"})
    EXPECT_TRUE(has(text, part)) << part << text;
  for (const char* part :
       {"body", "Req-Id", "Req-Deadline", "X-Hop", "Connection", "Proxy-Auth", "forged", "Content-Length"})
    EXPECT_FALSE(has(text, part)) << part << text;
}

TEST(AuthConvention, TraefikTellsOfTheRequestInForwardedHeaders) {
  const std::string text = checkText(termsOf(Convention::traefik), order(), "10.0.0.9");
  for (const char* part : {"GET /check HTTP/1.1\r\n", "X-Forwarded-Method: POST\r\n",
                           "X-Forwarded-Proto: http\r\n", "X-Forwarded-Host: pedidos.example.org\r\n",
                           "X-Forwarded-Uri: /confirmar/7?client=1\r\n", "X-Forwarded-For: 10.0.0.9\r\n"})
    EXPECT_TRUE(has(text, part)) << part << text;
  EXPECT_FALSE(has(text, "forged"));
}

TEST(AuthConvention, EnvoySendsTheRequestsOwnLineBehindItsPrefixAndOnlyAllowedHeaders) {
  Terms terms = termsOf(Convention::envoy);
  const std::string text = checkText(terms, order(), "10.0.0.9");
  EXPECT_EQ(text.find("POST /check/confirmar/7?client=1 HTTP/1.1\r\n"), 0u) << text;
  EXPECT_TRUE(has(text, "Authorization: Bearer abc\r\n"));
  EXPECT_TRUE(has(text, "Content-Length: 0\r\n"));
  EXPECT_FALSE(has(text, "X-Tier"));
  terms.send = {"x-tier"};
  EXPECT_TRUE(has(checkText(terms, order(), ""), "X-Tier: taller\r\n"));
}

TEST(AuthConvention, TheBodyGoesAlongOnlyIfAskedForAndUpToItsMost) {
  Terms terms = termsOf(Convention::traefik);
  terms.bodyBytes = 2;
  const std::string text = checkText(terms, order(), "");
  EXPECT_TRUE(has(text, "Content-Length: 2\r\n"));
  EXPECT_EQ(text.substr(text.size() - 4), "\r\nbo") << text;
}

TEST(AuthConvention, TwoTokensMakeTwoTexts) {
  Message other = order();
  other.set("Authorization", "Bearer abd");
  for (const auto convention : {Convention::nginx, Convention::traefik, Convention::envoy})
    EXPECT_NE(checkText(termsOf(convention), order(), ""), checkText(termsOf(convention), other, ""));
}

TEST(AuthConvention, ReadsStatusesAsEachConventionDoes) {
  struct Case {
    unsigned status;
    int nginx, traefik, envoy;  // 1 allows, 0 denies, -1 the checker's failure
  };
  for (const Case& one :
       {Case{200, 1, 1, 1}, Case{204, 1, 1, -1}, Case{302, -1, 0, 0}, Case{401, 0, 0, 0}, Case{403, 0, 0, 0},
        Case{404, -1, 0, 0}, Case{429, -1, 0, 0}, Case{500, -1, -1, -1}, Case{503, -1, -1, -1}}) {
    const auto told = [&](Convention convention) {
      const Reading out = read(termsOf(convention), reply(one.status));
      return out.verdict ? (out.verdict->allows ? 1 : 0) : -1;
    };
    EXPECT_EQ(told(Convention::nginx), one.nginx) << one.status;
    EXPECT_EQ(told(Convention::traefik), one.traefik) << one.status;
    EXPECT_EQ(told(Convention::envoy), one.envoy) << one.status;
  }
}

TEST(AuthConvention, OfADenialNginxPassesTheChallengeTheOthersTheWholeAnswer) {
  const Reply denial = reply(401,
                             {{"WWW-Authenticate", "Bearer"},
                              {"X-Why", "expired"},
                              {"Connection", "close"},
                              {"Transfer-Encoding", "chunked"}},
                             "expired");
  const auto nginx = read(termsOf(Convention::nginx), denial).verdict;
  ASSERT_EQ(nginx->headers.size(), 1u);
  EXPECT_EQ(nginx->headers[0].second, "Bearer");
  EXPECT_EQ(nginx->body, "");
  const auto traefik = read(termsOf(Convention::traefik), denial).verdict;
  EXPECT_EQ(traefik->headers.size(), 2u) << "nothing of the hop";
  EXPECT_EQ(traefik->body, "expired");
}

TEST(AuthConvention, OnlyHeadersThatAreAskedForGoOnAndClientsCannotForgeThem) {
  const Terms terms = termsOf(Convention::nginx);
  const auto verdict = read(terms, reply(200, {{"X-User", "ana"}, {"Set-Cookie", "a=b"}})).verdict;
  Message message = order();
  message.insert("x-user", "root");
  message.insert("X-USER", "root");
  message.insert("X-Groups", "admins");
  strip(terms, message);
  apply(*verdict, message);
  EXPECT_EQ(countOf(message, "X-User"), 1u);
  EXPECT_EQ(message["X-User"], "ana");
  EXPECT_EQ(countOf(message, "X-Groups"), 0u) << "the checker said nothing of them";
  EXPECT_EQ(countOf(message, "Set-Cookie"), 0u);
}

TEST(AuthConvention, AHeaderWithALineBreakIsTheCheckersFailure) {
  Reply bad = reply(200);
  bad.insert("X-User", std::string("ana") + '\x01' + "root");
  EXPECT_FALSE(read(termsOf(Convention::nginx), bad).verdict);
}

TEST(AuthConvention, ReadsCacheControl) {
  const auto of = [](const std::string& text) {
    return read(termsOf(Convention::nginx), reply(200, {{"Cache-Control", text}})).freshness;
  };
  EXPECT_EQ(of("max-age=60").forMs, 60000);
  EXPECT_EQ(of("private , Max-Age=5").forMs, 5000);
  EXPECT_EQ(of("max-age=5, max-age=9").forMs, 5000);
  EXPECT_EQ(of("max-age=never").forMs, 0);
  EXPECT_FALSE(of("no-store").store);
  EXPECT_FALSE(of("max-age=60, no-cache").store);
  EXPECT_TRUE(of("").store);
  EXPECT_FALSE(of("").forMs);
}

}  // namespace
}  // namespace burlwind::auth
