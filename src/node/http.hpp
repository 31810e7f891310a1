// What the sides of the program share of HTTP: Beast's parser fed from a buffer, and its serializer to text.
// Every connection keeps one read pending and hands what comes to its parser, so that the end of a connection
// is seen in every state.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

namespace burlwind {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr std::size_t kMostBody = 64 * 1024;
constexpr std::size_t kMostHeader = 16 * 1024;
constexpr std::size_t kReadStep = 4096;

inline std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

// Feeds what has been read; true once the message is whole. What follows it stays in the buffer.
template <class Parser>
bool feed(Parser& parser, beast::flat_buffer& in, Error& error) {
  while (!parser.is_done() && in.size() > 0) {
    const std::size_t used = parser.put(in.data(), error);
    in.consume(used);
    if (error == http::error::need_more) {
      error = {};
      if (used == 0) return false;
    }
    if (error) return false;
  }
  return parser.is_done();
}

template <bool isRequest, class Body>
void append(std::string& out, const http::message<isRequest, Body>& message) {
  http::serializer<isRequest, Body> serializer(message);
  Error error;
  while (!serializer.is_done() && !error) {
    std::size_t size = 0;
    serializer.next(error, [&](Error&, const auto& buffers) {
      for (const asio::const_buffer part : beast::buffers_range_ref(buffers)) {
        out.append(static_cast<const char*>(part.data()), part.size());
        size += part.size();
      }
    });
    serializer.consume(size);
  }
}

}  // namespace burlwind
