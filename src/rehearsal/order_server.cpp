#include "rehearsal/order_server.hpp"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <cmath>
#include <cstdio>

#include "faults/random.hpp"
#include "http/http.hpp"
#include "rehearsal/platform.hpp"

namespace burlwind::rehearsal {

using faults::Hash;
using faults::Random;
namespace {

using asio::ip::tcp;

constexpr int kBacklog = 512;
constexpr std::size_t kReportsKept = 256;
constexpr double kRepeatWork = 0.05;  // of a keyed repeat that is dropped, in shares of the first

ServerFigures figuresOf(const Scenario& scenario, std::uint64_t seed, unsigned index) {
  const FleetSpec& fleet = scenario.fleet;
  ServerFigures out;
  out.cores = fleet.cores;
  out.speed = fleet.speedCv > 0 ? Random(seed, "speed", index).lognormal(1, fleet.speedCv) : 1;
  out.slots = std::max(1u, static_cast<unsigned>(std::lround(fleet.slotsPerCore * fleet.cores)));
  out.queue = static_cast<unsigned>(std::lround(fleet.queuePerCore * fleet.cores));
  out.thrash = fleet.thrash;
  out.thrashFrom = fleet.thrashAt * fleet.cores;
  out.coldFrom = fleet.coldFrom;
  out.warmMs = fleet.warmMs;
  out.fallMultiple = scenario.rules.fallMultiple;
  out.fallSpanMs = scenario.rules.fallSpanMs;
  return out;
}

}  // namespace

struct OrderServer::Listener {
  explicit Listener(asio::io_context& io) : acceptor(io) {}
  tcp::acceptor acceptor;
  tcp::endpoint address;
  std::vector<tcp::socket> fillers;  // hold the queue full while the link is cut
  bool silent = false;
};

// One connection of a gatekeeper: one request at a time. A read is always pending, so that its end is seen.
class OrderServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(OrderServer& server, tcp::socket socket, unsigned gatekeeper, std::uint64_t number)
      : server_(server),
        socket_(std::move(socket)),
        idle_(socket_.get_executor()),
        gatekeeper_(gatekeeper),
        number_(number) {
    Error ignored;
    port_ = socket_.remote_endpoint(ignored).port();
  }

  void start() {
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    parser_.emplace();
    parser_->body_limit(kMostBody);
    armIdle();
    read();
  }

  // The answer to the request that is held; silent while the link is cut.
  void reply(const std::string& status, const std::string& extra, const std::string& body,
             const char* result) {
    std::string text = "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
                       extra + "\r\n" + body;
    out_ = std::move(text);
    result_ = result;
    if (!silent()) write();
  }
  void replyRaw(std::string text) {
    out_ = std::move(text);
    result_ = "spoilt";
    broken_ = true;
    if (!silent()) write();
  }
  void heal() {
    if (ended_) return end("closed");
    if (in_.size() > 0 && !held_) feedMore();
    if (!out_.empty()) write();
  }
  // Ends it from this side; `reset`: as a process that dies does.
  void close(bool reset) {
    const auto self = shared_from_this();
    noteEnd("reset");
    idle_.cancel();
    Error ignored;
    if (reset) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    server_.connections_.erase(self);
  }
  void hold(std::uint64_t id, ServerModel::Job job) {
    id_ = id;
    job_ = job;
    held_ = true;
    traced_ = true;
    if (senderEnded_ >= 0) noteEnd("closed");
  }
  void senderEnded() {
    senderEnded_ = server_.world_.now();
    noteEnd("closed");
  }

  const http::request<http::string_body>& message() const { return parser_->get(); }
  unsigned gatekeeper() const { return gatekeeper_; }
  std::uint64_t number() const { return number_; }
  std::uint16_t port() const { return port_; }
  double since() const {
    const auto& said = server_.world_.saidSince;
    const double sent = said ? said(gatekeeper_, server_.index_, port_) : -1;
    return sent >= 0 ? sent : since_;
  }

 private:
  bool silent() const { return server_.listeners_[gatekeeper_]->silent; }

  void armIdle() {
    idle_.expires_after(World::span(server_.world_.scenario.fleet.idleMs));
    idle_.async_wait([self = shared_from_this(), this](const Error& error) {
      if (!error && !held_ && in_.size() == 0) close(false);
    });
  }

  void read() {
    socket_.async_read_some(in_.prepare(kReadStep),
                            [self = shared_from_this(), this](const Error& error, std::size_t n) {
                              if (error) return gone();
                              if (in_.size() == 0 && !held_) since_ = server_.world_.now();
                              in_.commit(n);
                              if (!silent() && !held_) feedMore();
                              if (socket_.is_open()) read();
                            });
  }

  void gone() {
    ended_ = true;
    if (!socket_.is_open()) return;
    if (silent() && !held_) return close(false);  // what the link held back never came
    end("closed");
  }

  void end(const char* result) {
    const auto self = shared_from_this();
    noteEnd(result);
    if (job_) server_.model_.cancelWaiting(server_.world_.now(), job_);
    idle_.cancel();
    Error ignored;
    socket_.close(ignored);
    server_.connections_.erase(self);
  }

  void feedMore() {
    Error error;
    if (silent()) since_ = server_.world_.now();
    const bool whole = feed(*parser_, in_, error);
    if (error) {
      std::fprintf(stderr, "burlwind-rehearse: server %u: cannot read a request: %s\n", server_.index_,
                   error.message().c_str());
      return close(false);
    }
    if (!whole) return;
    idle_.cancel();
    held_ = true;
    server_.take(shared_from_this());
  }

  void write() {
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this(), this](const Error& error, std::size_t) {
                        if (error) return;
                        noteEnd(result_);
                        out_.clear();
                        if (broken_) return;  // stays open and is of no further use
                        held_ = false;
                        job_ = 0;
                        parser_.emplace();
                        parser_->body_limit(kMostBody);
                        since_ = server_.world_.now();
                        armIdle();
                        if (in_.size() > 0) feedMore();
                      });
  }

  void noteEnd(const char* result) {
    if (!traced_) return;
    traced_ = false;
    Event& event = server_.world_.trace.add(server_.world_.now(), Kind::end);
    event.request = id_;
    event.server = static_cast<std::int16_t>(server_.index_);
    event.gatekeeper = static_cast<std::int16_t>(gatekeeper_);
    event.connection = number_;
    event.text = result;
    if (senderEnded_ >= 0) event.since = senderEnded_;
  }

  OrderServer& server_;
  tcp::socket socket_;
  asio::steady_timer idle_;
  const unsigned gatekeeper_;
  const std::uint64_t number_;
  beast::flat_buffer in_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string out_;
  const char* result_ = "served";
  std::uint64_t id_ = 0;
  ServerModel::Job job_ = 0;
  double since_ = 0;
  double senderEnded_ = -1;  // below 0: it has not
  std::uint16_t port_ = 0;
  bool held_ = false, traced_ = false, broken_ = false, ended_ = false;
};

OrderServer::OrderServer(World& world, FleetState& fleet, unsigned index, double startedAt)
    : world_(world),
      fleet_(fleet),
      index_(index),
      startedAt_(startedAt),
      model_(figuresOf(world.scenario, world.seed, index), startedAt),
      timer_(world.io) {
  state(model_.cold(world.now()) ? "cold" : "ready");
}

OrderServer::~OrderServer() {
  while (!connections_.empty()) (*connections_.begin())->close(true);
}

void OrderServer::state(const char* text) {
  Event& event = world_.trace.add(world_.now(), Kind::server);
  event.server = static_cast<std::int16_t>(index_);
  event.text = text;
}

void OrderServer::listen() {
  for (unsigned g = 0; g < world_.scenario.gatekeepers.count; ++g) {
    if (listeners_.size() <= g) {
      listeners_.push_back(std::make_unique<Listener>(world_.io));
      const asio::ip::address_v4 host({127, static_cast<unsigned char>(64 + g),
                                       static_cast<unsigned char>(index_ / 250),
                                       static_cast<unsigned char>(index_ % 250 + 1)});
      listeners_[g]->address = tcp::endpoint(host, 0);
    }
    Listener& listener = *listeners_[g];
    try {
      listener.acceptor.open(tcp::v4());
      listener.acceptor.set_option(tcp::acceptor::reuse_address(true));
      listener.acceptor.bind(listener.address);
      listener.acceptor.listen(kBacklog);
      listener.address = listener.acceptor.local_endpoint();
    } catch (const boost::system::system_error& error) {
      throw SetupError("server " + std::to_string(index_) + ": cannot listen: " + error.code().message());
    }
    accept(g);
  }
}

std::string OrderServer::addressFor(unsigned gatekeeper) const {
  const tcp::endpoint& address = listeners_.at(gatekeeper)->address;
  return address.address().to_string() + ":" + std::to_string(address.port());
}

void OrderServer::accept(unsigned gatekeeper) {
  Listener& listener = *listeners_[gatekeeper];
  listener.acceptor.async_accept([this, gatekeeper](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) return;
    if (error) return accept(gatekeeper);
    if (connections_.size() >= world_.scenario.fleet.connections) {
      Error ignored;
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    } else {
      model_.addWork(world_.now(), world_.scenario.fleet.handshakeMs);
      Event& event = world_.trace.add(world_.now(), Kind::opened);
      event.gatekeeper = static_cast<std::int16_t>(gatekeeper);
      event.server = static_cast<std::int16_t>(index_);
      const auto connection =
          std::make_shared<Connection>(*this, std::move(socket), gatekeeper, ++lastConnection_);
      connections_.insert(connection);
      connection->start();
    }
    accept(gatekeeper);
  });
}

// --- One request -------------------------------------------------------------------------------------------

void OrderServer::take(const std::shared_ptr<Connection>& connection) {
  const auto& message = connection->message();
  const std::string name(view(message["Req-Id"]));
  if (name.empty()) return connection->reply("404 Not Found", "", "", "error");
  const auto id = number<std::uint64_t>(name, 16);
  const auto found = id ? world_.book.find(*id) : world_.book.end();
  // Who a request says it is has to be what a checker made of it, never what its client wrote.
  const std::string_view checked = view(message[boost::beast::string_view(kChecked.data(), kChecked.size())]);
  const bool forged = found != world_.book.end() && !checked.empty() &&
                      number<std::uint64_t>(checked, 16) !=
                          world_.plan.customers[world_.plan.arrivals[found->second.arrival].customer].id;
  if (found == world_.book.end() || forged) {
    Event& event = world_.trace.add(world_.now(), Kind::stray);
    event.server = static_cast<std::int16_t>(index_);
    event.gatekeeper = static_cast<std::int16_t>(connection->gatekeeper());
    return connection->reply("400 Bad Request", "", "", "error");
  }
  work(connection, *id, found->second);
}

void OrderServer::work(const std::shared_ptr<Connection>& connection, std::uint64_t id, Asked& asked) {
  const double now = world_.now();
  const Arrival& arrival = world_.plan.arrivals[asked.arrival];
  const Customer& customer = world_.plan.customers[arrival.customer];
  if (asked.attempts++ == 0) fleet_.meter.add(now, customer.id, asked.units);
  Random random(world_.seed ^ id, "attempt", asked.attempts);
  double work = asked.work * random.between(0.85, 1.15);

  const ClassSpec& klass = world_.scenario.classes[asked.klass];
  bool effect = true;
  if (klass.repeat == Repeat::keyed) {
    const unsigned group = klass.scope == Scope::zone ? world_.zoneOf(index_) : 0;
    const std::string key(view(connection->message()["Idempotency-Key"]));
    const auto [seen, fresh] = fleet_.keys.try_emplace({group, key}, FleetState::Seen{now});
    effect = fresh || now - seen->second.at > klass.windowMs;
    if (effect) seen->second.at = now;
    if (!effect) work *= kRepeatWork;
  }

  Event& event = world_.trace.add(now, Kind::begin);
  event.request = id;
  event.gatekeeper = static_cast<std::int16_t>(connection->gatekeeper());
  event.server = static_cast<std::int16_t>(index_);
  event.connection = connection->number();
  event.since = connection->since();
  event.value = work;
  event.extra = model_.capacity(now);
  event.good = model_.cold(now);

  const ServerModel::Job job = ++lastJob_;
  connection->hold(id, job);
  const bool up = model_.state() == ServerModel::State::up;
  const auto verdict = draining_ ? ServerModel::Verdict::declined : model_.offer(now, job, work);
  if (up && model_.state() == ServerModel::State::fallen) {
    state("fallen");
    return crash();
  }
  if (verdict == ServerModel::Verdict::declined)
    return connection->reply("503 Service Unavailable",
                             "Srv-Declined: 1\r\n" + headers(customer.id, customer.plan), "", "declined");
  jobs_[job] = {connection, id, effect};
  pump();
}

std::string OrderServer::headers(std::uint64_t customer, unsigned plan) {
  double lag = world_.scenario.fleet.meterLagMs;
  world_.eachActive(FaultKind::lateMeter, 0, [&](const FaultSpec& fault) { lag += fault.size; });
  std::string out = reportNow();
  const int used = fleet_.meter.read(world_.now(), lag, customer, world_.scenario.plans[plan].rate);
  if (used >= 0) out += "X-RateLimit-Used: " + std::to_string(used) + "\r\n";
  return out;
}

// The machine's timer: one pending, for the next job that finishes.
void OrderServer::pump() {
  for (const ServerModel::Job job : model_.advance(world_.now())) finished(job);
  const double next = model_.nextAt();
  if (next == ServerModel::kNever) return;
  timer_.expires_at(world_.at(next));
  timer_.async_wait([this](const Error& error) {
    if (!error) pump();
  });
}

void OrderServer::finished(ServerModel::Job job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  const Held held = found->second;
  jobs_.erase(found);
  if (held.effect) {
    Event& event = world_.trace.add(world_.now(), Kind::ran);
    event.request = held.id;
    event.server = static_cast<std::int16_t>(index_);
  }
  const auto connection = held.connection.lock();
  if (!connection) return;
  Random random(world_.seed, "answer", Hash().add(std::uint64_t{index_}).add(++answers_).value());
  double spoilt = 0;
  world_.eachActive(FaultKind::spoilt, index_,
                    [&](const FaultSpec& fault) { spoilt = std::max(spoilt, fault.size); });
  if (random.chance(spoilt))
    return connection->replyRaw("HTTP/1.1 2OO \x01\x02 noise\r\nContent-Length: -3\r\n\r\n??");
  const Customer& customer =
      world_.plan.customers[world_.plan.arrivals[world_.book.at(held.id).arrival].customer];
  const std::string extra = headers(customer.id, customer.plan);
  if (random.chance(world_.scenario.fleet.errorShare))
    return connection->reply("500 Internal Server Error", extra, "", "error");
  const std::string name(view(connection->message()["Req-Id"]));
  connection->reply("200 OK", "Content-Type: text/plain\r\n" + extra, bodyFor(name), "served");
}

// --- Load reports ---
void OrderServer::sample() {
  Random random(world_.seed, "report", Hash().add(std::uint64_t{index_}).add(world_.now()).value());
  const double noise = 1 + world_.scenario.fleet.reportNoise * random.normal();
  double util = model_.util() * noise;
  world_.eachActive(FaultKind::falseUtil, index_, [&](const FaultSpec& fault) { util *= fault.size; });
  reports_.push_back({world_.now(), std::clamp(util, 0.0, 1.0), static_cast<double>(model_.waiting())});
  if (reports_.size() > kReportsKept) reports_.pop_front();
}

std::string OrderServer::reportNow() {
  double delay = world_.scenario.fleet.reportDelayMs;
  world_.eachActive(FaultKind::lateReports, index_, [&](const FaultSpec& fault) { delay += fault.size; });
  const double until = world_.now() - delay;
  const Report* last = nullptr;
  for (const Report& report : reports_)
    if (report.at <= until) last = &report;
  if (!last) return "";
  char text[80];
  std::snprintf(text, sizeof text, "Srv-Load: util=%.3f,queue=%.0f\r\n", last->util, last->queue);
  return text;
}

// --- What happens to it ---
void OrderServer::crash() {
  model_.stop(world_.now());
  jobs_.clear();
  timer_.cancel();
  for (const auto& listener : listeners_) {
    Error ignored;
    listener->acceptor.close(ignored);
  }
  while (!connections_.empty()) (*connections_.begin())->close(true);
  state("crashed");
}

void OrderServer::restart() {
  startedAt_ = world_.now();
  draining_ = false;
  reports_.clear();
  model_.start(startedAt_);
  listen();
  state("cold");
}

void OrderServer::drain() {
  draining_ = true;
  state("draining");
}

void OrderServer::leave() {
  crash();
  state("gone");
}

// A machine that is cut off says nothing: open connections stay open and silent, new ones never come up. The
// latter by a queue of one that is kept full: the kernel then drops what would open a connection.
void OrderServer::cut(unsigned gatekeeper, bool silent) {
  Listener& listener = *listeners_.at(gatekeeper);
  if (listener.silent == silent) return;
  listener.silent = silent;
  if (listener.acceptor.is_open()) {
    if (silent) {
      Error ignored;
      listener.acceptor.cancel(ignored);
      ::listen(listener.acceptor.native_handle(), 0);
      for (int i = 0; i < 2; ++i) {
        listener.fillers.emplace_back(world_.io);
        listener.fillers.back().open(tcp::v4(), ignored);
        listener.fillers.back().native_non_blocking(true, ignored);
        // Not Asio's own call: that waits for the outcome, and the second is never to have one.
        ::connect(listener.fillers.back().native_handle(), listener.address.data(),
                  static_cast<socklen_t>(listener.address.size()));
      }
    } else {
      listener.fillers.clear();
      ::listen(listener.acceptor.native_handle(), kBacklog);
      accept(gatekeeper);
    }
  }
  if (silent) return;
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const auto& connection : all)
    if (connection->gatekeeper() == gatekeeper) connection->heal();
}

void OrderServer::senderEnded(unsigned gatekeeper, std::uint16_t port) {
  for (const auto& connection : connections_)
    if (connection->gatekeeper() == gatekeeper && connection->port() == port)
      return connection->senderEnded();
}

void OrderServer::follow() {
  double taken = 0, slow = 1;
  world_.eachActive(FaultKind::neighbour, index_,
                    [&](const FaultSpec& f) { taken = std::max(taken, f.size); });
  world_.eachActive(FaultKind::slow, index_, [&](const FaultSpec& f) { slow *= f.size; });
  model_.setNeighbour(world_.now(), taken);
  model_.setSlowness(world_.now(), slow);
  if (model_.state() == ServerModel::State::up) pump();
}

}  // namespace burlwind::rehearsal
