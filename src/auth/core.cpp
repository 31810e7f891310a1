#include "auth/core.hpp"

#include <algorithm>
#include <cmath>

namespace burlwind::auth {
namespace {

constexpr std::size_t kNone = static_cast<std::size_t>(-1);
constexpr std::size_t kEntryCost = 256;  // of what is remembered, beside its text and verdict

}  // namespace

std::size_t Verdict::bytes() const {
  std::size_t out = sizeof *this + body.size();
  for (const auto& [name, value] : headers) out += sizeof(headers.front()) + name.size() + value.size();
  return out;
}

std::string describe(const Counts& c) {
  const auto each = [](std::initializer_list<std::pair<const char*, std::uint64_t>> parts) {
    std::string out;
    for (const auto& [name, count] : parts)
      out += (out.empty() ? "" : ", ") + std::to_string(count) + " " + name;
    return out;
  };
  return each({{"asked for", c.asked}, {"remembered", c.remembered}, {"shared", c.shared}}) + "; " +
         each({{"allowed", c.allowed},
               {"denied", c.denied},
               {"open", c.open},
               {"by the last verdict", c.last}}) +
         "; refused: " + each({{"no checker", c.down}, {"too many", c.busy}}) + "; checks: " +
         each({{"sent", c.started},
               {"sent again", c.resent},
               {"timed out", c.timeouts},
               {"broken", c.broken},
               {"of no use", c.errors},
               {"late", c.late},
               {"ejections", c.ejections}});
}

Core::Core(const Settings& settings)
    : settings_(settings), checkers_(settings.checkers), retryTokens_(settings.retryBurst) {}

// --- Waiters ---

Todo Core::ask(Time now, WaiterId waiter, Ask ask) {
  Todo todo;
  ++counts_.asked;
  const Remembered* known = recall(now, *ask.text);
  if (known && now < known->freshUntil) {
    ++counts_.remembered;
    tell(waiter, Told::verdict, known->verdict, todo);
    return todo;
  }
  const auto underWay = byText_.find(*ask.text);
  if (underWay != byText_.end()) {
    Check& check = checks_.at(underWay->second);
    if (check.waiters.size() >= settings_.waitersPerCheck) {
      tell(waiter, Told::busy, nullptr, todo);
      return todo;
    }
    ++counts_.shared;
    check.waiters.push_back(waiter);
    waiters_[waiter] = {underWay->second, ask.whenDown};
    return todo;
  }
  if (down(now)) {
    tellDown(now, waiter, ask.whenDown, *ask.text, todo);
    return todo;
  }
  const auto checker = choose(now, kNone);
  if (!checker) {
    const auto mine = queuedOf_.find(ask.source);
    if (queue_.size() >= settings_.queue ||
        (mine != queuedOf_.end() && mine->second >= settings_.queuePerSource)) {
      tell(waiter, Told::busy, nullptr, todo);
      return todo;
    }
  }
  const CheckId id = ++lastCheck_;
  Check& check = checks_[id];
  check.text = std::move(ask.text);
  check.source = ask.source;
  check.waiters.push_back(waiter);
  byText_.emplace(*check.text, id);
  waiters_[waiter] = {id, ask.whenDown};
  if (checker) {
    start(now, id, check, *checker, false, todo);
  } else {
    check.place = queue_.insert(queue_.end(), id);
    ++queuedOf_[check.source];
  }
  return todo;
}

void Core::left(WaiterId waiter) {
  const auto found = waiters_.find(waiter);
  if (found == waiters_.end()) return;
  const CheckId id = found->second.check;
  waiters_.erase(found);
  Check& check = checks_.at(id);
  std::erase(check.waiters, waiter);
  // One that is out goes on: to give it up would make room at the checker for another, and a client that
  // comes and goes would make more work there than the limit allows.
  if (!check.waiters.empty() || check.out) return;
  stop(check, id);
  byText_.erase(*check.text);
  checks_.erase(id);
}

void Core::tell(WaiterId waiter, Told told, VerdictPtr verdict, Todo& todo) {
  switch (told) {
    case Told::verdict:
      ++(verdict->allows ? counts_.allowed : counts_.denied);
      break;
    case Told::open:
      ++counts_.open;
      break;
    case Told::down:
      ++counts_.down;
      break;
    case Told::busy:
      ++counts_.busy;
      break;
  }
  Do out;
  out.waiter = waiter;
  out.told = told;
  out.verdict = std::move(verdict);
  todo.push_back(std::move(out));
}

void Core::tellDown(Time now, WaiterId waiter, WhenDown whenDown, const std::string& text, Todo& todo) {
  if (whenDown == WhenDown::open) return tell(waiter, Told::open, nullptr, todo);
  const Remembered* known = whenDown == WhenDown::last ? recall(now, text) : nullptr;
  if (!known) return tell(waiter, Told::down, nullptr, todo);
  ++counts_.last;
  tell(waiter, Told::verdict, known->verdict, todo);
}

// --- Checks ---

void Core::start(Time now, CheckId id, Check& check, std::size_t checker, bool fresh, Todo& todo) {
  if (check.attempts++ == 0 && !check.staleSeen)  // a first attempt pays into the budget of further ones
    retryTokens_ = std::min(settings_.retryBurst, retryTokens_ + settings_.retryShare);
  ++counts_.started;
  check.checker = checker;
  check.out = true;
  check.due = now + settings_.timeout;
  due_.emplace(check.due, id);
  ++checkers_[checker].out;
  Do out;
  out.what = Do::What::start;
  out.check = id;
  out.checker = checker;
  out.fresh = fresh;
  out.text = check.text;
  todo.push_back(std::move(out));
}

// Neither out nor queued any more.
void Core::stop(Check& check, CheckId id) {
  if (std::exchange(check.out, false)) {
    due_.erase({check.due, id});
    --checkers_[check.checker].out;
    return;
  }
  queue_.erase(check.place);
  const auto mine = queuedOf_.find(check.source);
  if (--mine->second == 0) queuedOf_.erase(mine);
}

// With no verdict: what each waiter's route says for that.
void Core::end(Time now, CheckId id, Todo& todo, const VerdictPtr& verdict) {
  const Check check = std::move(checks_.at(id));
  byText_.erase(*check.text);
  checks_.erase(id);
  for (const WaiterId waiter : check.waiters) {
    const WhenDown whenDown = waiters_.at(waiter).whenDown;
    waiters_.erase(waiter);
    if (verdict)
      tell(waiter, Told::verdict, verdict, todo);
    else
      tellDown(now, waiter, whenDown, *check.text, todo);
  }
}

// The check whose attempt is out; else what came for it is counted.
Core::Check* Core::outNow(CheckId id) {
  const auto found = checks_.find(id);
  if (found != checks_.end() && found->second.out) return &found->second;
  ++counts_.late;
  return nullptr;
}

Todo Core::answered(Time now, CheckId id, VerdictPtr verdict, Freshness freshness) {
  Todo todo;
  Check* const underWay = outNow(id);
  if (!underWay) return todo;
  Check& check = *underWay;
  Checker& checker = checkers_[check.checker];
  checker.failures = 0;
  checker.ejectFor = 0;
  checker.limit = std::min(static_cast<double>(settings_.outPerChecker), checker.limit + 1);
  stop(check, id);
  remember(now, check.text, verdict, freshness);
  end(now, id, todo, verdict);
  serveQueue(now, todo);
  return todo;
}

Todo Core::failed(Time now, CheckId id, Fault fault) {
  Todo todo;
  Check* const underWay = outNow(id);
  if (!underWay) return todo;
  Check& check = *underWay;
  const std::size_t checker = check.checker;
  stop(check, id);
  if (fault == Fault::staleLine && !std::exchange(check.staleSeen, true)) {
    ++counts_.staleLines;
    --check.attempts;
    start(now, id, check, checker, true, todo);
    return todo;
  }
  ++(fault == Fault::timeout ? counts_.timeouts : fault == Fault::error ? counts_.errors : counts_.broken);
  blame(now, checkers_[checker]);
  const auto other = choose(now, checkers_.size() > 1 ? checker : kNone);
  const bool again =
      check.attempts < settings_.attempts && retryTokens_ >= 1 && other && !check.waiters.empty();
  if (again) {
    retryTokens_ -= 1;
    ++counts_.resent;
    start(now, id, check, *other, false, todo);
  } else {
    end(now, id, todo, nullptr);
  }
  serveQueue(now, todo);
  return todo;
}

void Core::serveQueue(Time now, Todo& todo) {
  if (down(now)) {  // those that wait will not be asked
    while (!queue_.empty()) {
      const CheckId id = queue_.front();
      stop(checks_.at(id), id);
      end(now, id, todo, nullptr);
    }
    return;
  }
  while (!queue_.empty()) {
    const auto checker = choose(now, kNone);
    if (!checker) return;
    const CheckId id = queue_.front();
    Check& check = checks_.at(id);
    stop(check, id);
    start(now, id, check, *checker, false, todo);
  }
}

// --- Checkers ---

// Of those that have room the one with the least out for its limit; among such in turn.
std::optional<std::size_t> Core::choose(Time now, std::size_t butNot) const {
  std::optional<std::size_t> out;
  double least = 1;
  for (std::size_t step = 0; step < checkers_.size(); ++step) {
    const std::size_t at = (lastCheck_ + step) % checkers_.size();
    const Checker& one = checkers_[at];
    const double load = static_cast<double>(one.out) / std::max(1.0, std::floor(one.limit));
    if (at == butNot || now < one.ejectedUntil || load >= least) continue;
    least = load;
    out = at;
  }
  return out;
}

bool Core::down(Time now) const {
  return std::all_of(checkers_.begin(), checkers_.end(),
                     [&](const Checker& one) { return now < one.ejectedUntil; });
}

// Several failures in a row eject a checker; one that has come back and answers nothing goes at once, for
// twice as long.
void Core::blame(Time now, Checker& checker) {
  checker.limit = std::max(1.0, checker.limit / 2);
  if (now < checker.ejectedUntil) return;  // it was out before that
  const bool returned = checker.ejectFor > 0;
  if (++checker.failures < settings_.ejectAfter && !returned) return;
  ++counts_.ejections;
  checker.ejectFor = returned ? std::min(settings_.ejectMost, checker.ejectFor * 2) : settings_.ejectFor;
  checker.ejectedUntil = now + checker.ejectFor;
  checker.failures = 0;
  checker.limit = 1;
}

std::optional<Time> Core::next() const {
  return due_.empty() ? std::nullopt : std::optional(due_.begin()->first);
}

Todo Core::tick(Time now) {
  Todo todo;
  while (!due_.empty() && due_.begin()->first <= now) {
    const CheckId id = due_.begin()->second;
    Do out;
    out.what = Do::What::abandon;
    out.check = id;
    out.checker = checks_.at(id).checker;
    todo.push_back(std::move(out));
    Todo more = failed(now, id, Fault::timeout);
    todo.insert(todo.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
  }
  return todo;
}

// --- What is remembered ---

const Core::Remembered* Core::recall(Time now, const std::string& text) {
  const auto found = cached_.find(text);
  if (found == cached_.end()) return nullptr;
  if (now >= found->second->keptUntil) {
    forget(found->second);
    return nullptr;
  }
  cache_.splice(cache_.begin(), cache_, found->second);
  return &cache_.front();
}

void Core::forget(Cache::iterator at) {
  cacheBytes_ -= at->text->size() + at->verdict->bytes() + kEntryCost;
  cached_.erase(*at->text);
  cache_.erase(at);
}

// The new verdict takes the place of an older one also where it may not be remembered itself.
void Core::remember(Time now, const std::shared_ptr<const std::string>& text, const VerdictPtr& verdict,
                    Freshness freshness) {
  const auto older = cached_.find(*text);
  if (older != cached_.end()) forget(older->second);
  const Time most = verdict->allows ? settings_.allowMost : settings_.denyMost;
  const Time fresh = std::min(most, freshness.forMs.value_or(verdict->allows ? settings_.allowFor : most));
  const Time kept = std::max(fresh, settings_.lastFor);
  const std::size_t bytes = text->size() + verdict->bytes() + kEntryCost;
  if (!freshness.store || kept <= 0 || text->size() > settings_.cacheText || bytes > settings_.cacheBytes ||
      settings_.cacheEntries == 0)
    return;
  cache_.push_front({text, verdict, now + fresh, now + kept});
  cached_.emplace(*text, cache_.begin());
  cacheBytes_ += bytes;
  while (cache_.size() > settings_.cacheEntries || cacheBytes_ > settings_.cacheBytes)
    forget(std::prev(cache_.end()));
}

}  // namespace burlwind::auth
