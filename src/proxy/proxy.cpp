#include "proxy/proxy.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include "control_api/server.hpp"
#include "program/listen.hpp"
#include "program/log.hpp"
#include "program/start.hpp"
#include "rpc/traffic.hpp"

namespace burlwind::proxy {
namespace {

using asio::redirect_error;
using asio::use_awaitable;
using program::now;

constexpr double kTick = 100;                    // ms
constexpr double kProcessStallThreshold = 1000;  // ms between two ticks: this process stood still
constexpr double kTokensWithin = 350;            // ms that a request waits for word of its tenant's store
constexpr double kAccepts = 2000;                // ms after SIGTERM
constexpr double kBytesPart = 0.4;               // of the memory, for bodies
constexpr double kMemoryUntold = 256;            // MB, where the settings tell none
constexpr double kFullOfBytes = 1000;            // ms until there may be room for a body again
constexpr double kReport = 10000;                // ms between two lines of figures
constexpr double kLeast = 20;                    // ms that a worker must have, else it isn't asked
constexpr double kStarts = 800;      // ms until a proxy that starts may serve; clients ask but once more,
constexpr double kStartsMore = 700;  // and not all of them in one moment: up to so much later

std::chrono::microseconds span(double ms) { return std::chrono::microseconds(static_cast<long>(ms * 1000)); }

// Fields that concern one connection alone, and those that this program writes itself.
bool ownField(beast::string_view name, bool request) {
  static const char* const both[] = {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
                                     "TE",         "Trailer",    "Upgrade",          "Content-Length"};
  static const char* const asked[] = {"Api-Key", "Tenant", "Time-Left-Ms", "Target-Server", "Expect"};
  static const char* const told[] = {"Server-Load", "Not-Run", "Server-Id"};
  const auto in = [&](const auto& names) {
    return std::any_of(std::begin(names), std::end(names),
                       [&](const char* n) { return beast::iequals(name, n); });
  };
  return in(both) || (request ? in(asked) : in(told));
}

template <class Fields>
void copyFields(std::string& out, const Fields& fields, bool request) {
  http::token_list named(fields[http::field::connection]);
  for (const auto& field : fields) {
    if (ownField(field.name_string(), request) || named.exists(field.name_string())) continue;
    out.append(field.name_string().data(), field.name_string().size());
    out.append(": ").append(field.value().data(), field.value().size()).append("\r\n");
  }
}

std::size_t bytesOf(const config::Settings& settings) {
  const double mb = settings.memoryMb > 0 ? settings.memoryMb : kMemoryUntold;
  return static_cast<std::size_t>(kBytesPart * mb * 1024 * 1024);
}

// Bytes that a body holds, or will, by what is known of it.
template <class Parser>
std::size_t bodyOf(const Parser& parser) {
  const auto told = parser.content_length();
  return std::max<std::size_t>(parser.get().body().size(), told ? static_cast<std::size_t>(*told) : 0);
}

std::string seconds(double ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", ms / 1000);
  return text;
}

}  // namespace

struct Proxy::Client {
  Client(Tcp::socket s, asio::io_context& io) : socket(std::move(s)), timer(io) {}
  Tcp::socket socket;
  asio::steady_timer timer;
  beast::flat_buffer in;
  bool idle = true;
  void close() {
    Error ignored;
    socket.close(ignored);
    timer.cancel();
  }
};

struct Proxy::Job {
  http::request<http::string_body> request;
  std::shared_ptr<const config::Configuration> configuration;  // in force when it came
  const config::Route* route = nullptr;
  const config::Tenant* tenant = nullptr;
  std::string service;
  double came = 0, until = 0;      // ms; its time is over
  Budget::Share* bytes = nullptr;  // of its connection
  // The answer, once it stands.
  int status = 0;
  std::string_view why;
  std::string body;
  double retryAfter = -1;  // ms
  std::optional<http::response<http::string_body>> answer;

  void end(int code, std::string_view text = {}, double after = -1) {
    status = code, why = text, body = control_api::message(text), retryAfter = after;
  }
};

Proxy::Proxy(asio::io_context& io, config::Settings settings)
    : io_(io),
      settings_(std::move(settings)),
      sessions_(io, settings_,
                {[this](const rpc::ConfigUpdate& n) { takeConfigUpdate(n); },
                 [this](const rpc::Workers& w) { balancer_.take(w, now()); },
                 [this](const rpc::Cores& c) {
                   proxies_ = c.proxies;
                   takeCounts();
                 },
                 [this](const rpc::TokenResponse& t) { takeTokens(t); }, [this] { return status(); }}),
      workers_(io),
      balancer_({settings_.zone, settings_.region}, settings_.regionOf, settings_.bounds.coldExcess,
                settings_.bounds.coldSlack),
      bytes_(bytesOf(settings_)),
      front_(io),
      timer_(io) {
  bornAt_ = now();
  std::random_device device;
  random_.seed(std::uint64_t{device()} << 32 | device());
  budget_.set(settings_.bounds.retryRatio, settings_.bounds.retrySlack, 64);
}

rpc::Status Proxy::status() const {
  const double age = now() - bornAt_;
  return {ready(), index_, balancer_.number(), age, beganAt_ > 0 ? beganAt_ - bornAt_ : age};
}

double Proxy::draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

bool Proxy::ready() const { return configuration_ && balancer_.size() > 0 && !leaving_; }

Error Proxy::start() {
  const Error error = program::listenAt(front_, settings_.front->ip, settings_.front->port, 1024);
  if (error) return error;
  asio::co_spawn(io_, accept(), asio::detached);
  lastTick_ = now();
  sessions_.start();
  tick();
  return error;
}

void Proxy::adopt(const config::Settings& settings) {
  settings_ = settings;
  balancer_.setPlaces(settings_.regionOf);
  balancer_.setColdBound(settings_.bounds.coldExcess, settings_.bounds.coldSlack);
  sessions_.meetSeeds();
  bytes_.setMost(bytesOf(settings_));
  if (!proxies_.empty()) takeCounts();
}

// --- News ---
void Proxy::takeCounts() {
  unsigned all = 0;
  for (const auto& [zone, count] : proxies_) all += count;
  balancer_.setProxies(proxies_);
  tokenCache_.setProxies(all, settings_.bounds.quotaSlack);
  budget_.set(settings_.bounds.retryRatio, settings_.bounds.retrySlack, all);
}

void Proxy::takeConfigUpdate(const rpc::ConfigUpdate& news) {
  if (news.index <= index_ || news.configuration.empty()) return;
  auto read = config::readConfiguration(news.configuration);
  if (!read.configuration) {
    program::error("news does not read", {{"why", read.fault}});
    return;
  }
  const bool first = !configuration_;
  configuration_ = std::move(read.configuration);
  index_ = news.index;
  for (const auto& service : configuration_->services)
    balancer_.setService(service.name, {service.coldRate, service.coldFor});
  balancer_.setEvacuated({news.evacuated.begin(), news.evacuated.end()}, now());
  program::info(
      "in force",
      {{"version", configuration_->version}, {"index", index_}, {"evacuated", news.evacuated.size()}});
  if (first) sessions_.tellStatus();
}

// --- Quotas ---
void Proxy::askTokens() {
  auto demands = tokenCache_.demands(now());
  if (demands.empty()) return;
  sessions_.tell(rpc::frame(rpc::TokenRequest{++asks_, {}, 0, std::move(demands)}));
}

void Proxy::takeTokens(const rpc::TokenResponse& say) {
  for (const rpc::TokenGrant& grant : say.grants) {
    tokenCache_.granted(grant, now());
    for (auto& [tenant, timer] : waiting_)
      if (tenant == grant.tenant) timer->cancel();
  }
  askTokens();
}

asio::awaitable<bool> Proxy::takeToken(Job& job) {
  if (!job.tenant || job.tenant->rate <= 0) co_return true;
  const auto& tenant = *job.tenant;
  const double chance = draw();
  auto admit = tokenCache_.admit(tenant.name, tenant.rate, tenant.burst, chance, now());
  if (admit == distributed_quota::Admit::wait) {
    askTokens();
    asio::steady_timer timer(io_);
    const double until = now() + kTokensWithin;
    const auto mine = waiting_.insert(waiting_.end(), {tenant.name, &timer});
    while (admit == distributed_quota::Admit::wait) {
      timer.expires_after(span(std::max(0.0, until - now())));
      Error woken;
      co_await timer.async_wait(redirect_error(use_awaitable, woken));
      admit = tokenCache_.again(tenant.name, tenant.rate, !woken, now());
    }
    waiting_.erase(mine);
  }
  if (admit == distributed_quota::Admit::yes && beganAt_ == 0) beganAt_ = now();
  if (admit == distributed_quota::Admit::yes) co_return true;
  job.end(429, "over the quota", 500 + 500 * chance);
  co_return false;
}

// --- One request ---
bool Proxy::route(Job& job) {
  const auto& request = job.request;
  const std::string_view target = view(request.target());
  job.configuration = configuration_;
  if (!job.configuration) return job.end(503, "no configuration yet", kStarts + kStartsMore * draw()), false;
  if (!target.starts_with('/')) return job.end(400, "no such target"), false;
  job.route =
      job.configuration->routeOf(view(request[http::field::host]), target.substr(0, target.find('?')));
  if (!job.route) return job.end(404, "no such route"), false;
  if (!job.configuration->tenants.empty() && !job.route->open) {
    const auto key = request.find("Api-Key");
    job.tenant = key == request.end() ? nullptr : job.configuration->tenantOf(view(key->value()));
    if (!job.tenant) return job.end(401, "no such key"), false;
  }
  double within = job.route->timeout > 0 ? job.route->timeout : 60000;
  if (const auto told = number<double>(view(request["Time-Left-Ms"])); told && *told >= 0)
    within = std::min(within, *told);
  job.until = job.came + within;
  double sum = 0;
  for (const auto& part : job.route->parts) sum += part.weight;
  double draw = std::uniform_real_distribution<double>(0, sum)(random_);
  for (const auto& part : job.route->parts) {
    if (part.weight <= 0) continue;
    job.service = part.service;
    if ((draw -= part.weight) < 0) break;
  }
  if (job.service.empty()) return job.end(503, "no service has a weight", 500), false;
  return true;
}

asio::awaitable<void> Proxy::handle(Job& job) {
  if (!route(job)) co_return;
  const bool franked = co_await takeToken(job);
  if (franked) co_await forward(job);
}

std::string Proxy::outgoing(const Job& job, const std::string& worker, double left) const {
  const auto& request = job.request;
  std::string out;
  out.reserve(512 + request.body().size());
  out.append(view(request.method_string()))
      .append(" ")
      .append(view(request.target()))
      .append(" HTTP/1.1\r\n");
  copyFields(out, request, true);
  out.append("Time-Left-Ms: ").append(std::to_string(static_cast<long>(std::max(1.0, left)))).append("\r\n");
  out.append("Target-Server: ").append(worker).append("\r\n");
  if (job.tenant) out.append("Tenant: ").append(job.tenant->name).append("\r\n");
  if (!request.body().empty() || request.count(http::field::content_length) || request.chunked())
    out.append("Content-Length: ").append(std::to_string(request.body().size())).append("\r\n");
  return out.append("\r\n").append(request.body());
}

// What an answer, or none, says of the worker.
void Proxy::note(const std::string& worker, const Answer& answer) {
  const double at = now();
  switch (answer.end) {
    case End::answer:
      balancer_.answered(worker, answer.took, at);
      break;
    case End::notRun:
      if (answer.full)
        balancer_.full(worker, at);
      else
        balancer_.released(worker);
      break;
    case End::elsewhere:
      balancer_.failed(worker, true, at);
      workers_.forget(worker);
      break;
    case End::unreachable:
      balancer_.failed(worker, true, at);
      break;
    case End::broken:
    case End::late:
      balancer_.failed(worker, false, at);
      break;
  }
  std::string_view load = view(answer.response["Server-Load"]);
  if (!load.empty() && answer.end == End::answer) {
    const auto running = number<double>(cut(load, ','));
    const auto waiting = number<double>(cut(load, ','));
    if (running && waiting) balancer_.load(worker, *running, *waiting, at);
  }
  if (const auto cold = config::milliseconds(view(answer.response["Cold-Ms"])))
    balancer_.cold(worker, *cold, at);
}

asio::awaitable<void> Proxy::forward(Job& job) {
  const bool safe = job.route->safe;
  std::vector<std::string> tried;
  unsigned arrivals = 0, connects = 0;
  bool mayHaveRun = false;
  const auto giveUp = [&](std::string_view why, double after) {
    if (job.answer) return;  // a worker's own failure says more
    if (mayHaveRun)
      job.end(now() >= job.until - kLeast ? 504 : 502, why);
    else
      job.end(503, why, after);
  };
  budget_.first(job.service);
  while (true) {
    const double left = job.until - now();
    if (left < kLeast) {
      giveUp("its time is over", -1);
      co_return;
    }
    if (arrivals >= std::max(1u, job.route->tries) || connects >= 4) {
      giveUp("no worker took it", 200);
      co_return;
    }
    if (arrivals > 0 && !budget_.take(job.service)) {
      giveUp("no further try in the budget", 300);
      co_return;
    }
    load_balancing::Ask ask;
    ask.service = job.service;
    ask.aim = job.route->target > 0 ? job.route->target : 1000;
    ask.homes = &job.route->homes;
    if (job.tenant) ask.otherHomes = &job.tenant->homes;
    ask.tried = &tried;
    ask.repeatable = safe;
    const auto choice = balancer_.choose(ask, draw(), now());
    if (choice.id.empty()) {
      if (choice.why == load_balancing::Why::nobody)
        giveUp("no worker may serve it", 500);
      else
        giveUp("all workers are busy", 250);
      co_return;
    }
    Outgoing out;
    out.id = choice.id;
    out.address = choice.address;
    out.text = outgoing(job, choice.id, left);
    out.tryId = view(job.request["Try-Id"]);
    out.once = !safe;
    out.head = job.request.method() == http::verb::head;
    out.answerWithin = left;
    out.mostAnswer = job.bytes->room() / 2;  // it is held as it comes and as it goes out
    // A repeatable request leaves the time for another worker, once any usual answer would have come: long
    // work is the request's own, and is no shorter elsewhere.
    const double another = std::max(500.0, 3 * balancer_.usual(job.service));
    if (safe && arrivals + 1 < job.route->tries && left - another > 8 * balancer_.usual(job.service))
      out.answerWithin = left - another;
    const std::size_t bytes = out.text.size();
    balancer_.sent(choice.id, now());
    Answer answer = co_await workers_.exchange(std::move(out));
    job.bytes->growTo(2 * (job.request.body().size() + answer.response.body().size()));
    note(choice.id, answer);
    Sent& sent = sent_[choice.away];
    ++sent.count, sent.bytes += bytes + answer.response.body().size();
    tried.push_back(choice.id);
    if (answer.end == End::answer) {
      const int status = static_cast<int>(answer.response.result_int());
      // A worker's own 503 and the like, where it does not say that it has not run, may have run.
      const bool promise = status == 429 || status == 503 || status == 408 || status == 421;
      // A read that failed at one worker may do at another; else the worker's own answer stands.
      if (safe && status >= 500 && !promise && arrivals + 1 < job.route->tries) {
        mayHaveRun = true, ++arrivals;
        job.status = status;
        job.answer = std::move(answer.response);
        if (job.until - now() > 2 * balancer_.usual(job.service)) continue;
        co_return;
      }
      if (promise) {
        mayHaveRun = true, ++arrivals;
        if (!safe) {
          giveUp("a worker failed", -1);
          co_return;
        }
        continue;
      }
      job.status = status;
      job.answer = std::move(answer.response);
      co_return;
    }
    if (answer.end == End::unreachable) {
      ++connects;
      continue;
    }
    ++arrivals;
    if (answer.end == End::broken || answer.end == End::late) {
      mayHaveRun = true;
      if (!safe) {
        giveUp("a worker did not answer", -1);
        co_return;
      }
    }
  }
}

// --- Clients ---
asio::awaitable<void> Proxy::accept() {
  asio::steady_timer pause(io_);
  while (front_.is_open()) {
    Error error;
    Tcp::socket socket = co_await front_.async_accept(redirect_error(use_awaitable, error));
    if (!front_.is_open()) co_return;
    if (error) {
      pause.expires_after(std::chrono::milliseconds(20));
      co_await pause.async_wait(redirect_error(use_awaitable, error));
      continue;
    }
    socket.set_option(Tcp::no_delay(true), error);
    auto client = std::make_shared<Client>(std::move(socket), io_);
    clients_.insert(client);
    asio::co_spawn(io_, serve(client), asio::detached);
  }
}

asio::awaitable<void> Proxy::serve(ClientPtr c) {
  Error error;
  const auto within = [&c](double ms) {
    c->timer.expires_after(span(ms));
    c->timer.async_wait([weak = std::weak_ptr<Client>(c)](const Error& stopped) {
      const auto client = weak.lock();
      if (!stopped && client) client->close();
    });
  };
  for (bool goOn = true; goOn && c->socket.is_open();) {
    const config::ClientLimits limits = configuration_ ? configuration_->limits : config::ClientLimits{};
    http::request_parser<http::string_body> parser;
    Budget::Share bytes(bytes_);
    bool fits = true;
    parser.header_limit(static_cast<std::uint32_t>(limits.header));
    parser.body_limit(std::min<std::uint64_t>(limits.body, kMostBody));
    c->idle = c->in.size() == 0;
    bool begun = !c->idle, told = false;
    within(begun ? limits.headerRead : limits.idle);
    while (!parser.is_done()) {
      if (c->in.size() && feed(parser, c->in, error)) break;
      if (error) break;
      // What will not fit is refused by its head; what tells no length, once it does not fit any more.
      fits = !parser.is_header_done() || bytes.growTo(2 * bodyOf(parser));
      if (!fits) break;
      if (parser.is_header_done() && !told &&
          beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        told = true;
        static const std::string go = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(c->socket, asio::buffer(go), redirect_error(use_awaitable, error));
      }
      const std::size_t n =
          co_await c->socket.async_read_some(c->in.prepare(kReadStep), redirect_error(use_awaitable, error));
      if (error) break;
      c->in.commit(n);
      if (!begun) begun = true, c->idle = false, within(limits.headerRead + 20000);
    }
    c->timer.cancel();
    if (!c->socket.is_open()) break;
    Job job;
    job.came = now();
    if (!fits) {
      job.end(503, "too many bytes are held", kFullOfBytes);
      goOn = false;
    } else if (error) {
      if (error.category() != http::make_error_code(http::error::bad_version).category()) break;
      if (error == http::error::end_of_stream || error == http::error::partial_message) break;
      job.end(error == http::error::header_limit ? 431
              : error == http::error::body_limit ? 413
                                                 : 400,
              "it does not read");
      goOn = false;
    } else {
      job.request = parser.release();
      job.bytes = &bytes;
      goOn = job.request.keep_alive();
      if (!plainFraming(job.request)) job.end(400, "its length is told in two ways"), goOn = false;
      ++working_;
      if (!job.status) co_await handle(job);
      --working_;
    }
    ++counts_[{job.status, job.answer ? std::string_view("a worker's") : job.why}];
    goOn = goOn && !leaving_;
    std::string out = "HTTP/1.1 " + std::to_string(job.status) + " ";
    if (job.answer) {
      out.append(view(job.answer->reason())).append("\r\n");
      copyFields(out, *job.answer, false);
      const bool head = job.request.method() == http::verb::head;
      if (head && job.answer->count(http::field::content_length))
        out.append("Content-Length: ")
            .append(view((*job.answer)[http::field::content_length]))
            .append("\r\n");
      else if (job.status != 204 && job.status != 304)
        out.append("Content-Length: ").append(std::to_string(job.answer->body().size())).append("\r\n");
      if (!goOn) out.append("Connection: close\r\n");
      out.append("\r\n").append(job.answer->body());
    } else {
      out.append(view(http::obsolete_reason(static_cast<http::status>(job.status)))).append("\r\n");
      if (const auto id = job.request["Try-Id"]; !id.empty())
        out.append("Try-Id: ").append(view(id)).append("\r\n");
      if (job.retryAfter >= 0) out.append("Retry-After: ").append(seconds(job.retryAfter)).append("\r\n");
      if (!goOn) out.append("Connection: close\r\n");
      out.append("Content-Type: application/json\r\nContent-Length: ")
          .append(std::to_string(job.body.size()));
      out.append("\r\n\r\n").append(job.body);
    }
    within(10000);
    co_await asio::async_write(c->socket, asio::buffer(out), redirect_error(use_awaitable, error));
    c->timer.cancel();
    if (error) break;
  }
  c->close();
  clients_.erase(c);
}

// --- Time ---
void Proxy::tick() {
  const double at = now();
  if (at - lastTick_ > kProcessStallThreshold) program::warn("stood still", {{"ms", at - lastTick_}});
  lastTick_ = at;
  sessions_.tick(at);
  // Where nobody answers for the quotas, each proxy has its own part alone.
  tokenCache_.setTouch(sessions_.inTouch(at) && !tokenCache_.unanswered(at), at);
  askTokens();
  workers_.sweep(at);
  report(at);
  if (leaving_) {
    if (at - leaveAt_ > kAccepts && front_.is_open()) {
      Error ignored;
      front_.close(ignored);
    }
    if (!front_.is_open())
      for (const auto& client : std::set<ClientPtr>(clients_))
        if (client->idle) client->close();
    if (!front_.is_open() && (clients_.empty() || at - leaveAt_ > settings_.bounds.grace - 300))
      return io_.stop();
  }
  timer_.expires_after(span(kTick));
  timer_.async_wait([this](const Error& error) {
    if (!error) tick();
  });
}

void Proxy::report(double at) {
  if (at < reportAt_) return;
  reportAt_ = at + kReport;
  for (std::size_t away = 0; away < std::size(sent_); ++away)
    if (const Sent sent = std::exchange(sent_[away], {}); sent.count)
      program::info("sent", {{"away", away}, {"count", sent.count}, {"bytes", sent.bytes}});
  for (const auto& [what, count] : std::exchange(counts_, {}))
    program::info("answers", {{"status", what.first}, {"why", what.second}, {"count", count}});
  reportTraffic();
}

void Proxy::reportTraffic() {
  using Direction = rpc::Traffic::Direction;
  program::info("traffic",
                {{"in", rpc::traffic().text(Direction::in)}, {"out", rpc::traffic().text(Direction::out)}});
}

void Proxy::leave() {
  if (leaving_) return;
  leaving_ = true;
  leaveAt_ = now();
  reportTraffic();
  sessions_.tellStatus();
}

}  // namespace burlwind::proxy
