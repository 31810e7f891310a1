// Floods of connections on loopback: who is broken takes nothing from those who are served, and no answer
// that is owed is lost.
#include <sys/resource.h>

#include <algorithm>

#include "support/sides.hpp"

namespace burlwind::test {
namespace {

using namespace std::chrono_literals;

const std::string kQuestion = "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n";

class Flood : public Clients {
 protected:
  static ClientServer::Limits limitsFor(std::size_t connections) {
    ClientServer::Limits limits;
    limits.connections = connections;
    limits.wholeWithin = 1h;
    limits.idleFor = 1h;
    return limits;
  }
  void openFor(std::size_t connections) { open(limitsFor(connections)); }
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

// Whole heads of customers that are refused, then quiet: that proves nothing.
TEST_F(Flood, OneThatIsRefusedPushesOutOnlyItself) {
  openFor(20);
  const auto known = knownFrom("127.0.0.66", 4);
  for (unsigned i = 0; i < 60; ++i) {
    crowd.push_back(dialFrom("127.0.0.66"));
    const auto before = holder.last;
    crowd.back()->send(ask(1000 + i));
    until([&] { return holder.last == before + 1; }, "the request is held");
    holder.held.clear();
    Answer refusal;
    refusal.status = http::status::too_many_requests;
    holder.asker->answer(std::move(refusal));
    until([&] { return crowd.back()->has("HTTP/1.1 429"); }, "the refusal");
  }
  for (unsigned i = 0; i < 4; ++i) serve(known[i], 200 + i);
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

// Programs that open a connection for each request and keep it would run out of their own descriptors: the
// cause of incident rc5d3aa.
TEST_F(Flood, OneShotsThatKeepTheirConnectionsAreEndedTheLongestIdleFirst) {
  openFor(64);
  const auto known = dialFrom("127.0.0.9");
  serve(known, 1);
  serve(known, 2);
  std::vector<PeerPtr> shots;
  for (unsigned i = 0; i < 40; ++i) {
    shots.push_back(dialFrom("127.0.0.9"));
    serve(shots.back(), 100 + i);
  }
  until([&] { return std::count_if(shots.begin(), shots.end(), [](auto& one) { return one->ended; }) == 33; },
        "all but eight, with the one that asked twice, have ended");
  EXPECT_TRUE(shots.front()->ended);
  EXPECT_FALSE(shots.back()->ended);
  serve(known, 3);
}

// Where all that wait have shown more, the answer itself says that it is the last.
TEST_F(Flood, AnAnswerSaysThatItsConnectionEnds) {
  openFor(64);
  std::vector<PeerPtr> known;
  for (unsigned i = 0; i < 8; ++i) {
    known.push_back(dialFrom("127.0.0.9"));
    serve(known.back(), 100 + i);
    serve(known.back(), 200 + i);
  }
  const auto shot = dialFrom("127.0.0.9");
  serve(shot, 1);
  until([&] { return shot->ended; }, "its end");
  EXPECT_TRUE(shot->has("Connection: close"));
  for (unsigned i = 0; i < 8; ++i) serve(known[i], 300 + i);
}

// Whichever comes first, the request is served once: on its connection, or on the next one if the end of that
// crossed it.
TEST_F(Flood, ARequestThatCrossesTheEndOfItsConnectionIsServedOnTheNext) {
  openFor(64);
  for (unsigned round = 0; round < 20; ++round) {
    auto peer = dialFrom("127.0.0.9");
    serve(peer, 1000 + round);
    for (unsigned i = 0; i < 7; ++i) serve(dialFrom("127.0.0.9"), 2000 + 10 * round + i);
    const auto last = dialFrom("127.0.0.9");
    last->send(ask(3000 + round));
    const auto before = holder.last;
    until([&] { return holder.last == before + 1; }, "the last one's request is held");
    const auto asker = std::exchange(holder.asker, nullptr);
    holder.held.clear();
    peer->send(ask(4000 + round));
    asker->answer({});  // turns idle as the ninth
    until([&] { return holder.asker || peer->ended; }, "the request, or the end");
    if (!holder.asker) {
      peer = dialFrom("127.0.0.9");
      peer->send(ask(4000 + round));
      until([&] { return holder.asker != nullptr; }, "the request, sent again");
    }
    holder.held.clear();
    Answer answer;
    answer.body = "crossed";
    std::exchange(holder.asker, nullptr)->answer(std::move(answer));
    until([&] { return peer->has("crossed"); }, "its answer");
    peer->end();
  }
}

TEST_F(Flood, WhatComesToAFullTableIsToldSoAfterAMoment) {
  auto limits = limitsFor(2);
  limits.admission.acceptWait = 50;
  open(limits);
  std::vector<std::shared_ptr<Asker>> owed;
  std::vector<PeerPtr> known;
  for (unsigned i = 0; i < 2; ++i) {
    known.push_back(dialFrom("127.0.0.9"));
    known.back()->send(ask(1 + i));
    until([&] { return holder.last == i + 1; }, "a request is held");
    owed.push_back(holder.asker);
  }
  for (int i = 0; i < 3; ++i) {
    const auto late = dialFrom("127.0.0.9");
    late->send(ask(10));
    until([&] { return late->ended; }, "it is turned away");
    EXPECT_TRUE(late->has("HTTP/1.1 503")) << "though it had sent its request already";
    EXPECT_TRUE(late->has("Retry-After: 1"));
  }
  EXPECT_EQ(server->admitted().turned[static_cast<std::size_t>(admission::Turned::tableFull)], 3u);
  for (const auto& asker : owed) asker->answer({});
  holder.held.clear();
  serve(dialFrom("127.0.0.9"), 20);
}

TEST_F(Flood, WhatComesToAFullTableGetsInIfRoomIsMadeInTime) {
  auto limits = limitsFor(1);
  limits.admission.acceptWait = 3600e3;
  open(limits);
  const auto first = dialFrom("127.0.0.9");
  first->send(ask(1));
  until([&] { return holder.last == 1; }, "the request is held");
  const auto asker = holder.asker;
  const auto late = dialFrom("127.0.0.9");
  late->send(ask(2));
  io.restart();
  io.poll();
  holder.held.clear();
  asker->answer({});
  until([&] { return holder.last == 2; }, "the one that waited");
}

// A byte now and then proves nothing: the time counts from the first.
TEST_F(Flood, OneThatSendsAByteAtATimeEndsInTime) {
  auto limits = limitsFor(20);
  limits.wholeWithin = 100ms;
  open(limits);
  const auto slow = dialFrom("127.0.0.66");
  const std::string text = ask(1);
  std::size_t sent = 0;
  until(
      [&] {
        if (!slow->ended && sent < text.size() / 2) slow->send(text.substr(sent++, 1));
        return slow->has("HTTP/1.1 408") && slow->ended;
      },
      "it is told and ended");
  EXPECT_EQ(holder.last, 0u);
}

// Its connection counts as owed an answer until then, and is free afterwards.
TEST_F(Flood, OneThatDoesNotReadItsAnswerEndsInTime) {
  auto limits = limitsFor(1);
  limits.writeWithin = 100ms;
  open(limits);
  tcp::socket deaf(io);
  deaf.connect(server->address());
  asio::write(deaf, asio::buffer(ask(1)));
  until([&] { return holder.last == 1; }, "the request is held");
  Answer answer;
  answer.body.assign(32 << 20, 'x');  // more than both sides' buffers hold
  holder.asker->answer(std::move(answer));
  holder.held.clear();
  until([&] { return server->connections() == 0; }, "its end");
  serve(dialFrom("127.0.0.9"), 2);
}

TEST_F(Flood, ADrainUnderAFloodEnds) {
  openFor(20);
  flood("127.0.0.66", "", 100);
  bool empty = false;
  server->whenEmpty([&] { empty = true; });
  lifecycle::Conduct ends;
  ends.accepts = ends.keeps = false;
  ends.idleMost = 0;
  server->follow(ends);
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
