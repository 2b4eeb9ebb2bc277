#include "filbertwick/core/policy/run_time_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace filbertwick::core::policy {
namespace {

/// Ratio of the upper bounds of adjacent buckets.
constexpr double kBucketRatio = 1.2;
/// Number of samples at which all counts are halved, so that old ones decay.
constexpr uint32_t kCountLimit = 4096;
/// During warm-up, sample n has the weight kWarmUpWeight / n in the mean. With
/// 1 this is the arithmetic mean. Warm-up ends when the weight falls below the
/// gain.
constexpr double kWarmUpWeight = 1.0;

}  // namespace

RunTimeEstimator::RunTimeEstimator(Duration initial, double gain)
    : initial_(initial),
      gain_(gain),
      mean_micros_(static_cast<double>(initial.count())) {}

void RunTimeEstimator::Add(Duration run_time) {
  const Duration time = std::max(run_time, Duration(0));
  ++samples_;
  // Start with the arithmetic mean of the samples: the initial value is only a
  // guess and must not affect the mean.
  const double gain =
      std::max(gain_, kWarmUpWeight / static_cast<double>(samples_));
  mean_micros_ += gain * (static_cast<double>(time.count()) - mean_micros_);
  ++counts_[BucketOf(time)];
  if (++total_count_ < kCountLimit) {
    return;
  }
  total_count_ = 0;
  for (uint32_t& count : counts_) {
    count /= 2;
    total_count_ += count;
  }
}

Duration RunTimeEstimator::mean() const {
  return Duration(std::llround(mean_micros_));
}

Duration RunTimeEstimator::Quantile(double share) const {
  if (total_count_ == 0) {
    return initial_;
  }
  const double target = std::clamp(share, 0.0, 1.0) * total_count_;
  double cumulative = 0;
  size_t bucket = 0;
  for (; bucket + 1 < kBuckets; ++bucket) {
    cumulative += counts_[bucket];
    if (cumulative >= target && cumulative > 0) {
      break;
    }
  }
  // Return the geometric middle of the bucket.
  const double exponent = static_cast<double>(bucket) - 0.5;
  return Duration(std::llround(std::pow(kBucketRatio, exponent)));
}

void RunTimeEstimator::Hash(Hasher& hasher) const {
  hasher.Add(samples_);
  hasher.Add(std::bit_cast<uint64_t>(mean_micros_));
  for (const uint32_t count : counts_) {
    hasher.Add(count);
  }
}

size_t RunTimeEstimator::BucketOf(Duration run_time) {
  if (run_time.count() < 1) {
    return 0;
  }
  const double exponent =
      std::log(static_cast<double>(run_time.count())) / std::log(kBucketRatio);
  return std::min(static_cast<size_t>(std::ceil(exponent)), kBuckets - 1);
}

}  // namespace filbertwick::core::policy
