#ifndef FILBERTWICK_CORE_POLICY_RETRY_AFTER_ESTIMATOR_H_
#define FILBERTWICK_CORE_POLICY_RETRY_AFTER_ESTIMATOR_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// When refused callers may come back. Under overload the refused of one
/// second would return together and be refused again: their return is spread
/// over as many seconds as it takes to serve them beside the newcomers.
class RetryAfterEstimator {
 public:
  /// Longest time that a caller is told to stay away: the shortage may end
  /// any moment.
  static constexpr std::chrono::seconds kMaxRetryAfter{8};

  /// A job was placed.
  void OnJobPlaced(Instant now);
  /// A job was refused; the time after which its caller may come back.
  std::chrono::seconds Refuse(Instant now, std::string_view job);

 private:
  /// Counts of one second.
  struct WindowCounts {
    uint32_t placed = 0;
    uint32_t refused = 0;
  };
  void AdvanceWindow(Instant now);

  Instant window_start_;
  WindowCounts current_;
  WindowCounts previous_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_RETRY_AFTER_ESTIMATOR_H_
