#ifndef FILBERTWICK_HARNESS_PROCESS_CLOCK_H_
#define FILBERTWICK_HARNESS_PROCESS_CLOCK_H_

#include <cstdint>

#include "filbertwick/base/time.h"
#include "filbertwick/core/event.h"

namespace filbertwick::harness {

/// The simulated clocks of one process: a monotonic clock with its own origin
/// and rate, and a wall clock with a constant error.
class ProcessClock {
 public:
  ProcessClock() = default;
  /// Clocks of a process that starts at virtual time `boot`. The monotonic
  /// clock reads `origin` then and runs faster than virtual time by `ppm` parts
  /// per million; the wall clock is ahead by `wall_error`.
  ProcessClock(Duration boot, Duration origin, int64_t ppm, Duration wall_error)
      : boot_(boot), origin_(origin), ppm_(ppm), wall_error_(wall_error) {}

  /// Returns the readings of both clocks at virtual time `now`.
  core::Now At(Duration now) const {
    const Duration wall = now + wall_error_;
    return {Instant(origin_ + ToLocalElapsed(now - boot_)),
            WallTime{kWallOriginMillis + wall.count() / 1'000}};
  }

  /// Returns the first virtual time at which the monotonic clock reads
  /// `instant` or later: `boot` for any instant before the origin, and
  /// Duration::max() for Instant::max().
  Duration VirtualTimeOf(Instant instant) const {
    if (instant == Instant::max()) {
      return Duration::max();
    }
    if (instant <= Instant(origin_)) {
      return boot_;
    }
    const Duration local = instant.time_since_epoch() - origin_;
    Duration elapsed(static_cast<int64_t>(static_cast<int64_t>(local.count()) *
                                          kMillion / (kMillion + ppm_)));
    while (ToLocalElapsed(elapsed) < local) {
      ++elapsed;
    }
    return boot_ + elapsed;
  }

 private:
  static constexpr int64_t kMillion = 1'000'000;
  /// Unix time in milliseconds at the start of virtual time.
  static constexpr int64_t kWallOriginMillis = 1'800'000'000'000;

  /// Converts a span of virtual time since `boot` to the monotonic clock's
  /// rate.
  Duration ToLocalElapsed(Duration elapsed) const {
    return elapsed + Duration(elapsed.count() * ppm_ / kMillion);
  }

  Duration boot_{0};
  Duration origin_{0};
  int64_t ppm_ = 0;
  Duration wall_error_{0};
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_PROCESS_CLOCK_H_
