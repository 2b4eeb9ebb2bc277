#ifndef FILBERTWICK_STANDIN_START_COUNTS_H_
#define FILBERTWICK_STANDIN_START_COUNTS_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "filbertwick/base/time.h"

namespace filbertwick::standin {

/// Counts how often each task was started, to detect tasks that ran more than
/// once. Thread-safe; several executors may share one object.
class StartCounts {
 public:
  /// Counts one start of the task `key`, which has the form `job/index`.
  void Add(const std::string& key);

  /// Number of starts of one task.
  uint32_t Count(const std::string& key) const;
  /// Number of starts of all tasks together.
  uint64_t starts() const;
  /// Blocks until starts() is at least `n`. Returns false if that takes longer
  /// than `limit`.
  bool WaitForStarts(uint64_t n, Duration limit) const;
  /// Number of tasks that were started more than once.
  uint64_t tasks_started_twice() const;
  /// Returns one line `key count` per task.
  std::string Format() const;

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable started_;
  std::map<std::string, uint32_t> counts_;
  uint64_t starts_ = 0;
  uint64_t tasks_started_twice_ = 0;
};

}  // namespace filbertwick::standin

#endif  // FILBERTWICK_STANDIN_START_COUNTS_H_
