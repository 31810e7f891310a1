// Clients that leave, before real programs: a worker that works until its connection ends.
#include <doctest/doctest.h>
#include <poll.h>

#include <chrono>
#include <future>

#include "whole_system.hpp"

namespace burlwind {
namespace {

constexpr int kToldWithinMs = 500;
constexpr int kLongWorkMs = 2000;

std::string requestOf(const std::string& tryId) {
  return "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nTry-Id: " + tryId +
         "\r\nTime-Left-Ms: 8000\r\nApi-Key: key1\r\nContent-Length: 4\r\n\r\nwool";
}

Socket connectTo(const std::string& ip, int port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM, 0));
  const auto where = at(ip, port);
  REQUIRE(::connect(socket.fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0);
  return socket;
}

TEST_CASE("programs: a worker hears in time that its client has left, and a stopped proxy sends nothing on") {
  System system;
  CHECK(
      system.order("config.replace", System::configuration(1, 0, "/a/", "safe")).starts_with("HTTP/1.1 200"));
  system.awaitStart(0, 1);
  REQUIRE(system.served(0, "/a/x").starts_with("HTTP/1.1 200"));

  std::promise<void> begun;
  std::promise<bool> told;
  system.atWork = [&](const StandIn::Incoming& incoming) {
    if (field(incoming.text, "Try-Id") != "leaver") return;
    begun.set_value();
    pollfd end{incoming.fd, POLLIN | POLLRDHUP, 0};
    told.set_value(::poll(&end, 1, kLongWorkMs) > 0);
  };
  std::chrono::steady_clock::time_point leftAt;
  {
    const Socket client = connectTo(System::proxyIp(0), kFront);
    say(client.fd, requestOf("leaver"));
    begun.get_future().wait();
    leftAt = std::chrono::steady_clock::now();
  }
  CHECK(told.get_future().get());
  const auto after = std::chrono::steady_clock::now() - leftAt;
  CHECK(after < std::chrono::milliseconds(kToldWithinMs));

  system.proxies[0]->signal(SIGSTOP);
  {
    const Socket client = connectTo(System::proxyIp(0), kFront);
    say(client.fd, requestOf("left-while-stopped"));
  }
  system.proxies[0]->signal(SIGCONT);
  for (int i = 0; i < 3; ++i) CHECK(system.served(0, "/a/x").starts_with("HTTP/1.1 200"));
  CHECK_FALSE(system.arrived("left-while-stopped"));
}

}  // namespace
}  // namespace burlwind
