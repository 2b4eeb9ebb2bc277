#ifndef FILBERTWICK_BASE_COUNTERS_H_
#define FILBERTWICK_BASE_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "filbertwick/base/time.h"

namespace filbertwick {

/// A counter or gauge. Thread-safe.
class Counter {
 public:
  /// Adds `n`.
  void Add(uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  /// Sets a gauge to `n`.
  void Set(uint64_t n) { value_.store(n, std::memory_order_relaxed); }
  /// The current value.
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_ = 0;
};

/// A histogram of durations with fixed buckets. Thread-safe.
class Histogram {
 public:
  /// Inclusive upper bounds of the buckets, in milliseconds: from a local round
  /// trip to the longest wait of a caller.
  static constexpr std::array<int64_t, 12> kBoundsMillis = {
      1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000};

  /// Counts one duration.
  void Add(Duration duration);
  /// Appends the cumulative buckets, the sum in seconds and the count to `out`,
  /// as lines of the metric `name` in the Prometheus text format.
  void AppendTo(std::string_view name, std::string& out) const;

 private:
  std::array<std::atomic<uint64_t>, kBoundsMillis.size() + 1> buckets_ = {};
  std::atomic<int64_t> sum_micros_ = 0;
};

/// All counters and histograms of an instance, by name. Thread-safe.
class Counters {
 public:
  /// The counter `name`, created on first use. The reference stays valid for
  /// the lifetime of this object.
  Counter& Get(std::string_view name);
  /// The histogram `name`, created on first use. The reference stays valid for
  /// the lifetime of this object.
  Histogram& GetHistogram(std::string_view name);
  /// One `name value` line per counter in order of name, then the histograms.
  std::string Format() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters_;
  std::map<std::string, std::unique_ptr<Histogram>, std::less<>> histograms_;
};

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_COUNTERS_H_
