// One tenant with a limit at a deployment of three core machines and three proxies: its clients, and the
// check of the rule QUOTA as RULES.md words it.
#pragma once

#include "stand_ins.hpp"

namespace review {

constexpr int kProxies = 3;
constexpr double kApplyMs = 3000, kQuotaWindowMs = 5000;  // as in the settings
constexpr double kQuotaExcess = 0.1, kQuotaSlack = 20;    // the same

inline std::string quotaConfiguration(int version, int parent, double rate, double burst) {
  std::ostringstream out;
  out << R"({"generation":"r)" << version << R"(","parentVersion":)";
  if (parent)
    out << "\"r" << parent << "\"";
  else
    out << 0;
  out << R"(,"routes":[{"name":"views","hostname":"shop.example","pathPrefix":"/stock/","kind":"safe",)"
      << R"("timeout":"3000ms","target":"800ms","priority":2,"backend":"stock","tries":2,"public":false,)"
      << R"("homeRegions":[]}],"backends":[{"name":"stock","healthPath":"/health","maxConns":130,)"
      << R"("protocol":"h1","tls":false,"coldFor":"3s","coldRateS":13.0}],"limits":{"maxHeaderBytes":16384,)"
      << R"("maxBodyBytes":67108864,"headerRead":"3000ms","idle":"15000ms"},"customers":[{"name":"weaver",)"
      << R"("apiKeys":["k1weaver"],"priority":0,"ratePerS":)" << rate << R"(,"burst":)" << burst
      << R"(,"homeRegions":[]}]})";
  return out.str();
}

struct Sent {
  double at = 0;
  std::string id;
  int status = 0;
};

class QuotaWorld {
 public:
  explicit QuotaWorld(const std::string& programs) : deployment(programs) {
    deployment.zones = {{"leon-a", "bajio-leon"}, {"celaya-a", "bajio-celaya"}, {"qro-a", "bajio-qro"}};
    deployment.bounds = kBajioBounds;
    for (int i = 0; i < 3; ++i) {
      const std::string& zone = deployment.zones[static_cast<std::size_t>(i)].first;
      deployment.seeds += (i ? ",\"" : "[\"") + deployment.ip(1 + i) + ":8383\"";
      deployment.add("core-" + zone, 1 + i, zone, true);
      deployment.add("edge-" + zone, 11 + i, zone, false);
    }
    deployment.seeds += "]";
  }
  // False: it could not be started. The first configuration has this limit.
  bool start(double rate, double burst) {
    std::vector<Worker*> listed;
    for (int i = 0; i < 6; ++i) {
      workers_.push_back(
          std::make_unique<Worker>(record, "i-" + std::to_string(i), "stock", deployment.ip(100 + i), 8080,
                                   deployment.zones[static_cast<std::size_t>(i % 3)].first, 20, 8));
      if (!workers_.back()->start()) return false;
      listed.push_back(workers_.back().get());
    }
    platform_ = std::make_unique<Platform>(deployment.ip(200), listed);
    if (!platform_->listens()) return false;
    deployment.startAll();
    chief = std::make_unique<Operator>(
        record, std::vector<std::string>{deployment.ip(1), deployment.ip(2), deployment.ip(3)});
    if (chief->configure("r1", quotaConfiguration(1, 0, rate, burst), 15000) != 200) return false;
    for (int i = 0; i < kProxies; ++i)
      while (!isReady(deployment.ip(11 + i))) {
        if (now() > 25000) return false;
        sleepMs(50);
      }
    sleepMs(2000);
    return true;
  }
  // A phase of the tenant's demand, over all proxies, from `from` to `until`.
  struct Phase {
    double from = 0, until = 0, perS = 0;
  };
  // Clients that keep their connections, `connections` to each proxy, one request at a time on each.
  void press(std::vector<Phase> phases, int connections) {
    for (int p = 0; p < kProxies; ++p)
      for (int c = 0; c < connections; ++c)
        clients_.emplace_back([this, phases, connections, p, c] { client(phases, connections, p, c); });
  }
  void join() {
    for (auto& client : clients_) client.join();
    sleepMs(300);
  }
  // 1: broken, 0: it held, 2: nothing ran. Windows that begin from `binds` on.
  int check(double rate, double burst, double binds, const std::string& recordPath) {
    std::map<std::string, double> sentAt;
    for (const Sent& one : sent_) sentAt[one.id] = one.at;
    std::vector<std::pair<double, double>> runs;  // sent, run
    for (const auto& worker : workers_)
      for (const Run& run : worker->runs())
        if (sentAt.contains(run.tryId)) runs.emplace_back(sentAt[run.tryId], run.at);
    std::sort(runs.begin(), runs.end());
    const double bound = (rate * kQuotaWindowMs / 1000 + burst) * (1 + kQuotaExcess) + kQuotaSlack;
    std::size_t most = 0;
    double mostAt = binds;
    for (std::size_t i = 0; i < runs.size(); ++i) {
      const double from = runs[i].first;
      if (from < binds) continue;
      std::size_t count = 0;
      for (std::size_t j = i; j < runs.size() && runs[j].first <= from + kQuotaWindowMs; ++j)
        count += runs[j].second <= from + kQuotaWindowMs;
      if (count > most) most = count, mostAt = from;
    }
    const bool broken = static_cast<double>(most) > bound;
    std::ostringstream verdict;
    verdict << "limit " << rate << " a second, burst " << burst << ", binds from " << binds / 1000
            << " s: at most " << bound << " in 5 s; sent and run were " << most << " in the window from "
            << mostAt / 1000 << " s: " << (broken ? "QUOTA broken" : "held");
    record.say(verdict.str());
    record.write(recordPath);
    std::printf("%s\n", verdict.str().c_str());
    if (runs.empty()) return 2;
    return broken ? 1 : 0;
  }
  Record record;
  Deployment deployment;
  std::unique_ptr<Operator> chief;

 private:
  void client(const std::vector<Phase>& phases, int connections, int p, int c) {
    int fd = -1;
    std::string in;
    for (const Phase& phase : phases) {
      const double gap = 1000.0 * kProxies * connections / phase.perS;
      const double offset = gap * (c * kProxies + p) / (connections * kProxies);
      for (double at = phase.from + offset; at < phase.until; at += gap) {
        sleepUntil(at);
        if (now() < phase.until) request(deployment.ip(11 + p), p, fd, in);
      }
      sleepUntil(phase.until);
    }
    if (fd >= 0) ::close(fd);
  }
  void request(const std::string& ip, int p, int& fd, std::string& in) {
    if (fd < 0) fd = connectTo(ip, kFront, 1000);
    Sent sent{now(), newId(), 0};
    Message answer;
    const bool wrote =
        fd >= 0 && writeAll(fd, "GET /stock/yarn HTTP/1.1\r\nHost: shop.example\r\nTry-Id: " + sent.id +
                                    "\r\nTime-Left-Ms: 3000\r\nApi-Key: k1weaver\r\n\r\n");
    if (wrote && readMessage(fd, in, answer, sent.at + 3000) == Got::message) sent.status = answer.status();
    if (fd >= 0 && (sent.status == 0 || answer.field("connection") == "close")) {
      ::close(fd);
      fd = -1;
      in.clear();
    }
    record.sayAt(sent.at, "client sends " + sent.id + " to proxy " + std::to_string(p));
    record.say("client gets " + std::to_string(sent.status) + " for " + sent.id);
    const std::lock_guard lock(mutex_);
    sent_.push_back(sent);
  }
  std::vector<std::unique_ptr<Worker>> workers_;
  std::unique_ptr<Platform> platform_;
  std::vector<std::thread> clients_;
  std::mutex mutex_;
  std::vector<Sent> sent_;
};

}  // namespace review
