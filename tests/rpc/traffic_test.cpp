// Counts of messages by kind: at both ends of a link that runs over loopback, and as text.
#include "rpc/traffic.hpp"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <set>
#include <string>

#include "rpc/link.hpp"

namespace burlwind::rpc {
namespace {

using Direction = Traffic::Direction;

TEST_CASE("each kind has a name of its own") {
  std::set<std::string> names;
  for (int kind = kHandshake; kind <= kTimeoutNow; ++kind) names.insert(nameOf(kind));
  CHECK(names.size() == kTimeoutNow - kHandshake + 1);
  CHECK_FALSE(names.contains("unknown"));
  CHECK(std::string(nameOf(0)) == "unknown");
  CHECK(std::string(nameOf(1000)) == "unknown");
}

TEST_CASE("the kind of a frame is read without unpacking it") {
  CHECK(kindOf(frame(Status{})) == kStatus);
  CHECK(kindOf(frame(Levels{7, {{"tenant", 1.5}}})) == kLevels);
  CHECK(kindOf("") == 0);
  CHECK(kindOf(std::string(4, '\0')) == 0);
  CHECK(kindOf(std::string("\0\0\0\2\xcd\x01", 6)) == 0);
}

TEST_CASE("a kind that has no place is counted as unknown, and text tells what there is") {
  Traffic counted;
  CHECK(counted.text(Direction::in).empty());
  counted.count(Direction::in, kStatus, 30);
  counted.count(Direction::in, kStatus, 34);
  counted.count(Direction::in, kHeartbeat, 7);
  counted.count(Direction::out, 64, 100);
  counted.count(Direction::out, -1, 10);
  CHECK(counted.of(Direction::in, kStatus).messages == 2);
  CHECK(counted.of(Direction::in, kStatus).bytes == 64);
  CHECK(counted.of(Direction::out, kStatus).messages == 0);
  CHECK(counted.all(Direction::in).bytes == 71);
  CHECK(counted.text(Direction::in) == "Status 2 64, Heartbeat 1 7");
  CHECK(counted.text(Direction::out) == "unknown 2 110");
}

TEST_CASE("what one end of a link sends is what the other end receives, by kind") {
  asio::io_context io;
  asio::ip::tcp::acceptor listener(io, {asio::ip::make_address("127.0.0.1"), 0});
  Tcp::socket near(io), far(io);
  near.connect(listener.local_endpoint());
  listener.accept(far);
  const auto sender = std::make_shared<Link>(std::move(near));
  const auto receiver = std::make_shared<Link>(std::move(far));
  const Traffic before = traffic();

  constexpr unsigned kStatuses = 20;
  unsigned arrived = 0;
  sender->start([](const Arrived&) {}, [] {});
  receiver->start(
      [&](const Arrived&) {
        if (++arrived == kStatuses + 1) sender->forget(), receiver->forget();
      },
      [] {});
  std::size_t bytes = 0;
  for (unsigned i = 0; i < kStatuses; ++i) {
    const std::string status = frame(Status{true, i, 2 * i, 1.5, 2.5});
    bytes += status.size();
    sender->send(status);
  }
  const ConfigUpdate large{1, 2, std::string(100000, 'c'), {}, {}};
  sender->tell(large);
  io.run();

  const auto since = [&](Direction direction, Kind kind) {
    const Count now = traffic().of(direction, kind), then = before.of(direction, kind);
    return Count{now.messages - then.messages, now.bytes - then.bytes};
  };
  for (const Direction direction : {Direction::out, Direction::in}) {
    CHECK(since(direction, kStatus).messages == kStatuses);
    CHECK(since(direction, kStatus).bytes == bytes);
    CHECK(since(direction, kConfigUpdate).messages == 1);
    CHECK(since(direction, kConfigUpdate).bytes == frame(large).size());
  }
}

}  // namespace
}  // namespace burlwind::rpc
