// The bytes that workers' answers may hold in this process, all together: decisions only. A share is taken
// before bytes are read, so the sum holds whatever workers send.
//
// Two parts, so that long answers never take what short ones need:
//  - each exchange holds kExchangeBytes from its beginning: what its connection may have received unread, its
//    parser, and a short answer;
//  - what an answer needs beyond that comes from a pool for long answers.
// Of either part one service gets no more than kMaxServicePart, of the pool one worker no more than
// kMaxWorkerPart: a faulty one leaves room for the others.
//
// An answer that tells its length takes it whole or waits with nothing of the pool; it never waits while it
// holds some. One that tells none grows by steps. Where these hold most of what is full, the largest of them
// is told to give way; so somebody always goes on. Cost: a step is O(1), where it fails O(shares).
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "http/http.hpp"

namespace burlwind::proxy {

// That the system takes unread on a connection to a worker; and where a long answer is read, for the window
// that a long way needs.
constexpr std::size_t kAnswerReceiveBuffer = kReceiveBuffer;
constexpr std::size_t kLongReceiveBuffer = std::size_t{128} * 1024;
constexpr std::size_t kExchangeBytes = kAnswerReceiveBuffer + std::size_t{32} * 1024;
constexpr double kMaxServicePart = 0.8;
constexpr double kMaxWorkerPart = 0.65;

class AnswerBudget : public std::enable_shared_from_this<AnswerBudget> {
 public:
  struct Limits {
    std::size_t exchanges = 0;  // at a time
    std::size_t poolBytes = 0;  // for long answers
  };
  enum class Length { told, untold };

 private:
  struct Holder {  // a service, a worker, or all
    std::size_t exchanges = 0;
    std::size_t poolBytes = 0;
    std::size_t untoldBytes = 0;  // of the pool, held by answers that tell no length
  };

 public:
  // What one exchange, and then its answer, holds; given back at its end.
  class Share {
   public:
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Whether it may hold that much in all; if not, it holds what it held.
    bool growTo(std::size_t bytes, Length length);
    void shrinkTo(std::size_t bytes);
    // Behind a growTo that failed: room for this may never come.
    bool neverFits(std::size_t bytes) const;
    // The same: others can't go on unless this one ends.
    bool mustGiveWay() const;
    std::size_t bytes() const { return kExchangeBytes + poolBytes_; }
    // Called each time that others give something back, until it is set anew.
    void onRelease(std::function<void()> wake) { wake_ = std::move(wake); }

   private:
    friend class AnswerBudget;
    Share(std::shared_ptr<AnswerBudget> budget, std::shared_ptr<Holder> service,
          std::shared_ptr<Holder> worker);
    void set(std::size_t poolBytes, Length length);
    bool fits(std::size_t poolBytes) const;

    const std::shared_ptr<AnswerBudget> budget_;  // requests end with the loop, which may outlive the proxy
    const std::shared_ptr<Holder> service_;
    const std::shared_ptr<Holder> worker_;
    std::size_t poolBytes_ = 0;
    Length length_ = Length::told;
    std::function<void()> wake_;
    std::list<Share*>::iterator place_;
  };

  // Owned by a shared_ptr.
  explicit AnswerBudget(Limits limits) : limits_(limits) {}
  AnswerBudget(const AnswerBudget&) = delete;
  AnswerBudget& operator=(const AnswerBudget&) = delete;

  // A share for an exchange with this worker; nothing where no more exchanges fit, of its service or in all.
  std::shared_ptr<Share> open(const std::string& service, const std::string& worker);
  // The longest body that one answer may have, with room for what reading it takes.
  std::size_t maxBodyBytes() const;
  // What is held already stays; nothing more fits until it is less.
  void setLimits(Limits limits) { limits_ = limits; }

  std::size_t exchanges() const { return all_.exchanges; }
  std::size_t poolBytes() const { return all_.poolBytes; }
  // The most that all answers may ever come to.
  std::size_t mostBytes() const { return limits_.exchanges * kExchangeBytes + limits_.poolBytes; }

 private:
  struct Holders {
    std::unordered_map<std::string, std::shared_ptr<Holder>> byName;
    std::size_t forgetAt = 0;  // entries at which idle ones are forgotten
  };
  static std::shared_ptr<Holder> holder(Holders& holders, const std::string& name);
  std::size_t maxOf(double part) const {
    return static_cast<std::size_t>(part * static_cast<double>(limits_.poolBytes));
  }
  void wakeOthers(const Share* except);

  Limits limits_;
  Holder all_;
  Holders services_;
  Holders workers_;
  std::list<Share*> shares_;
};

}  // namespace burlwind::proxy
