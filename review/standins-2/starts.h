#ifndef REVIEW_STANDINS_2_STARTS_H_
#define REVIEW_STANDINS_2_STARTS_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.h"

namespace review {

/// Collects what the executors of a case start and end. Thread-safe.
class Starts {
 public:
  struct Start {
    std::string task;
    int64_t run = 0;
    int64_t at = 0;
    /// When the run ended; -1 while it works.
    int64_t ended_at = -1;
    std::string how;
  };

  ExecutorHooks Hooks() {
    return {
        [this](const std::string& task, int64_t run) {
          const std::lock_guard lock(mutex_);
          starts_.push_back({task, run, NowMs(), -1, ""});
        },
        [this](const std::string& task, int64_t run, const char* how) {
          const std::lock_guard lock(mutex_);
          for (Start& start : starts_) {
            if (start.task == task && start.run == run && start.ended_at < 0) {
              start.ended_at = NowMs();
              start.how = how;
            }
          }
        }};
  }
  /// Returns the starts of a job's tasks, oldest first.
  std::vector<Start> Of(std::string_view job) {
    const std::lock_guard lock(mutex_);
    std::vector<Start> found;
    for (const Start& start : starts_) {
      if (start.task.starts_with(job)) {
        found.push_back(start);
      }
    }
    return found;
  }

 private:
  std::mutex mutex_;
  std::vector<Start> starts_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_STARTS_H_
