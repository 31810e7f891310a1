#include "rehearsal/links.hpp"

#include "faults/random.hpp"
#include "http/http.hpp"

namespace burlwind::rehearsal {
namespace {

using asio::ip::tcp;

tcp::endpoint endpointOf(const std::string& text) {
  const auto colon = text.rfind(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<unsigned short>(std::stoul(text.substr(colon + 1)))};
}

std::string textOf(const tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

}  // namespace

bool Links::faulty(const faults::End& near, const faults::End& far) const {
  return table_.touched(0, world_.scenario.lengthMs, near, far) ||
         table_.touched(0, world_.scenario.lengthMs, far, near);
}

tcp::endpoint Links::through(const faults::End& near, const faults::End& far, const tcp::endpoint& real,
                             faults::Relay::Tell tell) {
  if (!faulty(near, far)) return real;
  Link& link = links_[{near.name, far.name}];
  if (link.relay) {
    link.relay->retarget(real);
    return link.relay->address();
  }
  link.near = near, link.far = far;
  const std::uint64_t seed = faults::Hash().add(world_.seed).add(near.name).add(far.name).value();
  try {
    link.relay = std::make_unique<faults::Relay>(
        world_.io, asio::ip::address_v4::loopback(), real, seed, [this] { return world_.now(); },
        std::move(tell));
  } catch (const boost::system::system_error& error) {
    throw SetupError("link " + near.name + " to " + far.name + ": " + error.code().message());
  }
  return link.relay->address();
}

std::string Links::toServer(unsigned gatekeeper, unsigned server, const std::string& real) {
  const auto tell = [this, gatekeeper, server](faults::Relay::What what, std::uint16_t port) {
    if (what == faults::Relay::What::nearEnded) ended_(gatekeeper, server, port);
  };
  return textOf(through(gatekeeperEnd(gatekeeper, world_.scenario), serverEnd(server, world_.scenario),
                        endpointOf(real), tell));
}

std::string Links::toDiscovery(unsigned gatekeeper, const std::string& real) {
  return textOf(through(gatekeeperEnd(gatekeeper, world_.scenario), discoveryEnd(), endpointOf(real), {}));
}

tcp::endpoint Links::toGatekeeper(unsigned gatekeeper, const tcp::endpoint& real) {
  return through(clientsEnd(), gatekeeperEnd(gatekeeper, world_.scenario), real, {});
}

void Links::follow() {
  const double now = world_.now();
  for (auto& [names, link] : links_) {
    const faults::Condition out = table_.at(now, link.near, link.far),
                            back = table_.at(now, link.far, link.near);
    if (out != link.relay->condition(faults::Direction::out)) link.relay->set(faults::Direction::out, out);
    if (back != link.relay->condition(faults::Direction::back))
      link.relay->set(faults::Direction::back, back);
  }
}

double Links::saidSince(unsigned gatekeeper, unsigned server, std::uint16_t port) const {
  const auto found =
      links_.find({gatekeeperEnd(gatekeeper, world_.scenario).name, serverEnd(server, world_.scenario).name});
  return found == links_.end() ? -1 : found->second.relay->saidSince(port);
}

}  // namespace burlwind::rehearsal
