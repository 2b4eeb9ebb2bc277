#ifndef FILBERTWICK_CORE_POLICY_RETRY_AFTER_ESTIMATOR_H_
#define FILBERTWICK_CORE_POLICY_RETRY_AFTER_ESTIMATOR_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// Computes the Retry-After time of refused jobs. Callers that are refused in
/// the same second of an overload and retry at the same time would be refused
/// again. The retries are therefore spread over the number of seconds that is
/// needed to place them in addition to new jobs.
class RetryAfterEstimator {
 public:
  /// Upper bound of Retry-After; kept short because the overload may end at
  /// any time.
  static constexpr std::chrono::seconds kMaxRetryAfter{8};

  /// Counts a job that was placed.
  void OnJobPlaced(Instant now);
  /// Counts a refused job and returns its Retry-After time, from 1 s to
  /// kMaxRetryAfter. `job` is the job's id; its hash selects the second within
  /// the spread.
  std::chrono::seconds Refuse(Instant now, std::string_view job);

 private:
  /// Jobs placed and refused in one window of a second.
  struct WindowCounts {
    uint32_t placed = 0;
    uint32_t refused = 0;
  };
  /// Starts a new window when the current one is over.
  void AdvanceWindow(Instant now);

  Instant window_start_;
  WindowCounts current_;
  WindowCounts previous_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_RETRY_AFTER_ESTIMATOR_H_
