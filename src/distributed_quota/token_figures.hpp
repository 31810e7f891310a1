// What becomes of a tenant's tokens at one place (the store, a registry's cell, a proxy): counted where it
// happens, decides nothing. Counts are tokens since the process began; one token stands for one request.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burlwind::distributed_quota {

enum class TokenEvent : std::uint8_t {
  received,      // came in: at the store by its rate, elsewhere by a grant
  lent,          // granted on to the next place
  spent,         // let a request in
  ownPart,       // let a request in out of touch: no grant stands behind it
  returned,      // back in stock: its request has reached no worker
  handedBack,    // told back to the place it came from
  expired,       // ended by time
  limitLowered,  // ended by a lower limit
  refused        // asked for and not had
};
constexpr std::array<std::string_view, 9> kTokenEventNames = {"received", "lent",          "spent",
                                                              "own_part", "returned",      "handed_back",
                                                              "expired",  "limit_lowered", "refused"};

class TokenFigures {
 public:
  void add(TokenEvent event, double tokens = 1) { counts_[static_cast<std::size_t>(event)] += tokens; }
  double count(TokenEvent event) const { return counts_[static_cast<std::size_t>(event)]; }

 private:
  std::array<double, kTokenEventNames.size()> counts_{};
};

struct TenantTokens {
  std::string tenant;
  double held = 0;  // now
  TokenFigures figures;
};

}  // namespace burlwind::distributed_quota
