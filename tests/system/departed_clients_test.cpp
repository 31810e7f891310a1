// Clients that leave before they have their answers: what their requests may still cost, case by case. The
// stages of a request and the ways to leave are those of docs/design/departed-clients.md.
#include <doctest/doctest.h>

#include "edge_loop.hpp"

namespace burlwind::proxy {
namespace {

TEST_CASE("a worker is told in time that the client of a repeatable request has left") {
  EdgeLoop edge;
  auto [client, worker] = edge.atWorker("/a");
  SUBCASE("it closes") { closes(client); }
  SUBCASE("it resets its connection") { resets(client); }
  SUBCASE("it shuts its sending side") { shutsSending(client); }
  SUBCASE("it closes behind a whole next request") {
    client->say(EdgeLoop::request("/b"));
    closes(client);
  }
  SUBCASE("it closes behind a part of one") {
    client->say("POST /b HTTP/1.1\r\nHost");
    closes(client);
  }
  SUBCASE("it closes behind more than is read ahead") {
    client->say(EdgeLoop::request("/b", std::string(40000, 'b')));
    edge.io.poll();
    closes(client);
  }
  CHECK(edge.workerIsTold(*worker));
  CHECK(edge.allEnd());
  CHECK(edge.handled == std::vector<std::string>{"/a"});
  CHECK(edge.reached() == 1);
}

TEST_CASE("a request whose client has left is sent to no worker") {
  EdgeLoop edge;
  std::string path;
  SUBCASE("repeatable") { path = "/a"; }
  SUBCASE("once only") { path = "/once"; }
  auto client = edge.client();
  client->say(EdgeLoop::request(path));
  client->awaitDelivery();
  closes(client);  // both are there before the proxy reads
  runUntil(edge.io, [&] { return !edge.server.empty(); });
  CHECK(edge.allEnd());
  CHECK(edge.reached() == 0);
}

}  // namespace
}  // namespace burlwind::proxy
