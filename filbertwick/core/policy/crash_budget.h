#ifndef FILBERTWICK_CORE_POLICY_CRASH_BUDGET_H_
#define FILBERTWICK_CORE_POLICY_CRASH_BUDGET_H_

#include <cstdint>

namespace filbertwick::core::policy {

/// Counts the upstreams that have crashed while they ran a task, and decides
/// when the task is given up. A crash takes all runs of its upstream with it;
/// its cause is most likely one that was started shortly before, a suspect. The
/// suspects of one crash share the suspicion.
class CrashBudget {
 public:
  /// Records a crash. `suspects` is the number of its suspects when the task is
  /// one of them, otherwise 0.
  void OnCrash(uint32_t suspects) {
    ++crashes_;
    if (suspects > 0) {
      ++crashes_as_suspect_;
      suspicion_ += 1.0 / suspects;
    }
  }
  /// Returns true when the task is the likely cause of two crashes.
  bool IsConvicted() const {
    return crashes_as_suspect_ > 1 && suspicion_ >= kConvictingSuspicion;
  }
  /// Returns true when the task must not be started again.
  bool IsExhausted() const { return crashes_ >= kMaxCrashes || IsConvicted(); }
  /// Returns true when the task may be the cause of a crash.
  bool IsSuspect() const { return crashes_as_suspect_ > 0; }

 private:
  static constexpr uint32_t kMaxCrashes = 3;
  /// Two crashes as one of two suspects.
  static constexpr double kConvictingSuspicion = 1;

  uint32_t crashes_ = 0;
  uint32_t crashes_as_suspect_ = 0;
  double suspicion_ = 0;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_CRASH_BUDGET_H_
