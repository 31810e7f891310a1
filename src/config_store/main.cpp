// config_store: the store of configuration and evacuations. Wires the service (service.hpp) to the disk, to
// the links of the other stores and of the registries, and to the signals.
//
// Disk writes block the loop on purpose: a replica whose disk stalls says nothing meanwhile, so that another
// one leads, and what it wakes with is old by number.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <random>
#include <set>
#include <thread>

#include "config_store/bootstrap.hpp"
#include "config_store/peers.hpp"
#include "config_store/service.hpp"
#include "config_store/store.hpp"
#include "program/log.hpp"
#include "program/settings_file.hpp"
#include "program/start.hpp"
#include "rpc/link.hpp"
#include "rpc/traffic_log.hpp"

namespace burlwind::config_store {
namespace {

namespace asio = boost::asio;
using program::now;
using rpc::Arrived;
using rpc::Link;
using LinkPtr = std::shared_ptr<Link>;

constexpr auto kTick = std::chrono::milliseconds(50);
constexpr double kSettled = 5000;        // ms as a member that hears a leader, until other links are closed
constexpr double kJoinPause = 300;       // ms
constexpr double kReportPause = 10000;   // ms between two lines of what was sent and received
constexpr double kWriteTimeout = 10000;  // ms, until a process whose disk refuses all ends
constexpr auto kWritePause = std::chrono::milliseconds(100);  // between tries
constexpr double kSlowWrite = 200;                            // ms, from which on it is logged
constexpr auto kLeavePause = std::chrono::milliseconds(300);  // for the others to hear of it, and to lead

std::uint64_t drawId() {
  std::random_device device;
  return (std::uint64_t{device()} << 32 | device()) | 1;
}

class ConfigStoreServer {
 public:
  ConfigStoreServer(asio::io_context& io, program::SettingsFile file, config::Settings settings)
      : io_(io),
        file_(std::move(file)),
        settings_(std::move(settings)),
        store_(settings_.dataFolder),
        peers_(
            io, settings_.ip, settings_.portFrom, [this](const LinkPtr& link) { storeReached(link); },
            [this](const Arrived& arrived) { fromStore(arrived); }),
        acceptor_(io),
        timer_(io),
        signals_(io, SIGTERM, SIGINT, SIGHUP),
        random_(drawId()) {}

  int run() {
    if (!load()) return 1;
    if (const auto error = acceptor_.listen(
            settings_.ip, settings_.portFrom, [this](const LinkPtr& l, const Arrived& a) { arrivedOn(l, a); },
            [this](const LinkPtr& l) { linkEnded(l); })) {
      program::error("cannot listen", {{"port", settings_.portFrom}, {"why", error.message()}});
      return 1;
    }
    for (const auto& seed : settings_.seeds) peers_.dial(seed.ip);
    for (const auto& member : service_->record().members) peers_.dial(member.ip);
    tick();
    waitForSignal();
    io_.run();
    return status_;
  }

 private:
  // --- The record on disk ---
  bool load() {
    std::string bytes;
    if (const auto error = store_.open(bytes)) {
      program::error("cannot open the store", {{"folder", settings_.dataFolder}, {"why", error.message()}});
      return false;
    }
    const bool empty = bytes.empty();
    consensus::PersistentState record;
    State state;
    if (empty)
      record = initialRecord(settings_, drawId());
    else if (!readRecord(bytes, record))
      return false;
    if (!unpack(record.state, state)) {
      program::error("the state does not read", {});
      return false;
    }
    program::info("starts", {{"id", std::to_string(record.self)},
                             {"empty", empty},
                             {"term", record.term},
                             {"index", record.index},
                             {"version", state.version},
                             {"members", record.members.size()}});
    warnOfInvalid(state.configuration);
    const double at = now();
    service_.emplace(consensus::Core(std::move(record), consensus::Timeouts{}, seats(),
                                     &ConfigStoreServer::draw, this, at),
                     std::move(state), at);
    service_->setRegions(config::regionsOf(settings_));
    return !empty || persist();
  }

  // What an earlier program version acknowledged serves on, and would be refused today.
  void warnOfInvalid(const std::string& configuration) const {
    if (configuration.empty()) return;
    const auto checked = config::checkConfiguration(configuration, config::regionsOf(settings_));
    if (!checked.fault.empty()) program::warn("configuration is not valid", {{"why", checked.fault}});
  }

  static bool readRecord(const std::string& bytes, consensus::PersistentState& out) {
    try {
      msgpack::unpack(bytes.data(), bytes.size()).get().convert(out);
      return true;
    } catch (const std::exception& fault) {
      program::error("the record does not read", {{"why", fault.what()}});
      return false;
    }
  }

  bool persist() {
    msgpack::sbuffer out;
    msgpack::pack(out, service_->record());
    const std::string record(out.data(), out.size());
    const double from = now();
    for (std::error_code error; (error = store_.write(record));) {
      // What can't be kept must not be said: nothing else goes on meanwhile, as while a disk stalls.
      program::error("cannot write", {{"why", error.message()}});
      if (now() - from > kWriteTimeout) {
        status_ = 1;
        io_.stop();
        return false;
      }
      std::this_thread::sleep_for(kWritePause);
    }
    if (now() - from > kSlowWrite) program::warn("slow disk", {{"ms", now() - from}});
    return true;
  }

  // --- Settings ---
  unsigned seats() const { return 2 * settings_.bearsMachines + 1; }

  void reloadSettings(bool asked) {
    const auto fresh = file_.look(now(), asked);
    if (!fresh) return;
    settings_ = *fresh;
    service_->setSeats(seats());
    service_->setRegions(config::regionsOf(settings_));
    for (const auto& seed : settings_.seeds) peers_.dial(seed.ip);
  }

  static double draw(void* self) {
    return std::uniform_real_distribution<double>(0, 1)(static_cast<ConfigStoreServer*>(self)->random_);
  }

  // --- Effects ---
  void carryOut(const Effects& effects) {
    for (const Effect& effect : effects) {
      if (std::holds_alternative<Persist>(effect)) {
        if (!persist()) return;  // and nothing that follows is said
      } else {
        std::visit([this](const auto& e) { carryOutOne(e); }, effect);
      }
    }
  }
  void carryOutOne(const Persist&) {}
  void carryOutOne(const SendToStore& e) { peers_.send(e.to, e.message, service_->record()); }
  void carryOutOne(const SendToReaders& e) {
    const std::string frame = std::visit([](const auto& m) { return rpc::frame(m); }, e.message);
    for (const ReaderId id : e.to)
      if (const auto found = links_.find(id); found != links_.end()) found->second->send(frame);
  }
  void carryOutOne(const CloseReader& e) {
    if (const auto found = links_.find(e.reader); found != links_.end()) found->second->close();
  }
  void carryOutOne(const DialStore& e) { peers_.dial(e.ip); }
  void carryOutOne(const OrderJudged& e) {
    program::info("order",
                  {{"what", e.what}, {"subject", e.subject}, {"status", e.status}, {"text", e.text}});
  }
  void carryOutOne(const LeadershipGained& e) {
    program::info("leads", {{"term", e.term}, {"index", e.index}});
  }
  void carryOutOne(const LeadershipLost& e) { program::info("leads no more", {{"term", e.term}}); }
  void carryOutOne(const StallDetected&) { program::warn("stood still", {}); }

  // --- The other stores ---
  rpc::Handshake handshake() const {
    return {"config_store",   settings_.name,          settings_.ip, settings_.zone,
            settings_.region, service_->record().self, {},           0};
  }

  void storeReached(const LinkPtr& link) {
    link->tell(handshake());
    carryOut(service_->storeReached(now()));
  }

  // What the other stores say, on links that they or this one have dialled. False: none of it.
  bool fromStore(const Arrived& arrived) {
    switch (arrived.kind) {
      case rpc::kAppendRequest:
        receive<rpc::AppendRequest>(arrived);
        break;
      case rpc::kAppendResponse:
        receive<rpc::AppendResponse>(arrived);
        break;
      case rpc::kVoteRequest:
        receive<rpc::VoteRequest>(arrived);
        break;
      case rpc::kVoteResponse:
        receive<rpc::VoteResponse>(arrived);
        break;
      case rpc::kTimeoutNow:
        receive<rpc::TimeoutNow>(arrived);
        break;
      case rpc::kStatePiece:
        receive<rpc::StatePiece>(arrived);
        break;
      case rpc::kStatePieceResponse:
        receive<rpc::StatePieceResponse>(arrived);
        break;
      case rpc::kJoin:
        joinRequested(arrived);
        break;
      case rpc::kLeave:
        if (rpc::Leave m; arrived.read(m)) carryOut(service_->leaveAnnounced(m.from, now(), m.incarnation));
        break;
      default:
        return false;
    }
    return true;
  }

  template <class Message>
  void receive(const Arrived& arrived) {
    if (Message m; arrived.read(m)) carryOut(service_->fromStore(m, now()));
  }

  void joinRequested(const Arrived& arrived) {
    rpc::Join m;
    if (!arrived.read(m)) return;
    peers_.learn(m.member.id, m.member.ip, now());
    carryOut(service_->joinRequested(m.member, now()));
  }

  void askToJoin(double at) {
    if (!service_->wantsToJoin(at) || at < joinAt_) return;
    joinAt_ = at + kJoinPause;
    peers_.sendToAll(rpc::Join{{service_->record().self, settings_.ip}});
  }

  // --- Links that others have dialled ---
  void arrivedOn(const LinkPtr& link, const Arrived& arrived) {
    if (!link->open()) return;
    if (const auto reader = ids_.find(link); reader != ids_.end()) return fromReader(reader->second, arrived);
    rpc::Handshake m;
    if (arrived.kind != rpc::kHandshake) {
      if (!fromStore(arrived)) link->close();
    } else if (arrived.read(m)) {
      greeted(link, m);
    }
  }

  void greeted(const LinkPtr& link, const rpc::Handshake& m) {
    if (m.role == "config_store") {
      peers_.learn(m.incarnation, m.ip, now());
      peers_.dialledBy(m.incarnation, link);
      return;
    }
    const ReaderId id = ++lastReader_;
    links_[id] = link;
    ids_[link] = id;
    carryOut(service_->readerGreeted(id, now()));
  }

  void linkEnded(const LinkPtr& link) {
    const auto found = ids_.find(link);
    if (found == ids_.end()) return;
    service_->readerEnded(found->second);
    links_.erase(found->second);
    ids_.erase(found);
  }

  void fromReader(ReaderId id, const Arrived& arrived) {
    switch (arrived.kind) {
      case rpc::kCommandRequest:
        return ask<rpc::CommandRequest>(id, arrived);
      case rpc::kReadRequest:
        return ask<rpc::ReadRequest>(id, arrived);
      case rpc::kLeaseRequest:
        return ask<rpc::LeaseRequest>(id, arrived);
      case rpc::kConfirmationRequest:
        return ask<rpc::ConfirmationRequest>(id, arrived);
      default:
        return;
    }
  }

  template <class Request>
  void ask(ReaderId id, const Arrived& arrived) {
    if (Request m; arrived.read(m)) carryOut(service_->fromReader(id, m, now()));
  }

  // While it is a member and hears a leader, it needs no link but to the members and to those that apply.
  void keepPeers(double at) {
    if (service_->wantsToJoin(at)) {
      for (const auto& seed : settings_.seeds) peers_.dial(seed.ip);
      unsettledAt_ = at;
    }
    if (at - unsettledAt_ < kSettled) return;
    unsettledAt_ = at;  // and looks again after as long
    std::set<std::string> ips;
    for (const auto* members : {&service_->record().members, &service_->record().former})
      for (const auto& member : *members) ips.insert(member.ip);
    peers_.keepOnly(ips, at);
  }

  void report(double at) {
    if (at < reportAt_) return;
    reportAt_ = at + kReportPause;
    rpc::logTraffic();
  }

  // --- Time and signals ---
  void tick() {
    reloadSettings(false);
    const double at = now();
    carryOut(service_->tick(at));
    keepPeers(at);
    askToJoin(at);
    report(at);
    timer_.expires_after(kTick);
    timer_.async_wait([this](const rpc::Error& error) {
      if (!error) tick();
    });
  }

  void waitForSignal() {
    signals_.async_wait([this](const rpc::Error& error, int number) {
      if (error) return;
      if (number == SIGHUP) return reloadSettings(true), waitForSignal();
      program::info("ends", {{"signal", number}});
      rpc::logTraffic();
      leave();
    });
  }

  void leave() {
    peers_.sendToAll(rpc::Leave{service_->record().self, service_->incarnation()});
    carryOut(service_->transferLeadership(now()));
    endTimer_.expires_after(kLeavePause);
    endTimer_.async_wait([this](const rpc::Error&) {
      peers_.close();
      io_.stop();
    });
  }

  asio::io_context& io_;
  program::SettingsFile file_;
  config::Settings settings_;
  Store store_;
  std::optional<Service> service_;
  Peers peers_;
  rpc::Acceptor acceptor_;
  asio::steady_timer timer_, endTimer_{io_};
  asio::signal_set signals_;
  std::mt19937_64 random_;
  std::map<ReaderId, LinkPtr> links_;
  std::map<LinkPtr, ReaderId> ids_;
  ReaderId lastReader_ = 0;
  double joinAt_ = 0, reportAt_ = 0, unsettledAt_ = now();
  int status_ = 0;
};

}  // namespace
}  // namespace burlwind::config_store

// NOLINTNEXTLINE(bugprone-exception-escape): what nobody can handle ends the process with its message
int main(int argc, const char** argv) {
  using namespace burlwind;
  constexpr program::Needs needs{.disk = true};
  auto started = program::start(argc, argv, "config_store",
                                "- keeps the configuration, agreed with the other stores", needs);
  if (!started.settings) return started.status;
  boost::asio::io_context io{1};
  program::SettingsFile file(started.settingsPath, *started.settings, needs);
  return config_store::ConfigStoreServer(io, std::move(file), std::move(*started.settings)).run();
}
