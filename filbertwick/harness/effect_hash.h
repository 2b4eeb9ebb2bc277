#ifndef FILBERTWICK_HARNESS_EFFECT_HASH_H_
#define FILBERTWICK_HARNESS_EFFECT_HASH_H_

#include "filbertwick/base/hash.h"
#include "filbertwick/core/effect.h"

namespace filbertwick::harness {

/// Adds the content of an effect, including message and payload bytes, to
/// `hasher`. Of an AuditEffect it adds only the text of Describe().
void AddEffect(const core::Effect& effect, Hasher& hasher);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_EFFECT_HASH_H_
