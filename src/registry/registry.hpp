// The registry's knowledge: decisions only. Events are appended to a journal in memory; cells, the directory
// and the list of workers are views folded from it.
//
// Each proxy has its session with one registry, and registries report theirs to each other. A session counts
// while its link does; what another registry reported counts while that one reports. Of two incarnations of a
// proxy the one that began later counts.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rpc/messages.hpp"

namespace burlwind::registry {

constexpr double kPeerTimeout = 1800;    // ms until a registry's sessions are no longer believed
constexpr double kReportTimeout = 1000;  // ms of silence until proxies count as spending their own parts
constexpr double kLastSeenKept = 20000;  // ms that a proxy that is gone still counts as known
constexpr std::size_t kJournal = 256;    // events kept
// ms that look-ups count on what is lost while this registry itself isn't confirmed: below the shortest time
// after which a proxy that has ended may not be named any more.
constexpr double kUnconfirmedMemory = 5000;

struct Event {
  double at = 0;
  std::string what, who;
};

class Registry {
 public:
  Registry(std::string self, std::map<std::string, std::string> regionOf)
      : self_(std::move(self)), regionOf_(std::move(regionOf)) {}

  void setPlaces(std::map<std::string, std::string> regionOf) { regionOf_ = std::move(regionOf); }

  // --- Sessions of proxies ---
  // Opened, or changed. `number`: of the session, this registry's own; the newest of a proxy is the one that
  // counts.
  void registerSession(const rpc::ProxySession& session, double now, std::uint64_t number = 0);
  // That session has ended; nothing where another one of the proxy counts.
  void deregisterSession(const std::string& name, std::uint64_t number, double now);
  std::vector<rpc::ProxySession> ownSessions(double now) const;
  // False where it tells that nothing has changed since a list that isn't held here: a whole one is needed.
  bool observeSessions(const std::string& registry, const rpc::Sessions& reported, double now);
  // How many proxies that registry has told of.
  std::size_t reportedBy(const std::string& registry) const;
  // That registry's links have ended: what it told counts no more for the quotas. Its proxies serve on and
  // seek another registry: for look-ups they stay as they were for a while.
  void peerLost(const std::string& registry, double now);
  // `confirmed`: this registry is in touch with the leading store; else it forgets nobody for look-ups, up to
  // kUnconfirmedMemory. True where views may have changed.
  bool sweep(double now, bool confirmed = true);

  // --- What the quotas may be reckoned from ---
  // Proxies that are seated, draw on the holder's tokens alone, and were heard within kReportTimeout, as was
  // their registry.
  unsigned drawing(double now) const;
  // ms before `until` in which no proxy has let anything in under a quota: from the last admission of any to
  // the earliest of their last Status messages. `expected`: how many proxies there may be; 0 where fewer are
  // seated, as nothing is known of the others.
  double allIdle(unsigned expected, double until) const;
  // All that there may be are seated and began within `age` ms before `until`, and none had been granted a
  // token by then.
  bool allRestarted(unsigned expected, double age, double until) const;
  std::map<std::string, unsigned> liveByZone() const;

  // One of each proxy for look-ups: with a session here or at another registry, or remembered from the last
  // word of one that is lost.
  std::vector<const rpc::ProxySession*> proxies(double now) const;
  std::string regionOf(const std::string& zone) const;  // empty: not known
  // Proxies that stand in that zone, those that went within kLastSeenKept among them.
  std::size_t knownIn(const std::string& zone) const;

  // --- Workers ---
  struct Known {
    rpc::Worker worker;
    double coldUntil = 0;
  };
  // The list as the platform tells it now; the difference to what was there, where there is one.
  std::optional<rpc::Workers> listed(std::uint64_t epoch, const std::map<std::string, rpc::Worker>& all,
                                     double now);
  // From the registry that reads the list. `gap`: what is between is missing, a whole one is needed.
  enum class Taken { news, old, gap };
  Taken take(const rpc::Workers& told, double now);
  rpc::Workers whole(double now) const;
  std::uint64_t number() const { return number_; }
  const std::map<std::string, Known>& workers() const { return workers_; }

  const std::deque<Event>& journal() const { return journal_; }

 private:
  struct PeerSessions {
    std::vector<rpc::ProxySession> sessions;
    double lastSeen = 0;
  };
  struct LastSeen {
    std::string zone;
    double at = 0;
  };
  void note(double now, std::string what, std::string who);
  void refold(double now);
  struct Lost {
    rpc::ProxySession session;
    double lastSeen = 0;
  };
  void lose(const rpc::ProxySession& session, double lastSeen);
  void loseAll(const PeerSessions& peer);
  const std::string self_;
  std::map<std::string, std::string> regionOf_;
  struct OwnSession {
    rpc::ProxySession session;
    std::uint64_t number = 0;
  };
  std::map<std::string, OwnSession> own_;              // by name
  std::map<std::string, PeerSessions> peers_;          // by registry
  std::map<std::string, rpc::ProxySession> sessions_;  // the view: one of each name
  std::map<std::string, Lost> lost_;                   // by name; none that is in the view
  bool confirmed_ = true;
  std::map<std::string, LastSeen> lastSeen_;  // by proxy
  std::map<std::string, Known> workers_;
  std::uint64_t epoch_ = 0, number_ = 0;
  std::deque<Event> journal_;
};

}  // namespace burlwind::registry
