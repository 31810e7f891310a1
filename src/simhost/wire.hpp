// The frames of the wire: reading batches of events, writing replies. Nothing here decides anything.
#pragma once

#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "irisring/decide.hpp"

namespace irisring::wire {

constexpr std::size_t kBatchHeader = 20;
constexpr std::size_t kReplyHeader = 12;
constexpr std::size_t kMostFrame = std::size_t{1} << 30;

struct Header {
  std::uint32_t number = 0;
  Time clock = 0;
  std::uint32_t size = 0;
  std::uint32_t records = 0;
};

// What a batch holds, in order, for the instance named last. All calls of one batch share its clock.
class Events {
 public:
  virtual ~Events() = default;
  virtual void instance(unsigned number) = 0;
  virtual void start(std::uint64_t salt, std::string_view settings) = 0;
  virtual void members(ListKind kind, const std::vector<Member>& list) = 0;
  virtual void request(const Request& request) = 0;
  virtual void outcome(const Outcome& outcome) = 0;
  virtual void clientLeft(RequestId id) = 0;
  virtual void timer(std::uint64_t tag) = 0;
  virtual void stop() = 0;
};

// Both throw std::runtime_error with one plain line on malformed input.
Header readHeader(std::string_view bytes);
void readRecords(const Header& header, std::string_view body, Events& events);

// One reply under way. As an Actions it writes for the instance named last with `by`.
class Reply : public Actions {
 public:
  void begin(std::uint32_t number);
  void by(unsigned instance) { instance_ = instance; }
  const std::string& finish();

  void send(RequestId id, WorkerId worker, Time timeout) override;
  void refuse(RequestId id, Time retryAfter, Reason reason) override;
  void fail(RequestId id, Reason reason) override;
  void setTimer(Time wait, std::uint64_t tag) override;
  void subscribe() override;
  void log(const std::string& line) override;

 private:
  template <class T>
  void put(T value) {
    char raw[sizeof(T)];
    std::memcpy(raw, &value, sizeof(T));
    bytes_.append(raw, sizeof(T));
  }
  void open(std::uint8_t code);
  void putWorker(WorkerId worker);

  std::string bytes_;
  std::uint32_t records_ = 0;
  long instance_ = -1;
  long written_ = -1;
};

}  // namespace irisring::wire
