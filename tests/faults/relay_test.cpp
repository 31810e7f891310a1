// Relays between two peers on loopback: what each condition does to open and to new connections. "Nothing
// comes" is shown by what comes later on another way, never by a wait.
#include "faults/relay.hpp"

#include "faults/history.hpp"
#include "faults/timetable.hpp"
#include "support/peers.hpp"

namespace burlwind::faults {
namespace {

using asio::ip::tcp;
using test::Listener;
using test::PeerPtr;

class RelayTest : public test::Loopback {
 protected:
  using Condition = faults::Condition;
  double now() const {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
  }
  PeerPtr joined() {
    const std::size_t before = far.peers.size();
    const PeerPtr near = dial(relay.address());
    until([&] { return far.peers.size() > before; }, "a connection at the target");
    return near;
  }
  PeerPtr other() const { return far.peers.back(); }
  // All that is under way on the loop and in the kernel has had its turn: a whole exchange beside it.
  void turn() {
    Listener beside(io);
    const PeerPtr a = dial(beside.address());
    until([&] { return !beside.peers.empty(); }, "the one beside");
    a->send("x");
    until([&] { return beside.count("x") == 1; }, "what was sent beside");
  }
  Condition way(Way w) const {
    Condition out;
    out.way = w;
    return out;
  }

  const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
  Listener far{io};
  std::vector<Relay::What> told;
  Relay relay{io,
              asio::ip::address_v4::loopback(),
              far.address(),
              1,
              [this] { return now(); },
              [this](Relay::What what, std::uint16_t) { told.push_back(what); }};
};

TEST_F(RelayTest, PassesBytesAndEndsBothWays) {
  const PeerPtr near = joined();
  near->send("ask");
  until([&] { return other()->got == "ask"; }, "the question");
  EXPECT_GE(relay.saidSince(0), -1);
  other()->send("answer");
  until([&] { return near->got == "answer"; }, "the answer");
  other()->end();
  until([&] { return near->ended; }, "the end");
  near->end();
  until([&] { return relay.connections() == 0; }, "nothing left");
}

TEST_F(RelayTest, ACutHoldsBytesAndEndsBackAndDeliversThemWhenItHeals) {
  const PeerPtr near = joined();
  relay.set(way(Way::silent));
  near->send("during");
  other()->send("back");
  until([&] { return relay.waiting(Direction::out) == 6 && relay.waiting(Direction::back) == 4; },
        "both held");
  other()->end();
  turn();
  EXPECT_EQ(other()->got, "");
  EXPECT_EQ(near->got, "");
  EXPECT_FALSE(near->ended);
  relay.set({});
  until([&] { return near->got == "back" && near->ended; }, "what was held, then the end");
}

TEST_F(RelayTest, NewConnectionsNeverComeUpDuringACutAndDoAfterIt) {
  relay.set(way(Way::silent));
  tcp::socket socket(io);
  bool up = false;
  socket.async_connect(relay.address(), [&](const Error& error) { up = !error; });
  turn();
  EXPECT_FALSE(up);
  EXPECT_EQ(relay.opened(), 0u);
  relay.set({});
  until([&] { return up && relay.opened() == 1; }, "the connection, once healed");  // the kernel asks again
  until([&] { return !far.peers.empty(); }, "it at the target");
  turn();
  EXPECT_EQ(far.peers.size(), 1u);  // what kept the queue full reached nobody
}

TEST_F(RelayTest, OneWayOnlyTheOtherGoesOn) {
  const PeerPtr near = joined();
  relay.set(Direction::back, way(Way::held));
  near->send("ask");
  until([&] { return other()->got == "ask"; }, "the way out");
  other()->send("answer");
  until([&] { return relay.waiting(Direction::back) == 6; }, "the way back held");
  EXPECT_EQ(near->got, "");
  relay.set(Direction::back, {});
  until([&] { return near->got == "answer"; }, "let go");
}

TEST_F(RelayTest, AResetEndsWhatIsOpenAndWhatComesUp) {
  const PeerPtr near = joined();
  relay.set(way(Way::reset));
  until([&] { return near->ended && other()->ended; }, "both reset");
  const PeerPtr again = dial(relay.address());
  until([&] { return again->ended; }, "the new one reset");
  EXPECT_EQ(relay.opened(), 1u);
}

TEST_F(RelayTest, RefusedLetsOpenOnesGoOn) {
  const PeerPtr near = joined();
  relay.set(way(Way::refused));
  near->send("still");
  until([&] { return other()->got == "still"; }, "the open one");
  tcp::socket socket(io);
  Error error;
  socket.connect(relay.address(), error);
  EXPECT_EQ(error, asio::error::connection_refused);
  relay.set({});
  joined();
}

TEST_F(RelayTest, HalfOpenPassesBytesAndNoEnds) {
  const PeerPtr near = joined();
  relay.set(way(Way::halfOpen));
  near->send("last words");
  near->end();
  until([&] { return other()->got == "last words"; }, "the bytes");
  until([&] { return !told.empty() && told.back() == Relay::What::nearEnded; }, "the relay sees the end");
  turn();
  EXPECT_FALSE(other()->ended);
  relay.set({});
  until([&] { return other()->ended; }, "the end, once it passes");
}

TEST_F(RelayTest, PiecesComeOneByOneAndWhole) {
  Condition pieces;
  pieces.piece = 3;
  relay.set(pieces);
  const PeerPtr near = joined();
  const std::string text(1000, 'x');
  near->send(text);
  until([&] { return other()->got == text; }, "all of it");
  until([&] { return relay.delivered(Direction::out) == text.size(); }, "the count of it");
}

TEST_F(RelayTest, MoreThanItHoldsIsNotRead) {
  const PeerPtr near = joined();
  relay.set(way(Way::held));
  const std::string much(1 << 16, 'x');
  std::size_t sent = 0;
  for (std::size_t quiet = 0; quiet < 20;) {  // until neither the kernel nor the relay takes more
    const std::size_t n = near->sendSome(much);
    sent += n;
    quiet = n == 0 ? quiet + 1 : 0;
    turn();
  }
  EXPECT_GE(relay.waiting(Direction::out), Relay::kMost);
  EXPECT_LT(relay.waiting(Direction::out), Relay::kMost + (1 << 15));
  relay.set({});
  until([&] { return other()->got.size() == sent; }, "all that was sent");
}

TEST_F(RelayTest, SaysSinceWhenWhatComesNowWasSaid) {
  const PeerPtr near = joined();
  const auto port = [&] {
    // The relay's own port towards the target is what the target sees.
    return other()->peerPort();
  };
  relay.set(Direction::out, way(Way::held));
  const double before = now();
  near->send("first");
  until([&] { return relay.waiting(Direction::out) == 5; }, "held");
  const double said = now();
  turn();
  relay.set(Direction::out, {});
  until([&] { return other()->got == "first"; }, "let go");
  EXPECT_GE(relay.saidSince(port()), before);
  EXPECT_LE(relay.saidSince(port()), said);
  other()->send("answer");
  until([&] { return near->got == "answer"; }, "the answer");
  EXPECT_LT(relay.saidSince(port()), 0);  // nothing is being said
}

// The whole of it: two sides' own accounts of a cut, merged and checked. A link that leaks is found.
class Leaks : public RelayTest {
 protected:
  // Sends through a cut that the timetable tells of; `cut` is what is really done to the link.
  std::optional<Breach> play(const Condition& cut) {
    const PeerPtr near = joined();
    History account;
    const auto note = [&](const char* process, const char* what) {
      account.push_back({process, 1, now(), 0, what, {}});
    };
    const double from = now();
    relay.set(cut);
    near->send("x");
    note("a", "sent");
    turn();
    if (!other()->got.empty()) note("b", "received");
    const double until_ = now();
    relay.set({});
    until([&] { return other()->got == "x"; }, "after the cut");
    note("b", "received");
    return none("received", from, until_)(account);
  }
};

TEST_F(Leaks, ACutLinkLetsNothingThrough) { EXPECT_FALSE(play(way(Way::silent))); }

TEST_F(Leaks, ALinkThatLeaksAfterACutIsCaught) {
  const auto breach = play(way(Way::open));  // the planted bug: the cut did not take
  ASSERT_TRUE(breach);
  EXPECT_EQ(breach->shown.size(), 1u);
}

}  // namespace
}  // namespace burlwind::faults
