#include "model_checking/fingerprint.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace burlwind::model_checking {

void FingerprintBuilder::add(std::string_view text) {
  add(std::uint64_t{text.size()});
  add(XXH3_64bits(text.data(), text.size()));
}

}  // namespace burlwind::model_checking
