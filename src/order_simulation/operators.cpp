#include "order_simulation/operators.hpp"

#include <algorithm>

namespace burlwind::order_simulation {
namespace {

constexpr int kOk = 200;
constexpr int kInvalid = 400;
constexpr int kConflict = 412;
constexpr double kMostPause = 1500;
constexpr unsigned kMostStep = 3;

// Invalid with a timeout of 0.
std::string bodyOf(std::uint64_t version, std::uint64_t parent, const std::string& host,
                   const std::string& timeout) {
  return R"({"generation":"r)" + std::to_string(version) + R"(","routes":[{"name":"one","hostname":")" +
         host + R"(","pathPrefix":"/","kind":"safe","timeout":")" + timeout +
         R"(","target":"1s","priority":0,"tries":1,"backend":"x"}],)" +
         R"("backends":[{"name":"x","healthPath":"/h","maxConns":10,"coldFor":"0ms","coldRateS":0}],)" +
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerRead":"3s","idle":"15s"},)" +
         R"("parentVersion":"r)" + std::to_string(parent) + "\"}";
}

// Calls a registry; `done` hears an answer that comes in time and isn't lost, or 0.
void callRegistry(Cluster& cluster, const OperatorHabits& habits, const std::string& what,
                  const std::string& body, std::function<void(const CallAnswer&)> heard,
                  std::function<void(const CallAnswer&)> done) {
  const unsigned registry = cluster.pick(cluster.size());
  auto pending = std::make_shared<bool>(true);
  const auto settle = [pending, done = std::move(done)](const CallAnswer& answer) {
    if (std::exchange(*pending, false)) done(answer);
  };
  const bool lost = cluster.chance(habits.lostAnswers);
  const auto reply = [&cluster, lost, settle, heard = std::move(heard)](const CallAnswer& answer) {
    if (heard) heard(answer);
    if (!lost) cluster.events.after(cluster.network.delay(), [settle, answer] { settle(answer); });
  };
  cluster.events.after(cluster.network.delay(), [&cluster, registry, what, body, reply] {
    cluster.registries[registry]->process.deliver(
        [&cluster, registry, what, body, reply] { cluster.registries[registry]->call(what, body, reply); });
  });
  cluster.events.after(habits.silence, [settle] { settle({}); });
}

double pauseBefore(Cluster& cluster, unsigned attempt) {
  return std::min(kMostPause, cluster.draw(50, 150) * (attempt + 1));
}

}  // namespace

// --- Configurations ---

void ConfigOperator::start(double until) {
  until_ = until;
  next();
}

void ConfigOperator::next() {
  cluster_.events.after(cluster_.draw(0.04, 1) * habits_.mostPause, [self = shared_from_this()] {
    if (self->cluster_.events.now() >= self->until_) return;
    if (self->cluster_.chance(0.5))
      self->read();
    else
      self->order();
  });
}

void ConfigOperator::read() {
  const auto before = cluster_.history.confirmed();
  const auto done = [self = shared_from_this(), before](const CallAnswer& answer) {
    if (answer.status == kOk) {
      const auto parsed = config::readConfiguration(answer.text);
      self->version_ = parsed.configuration ? parsed.configuration->version : 0;
      self->cluster_.history.read(before, self->version_, answer.text);
    }
    self->next();
  };
  callRegistry(cluster_, habits_, "read", {}, nullptr, done);
}

// Versions climb in uneven steps; two operators may choose the same one.
void ConfigOperator::order() {
  const std::uint64_t version = version_ + 1 + cluster_.pick(kMostStep);
  const std::string host = "h" + std::to_string(name_) + "-" + std::to_string(++orders_);
  const bool valid = !cluster_.chance(habits_.invalidOrders);
  const ConfigOrder order{version, version_, bodyOf(version, version_, host, valid ? "3s" : "0ms"), valid};
  cluster_.history.called(order);
  if (cluster_.chance(habits_.lateCopies)) sendLateCopy(order);
  send(order, 0);
}

void ConfigOperator::sendLateCopy(const ConfigOrder& order) {
  cluster_.events.after(cluster_.draw(0, habits_.mostLate), [self = shared_from_this(), order] {
    const auto heard = [self, order](const CallAnswer& answer) {
      self->cluster_.history.answered(order, answer.status);
    };
    callRegistry(self->cluster_, self->habits_, "config", order.body, heard, [](const CallAnswer&) {});
  });
}

void ConfigOperator::send(const ConfigOrder& order, unsigned attempt) {
  const auto heard = [self = shared_from_this(), order](const CallAnswer& answer) {
    self->cluster_.history.answered(order, answer.status);
  };
  const auto done = [self = shared_from_this(), order, attempt](const CallAnswer& answer) {
    if (answer.status == kOk) self->version_ = order.version;
    if (answer.status == kOk || answer.status == kInvalid) return self->next();
    if (answer.status == kConflict) return self->read();
    if (self->cluster_.events.now() >= self->until_) return;
    self->cluster_.events.after(pauseBefore(self->cluster_, attempt),
                                [self, order, attempt] { self->send(order, attempt + 1); });
  };
  callRegistry(cluster_, habits_, "config", order.body, heard, done);
}

// --- Evacuations ---

void EvacuationOperator::start(double until) {
  until_ = until;
  begin();
}

void EvacuationOperator::begin() {
  cluster_.events.after(cluster_.draw(500, 4000), [self = shared_from_this()] {
    if (self->cluster_.events.now() >= self->until_) return;
    self->send("evacuate", 0, [self] {
      self->cluster_.history.evacuationAcknowledged(self->zone_);
      self->cluster_.events.after(self->cluster_.draw(1000, 4000), [self] { self->finish(); });
    });
  });
}

void EvacuationOperator::finish() {
  cluster_.history.finishCalled(zone_);
  send("return", 0, [self = shared_from_this()] {
    self->cluster_.history.finishAcknowledged(self->zone_);
    self->begin();
  });
}

void EvacuationOperator::send(const std::string& what, unsigned attempt, std::function<void()> acknowledged) {
  const auto done = [self = shared_from_this(), what, attempt,
                     acknowledged = std::move(acknowledged)](const CallAnswer& answer) {
    if (answer.status == kOk) return acknowledged();
    self->cluster_.events.after(pauseBefore(self->cluster_, attempt), [self, what, attempt, acknowledged] {
      self->send(what, attempt + 1, acknowledged);
    });
  };
  callRegistry(cluster_, habits_, what, zone_, nullptr, done);
}

}  // namespace burlwind::order_simulation
