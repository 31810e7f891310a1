// Stores under virtual time, played from a timeline drawn as text: one line a moment, one column a replica.
//
//     ms     a        b        c
//     0      start    start    start
//     1500   put=x    .        .          (whoever leads may be asked by "put=x" in any column: see below)
//
// Words: start, kill (process; disk stays), wipe (kill, and the disk is empty), freeze, thaw, deaf (hears
// nobody), mute (is heard by nobody), cut (both), heal, slow=N (each write takes N ms), renew (kill; an empty
// replica at another address takes its column), leave. Checks: leads, follows, has=x (its record holds x),
// member, stranger. In the last column, `lead` stands for the replica that leads, wherever it is: put=x
// proposes there and waits up to 3 s until it is committed; read asks the one that leads by its own word, and
// when its round is confirmed, its state must hold what was acknowledged before the read.
// Nothing sleeps: a step is 10 ms of virtual time, a message takes 5 to 25.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "consensus/core.hpp"

namespace burlwind::timeline {

using consensus::Core;
using consensus::Id;
using consensus::PersistentState;

class Stores {
 public:
  // `spares` columns follow the members': empty disks.
  explicit Stores(unsigned count, unsigned seed = 1, unsigned seats = 0, unsigned spares = 0)
      : random_(seed), seats_(seats ? seats : count), replicas_(count + spares) {
    std::vector<rpc::Member> first;
    for (unsigned i = 0; i < count; ++i) first.push_back({100 + i, address(i, 0)});
    for (unsigned i = 0; i < count; ++i) {
      replicas_[i].disk = PersistentState{};
      replicas_[i].disk.self = 100 + i;
      replicas_[i].disk.members = first;
      replicas_[i].ip = address(i, 0);
    }
    for (unsigned i = count; i < count + spares; ++i) empty(i, address(i, 0));
  }

  void play(const std::string& text) {
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
      std::istringstream words(line);
      double at = 0;
      if (!(words >> at)) continue;
      CAPTURE(line);
      while (now_ < at) step();
      std::string word;
      for (unsigned i = 0; words >> word; ++i)
        if (word != ".") act(i, word);
    }
  }

  void step() {
    now_ += 10;
    std::deque<Letter> due;
    for (auto it = letters_.begin(); it != letters_.end();)
      if (it->at <= now_) {
        due.push_back(std::move(*it));
        it = letters_.erase(it);
      } else {
        ++it;
      }
    for (auto& letter : due) deliver(letter);
    for (unsigned i = 0; i < replicas_.size(); ++i) {
      Replica& r = replicas_[i];
      if (r.core && now_ >= r.endAt) r.core.reset();
      if (!awake(r)) continue;
      if (now_ >= r.tickAt) {
        r.tickAt = now_ + 50;
        carry(i, r.core->tick(now_));
        if (!r.core->member() || !r.core->leaderIsKnown(now_))
          for (unsigned j = 0; j < replicas_.size(); ++j)
            if (j != i)
              letters_.push_back(
                  {now_ + delay(), i, j, r.core->record().self, {}, r.incarnation, true, r.ip});
      }
    }
    check();
  }

  std::optional<unsigned> leader() const {
    for (unsigned i = 0; i < replicas_.size(); ++i)
      if (awake(replicas_[i]) && replicas_[i].core->leads()) return i;
    return std::nullopt;
  }

  // As a caller that has a link to this one: what it would be told at once, by its own word.
  bool says(unsigned i) const { return awake(replicas_[i]) && replicas_[i].core->leads(now_); }
  // Asks replica i to read: true where it took the question.
  bool read(unsigned i) {
    Replica& r = replicas_[i];
    if (!awake(r) || !r.core->leads()) return false;
    std::vector<consensus::Effect> out;
    const std::uint64_t round = r.core->confirm(now_, out);
    const bool taken = round != consensus::kNeverConfirmed;
    if (taken) reads_.push_back({i, r.incarnation, round, acknowledged_});
    carry(i, out);
    return taken;
  }
  // Asks it for a change, without waiting: false where it does not take it. Acknowledged once it is
  // committed.
  bool order(unsigned i, const std::string& value) {
    Replica& r = replicas_[i];
    if (!awake(r) || !r.core->mayPropose()) return false;
    const auto& before = r.core->record().state;
    orders_[i] = value;
    carry(i, r.core->propose(before.empty() ? value : before + "," + value, now_));
    return r.core->leads();
  }
  // SIGTERM: it says that it goes, hands leadership over if it has it, and ends 300 ms later.
  void end(unsigned i, bool handsOver = true) {
    leave(i);
    if (handsOver) carry(i, replicas_[i].core->transferLeadership(now_));
    replicas_[i].endAt = now_ + 300;
  }
  // An empty replica at the address of another one.
  void takeAddress(unsigned i, unsigned of) {
    replicas_[i].core.reset();
    empty(i, replicas_[of].ip);
  }
  bool hasMember(unsigned leader, unsigned i) const {
    const auto& members = replicas_[leader].core->record().members;
    return std::any_of(members.begin(), members.end(),
                       [&](const rpc::Member& m) { return m.id == replicas_[i].disk.self; });
  }
  // From now on what goes to and from replica i takes its turn on a link of so many bytes a ms, in order, as
  // TCP does: each packet of 1500 bytes is lost with that chance, and then all waits 300 ms for it.
  void limit(unsigned i, double bytesPerMs, double loss) {
    for (unsigned j = 0; j < replicas_.size(); ++j)
      if (j != i) wires_[{i, j}] = wires_[{j, i}] = {bytesPerMs, loss, now_, now_};
  }
  // Only those of one group hear each other; all begin in group 0.
  void group(unsigned i, unsigned group) { replicas_[i].group = group; }
  // Its connections are reset: what is under way is gone.
  void reset(unsigned i) {
    std::erase_if(letters_, [i](const Letter& letter) { return letter.from == i || letter.to == i; });
    for (auto& [ends, wire] : wires_)
      if (ends.first == i || ends.second == i) wire.freeAt = wire.lastAt = now_;
  }
  std::size_t bytesTo(unsigned i) { return bytesTo_[i]; }
  // The longest that a message other than a piece was under way to replica i since the last call.
  double longestWay(unsigned i) { return std::exchange(longestWay_[i], 0); }
  // All begin with that state, agreed on in term 1.
  void load(const std::string& state) {
    for (Replica& r : replicas_) {
      if (r.disk.members.empty()) continue;
      r.disk.term = r.disk.lastTerm = r.disk.index = 1;
      r.disk.state = state;
    }
  }
  std::size_t confirmations(unsigned i) { return confirmations_[i]; }

  // Proposes where somebody leads; true once it is committed. False: no clear answer.
  bool put(const std::string& value, double within = 3000) {
    const double until = now_ + within;
    while (now_ < until) {
      if (const auto i = leader(); i && replicas_[*i].core->mayPropose()) {
        const unsigned incarnation = replicas_[*i].incarnation;
        const auto& before = replicas_[*i].core->record().state;
        acks_.clear();
        carry(*i, replicas_[*i].core->propose(before.empty() ? value : before + "," + value, now_));
        while (now_ < until && !stopped(replicas_[*i]) && replicas_[*i].incarnation == incarnation &&
               replicas_[*i].core->leads()) {
          if (acks_.contains(*i)) return acknowledged_.push_back(value), true;
          step();
        }
        return false;
      }
      step();
    }
    return false;
  }

  void act(unsigned i, const std::string& word) {
    const auto equal = word.find('=');
    const std::string verb = word.substr(0, equal),
                      value = equal == std::string::npos ? "" : word.substr(equal + 1);
    if (verb == "put") {
      CHECK_MESSAGE(put(value), word);
      return;
    }
    if (verb == "try") return static_cast<void>(put(value, 1500));
    Replica& r = replicas_.at(i);
    if (verb == "start")
      start(i);
    else if (verb == "kill")
      r.core.reset();
    else if (verb == "wipe")
      r.core.reset(), empty(i, r.ip);
    else if (verb == "renew")
      r.core.reset(), empty(i, address(i, ++r.moves));
    else if (verb == "freeze")
      r.frozen = true;
    else if (verb == "thaw")
      r.frozen = false;
    else if (verb == "deaf")
      r.deaf = true;
    else if (verb == "mute")
      r.mute = true;
    else if (verb == "cut")
      r.deaf = r.mute = true;
    else if (verb == "heal")
      r.deaf = r.mute = false;
    else if (verb == "slow")
      r.write = std::stod(value);
    else if (verb == "leave")
      leave(i);
    else if (verb == "read")
      CHECK(read(*leader()));
    else if (verb == "leads")
      CHECK_MESSAGE((r.core && r.core->leads()), "leads");
    else if (verb == "follows")
      CHECK_MESSAGE((r.core && !r.core->leads()), "follows");
    else if (verb == "has")
      CHECK(r.core->record().state == value);
    else if (verb == "member")
      CHECK(r.core->member());
    else if (verb == "stranger")
      CHECK_FALSE(r.core->member());
    else
      FAIL(word);
  }

  bool everythingAcknowledgedIsHeld() {
    const auto i = leader();
    return i && holds(replicas_[*i].core->record().state, acknowledged_);
  }
  Core& core(unsigned i) { return *replicas_[i].core; }
  bool up(unsigned i) const { return replicas_[i].core != nullptr; }
  double now() const { return now_; }
  void run(double ms) {
    for (const double until = now_ + ms; now_ < until;) step();
  }
  const std::vector<std::string>& acknowledged() const { return acknowledged_; }

 private:
  struct Replica {
    PersistentState disk;
    std::unique_ptr<Core> core;
    std::string ip;
    bool frozen = false, deaf = false, mute = false;
    double tickAt = 0, write = 0, busyUntil = 0;
    double endAt = 1e18;
    unsigned incarnation = 0, moves = 0, group = 0;
  };
  struct Letter {
    double at;
    unsigned from, to;
    Id id;  // of the reader, or of who wants to join
    consensus::Message message;
    unsigned incarnation;
    bool join = false;
    std::string ip;
  };

  struct Read {
    unsigned from, incarnation;
    std::uint64_t round;
    std::vector<std::string> before;  // acknowledged when it was asked
  };

  static std::string address(unsigned i, unsigned moves) {
    return "10.0." + std::to_string(moves) + "." + std::to_string(i);
  }
  static double draw(void* self) {
    return std::uniform_real_distribution<double>(0, 1)(static_cast<Stores*>(self)->random_);
  }
  double delay() { return 5 + 20 * draw(this); }
  bool stopped(const Replica& r) const { return !r.core || r.frozen; }
  bool awake(const Replica& r) const { return r.core && !r.frozen && now_ >= r.busyUntil; }

  void start(unsigned i) {
    Replica& r = replicas_[i];
    ++r.incarnation;
    r.frozen = false;
    r.busyUntil = 0;
    r.endAt = 1e18;
    orders_.erase(i);
    r.core = std::make_unique<Core>(r.disk, consensus::Timeouts{}, seats_, &Stores::draw, this, now_);
  }
  void empty(unsigned i, const std::string& ip) {
    replicas_[i].disk = PersistentState{};
    replicas_[i].disk.self = ++ids_;
    replicas_[i].ip = ip;
  }
  void leave(unsigned i) {
    for (unsigned j = 0; j < replicas_.size(); ++j)
      if (j != i && replicas_[j].core)
        carry(j, replicas_[j].core->leave(replicas_[i].core->record().self, now_,
                                          replicas_[i].core->incarnation()));
  }

  static std::size_t sizeOf(const consensus::Message& message) {
    constexpr std::size_t kHead = 150;
    return kHead + std::visit(
                       [](const auto& m) -> std::size_t {
                         if constexpr (requires { m.state; })
                           return m.state.size();
                         else if constexpr (requires { m.data; })
                           return m.data.size();
                         else
                           return 0;
                       },
                       message);
  }
  void post(Letter letter) {
    const std::size_t size = sizeOf(letter.message);
    const double from = letter.at;
    bytesTo_[letter.to] += size;
    letter.at += delay();
    if (const auto found = wires_.find({letter.from, letter.to}); found != wires_.end()) {
      Wire& wire = found->second;
      wire.freeAt = std::max(from, wire.freeAt) + static_cast<double>(size) / wire.bytesPerMs;
      letter.at = std::max(letter.at - from + wire.freeAt, wire.lastAt);
      if (draw(this) > std::pow(1 - wire.loss, static_cast<double>(size) / 1500)) letter.at += 300;
      wire.lastAt = letter.at;
    }
    if (size < 1000) longestWay_[letter.to] = std::max(longestWay_[letter.to], letter.at - from);
    letters_.push_back(std::move(letter));
  }

  void deliver(Letter& letter) {
    Replica& to = replicas_[letter.to];
    const Replica& from = replicas_[letter.from];
    if (from.mute || to.deaf || from.group != to.group || !to.core) return;
    if (!awake(to)) {  // it waits in the socket's buffer
      letter.at = now_ + 10;
      letters_.push_back(std::move(letter));
      return;
    }
    if (letter.join) return carry(letter.to, to.core->join({letter.id, letter.ip}, now_));
    if (to.core->record().self != letter.id) return;
    carry(letter.to, to.core->receive(letter.message, now_));
  }

  void carry(unsigned i, const std::vector<consensus::Effect>& effects) {
    Replica& r = replicas_[i];
    double at = now_;
    for (const auto& effect : effects) {
      if (std::holds_alternative<consensus::Persist>(effect)) {
        r.disk = r.core->record();
        at += r.write;
        r.busyUntil = std::max(r.busyUntil, at);
      } else if (const auto* send = std::get_if<consensus::Send>(&effect)) {
        if (const auto* append = std::get_if<rpc::AppendRequest>(&send->message))
          rounds_.emplace(std::tuple(i, r.incarnation, append->round), now_);
        for (unsigned j = 0; j < replicas_.size(); ++j)
          if (replicas_[j].disk.self == send->to ||
              (replicas_[j].core && replicas_[j].core->record().self == send->to))
            post({at, i, j, send->to, send->message, r.incarnation, false, {}});
      } else if (std::holds_alternative<consensus::Committed>(effect)) {
        acks_.insert(i);
        if (const auto order = orders_.find(i); order != orders_.end()) {
          acknowledged_.push_back(order->second);
          orders_.erase(order);
        }
        CHECK_MESSAGE(holds(r.core->record().state, acknowledged_),
                      "what was acknowledged is not in what is committed");
        commits_.insert(r.core->record().state);
      } else if (std::holds_alternative<consensus::Stepped>(effect)) {
        orders_.erase(i);
      } else if (const auto* confirmed = std::get_if<consensus::Confirmed>(&effect)) {
        confirm(i, confirmed->round);
      } else if (std::holds_alternative<consensus::Led>(effect)) {
        CHECK_MESSAGE(leaders_.emplace(r.core->record().term, r.core->record().self).second,
                      "two leaders of a term");
        CHECK_MESSAGE(holds(r.core->record().state, acknowledged_), "a leader has forgotten");
      }
    }
  }

  // What a leader says after a confirmed round must be young, and hold what was acknowledged before a read.
  void confirm(unsigned i, std::uint64_t round) {
    const Replica& r = replicas_[i];
    ++confirmations_[i];
    if (const auto begun = rounds_.find({i, r.incarnation, round}); begun != rounds_.end())
      CHECK_MESSAGE(now_ - begun->second < consensus::Timeouts{}.electLeast, "an old round is confirmed");
    std::erase_if(reads_, [&](const Read& read) {
      if (read.from != i || read.incarnation != r.incarnation || read.round > round) return false;
      if (r.core->leads()) CHECK_MESSAGE(holds(r.core->record().state, read.before), "an old state is read");
      return true;
    });
  }

  static bool holds(const std::string& state, const std::vector<std::string>& values) {
    std::istringstream parts(state);
    std::vector<std::string> all;
    for (std::string part; std::getline(parts, part, ',');) all.push_back(part);
    std::size_t at = 0;
    for (const std::string& part : all)
      if (at < values.size() && part == values[at]) ++at;
    return at == values.size();
  }

  // Of two committed states one was made from the other.
  void check() {
    if (commits_.size() < 2) return;
    const std::string* before = nullptr;
    for (const std::string& state : commits_) {
      if (before && !before->empty()) {
        const bool grown = state.starts_with(*before);
        CHECK_MESSAGE(grown, "'" << *before << "' and '" << state << "' are both committed");
      }
      before = &state;
    }
    while (commits_.size() > 1) commits_.erase(commits_.begin());
  }

  std::mt19937 random_;
  const unsigned seats_;
  std::vector<Replica> replicas_;
  std::deque<Letter> letters_;
  std::vector<std::string> acknowledged_;
  std::set<std::string> commits_;
  std::set<unsigned> acks_;
  std::map<std::uint64_t, Id> leaders_;
  struct Wire {
    double bytesPerMs = 0, loss = 0, freeAt = 0, lastAt = 0;
  };
  std::map<std::pair<unsigned, unsigned>, Wire> wires_;  // from, to
  std::map<unsigned, std::size_t> bytesTo_;
  std::map<unsigned, double> longestWay_;
  std::map<unsigned, std::string> orders_;  // by replica, not answered yet
  std::vector<Read> reads_;
  std::map<std::tuple<unsigned, unsigned, std::uint64_t>, double> rounds_;  // their beginnings
  std::map<unsigned, std::size_t> confirmations_;
  double now_ = 0;
  Id ids_ = 1000;
};

}  // namespace burlwind::timeline
