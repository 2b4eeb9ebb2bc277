#include "filbertwick/core/policy/admission_control.h"

#include <algorithm>

namespace filbertwick::core::policy {
namespace {

/// Bounds of Admission::retry_after.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

Duration ClampedRetryAfter(double micros) {
  const auto limit = static_cast<double>(kMaxRetryAfter.count());
  return std::max(Duration(static_cast<int64_t>(std::min(micros, limit))),
                  kMinRetryAfter);
}

}  // namespace

AdmissionControl::AdmissionControl(const AdmissionSettings& settings)
    : settings_(settings) {}

Admission AdmissionControl::Decide(uint32_t tasks,
                                   Duration deadline,
                                   const AdmissionInput& state) const {
  if (state.slots < 1.0) {
    return {wire::Reason::kNoUpstream,
            ClampedRetryAfter(static_cast<double>(kMaxRetryAfter.count()))};
  }
  const double wait =
      static_cast<double>(state.work_ahead.count()) / state.slots;
  if (state.team_unfinished + tasks > state.team_quota) {
    return {wire::Reason::kOverQuota, ClampedRetryAfter(wait)};
  }
  if (state.waiting + tasks > state.waiting_limit) {
    return {wire::Reason::kOverloaded, ClampedRetryAfter(wait)};
  }
  // The job is expected to end after `wait`, the time for the work ahead of it,
  // and `own`, the time for its own tasks, which is at least the run time of
  // one task. A job without work ahead of it is not refused by its deadline.
  const auto task = static_cast<double>(state.task_run_time.count());
  const double own = std::max(task, task * tasks / state.slots);
  const double limit =
      settings_.max_deadline_share * static_cast<double>(deadline.count());
  if (settings_.enforce_deadline && wait > 0 && wait + own > limit) {
    return {wire::Reason::kOverloaded, ClampedRetryAfter(wait + own - limit)};
  }
  return {};
}

}  // namespace filbertwick::core::policy
