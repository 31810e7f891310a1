// The control API's server on loopback, in one loop with its callers; handlers end when a test lets them.
#include <doctest/doctest.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

#include "control_api/server.hpp"
#include "loop_peer.hpp"

namespace burlwind::control_api {
namespace {

// Handles calls by their path: "/now" at once, others when the test releases them. Answers repeat the path.
struct Service {
  Service()
      : server(
            io, [this](Call call) { return handle(std::move(call)); },
            [this] {
              if (dropBeforeCall) server.dropAll();
            }) {
    REQUIRE_FALSE(server.listen("127.0.0.1", 0));
  }
  asio::awaitable<Reply> handle(Call call) {
    handled.push_back(call.segments.at(0));
    if (call.segments[0] == "throws") throw std::bad_alloc();
    if (call.segments[0] != "now") {
      auto release = std::make_shared<asio::steady_timer>(io, asio::steady_timer::time_point::max());
      held.push_back(release);
      boost::system::error_code ignored;
      co_await release->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return Reply(200, "\"" + call.segments[0] + "\"");
  }
  void until(const std::function<bool()>& done) { loop::runUntil(io, done); }

  asio::io_context io{1};
  std::vector<std::string> handled;
  std::vector<std::shared_ptr<asio::steady_timer>> held;
  bool dropBeforeCall = false;
  Server server;
};

struct Caller : loop::Peer {
  explicit Caller(Service& service) : Peer(service.io, service.server.port()) {}
  static std::string call(const std::string& path, const std::string& method = "GET") {
    return method + " " + path + " HTTP/1.1\r\nHost: c\r\n\r\n";
  }
};

std::string onlyReply(const std::string& path) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(path.size() + 2) + "\r\n\r\n\"" + path + "\"";
}

TEST_CASE("calls that are sent at once are handled and answered one after the other") {
  Service service;
  Caller caller(service);
  caller.say(Caller::call("/slow") + Caller::call("/now"));
  service.until([&] { return !service.held.empty(); });
  service.io.poll();
  CHECK(service.handled.size() == 1);
  service.held[0]->cancel();
  const std::string expected = onlyReply("slow") + onlyReply("now");
  CHECK(caller.hears(expected.size()) == expected);
}

TEST_CASE("an order that is answered after all connections were dropped is answered to nobody") {
  Service service;
  auto former = std::make_unique<Caller>(service);
  former->say(Caller::call("/order"));
  service.until([&] { return !service.held.empty(); });
  service.server.dropAll();
  SUBCASE("its caller hears the end alone") {
    service.held[0]->cancel();
    CHECK(former->hearsAll().empty());
  }
  SUBCASE("another caller, perhaps with the same descriptor, hears its own answer alone") {
    former.reset();
    Caller next(service);
    next.say(Caller::call("/now"));
    service.held[0]->cancel();
    CHECK(next.hears(onlyReply("now").size()) == onlyReply("now"));
  }
}

TEST_CASE("the answer to a caller that has gone reaches nobody") {
  Service service;
  auto former = std::make_unique<Caller>(service);
  former->say(Caller::call("/order"));
  service.until([&] { return !service.held.empty(); });
  former.reset();
  Caller next(service);
  next.say(Caller::call("/now"));
  service.held[0]->cancel();
  CHECK(next.hears(onlyReply("now").size()) == onlyReply("now"));
}

// Who has stood still reads first what was sent before it woke.
TEST_CASE("a call that is dropped between its reading and its handling is not handled") {
  Service service;
  service.dropBeforeCall = true;
  Caller caller(service);
  caller.say(Caller::call("/now") + Caller::call("/now"));
  CHECK(caller.hearsAll().empty());
  CHECK(service.handled.empty());
}

TEST_CASE("a call with HEAD is answered without a body") {
  Service service;
  Caller caller(service);
  caller.say(Caller::call("/now", "HEAD") + Caller::call("/now"));
  const std::string head = onlyReply("now").substr(0, onlyReply("now").size() - 5);
  CHECK(caller.hears(head.size() + onlyReply("now").size()) == head + onlyReply("now"));
}

TEST_CASE("bodies of calls hold no more together than their budget: one more is refused by its head") {
  Service service;
  std::vector<std::unique_ptr<Caller>> callers;
  const std::string head = "POST /now HTTP/1.1\r\nHost: c\r\nContent-Length: ";
  for (unsigned i = 0; i < 4; ++i) {
    callers.push_back(std::make_unique<Caller>(service));
    callers.back()->say(head + std::to_string(15 << 20) + "\r\n\r\n");
    callers.back()->awaitDelivery();
  }
  service.io.poll();
  Caller more(service);
  more.say(head + std::to_string(15 << 20) + "\r\n\r\n");
  CHECK(more.hearsHead().starts_with("HTTP/1.1 503 "));
  callers.clear();
  service.io.restart();
  service.io.poll();
  Caller next(service);
  next.say(head + "4\r\n\r\nwool");
  CHECK(next.hears(onlyReply("now").size()) == onlyReply("now"));
}

TEST_CASE("a call whose handling throws ends its own connection, and others are answered") {
  Service service;
  Caller caller(service);
  Caller other(service);
  caller.say(Caller::call("/throws"));
  CHECK(caller.hearsAll().empty());
  other.say(Caller::call("/now"));
  CHECK(other.hears(onlyReply("now").size()) == onlyReply("now"));
}

TEST_CASE(
    "a call's told length beyond all memory ends its connection, with bytes of its body behind the head") {
  Service service;
  Caller caller(service);
  Caller other(service);
  caller.say("POST /now HTTP/1.1\r\nHost: c\r\nContent-Length: 1099511627776\r\n\r\nwool");
  CHECK(caller.hearsAll().empty());
  other.say(Caller::call("/now"));
  CHECK(other.hears(onlyReply("now").size()) == onlyReply("now"));
  CHECK(service.handled == std::vector<std::string>{"now"});
}

}  // namespace
}  // namespace burlwind::control_api
