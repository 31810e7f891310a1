#include "node/discovery.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <stdexcept>

#include "http/http.hpp"
#include "node/config.hpp"

namespace burlwind {
namespace {

using asio::ip::tcp;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto kConnectWithin = 1000ms;
constexpr recovery::Time kBackoffFirst = 50;  // ms
constexpr std::size_t kMostLine = std::size_t{8} << 20;

irisring::Phase phaseOf(const std::string& lifecycle) {
  if (lifecycle == "Ready") return irisring::Phase::ready;
  if (lifecycle == "Terminating") return irisring::Phase::draining;
  if (lifecycle == "Gone") return irisring::Phase::gone;
  throw std::runtime_error("discovery: unknown lifecycle " + lifecycle.substr(0, 40));
}

Instance readInstance(const json& entry) {
  Instance out;
  out.id = entry.at("instanceId").get<std::string>();
  out.phase = phaseOf(entry.at("lifecycle").get<std::string>());
  const std::string address = entry.value("hostPort", "");
  if (out.phase != irisring::Phase::gone || !address.empty()) out.address = parseEndpoint(address);
  out.zone = entry.value("zone", "");
  out.kind = entry.value("machineType", "");
  out.cell = entry.value("cell", 0u);
  out.startedAtMs = entry.value("startedAtMs", 0.0);
  return out;
}

}  // namespace

Roster parseRoster(std::string_view text) {
  try {
    const json object = json::parse(text);
    Roster out;
    out.generation = object.at("generation").get<long long>();
    out.reset = object.value("reset", false);
    for (const json& entry : object.at("instances")) out.instances.push_back(readInstance(entry));
    return out;
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("discovery: ") + error.what());
  }
}

std::string rosterText(const std::map<std::string, Instance>& instances) {
  json list = json::array();
  for (const auto& [id, instance] : instances) {
    const std::string host = instance.address.address().is_v6()
                                 ? "[" + instance.address.address().to_string() + "]"
                                 : instance.address.address().to_string();
    list.push_back({{"instanceId", id},
                    {"hostPort", host + ":" + std::to_string(instance.address.port())},
                    {"zone", instance.zone},
                    {"machineType", instance.kind},
                    {"cell", instance.cell},
                    {"lifecycle", instance.phase == irisring::Phase::ready ? "Ready" : "Terminating"},
                    {"startedAtMs", instance.startedAtMs}});
  }
  return json{{"generation", -1}, {"reset", true}, {"instances", list}}.dump();
}

// One watch after another: connect, ask for what changed since the last version, read lines until the
// connection ends, breaks or falls silent, wait, begin again.
class Discovery::Watch : public std::enable_shared_from_this<Watch> {
  // A handler of an earlier round finds nothing to do: its connection is gone.
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, round = round_, handler](const Error& error, std::size_t n = 0) {
      if (round == round_) handler(error, n);
    };
  }

 public:
  Watch(asio::io_context& io, const tcp::endpoint& agent, long long from, const Limits& limits, Told told)
      : socket_(io),
        timer_(io),
        agent_(agent),
        limits_(limits),
        generation_(from),
        told_(std::move(told)),
        draws_(static_cast<std::minstd_rand::result_type>(limits.seed ^ limits.seed >> 32)),
        backoff_(kBackoffFirst, static_cast<recovery::Time>(limits.backoffMost.count())) {}

  void open() {
    if (stopped_) return;
    ++round_;
    in_.clear();
    line_.clear();
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(boost::none);
    wait(kConnectWithin);
    socket_.async_connect(agent_, guard([this](const Error& error, std::size_t) {
                            if (error) return again("cannot connect");
                            ask();
                          }));
  }

  void stop() {
    stopped_ = true;
    ++round_;
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
  }

 private:
  void wait(std::chrono::milliseconds span) {
    timer_.expires_after(span);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error && timer_.expiry() <= asio::steady_timer::clock_type::now()) again("silent");
    }));
  }

  void ask() {
    http::request<http::empty_body> request(http::verb::get, "/registry/instances?watch=1", 11);
    if (generation_ >= 0) request.target("/registry/instances?watch=1&from=" + std::to_string(generation_));
    request.set(http::field::host, "discovery");
    out_.clear();
    append(out_, request);
    wait(limits_.silence);
    asio::async_write(socket_, asio::buffer(out_), guard([this](const Error& error, std::size_t) {
                        if (error) return again("broken");
                        read();
                      }));
  }

  void read() {
    socket_.async_read_some(in_.prepare(kReadStep), guard([this](const Error& error, std::size_t n) {
                              if (error) return again("ended");
                              in_.commit(n);
                              wait(limits_.silence);
                              take();
                            }));
  }

  void take() {
    Error error;
    const bool done = feed(*parser_, in_, error);
    if (error || (parser_->is_header_done() && parser_->get().result() != http::status::ok))
      return again("odd answer");
    line_ += parser_->get().body();
    parser_->get().body().clear();
    try {
      takeLines();
    } catch (const std::runtime_error& wrong) {
      std::fprintf(stderr, "burlwind: %s\n", wrong.what());
      generation_ = -1;  // the whole list mends what this line would have changed
      return again("malformed");
    }
    if (done || line_.size() > kMostLine) return again("ended");
    read();
  }

  void takeLines() {
    std::size_t from = 0;
    for (auto end = line_.find('\n'); end != std::string::npos; end = line_.find('\n', from)) {
      const std::string_view line = std::string_view(line_).substr(from, end - from);
      from = end + 1;
      if (line.find_first_not_of(" \r\t") == std::string_view::npos) continue;  // a heartbeat
      const Roster roster = parseRoster(line);
      generation_ = roster.generation;
      backoff_.reset();
      told_(roster);
      if (stopped_) return;
    }
    line_.erase(0, from);
  }

  void again(const char* why) {
    ++round_;
    Error ignored;
    socket_.close(ignored);
    if (stopped_) return;
    if (why != lastWhy_) std::fprintf(stderr, "burlwind: discovery: %s, trying again\n", why);
    lastWhy_ = why;
    const double draw = std::generate_canonical<double, 30>(draws_);
    timer_.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(
        std::chrono::duration<double, std::milli>(backoff_.next(draw))));
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error) open();
    }));
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  const tcp::endpoint agent_;
  const Limits limits_;
  long long generation_;
  const Told told_;
  beast::flat_buffer in_;
  std::string out_, line_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::minstd_rand draws_;
  recovery::Backoff backoff_;
  std::string_view lastWhy_;
  unsigned round_ = 0;
  bool stopped_ = false;
};

Discovery::Discovery(asio::io_context& io, const tcp::endpoint& agent, long long from, const Limits& limits,
                     Told told)
    : watch_(std::make_shared<Watch>(io, agent, from, limits, std::move(told))) {}
Discovery::~Discovery() { stop(); }
void Discovery::start() { watch_->open(); }
void Discovery::stop() { watch_->stop(); }

}  // namespace burlwind
