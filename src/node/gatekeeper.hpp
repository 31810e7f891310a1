// One gatekeeper: the decision module between the clients' side, the workers' side and discovery. It turns
// socket events into the module's events and the module's actions into socket work, and decides nothing.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "admin/server.hpp"
#include "handover/link.hpp"
#include "irisring/decide.hpp"
#include "lifecycle/core.hpp"
#include "metrics/figures.hpp"
#include "node/client_server.hpp"
#include "node/config.hpp"
#include "node/discovery.hpp"
#include "node/keeper.hpp"
#include "node/worker_pool.hpp"
#include "operator/operator.hpp"
#include "recovery/core.hpp"

namespace burlwind {

// The module's one clock: it counts with the steady clock from the Unix time of its making, so that it never
// steps and a worker's start, told in Unix time, is on it as it is.
class ModuleClock {
 public:
  irisring::Time now() const {
    const std::chrono::duration<double, std::milli> passed = std::chrono::steady_clock::now() - steady_;
    return unix_ + passed.count();
  }

 private:
  const std::chrono::steady_clock::time_point steady_ = std::chrono::steady_clock::now();
  const double unix_ =
      std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
};

class Gatekeeper : private irisring::Actions, private Holder {
 public:
  // `files`: where the operator file has a state kept.
  Gatekeeper(boost::asio::io_context& io, const Config& config, const OperatorSettings& settings = {},
             std::unique_ptr<snapshot::Files> files = nullptr);
  ~Gatekeeper() override;

  void start();
  // Moves to the discovery that a new configuration names, and to what new settings say of checks; what waits
  // for a check is asked anew. All else that may differ waits for a restart. Throws std::runtime_error, with
  // nothing changed, if a route of the checks names a class or a plan that is not there.
  void reload(const Config& config, const OperatorSettings& settings);
  // SIGTERM: goes on for a while, finishes what is held, then calls `done`.
  void drain(std::function<void()> done);

  boost::asio::ip::tcp::endpoint address() const { return server_.address(); }
  std::size_t connections() const { return server_.connections(); }  // of clients
  const admission::Settings& admission() const { return server_.admission(); }
  bool ready() const { return conduct_.saysReady; }
  lifecycle::State state() const { return life_.state(); }
  // Where operators call; only with such an address in the configuration.
  boost::asio::ip::tcp::endpoint operators() const { return admin_->address(); }
  // With another process of this gatekeeper; only where a socket is passed.
  const handover::Link& link() const { return *link_; }
  const metrics::Figures& counted() const { return figures_; }
  std::size_t held() const { return held_.size(); }
  std::size_t bytesHeld() const { return budget_.held(); }  // of messages, over all connections
  const auth::Answers& answers() const { return answers_; }
  auth::Counts checks() const { return asking_ ? asking_->core().counts() : auth::Counts{}; }
  const readahead::Pool& ahead() const { return server_.ahead(); }  // of long answers
  const recovery::Core& recovery() const { return recovery_; }
  std::size_t listed() const { return listed_.size(); }  // workers that may be sent to

 private:
  struct Held {
    Held(boost::asio::io_context& io) : deadline(io) {}
    std::uint64_t clientsId = 0;
    ClientMessage message;  // until the first attempt, which makes the next two of it
    std::string head;       // as it goes on, but for the deadline
    std::shared_ptr<const std::string> body;
    std::shared_ptr<Upload> upload;  // a long body, in place of that
    bool whole = true;               // all of it has come
    bool passing = false;            // its long answer has begun to go out: it is the final one
    std::shared_ptr<Asker> asker;
    Call call;
    bool checking = false;  // waits for a verdict: the module has not heard of it
    irisring::Time expires = 0;
    boost::asio::steady_timer deadline;
    unsigned attempts = 0;
  };

  // Holder
  bool holds(std::uint64_t clientsId) const override { return clientsIds_.contains(clientsId); }
  irisring::RequestId nextId() override { return ++lastId_; }
  void take(irisring::RequestId id, const Call& call, ClientMessage&& message,
            const std::shared_ptr<Asker>& asker, const std::shared_ptr<Upload>& upload) override;
  void whole(irisring::RequestId id, irisring::Time patience) override;
  void room(irisring::RequestId id) override { pool_.resume(id); }
  void left(irisring::RequestId id) override;
  bool isQuestion(std::string_view target) const override {
    return auth::isQuestion(answers_.settings(), target);
  }
  Answer question(const http::request_header<>& head, const std::string& from) override;
  metrics::Figures& figures() override { return figures_; }

  // Actions
  void send(irisring::RequestId id, irisring::WorkerId worker, irisring::Time timeout) override;
  void refuse(irisring::RequestId id, irisring::Time retryAfter, irisring::Reason reason) override;
  void fail(irisring::RequestId id, irisring::Reason reason) override { fail(id, metrics::Why(reason)); }
  void setTimer(irisring::Time wait, std::uint64_t tag) override;
  void subscribe() override {}  // the watch is always open
  void log(const std::string& line) override;

  void watch(const boost::asio::ip::tcp::endpoint& agent, long long from);
  void told(const Roster& roster, irisring::ListKind kind);
  irisring::Member memberOf(const Instance& instance) const;
  void ended(AttemptEnd&& end);
  void noteNews(irisring::Outcome& outcome);
  bool begun(LongAnswer&& answer);
  bool more(irisring::RequestId id, std::string&& piece);
  void waitUntil(irisring::RequestId id, Held& held, irisring::Time expires);
  void check(irisring::RequestId id, Held& held);
  void decided(irisring::RequestId id, auth::Told told, const auth::VerdictPtr& verdict);
  void admit(irisring::RequestId id, const Held& held);
  void deny(irisring::RequestId id, const auth::Verdict& verdict);
  void unchecked(irisring::RequestId id, auth::Told told = auth::Told::down);
  void checkNames(const OperatorSettings& settings) const;
  void startAsking(const OperatorSettings& settings);
  auth::Said said(const http::request_header<>& head, const std::string& from);
  void countOut();
  void fail(irisring::RequestId id, metrics::Why why);
  void tellLater();
  void tell();
  void follow(const Config& config);
  void expire(irisring::RequestId id);
  void giveUpAll();
  // Coming back, as its core decides it: what is handled now may be the first after a stop.
  void beat();
  void woke(irisring::Time since);
  void tellRecovery(bool changed);
  std::string recoveryFigures() const;
  // What the module sent while the list may be stale, and what becomes of it once that is known.
  struct Postponed {
    irisring::RequestId id = 0;
    irisring::WorkerId worker = 0;
    irisring::Time timeout = 0;
    unsigned attempt = 0;
    double startedAt = 0;  // the worker, as it was listed
  };
  void start(irisring::RequestId id, Held& held, const Postponed& attempt);
  void sendPostponed();
  // State that outlives the process.
  std::unique_ptr<Keeper> keeperOf(std::unique_ptr<snapshot::Files> files);
  snapshot::Snapshot stateNow();
  void takeUpStored();
  double startOf(irisring::WorkerId worker) const;
  // The life of the process, as its core decides it.
  void live(lifecycle::Event event);
  void conduct();
  void emptied();
  // What a timer or the loop does next, unless this is gone by then: one that has fired already runs on.
  template <class Do>
  auto later(Do act) {
    return
        [this, alive = std::weak_ptr<bool>(alive_), act = std::move(act)](const Error& error = {}) mutable {
          if (error || alive.expired()) return;
          beat();
          act();
        };
  }
  // Where two processes are one gatekeeper: what they tell each other.
  void join();
  void serve();
  snapshot::Snapshot handOver();
  bool takeOver(snapshot::Snapshot&& snapshot);
  void actAs(double part);
  void returnAll();
  std::string handedOverSettings() const;
  admin::Reply called(admin::Call call);
  void reportUnsent(irisring::RequestId id, unsigned attempt, irisring::WorkerId worker,
                    irisring::Result result);
  void answer(irisring::RequestId id, Answer&& answer);
  void release(std::unordered_map<irisring::RequestId, Held>::iterator held);

  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  boost::asio::io_context& io_;
  Config config_;
  const OperatorSettings operator_;
  const ModuleClock clock_;
  const std::unique_ptr<Keeper> keeper_;  // none: nothing is kept on a disk
  recovery::Core recovery_;
  std::minstd_rand draws_;   // of the times at which who is refused is to come back
  irisring::Time lastBeat_;  // something was handled, so it was not stopped then
  std::vector<Postponed> postponed_;
  boost::asio::steady_timer recoveryChanges_, postponedUntil_, outUntil_;
  metrics::Figures figures_;
  Budget budget_;
  WorkerPool pool_;
  ClientServer server_;
  std::unordered_set<irisring::WorkerId> listed_;
  std::unordered_map<irisring::WorkerId, double> starts_;  // of these, as they were listed
  std::map<std::string, Instance> instances_;              // the list as it was last told
  bool heardDiscovery_ = false;                            // itself, and not what was known of it
  std::unordered_map<irisring::RequestId, Held> held_;
  std::unordered_set<std::uint64_t> clientsIds_;  // of what is held
  irisring::RequestId lastId_ = 0;
  irisring::Gateway gateway_;
  std::unique_ptr<Discovery> discovery_;
  unsigned watches_ = 0;                  // of discovery, one after another
  std::unique_ptr<auth::Asking> asking_;  // none: nothing is checked
  auth::Answers answers_;
  boost::asio::steady_timer out_;  // when what was let go counts as out no longer
  bool countingOut_ = false;
  boost::asio::steady_timer tell_;
  bool telling_ = false;
  std::uint64_t unservedTold_ = 0;  // refusals and failures, when it was last told of them
  lifecycle::Core life_;
  lifecycle::Conduct conduct_;
  boost::asio::steady_timer lifeChanges_;
  bool living_ = false;                   // an event of its life is being followed
  std::function<void()> done_;            // once it has ended
  std::unique_ptr<admin::Server> admin_;  // none: operators call nowhere
  std::size_t descriptorsElsewhere_ = 0;  // that the process which handed over held then
  bool serving_ = false;                  // it accepts, or has
  std::unordered_map<irisring::CustomerId, unsigned>
      outElsewhere_;                      // attempts of the process that handed over
  std::unique_ptr<handover::Link> link_;  // none: no socket is passed, and nobody takes over
};

}  // namespace burlwind
