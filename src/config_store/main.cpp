// config_store: the store of configuration and evacuations. Wires the agreement (src/consensus), the disk and
// the links to the other stores and to the registries; all decisions stand in consensus and ledger.
//
// Disk writes block the loop on purpose: a replica whose disk stalls says nothing meanwhile, so that another
// one leads, and what it wakes with is old by number.
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <deque>
#include <random>
#include <thread>

#include "config_store/ledger.hpp"
#include "config_store/store.hpp"
#include "consensus/core.hpp"
#include "lease/lease.hpp"
#include "program/log.hpp"
#include "program/settings_file.hpp"
#include "program/start.hpp"
#include "rpc/link.hpp"
#include "rpc/traffic.hpp"

namespace burlwind::config_store {
namespace {

namespace asio = boost::asio;
using program::now;
using rpc::Arrived;
using rpc::Link;
using LinkPtr = std::shared_ptr<Link>;

constexpr auto kTick = std::chrono::milliseconds(50);
constexpr double kProcessStallThreshold = 1000;  // ms between two ticks: this process stood still
constexpr double kJoinPause = 300;               // ms
constexpr double kConfirmationPause = 300;       // ms
constexpr double kReportPause = 10000;           // ms between two lines of what was sent and received
constexpr double kWriteWithin = 10000;           // ms, until a process whose disk refuses all ends

std::uint64_t drawId() {
  std::random_device device;
  return (std::uint64_t{device()} << 32 | device()) | 1;
}

// At the first start of all, and then alone, the seeds are the members; each finds the others' ids by their
// addresses. The top bit keeps these ids apart from drawn ones.
std::uint64_t firstId(const std::string& ip) {
  std::uint64_t hash = 1469598103934665603ull;
  for (const char c : ip) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  return hash | std::uint64_t{1} << 63;
}

class ConfigStoreServer {
 public:
  ConfigStoreServer(asio::io_context& io, program::SettingsFile file, config::Settings settings)
      : io_(io),
        file_(std::move(file)),
        settings_(std::move(settings)),
        store_(settings_.dataFolder),
        acceptor_(io),
        timer_(io),
        signals_(io, SIGTERM, SIGINT, SIGHUP),
        random_(drawId()) {}

  int run() {
    if (!load()) return 1;
    if (const auto error = acceptor_.listen(
            settings_.ip, settings_.portFrom, [this](const LinkPtr& l, const Arrived& a) { arrivedOn(l, a); },
            [this](const LinkPtr& l) { readers_.erase(l); })) {
      program::error("cannot listen", {{"port", settings_.portFrom}, {"why", error.message()}});
      return 1;
    }
    for (const auto& seed : settings_.seeds) dial(seed.ip);
    for (const auto& m : core_->record().members) dial(m.ip);
    lastTick_ = now();
    tick();
    wait();
    io_.run();
    return status_;
  }

 private:
  bool load() {
    std::string bytes;
    if (const auto error = store_.open(bytes)) {
      program::error("cannot open the store", {{"folder", settings_.dataFolder}, {"why", error.message()}});
      return false;
    }
    consensus::PersistentState record;
    bool known = false;
    if (!bytes.empty()) try {
        msgpack::unpack(bytes.data(), bytes.size()).get().convert(record);
        known = true;
      } catch (const std::exception& fault) {
        program::error("the record does not read", {{"why", fault.what()}});
        return false;
      }
    if (!known) begin(record);
    if (!unpack(record.state, state_)) {
      program::error("the state does not read", {});
      return false;
    }
    program::info("starts", {{"id", std::to_string(record.self)},
                             {"empty", !known},
                             {"term", record.term},
                             {"index", record.index},
                             {"version", state_.version},
                             {"members", record.members.size()}});
    core_.emplace(std::move(record), consensus::Timeouts{}, seats(), &ConfigStoreServer::draw, this, now());
    return known || persist();
  }

  unsigned seats() const { return 2 * settings_.bearsMachines + 1; }

  void look(bool asked) {
    const auto fresh = file_.look(now(), asked);
    if (!fresh) return;
    settings_ = *fresh;
    core_->setSeats(seats());
    for (const auto& seed : settings_.seeds) dial(seed.ip);
  }

  void begin(consensus::PersistentState& record) {
    record.self = drawId() & ~(std::uint64_t{1} << 63);
    if (!settings_.firstBoot) return;
    bool seed = false;
    std::vector<rpc::Member> members;
    for (const auto& s : settings_.seeds) {
      members.push_back({firstId(s.ip), s.ip});
      seed = seed || s.ip == settings_.ip;
    }
    if (!seed) return;
    record.self = firstId(settings_.ip);
    record.members = std::move(members);
  }

  static double draw(void* self) {
    return std::uniform_real_distribution<double>(0, 1)(static_cast<ConfigStoreServer*>(self)->random_);
  }

  bool persist() {
    msgpack::sbuffer out;
    msgpack::pack(out, core_->record());
    const std::string record(out.data(), out.size());
    const double from = now();
    for (std::error_code error; (error = store_.write(record));) {
      // What can't be kept must not be said: nothing else goes on meanwhile, as while a disk stalls.
      program::error("cannot write", {{"why", error.message()}});
      if (now() - from > kWriteWithin) {
        status_ = 1;
        io_.stop();
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    if (now() - from > 200) program::warn("slow disk", {{"ms", now() - from}});
    return true;
  }

  // --- Effects ---
  void carryOut(const std::vector<consensus::Effect>& effects) {
    for (const auto& effect : effects) {
      if (std::holds_alternative<consensus::Persist>(effect)) {
        if (!persist()) return;
      } else if (const auto* send = std::get_if<consensus::Send>(&effect)) {
        std::visit([&](const auto& m) { tell(send->to, m); }, send->message);
      } else if (std::holds_alternative<consensus::Committed>(effect)) {
        committed();
      } else if (std::holds_alternative<consensus::Led>(effect)) {
        led();
      } else if (std::holds_alternative<consensus::Stepped>(effect)) {
        stepped();
      } else if (const auto* confirmed = std::get_if<consensus::Confirmed>(&effect)) {
        confirmedRound(confirmed->round);
      }
    }
  }

  template <class Message>
  void tell(std::uint64_t id, const Message& message) {
    const auto found = dialers_.find(ipOf(id));
    if (found != dialers_.end() && found->second->link()) return found->second->link()->tell(message);
    // Whom it has not reached yet may have reached it: after a loss of everything that is the sooner way.
    const auto dialled = dialledBy_.find(id);
    const LinkPtr link = dialled == dialledBy_.end() ? nullptr : dialled->second.lock();
    if (link && link->open()) link->tell(message);
  }
  std::string ipOf(std::uint64_t id) const {
    for (const auto* all : {&core_->record().members, &core_->record().former})
      for (const auto& m : *all)
        if (m.id == id) return m.ip;
    const auto found = ips_.find(id);
    return found == ips_.end() ? std::string() : found->second;
  }

  void committed() {
    unpack(core_->record().state, state_);
    agreedOwner();
    for (auto& [number, link, outcome] : std::exchange(underWay_, {}))
      if (const auto l = link.lock()) l->tell(rpc::CommandResponse{number, outcome.status, outcome.text});
    for (const auto& m : core_->record().members) dial(m.ip);
    pushConfigUpdate();
    asio::post(io_, [this] { proposeNext(); });
  }

  void led() {
    program::info("leads", {{"term", core_->record().term}, {"index", core_->record().index}});
    lease_.lead(state_.owner, now());
    nextOwner_.reset();
    lately_ = {};
    confirmationAt_ = 0;
  }

  void stepped() {
    program::info("leads no more", {{"term", core_->record().term}});
    // Whether what was under way lasts is not known here: the links' ends say so, as no clear answer.
    underWay_.clear(), orders_.clear(), reads_.clear(), leases_.clear(), nextOwner_.reset();
    for (auto& [link, reader] : readers_) link->close();
  }

  void confirmedRound(std::uint64_t round) {
    if (!core_->leads()) return;
    std::erase_if(reads_, [&](auto& read) {
      if (read.round > round) return false;
      if (const auto l = read.link.lock())
        l->tell(rpc::CommandResponse{read.number, 200, state_.configuration});
      return true;
    });
    std::erase_if(leases_, [&](auto& asked) {
      if (asked.round > round) return false;
      answerLease(asked);
      return true;
    });
    // Not from within: what is committed by now may not have been carried out yet.
    if (nextOwner_) asio::post(io_, [this] { proposeNext(); });
    if (now() < confirmationAt_) return;
    confirmationAt_ = now() + kConfirmationPause;
    const rpc::LeaderConfirmation confirmation{core_->record().term, core_->committed(),
                                               lease_.busy(now()) ? state_.owner.ip : std::string(),
                                               state_.owner.epoch, storeIps()};
    for (auto& [link, reader] : readers_) link->tell(confirmation);
  }

  // --- The registries' duties ---
  struct LeaseAsked {
    std::uint64_t round;
    rpc::LeaseRequest ask;
    std::weak_ptr<Link> link;
  };

  void answerLease(const LeaseAsked& asked) {
    if (nextOwner_) return sayLease(asked, 0);  // also to the owner: it may be none in a moment
    const lease::Applicant who{asked.ask.ip, asked.ask.incarnation, asked.ask.epoch, asked.ask.wants};
    const auto say = lease_.ask(state_.owner, who, now());
    if (say == lease::LeaseGrantor::Decision::grant)
      sayLease(asked, lease::kLeaseSpan);
    else if (say == lease::LeaseGrantor::Decision::agree)
      nextOwner_ = asked;  // proposed with the next entry
    else
      sayLease(asked, 0);
  }

  void sayLease(const LeaseAsked& asked, double span) {
    if (const auto link = asked.link.lock())
      link->tell(rpc::LeaseResponse{asked.ask.number, span, state_.owner.epoch});
  }

  // It is the owner that all agree on now, and nobody else was granted anything since it asked.
  void agreedOwner() {
    if (!nextOwner_ || state_.owner.incarnation != nextOwner_->ask.incarnation) return;
    lease_.granted(now());
    sayLease(*nextOwner_, lease::kLeaseSpan);
    nextOwner_.reset();
    confirmationAt_ = 0;
  }

  // --- Readers: the registries ---
  struct Reader {
    std::string ip;
  };
  std::vector<std::string> storeIps() const {
    std::vector<std::string> out;
    for (const auto& m : core_->record().members) out.push_back(m.ip);
    return out;
  }
  rpc::ConfigUpdate news() const {
    std::vector<std::string> zones;
    for (const auto& [zone, count] : state_.evacuated) zones.push_back(zone);
    return {core_->record().term, core_->committed(), state_.configuration, std::move(zones), storeIps()};
  }
  void pushConfigUpdate() {
    if (!core_->leads()) return;
    const std::string frame = rpc::frame(news());
    for (auto& [link, reader] : readers_) link->send(frame);
  }

  void order(const LinkPtr& link, rpc::CommandRequest propose) {
    if (!core_->leads()) return link->tell(rpc::CommandResponse{propose.number, 503, "does not lead"});
    orders_.push_back({std::move(propose), link});
    proposeNext();
  }

  // All that waits becomes one entry, each order judged on top of those before it.
  void proposeNext() {
    if ((orders_.empty() && !nextOwner_) || !core_->mayPropose()) return;
    State next = state_;
    if (nextOwner_) next.owner = {nextOwner_->ask.ip, nextOwner_->ask.incarnation, state_.owner.epoch + 1};
    auto waiting = std::exchange(orders_, {});
    for (auto& [propose, link] : waiting) {
      const Judged judged = apply(next, lately_, propose, now());
      program::info("order", {{"what", propose.what}, {"status", judged.status}, {"text", judged.text}});
      underWay_.push_back({propose.number, link, judged});
    }
    // What changes nothing is answered only once this replica is known to lead still.
    carryOut(core_->propose(pack(next), now()));
  }

  void onReader(const LinkPtr& link, const Arrived& arrived) {
    if (rpc::CommandRequest m; arrived.kind == rpc::kCommandRequest && arrived.read(m))
      return order(link, std::move(m));
    if (rpc::ReadRequest m; arrived.kind == rpc::kReadRequest && arrived.read(m)) {
      if (!core_->leads()) return link->tell(rpc::CommandResponse{m.number, 503, "does not lead"});
      std::vector<consensus::Effect> out;
      const std::uint64_t round = core_->confirm(now(), out);
      reads_.push_back({round, m.number, link});
      carryOut(out);
    } else if (rpc::LeaseRequest m2; arrived.kind == rpc::kLeaseRequest && arrived.read(m2)) {
      if (!core_->leads()) return;
      const LeaseAsked asked{core_->nextRound(), m2, link};
      // What the owner asks waits for the next beat; a change of it is confirmed by its being agreed on.
      if (m2.incarnation == state_.owner.incarnation) return leases_.push_back(asked);
      answerLease(asked);
      proposeNext();
    }
  }

  // --- The other stores ---
  void dial(const std::string& ip) {
    if (ip == settings_.ip || dialers_.contains(ip)) return;
    auto dialer = std::make_shared<rpc::Dialer>(io_, ip, settings_.portFrom);
    dialers_[ip] = dialer;
    dialer->start(
        [this](LinkPtr link) {
          link->tell(hello());
          core_->reached(now());
        },
        [this](const Arrived& arrived) {
          detectStall();
          fromStore(arrived);
        },
        nullptr);
  }

  rpc::Handshake hello() const {
    return {"config_store",   settings_.name,       settings_.ip, settings_.zone,
            settings_.region, core_->record().self, {},           0};
  }

  void arrivedOn(const LinkPtr& link, const Arrived& arrived) {
    detectStall();
    if (!link->open()) return;
    if (readers_.contains(link)) return onReader(link, arrived);
    rpc::Handshake m;
    if (arrived.kind != rpc::kHandshake) {
      if (!fromStore(arrived)) link->close();
    } else if (arrived.read(m)) {
      greet(link, m);
    }
  }

  // What the other stores say, on links that they or this one have dialled. False: none of it.
  bool fromStore(const Arrived& arrived) {
    switch (arrived.kind) {
      case rpc::kAppendRequest:
        feed<rpc::AppendRequest>(arrived);
        break;
      case rpc::kAppendResponse:
        feed<rpc::AppendResponse>(arrived);
        break;
      case rpc::kVoteRequest:
        feed<rpc::VoteRequest>(arrived);
        break;
      case rpc::kVoteResponse:
        feed<rpc::VoteResponse>(arrived);
        break;
      case rpc::kJoin:
        if (rpc::Join m; arrived.read(m)) {
          ips_[m.member.id] = m.member.ip;
          dial(m.member.ip);
          carryOut(core_->join(m.member, now()));
        }
        break;
      case rpc::kLeave:
        if (rpc::Leave m; arrived.read(m)) carryOut(core_->leave(m.from, now()));
        break;
      default:
        return false;
    }
    return true;
  }

  template <class Message>
  void feed(const Arrived& arrived) {
    if (Message m; arrived.read(m)) carryOut(core_->receive(m, now()));
  }

  void greet(const LinkPtr& link, const rpc::Handshake& m) {
    if (m.role == "config_store") {
      ips_[m.incarnation] = m.ip;
      dialledBy_[m.incarnation] = link;
      dial(m.ip);
      return;
    }
    readers_[link] = {m.ip};
    if (core_->leads()) link->tell(news());
    confirmationAt_ = 0;
  }

  // --- Time ---
  // Who has stood still answers nothing that came before it woke: orders may have been sent again meanwhile,
  // and taken back.
  void detectStall() {
    const double at = now();
    const bool stopped = at - lastTick_ > kProcessStallThreshold;
    lastTick_ = at;
    if (!stopped) return;
    program::warn("stood still", {});
    carryOut(core_->tick(at));
    for (auto& [link, reader] : readers_) link->close();
  }

  // What this process has sent and received since its start, by kind of message.
  static void reportTraffic() {
    using Direction = rpc::Traffic::Direction;
    program::info("traffic",
                  {{"in", rpc::traffic().text(Direction::in)}, {"out", rpc::traffic().text(Direction::out)}});
  }

  void tick() {
    detectStall();
    const double at = now();
    look(false);
    if (at >= reportAt_) {
      reportAt_ = at + kReportPause;
      reportTraffic();
    }
    // Who waits for the duties hears at the next beat that they are free.
    if (const bool busy = lease_.busy(at); std::exchange(busy_, busy) && !busy) confirmationAt_ = 0;
    carryOut(core_->tick(at));
    if ((!core_->member() || !core_->leaderIsKnown(at)) && at >= joinAt_) {
      joinAt_ = at + kJoinPause;
      const rpc::Join join{{core_->record().self, settings_.ip}};
      for (auto& [ip, dialer] : dialers_)
        if (dialer->link()) dialer->link()->tell(join);
    }
    timer_.expires_after(kTick);
    timer_.async_wait([this](const rpc::Error& error) {
      if (!error) tick();
    });
  }

  void wait() {
    signals_.async_wait([this](const rpc::Error& error, int number) {
      if (error) return;
      if (number == SIGHUP) return look(true), wait();
      program::info("ends", {{"signal", number}});
      reportTraffic();
      const rpc::Leave leave{core_->record().self};
      for (auto& [ip, dialer] : dialers_)
        if (dialer->link()) dialer->link()->tell(leave);
      endTimer_.expires_after(std::chrono::milliseconds(300));
      endTimer_.async_wait([this](const rpc::Error&) {
        for (auto& [ip, dialer] : dialers_) dialer->close();
        io_.stop();
      });
    });
  }

  struct Pending {
    std::uint64_t number;
    std::weak_ptr<Link> link;
    Judged outcome;
  };
  struct Order {
    rpc::CommandRequest propose;
    std::weak_ptr<Link> link;
  };
  struct Asked {
    std::uint64_t round, number;
    std::weak_ptr<Link> link;
  };

  asio::io_context& io_;
  program::SettingsFile file_;
  config::Settings settings_;
  Store store_;
  std::optional<consensus::Core> core_;
  State state_;  // committed
  Lately lately_;
  lease::LeaseGrantor lease_;
  rpc::Acceptor acceptor_;
  asio::steady_timer timer_, endTimer_{io_};
  asio::signal_set signals_;
  std::mt19937_64 random_;
  std::map<std::string, std::shared_ptr<rpc::Dialer>> dialers_;  // by ip
  std::map<std::uint64_t, std::string> ips_;
  std::map<std::uint64_t, std::weak_ptr<Link>> dialledBy_;  // by the store's id
  std::map<LinkPtr, Reader> readers_;
  std::deque<Order> orders_;
  std::vector<Pending> underWay_;
  std::vector<Asked> reads_;
  std::vector<LeaseAsked> leases_;
  std::optional<LeaseAsked> nextOwner_;  // waits to be agreed on
  double lastTick_ = 0, joinAt_ = 0, confirmationAt_ = 0, reportAt_ = 0;
  int status_ = 0;
  bool busy_ = false;  // somebody may hold the duties
};

}  // namespace
}  // namespace burlwind::config_store

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
