#ifndef FILBERTWICK_HARNESS_PROCESS_CLOCK_H_
#define FILBERTWICK_HARNESS_PROCESS_CLOCK_H_

#include <cstdint>

#include "filbertwick/base/time.h"
#include "filbertwick/core/event.h"

namespace filbertwick::harness {

/// The clocks of one process: a monotonic one with an origin and a rate of its
/// own, and a wall clock that is off by a constant.
class ProcessClock {
 public:
  ProcessClock() = default;
  /// A process that starts at `boot` of virtual time, when its monotonic clock
  /// shows `origin`; the clock runs `ppm` millionths faster than virtual time.
  ProcessClock(Duration boot, Duration origin, int64_t ppm, Duration wall_error)
      : boot_(boot), origin_(origin), ppm_(ppm), wall_error_(wall_error) {}

  /// What the clocks show at virtual time `now`.
  core::Now At(Duration now) const {
    const Duration wall = now + wall_error_;
    return {Instant(origin_ + ToLocalElapsed(now - boot_)),
            WallTime{kWallOriginMillis + wall.count() / 1'000}};
  }

  /// The first virtual time at which the monotonic clock shows `instant`;
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
  /// Unix milliseconds at the start of virtual time.
  static constexpr int64_t kWallOriginMillis = 1'800'000'000'000;

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
