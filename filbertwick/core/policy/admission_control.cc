#include "filbertwick/core/policy/admission_control.h"

#include <algorithm>

namespace filbertwick::core::policy {
namespace {

/// Shortest and longest advice when to try a refused job again.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

Duration RetryAfter(double micros) {
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
            RetryAfter(static_cast<double>(kMaxRetryAfter.count()))};
  }
  const double wait =
      static_cast<double>(state.work_ahead.count()) / state.slots;
  if (state.team_unfinished + tasks > state.team_quota) {
    return {wire::Reason::kOverQuota, RetryAfter(wait)};
  }
  if (state.waiting + tasks > state.waiting_limit) {
    return {wire::Reason::kOverloaded, RetryAfter(wait)};
  }
  // The job ends when its own work is done after what goes first.
  const auto task = static_cast<double>(state.task_run_time.count());
  const double own = std::max(task, task * tasks / state.slots);
  const double limit =
      settings_.max_deadline_share * static_cast<double>(deadline.count());
  if (settings_.enforce_deadline && wait > 0 && wait + own > limit) {
    return {wire::Reason::kOverloaded, RetryAfter(wait + own - limit)};
  }
  return {};
}

}  // namespace filbertwick::core::policy
