#include "model_checking/fingerprint.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace burlwind::model_checking {

Fingerprint FingerprintBuilder::result() const { return XXH3_64bits(bytes_.data(), bytes_.size()); }

}  // namespace burlwind::model_checking
