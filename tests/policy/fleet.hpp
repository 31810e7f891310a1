// Many gateways that share nothing but the workers' answers, under virtual time: each answers what it has out
// after a fixed time, and a meter adds up each customer's use by period and tells it late, as workers do.
#pragma once

#include <cmath>
#include <memory>
#include <queue>

#include "policy/recorder.hpp"

namespace irisring::test {

class Fleet {
 public:
  static constexpr Time kServed = 200;    // ms that each attempt is out
  static constexpr Time kToldLate = 600;  // ms from a metered period's end to the answers that tell it

  Fleet(const Settings& settings, const std::vector<Member>& members, Time start = 100000)
      : now(start), settings_(settings) {
    for (unsigned g = 0; g < settings_.gateways; ++g) {
      settings_.self = g;
      sinks_.push_back(std::make_unique<Sink>(*this, g));
      gateways_.emplace_back(settings_, 500 + g, start, *sinks_.back());
      gateways_.back().members(start, ListKind::full, members);
    }
  }

  // Lets time pass; what is due by then is answered.
  void until(Time to) {
    while (!due_.empty() && due_.top().at <= to) {
      const Due next = due_.top();
      due_.pop();
      now = next.at;
      Outcome out;
      out.id = next.id, out.worker = next.worker, out.elapsed = kServed, out.finished = true;
      out.usePercent = percent(next.customer);
      --open[next.customer];
      gateways_[next.gateway].outcome(now, out);
    }
    now = to;
  }

  // Whether it was sent on.
  bool ask(unsigned gateway, unsigned plan, CustomerId customer, unsigned setSize) {
    asked_ = {customer, plan};
    const std::size_t before = sent;
    gateways_[gateway].request(now, {++last_, 0, plan, customer, now + 5000, 1, setSize});
    return sent > before;
  }

  // A gateway that was killed and is back: it knows nothing.
  void restart(unsigned gateway, const std::vector<Member>& members) {
    settings_.self = gateway;
    gateways_[gateway] = Gateway(settings_, 9000 + gateway, now, *sinks_[gateway]);
    gateways_[gateway].members(now, ListKind::cached, members);
  }

  Time now;
  std::size_t sent = 0;
  std::map<CustomerId, unsigned> open;
  std::map<CustomerId, double> ceiling;  // the true store, as the rule has it
  double lowest = 0;                     // of all customers at any time

 private:
  struct Due {
    Time at;
    unsigned gateway;
    RequestId id;
    WorkerId worker;
    CustomerId customer;
    bool operator<(const Due& other) const { return at > other.at; }
  };
  class Sink : public Actions {
   public:
    Sink(Fleet& fleet, unsigned gateway) : fleet_(fleet), gateway_(gateway) {}
    void send(RequestId id, WorkerId worker, Time) override { fleet_.take(gateway_, id, worker); }
    void refuse(RequestId, Time) override {}
    void fail(RequestId) override {}
    void setTimer(Time, std::uint64_t) override {}
    void subscribe() override {}
    void log(const std::string&) override {}

   private:
    Fleet& fleet_;
    const unsigned gateway_;
  };

  void take(unsigned gateway, RequestId id, WorkerId worker) {
    const auto [customer, plan] = asked_;
    ++sent, ++open[customer];
    due_.push({now + kServed, gateway, id, worker, customer});
    use_[customer][periodOf(now)] += 1;
    plan_[customer] = plan;
    const PlanSettings& p = settings_.plans[plan];
    if (p.ceilingRate <= 0) return;
    auto [store, fresh] = ceiling.try_emplace(customer, p.ceilingBurst);
    if (!fresh)
      store->second = std::min(p.ceilingBurst, store->second + p.ceilingRate * (now - at_[customer]) / 1000);
    at_[customer] = now;
    store->second -= 1;
    lowest = std::min(lowest, store->second);
  }

  long periodOf(Time t) const { return static_cast<long>(std::floor(t / settings_.meterPeriod)); }

  int percent(CustomerId customer) {
    const long told = periodOf(now - kToldLate) - 1;
    const auto use = use_[customer].find(told);
    const double units = use == use_[customer].end() ? 0 : use->second;
    const PlanSettings& p = settings_.plans[plan_[customer]];
    return static_cast<int>(std::lround(100 * units / (p.rate * settings_.meterPeriod / 1000)));
  }

  Settings settings_;
  std::vector<std::unique_ptr<Sink>> sinks_;
  std::vector<Gateway> gateways_;
  std::priority_queue<Due> due_;
  std::map<CustomerId, std::map<long, double>> use_;
  std::map<CustomerId, unsigned> plan_;
  std::map<CustomerId, Time> at_;
  std::pair<CustomerId, unsigned> asked_;
  RequestId last_ = 0;
};

}  // namespace irisring::test
