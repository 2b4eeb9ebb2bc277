#include "filbertwick/core/entry/start_rule.h"

namespace filbertwick::core {

StartRuling RuleOnStart(const Job& job, policy::TaskEnd end) {
  switch (end) {
    case policy::TaskEnd::kNotStarted:
      return StartRuling::kOfferAgain;
    case policy::TaskEnd::kSucceeded:
    case policy::TaskEnd::kStopped:
      return StartRuling::kNever;
    case policy::TaskEnd::kFailed:
    case policy::TaskEnd::kLost:
      break;
  }
  const bool single = job.tasks.size() == 1;
  return job.repeatable && single ? StartRuling::kRepeat : StartRuling::kNever;
}

}  // namespace filbertwick::core
