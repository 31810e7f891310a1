#include "rehearsal/discovery_stand_in.hpp"

#include <boost/asio/write.hpp>
#include <deque>
#include <nlohmann/json.hpp>
#include <sstream>

#include "http/http.hpp"

namespace burlwind::rehearsal {
namespace {

using asio::ip::tcp;
using nlohmann::json;

constexpr auto kHeartbeat = std::chrono::seconds(2);
constexpr auto kOldAddressFor = std::chrono::milliseconds(1500);

std::string lifecycle(const std::string& state) {
  return state == "ready" ? "Ready" : state == "draining" ? "Terminating" : "Gone";
}

std::string chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

}  // namespace

// One connection of the gatekeeper: a plain list, or a watch that lasts until the connection ends.
class DiscoveryAgent::Watcher : public std::enable_shared_from_this<Watcher> {
 public:
  Watcher(DiscoveryAgent& agent, tcp::socket socket)
      : agent_(agent), socket_(std::move(socket)), heart_(socket_.get_executor()) {}

  void start() {
    parser_.emplace();
    read();
  }
  void tell(const std::string& text) {
    if (watching_) send(chunk(text + "\n"));
  }
  bool watching() const { return watching_; }
  void close() {
    const auto self = shared_from_this();
    heart_.cancel();
    Error ignored;
    socket_.close(ignored);
    agent_.watchers_.erase(self);
  }
  // What came while discovery was silent.
  void wake() {
    if (waiting_) answer();
  }

 private:
  void read() {
    socket_.async_read_some(in_.prepare(kReadStep),
                            [self = shared_from_this(), this](const Error& error, std::size_t n) {
                              if (!socket_.is_open()) return;
                              if (error) return close();
                              in_.commit(n);
                              Error wrong;
                              if (feed(*parser_, in_, wrong)) answer();
                              if (wrong) return close();
                              if (socket_.is_open()) read();
                            });
  }

  void answer() {
    waiting_ = agent_.down_;
    if (waiting_) return;
    std::string_view target = view(parser_->get().target());
    const std::string_view path = cut(target, '?');
    if (path != "/registry/instances")
      return send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"), again();
    std::vector<Listing> all;
    for (const auto& [server, listing] : agent_.list_) all.push_back(listing);
    long from = -1;
    bool watch = false;
    while (!target.empty()) {
      std::string_view value = cut(target, '&');
      const std::string_view name = cut(value, '=');
      if (name == "watch") watch = value == "1";
      if (name == "from") from = number<long>(value).value_or(-1);
    }
    const std::string text = agent_.object(all, true);
    agent_.traceTold(all);
    if (!watch) {
      send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text);
      return again();
    }
    watching_ = true;
    send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (from != agent_.generation_) tell(text);
    beat();
  }

  void again() { parser_.emplace(); }

  void beat() {
    heart_.expires_after(kHeartbeat);
    heart_.async_wait([self = shared_from_this(), this](const Error& error) {
      if (error) return;
      if (!agent_.down_) tell("");
      beat();
    });
  }

  void send(std::string text) {
    out_.push_back(std::move(text));
    if (out_.size() == 1) write();
  }
  void write() {
    asio::async_write(socket_, asio::buffer(out_.front()),
                      [self = shared_from_this(), this](const Error& error, std::size_t) {
                        if (error) return;
                        out_.pop_front();
                        if (!out_.empty()) write();
                      });
  }

  DiscoveryAgent& agent_;
  tcp::socket socket_;
  asio::steady_timer heart_;
  beast::flat_buffer in_;
  std::optional<http::request_parser<http::empty_body>> parser_;
  std::deque<std::string> out_;
  bool watching_ = false, waiting_ = false;
};

DiscoveryAgent::DiscoveryAgent(World& world, unsigned gatekeeper) : world_(world), gatekeeper_(gatekeeper) {}

DiscoveryAgent::~DiscoveryAgent() {
  *alive_ = false;
  while (!watchers_.empty()) (*watchers_.begin())->close();
}

void DiscoveryAgent::listen() {
  if (const auto old = acceptor_) {
    Error ignored;
    old->close(ignored);
    auto timer = std::make_shared<asio::steady_timer>(world_.io, kOldAddressFor);
    const std::vector<std::shared_ptr<Watcher>> before(watchers_.begin(), watchers_.end());
    timer->async_wait([timer, before, alive = alive_](const Error& error) {
      if (error || !*alive) return;
      for (const auto& watcher : before) watcher->close();
    });
  }
  const asio::ip::address_v4 host({127, 63, 0, static_cast<unsigned char>(gatekeeper_ + 1)});
  try {
    acceptor_ = std::make_shared<tcp::acceptor>(world_.io, tcp::endpoint(host, 0));
  } catch (const boost::system::system_error& error) {
    throw SetupError("discovery: cannot listen: " + error.code().message());
  }
  accept();
}

std::string DiscoveryAgent::address() const {
  const auto at = acceptor_->local_endpoint();
  return at.address().to_string() + ":" + std::to_string(at.port());
}

void DiscoveryAgent::accept() {
  const auto acceptor = acceptor_;
  acceptor->async_accept([this, acceptor, alive = alive_](const Error& error, tcp::socket socket) {
    if (!*alive || error == asio::error::operation_aborted) return;
    if (!error) {
      const auto watcher = std::make_shared<Watcher>(*this, std::move(socket));
      watchers_.insert(watcher);
      watcher->start();
      world_.trace.add(world_.now(), Kind::opened).gatekeeper = static_cast<std::int16_t>(gatekeeper_);
    }
    if (acceptor == acceptor_) accept();
  });
}

void DiscoveryAgent::change(const Listing& listing, double delayMs) {
  if (delayMs <= 0) return apply(listing);
  auto timer = std::make_shared<asio::steady_timer>(world_.io, World::span(delayMs));
  timer->async_wait([this, timer, listing, alive = alive_](const Error& error) {
    if (!error && *alive) apply(listing);
  });
}

void DiscoveryAgent::apply(const Listing& listing) {
  ++generation_;
  if (listing.state == "gone")
    list_.erase(listing.server);
  else
    list_[listing.server] = listing;
  untold_.push_back(listing);
  flush();
}

void DiscoveryAgent::flush() {
  if (down_ || untold_.empty()) return;
  const std::string text = object(untold_, false);
  bool told = false;
  for (const auto& watcher : watchers_)
    if (watcher->watching()) watcher->tell(text), told = true;
  // Who watches later gets the whole list; what it leaves out is gone.
  if (told) traceTold(untold_);
  untold_.clear();
}

void DiscoveryAgent::setDown(bool down) {
  down_ = down;
  if (down) return;
  flush();
  const std::vector<std::shared_ptr<Watcher>> all(watchers_.begin(), watchers_.end());
  for (const auto& watcher : all) watcher->wake();
}

std::string DiscoveryAgent::object(const std::vector<Listing>& list, bool whole) const {
  json entries = json::array();
  for (const Listing& listing : list)
    entries.push_back({{"instanceId", listing.id},
                       {"hostPort", listing.address},
                       {"zone", listing.zone},
                       {"machineType", "std"},
                       {"cell", 0},
                       {"lifecycle", lifecycle(listing.state)},
                       {"weight", 1.0},
                       {"startedAtMs", listing.startedAt < 0 ? 0.0 : world_.unixBegin + listing.startedAt}});
  return json{{"generation", generation_}, {"reset", whole}, {"instances", entries}}.dump();
}

void DiscoveryAgent::traceTold(const std::vector<Listing>& list) {
  for (const Listing& listing : list) {
    Event& event = world_.trace.add(world_.now(), Kind::told);
    event.gatekeeper = static_cast<std::int16_t>(gatekeeper_);
    event.server = static_cast<std::int16_t>(listing.server);
    event.text = listing.state;
    event.value = listing.startedAt;
  }
}

}  // namespace burlwind::rehearsal
