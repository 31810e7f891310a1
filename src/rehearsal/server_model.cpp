#include "rehearsal/server_model.hpp"

#include <algorithm>
#include <cmath>

namespace burlwind::rehearsal {

double coldBudget(double multiple, double capacity, double span, double largest) {
  return multiple * capacity * span + largest;
}

ServerModel::ServerModel(const ServerFigures& figures, double startedAt)
    : figures_(figures), startedAt_(startedAt) {}

double ServerModel::warmth(double now) const {
  const double part = figures_.warmMs > 0 ? (now - startedAt_) / figures_.warmMs : 1;
  return figures_.coldFrom + (1 - figures_.coldFrom) * std::clamp(part, 0.0, 1.0);
}

bool ServerModel::cold(double now) const { return state_ == State::up && now < startedAt_ + figures_.warmMs; }

double ServerModel::capacity(double now) const {
  return figures_.cores * figures_.speed * warmth(now) * (1 - neighbour_) / slowness_;
}

double ServerModel::util() const {
  return std::min(1.0, neighbour_ + static_cast<double>(running_.size()) / figures_.cores);
}

double ServerModel::rateEach(double now) const {
  if (running_.empty() || state_ != State::up) return 0;
  const double jobs = static_cast<double>(running_.size());
  const double over = std::clamp(jobs / figures_.thrashFrom - 1, 0.0, 1.0);
  const double busy = std::min(1.0, jobs / figures_.cores);
  return capacity(now) * busy * (1 - figures_.thrash * over) / jobs;
}

// Between two events the rate is taken as it is in the middle: warming is slow beside them.
void ServerModel::serve(double now) {
  if (now > at_ && !running_.empty()) served_ += rateEach((at_ + now) / 2) * (now - at_);
  at_ = std::max(at_, now);
}

void ServerModel::fill() {
  while (!waiting_.empty() && running_.size() < figures_.slots) {
    running_.emplace(served_ + waiting_.front().second, waiting_.front().first);
    waiting_.pop_front();
  }
}

bool ServerModel::overdriven(double now, double work) {
  if (!cold(now)) return offered_.clear(), offeredSum_ = 0, false;
  offered_.emplace_back(now, work);
  offeredSum_ += work;
  while (offered_.front().first <= now - figures_.fallSpanMs) {
    offeredSum_ -= offered_.front().second;
    offered_.pop_front();
  }
  double largest = 0;
  for (const auto& [when, amount] : offered_) largest = std::max(largest, amount);
  return offeredSum_ > coldBudget(figures_.fallMultiple, capacity(now), figures_.fallSpanMs, largest);
}

ServerModel::Verdict ServerModel::offer(double now, Job job, double work) {
  serve(now);
  if (state_ != State::up) return Verdict::declined;
  if (overdriven(now, work)) {
    state_ = State::fallen;
    return Verdict::declined;
  }
  if (running_.size() >= figures_.slots && waiting_.size() >= figures_.queue) return Verdict::declined;
  waiting_.emplace_back(job, work);
  fill();
  return Verdict::taken;
}

bool ServerModel::cancelWaiting(double now, Job job) {
  serve(now);
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& waits) { return waits.first == job; });
  if (found == waiting_.end()) return false;
  waiting_.erase(found);
  return true;
}

std::vector<ServerModel::Job> ServerModel::advance(double now) {
  std::vector<Job> done;
  if (state_ != State::up) return done;
  while (!running_.empty()) {
    const double next = nextAt();
    if (next > now) break;
    serve(next);
    served_ = std::max(served_, running_.begin()->first);
    done.push_back(running_.begin()->second);
    running_.erase(running_.begin());
    fill();
  }
  serve(now);
  return done;
}

double ServerModel::nextAt() const {
  if (running_.empty() || state_ != State::up) return kNever;
  const double rate = rateEach(at_);
  if (rate <= 0) return kNever;
  return at_ + std::max(0.0, running_.begin()->first - served_) / rate;
}

void ServerModel::addWork(double now, double work) {
  serve(now);
  served_ -= running_.empty() ? 0 : work / static_cast<double>(running_.size());
}

void ServerModel::setNeighbour(double now, double share) {
  serve(now);
  neighbour_ = share;
}

void ServerModel::setSlowness(double now, double factor) {
  serve(now);
  slowness_ = factor;
}

std::vector<ServerModel::Job> ServerModel::stop(double now) {
  serve(now);
  std::vector<Job> lost;
  for (const auto& [when, job] : running_) lost.push_back(job);
  for (const auto& [job, work] : waiting_) lost.push_back(job);
  running_.clear();
  waiting_.clear();
  offered_.clear();
  offeredSum_ = 0;
  state_ = State::down;
  return lost;
}

void ServerModel::start(double now) {
  at_ = std::max(at_, now);
  startedAt_ = now;
  state_ = State::up;
}

}  // namespace burlwind::rehearsal
