// Tokens on their way from the holder of the quotas over the registries to the proxies, in virtual time from
// a seed: messages that come late, twice or not at all, links that are lost, processes that stand still, end
// and start anew, and holders that follow each other while grants are under way. The judge counts what is let
// in.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include "distributed_quota/aggregator.hpp"
#include "distributed_quota/allocator.hpp"
#include "distributed_quota/token_cache.hpp"

namespace burlwind::distributed_quota {
namespace {

struct Troubles {
  double lost = 0, late = 0;                         // part of the messages
  double repeatedRequests = 0, repeatedAnswers = 0;  // part of them
  double freezes = 0, restarts = 0;                  // of each process a second
  double holderChanges = 0;                          // a second
  bool alwaysInTouch = false;                        // no proxy spends a part of its own
  bool numbersIgnored = false;                       // planted: a second answer counts for another request
};

class Quotas {
 public:
  Quotas(unsigned seed, Limit limit, Troubles troubles) : random_(seed), limit_(limit), troubles_(troubles) {
    for (unsigned i = 0; i < kProxies; ++i) start(proxies_[i]);
    allocator_.clear(0);
  }
  void play(double lengthMs, double askedPerS) {
    for (now_ = 0; now_ < lengthMs; now_ += kStepMs) {
      trouble();
      deliver();
      for (unsigned i = 0; i < kProxies; ++i) stepProxy(i, askedPerS / kProxies);
      for (unsigned r = 0; r < kRegistries; ++r)
        if (awake(registries_[r]) && due(100)) askHolder(r);
      if (due(500)) hearPromises(true);
      countWindow();
    }
  }
  std::size_t mostInWindow() const { return most_; }
  double let() const { return let_; }
  double granted() const { return granted_; }
  // Tokens out of nothing, by what all lives of cells and proxies say that they received and lent.
  double created() const {
    double received = received_;
    for (const auto& p : proxies_) received += counted(p.cache.tokens(now_), TokenEvent::received);
    double toCells = toCells_;
    double lent = lent_;
    for (const auto& r : registries_) {
      toCells += counted(r.aggregator.tokens(now_), TokenEvent::received);
      lent += counted(r.aggregator.tokens(now_), TokenEvent::lent);
    }
    return std::max(0.0, toCells - granted_) + std::max(0.0, received - lent);
  }
  std::uint64_t dropped() const {
    std::uint64_t sum = dropped_;
    for (const auto& p : proxies_) sum += p.cache.dropped();
    for (const auto& r : registries_) sum += r.aggregator.dropped();
    return sum;
  }

 private:
  static constexpr unsigned kRegistries = 3, kPerRegistry = 4, kProxies = kRegistries * kPerRegistry;
  static constexpr double kStepMs = 5, kWindowMs = 5000, kSilenceMs = 1300, kLeaseMs = 900;

  struct Process {
    std::uint64_t incarnation = 1;
    double frozenUntil = 0;
  };
  struct Proxy : Process {
    TokenCache cache;
    double heardAt = 0;
    std::deque<double> waiting;  // requests: until when
    unsigned queued = 0;         // came while it stood still
  };
  struct Registry : Process {
    QuotaAggregator aggregator;
    std::uint64_t newestEpoch = 0;
  };
  struct Message {
    double at = 0;
    std::function<bool()> awake;  // whether its receiver runs
    std::function<void()> act;
  };

  static double counted(const std::vector<TenantTokens>& tenants, TokenEvent event) {
    double sum = 0;
    for (const TenantTokens& tenant : tenants) sum += tenant.figures.count(event);
    return sum;
  }
  bool chance(double part) { return std::uniform_real_distribution<double>(0, 1)(random_) < part; }
  bool perSecond(double rate) { return chance(rate * kStepMs / 1000); }
  bool due(double everyMs) const { return std::fmod(now_, everyMs) < kStepMs; }
  bool awake(const Process& p) const { return now_ >= p.frozenUntil; }
  void hearPromises(bool all) {
    for (const auto& level : allocator_.promises(all)) told_ = level.level;
  }

  void start(Proxy& proxy) {
    dropped_ += proxy.cache.dropped();
    received_ += counted(proxy.cache.tokens(now_), TokenEvent::received);
    proxy.cache = TokenCache{now_};
    proxy.cache.setProxies(kProxies, 20);
    proxy.waiting.clear(), proxy.queued = 0;
    ++proxy.incarnation;
  }

  void trouble() {
    for (auto& p : proxies_) {
      if (perSecond(troubles_.freezes))
        p.frozenUntil = now_ + 200 + 100 * static_cast<double>(random_() % 60);
      if (perSecond(troubles_.restarts)) start(p);
    }
    for (auto& r : registries_) {
      if (perSecond(troubles_.freezes))
        r.frozenUntil = now_ + 200 + 100 * static_cast<double>(random_() % 60);
      if (!perSecond(troubles_.restarts)) continue;
      dropped_ += r.aggregator.dropped();
      toCells_ += counted(r.aggregator.tokens(now_), TokenEvent::received);
      lent_ += counted(r.aggregator.tokens(now_), TokenEvent::lent);
      r.aggregator = QuotaAggregator{}, r.newestEpoch = 0, ++r.incarnation;
    }
    if (noHolderUntil_ == 0 && perSecond(troubles_.holderChanges)) noHolderUntil_ = now_ + kLeaseMs;
    if (noHolderUntil_ == 0 || now_ < noHolderUntil_) return;
    noHolderUntil_ = 0;
    ++epoch_;
    allocator_.clear(now_);
    allocator_.begin("t", told_, now_);
  }

  template <class Receiver>
  void send(const Receiver& to, double repeated, std::function<void()> act) {
    if (chance(troubles_.lost)) return;
    const unsigned copies = chance(repeated) ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
      double takes = 5 + static_cast<double>(random_() % 60);
      if (chance(troubles_.late)) takes += 300 + static_cast<double>(random_() % 3000);
      messages_.push_back({now_ + takes, [this, &to] { return awake(to); }, act});
    }
  }
  void deliver() {
    // What a message brings about is sent later, so that nothing is added while it is looked through.
    std::deque<Message> all;
    std::swap(all, messages_);
    for (auto& message : all) {
      if (message.at <= now_ && message.awake())
        message.act();
      else
        messages_.push_back(std::move(message));
    }
  }

  void stepProxy(unsigned i, double perProxy) {
    Proxy& p = proxies_[i];
    Registry& r = registries_[i / kPerRegistry];
    const bool comes = perSecond(perProxy);
    if (!awake(p)) {
      p.queued += comes;
      return;
    }
    if (due(400) && awake(r)) p.heardAt = now_;
    const bool linked = troubles_.alwaysInTouch || now_ - p.heardAt < kSilenceMs;
    const Contact contact = linked ? Contact::held : Contact::lost;
    p.cache.setContact(troubles_.alwaysInTouch ? Contact::held : p.cache.answered(contact, now_), now_);
    for (unsigned n = std::exchange(p.queued, 0) + comes; n > 0; --n) come(p);
    std::erase_if(p.waiting, [&](double until) {
      const Admit admit = p.cache.again("t", limit_.rate, now_ >= until, now_);
      if (admit == Admit::yes) letIn();
      return admit != Admit::wait;
    });
    if (due(100) || !p.waiting.empty()) askRegistry(i);
  }
  void come(Proxy& p) {
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const Admit admit = p.cache.admit("t", limit_.rate, limit_.burst, draw, now_);
    if (admit == Admit::yes) letIn();
    if (admit == Admit::wait) p.waiting.push_back(now_ + 350);
  }
  void letIn() { ++let_, times_.push_back(now_); }

  void askRegistry(unsigned i) {
    Proxy& p = proxies_[i];
    Registry& r = registries_[i / kPerRegistry];
    const rpc::TokenRequest request = p.cache.request(now_);
    if (request.demands.empty()) return;
    ofProxy_[i].push_back(request.number);
    const QuotaAggregator::Asker asker{std::to_string(i), p.incarnation, request.number};
    send(r, troubles_.repeatedRequests, [this, &r, i, asker, request] {
      std::vector<QuotaAggregator::Answer> answers;
      for (const auto& demand : request.demands) r.aggregator.demand(asker, demand, now_, answers);
      tell(answers);
      askHolder(i / kPerRegistry);
    });
  }
  void tell(const std::vector<QuotaAggregator::Answer>& answers) {
    for (const auto& answer : answers) {
      const unsigned i = static_cast<unsigned>(std::stoul(answer.to.proxy));
      Proxy& p = proxies_[i];
      send(p, troubles_.repeatedAnswers, [this, &p, i, answer] {
        if (answer.to.incarnation != p.incarnation) return;  // its link has ended with it
        p.cache.granted(numberFor(ofProxy_[i], answer.to.number), answer.grant, now_);
      });
    }
  }

  // As told; with the planted bug a second answer counts for the oldest request that is still under way.
  std::uint64_t numberFor(std::deque<std::uint64_t>& underWay, std::uint64_t told) const {
    if (!troubles_.numbersIgnored || std::erase(underWay, told) > 0 || underWay.empty()) return told;
    const std::uint64_t oldest = underWay.front();
    underWay.pop_front();
    return oldest;
  }

  void askHolder(unsigned index) {
    Registry& r = registries_[index];
    const rpc::TokenRequest request = r.aggregator.request(now_);
    if (request.demands.empty()) return;
    ofRegistry_[index].push_back(request.number);
    send(holder_, troubles_.repeatedRequests, [this, &r, index, request, incarnation = r.incarnation] {
      if (noHolderUntil_ > 0) return;
      for (const auto& demand : request.demands) {
        const auto given =
            allocator_.take(std::to_string(index), "t", limit_, demand.want, demand.asked, now_);
        granted_ += given.granted;
        hearPromises(false);
        const rpc::TokenGrant grant{"t", given.granted, given.use, given.empty};
        send(r, troubles_.repeatedAnswers,
             [this, &r, index, grant, incarnation, number = request.number, epoch = epoch_] {
               if (incarnation != r.incarnation || epoch < r.newestEpoch) return;
               r.newestEpoch = epoch;
               std::vector<QuotaAggregator::Answer> answers;
               r.aggregator.granted(numberFor(ofRegistry_[index], number), grant, now_, answers);
               tell(answers);
             });
      }
    });
  }

  void countWindow() {
    while (!times_.empty() && now_ - times_.front() > kWindowMs) times_.pop_front();
    most_ = std::max(most_, times_.size());
  }

  std::mt19937_64 random_;
  const Limit limit_;
  const Troubles troubles_;
  Proxy proxies_[kProxies];
  Registry registries_[kRegistries];
  Process holder_;
  QuotaAllocator allocator_;
  std::deque<Message> messages_;
  // Of the planted bug: the requests under way, oldest first.
  std::map<unsigned, std::deque<std::uint64_t>> ofProxy_, ofRegistry_;
  std::deque<double> times_;
  double now_ = 0, told_ = 0, noHolderUntil_ = 0, let_ = 0, granted_ = 0;
  double toCells_ = 0, lent_ = 0, received_ = 0;  // of lives that have ended
  std::uint64_t epoch_ = 1, dropped_ = 0;
  std::size_t most_ = 0;
};

double boundOf(const Limit& l) { return (l.rate * 5 + l.burst) * 1.1 + 20; }

TEST_CASE(
    "no token is spent twice: messages late, twice and lost, holders that change, processes that stand "
    "still") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Troubles troubles{.lost = 0.02,
                      .late = 0.03,
                      .repeatedAnswers = 1,
                      .freezes = 0.03,
                      .restarts = 0.02,
                      .holderChanges = 0.1,
                      .alwaysInTouch = true};
    Quotas quotas(seed, {100, 100}, troubles);
    quotas.play(20000, seed % 2 ? 400 : 80);
    CHECK(quotas.created() == 0);
    CHECK(quotas.let() <= quotas.granted());
    CHECK(quotas.let() > 500);
    CHECK(quotas.dropped() > 100);
  }
}

TEST_CASE(
    "a quota holds over restarts, stops, lost links, late and repeated messages, and changes of its holder") {
  for (const Limit limit : {Limit{40, 40}, Limit{150, 150}})
    for (unsigned seed = 1; seed <= 20; ++seed) {
      CAPTURE(seed);
      Troubles troubles{.lost = 0.03,
                        .late = 0.05,
                        .repeatedRequests = 0.1,
                        .repeatedAnswers = 0.1,
                        .freezes = 0.04,
                        .restarts = 0.03,
                        .holderChanges = 0.15};
      Quotas quotas(seed, limit, troubles);
      quotas.play(30000, limit.rate * (seed % 2 ? 8 : 1.2));
      CHECK(static_cast<double>(quotas.mostInWindow()) <= boundOf(limit));
      CHECK(quotas.let() > limit.rate * 6);
    }
}

TEST_CASE("second answers that count for other requests are found: tokens are spent twice") {
  Troubles troubles{.repeatedAnswers = 1, .alwaysInTouch = true, .numbersIgnored = true};
  unsigned found = 0;
  for (unsigned seed = 1; seed <= 5; ++seed) {
    Quotas quotas(seed, {100, 100}, troubles);
    quotas.play(20000, 400);
    found += quotas.created() > 0;
  }
  CHECK(found == 5);
}

}  // namespace
}  // namespace burlwind::distributed_quota
