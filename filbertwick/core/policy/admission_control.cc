#include "filbertwick/core/policy/admission_control.h"

#include <algorithm>

namespace filbertwick::core::policy {
namespace {

/// Bounds of Admission::retry_after.
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(30);

Duration RetryAfter(double micros) {
  const auto most = static_cast<double>(kLongestRetryAfter.count());
  return std::max(Duration(static_cast<int64_t>(std::min(micros, most))),
                  kShortestRetryAfter);
}

}  // namespace

AdmissionControl::AdmissionControl(const AdmissionSettings& settings)
    : settings_(settings) {}

Admission AdmissionControl::Decide(uint32_t tasks,
                                   Duration deadline,
                                   const AdmissionState& state) const {
  if (state.slots < 1.0) {
    return {wire::Reason::kNoUpstream,
            RetryAfter(static_cast<double>(kLongestRetryAfter.count()))};
  }
  const double wait =
      static_cast<double>(state.work_ahead.count()) / state.slots;
  if (state.team_unfinished + tasks > state.team_quota) {
    return {wire::Reason::kOverQuota, RetryAfter(wait)};
  }
  if (state.waiting + tasks > state.waiting_limit) {
    return {wire::Reason::kOverloaded, RetryAfter(wait)};
  }
  // The job ends after the preceding work plus its own work, which takes at
  // least the run time of one task.
  const auto task = static_cast<double>(state.task_run_time.count());
  const double own = std::max(task, task * tasks / state.slots);
  const double most =
      settings_.deadline_share * static_cast<double>(deadline.count());
  if (settings_.use_deadline && wait > 0 && wait + own > most) {
    return {wire::Reason::kOverloaded, RetryAfter(wait + own - most)};
  }
  return {};
}

}  // namespace filbertwick::core::policy
