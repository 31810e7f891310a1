// The links to the other stores: one that is dialled for each address, and those that others have dialled.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "consensus/core.hpp"
#include "rpc/link.hpp"

namespace burlwind::config_store {

constexpr double kLearntFor = 10000;  // ms

class Peers {
 public:
  using LinkPtr = std::shared_ptr<rpc::Link>;
  using OnUp = std::function<void(const LinkPtr&)>;
  using OnFrame = std::function<void(const rpc::Arrived&)>;
  // Both callbacks come from the loop of `io`, for links that this store has dialled.
  Peers(rpc::asio::io_context& io, std::string ownIp, std::uint16_t port, OnUp up, OnFrame arrived);

  void dial(const std::string& ip);  // once for each address; none for the own one
  void learn(consensus::Id id, const std::string& ip, double now);  // where that store is reached
  // Closes what is dialled beside `ips` and stores that were learnt of within kLearntFor ms before `now`, and
  // forgets where others are reached.
  void keepOnly(const std::set<std::string>& ips, double now);
  void dialledBy(consensus::Id id, const LinkPtr& link);

  // Dropped where the store can't be reached now. `members` tell addresses that learn() was not told.
  void send(consensus::Id to, const consensus::Message& message, const consensus::PersistentState& members);
  template <class Message>
  void sendToAll(const Message& message) {
    for (auto& [ip, dialer] : dialers_)
      if (dialer->link()) dialer->link()->tell(message);
  }
  void close();

 private:
  std::string ipOf(consensus::Id id, const consensus::PersistentState& members) const;
  rpc::asio::io_context& io_;
  const std::string ownIp_;
  const std::uint16_t port_;
  const OnUp up_;
  const OnFrame arrived_;
  std::map<std::string, std::shared_ptr<rpc::Dialer>> dialers_;  // by ip
  struct Learnt {
    std::string ip;
    double at = 0;
  };
  std::map<consensus::Id, Learnt> learnt_;
  std::map<consensus::Id, std::weak_ptr<rpc::Link>> dialledBy_;
};

}  // namespace burlwind::config_store
