#ifndef FILBERTWICK_CORE_POLICY_ADMISSION_CONTROL_H_
#define FILBERTWICK_CORE_POLICY_ADMISSION_CONTROL_H_

#include <cstdint>

#include "filbertwick/base/time.h"
#include "filbertwick/core/policy/policy_settings.h"
#include "filbertwick/wire/job.h"

namespace filbertwick::core::policy {

/// Whether a job is accepted.
struct Admission {
  /// kNone accepts the job. Any other reason refuses it, and none of its tasks
  /// has run.
  wire::Reason reason = wire::Reason::kNone;
  /// For refusals: suggested time until a retry, estimated from the load at the
  /// time of the refusal.
  Duration retry_after{0};
};

/// Current load, on which the admission of a job depends.
struct AdmissionInput {
  /// Upstream slots available to this entry; a fraction when entries share
  /// them.
  double slots = 0;
  /// Expected total run time of the waiting tasks that precede the job.
  Duration work_ahead{0};
  /// Expected run time of one task of the job.
  Duration task_run_time{0};
  /// Waiting tasks of all jobs.
  uint64_t waiting = 0;
  /// Maximum number of waiting tasks.
  uint64_t waiting_limit = 0;
  /// Tasks of the job's team that have not ended.
  uint64_t team_unfinished = 0;
  /// Maximum number of tasks of the team that have not ended.
  uint64_t team_quota = 0;
};

/// Refuses a job on arrival when the entry's share of the slots is less than
/// one, when the job would exceed its team's quota or the limit of waiting
/// tasks, or when it is expected to miss its deadline. Stateless; Decide()
/// takes constant time.
class AdmissionControl {
 public:
  explicit AdmissionControl(const AdmissionSettings& settings);

  /// Accepts or refuses a job of `tasks` tasks that must end within `deadline`
  /// from now.
  Admission Decide(uint32_t tasks,
                   Duration deadline,
                   const AdmissionInput& state) const;

 private:
  AdmissionSettings settings_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_ADMISSION_CONTROL_H_
