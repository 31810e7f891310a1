// Keeps the state of a gatekeeper on a disk, for installations that have one: writes it now and then on a
// thread of its own, and tells what was found at the start. Off unless the operator file says otherwise: then
// there is no thread, no file and no timer. Decides nothing: what of it is taken up is recovery's to say.
//
// Cost: a thread, three descriptors, two states at most; one is made only after something was asked.
#pragma once

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "operator/operator.hpp"
#include "recovery/core.hpp"
#include "snapshot/store.hpp"
#include "snapshot/writer.hpp"

namespace burlwind {

class Keeper {
 public:
  struct Host {
    std::function<snapshot::Snapshot()> make;  // the state as it is now, its stamp but for name and time
    std::function<void()> lasting;             // the last one made is on the disk
    std::function<void(const std::string&)> log;
  };
  // `files` outlives it. `settings`: what must be alike for a state to mean the same. Reads what there is.
  Keeper(boost::asio::io_context& io, const OperatorSettings::Snapshot& operators, const std::string& name,
         const std::string& settings, std::unique_ptr<snapshot::Files> files, Host host);
  ~Keeper();

  const recovery::Stored& stored() const { return stored_; }
  // What was found, once; nothing where it cannot be used.
  std::optional<snapshot::Snapshot> take() { return std::exchange(found_, std::nullopt); }

  void start();                   // from here on it writes; the first one at once
  void note() { dirty_ = true; }  // something changed that is worth keeping
  void finish();                  // a last one, and waits until it is written: at the end of the process
  void leave();                   // another process of this gatekeeper writes from here on
  unsigned long written() const { return written_; }

 private:
  void write();
  std::string keep(const snapshot::Snapshot& state);
  void waitForEnd();
  void ended();

  const OperatorSettings::Snapshot operators_;
  const std::string name_;
  const std::unique_ptr<snapshot::Files> files_;
  const Host host_;
  snapshot::Store store_;
  snapshot::Writer writer_;
  boost::asio::posix::stream_descriptor ends_;
  boost::asio::steady_timer timer_;
  recovery::Stored stored_;
  std::optional<snapshot::Snapshot> found_;
  unsigned long last_ = 0, written_ = 0;  // by number: made, and on the disk
  bool dirty_ = true, out_ = false, stopped_ = false;
  std::string lastError_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // handlers that have fired run on
};

}  // namespace burlwind
