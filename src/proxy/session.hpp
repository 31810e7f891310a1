// A proxy's sessions with the registries. One counts at a time, the near ones first; while the one that
// counts is silent, or its registry has no word of the store's leader, others are tried beside it. News comes
// numbered; what is older than what is in force is dropped.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "rpc/link.hpp"
#include "rpc/messages.hpp"

namespace burlwind::proxy {

namespace asio = boost::asio;

class Sessions {
 public:
  struct Hooks {
    std::function<void(const rpc::ConfigUpdate&)> news;
    std::function<void(const rpc::Workers&)> workers;
    std::function<void(const rpc::Cores&)> cores;
    std::function<void(const rpc::TokenResponse&)> tokens;
    std::function<rpc::Status()> status;
  };
  Sessions(asio::io_context& io, const config::Settings& settings, Hooks hooks);
  ~Sessions();
  void start();
  void meetSeeds();       // those that the settings name now
  void tick(double now);  // each 100 ms
  bool inTouch(double now) const;
  void tell(const std::string& frame);  // on the session that counts
  void tellStatus();

 private:
  struct Session {
    std::string ip;
    std::shared_ptr<rpc::Dialer> dialer;
    double heard = -1e18, confirmed = -1e18, since = 0;
    bool news = false, workers = false;
    std::uint64_t workersTerm = 0, workersNumber = 0;
    std::vector<rpc::Workers> early;  // what a trial was told of workers: in force once it counts
  };
  using SessionPtr = std::shared_ptr<Session>;
  void open(const std::string& ip, double now);
  void arrived(const SessionPtr& session, const rpc::Arrived& arrived);
  bool good(const Session& session, double now) const;
  unsigned distance(const std::string& ip) const;
  std::string next();
  asio::io_context& io_;
  const config::Settings& settings_;
  Hooks hooks_;
  std::map<std::string, rpc::Core> cores_;  // by ip; zone empty where not told yet
  SessionPtr current_, trial_;
  double trialAt_ = 0, statusAt_ = 0, nearerAt_ = 0;
  std::uint64_t incarnation_ = 0;
  std::mt19937_64 random_;
  std::map<std::string, double> failedAt_;
};

}  // namespace burlwind::proxy
