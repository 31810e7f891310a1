// What the system knows of a connection's two ends, on loopback.
#include "http/connection_end.hpp"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace burlwind {
namespace {

using Tcp = asio::ip::tcp;

struct Pair {
  // receiveBuffer: of the far end; 0: the system's default.
  explicit Pair(int receiveBuffer = 0) {
    Tcp::acceptor acceptor(io, Tcp::v4());
    if (receiveBuffer > 0) acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen();
    near.connect(acceptor.local_endpoint());
    far = acceptor.accept();
  }
  // Until the system has told this end of the other's.
  bool endArrives() {
    pollfd entry{near.native_handle(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 5000) > 0;
  }
  asio::io_context io{1};
  Tcp::socket near{io}, far{io};
};

TEST_CASE("a peer's end shows behind bytes that nobody has read, and no bytes are taken for one") {
  Pair pair;
  CHECK_FALSE(peerHasEnded(pair.near));
  asio::write(pair.far, asio::buffer("wool", 4));
  pair.near.wait(Tcp::socket::wait_read);
  CHECK_FALSE(peerHasEnded(pair.near));
  SUBCASE("it shuts its sending side") { pair.far.shutdown(Tcp::socket::shutdown_send); }
  SUBCASE("it closes") { pair.far.close(); }
  SUBCASE("it resets") {
    pair.far.set_option(asio::socket_base::linger(true, 0));
    pair.far.close();
  }
  REQUIRE(pair.endArrives());
  CHECK(peerHasEnded(pair.near));
}

TEST_CASE("a socket that is not open has ended") {
  Pair pair;
  pair.near.close();
  CHECK(peerHasEnded(pair.near));
  closeDroppingQueued(pair.near);
}

TEST_CASE("a close with bytes queued is a reset, and none of them arrive after it") {
  Pair pair(2048);
  pair.near.non_blocking(true);
  const std::string body(12000, 'w');
  Error error;
  const std::size_t taken = pair.near.write_some(asio::buffer(body), error);
  REQUIRE(taken > 4096);
  CHECK(unacknowledgedBytes(pair.near) > 0);
  CHECK(unsentBytes(pair.near) > 0);
  closeDroppingQueued(pair.near);
  std::string heard(body.size(), '\0');
  const std::size_t size = asio::read(pair.far, asio::buffer(heard), error);
  CHECK(size < taken);
  CHECK(error == asio::error::connection_reset);
}

TEST_CASE("a close with nothing queued is one in order") {
  Pair pair;
  closeDroppingQueued(pair.near);
  char byte = 0;
  Error error;
  asio::read(pair.far, asio::buffer(&byte, 1), error);
  CHECK(error == asio::error::eof);
}

}  // namespace
}  // namespace burlwind
