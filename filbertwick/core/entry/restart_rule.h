#ifndef FILBERTWICK_CORE_ENTRY_RESTART_RULE_H_
#define FILBERTWICK_CORE_ENTRY_RESTART_RULE_H_

#include "filbertwick/core/entry/job.h"
#include "filbertwick/core/policy/dispatcher.h"

namespace filbertwick::core {

/// What an owner may do with a task that came back.
enum class RestartDecision : uint8_t {
  /// It never started: offering it again is a first start.
  kOfferAgain,
  /// It started, or may have: a second start is allowed by the bundle.
  kRepeat,
  /// It must never start again.
  kNever,
};

/// The one place that decides whether a task may start again. Only a job of a
/// single task whose service is marked repeatable is ever started twice, and
/// only after a definite end or the loss of its worker.
RestartDecision DecideRestart(const Job& job, policy::PlacementOutcome end);

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_RESTART_RULE_H_
