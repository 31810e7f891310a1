// What the sides of the program share of HTTP: Beast's parser fed from a buffer, its serializer to text, and
// the checks of what Beast lets through. Every connection keeps one read pending and hands what comes to its
// parser, so that the end of a connection is seen in every state.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace burlwind {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

// Of a message that is held whole; what is longer is passed on while it comes.
constexpr std::size_t kMostHeld = 64 * 1024;
// Of any body; what is longer is rejected by its head, or cut off where it has told no length.
constexpr std::uint64_t kMostBody = 40 * 1024 * 1024;
constexpr std::size_t kMostHeader = 16 * 1024;
constexpr std::size_t kReadStep = 4096;
constexpr std::size_t kReadStepOfBody = 32 * 1024;
// Of the machine's memory for what a peer has sent and nobody has read yet; doubled by the system. Left to
// itself that grows to megabytes a connection while a peer sends at full speed.
constexpr int kReceiveBuffer = 32 * 1024;

inline std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

// The whole of a text as a number, or nothing.
template <class T, class... Base>
std::optional<T> number(std::string_view text, Base... base) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// The part before the first `mark`, without blanks ahead of it; the text goes on behind the mark.
inline std::string_view cut(std::string_view& text, char mark) {
  const auto at = text.find(mark);
  auto part = text.substr(0, at);
  text = at == std::string_view::npos ? std::string_view{} : text.substr(at + 1);
  part.remove_prefix(std::min(part.find_first_not_of(' '), part.size()));
  return part;
}

// Beast's Body concept: a string without the room that a told length would have it reserve, which can be
// taken out of the message while more comes.
struct GrowingBody {
  using value_type = std::string;
  static std::uint64_t size(const value_type& body) { return body.size(); }
  class reader {
   public:
    template <bool isRequest, class Fields>
    reader(http::header<isRequest, Fields>&, value_type& body) : body_(body) {}
    void init(const boost::optional<std::uint64_t>&, Error& error) { error = {}; }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, Error& error) {
      const std::size_t before = body_.size();
      for (const asio::const_buffer part : beast::buffers_range_ref(buffers))
        body_.append(static_cast<const char*>(part.data()), part.size());
      error = {};
      return body_.size() - before;
    }
    void finish(Error& error) { error = {}; }

   private:
    value_type& body_;
  };
};

enum class Feed { head, whole };

// Feeds what has been read; true once the head, or the whole message, is there. What follows stays in the
// buffer.
template <class Parser>
bool feed(Parser& parser, beast::flat_buffer& in, Error& error, Feed until = Feed::whole) {
  const auto enough = [&] { return until == Feed::head ? parser.is_header_done() : parser.is_done(); };
  while (!enough() && in.size() > 0) {
    // A head is parsed alone: told to go on past it, Beast drops the error of a body over its limit.
    parser.eager(until == Feed::whole && parser.is_header_done());
    const std::size_t used = parser.put(in.data(), error);
    in.consume(used);
    if (error == http::error::need_more) {
      error = {};
      // Beast waits for the end of a chunk's head for as long as one likes.
      if (used == 0 && in.size() >= kMostHeader) error = http::error::header_limit;
      if (used == 0) return false;
    }
    if (error) return false;
  }
  return enough();
}

template <class Fields>
std::size_t countOf(const Fields& fields, beast::string_view name) {
  const auto range = fields.equal_range(name);
  return static_cast<std::size_t>(std::distance(range.first, range.second));
}

// Whether the fields tell a message's length in one way, and plainly: at most one Content-Length of digits
// alone, or at most one Transfer-Encoding that is `chunked` and nothing else. What two readers may read in
// two ways can hide a message in another's body.
template <class Fields>
bool plainFraming(const Fields& fields) {
  const std::size_t lengths = countOf(fields, "Content-Length"),
                    codings = countOf(fields, "Transfer-Encoding");
  if (lengths + codings > 1) return false;
  if (lengths == 1) return number<std::uint64_t>(view(fields["Content-Length"])).has_value();
  return codings == 0 || beast::iequals(fields["Transfer-Encoding"], "chunked");
}

// One chunk of a body whose length is not told (RFC 9112, 7.1), and what ends it.
inline void appendChunk(std::string& out, std::string_view data) {
  char size[20];
  const auto end = std::to_chars(size, size + sizeof size, data.size(), 16).ptr;
  out.append(size, end).append("\r\n").append(data).append("\r\n");
}
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// A message's head, also of one whose body is written elsewhere.
template <bool isRequest>
void append(std::string& out, const http::message<isRequest, http::empty_body>& message) {
  http::serializer<isRequest, http::empty_body> serializer(message);
  serializer.split(true);  // else it would end a chunked body at once
  Error error;
  while (!serializer.is_header_done() && !error) {
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
