#include "node/keeper.hpp"

#include <boost/asio/io_context.hpp>
#include <cmath>
#include <cstdio>

#include "http/http.hpp"

namespace burlwind {

Keeper::Keeper(asio::io_context& io, const OperatorSettings::Snapshot& operators, const std::string& name,
               const std::string& settings, std::unique_ptr<snapshot::Files> files, Host host)
    : operators_(operators),
      name_(name),
      files_(std::move(files)),
      host_(std::move(host)),
      store_(*files_, operators.folder, name, settings),
      ends_(io, writer_.readable()),
      timer_(io) {
  snapshot::Reading reading = store_.read();
  if (!reading.why.empty()) host_.log("snapshot: " + reading.why);
  stored_.found = !reading.kept ? recovery::Found::none : recovery::Found::spoilt;
  std::string age = "age unknown";
  if (reading.state) {
    const snapshot::Stamp& stamp = reading.state->stamp;
    const auto known = snapshot::ageOf(stamp.written, snapshot::momentNow());
    stored_.found = known ? recovery::Found::whole : recovery::Found::ageless;
    stored_.age = known.value_or(0);
    stored_.goodPerSecond = stamp.goodPerSecond;
    last_ = written_ = stamp.number;
    char text[64];
    std::snprintf(text, sizeof text, "%.1f s old", stored_.age / 1000);
    if (known) age = text;
    found_ = std::move(reading.state);
  }
  host_.log("snapshot: " + store_.path() + ": " + recovery::nameOf(stored_.found) +
            (found_ ? ", number " + std::to_string(last_) + ", " + age : ""));
}

Keeper::~Keeper() {
  ends_.release();  // the writer's own
}

void Keeper::start() {
  if (stopped_ || out_) return;
  waitForEnd();
  write();
}

void Keeper::write() {
  if (stopped_) return;
  if (!out_ && dirty_) {
    dirty_ = false;
    out_ = true;
    const auto state = std::make_shared<snapshot::Snapshot>(host_.make());
    state->stamp.name = name_;
    state->stamp.number = ++last_;
    state->stamp.written = snapshot::momentNow();
    writer_.put(last_, [this, state] { return keep(*state); });
  }
  timer_.expires_after(operators_.every);
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](const Error& error) {
    if (!error && !alive.expired()) write();
  });
}

// On the writer's thread, which alone uses the store once this has begun.
std::string Keeper::keep(const snapshot::Snapshot& state) {
  try {
    return store_.write(snapshot::encode(state));
  } catch (const std::length_error& error) {
    return error.what();
  }
}

void Keeper::waitForEnd() {
  ends_.async_wait(asio::posix::stream_descriptor::wait_read,
                   [this, alive = std::weak_ptr<bool>(alive_)](const Error& error) {
                     if (error || alive.expired()) return;
                     ended();
                     waitForEnd();
                   });
}

void Keeper::ended() {
  for (const snapshot::Writer::Done& done : writer_.done()) {
    out_ = false;
    if (done.error != lastError_)
      host_.log("snapshot: " + (done.error.empty() ? "written again" : done.error + ", trying again"));
    lastError_ = done.error;
    if (!done.error.empty()) {
      dirty_ = true;
      continue;
    }
    written_ = done.number;
    host_.lasting();
  }
}

void Keeper::finish() {
  if (stopped_) return;
  writer_.finish();
  ended();
  dirty_ = true;
  write();
  writer_.finish();
  ended();
  leave();
}

void Keeper::leave() {
  stopped_ = true;
  timer_.cancel();
  Error ignored;
  ends_.cancel(ignored);
}

}  // namespace burlwind
