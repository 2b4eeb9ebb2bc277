#ifndef FILBERTWICK_CORE_POLICY_ADMISSION_CONTROL_H_
#define FILBERTWICK_CORE_POLICY_ADMISSION_CONTROL_H_

#include <cstdint>

#include "filbertwick/base/time.h"
#include "filbertwick/core/policy/policy_settings.h"
#include "filbertwick/wire/job.h"

namespace filbertwick::core::policy {

/// Whether a job is taken in.
struct Admission {
  /// kNone admits; others refuse with "not run".
  wire::Reason reason = wire::Reason::kNone;
  /// For refusals: when a retry is worth it.
  Duration retry_after{0};
};

/// What admission must know of the present.
struct AdmissionInput {
  /// Slots that this entry gets for its tasks.
  double slots = 0;
  /// Expected run time of all waiting tasks that would go first.
  Duration work_ahead{0};
  /// Expected run time of one task of the job.
  Duration task_run_time{0};
  /// Tasks of any job that wait.
  uint64_t waiting = 0;
  /// Most tasks that may wait.
  uint64_t waiting_limit = 0;
  /// Tasks of the team that have not ended, and how many it may have.
  uint64_t team_unfinished = 0;
  uint64_t team_quota = 0;
};

/// Refuses a job at once when it has no place, passes its team's quota or
/// would most likely end past its deadline. Constant time, no state.
class AdmissionControl {
 public:
  explicit AdmissionControl(const AdmissionSettings& settings);

  /// Decides on a job of `tasks` tasks that must end within `deadline`.
  Admission Decide(uint32_t tasks,
                   Duration deadline,
                   const AdmissionInput& state) const;

 private:
  AdmissionSettings settings_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_ADMISSION_CONTROL_H_
