// What workers' answers hold in this process, and why answers were given up: counted where it happens,
// decides nothing. Memory: a few dozen numbers, and two for each worker that passed a bound lately.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace burlwind::proxy {

// The bound for which an answer was given up.
enum class AnswerBound : std::uint8_t {
  head,  // bytes of a head, of a chunk's head or of trailers
  body,  // bytes of a body, as told or as they came
  room,  // bytes of all answers together, or of its service's or worker's
};
constexpr std::size_t kAnswerBounds = 3;

// Who holds an answer's bytes.
enum class AnswerHolder : std::uint8_t { reading, writing };
constexpr std::size_t kAnswerHolders = 2;

class AnswerFigures {
 public:
  // One answer's bytes; what it holds is counted from its first set() until its end. Requests end with the
  // loop, which may outlive the proxy.
  class Held {
   public:
    Held(std::shared_ptr<AnswerFigures> figures, AnswerHolder holder)
        : figures_(std::move(figures)), holder_(holder) {
      ++figures_->holders_[index(holder_)].answers;
    }
    ~Held() {
      set(0);
      --figures_->holders_[index(holder_)].answers;
    }
    Held(const Held&) = delete;
    Held& operator=(const Held&) = delete;
    void set(std::size_t bytes) { figures_->change(holder_, std::exchange(bytes_, bytes), bytes); }

   private:
    const std::shared_ptr<AnswerFigures> figures_;
    const AnswerHolder holder_;
    std::size_t bytes_ = 0;
  };

  void gaveUp(AnswerBound bound, const std::string& worker);
  void exception() { ++exceptions_; }  // an exchange or a request ended by one

  std::size_t heldBytes(AnswerHolder holder) const { return holders_[index(holder)].bytes; }
  std::size_t largestBytes() const { return largestBytes_; }  // of one answer, since the start
  std::uint64_t givenUp(AnswerBound bound) const { return givenUp_[index(bound)]; }
  std::uint64_t exceptions() const { return exceptions_; }

  // Prometheus text format.
  std::string text() const;
  // Logs what has changed since the last report.
  void report();

 private:
  struct Holder {
    std::size_t answers = 0;
    std::size_t bytes = 0;
    std::size_t peakBytes = 0;  // since the start
  };
  template <class Enum>
  static constexpr std::size_t index(Enum value) {
    return static_cast<std::size_t>(value);
  }
  void change(AnswerHolder holder, std::size_t before, std::size_t after);

  std::array<Holder, kAnswerHolders> holders_{};
  std::array<std::uint64_t, kAnswerBounds> givenUp_{};
  std::map<std::pair<AnswerBound, std::string>, std::uint64_t> givenUpSinceReport_;  // by worker
  std::size_t largestBytes_ = 0;
  std::size_t reportedPeakBytes_ = 0;
  std::uint64_t exceptions_ = 0;
};

}  // namespace burlwind::proxy
