// The whole path on loopback, through real programs.
#include <doctest/doctest.h>

#include "whole_system.hpp"

namespace burlwind {
namespace {

TEST_CASE("the whole path: a configuration is put, a request goes to a worker and comes back whole") {
  System system;
  CHECK(system.order("config.replace", System::configuration(3, 0, "/a/")).starts_with("HTTP/1.1 200"));
  system.awaitStart(0, 3);
  const std::string answer = system.served(0, "/a/x?y=1");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(field(answer, "Server-Seal") == "seal");
  CHECK(answer.ends_with("\r\n\r\nyarn"));
  const std::string seen = system.seen();
  CHECK(seen.starts_with("POST /a/x?y=1 HTTP/1.1\r\n"));
  CHECK(field(seen, "Tenant") == "weaver");
  CHECK(field(seen, "Target-Server") == "w1");
  CHECK(field(seen, "Api-Key").empty());
  CHECK(seen.ends_with("\r\n\r\nwool"));
  CHECK(system.request(0, "/a/x", "another").starts_with("HTTP/1.1 401"));
  CHECK(system.request(0, "/b/x", "key1").starts_with("HTTP/1.1 404"));
  // A body that does not fit beside what it may hold (0.5 MB) has not run, and is told when to come
  // back.
  const std::string large =
      ask(System::proxyIp(0), kFront,
          "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nApi-Key: key1\r\nContent-Length: 900000\r\n\r\n");
  CHECK(large.starts_with("HTTP/1.1 503"));
  CHECK_FALSE(field(large, "Retry-After").empty());
  CHECK(system.served(0, "/a/x").starts_with("HTTP/1.1 200"));
  // The very same one again, one on an old version, one that is not valid.
  CHECK(system.order("config.replace", System::configuration(3, 0, "/a/")).starts_with("HTTP/1.1 200"));
  CHECK(system.order("config.replace", System::configuration(5, 0, "/c/")).starts_with("HTTP/1.1 412"));
  CHECK(system.order("config.replace", "{\"generation\":").starts_with("HTTP/1.1 400"));
}

TEST_CASE("a change taken before the leader is killed, and one after all stores are, stay in force") {
  System system;
  CHECK(system.order("config.replace", System::configuration(1, 0, "/a/")).starts_with("HTTP/1.1 200"));
  system.awaitStart(1, 1);
  // Whoever leads is among them: each is killed once, with the next change put by the other two.
  for (unsigned i = 0; i < 3; ++i) {
    system.stores[i]->signal(SIGKILL);
    system.stores[i]->ends();
    const std::string path = "/v" + std::to_string(i + 2) + "/";
    CHECK(system.order("config.replace", System::configuration(i + 2, i + 1, path))
              .starts_with("HTTP/1.1 200"));
    system.awaitVersion(1, i + 2);
    system.registries[i]->signal(SIGKILL);
    system.registries[i]->ends();
    system.startCore(i);
    REQUIRE(system.stores[i]->says("\"what\":\"starts\""));
  }
  for (unsigned i = 0; i < 3; ++i) {
    system.stores[i]->signal(SIGKILL);
    system.stores[i]->ends();
  }
  for (unsigned i = 0; i < 3; ++i) system.startCore(i);
  CHECK(system.order("config.read", "").find("\"generation\":\"r4\"") != std::string::npos);
  CHECK(system.served(1, "/v4/x").starts_with("HTTP/1.1 200"));
  CHECK(system.request(1, "/a/x", "key1").starts_with("HTTP/1.1 404"));
}

TEST_CASE(
    "a worker that forgets its idle connections costs one request that may run once, not each second one") {
  System system;
  CHECK(system.order("config.replace", System::configuration(1, 0, "/a/")).starts_with("HTTP/1.1 200"));
  system.awaitStart(0, 1);
  REQUIRE(system.served(0, "/a/x").starts_with("HTTP/1.1 200"));
  system.forgets = true;
  CHECK(system.served(0, "/a/x").starts_with("HTTP/1.1 502"));  // it may have run: nothing else is true
  for (int i = 0; i < 8; ++i) CHECK(system.served(0, "/a/x").starts_with("HTTP/1.1 200"));
}

TEST_CASE("SIGTERM with a request at work: the proxy waits for its answer, and the client has it whole") {
  System system;
  CHECK(system.order("config.replace", System::configuration(1, 0, "/a/")).starts_with("HTTP/1.1 200"));
  system.awaitStart(0, 1);
  REQUIRE(system.served(0, "/a/x").starts_with("HTTP/1.1 200"));
  const unsigned before = system.runs();
  system.door.set(true);
  std::string answer;
  std::thread client([&] { answer = system.served(0, "/a/y"); });
  system.door.awaitSomebody();
  system.proxies[0]->signal(SIGTERM);
  CHECK(system.proxies[0]->says("\"what\":\"ends\""));
  system.door.set(false);
  client.join();
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with("\r\n\r\nyarn"));
  CHECK(system.runs() == before + 1);
  CHECK(system.proxies[0]->ends() == 0);
  // Registries and stores end in order as well, and what was taken is there at the next start.
  for (unsigned i = 0; i < 3; ++i)
    for (auto* program : {system.registries[i].get(), system.stores[i].get()}) {
      program->signal(SIGTERM);
      CHECK(program->ends() == 0);
    }
  for (unsigned i = 0; i < 3; ++i) system.startCore(i);
  CHECK(system.order("config.read", "").find("\"generation\":\"r1\"") != std::string::npos);
}

}  // namespace
}  // namespace burlwind
