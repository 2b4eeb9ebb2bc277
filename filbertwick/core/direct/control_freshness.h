#ifndef FILBERTWICK_CORE_DIRECT_CONTROL_FRESHNESS_H_
#define FILBERTWICK_CORE_DIRECT_CONTROL_FRESHNESS_H_

#include <algorithm>
#include <optional>

#include "filbertwick/base/time.h"

namespace filbertwick::core::direct {

/// How recently the followed control stream was known to be complete. What it
/// does not contain may exist by now, unless it was confirmed within the time
/// in which a change has to be in force.
class ControlFreshness {
 public:
  /// `bound` is the time from the publication of a change until it is in force
  /// everywhere.
  explicit ControlFreshness(Duration bound) : bound_(bound) {}

  /// Records that the stream was complete at `at`, which may be in the past.
  void Confirm(Instant at) {
    confirmed_at_ = std::max(confirmed_at_.value_or(at), at);
  }
  /// Returns the time since the stream was known to be complete; nullopt when
  /// it never was.
  std::optional<Duration> Age(Instant now) const {
    return confirmed_at_ ? std::optional(now - *confirmed_at_) : std::nullopt;
  }
  /// Returns true when no change that has to be in force can be missing.
  bool IsConfirmed(Instant now) const {
    return confirmed_at_ && now - *confirmed_at_ < bound_;
  }

 private:
  const Duration bound_;
  std::optional<Instant> confirmed_at_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_CONTROL_FRESHNESS_H_
