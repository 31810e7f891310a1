// A deliberately bad gatekeeper for the rehearsal's own tests: one thread a connection, blocking sockets, and
// one bug chosen by its first word. "good" has none. Nothing of burlwind is in it.
//
//   good      sends each request once to a ready server, in turn; a failure is answered 502
//   resend    answers of the first server are thrown away and the request is sent to another, whatever its
//   class twice     writes each answer of a `confirmar` twice late      answers some requests 200 ms after
//   their time drained   goes on sending to servers that are draining, as long as they answer second    sends
//   a second attempt while the first is out overrun   sends everything to the server that started last, and
//   again when that declines ceiling   is as good; the scenario asks more than the ceiling drop      ends the
//   connection of some requests without an answer made_up   answers some requests itself
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

std::string mode;

struct Server {
  std::string address, state;
  double started = 0;
};
std::mutex mutex;
std::map<std::string, Server> servers;
std::atomic<unsigned> turn{0};

sockaddr_in endpoint(const std::string& text) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  const auto colon = text.rfind(':');
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port = htons(static_cast<unsigned short>(std::stoi(text.substr(colon + 1))));
  return out;
}

class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket(const Socket&) = delete;
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Socket() {
    if (fd_ >= 0) close(fd_);
  }
  int fd() const { return fd_; }
  bool ok() const { return fd_ >= 0; }

 private:
  int fd_;
};

Socket dial(const std::string& address) {
  const sockaddr_in to = endpoint(address);
  Socket out(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (connect(out.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) return Socket(-1);
  const int one = 1;
  setsockopt(out.fd(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return out;
}

bool put(int fd, const std::string& text) {
  return send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

// Reads one message with a Content-Length (or none: no body) into `text`; the rest stays in `buffer`.
bool readMessage(int fd, std::string& buffer, std::string& text) {
  for (;;) {
    const auto head = buffer.find("\r\n\r\n");
    if (head != std::string::npos) {
      std::size_t length = 0;
      const auto at = buffer.find("Content-Length: ");
      if (at < head) length = std::strtoul(buffer.c_str() + at + 16, nullptr, 10);
      if (buffer.size() >= head + 4 + length) {
        text = buffer.substr(0, head + 4 + length);
        buffer.erase(0, head + 4 + length);
        return true;
      }
    }
    char piece[4096];
    const ssize_t n = recv(fd, piece, sizeof piece, 0);
    if (n <= 0) return false;
    buffer.append(piece, static_cast<std::size_t>(n));
  }
}

std::string valueOf(const std::string& message, const std::string& name) {
  const auto at = message.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const auto from = at + name.size() + 4;
  return message.substr(from, message.find("\r\n", from) - from);
}

// Discovery's watch, line by line.
void watch(const std::string& agent) {
  Socket socket = dial(agent);
  if (!socket.ok() || !put(socket.fd(), "GET /registry/instances?watch=1 HTTP/1.1\r\nHost: d\r\n\r\n"))
    std::_Exit(3);
  std::string buffer;
  char piece[4096];
  for (ssize_t n; (n = recv(socket.fd(), piece, sizeof piece, 0)) > 0;) {
    buffer.append(piece, static_cast<std::size_t>(n));
    for (auto end = buffer.find('\n'); end != std::string::npos; end = buffer.find('\n')) {
      const std::string line = buffer.substr(0, end);
      buffer.erase(0, end + 1);
      if (line.empty() || line[0] != '{') continue;
      const std::lock_guard lock(mutex);
      const json list = json::parse(line);
      for (const json& entry : list["instances"])
        servers[entry["instanceId"]] = {entry["hostPort"], entry["lifecycle"], entry["startedAtMs"]};
    }
  }
}

std::optional<std::string> choose() {
  const std::lock_guard lock(mutex);
  std::vector<const Server*> ready;
  const Server* newest = nullptr;
  for (const auto& [id, server] : servers) {
    const bool draining = server.state == "Terminating";
    if (server.state == "Ready" || (mode == "drained" && draining)) ready.push_back(&server);
    if (mode == "drained" && draining) return server.address;
    if (!newest || server.started > newest->started) newest = &server;
  }
  if (ready.empty()) return std::nullopt;
  if (mode == "overrun" && newest->started > 0) return newest->address;
  return ready[turn++ % ready.size()]->address;
}

struct Attempt {
  Socket socket;
  std::string answer;
  bool declined() const { return answer.find("Srv-Declined: 1") != std::string::npos; }
  bool served() const { return answer.rfind("HTTP/1.1 200", 0) == 0; }
};

std::optional<Attempt> start(const std::string& request) {
  const auto address = choose();
  if (!address) return std::nullopt;
  Attempt out{dial(*address), ""};
  if (!out.socket.ok() || !put(out.socket.fd(), request)) return std::nullopt;
  return out;
}

std::optional<Attempt> attempt(const std::string& request) {
  auto out = start(request);
  std::string buffer;
  if (out && !readMessage(out->socket.fd(), buffer, out->answer)) out->answer.clear();
  return out;
}

std::string reply(const char* status, const std::string& body) {
  return std::string("HTTP/1.1 ") + status + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string bodyOf(const std::string& message) { return message.substr(message.find("\r\n\r\n") + 4); }

std::string answerTo(const std::string& request, unsigned number) {
  const bool order = request.find("POST /confirmar") == 0;
  if (mode == "made_up" && number % 8 == 0) return reply("200 OK", "done by nobody\n");
  std::optional<Attempt> first;
  if (mode == "second" && number % 4 == 0) {
    first = start(request);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(1));  // the first is whole there before the second comes
  }
  auto last = attempt(request);
  if (mode == "resend" && order && last) last = attempt(request);
  for (int i = 0; mode == "overrun" && i < 3 && last && last->declined(); ++i) last = attempt(request);
  if (mode == "late" && number % 8 == 0)
    std::this_thread::sleep_for(
        std::chrono::milliseconds(200 + std::stoi(valueOf(request, "Req-Deadline-Ms"))));
  if (last && last->served()) return reply("200 OK", bodyOf(last->answer));
  return reply("502 Bad Gateway", "");
}

void serve(Socket client) {
  std::string buffer, request;
  static std::atomic<unsigned> count{0};
  while (readMessage(client.fd(), buffer, request)) {
    if (request.rfind("GET /health/ready", 0) == 0) {
      const bool ready = choose().has_value();
      put(client.fd(), reply(ready ? "200 OK" : "503 Service Unavailable", ""));
      continue;
    }
    const unsigned number = count++;
    if (mode == "drop" && number % 8 == 0) return (void)attempt(request);
    const std::string answer = answerTo(request, number);
    if (!put(client.fd(), answer)) return;
    if (mode == "twice" && request.find("POST /confirmar") == 0) put(client.fd(), answer);
  }
}

}  // namespace

int main(int words, char** word) {
  mode = words > 1 ? word[1] : "good";
  if (mode == "deaf")
    signal(SIGTERM, SIG_IGN);
  else
    signal(SIGTERM, [](int) { std::_Exit(0); });
  signal(SIGHUP, SIG_IGN);
  std::thread(watch, std::getenv("BALANCER_DISCOVERY")).detach();
  const sockaddr_in at = endpoint(std::getenv("BALANCER_LISTEN"));
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(listener, 512) != 0)
    return 1;
  for (;;) {
    Socket client(accept(listener, nullptr, nullptr));
    if (client.ok()) std::thread(serve, std::move(client)).detach();
  }
}
