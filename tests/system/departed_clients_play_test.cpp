// Plays from a seed: clients that stay or leave in every way, workers that answer, refuse, break off or are
// silent, in whatever order the loop's turns fall. Judged by what crosses the sockets alone.
#include <doctest/doctest.h>

#include <map>
#include <random>

#include "edge_loop.hpp"

namespace burlwind::proxy {
namespace {

constexpr unsigned kPlays = 60;
constexpr unsigned kSteps = 300;
constexpr unsigned kWorkers = 3;

struct Try {
  bool left = false;         // its client has ended its connection
  bool leftForGood = false;  // and the proxy has had all the turns that it wanted since
  unsigned taken = 0;        // by workers that did not turn it away
};

class Play {
 public:
  explicit Play(unsigned seed) : random_(seed) { edge_.limits.idle = 120000; }
  void run() {
    for (unsigned step = 0; step < kSteps; ++step) {
      act();
      turnSome();
    }
    finish();
  }
  std::vector<std::string> faults;

 private:
  struct Client {
    std::unique_ptr<Peer> peer;
    std::string tryId;  // of the request that waits; empty: none
    std::string heard;
  };
  struct AtWorker {
    Peer* connection;
    std::string tryId;
  };
  bool chance(double part) { return std::uniform_real_distribution<double>(0, 1)(random_) < part; }
  std::size_t pick(std::size_t size) {
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
  }
  void fault(const std::string& what, const std::string& tryId) { faults.push_back(what + " " + tryId); }
  static bool onceOnly(const std::string& tryId) { return tryId.starts_with("/once"); }

  void act() {
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    if (draw < 0.4) return ask();
    if (draw < 0.65) return leave();
    workersRead();
    if (!atWorkers_.empty()) answer(pick(atWorkers_.size()));
  }
  void ask() {
    Client* client = nullptr;
    for (Client& known : clients_)
      if (known.peer && known.tryId.empty() && chance(0.5)) client = &known;
    if (!client) client = &clients_.emplace_back(Client{edge_.client(), {}, {}});
    client->tryId = (chance(0.4) ? "/once" : "/a") + std::to_string(++number_);
    tries_[client->tryId];
    client->peer->say(EdgeLoop::request(client->tryId, std::string(pick(2000), 'b')));
  }
  void leave() {
    std::vector<Client*> waiting;
    for (Client& client : clients_)
      if (client.peer && !client.tryId.empty()) waiting.push_back(&client);
    if (waiting.empty()) return;
    Client& client = *waiting[pick(waiting.size())];
    if (chance(0.2)) client.peer->say(EdgeLoop::request("/behind" + std::to_string(++number_)));
    if (chance(0.2)) client.peer->say("POST /part HTT");
    if (chance(0.3)) client.peer->reset();
    client.peer.reset();
    tries_[client.tryId].left = true;
  }
  // A few turns, or until nothing is due: then who has left is known to have.
  void turnSome() {
    edge_.io.restart();
    if (chance(0.5)) {
      for (std::size_t turns = pick(6); turns > 0; --turns) edge_.io.poll_one();
      return;
    }
    while (edge_.io.poll() > 0) edge_.io.restart();
    workersRead();  // what had been sent before
    for (auto& [tryId, state] : tries_) state.leftForGood = state.left;
    clientsRead();
  }
  static std::string readAll(Peer& peer) {
    std::string out;
    Error error;
    while (const std::size_t size = peer.socket.available(error)) {
      std::string piece(size, '\0');
      piece.resize(peer.socket.read_some(asio::buffer(piece), error));
      out += piece;
    }
    return out;
  }
  void workersRead() {
    for (auto& worker : edge_.workers)
      for (auto& connection : worker->connections) {
        if (!connection->socket.is_open()) continue;
        std::string& text = heard_[connection.get()];
        text += readAll(*connection);
        takeRequest(*connection, text);
        if (peerHasEnded(connection->socket)) connectionEnded(*connection);
      }
  }
  void takeRequest(Peer& connection, std::string& text) {
    const auto head = text.find("\r\n\r\n");
    if (head == std::string::npos) return;
    const auto length = text.find("Content-Length: ");
    const std::size_t whole = head + 4 + std::stoul(text.substr(length + 16));
    if (text.size() < whole) return;
    const std::string tryId = text.substr(5, text.find(' ', 5) - 5);
    text.erase(0, whole);
    if (tries_[tryId].leftForGood) fault("sent after its client had left:", tryId);
    atWorkers_.push_back({&connection, tryId});
  }
  void connectionEnded(Peer& connection) {
    std::erase_if(atWorkers_, [&](const AtWorker& work) {
      if (work.connection != &connection) return false;
      if (onceOnly(work.tryId)) fault("broken off at work:", work.tryId);
      return true;
    });
    connection.socket.close();
  }
  void answer(std::size_t index) {
    const AtWorker work = atWorkers_[index];
    if (chance(0.3)) return;  // it takes its time
    atWorkers_.erase(atWorkers_.begin() + static_cast<std::ptrdiff_t>(index));
    const std::string refusal = "HTTP/1.1 503 x\r\nTry-Id: " + work.tryId + "\r\nNot-Run: full\r\n";
    Error ignored;
    const auto say = [&](const std::string& text) {
      asio::write(work.connection->socket, asio::buffer(text), ignored);
    };
    if (chance(0.25)) return say(refusal + "Content-Length: 0\r\n\r\n");
    if (++tries_[work.tryId].taken > 1 && onceOnly(work.tryId)) fault("taken twice:", work.tryId);
    if (chance(0.15)) return work.connection->reset();
    say(EdgeLoop::answer(work.tryId, work.tryId));
  }
  void clientsRead() {
    for (Client& client : clients_) {
      if (!client.peer || client.tryId.empty()) continue;
      client.heard += readAll(*client.peer);
      if (client.heard.empty()) continue;
      if (client.heard.find("Try-Id: " + client.tryId + "\r\n") == std::string::npos)
        fault("another's answer for:", client.tryId);
      const bool promised = client.heard.starts_with("HTTP/1.1 503");
      if (promised && onceOnly(client.tryId) && tries_[client.tryId].taken > 0)
        fault("told that it has not run:", client.tryId);
      client.heard.clear();
      client.tryId.clear();
    }
  }
  // All answer at last, all clients leave: nothing may be left.
  void finish() {
    for (unsigned turn = 0; turn < 50; ++turn) {
      while (edge_.io.poll() > 0) edge_.io.restart();
      workersRead();
      while (!atWorkers_.empty()) answer(0);
      edge_.io.restart();
    }
    clients_.clear();
    if (!edge_.allEnd()) fault("connections are left", "");
    if (edge_.bytes->held() != 0) fault("bytes are left", "");
  }

  std::mt19937 random_;
  EdgeLoop edge_{kWorkers};
  std::deque<Client> clients_;
  std::map<std::string, Try> tries_;
  std::map<const Peer*, std::string> heard_;  // by connection to a worker
  std::vector<AtWorker> atWorkers_;
  unsigned number_ = 0;
};

TEST_CASE("plays: whatever leaves and whatever workers do, nothing goes on for who has left") {
  for (unsigned seed = 1; seed <= kPlays; ++seed) {
    CAPTURE(seed);
    Play play(seed);
    play.run();
    CHECK(play.faults == std::vector<std::string>{});
    for (const std::string& fault : play.faults) MESSAGE(fault);
  }
}

}  // namespace
}  // namespace burlwind::proxy
