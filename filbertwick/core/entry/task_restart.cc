#include "filbertwick/core/entry/task_restart.h"

namespace filbertwick::core {

TaskRestartDecision DecideTaskRestart(const Job& job,
                                      policy::PlacementOutcome end) {
  switch (end) {
    case policy::PlacementOutcome::kNotStarted:
      return TaskRestartDecision::kOfferAgain;
    case policy::PlacementOutcome::kSucceeded:
    case policy::PlacementOutcome::kStopped:
      return TaskRestartDecision::kNever;
    case policy::PlacementOutcome::kFailed:
    case policy::PlacementOutcome::kLost:
      break;
  }
  const bool single = job.tasks.size() == 1;
  return job.repeatable && single ? TaskRestartDecision::kRepeat
                                  : TaskRestartDecision::kNever;
}

}  // namespace filbertwick::core
