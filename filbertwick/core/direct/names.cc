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
    case EndKind::kLost:
      break;
  }
  return "lost";
}

std::string_view ToString(OrderAnswer result) {
  switch (result) {
    case OrderAnswer::kAccepted:
      return "accepted";
    case OrderAnswer::kFenced:
      return "fenced";
    case OrderAnswer::kRefused:
      return "refused";
    case OrderAnswer::kOtherLife:
      return "other_life";
    case OrderAnswer::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace filbertwick::core::direct
