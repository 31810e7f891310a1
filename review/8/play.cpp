// A worker starts during traffic and is cold; the one before it has crashed. The proxy of its zone is killed
// once while the worker warms up, and is started again 0.2 s later. How many requests does the cold worker
// get in one second?
#include "../stand_ins_2/harness.hpp"

using namespace standin;

namespace {

constexpr double kCold = 3.0, kRate = 4.1;           // `coldFor`, s, and `coldRateS`
constexpr double kExcess = 1.5, kSlack = 5;          // `coldExcess`, `coldSlack`
constexpr double kBound = kRate * kExcess + kSlack;  // requests in one second
constexpr double kKillAfter = 0.2, kRestart = 0.2;   // s

const char* const kConfiguration =
    R"({"generation":"r1","routes":[{"name":"r-views","hostname":"telar.example","pathPrefix":"/tela/","kind":"safe",)"
    R"("timeout":"3000ms","target":"800ms","priority":2,"backend":"bodega","tries":2,"public":true,)"
    R"("homeRegions":[]}],"backends":[{"name":"bodega","healthPath":"/health","maxConns":130,"protocol":"h1",)"
    R"("tls":false,"coldFor":"3s","coldRateS":4.1}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
    R"("headerRead":"3000ms","idle":"15000ms"},"customers":[],"parentVersion":"r0"})";

}  // namespace

int main(int argc, char** argv) {
  const char* const told = std::getenv("TROUBLE");
  const bool trouble = !told || std::string(told) != "0";
  if (argc < 3) return 2;
  Record record(argv[1]);
  const std::string net = drawNetwork(), proxy = "edge-qro/proxy", fresh = "i-qro1", old = "i-qro0";
  Fleet fleet(record, {net + "2", 18382});
  fleet.add({old, "bodega", "qro-a", "ready", {net + "50", 18080}, 0.05});
  fleet.add({fresh, "bodega", "qro-a", "ready", {net + "51", 18080}, 0.05});
  if (!fleet.start()) return 2;
  fleet.change(fresh, [](Worker& worker) { worker.listed = false; });
  std::vector<Machine> machines = {{"core-leon", "leon-a", net + "10", true},
                                   {"core-celaya", "celaya-a", net + "11", true},
                                   {"core-qro", "qro-a", net + "12", true},
                                   {"edge-qro", "qro-a", net + "20"}};
  for (int i = 0; i < 6; ++i)
    machines.push_back(
        {"edge-" + std::to_string(i), i % 2 ? "leon-a" : "celaya-a", net + std::to_string(21 + i)});
  System system(record, argv[2], machines, fleet.platform());
  system.startAll();
  const std::vector<Address> control = {system.control("core-leon"), system.control("core-celaya")};
  if (order(record, control, "config.replace", kConfiguration, 20) != 200) leave(system, 2);
  if (!system.allReady(15)) leave(system, 2);

  std::atomic<bool> traffic{true};
  std::atomic<unsigned> served{0}, other{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 8; ++c)
    clients.emplace_back([&, c] {
      for (unsigned n = 0; traffic; ++n) {
        const std::string id = "c" + std::to_string(c) + "-" + std::to_string(n);
        const Message answer = call(system.front("edge-qro"),
                                    requestText("GET", "/tela/x", "telar.example",
                                                "Try-Id: " + id + "\r\nTime-Left-Ms: 3000\r\n", ""),
                                    3);
        record.line("answered %s %d", id.c_str(), answer.status());
        ++(answer.status() == 200 ? served : other);
        sleepFor(0.08);
      }
    });
  const auto arrived = [&] {
    std::vector<double> out;
    for (const Run& run : fleet.runs())
      if (run.worker == fresh) out.push_back(run.at);
    return out;
  };

  sleepFor(5);
  record.line("worker   %s crashes, %s starts and is cold", old.c_str(), fresh.c_str());
  const double startedAt = now();
  fleet.change(fresh, [&](Worker& worker) { worker.listed = true, worker.coldUntil = now() + kCold; });
  fleet.end(old);
  while (arrived().empty() && now() < startedAt + 5) sleepFor(0.01);
  if (arrived().empty()) leave(system, 2);
  sleepFor(kKillAfter);
  if (trouble) {
    system.signal(proxy, SIGKILL);
    system.reap(proxy);
    sleepFor(kRestart);
    system.restart(proxy);
  }
  sleepUntil(startedAt + kCold);
  std::vector<double> all = arrived();
  sleepFor(2);
  traffic = false;
  for (auto& client : clients) client.join();
  system.endAll();
  std::erase_if(all, [&](double at) { return at > startedAt + kCold; });
  std::sort(all.begin(), all.end());
  std::size_t most = 0;
  for (std::size_t from = 0, to = 0; from < all.size(); ++from) {
    while (to < all.size() && all[to] < all[from] + 1) ++to;
    most = std::max(most, to - from);
  }
  record.line(
      "result   the cold worker got %zu requests in one second at most; %.2f are allowed. %zu in its %.0f s;"
      " %u requests served, %u not",
      most, kBound, all.size(), kCold, served.load(), other.load());
  if (all.size() < 5) leave(system, 2);
  leave(system, static_cast<double>(most) > kBound ? 1 : 0);
}
