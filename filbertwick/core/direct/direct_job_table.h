#ifndef FILBERTWICK_CORE_DIRECT_DIRECT_JOB_TABLE_H_
#define FILBERTWICK_CORE_DIRECT_DIRECT_JOB_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/entry_effect.h"
#include "filbertwick/core/direct/job_history.h"
#include "filbertwick/core/direct/step_graph.h"
#include "filbertwick/core/policy/crash_budget.h"

namespace filbertwick::core::direct {

/// State of a task of a job.
enum class TaskPhase : uint8_t {
  /// Waits for earlier steps.
  kBlocked,
  /// Can be placed.
  kReady,
  /// Assigned to a sidecar: offered, running or being stopped.
  kPlaced,
  kDone,
};

/// A task of a job.
struct JobTask {
  size_t step = 0;
  std::string name;
  TaskPhase phase = TaskPhase::kBlocked;
  /// Number of the newest run; 0 before the first.
  uint64_t run = 0;
  /// The sidecar of that run, which is avoided for the next run if possible;
  /// empty before the first run, or when there is no reason to avoid it.
  InstanceName sidecar;
  uint32_t failures = 0;
  policy::CrashBudget crashes;
};

/// A job between its arrival and its answer.
struct DirectJob {
  uint64_t number = 0;
  JobRequest spec;
  /// Built from `spec`.
  StepGraph graph;
  /// Further requests for the same job; they get the same answer.
  std::vector<uint64_t> duplicate_requests;
  /// In the order of their steps.
  std::vector<JobTask> tasks;
  /// Index of the first task of each step.
  std::vector<size_t> first_task;
  /// Unfinished tasks of each step.
  std::vector<uint32_t> tasks_left_in_step;
  uint32_t tasks_left = 0;
  /// Number of elements of JobStep::after of each step whose tasks are not all
  /// done.
  std::vector<size_t> dependencies_left;
  Instant arrived;
  /// The job is refused when it still waits at this time and no task of it may
  /// have run.
  Instant place_by;
  Instant deadline;
  /// A sidecar has accepted a task, or a run has ended in a way that does not
  /// prove that it never started (any but EndKind::kNotStarted).
  bool started = false;
  /// Logged when the job ends otherwise than in time.
  JobHistory history;
  /// Run number of the tasks that are placed next.
  uint64_t next_run_number = 1;
};

/// The jobs of an entry, with indices by request, job id and run.
class DirectJobTable {
 public:
  /// A task of a job.
  struct TaskRef {
    uint64_t job = 0;
    size_t task = 0;
  };

  /// Adds a job with its tasks. Tasks of steps without dependencies are ready.
  DirectJob& Add(DirectJob job);
  DirectJob* Find(uint64_t number);
  /// Returns the job that arrived with `request`, or null. Does not search
  /// DirectJob::duplicate_requests.
  DirectJob* FindByRequest(uint64_t request);
  DirectJob* FindById(std::string_view id);
  bool HasId(std::string_view id) const {
    return by_id_.contains(std::string(id));
  }
  /// Replaces the request with which a job arrived by another one that waits
  /// for it.
  void ChangeRequest(DirectJob& job, uint64_t request);
  /// Removes a job and its runs.
  void Remove(uint64_t number);

  /// Makes `run` the present run of a task.
  void Bind(const TaskRun& run, TaskRef task) { runs_[run] = task; }
  /// Returns the task of a run; empty when the job was removed or the run was
  /// unbound.
  std::optional<TaskRef> FindRun(const TaskRun& run) const;
  void Unbind(const TaskRun& run) { runs_.erase(run); }

  /// Marks a task as done. When its step has no unfinished task left, also
  /// marks as ready the blocked tasks of every step whose earlier steps (see
  /// JobStep::after) are all done.
  static void Complete(DirectJob& job, JobTask& task);

  std::map<uint64_t, DirectJob>& all() { return jobs_; }
  const std::map<uint64_t, DirectJob>& all() const { return jobs_; }

 private:
  std::map<uint64_t, DirectJob> jobs_;
  std::unordered_map<uint64_t, uint64_t> by_request_;
  std::unordered_multimap<std::string, uint64_t> by_id_;
  std::map<TaskRun, TaskRef> runs_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_DIRECT_JOB_TABLE_H_
