#ifndef FILBERTWICK_STANDIN_START_COUNTS_H_
#define FILBERTWICK_STANDIN_START_COUNTS_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "filbertwick/base/time.h"

namespace filbertwick::standin {

/// Counts how often each task was started, to see double starts. Several
/// executors may share one; safe on any thread.
class StartCounts {
 public:
  /// Counts a start of the task `key`, such as `job/index`.
  void Add(const std::string& key);

  /// Starts of one task.
  uint32_t Count(const std::string& key) const;
  /// Starts of all tasks.
  uint64_t starts() const;
  /// Waits until `n` tasks have started in all; false when that takes longer
  /// than `limit`.
  bool WaitForStarts(uint64_t n, Duration limit) const;
  /// Tasks started more than once.
  uint64_t tasks_started_twice() const;
  /// One `key count` line a task.
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
