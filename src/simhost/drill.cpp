// The adapter: hosts gateways of the decision module on the bench's wire (standard input and output). One
// object per instance; they share nothing but the reply that their actions are written to.
#include <cstdio>
#include <exception>
#include <map>
#include <stdexcept>

#include "settings/settings.hpp"
#include "simhost/wire.hpp"

namespace {

using namespace irisring;

class Host : public wire::Events {
 public:
  void batch(const wire::Header& header, std::string_view body) {
    clock_ = header.clock;
    current_ = nullptr;
    number_ = 0;
    reply.begin(header.number);
    wire::readRecords(header, body, *this);
  }
  void instance(unsigned number) override {
    number_ = number;
    const auto found = gateways_.find(number);
    current_ = found == gateways_.end() ? nullptr : &found->second;
    reply.by(number);
  }
  void start(std::uint64_t salt, std::string_view settings) override {
    gateways_.erase(number_);
    current_ =
        &gateways_.emplace(number_, Gateway(parseSettings(settings), salt, clock_, reply)).first->second;
  }
  void members(ListKind kind, const std::vector<Member>& list) override {
    live().members(clock_, kind, list);
  }
  void request(const Request& request) override { live().request(clock_, request); }
  void outcome(const Outcome& outcome) override { live().outcome(clock_, outcome); }
  void clientLeft(RequestId id) override { live().clientLeft(clock_, id); }
  void timer(std::uint64_t tag) override { live().timer(clock_, tag); }
  void stop() override {
    gateways_.erase(number_);
    current_ = nullptr;
  }

  wire::Reply reply;

 private:
  Gateway& live() {
    if (!current_) throw std::runtime_error("wire: an event for an instance that was not started");
    return *current_;
  }

  std::map<unsigned, Gateway> gateways_;
  Gateway* current_ = nullptr;
  unsigned number_ = 0;
  Time clock_ = 0;
};

int serve() {
  Host host;
  std::string bytes;
  for (;;) {
    bytes.resize(wire::kBatchHeader);
    const std::size_t got = std::fread(bytes.data(), 1, bytes.size(), stdin);
    if (got == 0) return 0;
    if (got < bytes.size()) throw std::runtime_error("wire: the input ends inside a frame's header");
    const wire::Header header = wire::readHeader(bytes);
    // Grown in steps, so that a damaged length cannot claim a huge block at once.
    constexpr std::size_t kStep = std::size_t{1} << 22;
    bytes.clear();
    for (std::size_t left = header.size - wire::kBatchHeader; left > 0;) {
      const std::size_t part = left < kStep ? left : kStep;
      const std::size_t at = bytes.size();
      bytes.resize(at + part);
      if (std::fread(bytes.data() + at, 1, part, stdin) < part)
        throw std::runtime_error("wire: the input ends inside a frame");
      left -= part;
    }
    host.batch(header, bytes);
    const std::string& out = host.reply.finish();
    if (std::fwrite(out.data(), 1, out.size(), stdout) < out.size() || std::fflush(stdout) != 0)
      throw std::runtime_error("wire: the reply could not be written");
  }
}

}  // namespace

int main() {
  try {
    return serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "irisring_drill: %s\n", error.what());
    return 1;
  }
}
