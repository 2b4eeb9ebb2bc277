#ifndef FILBERTWICK_CORE_POLICY_RUN_TIME_ESTIMATOR_H_
#define FILBERTWICK_CORE_POLICY_RUN_TIME_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "filbertwick/base/hash.h"
#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// Estimates task run times from samples: an exponentially weighted moving
/// average, and a histogram with logarithmic buckets for quantiles with bounded
/// relative error. Constant memory and time. Deterministic.
class RunTimeEstimator {
 public:
  /// Creates an estimator that returns `initial` until the first sample.
  /// `gain`, from 0 to 1, is the weight of a new sample in the mean.
  explicit RunTimeEstimator(Duration initial, double gain = 0.05);

  /// Adds a measured run time; negative times count as 0.
  void Add(Duration run_time);

  /// Exponentially weighted mean of the samples; the initial value without
  /// samples.
  Duration mean() const;
  /// Run time that the given share, from 0 to 1, of recent samples does not
  /// exceed, within about 10%; the initial value without samples.
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
  /// Number of samples by logarithm of their run time; all counts are halved
  /// when their sum reaches a limit, so that old samples decay.
  std::array<uint32_t, kBuckets> counts_{};
  /// Sum of counts_.
  uint32_t total_count_ = 0;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_RUN_TIME_ESTIMATOR_H_
