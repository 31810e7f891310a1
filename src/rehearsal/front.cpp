#include "rehearsal/front.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/write.hpp>
#include <cmath>
#include <cstdio>

#include "faults/random.hpp"
#include "http/http.hpp"
#include "rehearsal/checker_stand_in.hpp"

namespace burlwind::rehearsal {

using faults::Hash;
using faults::Random;
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr double kOverdueMs = 300;  // a client goes on waiting so long to see whether an answer comes at all
constexpr auto kHealthEvery = 100ms;
constexpr auto kHealthWithin = 2000ms;
constexpr auto kRudeEvery = 100ms;
constexpr auto kRudeFor = 4000ms;
constexpr std::size_t kSleepersAtOnce = 200;
constexpr unsigned kReaches = 3;  // gatekeepers that one try goes to until one takes it

}  // namespace

struct Front::Try {
  explicit Try(asio::io_context& io) : timer(io) {}
  std::uint32_t arrival = 0;
  unsigned number = 0;   // of the arrival's tries, from 0
  unsigned reached = 0;  // gatekeepers that it was brought to
  unsigned gatekeeper = 0;
  std::uint64_t id = 0;
  double askedAt = 0, patience = 0;
  bool resent = false;  // once more on a new connection
  bool over = false;
  asio::steady_timer timer;
  std::weak_ptr<Link> link;
};

// A client's connection.
class Front::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(Front& front, unsigned gatekeeper)
      : front_(front), socket_(front.world_.io), gatekeeper_(gatekeeper) {}

  void connect(std::shared_ptr<Try> attempt) {
    attempt_ = std::move(attempt);
    socket_.async_connect(front_.gates_[gatekeeper_].address,
                          [self = shared_from_this(), this](const Error& error) {
                            if (closed_) return;
                            if (error) {
                              const auto failed = std::move(attempt_);
                              close();
                              front_.gates_[gatekeeper_].up = false;
                              if (failed) unreached(failed);
                              return;
                            }
                            Error ignored;
                            socket_.set_option(tcp::no_delay(true), ignored);
                            write();
                            read();
                          });
  }
  void send(std::shared_ptr<Try> attempt) {
    attempt_ = std::move(attempt);
    fresh_ = false;
    write();
  }
  void close() {
    if (closed_) return;
    closed_ = true;
    const auto self = shared_from_this();
    Error ignored;
    socket_.close(ignored);
    front_.remove(self);
  }
  unsigned gatekeeper() const { return gatekeeper_; }

 private:
  void write() {
    Try& attempt = *attempt_;
    attempt.link = weak_from_this();
    parser_.emplace();
    parser_->body_limit(std::uint64_t{2} << 20);
    out_ = front_.textOf(attempt);
    attempt.askedAt = front_.world_.now();
    trace(Kind::ask, attempt);
    attempt.timer.expires_after(World::span(waitOf(attempt)));
    attempt.timer.async_wait([self = shared_from_this(), this, mine = attempt_](const Error& error) {
      if (!error && attempt_ == mine) giveUp();
    });
    asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](const Error&, std::size_t) {});
  }

  double waitOf(const Try& attempt) const {
    const Arrival& arrival = front_.world_.plan.arrivals[attempt.arrival];
    if (arrival.leaves > 0 && arrival.leaves < attempt.patience) return arrival.leaves;
    const RuleSpec& rules = front_.world_.scenario.rules;
    return attempt.patience + rules.answerGraceMs + rules.slackMs + kOverdueMs;
  }

  // Its own time is over (it leaves), or an answer is overdue.
  void giveUp() {
    const auto attempt = std::move(attempt_);
    const bool left = front_.world_.now() < attempt->askedAt + attempt->patience;
    trace(left ? Kind::left : Kind::overdue, *attempt);
    close();
    front_.ended(attempt, 0, 0);
  }

  void read() {
    socket_.async_read_some(in_.prepare(kReadStep),
                            [self = shared_from_this(), this](const Error& error, std::size_t n) {
                              if (closed_) return;
                              if (error) return gone();
                              in_.commit(n);
                              take();
                              if (!closed_) read();
                            });
  }

  void take() {
    if (!attempt_) {
      if (in_.size() > 0) noise();
      return;
    }
    Error error;
    const bool whole = feed(*parser_, in_, error);
    if (error) return gone();
    if (!whole) return;
    const auto& message = parser_->get();
    const auto attempt = std::move(attempt_);
    attempt->timer.cancel();
    Event& event = trace(Kind::answer, *attempt);
    event.part = static_cast<std::uint16_t>(message.result_int());
    event.good = message.body() == bodyFor(hex16(attempt->id));
    const double wait = number<double>(view(message["Retry-After"])).value_or(0) * 1000;
    event.value = wait;
    const unsigned status = message.result_int();
    last_ = attempt->id;
    if (in_.size() > 0) noise();
    if (!closed_ && message.keep_alive())
      front_.gates_[gatekeeper_].idle.push_back(shared_from_this());
    else
      close();
    front_.ended(attempt, status, wait);
  }

  void noise() {
    Event& event = front_.world_.trace.add(front_.world_.now(), Kind::noise);
    event.request = last_;
    event.gatekeeper = static_cast<std::int16_t>(gatekeeper_);
    close();
  }

  // The gatekeeper has ended the connection.
  void gone() {
    const auto attempt = std::move(attempt_);
    const bool nothing = !fresh_ && in_.size() == 0 && parser_ && !parser_->got_some();
    close();
    if (!attempt) return;
    attempt->timer.cancel();
    if (nothing && !attempt->resent) {
      attempt->resent = true;
      trace(Kind::crossed, *attempt);
      return front_.linkTo(gatekeeper_)->connect(attempt);
    }
    Event& event = trace(Kind::lost, *attempt);
    event.good = fresh_ && in_.size() == 0 && parser_ && !parser_->got_some();
    front_.ended(attempt, 0, 0);
  }

  // What was asked once on a kept connection may have been taken there: it goes nowhere else.
  void unreached(const std::shared_ptr<Try>& attempt) {
    if (!attempt->resent) return front_.failedToReach(attempt);
    Event& event = trace(Kind::lost, *attempt);
    event.good = true;
    event.text = "refused";
    front_.ended(attempt, 0, 0);
  }

  Event& trace(Kind kind, const Try& attempt) {
    const World& world = front_.world_;
    const Arrival& arrival = world.plan.arrivals[attempt.arrival];
    const Customer& customer = world.plan.customers[arrival.customer];
    Event& event = front_.world_.trace.add(world.now(), kind);
    event.request = attempt.id;
    event.number = attempt.arrival;
    event.part = static_cast<std::uint16_t>(attempt.number);
    event.gatekeeper = static_cast<std::int16_t>(gatekeeper_);
    event.klass = arrival.klass;
    event.plan = static_cast<std::uint16_t>(customer.plan);
    event.customer = customer.id;
    if (kind == Kind::ask) event.value = 1, event.extra = attempt.patience, event.good = arrival.good;
    return event;
  }

  Front& front_;
  tcp::socket socket_;
  const unsigned gatekeeper_;
  beast::flat_buffer in_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string out_;
  std::shared_ptr<Try> attempt_;
  std::uint64_t last_ = 0;
  bool fresh_ = true, closed_ = false;
};

// Asks /health/ready again and again, on a connection of its own each time.
class Front::Health : public std::enable_shared_from_this<Health> {
 public:
  Health(Front& front, unsigned gatekeeper)
      : front_(front), gatekeeper_(gatekeeper), socket_(front.world_.io), timer_(front.world_.io) {}
  void ask() {
    got_.clear();
    socket_ = tcp::socket(front_.world_.io);
    arm(kHealthWithin, true);
    socket_.async_connect(
        front_.gates_[gatekeeper_].address, [self = shared_from_this(), this](const Error& error) {
          if (front_.over_) return;
          if (error) return again();
          asio::async_write(socket_, asio::buffer(kAsk), [self](const Error&, std::size_t) {});
          read();
        });
  }

 private:
  static constexpr std::size_t kStatusLine = 16;  // more than this, and not the status that is waited for
  static constexpr std::string_view kAsk =
      "GET /health/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n";
  void read() {
    socket_.async_read_some(asio::buffer(piece_),
                            [self = shared_from_this(), this](const Error& error, std::size_t n) {
                              if (front_.over_) return;
                              got_.append(piece_.data(), n);
                              if (got_.rfind("HTTP/1.1 200", 0) == 0) {
                                timer_.cancel();
                                return front_.cameUp(gatekeeper_);
                              }
                              if (error || got_.size() > kStatusLine) return again();
                              read();
                            });
  }
  void again() { arm(kHealthEvery, false); }
  void arm(std::chrono::milliseconds span, bool limit) {
    timer_.expires_after(span);
    timer_.async_wait([self = shared_from_this(), this, limit](const Error& error) {
      if (error || front_.over_) return;
      if (limit) {
        Error ignored;
        socket_.close(ignored);  // what is pending fails, and asks again
      } else {
        ask();
      }
    });
  }
  Front& front_;
  const unsigned gatekeeper_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 512> piece_{};
  std::string got_;
};

// A client that sends what cannot be used and reads what it is sent, for a while.
class Front::Rude : public std::enable_shared_from_this<Rude> {
 public:
  static constexpr std::uint64_t kSilent = 4;  // says nothing, and stays until it is ended
  Rude(Front& front, std::uint64_t number)
      : front_(front), socket_(front.world_.io), timer_(front.world_.io), number_(number) {}
  void start(const tcp::endpoint& to, const asio::ip::address_v4& from = asio::ip::address_v4::loopback()) {
    Error ignored;
    socket_.open(tcp::v4(), ignored);
    // A port is chosen when it connects: so many from one address are more than one range of ports holds
    // twice.
    const int late = 1;
    ::setsockopt(socket_.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &late, sizeof late);
    socket_.bind(tcp::endpoint(from, 0), ignored);
    if (number_ != kSilent) {
      timer_.expires_after(kRudeFor);
      timer_.async_wait([self = shared_from_this(), this](const Error&) { end(); });
    }
    socket_.async_connect(to, [self = shared_from_this(), this](const Error& error) {
      if (error) return end();
      static const std::array<std::string, 5> kTexts{
          "\x16\x03\x01 not HTTP at all\r\n\r\n",
          "GET /nothing HTTP/1.1\r\nHost: b\r\nX-Long: " + std::string(20000, 'x'),
          "POST /x HTTP/1.1\r\nHost: b\r\nContent-Length: -5\r\n\r\n",
          "GET /x?client=zz HTTP/1.1\r\nHost: b\r\nReq-Id: nonsense\r\n\r\n", ""};
      out_ = kTexts[number_ % kTexts.size()];
      asio::async_write(socket_, asio::buffer(out_), [self](const Error&, std::size_t) {});
      read();
    });
  }
  void end() {
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
  }

 private:
  void read() {
    socket_.async_read_some(asio::buffer(piece_),
                            [self = shared_from_this(), this](const Error& error, std::size_t) {
                              if (error) return end();
                              read();
                            });
  }
  Front& front_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  const std::uint64_t number_;
  std::string out_;
  std::array<char, 1024> piece_{};
};

Front::Front(World& world, std::vector<tcp::endpoint> gatekeepers)
    : world_(world), arrivals_(world.io), rudeTimer_(world.io) {
  for (const tcp::endpoint& address : gatekeepers) gates_.emplace_back().address = address;
}

Front::~Front() {
  over_ = true;
  for (const auto& rude : rude_) rude->end();
  for (const auto& sleeper : sleepers_) sleeper->end();
  for (const auto& flooder : flooders_) flooder->end();
  while (!links_.empty()) (*links_.begin())->close();
}

void Front::watch(unsigned gatekeeper, std::function<void()> ready) {
  Gate& gate = gates_.at(gatekeeper);
  gate.up = false;
  if (ready) gate.ready = std::move(ready);
  if (std::exchange(gate.watched, true)) return;
  std::make_shared<Health>(*this, gatekeeper)->ask();
}

void Front::cameUp(unsigned gatekeeper) {
  Gate& gate = gates_[gatekeeper];
  gate.up = true;
  gate.watched = false;
  if (const auto ready = std::exchange(gate.ready, nullptr)) ready();
}

void Front::start() {
  arriveDue();
  rudeTick();
}

void Front::whenDone(std::function<void()> done) {
  done_ = std::move(done);
  settle();
}

void Front::arriveDue() {
  const auto& arrivals = world_.plan.arrivals;
  const double now = world_.now();
  while (next_ < arrivals.size() && arrivals[next_].at <= now) {
    const Arrival& arrival = arrivals[next_];
    const Customer& customer = world_.plan.customers[arrival.customer];
    Event& event = world_.trace.add(arrival.at, Kind::want);
    event.number = next_;
    event.klass = arrival.klass;
    event.plan = static_cast<std::uint16_t>(customer.plan);
    event.customer = customer.id;
    event.value = 1;
    event.good = arrival.good;
    auto attempt = std::make_shared<Try>(world_.io);
    attempt->arrival = static_cast<std::uint32_t>(next_++);
    attempt->gatekeeper = arrival.gatekeeper;
    ++open_;
    send(attempt);
  }
  if (next_ >= arrivals.size()) return settle();
  arrivals_.expires_at(world_.at(arrivals[next_].at));
  arrivals_.async_wait([this](const Error& error) {
    if (!error) arriveDue();
  });
}

void Front::send(const std::shared_ptr<Try>& attempt) {
  const Arrival& arrival = world_.plan.arrivals[attempt->arrival];
  const Customer& customer = world_.plan.customers[arrival.customer];
  const ClassSpec& klass = world_.scenario.classes[arrival.klass];
  // Past gatekeepers that the front sees down.
  for (unsigned i = 0; i < customer.spread && !gates_[attempt->gatekeeper].up; ++i)
    attempt->gatekeeper =
        (customer.first + (attempt->gatekeeper + gates_.size() - customer.first + 1) % customer.spread) %
        static_cast<unsigned>(gates_.size());
  attempt->id = Random(world_.seed, "request",
                       Hash()
                           .add(std::uint64_t{attempt->arrival})
                           .add(std::uint64_t{attempt->number})
                           .add(std::uint64_t{attempt->reached})
                           .value())
                    .next();
  const double left = arrival.at + klass.deadlineMs - world_.now();
  attempt->patience = std::floor(std::min(left, world_.scenario.clients.patienceShare * klass.deadlineMs));
  if (attempt->patience < 1) return ended(attempt, 0, 0);
  if (!gates_[attempt->gatekeeper].up) return failedToReach(attempt);
  world_.book[attempt->id] = {attempt->arrival, arrival.klass, 0, arrival.work, 1};
  auto& idle = gates_[attempt->gatekeeper].idle;
  if (!idle.empty()) {
    const auto link = idle.back();
    idle.pop_back();
    return link->send(attempt);
  }
  linkTo(attempt->gatekeeper)->connect(attempt);
}

std::shared_ptr<Front::Link> Front::linkTo(unsigned gatekeeper) {
  const auto link = std::make_shared<Link>(*this, gatekeeper);
  links_.insert(link);
  return link;
}

void Front::remove(const std::shared_ptr<Link>& link) {
  links_.erase(link);
  std::erase(gates_[link->gatekeeper()].idle, link);
}

std::string Front::textOf(const Try& attempt) const {
  const Arrival& arrival = world_.plan.arrivals[attempt.arrival];
  const Customer& customer = world_.plan.customers[arrival.customer];
  const ClassSpec& klass = world_.scenario.classes[arrival.klass];
  const bool safe = klass.repeat == Repeat::safe;
  std::string out = (safe ? "GET /" : "POST /") + klass.name + "?client=" + hex16(customer.id) +
                    " HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + hex16(attempt.id) +
                    "\r\nX-Tier: " + world_.scenario.plans[customer.plan].name +
                    "\r\nReq-Deadline-Ms: " + std::to_string(std::lround(attempt.patience)) +
                    "\r\nX-Call-Terms: units=1,spread=" + std::to_string(customer.spread) +
                    ",first=" + std::to_string(customer.first) + "\r\n";
  if (world_.scenario.checkers.count > 0)
    out += arrival.good ? "Authorization: " + tokenOf(customer) + "\r\n" : badCredentials(attempt.arrival);
  if (klass.repeat == Repeat::keyed)
    out += "Idempotency-Key: " + hex16(world_.seed) + hex16(attempt.arrival) + "\r\n";
  const std::string body = safe ? "" : "order " + std::to_string(attempt.arrival) + "\n";
  if (!safe) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

void Front::failedToReach(const std::shared_ptr<Try>& attempt) {
  Event& event = world_.trace.add(world_.now(), Kind::untaken);
  event.number = attempt->arrival;
  event.part = static_cast<std::uint16_t>(attempt->number);
  event.gatekeeper = static_cast<std::int16_t>(attempt->gatekeeper);
  if (++attempt->reached >= kReaches) return ended(attempt, 0, 0);
  retryLater(attempt, world_.scenario.clients.backoffMs);
}

bool Front::mayRetry(const Try& attempt, unsigned status) const {
  if (status == 200 || status == 401 || status == 403 || attempt.number >= world_.scenario.clients.retries)
    return false;
  const ClassSpec& klass = world_.scenario.classes[world_.plan.arrivals[attempt.arrival].klass];
  if (status == 429 || status == 503) return true;  // a refusal: repeating is harmless
  return status != 0 &&
         (klass.repeat == Repeat::safe || (klass.repeat == Repeat::keyed && klass.scope == Scope::all));
}

void Front::ended(const std::shared_ptr<Try>& attempt, unsigned status, double retryAfterMs) {
  if (!mayRetry(*attempt, status)) {
    --open_;
    return settle();
  }
  Random random(world_.seed, "retry", attempt->id);
  const bool honours =
      Random(world_.seed, "honours", attempt->arrival).chance(world_.scenario.clients.honourShare);
  double wait = world_.scenario.clients.backoffMs * std::pow(2, attempt->number) * random.between(0.5, 1.5);
  if (honours) wait = std::max(wait, retryAfterMs);
  const auto next = std::make_shared<Try>(world_.io);
  next->arrival = attempt->arrival;
  next->number = attempt->number + 1;
  const Customer& customer = world_.plan.customers[world_.plan.arrivals[attempt->arrival].customer];
  next->gatekeeper = gatekeeperOf(world_.scenario, customer, world_.now(), random.unit(), world_.seed);
  retryLater(next, wait);
}

void Front::retryLater(const std::shared_ptr<Try>& attempt, double waitMs) {
  attempt->timer.expires_after(World::span(waitMs));
  attempt->timer.async_wait([this, attempt](const Error& error) {
    if (!error && !over_) send(attempt);
  });
}

void Front::settle() {
  if (!done_ || next_ < world_.plan.arrivals.size() || open_ > 0) return;
  auto done = std::move(done_);
  done_ = nullptr;
  asio::post(world_.io, std::move(done));
}

void Front::rudeTick() {
  double perS = 0;
  world_.eachActive(FaultKind::rude, 0, [&](const FaultSpec& fault) { perS += fault.size; });
  const auto count =
      static_cast<unsigned>(std::lround(perS * std::chrono::duration<double>(kRudeEvery).count()));
  for (unsigned i = 0; i < count; ++i) {
    rude_.push_back(std::make_shared<Rude>(*this, rudeCount_));
    rude_.back()->start(gates_[rudeCount_++ % gates_.size()].address);
  }
  std::erase_if(rude_, [](const auto& one) { return one.use_count() == 1; });
  keepSleepers();
  rudeTimer_.expires_after(kRudeEvery);
  rudeTimer_.async_wait([this](const Error& error) {
    if (!error) rudeTick();
  });
}

// Connections that ask nothing; one that its gatekeeper has ended is opened anew. A flood's come from an
// address of their own, and only so many at once, so that the loop goes on with the clients meanwhile.
void Front::keepSleepers() {
  std::size_t flood = 0;
  world_.eachActive(FaultKind::flood, 0,
                    [&](const FaultSpec& fault) { flood += static_cast<std::size_t>(fault.size); });
  keepSleepers(sleepers_, world_.scenario.clients.idleConnections, asio::ip::address_v4::loopback());
  keepSleepers(flooders_, flood, asio::ip::address_v4({127, 61, 0, 1}));
}

void Front::keepSleepers(std::list<std::shared_ptr<Rude>>& all, std::size_t wanted,
                         const asio::ip::address_v4& from) {
  std::erase_if(all, [](const auto& one) { return one.use_count() == 1; });
  while (all.size() > wanted) {
    all.back()->end();
    all.pop_back();
  }
  for (std::size_t i = 0; i < kSleepersAtOnce && all.size() < wanted; ++i) {
    all.push_back(std::make_shared<Rude>(*this, Rude::kSilent));
    all.back()->start(gates_[sleeperCount_++ % gates_.size()].address, from);
  }
}

}  // namespace burlwind::rehearsal
