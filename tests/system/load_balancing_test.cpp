// Choice of worker: what may not be chosen is never chosen, and load and distance decide among the rest.
#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

#include "load_balancing/core.hpp"
#include "registry/registry.hpp"

namespace burlwind::load_balancing {
namespace {

struct Fixture {
  Core core{{"a1", "A"}, {{"a1", "A"}, {"a2", "A"}, {"b1", "B"}}, 1.5, 5};
  std::mt19937 random{3};
  std::uint64_t number = 0;
  void list(std::vector<rpc::Worker> all, double now = 0) {
    rpc::Workers told;
    told.whole = true, told.term = 1, told.number = ++number, told.put = std::move(all);
    core.take(told, now);
  }
  static rpc::Worker worker(const char* id, const char* zone, bool draining = false, double cold = 0) {
    return {id, "s", std::string("10.0.0.1:") + "80", zone, 3, draining, cold};
  }
  Core::Choice choose(double now = 0, const std::vector<std::string>* homes = nullptr) {
    Ask ask;
    ask.service = "s";
    ask.homes = homes;
    return core.choose(ask, std::uniform_real_distribution<double>(0, 1)(random), now);
  }
};

TEST_CASE_FIXTURE(Fixture, "near first, further when the near ones are busy") {
  list({worker("near", "a1"), worker("far", "a2"), worker("foreign", "b1")});
  CHECK(choose().id == "near");
  for (int i = 0; i < 12; ++i) core.sent("near", 0);
  CHECK(choose().id == "far");
  for (int i = 0; i < 12; ++i) core.sent("far", 0);
  CHECK(choose().id == "foreign");
}

TEST_CASE_FIXTURE(Fixture, "never a draining one, an evacuated zone, a region that is no home") {
  list({worker("near", "a1", true), worker("far", "a2"), worker("foreign", "b1")});
  CHECK(choose().id == "far");
  core.setEvacuated({"a2"}, 0);
  CHECK(choose().id == "foreign");
  const std::vector<std::string> homes{"A"};
  CHECK(choose(0, &homes).id.empty());
  CHECK(choose(0, &homes).why == Why::nobody);
}

TEST_CASE_FIXTURE(Fixture, "proxies of a zone together stay under a cold worker's bound") {
  constexpr double kRate = 4.1, kBound = kRate * 1.5 + 5;
  std::vector<Core> proxies;
  for (int i = 0; i < 3; ++i) {
    proxies.emplace_back(Place{"a1", "A"}, std::map<std::string, std::string>{{"a1", "A"}, {"b1", "B"}}, 1.5,
                         5.0);
    proxies.back().setProxies({{"a1", 3}, {"b1", 2}});
    proxies.back().setService("s", {kRate, 3000});
    rpc::Workers told;
    told.whole = true, told.put = {worker("cold", "a1", false, 3000)};
    proxies.back().take(told, 0);
  }
  std::deque<double> sent;
  std::size_t most = 0;
  for (double now = 0; now < 2900; now += 3)
    for (Core& proxy : proxies) {
      Ask ask;
      ask.service = "s";
      if (proxy.choose(ask, 0.5, now).id.empty()) continue;
      proxy.sent("cold", now);
      sent.push_back(now);
      while (now - sent.front() > 1000) sent.pop_front();
      most = std::max(most, sent.size());
    }
  CHECK(static_cast<double>(most) <= kBound);
  CHECK(static_cast<double>(most) >= 3);
  // Nobody sends there from elsewhere.
  Core other{{"b1", "B"}, {{"a1", "A"}, {"b1", "B"}}, 1.5, 5};
  other.setProxies({{"a1", 3}, {"b1", 2}});
  other.setService("s", {kRate, 3000});
  rpc::Workers told;
  told.whole = true, told.put = {worker("cold", "a1", false, 3000)};
  other.take(told, 0);
  Ask ask;
  ask.service = "s";
  CHECK(other.choose(ask, 0.5, 10).why == Why::cold);
}

TEST_CASE_FIXTURE(Fixture, "a zone that is taken back is cold until it can't be any more") {
  core.setProxies({{"a1", 2}});
  core.setService("s", {2, 3000});
  list({worker("one", "a1")});
  core.setEvacuated({"a1"}, 0);
  CHECK(choose(10).id.empty());
  core.setEvacuated({}, 1000);
  unsigned sent = 0;
  for (double now = 1001; now < 1900; now += 10)
    if (!choose(now).id.empty()) core.sent("one", now), ++sent;
  CHECK(sent <= 4);
  CHECK(choose(4100).id == "one");
}

TEST_CASE_FIXTURE(Fixture, "a worker that can't be reached is left alone for a while, and tried again") {
  list({worker("one", "a1"), worker("two", "a2")});
  core.sent("one", 0);
  core.failed("one", true, 0);
  CHECK(choose(1).id == "two");
  CHECK(choose(2000).id == "one");
}

TEST_CASE_FIXTURE(Fixture, "one that says it is overloaded gets nothing for a moment") {
  list({worker("one", "a1"), worker("two", "a2")});
  core.sent("one", 0);
  core.full("one", 0);
  CHECK(choose(1).id == "two");
  CHECK(choose(500).id == "one");
}

// Each line: ms, what happens. A release replaces "old-N" by cold "new-N" while the zone is evacuated and
// taken back; a request comes each 20 ms throughout.
TEST_CASE_FIXTURE(Fixture, "a release of a service while its zone is evacuated and taken back cold") {
  core.setProxies({{"a1", 1}});
  core.setService("s", {4, 3000});
  const auto far = worker("far", "a2");
  const struct {
    double at;
    std::vector<rpc::Worker> listed;
    std::set<std::string> evacuated;
  } timeline[] = {
      {0, {worker("old-1", "a1"), worker("old-2", "a1"), far}, {}},
      {1000,
       {worker("old-1", "a1", true), worker("new-1", "a1", false, 3000), worker("old-2", "a1"), far},
       {}},
      {2000, {worker("new-1", "a1", false, 2000), worker("old-2", "a1"), far}, {"a1"}},
      {3000,
       {worker("new-1", "a1", false, 1000), worker("old-2", "a1", true), worker("new-2", "a1", false, 3000),
        far},
       {"a1"}},
      {5000, {worker("new-1", "a1"), worker("new-2", "a1", false, 1000), far}, {}},
      {9000, {worker("new-1", "a1"), worker("new-2", "a1"), far}, {}},
  };
  std::map<std::string, std::deque<double>> sent;
  bool near = false;
  for (std::size_t step = 0; step + 1 < std::size(timeline); ++step) {
    list(timeline[step].listed, timeline[step].at);
    core.setEvacuated(timeline[step].evacuated, timeline[step].at);
    for (double now = timeline[step].at; now < timeline[step + 1].at; now += 20) {
      const std::string id = choose(now).id;
      REQUIRE_FALSE(id.empty());
      for (const auto& w : timeline[step].listed)
        if (w.id == id) CHECK_FALSE(w.draining);
      if (!timeline[step].evacuated.empty()) CHECK(id == "far");
      core.sent(id, now), core.answered(id, 10, now);
      auto& times = sent[id];
      times.push_back(now);
      while (now - times.front() > 1000) times.pop_front();
      // new-1 is listed warm at 5000, but may have turned cold while its zone was away.
      if (id.starts_with("new-") && now < 8000) CHECK(static_cast<double>(times.size()) <= 4 * 1.5 + 5);
      near = near || (now > 5000 && id.starts_with("new-"));
    }
  }
  CHECK(near);
}

TEST_CASE_FIXTURE(Fixture,
                  "an address used again while a list is late: nobody is sent there for the old service") {
  auto gone = worker("old", "a1"), other = worker("old-2", "a2");
  list({gone, other});
  CHECK(choose().id == "old");
  core.sent("old", 0);
  core.failed("old", true, 0);  // 421: another worker has its address
  CHECK(choose(1).id == "old-2");
  auto next = worker("next", "a1");
  next.service = "another", next.address = gone.address;
  list({next, other}, 500);
  for (double now = 500; now < 9000; now += 100) CHECK(choose(now).id == "old-2");
}

TEST_CASE_FIXTURE(Fixture, "a difference that is taken on top leaves the rest as it was") {
  list({worker("one", "a1"), worker("two", "a2")});
  rpc::Workers told;
  told.before = number, told.number = ++number, told.term = 1;
  told.gone = {"one"}, told.put = {worker("three", "a1")};
  core.take(told, 0);
  CHECK(core.size() == 2);
  CHECK(choose().id == "three");
}

}  // namespace
}  // namespace burlwind::load_balancing
