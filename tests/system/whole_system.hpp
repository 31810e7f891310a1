// The whole path on loopback: three core machines, two proxies, the platform's list and a worker as
// stand-ins. What is checked is what clients, workers and the operator see on their sockets. Nothing waits
// for time: an order that finds no leader yet is sent again, as operators do, and all else waits for words.
#pragma once

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include "process.hpp"

namespace burlwind {

namespace fs = std::filesystem;

inline sockaddr_in at(const std::string& ip, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

struct Socket {
  explicit Socket(int id) : fd(id) {}
  Socket(Socket&& other) noexcept : fd(std::exchange(other.fd, -1)) {}
  ~Socket() {
    if (fd >= 0) ::close(fd);
  }
  int fd;
};

// One message whole: head and the body that its length tells. Empty: the other side closed before.
inline std::string message(int fd) {
  std::string out;
  char piece[2048];
  for (std::size_t whole = std::string::npos; out.size() < whole;) {
    const auto n = ::recv(fd, piece, sizeof piece, 0);
    if (n <= 0) return {};
    out.append(piece, static_cast<std::size_t>(n));
    const auto head = out.find("\r\n\r\n");
    if (head == std::string::npos) continue;
    const auto length = out.find("Content-Length: ");
    whole = head + 4 + (length < head ? std::stoul(out.substr(length + 16)) : 0);
  }
  return out;
}

inline void say(int fd, const std::string& text) {
  for (std::size_t done = 0; done < text.size();) {
    const auto n = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return;
    done += static_cast<std::size_t>(n);
  }
}

// Sends a message on a connection of its own; what comes back, or nothing.
inline std::string ask(const std::string& ip, int port, const std::string& text) {
  Socket socket(::socket(AF_INET, SOCK_STREAM, 0));
  const auto where = at(ip, port);
  if (::connect(socket.fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) return {};
  say(socket.fd, text);
  return message(socket.fd);
}

// Answers each message that comes to an address, a thread a connection. No answer: the connection is reset.
class StandIn {
 public:
  struct Incoming {
    const std::string& text;
    unsigned nth;  // on its connection
    int fd;
  };
  using Answer = std::function<std::string(const Incoming&)>;
  StandIn(const std::string& ip, int port, Answer answer)
      : answer_(std::move(answer)), listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    ::setsockopt(listener_.fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = at(ip, port);
    REQUIRE(::bind(listener_.fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0);
    REQUIRE(::listen(listener_.fd, 64) == 0);
    threads_.emplace_back([this] { accept(); });
  }
  ~StandIn() {
    {
      const std::lock_guard lock(mutex_);
      ended_ = true;
      ::shutdown(listener_.fd, SHUT_RDWR);
      for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (std::size_t i = 0; i < threads_.size(); ++i) threads_[i].join();  // only the first one adds to them
  }

 private:
  void accept() {
    while (true) {
      const int fd = ::accept(listener_.fd, nullptr, nullptr);
      if (fd < 0) return;
      const std::lock_guard lock(mutex_);
      if (ended_) return static_cast<void>(::close(fd));
      open_.push_back(fd);
      threads_.emplace_back([this, fd] {
        unsigned nth = 0;
        for (std::string text; !(text = message(fd)).empty();) {
          const std::string answer = answer_({text, ++nth, fd});
          if (answer.empty()) {
            const linger now{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            break;
          }
          say(fd, answer);
        }
        const std::lock_guard closing(mutex_);
        std::erase(open_, fd);
        ::close(fd);
      });
    }
  }
  Answer answer_;
  Socket listener_;
  std::mutex mutex_;
  bool ended_ = false;
  std::vector<int> open_;
  std::vector<std::thread> threads_;
};

inline std::string field(const std::string& head, const std::string& name) {
  const auto from = head.find("\r\n" + name + ": ");
  if (from == std::string::npos) return {};
  const auto begin = from + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

// A door that workers stop at, where a test wants to see them at work.
struct Door {
  std::mutex mutex;
  std::condition_variable changed;
  bool shut = false;
  unsigned inside = 0;
  void pass() {
    std::unique_lock lock(mutex);
    ++inside;
    changed.notify_all();
    changed.wait(lock, [this] { return !shut; });
  }
  void awaitSomebody() {
    std::unique_lock lock(mutex);
    changed.wait(lock, [this] { return inside > 0; });
  }
  void set(bool to) {
    const std::lock_guard lock(mutex);
    shut = to, inside = 0;
    changed.notify_all();
  }
};

inline constexpr int kControl = 18483, kDirectory = 18485, kFront = 18489, kReady = 18484, kPlatform = 18482,
                     kWorker = 18480;
inline const char* const kZones[] = {"a", "b", "c"};

struct SystemOptions {
  unsigned memoryMb = 2;        // of each process, as its settings tell it
  unsigned workers = 1;         // all of one service
  unsigned workerCapacity = 4;  // requests at once
  // Sees each call of the platform; false: it has answered.
  std::function<bool(const StandIn::Incoming&)> atPlatform = {};
};

class System {
 public:
  explicit System(SystemOptions options = {})
      : options_(options), platform_("127.78.9.1", kPlatform, [this](const StandIn::Incoming& incoming) {
          return options_.atPlatform && !options_.atPlatform(incoming) ? std::string() : list();
        }) {
    for (unsigned i = 0; i < options_.workers; ++i)
      workers_.push_back(std::make_unique<StandIn>(
          workerIp(i), kWorker, [this](const StandIn::Incoming& incoming) { return work(incoming); }));
    for (unsigned i = 0; i < 3; ++i) startCore(i);
    for (unsigned i = 0; i < 2; ++i) startProxy(i);
  }
  ~System() { door.set(false); }

  static std::string coreIp(unsigned i) { return "127.78.1." + std::to_string(i + 1); }
  static std::string proxyIp(unsigned i) { return "127.78.2." + std::to_string(i + 1); }
  static std::string workerIp(unsigned i) { return "127.78.3." + std::to_string(i + 1); }

  void startCore(unsigned i) {
    const fs::path file = settings("core" + std::to_string(i), coreIp(i), kZones[i], true);
    stores[i] = std::make_unique<Process>(BURLWIND_CONFIG_STORE, std::vector<std::string>{}, file);
    registries[i] = std::make_unique<Process>(BURLWIND_REGISTRY, std::vector<std::string>{}, file);
    first_ = first_ && i < 2;
  }
  void startProxy(unsigned i) {
    const fs::path file = settings("edge" + std::to_string(i), proxyIp(i), kZones[i], false);
    proxies[i] = std::make_unique<Process>(BURLWIND_PROXY, std::vector<std::string>{}, file);
  }
  // An order as operators send it: again, unchanged, to another machine, until the answer is a clear one.
  std::string order(const std::string& call, const std::string& body) {
    const std::string text = "POST /api/rpc?call=" + call +
                             " HTTP/1.1\r\nHost: c\r\nContent-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body;
    const auto runs = [](const auto& process) { return process->runs(); };
    for (unsigned turn = 0; std::any_of(registries.begin(), registries.end(), runs); ++turn) {
      const std::string answer = ask(coreIp(turn % 3), kControl, text);
      if (answer.size() > 12 && answer.substr(9, 3) != "503") return answer;
      std::this_thread::yield();
    }
    return "no clear answer";
  }
  static std::string configuration(unsigned version, unsigned parent, const std::string& path,
                                   const std::string& kind = "unsafe") {
    return R"({"generation":"r)" + std::to_string(version) +
           R"(","routes":[{"name":"one","hostname":"shop.example","pathPrefix":")" + path + R"(","kind":")" +
           kind +
           R"(","timeout":"8000ms","target":"500ms","priority":1,"backend":"s","tries":1,"public":false,"homeRegions":[]}],"backends":[{"name":"s","healthPath":"/health","maxConns":100,"coldFor":"3s","coldRateS":100}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerRead":"3000ms","idle":"15000ms"},"customers":[{"name":"weaver","apiKeys":["key1"],"priority":0,"ratePerS":1000,"burst":1000,"homeRegions":[]}],"parentVersion":"r)" +
           std::to_string(parent) + "\"}";
  }
  std::string request(unsigned proxy, const std::string& path, const std::string& key) {
    return ask(proxyIp(proxy), kFront,
               "POST " + path +
                   " HTTP/1.1\r\nHost: shop.example\r\nTry-Id: t1\r\nTime-Left-Ms: 8000\r\nApi-Key: " + key +
                   "\r\nTenant: nobody\r\nContent-Length: 4\r\n\r\nwool");
  }
  static std::string inForce(unsigned version) {
    return "\"what\":\"in force\",\"version\":" + std::to_string(version) + ",";
  }
  // Until the proxy has its first version and, with its first session, a list of workers.
  void awaitStart(unsigned proxy, unsigned version) {
    REQUIRE(proxies[proxy]->saysAll({inForce(version), "\"what\":\"session\""}));
  }
  void awaitVersion(unsigned proxy, unsigned version) { REQUIRE(proxies[proxy]->says(inForce(version))); }
  std::string served(unsigned proxy, const std::string& path) {
    // Until it is served: 503 and 429 tell to come back. A proxy that is gone answers nothing.
    std::string answer;
    do {
      answer = request(proxy, path, "key1");
    } while (answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 429"));
    return answer;
  }

  std::array<std::unique_ptr<Process>, 3> stores, registries;
  std::array<std::unique_ptr<Process>, 2> proxies;
  Door door;
  std::function<void(const StandIn::Incoming&)> atWork;  // set before requests come
  std::atomic<bool> forgets{false};  // the worker resets connections that it has answered on
  std::string seen() {
    const std::lock_guard lock(mutex_);
    return seen_;
  }
  bool arrived(const std::string& tryId) {
    const std::lock_guard lock(mutex_);
    return arrived_.contains(tryId);
  }
  unsigned runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  std::string list() const {
    std::string entries;
    for (unsigned i = 0; i < options_.workers; ++i)
      entries += std::string(i ? "," : "") + "\"w" + std::to_string(i + 1) +
                 R"(":{"backend":"s","address":")" + workerIp(i) + ":" + std::to_string(kWorker) +
                 R"(","zone":"a","generation":"v1","capacity":)" + std::to_string(options_.workerCapacity) +
                 R"(,"state":"ready","coldLeft":"0ms"})";
    const std::string body = R"({"servers":{)" + entries + R"(},"nextToken":null})";
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::string work(const StandIn::Incoming& incoming) {
    const std::string& text = incoming.text;
    if (forgets && incoming.nth > 1) return {};
    {
      const std::lock_guard lock(mutex_);
      arrived_.insert(field(text, "Try-Id"));
    }
    if (atWork) atWork(incoming);
    door.pass();
    const std::lock_guard lock(mutex_);
    seen_ = text, ++runs_;
    return "HTTP/1.1 200 OK\r\nTry-Id: " + field(text, "Try-Id") +
           "\r\nServer-Seal: seal\r\nContent-Length: 4\r\n\r\nyarn";
  }
  fs::path settings(const std::string& name, const std::string& ip, const std::string& zone, bool core) {
    const fs::path data = folder_.path / (name + "-data");
    if (core) fs::create_directories(data);
    const auto bound = [&](int port) { return "\"" + ip + ":" + std::to_string(port) + "\""; };
    const std::string bind = core ? "\"control\":" + bound(kControl) + ",\"directory\":" + bound(kDirectory)
                                  : "\"front\":" + bound(kFront) + ",\"readiness\":" + bound(kReady);
    std::string seeds;
    for (unsigned i = 0; i < 3; ++i)
      seeds += (i ? ",\"" : "\"") + coreIp(i) + ":" + std::to_string(kControl) + "\"";
    const fs::path file = folder_.path / (name + ".json");
    std::ofstream(file)
        << R"({"self":{"nodeName":")" + name + R"(","ipAddress":")" + ip + R"(","zone":")" + zone +
               R"(","region":"R","firstBoot":)" + (first_ ? "true" : "false") + R"(,"dataFolder":")" +
               data.string() + R"(","limits":{"memoryMb":)" + std::to_string(options_.memoryMb) +
               R"(}},"network":{"bind":{)" + bind + R"(},"internalPorts":[17560,17575],"seedNodes":[)" +
               seeds +
               R"(],"zones":{"a":"R","b":"R","c":"R"}},"provider":{"cloudApi":{"address":"127.78.9.1:)" +
               std::to_string(kPlatform) +
               R"(","ratePerS":100,"maxLag":"100ms"}},"settings":{"tolerance":{"machines":1},"bounds":{"grace":"9s","retryRatio":0.2,"retrySlack":60}}})";
    return file;
  }
  const SystemOptions options_;
  bool first_ = true;  // the first start of all core machines
  Folder folder_;
  std::mutex mutex_;
  std::string seen_;
  unsigned runs_ = 0;
  std::set<std::string> arrived_;  // Try-Ids that a worker has read
  StandIn platform_;
  std::vector<std::unique_ptr<StandIn>> workers_;
};

}  // namespace burlwind
