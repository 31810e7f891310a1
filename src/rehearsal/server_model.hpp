// One order server: cores, slots, a waiting room, cold start and warming, falling over when overdriven, a
// neighbour on the machine. Pure: no I/O, no clock; time in ms is an argument and must not go back.
//
// Jobs in work share the cores evenly (processor sharing): each gets min(1, cores / jobs) of a core. Cost:
// O(log n) an event, n jobs held, n <= slots + queue.
//
// Invariants: running <= slots; waiting <= queue, and none waits while a slot is free; what is declined was
// never begun.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace burlwind::rehearsal {

struct ServerFigures {
  unsigned cores = 3;
  double speed = 1;  // work done by a core in a ms, in ms of work
  unsigned slots = 18;
  unsigned queue = 36;
  double thrash = 0;  // share of the capacity lost when twice `thrashFrom` jobs are in work, and no more
  double thrashFrom = 12;
  double coldFrom = 0.3;  // share of the capacity right after a start
  double warmMs = 12000;  // warming is even, over this time
  double fallMultiple = 2.5;
  double fallSpanMs = 1000;
};

class ServerModel {
 public:
  using Job = std::uint64_t;
  enum class State { up, fallen, down };
  enum class Verdict { taken, declined };
  static constexpr double kNever = std::numeric_limits<double>::infinity();

  // `startedAt`: from when it warms; far in the past for a warm one.
  ServerModel(const ServerFigures& figures, double startedAt);

  // The job asks `work` ms of a core. All that is offered to a cold server counts towards its fall.
  Verdict offer(double now, Job job, double work);
  // Nobody waits for it: what waits is dropped, what runs goes on (false: it is not held, or it runs).
  bool cancelWaiting(double now, Job job);
  std::vector<Job> advance(double now);  // what has finished since, in order
  double nextAt() const;                 // when the next job finishes if nothing else comes; kNever

  void addWork(double now, double work);        // beside the jobs: a handshake
  void setNeighbour(double now, double share);  // of the cores, taken by another program
  void setSlowness(double now, double factor);  // on the work of all jobs
  std::vector<Job> stop(double now);            // crashes: all jobs are gone
  void start(double now);                       // cold

  State state() const { return state_; }
  bool cold(double now) const;
  double warmth(double now) const;    // share of its capacity that it has, from coldFrom to 1
  double capacity(double now) const;  // ms of work it can do in a ms, now
  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  double util() const;  // of the cores, from 0 to 1

 private:
  double rateEach(double now) const;
  void serve(double now);
  void fill();
  bool overdriven(double now, double work);

  ServerFigures figures_;
  double startedAt_;
  double at_ = -std::numeric_limits<double>::infinity();
  double served_ = 0;                   // ms of work that each running job has been given since the begin
  std::multimap<double, Job> running_;  // by what `served_` is when it ends
  std::deque<std::pair<Job, double>> waiting_;
  std::deque<std::pair<double, double>> offered_;  // when and how much, over the last span, while cold
  double offeredSum_ = 0;
  double neighbour_ = 0, slowness_ = 1;
  State state_ = State::up;
};

// The budget of a cold server, as both the model and the judge count it: what comes within any `span` must
// stay under multiple x capacity x span, with the largest job as room for chance.
double coldBudget(double multiple, double capacity, double span, double largest);

}  // namespace burlwind::rehearsal
