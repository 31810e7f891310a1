// Answers of faulty workers that do not end: what each begins with and what it repeats, and a sender that
// goes on until its caller closes.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace burlwind {

struct EndlessAnswer {
  std::string name;
  std::string begin;  // sent in one piece with the first repeats
  std::string repeat;
};

// The head with one more field, so that fields of 64 bytes behind it end where reads of 4,096 bytes do.
inline std::string paddedTo64(const std::string& head) {
  const std::string name = "Pad: ";
  const std::string end = "\r\n";
  const std::size_t filled = head.size() + name.size() + end.size();
  return head + name + std::string(64 - filled % 64, 'p') + end;
}

// The forms of all answers that do not end, to the request with this id.
inline std::vector<EndlessAnswer> endlessAnswers(const std::string& tryId) {
  const auto ownHead = [&](const std::string& status, const std::string& fields) {
    return "HTTP/1.1 " + status + " x\r\nTry-Id: " + tryId + "\r\nServer-Seal: s\r\n" + fields;
  };
  const std::string own = ownHead("200", "");
  const std::string field = "X-Field-Of-64-Bytes-With-Its-Line-End: " + std::string(23, 'v') + "\r\n";
  const std::string piece(64, 'b');
  std::vector<EndlessAnswer> all = {
      {"no HTTP", "", piece},
      {"blanks", "", std::string(64, ' ')},
      {"empty lines", "", "\r\n\r\n"},
      {"status line", "HTTP/1.1 200 ", piece},
      {"one field", own + "X: ", piece},
      {"fields", own, field},
      {"fields that end with each read", paddedTo64(own), field},
      {"interim answers", "", "HTTP/1.1 103 x\r\nLink: y\r\n\r\n"},
      {"foreign answers", "", "HTTP/1.1 200 x\r\nTry-Id: z\r\nContent-Length: 4\r\n\r\nwool"},
      {"no length told", own + "\r\n", piece},
      {"chunks", own + "Transfer-Encoding: chunked\r\n\r\n", "40\r\n" + piece + "\r\n"},
      {"chunks of a byte", own + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
      {"one chunk beyond all memory", own + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", piece},
      {"chunk extension", own + "Transfer-Encoding: chunked\r\n\r\n5;x=", piece},
      {"trailers", own + "Transfer-Encoding: chunked\r\n\r\n0\r\n", field},
      {"no length told, behind 503", ownHead("503", "Not-Run: full\r\n\r\n"), piece},
      {"no length told, behind 421", ownHead("421", "\r\n"), piece},
  };
  for (const char* length :
       {"67108864", "4294967296", "1099511627776", "18446744073709551615", "99999999999999999999"})
    all.push_back(
        {std::string("told ") + length + " bytes", own + "Content-Length: " + length + "\r\n\r\n", piece});
  return all;
}

inline std::string many(const std::string& text, std::size_t bytes) {
  std::string out;
  while (out.size() < bytes) out += text;
  return out;
}

// Sends to the other end until it closes, or `mostBytes` are sent; how many were.
inline std::size_t sendAll(int fd, const std::string& text, std::size_t mostBytes) {
  std::size_t done = 0;
  while (done < std::min(text.size(), mostBytes)) {
    const auto n = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (n <= 0) break;
    done += static_cast<std::size_t>(n);
  }
  return done;
}

// pieceBytes: of one write, at least.
inline std::size_t sendWithoutEnd(int fd, const EndlessAnswer& answer, std::size_t pieceBytes,
                                  std::size_t mostBytes) {
  const std::string more = many(answer.repeat, pieceBytes);
  std::string next = answer.begin + more;
  std::size_t sent = 0;
  while (sent < mostBytes) {
    const std::size_t done = sendAll(fd, next, mostBytes);
    sent += done;
    if (done < next.size()) break;
    next = more;
  }
  return sent;
}

// One repeat each kDripPauseMs, until the other end closes.
inline void dripWithoutEnd(int fd, const EndlessAnswer& answer) {
  constexpr int kDripPauseMs = 20;
  if (sendAll(fd, answer.begin, answer.begin.size()) < answer.begin.size()) return;
  pollfd closed{fd, POLLRDHUP, 0};
  while (::poll(&closed, 1, kDripPauseMs) == 0)
    if (sendAll(fd, answer.repeat, answer.repeat.size()) < answer.repeat.size()) return;
}

}  // namespace burlwind
