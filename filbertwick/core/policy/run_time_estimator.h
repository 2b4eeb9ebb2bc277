#ifndef FILBERTWICK_CORE_POLICY_RUN_TIME_ESTIMATOR_H_
#define FILBERTWICK_CORE_POLICY_RUN_TIME_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "filbertwick/base/hash.h"
#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// Run times of tasks as measured: a weighted mean that follows changes, and a
/// sketch of the distribution with bounded relative error. Constant memory,
/// constant time. Deterministic.
class RunTimeEstimator {
 public:
  /// An estimator that answers `initial` until the first sample; each sample
  /// counts `gain` (0..1) against the mean so far.
  explicit RunTimeEstimator(Duration initial, double gain = 0.05);

  /// Adds one measured run time; times below 0 count as 0.
  void Add(Duration run_time);

  /// Weighted mean of the samples.
  Duration mean() const;
  /// The run time that this share (0..1) of recent samples did not exceed, to
  /// within about 10%; the initial value without samples.
  Duration Quantile(double share) const;
  /// Number of samples.
  uint64_t samples() const { return samples_; }

  /// Adds the estimator's state to a digest.
  void Hash(Hasher& hasher) const;

 private:
  static constexpr size_t kBuckets = 128;
  static size_t BucketOf(Duration run_time);

  Duration initial_;
  double gain_;
  double mean_micros_;
  uint64_t samples_ = 0;
  /// Samples by logarithm of their time; halved when they grow many.
  std::array<uint32_t, kBuckets> counts_{};
  uint32_t counted_ = 0;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_RUN_TIME_ESTIMATOR_H_
