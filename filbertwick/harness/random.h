#ifndef FILBERTWICK_HARNESS_RANDOM_H_
#define FILBERTWICK_HARNESS_RANDOM_H_

#include <cstdint>
#include <random>

#include "filbertwick/base/time.h"

namespace filbertwick::harness {

/// Pseudo-random number generator whose sequence for a seed is the same on
/// every machine. It uses no standard distributions.
class Random {
 public:
  /// The sequence depends on `seed` alone.
  explicit Random(uint64_t seed) : engine_(seed * kSeedFactor + 1) {}

  /// Returns the next 64 random bits.
  uint64_t Next() { return engine_(); }
  /// Returns a number in [0, n), or 0 when `n` is 0.
  uint64_t Below(uint64_t n) { return n == 0 ? 0 : Next() % n; }
  /// Returns true with probability `p`. Draws no number when `p` is 0.
  bool Chance(double p) { return p > 0 && Fraction() < p; }
  /// Returns a number in [0, 1).
  double Fraction() {
    return static_cast<double>(Next() >> 11) / static_cast<double>(1LL << 53);
  }
  /// Returns a duration in [low, high], or `low` when the range is empty.
  Duration Between(Duration low, Duration high) {
    if (high <= low) {
      return low;
    }
    const auto span = static_cast<uint64_t>((high - low).count()) + 1;
    return low + Duration(static_cast<int64_t>(Below(span)));
  }

 private:
  static constexpr uint64_t kSeedFactor = 0x9e3779b97f4a7c15;
  std::mt19937_64 engine_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_RANDOM_H_
