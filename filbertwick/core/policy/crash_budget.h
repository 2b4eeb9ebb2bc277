#ifndef FILBERTWICK_CORE_POLICY_CRASH_BUDGET_H_
#define FILBERTWICK_CORE_POLICY_CRASH_BUDGET_H_

#include <cstdint>

namespace filbertwick::core::policy {

/// Counts the upstreams that have crashed while they ran a task, and decides
/// when the task is given up. A crash takes all runs of its upstream with it,
/// so a single one says little about each of them. A task that was the only one
/// there is the cause, unless the upstream crashed by accident, which it hardly
/// does twice under the same task.
class CrashBudget {
 public:
  /// Records a crash. `was_alone` is true when nothing else ran there.
  void OnCrash(bool was_alone) {
    ++crashes_;
    last_was_alone_ = was_alone;
  }
  /// Returns true when the task must not be started again.
  bool IsExhausted() const {
    return crashes_ >= kMaxCrashes ||
           (crashes_ >= kMaxCrashesAlone && last_was_alone_);
  }
  uint32_t crashes() const { return crashes_; }

 private:
  /// Crashes after which a task is given up, whatever ran beside it.
  static constexpr uint32_t kMaxCrashes = 3;
  /// The same when the last crash was that of an upstream that it had alone.
  static constexpr uint32_t kMaxCrashesAlone = 2;

  uint32_t crashes_ = 0;
  bool last_was_alone_ = false;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_CRASH_BUDGET_H_
