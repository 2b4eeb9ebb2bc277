#ifndef FILBERTWICK_BASE_COUNTERS_H_
#define FILBERTWICK_BASE_COUNTERS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace filbertwick {

/// One counter; threads may add to it at the same time.
class Counter {
 public:
  /// Adds `n`.
  void Add(uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  /// Sets a gauge to `n`.
  void Set(uint64_t n) { value_.store(n, std::memory_order_relaxed); }
  /// The present value.
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_ = 0;
};

/// All counters of a process, by name.
class Counters {
 public:
  /// The counter `name`, made on first use; stays valid as long as this.
  Counter& Get(std::string_view name);
  /// One `name value` line a counter, in order of name.
  std::string Format() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters_;
};

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_COUNTERS_H_
