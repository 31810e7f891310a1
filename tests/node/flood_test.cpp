// Floods of connections on loopback: who is broken takes nothing from those who are served, and no answer
// that is owed is lost.
#include <sys/resource.h>

#include "support/sides.hpp"

namespace burlwind::test {
namespace {

using namespace std::chrono_literals;

const std::string kQuestion = "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n";

class Flood : public Clients {
 protected:
  void openFor(std::size_t connections) {
    ClientServer::Limits limits;
    limits.connections = connections;
    limits.admission.order = admission::Order::proof;
    limits.wholeWithin = 1h;
    limits.idleFor = 1h;
    open(limits);
  }
  std::string ask(unsigned id) const {
    char name[17];
    std::snprintf(name, sizeof name, "%016x", id);
    Ask out;
    out.id = name;
    return out.text();
  }
  // Asks and is served: from then on the connection has proved itself.
  void serve(const PeerPtr& peer, unsigned id) {
    const auto before = holder.last;
    peer->send(ask(id));
    until([&] { return holder.last == before + 1; }, "the request is held");
    holder.held.clear();
    Answer answer;
    answer.body = "served " + std::to_string(id) + ";";
    holder.asker->answer(std::move(answer));
    until([&] { return peer->has("served " + std::to_string(id) + ";"); }, "it is served");
  }
  // From another loopback address.
  PeerPtr dialFrom(const char* source) {
    tcp::socket socket(io, tcp::endpoint(asio::ip::make_address_v4(source), 0));
    socket.connect(server->address());
    const auto peer = std::make_shared<Peer>(std::move(socket));
    peer->read();
    return peer;
  }
  // Clients that have been served, and keep their connections.
  std::vector<PeerPtr> knownFrom(const char* source, unsigned count) {
    std::vector<PeerPtr> known;
    for (unsigned i = 0; i < count; ++i) {
      known.push_back(dialFrom(source));
      serve(known.back(), 100 + i);
    }
    return known;
  }
  // Many more than the table holds.
  void flood(const char* source, const std::string& text, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      crowd.push_back(dialFrom(source));
      if (!text.empty()) crowd.back()->send(text);
      io.restart();
      io.poll();
    }
  }
  std::vector<PeerPtr> crowd;
};

TEST_F(Flood, SilentHalfAndSlowOnesTakeNothingFromTheKnownOnOtherAddresses) {
  openFor(40);
  const auto known = knownFrom("127.0.0.9", 8);
  flood("127.0.0.66", "", 200);
  flood("127.0.0.66", ask(1).substr(0, 40), 200);
  flood("127.0.0.66", "G", 200);
  for (unsigned i = 0; i < 8; ++i) serve(known[i], 200 + i);
  EXPECT_LE(server->connections(), 40u);
}

TEST_F(Flood, NorFromTheKnownOnTheSameAddress) {
  openFor(40);
  const auto known = knownFrom("127.0.0.66", 8);
  flood("127.0.0.66", "", 300);
  for (unsigned i = 0; i < 8; ++i) serve(known[i], 200 + i);
}

TEST_F(Flood, ANewcomerFromTheFloodsOwnAddressGetsIn) {
  openFor(40);
  flood("127.0.0.66", "", 300);
  const auto fresh = dialFrom("127.0.0.66");
  serve(fresh, 1);
}

TEST_F(Flood, WhatIsOwedAnAnswerGetsItWhateverComes) {
  openFor(20);
  const auto owed = dialFrom("127.0.0.9");
  owed->send(ask(1));
  until([&] { return holder.last == 1; }, "the request is held");
  const auto asker = holder.asker;
  flood("127.0.0.66", "", 200);
  Answer answer;
  answer.body = "at last";
  asker->answer(std::move(answer));
  until([&] { return owed->has("at last"); }, "the answer");
  EXPECT_EQ(holder.gone, 0);
}

// It earns its proof and goes quiet; what it holds is the most of its rank, so it makes room for itself.
TEST_F(Flood, OneThatBehavesDoesNotPushOutASmallerSource) {
  openFor(20);
  const auto known = dialFrom("127.0.0.9");
  serve(known, 1);
  for (unsigned i = 0; i < 60; ++i) {
    crowd.push_back(dialFrom("127.0.0.66"));
    serve(crowd.back(), 100 + i);
  }
  EXPECT_FALSE(known->ended);
  serve(known, 2);
}

TEST_F(Flood, AReconnectingOneLeavesRoomForAnEvictedClientsResend) {
  openFor(10);
  flood("127.0.0.66", "", 100);
  const auto first = dialFrom("127.0.0.9");
  for (int i = 0; i < 200; ++i) {  // whoever is closed comes back at once
    std::erase_if(crowd, [](const PeerPtr& one) { return one->ended; });
    flood("127.0.0.66", "", 5);
  }
  const auto again = dialFrom("127.0.0.9");  // the client's one resend, on a new connection
  serve(again, 1);
}

TEST_F(Flood, OneAnHourKeepsItsConnectionAgainstOneShotsByTheHundred) {
  openFor(20);
  const auto rare = dialFrom("127.0.0.9");
  serve(rare, 1);
  for (unsigned i = 0; i < 100; ++i) serve(dialFrom("127.0.0.66"), 100 + i);
  serve(rare, 2);
}

TEST_F(Flood, ADrainUnderAFloodEnds) {
  openFor(20);
  flood("127.0.0.66", "", 100);
  bool empty = false;
  server->beginDrain();
  server->stopAccepting();
  server->whenEmpty([&] { empty = true; });
  until([&] { return empty; }, "all connections have ended");
}

// No descriptor is left but the one that is kept for this: what comes is taken, told and ended, the request
// that is held keeps its connection and gets its answer, and when descriptors are back the next client is
// served.
TEST_F(Flood, WithoutDescriptorsItTurnsAwayKeepsWhatItOwesAndRecovers) {
  openFor(1000);
  const auto owed = dialFrom("127.0.0.9");
  owed->send(ask(1));
  until([&] { return holder.last == 1; }, "the request is held");
  const auto asker = holder.asker;
  std::vector<tcp::socket> dialled;
  for (int i = 0; i < 3; ++i) {
    dialled.emplace_back(io);
    dialled.back().open(tcp::v4());
  }
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  std::vector<int> taken;
  rlimit few = before;
  few.rlim_cur = 256;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &few), 0);
  for (int fd; (fd = dup(0)) >= 0;) taken.push_back(fd);
  std::string told;
  for (auto& socket : dialled) {
    socket.connect(server->address());
    std::array<char, 512> piece{};
    bool over = false;
    socket.async_read_some(asio::buffer(piece),
                           [&](const Error&, std::size_t n) { told.append(piece.data(), n), over = true; });
    until([&] { return over; }, "it is turned away");
  }
  EXPECT_NE(told.find("HTTP/1.1 503"), std::string::npos);
  EXPECT_NE(told.find("Retry-After: 1"), std::string::npos);
  Answer answer;
  answer.body = "at last";
  asker->answer(std::move(answer));
  until([&] { return owed->has("at last"); }, "the answer that is owed");
  for (const int fd : taken) close(fd);
  setrlimit(RLIMIT_NOFILE, &before);
  serve(dialFrom("127.0.0.9"), 2);
}

}  // namespace
}  // namespace burlwind::test
