// The two ends of a connection, as the system knows them: whether the peer has ended it, which shows here
// also behind bytes that nobody has read, and how to end it so that no byte still queued arrives first.
//
// Each call is one system call or two. Where the system can't tell, a connection stands and nothing is
// queued.
#pragma once

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <boost/asio/ip/tcp.hpp>

#include "http/http.hpp"

namespace burlwind {

// The peer has shut its sending side, closed or reset, as far as its end has arrived. A socket that is not
// open has ended as well.
inline bool peerHasEnded(asio::ip::tcp::socket& socket) {
  if (!socket.is_open()) return true;
  pollfd entry{socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0;
}

// Bytes handed to the system that the peer has not acknowledged.
inline int unacknowledgedBytes(asio::ip::tcp::socket& socket) {
  int bytes = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

// Those of them that have not even been sent.
inline int unsentBytes(asio::ip::tcp::socket& socket) {
  int bytes = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQNSD, &bytes) == 0 ? bytes : 0;
}

// With bytes on their way the connection is reset, which drops those that still wait; else it is closed in
// order, which the system repeats until the peer knows.
inline void closeDroppingQueued(asio::ip::tcp::socket& socket) {
  if (!socket.is_open()) return;
  Error ignored;
  if (unacknowledgedBytes(socket) > 0) socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace burlwind
