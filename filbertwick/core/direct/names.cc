#include "filbertwick/core/direct/names.h"

namespace filbertwick::core::direct {

std::string_view ToString(JobOutcome outcome) {
  switch (outcome) {
    case JobOutcome::kCompleted:
      return "completed";
    case JobOutcome::kFailed:
      return "failed";
    case JobOutcome::kRefused:
      return "refused";
    case JobOutcome::kTimedOut:
      break;
  }
  return "timed_out";
}

std::string_view ToString(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kNotStarted:
      return "not_started";
    case EndKind::kCrashed:
      return "crashed";
    case EndKind::kLost:
      break;
  }
  return "lost";
}

std::string_view ToString(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kNoCapacity:
      return "no_capacity";
    case Refusal::kStale:
      return "stale";
    case Refusal::kNotAccepting:
      return "not_accepting";
    case Refusal::kOtherRun:
      return "other_run";
    case Refusal::kStopped:
      return "stopped";
  }
  return "";
}

std::string_view ToString(CommandResult result) {
  switch (result) {
    case CommandResult::kAccepted:
      return "accepted";
    case CommandResult::kFenced:
      return "fenced";
    case CommandResult::kRefused:
      return "refused";
    case CommandResult::kOtherIncarnation:
      return "other_life";
    case CommandResult::kNotReached:
      return "not_reached";
    case CommandResult::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace filbertwick::core::direct
