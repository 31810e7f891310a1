// Where operators call, over loopback: each call, each mistake, and callers that are many or slow.
#include "admin/server.hpp"

#include "support/peers.hpp"

namespace burlwind::test {
namespace {

using namespace std::chrono_literals;

class Operators : public Loopback {
 protected:
  void open(const admin::Server::Limits& limits = {}) {
    server.emplace(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0), limits, [this](admin::Call call) {
      calls.push_back(call);
      return admin::Reply{http::status::ok, "done\n", {}};
    });
    server->start();
  }
  PeerPtr call(const std::string& text) {
    const auto peer = dial(server->address());
    peer->send(text);
    return peer;
  }
  std::string answerTo(const std::string& text) {
    const auto peer = call(text);
    until([&] { return peer->ended; }, "the answer's end");
    return peer->got;
  }

  std::optional<admin::Server> server;
  std::vector<admin::Call> calls;
};

TEST_F(Operators, AnswersEachCallAndCloses) {
  open();
  for (const char* call : {"GET /ready", "GET /metrics?now=1", "POST /drain", "POST /undrain"}) {
    const std::string got = answerTo(std::string(call) + " HTTP/1.1\r\nHost: b\r\n\r\n");
    EXPECT_TRUE(got.starts_with("HTTP/1.1 200 OK\r\n")) << got;
    EXPECT_NE(got.find("Connection: close\r\n"), std::string::npos) << got;
    EXPECT_TRUE(got.ends_with("\r\n\r\ndone\n")) << got;
  }
  const std::vector<admin::Call> all{admin::Call::ready, admin::Call::metrics, admin::Call::drain,
                                     admin::Call::undrain};
  EXPECT_EQ(calls, all);
}

TEST_F(Operators, TakesACallInPiecesAndWithABody) {
  open();
  const auto peer = dial(server->address());
  for (const char c : std::string("POST /drain HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}")) {
    EXPECT_TRUE(calls.empty());
    peer->send(std::string(1, c));
    io.restart();
    io.run_one_for(1ms);
  }
  until([&] { return peer->ended; }, "the answer");
  EXPECT_EQ(calls.size(), 1u);
}

TEST_F(Operators, TellsWhatIsWrongAndHarmsNoOther) {
  open();
  const auto waiting = call("GET /rea");
  const std::vector<std::pair<std::string, std::string>> cases{
      {"GET /nowhere HTTP/1.1\r\n\r\n", "404"},
      {"POST /ready HTTP/1.1\r\n\r\n", "405"},
      {"GET /drain HTTP/1.1\r\n\r\n", "405"},
      {"what is this\r\n\r\n", "400"},
      {"POST /drain HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
      {"GET /ready HTTP/1.1\r\nBig: " + std::string(20000, 'x') + "\r\n\r\n", "431"},
      {"POST /drain HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", "413"}};
  for (const auto& [text, status] : cases) {
    const std::string got = answerTo(text);
    EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 " + status) << text.substr(0, 60);
  }
  EXPECT_NE(answerTo("GET /drain HTTP/1.1\r\n\r\n").find("Allow: POST\r\n"), std::string::npos);
  EXPECT_TRUE(answerTo("HEAD /ready HTTP/1.1\r\n\r\n").ends_with("\r\n\r\n"));
  EXPECT_TRUE(calls.empty());
  waiting->send("dy HTTP/1.1\r\n\r\n");
  until([&] { return waiting->has("200 OK"); }, "the one that waited");
}

TEST_F(Operators, TheSlowestCallerMakesRoomAndOneThatNeverEndsIsTold) {
  admin::Server::Limits limits;
  limits.connections = 3;
  open(limits);
  std::vector<PeerPtr> slow;
  for (int i = 0; i < 3; ++i) {
    slow.push_back(call("GET /rea"));
    until([&] { return server->connections() == slow.size(); }, "a slow caller");
  }
  const std::string got = answerTo("GET /ready HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(got.starts_with("HTTP/1.1 200")) << got;
  until([&] { return slow[0]->ended; }, "the slowest is ended");
  EXPECT_FALSE(slow[1]->ended);
  limits.whole = 50ms;
  server.reset();
  open(limits);
  EXPECT_TRUE(answerTo("GET /rea").starts_with("HTTP/1.1 408"));
  until([&] { return server->connections() == 0; }, "its connection ends");
}

TEST_F(Operators, AnAddressThatIsTakenIsOneLine) {
  const Listener other(io);
  admin::Server taken(io, other.address(), {}, [](admin::Call) { return admin::Reply{}; });
  try {
    taken.start();
    FAIL();
  } catch (const std::runtime_error& error) {
    EXPECT_NE(std::string(error.what()).find("the operators' address: cannot listen at 127.0.0.1:"),
              std::string::npos);
  }
}

}  // namespace
}  // namespace burlwind::test
