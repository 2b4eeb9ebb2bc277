#ifndef FILBERTWICK_HARNESS_EFFECT_HASH_H_
#define FILBERTWICK_HARNESS_EFFECT_HASH_H_

#include "filbertwick/base/hash.h"
#include "filbertwick/core/effect.h"

namespace filbertwick::harness {

/// Adds every byte of an effect to a digest.
void AddEffect(const core::Effect& effect, Hasher& hasher);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_EFFECT_HASH_H_
