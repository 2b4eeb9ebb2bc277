#ifndef FILBERTWICK_CORE_ENTRY_TASK_RESTART_H_
#define FILBERTWICK_CORE_ENTRY_TASK_RESTART_H_

#include "filbertwick/core/entry/job.h"
#include "filbertwick/core/policy/dispatcher.h"

namespace filbertwick::core {

/// Whether a task that its sidecar no longer holds may be offered again.
enum class TaskRestartDecision : uint8_t {
  /// The task never started, so the next offer leads to its first start.
  kOfferAgain,
  /// The task started or may have started, and the bundle allows another start.
  kRepeat,
  /// The task must not start again.
  kNever,
};

/// Decides whether a task may start again after `end`. This is the only place
/// that allows a second start: only the task of a single-task job whose service
/// is marked repeatable starts twice, and only after it failed or its worker
/// was lost.
TaskRestartDecision DecideTaskRestart(const Job& job,
                                      policy::PlacementOutcome end);

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_TASK_RESTART_H_
