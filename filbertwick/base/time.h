#ifndef FILBERTWICK_BASE_TIME_H_
#define FILBERTWICK_BASE_TIME_H_

#include <time.h>

#include <chrono>
#include <cstdint>

namespace filbertwick {

/// A length of time in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic clock of one process; its instants have no meaning in another
/// process. It includes the time that the machine was suspended, so that data
/// which expired during a suspend counts as expired afterwards.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;

  /// The current instant.
  static time_point now() {
    timespec now = {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
  }
};

/// An instant on a process's own monotonic clock.
using Instant = MonotonicClock::time_point;

/// Unix time in milliseconds. Used only for display and for the creation time
/// of a UUIDv7; a safety decision must never use it without a margin for clock
/// skew.
struct WallTime {
  int64_t unix_millis = 0;

  friend auto operator<=>(const WallTime&, const WallTime&) = default;

  /// Reads or writes the time through a cereal archive.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(unix_millis);
  }

  /// The current Unix time.
  static WallTime Now() {
    return {std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()};
  }
};

/// Microseconds between the clock's origin and an instant.
inline int64_t ToMicros(Instant instant) {
  return instant.time_since_epoch().count();
}

/// Inverse of ToMicros().
inline Instant FromMicros(int64_t micros) {
  return Instant(Duration(micros));
}

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_TIME_H_
