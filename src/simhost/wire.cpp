#include "simhost/wire.hpp"

#include <bit>
#include <stdexcept>

namespace irisring::wire {
namespace {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

class Cursor {
 public:
  explicit Cursor(std::string_view bytes) : rest_(bytes) {}

  template <class T>
  T get() {
    T value;
    std::memcpy(&value, bytes(sizeof(T)).data(), sizeof(T));
    return value;
  }
  std::string_view bytes(std::size_t n) {
    if (n > rest_.size()) throw std::runtime_error("wire: a record runs past the end of its frame");
    const auto out = rest_.substr(0, n);
    rest_.remove_prefix(n);
    return out;
  }
  WorkerId worker() {
    const WorkerId address = get<std::uint32_t>();
    return address | WorkerId{get<std::uint16_t>()} << 32;
  }
  bool empty() const { return rest_.empty(); }
  std::size_t left() const { return rest_.size(); }

 private:
  std::string_view rest_;
};

Result result(std::uint8_t code) {
  switch (code) {
    case 0:
      return Result::ok;
    case 5:
      return Result::error;
    case 11:
      return Result::full;
    case 110:
      return Result::timeout;
    case 111:
      return Result::connectFailed;
    case 104:
      return Result::reset;
    case 125:
      return Result::cancelled;
    case 114:
      return Result::moot;
    default:
      throw std::runtime_error("wire: unknown outcome " + std::to_string(code));
  }
}

Phase phase(std::uint8_t code) {
  switch (code) {
    case 0:
      return Phase::gone;
    case 1:
      return Phase::ready;
    case 2:
      return Phase::draining;
    default:
      throw std::runtime_error("wire: unknown phase " + std::to_string(code));
  }
}

std::vector<double> readReport(Cursor& in) {
  std::vector<double> out(in.get<std::uint8_t>());
  for (double& value : out) value = in.get<float>();
  return out;
}

void readMembers(Cursor& in, Events& events) {
  constexpr std::size_t kEntry = 23;
  const auto how = in.get<std::uint8_t>();
  if (how > 3) throw std::runtime_error("wire: unknown kind of list " + std::to_string(how));
  in.get<std::uint32_t>();  // the list's version
  const auto rows = in.get<std::uint32_t>();
  if (rows > in.left() / kEntry) throw std::runtime_error("wire: a list runs past the end of its frame");
  std::vector<Member> list(rows);
  for (Member& entry : list) {
    entry.phase = phase(in.get<std::uint8_t>());
    entry.worker = in.worker();
    in.get<float>();  // a weight against the others, which nothing here goes by
    entry.zone = in.get<std::uint8_t>();
    entry.kind = in.get<std::uint8_t>();
    entry.started = in.get<double>();
    entry.cell = in.get<std::uint16_t>();
  }
  constexpr ListKind kinds[] = {ListKind::failed, ListKind::delta, ListKind::cached, ListKind::full};
  events.members(kinds[how], list);
}

void readRequest(Cursor& in, Events& events) {
  Request out;
  out.id = in.get<std::uint32_t>();
  out.klass = in.get<std::uint8_t>();
  out.plan = in.get<std::uint32_t>();
  out.customer = in.get<std::uint64_t>();
  out.expires = in.get<double>();
  out.units = in.get<float>();
  const float set = in.get<float>();
  out.setSize = set >= 1 && set < 65536 ? static_cast<unsigned>(set) : 1;
  in.get<float>();          // the first gateway of the set
  in.get<std::uint16_t>();  // state bits
  events.request(out);
}

void readOutcome(Cursor& in, Events& events) {
  Outcome out;
  out.id = in.get<std::uint32_t>();
  out.result = result(in.get<std::uint8_t>());
  out.attempt = in.get<std::uint16_t>();
  out.trueUnits = in.get<std::uint16_t>();
  out.worker = in.worker();
  out.usePercent = static_cast<int>(in.get<std::uint16_t>()) - 1;
  out.elapsed = in.get<double>();
  out.finished = in.get<std::uint8_t>() != 0;
  out.report = readReport(in);
  events.outcome(out);
}

void readRecord(Cursor& in, Events& events) {
  const auto code = in.get<std::uint8_t>();
  switch (code) {
    case 120:
      return events.instance(in.get<std::uint16_t>());
    case 10: {
      const auto salt = in.get<std::uint64_t>();
      return events.start(salt, in.bytes(in.get<std::uint32_t>()));
    }
    case 20:
      return readMembers(in, events);
    case 30:
      return readRequest(in, events);
    case 70:
      return events.timer(in.get<std::uint64_t>());
    case 60:
      return events.clientLeft(in.get<std::uint32_t>());
    case 40:
      in.bytes(4 + 8 + 6 + 2);  // a stream has started: the client owns that attempt now
      return;
    case 50:
      return readOutcome(in, events);
    case 80:
      in.bytes(1 + 6 + 8);  // a probe's result: the module sends none
      readReport(in);
      return;
    case 100:
      return events.stop();
    case 110:
      in.bytes(4 + 8 + 8 + 1);  // an answer of the counter: the module does not call it
      return;
    case 90:
      in.get<std::uint32_t>();  // a peer's message: the module sends none
      in.bytes(in.get<std::uint16_t>());
      return;
    default:
      throw std::runtime_error("wire: unknown record code " + std::to_string(code));
  }
}

}  // namespace

Header readHeader(std::string_view bytes) {
  Cursor in(bytes);
  Header out;
  out.number = in.get<std::uint32_t>();
  out.clock = in.get<double>();
  out.size = in.get<std::uint32_t>();
  out.records = in.get<std::uint32_t>();
  if (out.size < kBatchHeader || out.size > kMostFrame)
    throw std::runtime_error("wire: a frame of " + std::to_string(out.size) + " bytes");
  return out;
}

void readRecords(const Header& header, std::string_view body, Events& events) {
  Cursor in(body);
  for (std::uint32_t i = 0; i < header.records; ++i) readRecord(in, events);
  if (!in.empty()) throw std::runtime_error("wire: bytes left over after the last record");
}

void Reply::begin(std::uint32_t number) {
  bytes_.clear();
  put(number);
  put(std::uint32_t{0});
  put(std::uint32_t{0});
  records_ = 0;
  instance_ = written_ = -1;
}

const std::string& Reply::finish() {
  const auto size = static_cast<std::uint32_t>(bytes_.size());
  std::memcpy(bytes_.data() + 4, &size, sizeof size);
  std::memcpy(bytes_.data() + 8, &records_, sizeof records_);
  return bytes_;
}

void Reply::open(std::uint8_t code) {
  if (instance_ != written_) {
    put(std::uint8_t{140});
    put(static_cast<std::uint16_t>(instance_));
    written_ = instance_;
    ++records_;
  }
  put(code);
  ++records_;
}

void Reply::putWorker(WorkerId worker) {
  put(static_cast<std::uint32_t>(worker));
  put(static_cast<std::uint16_t>(worker >> 32));
}

void Reply::send(RequestId id, WorkerId worker, Time timeout) {
  open(10);
  put(id);
  putWorker(worker);
  put(timeout);
}

void Reply::refuse(RequestId id, Time retryAfter, Reason) {
  open(20);
  put(id);
  put(retryAfter);
}

void Reply::fail(RequestId id, Reason) {
  open(30);
  put(id);
}

void Reply::setTimer(Time wait, std::uint64_t tag) {
  open(50);
  put(wait);
  put(tag);
}

void Reply::subscribe() {
  open(110);
  put(std::uint8_t{1});
}

void Reply::log(const std::string& line) {
  open(90);
  const auto n = static_cast<std::uint16_t>(line.size() < 65535 ? line.size() : 65535);
  put(n);
  bytes_.append(line, 0, n);
}

}  // namespace irisring::wire
