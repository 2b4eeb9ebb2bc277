#include "filbertwick/base/hash.h"

#include <xxhash.h>

namespace filbertwick {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

void Hasher::Add(std::string_view data) {
  digest_ = Hash64(data, digest_ + data.size() + 1);
}

void Hasher::Add(uint64_t value) {
  digest_ = XXH3_64bits_withSeed(&value, sizeof(value), digest_);
}

}  // namespace filbertwick
