#include "filbertwick/core/entry/restart_rule.h"

namespace filbertwick::core {

RestartDecision DecideRestart(const Job& job, policy::PlacementOutcome end) {
  switch (end) {
    case policy::PlacementOutcome::kNotStarted:
      return RestartDecision::kOfferAgain;
    case policy::PlacementOutcome::kSucceeded:
    case policy::PlacementOutcome::kStopped:
      return RestartDecision::kNever;
    case policy::PlacementOutcome::kFailed:
    case policy::PlacementOutcome::kLost:
      break;
  }
  const bool single = job.tasks.size() == 1;
  return job.repeatable && single ? RestartDecision::kRepeat
                                  : RestartDecision::kNever;
}

}  // namespace filbertwick::core
