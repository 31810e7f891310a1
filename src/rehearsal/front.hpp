// The front with its clients: open loop. An arrival is sent when it is due, whatever became of those before;
// its time counts from then. Clients keep connections, one request at a time on each, retry as their class
// allows, heed Retry-After by their share, and give up when their time is over.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rehearsal/world.hpp"

namespace burlwind::rehearsal {

class Front {
 public:
  Front(World& world, std::vector<boost::asio::ip::tcp::endpoint> gatekeepers);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  // Asks each gatekeeper for readiness until it says so; `ready` is called once for each time that one comes
  // up.
  void watch(unsigned gatekeeper, std::function<void()> ready);
  void start();                               // arrivals begin now: the world's clock has been started
  void whenDone(std::function<void()> done);  // all arrivals have had their end
  std::size_t open() const { return open_; }  // tries under way
  std::size_t connections() const { return links_.size() + sleepers_.size() + flooders_.size(); }

 private:
  class Link;
  struct Try;
  class Health;
  class Rude;

  void cameUp(unsigned gatekeeper);
  void arriveDue();
  void send(const std::shared_ptr<Try>& attempt);
  void ended(const std::shared_ptr<Try>& attempt, unsigned status, double retryAfterMs);
  void failedToReach(const std::shared_ptr<Try>& attempt);
  bool mayRetry(const Try& attempt, unsigned status) const;
  void retryLater(const std::shared_ptr<Try>& attempt, double waitMs);
  void settle();
  std::string textOf(const Try& attempt) const;
  std::shared_ptr<Link> linkTo(unsigned gatekeeper);
  void remove(const std::shared_ptr<Link>& link);
  void rudeTick();
  void keepSleepers();
  void keepSleepers(std::list<std::shared_ptr<Rude>>& all, std::size_t wanted,
                    const boost::asio::ip::address_v4& from);

  World& world_;
  struct Gate {
    boost::asio::ip::tcp::endpoint address;
    bool up = false, watched = false;
    std::function<void()> ready;
    std::vector<std::shared_ptr<Link>> idle;
  };
  std::vector<Gate> gates_;
  std::set<std::shared_ptr<Link>> links_;
  std::list<std::shared_ptr<Rude>> rude_, sleepers_, flooders_;
  boost::asio::steady_timer arrivals_, rudeTimer_;
  std::size_t next_ = 0;  // arrival
  std::size_t open_ = 0;
  std::uint64_t rudeCount_ = 0, sleeperCount_ = 0;
  std::function<void()> done_;
  bool over_ = false;
};

}  // namespace burlwind::rehearsal
