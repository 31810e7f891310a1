// The whole gatekeeper over loopback sockets: one request from client to worker and back, in all its fates.
#include <algorithm>

#include "support/loopback.hpp"

namespace burlwind::test {
namespace {

class Gate : public Loopback {
 protected:
  void open(const json& known) {
    node.emplace(io, parseConfig(configJson(discovery.text(), known).dump()));
    node->start();
  }
  void openWithWorker() { open(json::array({entry("s-1", worker.text())})); }
  PeerPtr ask(const Ask& what) {
    const auto client = dial(node->address());
    client->send(what.text());
    return client;
  }
  void untilSeen(const std::string& id, std::size_t times = 1) {
    until([&] { return worker.count("Req-Id: " + id) >= times && worker.count("\r\n\r\n") >= times; },
          "a request at the worker");
  }
  void untilGot(const PeerPtr& client, const std::string& text) {
    until([&] { return client->has(text); }, text.c_str());
  }

  static std::size_t answered(const std::vector<PeerPtr>& clients) {
    return static_cast<std::size_t>(std::count_if(
        clients.begin(), clients.end(), [](const PeerPtr& client) { return client->has("\r\n\r\n"); }));
  }

  Listener discovery{io}, worker{io}, other{io};
  std::optional<Gatekeeper> node;
};

TEST_F(Gate, PassesARequestOnUnchangedAndItsAnswerBack) {
  openWithWorker();
  Ask what;
  what.klass = "edit", what.body = "{\"a\": 1}";
  const auto client = ask(what);
  until([&] { return worker.count(what.body) == 1; }, "the body at the worker");
  const Peer& seen = *worker.peers.at(0);
  EXPECT_TRUE(seen.has("POST /edit?client=00000000b4d65521 HTTP/1.1\r\n")) << seen.got;
  EXPECT_TRUE(seen.has("Req-Id: 00000000000000a1\r\n"));
  EXPECT_TRUE(seen.has("Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n"));
  EXPECT_EQ(seen.count("Req-Deadline-Ms: "), 1u);
  EXPECT_FALSE(seen.has("Req-Deadline-Ms: 60000\r\n"));  // less by the way back
  worker.peers[0]->send(reply("200 OK", "made by a worker"));
  untilGot(client, "made by a worker");
  EXPECT_TRUE(client->has("HTTP/1.1 200 OK\r\n"));
  EXPECT_EQ(node->held(), 0u);
}

TEST_F(Gate, ReusesConnectionsOnBothSides) {
  openWithWorker();
  const auto client = dial(node->address());
  for (int i = 1; i <= 3; ++i) {
    client->send(Ask().text());
    untilSeen("00000000000000a1", static_cast<std::size_t>(i));
    worker.peers.at(0)->send(reply("200 OK", "answer " + std::to_string(i)));
    untilGot(client, "answer " + std::to_string(i));
  }
  EXPECT_EQ(worker.peers.size(), 1u);
}

TEST_F(Gate, AnswersPipelinedRequestsInOrder) {
  openWithWorker();
  const auto client = dial(node->address());
  Ask second;
  second.id = "00000000000000a2";
  client->send(Ask().text() + second.text());
  untilSeen("00000000000000a1");
  EXPECT_EQ(worker.count("Req-Id: 00000000000000a2"), 0u);
  worker.peers.at(0)->send(reply("200 OK", "one"));
  untilSeen("00000000000000a2");
  worker.peers.at(0)->send(reply("200 OK", "two"));
  untilGot(client, "two");
  EXPECT_LT(client->got.find("one"), client->got.find("two"));
}

// What is not a well-formed request of the service is the client's mistake, never a refusal: a refusal would
// tell it that the same request may do better later.
TEST_F(Gate, RejectsWhatIsMalformedWithoutAWorker) {
  openWithWorker();
  std::vector<std::pair<std::string, std::string>> cases;
  const auto with = [&](const std::function<void(Ask&)>& change, const std::string& status) {
    Ask what;
    change(what);
    cases.emplace_back(what.text(), status);
  };
  with([](Ask& a) { a.klass = "unheard"; }, "400");
  with([](Ask& a) { a.plan = "unheard"; }, "400");
  with([](Ask& a) { a.query = "client=xyz"; }, "400");
  with([](Ask& a) { a.query = "client=0000000200000000"; }, "400");  // 2^33
  with([](Ask& a) { a.query = "other=1"; }, "400");
  with([](Ask& a) { a.deadline = "soon"; }, "400");
  with([](Ask& a) { a.deadline = "0"; }, "400");
  with([](Ask& a) { a.deadline = "-5"; }, "400");
  with([](Ask& a) { a.terms = "units=1,spread=2"; }, "400");
  with([](Ask& a) { a.terms = "units=nan,spread=2,first=0"; }, "400");
  with([](Ask& a) { a.terms = "units=1,spread=9,first=0"; }, "400");
  Ask tooLong;
  tooLong.klass = "order";
  std::string text = tooLong.text();
  text.replace(text.find("Content-Length: 0"), 17, "Content-Length: 60000000");
  cases.emplace_back(text, "413");
  with([](Ask& a) { a.extra = "Big: " + std::string(20000, 'x') + "\r\n"; }, "431");
  cases.emplace_back("GET /nowhere HTTP/1.1\r\nHost: b\r\n\r\n", "404");
  cases.emplace_back("GET /health/live HTTP/1.1\r\nHost: b\r\n\r\n", "404");
  cases.emplace_back("what is this\r\n\r\n", "400");
  for (const auto& [sent, status] : cases) {
    const auto client = dial(node->address());
    client->send(sent);
    until([&] { return client->has("\r\n\r\n"); }, "an answer");
    EXPECT_EQ(client->got.substr(0, 12), "HTTP/1.1 " + status) << sent.substr(0, 300);
  }
  EXPECT_TRUE(worker.peers.empty());
}

TEST_F(Gate, RefusesBeyondTheQuotaAtOnceAndSaysWhenToReturn) {
  openWithWorker();
  Ask what;
  what.plan = "small";
  const auto client = dial(node->address());
  // A customer new to this gatekeeper starts at half of its store of one unit, so the first try finds no
  // room.
  client->send(what.text());
  untilGot(client, "\r\n\r\n");
  EXPECT_TRUE(client->has("HTTP/1.1 429")) << client->got;
  EXPECT_TRUE(client->has("Retry-After: 1.000\r\n")) << client->got;
  EXPECT_TRUE(worker.peers.empty());
}

TEST_F(Gate, UnsafeThatMayHaveRunIsNotSentAgain) {
  openWithWorker();
  Ask what;
  what.klass = "order", what.body = "x";
  const auto client = ask(what);
  until([&] { return worker.count("\r\n\r\nx") == 1; }, "the request at the worker");
  worker.peers[0]->end();
  untilGot(client, "\r\n\r\n");
  EXPECT_TRUE(client->has("HTTP/1.1 502")) << client->got;
  EXPECT_EQ(worker.peers.size(), 1u);
}

TEST_F(Gate, UnsafeGoesElsewhereWhereNothingListens) {
  open(json::array({entry("s-1", nobody()), entry("s-2", worker.text())}));
  for (int i = 0; i < 4; ++i) {  // whichever worker is tried first
    Ask what;
    what.klass = "order", what.id = "00000000000000b" + std::to_string(i);
    const auto client = ask(what);
    untilSeen(what.id);
    worker.peers.back()->send(reply("200 OK", "done"));
    untilGot(client, "done");
  }
}

TEST_F(Gate, UnsafeGoesElsewhereFromAWorkerThatDeclinesIt) {
  open(json::array({entry("s-1", worker.text()), entry("s-2", other.text())}));
  Ask what;
  what.klass = "order";
  const auto client = ask(what);
  const auto total = [&] { return worker.count("\r\n\r\n") + other.count("\r\n\r\n"); };
  until([&] { return total() == 1; }, "the first attempt");
  Listener& first = worker.count("\r\n\r\n") == 1 ? worker : other;
  Listener& second = &first == &worker ? other : worker;
  first.peers[0]->send(reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n"));
  until([&] { return second.count("\r\n\r\n") == 1; }, "the second attempt");
  second.peers[0]->send(reply("200 OK", "done"));
  untilGot(client, "done");
  EXPECT_EQ(total(), 2u);
}

TEST_F(Gate, A503WithoutTheMarkMayHaveRun) {
  open(json::array({entry("s-1", worker.text())}));
  Ask what;
  what.klass = "order";
  const auto client = ask(what);
  untilSeen(what.id);
  worker.peers[0]->send(reply("503 Service Unavailable", ""));
  untilGot(client, "HTTP/1.1 502");
}

// The worker says nothing at all: the final answer must not wait for it.
TEST_F(Gate, AnswersByTheDeadlineAndGivesTheAttemptUp) {
  openWithWorker();
  Ask what;
  what.klass = "order", what.deadline = "400";
  const auto client = ask(what);
  untilGot(client, "\r\n\r\n");
  EXPECT_TRUE(client->has("HTTP/1.1 502")) << client->got;
  until([&] { return !worker.peers.empty() && worker.peers[0]->ended; }, "the attempt's connection ends");
  EXPECT_EQ(node->held(), 0u);
}

// A request that comes with no time for an answer is never sent on: a worker would work for nobody, and the
// client can be told that trying again is harmless.
TEST_F(Gate, ARequestWithoutTimeIsRefusedAndNotSent) {
  openWithWorker();
  Ask what;
  what.klass = "order", what.deadline = "1";
  const auto client = ask(what);
  untilGot(client, "\r\n\r\n");
  EXPECT_TRUE(client->has("HTTP/1.1 429")) << client->got;
  io.restart();
  io.poll();
  EXPECT_TRUE(worker.peers.empty());
}

TEST_F(Gate, AClientThatLeavesEndsItsAttempt) {
  openWithWorker();
  const auto client = ask(Ask());
  untilSeen("00000000000000a1");
  EXPECT_EQ(node->held(), 1u);
  client->end();
  until([&] { return worker.peers[0]->ended; }, "the attempt's connection ends");
  EXPECT_EQ(node->held(), 0u);
}

TEST_F(Gate, AClientThatLeavesBehindMoreThanIsReadAheadEndsItsAttempt) {
  openWithWorker();
  const auto client = ask(Ask());
  untilSeen("00000000000000a1");
  client->send(Ask().text() + std::string(20000, 'x'));
  client->end();
  until([&] { return worker.peers[0]->ended; }, "the attempt's connection ends");
  EXPECT_EQ(node->held(), 0u);
}

// An answer followed by more than itself leaves the connection in doubt: what is left there would be taken
// for the next request's answer.
TEST_F(Gate, AConnectionWithAnOddAnswerIsNotReused) {
  openWithWorker();
  const auto client = ask(Ask());
  untilSeen("00000000000000a1");
  worker.peers[0]->send(reply("200 OK", "first") + reply("200 OK", "stray"));
  untilGot(client, "first");
  until([&] { return worker.peers[0]->ended; }, "the connection ends");
  client->send(Ask().text());
  untilSeen("00000000000000a1", 2);
  ASSERT_EQ(worker.peers.size(), 2u);
  worker.peers[1]->send(reply("200 OK", "second"));
  untilGot(client, "second");
  EXPECT_FALSE(client->has("stray"));
}

TEST_F(Gate, AnIdleConnectionThatTheWorkerEndsIsNotWrittenTo) {
  openWithWorker();
  const auto client = ask(Ask());
  untilSeen("00000000000000a1");
  worker.peers[0]->send(reply("200 OK", "first"));
  untilGot(client, "first");
  worker.peers[0]->end();
  Ask what;  // one that could not be sent again
  what.klass = "order", what.id = "00000000000000a2";
  client->send(what.text());
  untilSeen(what.id);
  EXPECT_EQ(worker.peers.size(), 2u);
  worker.peers[1]->send(reply("200 OK", "second"));
  untilGot(client, "second");
}

// An answer is late for once in every tail, also while nothing else is out; the limit on what is out follows
// what the workers have borne lately, not what happens to be out at that moment.
TEST_F(Gate, ALateAnswerInALullLeavesRoomForAsMuchAsWasOut) {
  json known = json::array();
  for (const char* id : {"s-1", "s-2", "s-3", "s-4"}) known.push_back(entry(id, worker.text()));
  json config = configJson(discovery.text(), known);
  config["settings"]["profiles"][2]["aim"] = 0.001;  // every "order" is late, and no "look"
  node.emplace(io, parseConfig(config.dump()));
  node->start();
  const auto number = [](int i) { return "00000000000000" + std::to_string(10 + i); };
  const auto askAll = [&](int from, int to, const std::string& klass) {
    std::vector<PeerPtr> clients;
    for (int i = from; i < to; ++i) {
      Ask what;
      what.klass = klass, what.id = number(i);
      clients.push_back(ask(what));
    }
    return clients;
  };
  const auto answerAll = [&](const std::string& to, const std::vector<PeerPtr>& clients) {
    for (const auto& peer : worker.peers)
      if (peer->has(to)) peer->send(reply("200 OK", "done")), peer->got.clear();
    for (const auto& client : clients) untilGot(client, "done");
  };
  const auto late = askAll(0, 1, "order");
  const auto early = askAll(1, 9, "look");
  until([&] { return worker.count("\r\n\r\n") == 9; }, "all at the workers");
  answerAll("GET /look", early);
  answerAll("POST /order", late);
  const auto next = askAll(10, 18, "look");
  until([&] { return worker.count("GET /look") + answered(next) == next.size(); }, "the next at the workers");
  EXPECT_EQ(answered(next), 0u) << "refused with room";
}

// Of 256 descriptors: a third for workers, 24 to spare, and the rest for clients that keep their connections.
TEST_F(Gate, KeepsAsManyClientConnectionsAsItsDescriptorsAllow) {
  openWithWorker();
  std::vector<PeerPtr> clients;
  for (int i = 0; i < 140; ++i) clients.push_back(dial(node->address()));
  clients.back()->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  untilGot(clients.back(), "ready");  // taken after all others
  for (const auto& client : clients) EXPECT_FALSE(client->ended);
}

TEST_F(Gate, IsReadyOnceItHasAListAndFollowsTheWatchAcrossChunks) {
  open(nullptr);
  const auto client = dial(node->address());
  const std::string question = "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n";
  client->send(question);
  untilGot(client, "HTTP/1.1 503");
  until([&] { return discovery.count("\r\n\r\n") == 1; }, "a watch");
  EXPECT_TRUE(discovery.peers[0]->has("GET /registry/instances?watch=1 HTTP/1.1\r\n"));
  const std::string line = roster(7, true, json::array({entry("s-1", worker.text())})) + "\n";
  discovery.peers[0]->send(kWatchHead + chunk("\n") + chunk(line.substr(0, 30)));
  client->send(question);
  until([&] { return client->count("HTTP/1.1 503") == 2; }, "still not ready");
  discovery.peers[0]->send(chunk(line.substr(30)));
  until([&] { return node->ready(); }, "ready");
  client->send(question);
  untilGot(client, "HTTP/1.1 200");
  discovery.peers[0]->end();  // it asks for what has changed since
  until([&] { return discovery.count("watch=1&from=7 HTTP/1.1\r\n") == 1; }, "another watch");
}

TEST_F(Gate, AMovedWorkerIsReachedAtItsNewAddressAndADrainingOneNoMore) {
  openWithWorker();
  until([&] { return discovery.count("\r\n\r\n") == 1; }, "a watch");
  const auto tell = [&](int generation, const json& change) {
    discovery.peers[0]->send(chunk(roster(generation, false, change) + "\n"));
  };
  const auto client = ask(Ask());
  untilSeen("00000000000000a1");
  worker.peers[0]->send(reply("200 OK", "old"));
  untilGot(client, "old");
  discovery.peers[0]->send(kWatchHead);
  tell(2, json::array({entry("s-1", other.text())}));
  until([&] { return worker.peers[0]->ended; }, "the old connection ends");
  client->send(Ask().text());
  until([&] { return other.count("\r\n\r\n") == 1; }, "the new address");
  other.peers[0]->send(reply("200 OK", "new"));
  untilGot(client, "new");
  EXPECT_EQ(node->listed(), 1u);
  tell(3, json::array({entry("s-1", other.text(), "Terminating")}));
  until([&] { return other.peers[0]->ended; }, "the draining worker's connection ends");
  client->send(Ask().text());
  untilGot(client, "HTTP/1.1 429");
  EXPECT_EQ(other.count("\r\n\r\n"), 1u);
  EXPECT_EQ(node->listed(), 0u);  // or it would be kept for good, as ids are ever new
}

// An overbooked discovery: long silence on an open watch, then all that changed at once, the same again, and
// a line of garbage. The last good list serves meanwhile, and the whole one is asked for after the garbage.
TEST_F(Gate, AllChangesAtOnceTwiceTheSameAndGarbageLeaveTheLastGoodList) {
  openWithWorker();
  until([&] { return discovery.count("\r\n\r\n") == 1; }, "a watch");
  discovery.peers[0]->send(kWatchHead);
  const auto client = ask(Ask());  // while discovery says nothing
  untilSeen("00000000000000a1");
  worker.peers[0]->send(reply("200 OK", "before"));
  untilGot(client, "before");
  json all = json::array({entry("s-1", worker.text(), "Terminating")});
  for (int i = 2; i <= 200; ++i) all.push_back(entry("s-" + std::to_string(i), other.text()));
  const std::string changes = roster(90, false, all) + "\n";
  discovery.peers[0]->send(chunk(changes + changes));
  until([&] { return node->listed() == 199; }, "all changes");
  ::testing::internal::CaptureStderr();
  discovery.peers[0]->send(chunk("{\"generation\":91,\"instances\":[{\"instanceId\":7}]}\n"));
  until([&] { return discovery.count("/registry/instances?watch=1 HTTP/1.1\r\n") == 1; },
        "the whole list asked for");
  const std::string lines = ::testing::internal::GetCapturedStderr();
  EXPECT_NE(lines.find("burlwind: discovery: "), std::string::npos) << lines;
  EXPECT_LE(std::count(lines.begin(), lines.end(), '\n'), 2) << lines;
  EXPECT_EQ(node->listed(), 199u);
  client->send(Ask().text());
  until([&] { return other.count("\r\n\r\n") == 1; }, "a listed worker");
  other.peers[0]->send(reply("200 OK", "after"));
  untilGot(client, "after");
  EXPECT_EQ(worker.count("\r\n\r\n"), 1u);
}

TEST_F(Gate, DrainFinishesWhatIsHeldAndServesWhatStillComes) {
  openWithWorker();
  const auto early = ask(Ask());
  untilSeen("00000000000000a1");
  bool done = false;
  node->drain([&] { done = true; });
  Ask what;
  what.id = "00000000000000a2";
  const auto late = ask(what);
  untilSeen(what.id);
  ASSERT_EQ(worker.peers.size(), 2u);
  worker.peers[0]->send(reply("200 OK", "early"));
  worker.peers[1]->send(reply("200 OK", "late"));
  untilGot(early, "early");
  untilGot(late, "late");
  EXPECT_TRUE(early->has("Connection: close\r\n"));
  early->end();
  late->end();
  until([&] { return done; }, "the drain's end");
}

}  // namespace
}  // namespace burlwind::test
