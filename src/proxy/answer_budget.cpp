#include "proxy/answer_budget.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace burlwind::proxy {
namespace {

constexpr std::size_t kLeastHoldersKept = 1024;  // of services, and of workers

std::size_t beyondExchange(std::size_t bytes) { return bytes > kExchangeBytes ? bytes - kExchangeBytes : 0; }

}  // namespace

AnswerBudget::Share::Share(std::shared_ptr<AnswerBudget> budget, std::shared_ptr<Holder> service,
                           std::shared_ptr<Holder> worker)
    : budget_(std::move(budget)), service_(std::move(service)), worker_(std::move(worker)) {
  for (Holder* holder : {&budget_->all_, service_.get(), worker_.get()}) ++holder->exchanges;
  place_ = budget_->shares_.insert(budget_->shares_.end(), this);
}

AnswerBudget::Share::~Share() {
  set(0, length_);
  for (Holder* holder : {&budget_->all_, service_.get(), worker_.get()}) --holder->exchanges;
  budget_->shares_.erase(place_);
  budget_->wakeOthers(nullptr);
}

bool AnswerBudget::Share::fits(std::size_t poolBytes) const {
  const std::size_t more = poolBytes - poolBytes_;
  return budget_->all_.poolBytes + more <= budget_->limits_.poolBytes &&
         service_->poolBytes + more <= budget_->maxOf(kMaxServicePart) &&
         worker_->poolBytes + more <= budget_->maxOf(kMaxWorkerPart);
}

bool AnswerBudget::Share::growTo(std::size_t bytes, Length length) {
  const std::size_t poolBytes = beyondExchange(bytes);
  if (poolBytes > poolBytes_ && !fits(poolBytes)) return false;
  if (poolBytes > poolBytes_) set(poolBytes, length);
  return true;
}

void AnswerBudget::Share::shrinkTo(std::size_t bytes) {
  const std::size_t poolBytes = beyondExchange(bytes);
  if (poolBytes >= poolBytes_) return;
  set(poolBytes, length_);
  budget_->wakeOthers(this);
}

bool AnswerBudget::Share::neverFits(std::size_t bytes) const {
  return beyondExchange(bytes) > budget_->maxOf(kMaxWorkerPart);
}

bool AnswerBudget::Share::mustGiveWay() const {
  if (length_ == Length::told) return false;
  const auto fullOfUntold = [&](const Holder& holder, std::size_t most) {
    return 2 * holder.untoldBytes >= most;
  };
  const bool inAll = fullOfUntold(budget_->all_, budget_->limits_.poolBytes);
  const bool inService = fullOfUntold(*service_, budget_->maxOf(kMaxServicePart));
  const bool inWorker = fullOfUntold(*worker_, budget_->maxOf(kMaxWorkerPart));
  return std::none_of(budget_->shares_.begin(), budget_->shares_.end(),
                      [&](const Share* other) {
                        const bool beside = inAll || (inService && other->service_ == service_) ||
                                            (inWorker && other->worker_ == worker_);
                        return beside && other->length_ == Length::untold && other->poolBytes_ > poolBytes_;
                      }) &&
         (inAll || inService || inWorker);
}

void AnswerBudget::Share::set(std::size_t poolBytes, Length length) {
  for (Holder* holder : {&budget_->all_, service_.get(), worker_.get()}) {
    holder->poolBytes += poolBytes - poolBytes_;
    if (length_ == Length::untold) holder->untoldBytes -= poolBytes_;
    if (length == Length::untold) holder->untoldBytes += poolBytes;
  }
  poolBytes_ = poolBytes;
  length_ = length;
}

std::shared_ptr<AnswerBudget::Share> AnswerBudget::open(const std::string& service,
                                                        const std::string& worker) {
  auto ofService = holder(services_, service);
  const auto mostOfService =
      static_cast<std::size_t>(kMaxServicePart * static_cast<double>(limits_.exchanges));
  if (all_.exchanges >= limits_.exchanges || ofService->exchanges >= mostOfService) return nullptr;
  return std::shared_ptr<Share>(
      new Share(shared_from_this(), std::move(ofService), holder(workers_, worker)));
}

std::size_t AnswerBudget::maxBodyBytes() const {
  constexpr std::size_t kReadingBytes = 1 << 20;
  const std::size_t most = maxOf(kMaxWorkerPart);
  return std::min<std::size_t>(kMostBody, std::max(most, 2 * kReadingBytes) - kReadingBytes);
}

std::shared_ptr<AnswerBudget::Holder> AnswerBudget::holder(Holders& holders, const std::string& name) {
  const auto known = holders.byName.find(name);
  if (known != holders.byName.end()) return known->second;
  if (holders.byName.size() >= std::max(holders.forgetAt, kLeastHoldersKept)) {
    std::erase_if(holders.byName, [](const auto& entry) { return entry.second->exchanges == 0; });
    holders.forgetAt = 2 * holders.byName.size();
  }
  return holders.byName[name] = std::make_shared<Holder>();
}

void AnswerBudget::wakeOthers(const Share* except) {
  std::vector<std::function<void()>> wakes;
  for (const Share* share : shares_)
    if (share != except && share->wake_) wakes.push_back(share->wake_);
  for (const auto& wake : wakes) wake();
}

}  // namespace burlwind::proxy
