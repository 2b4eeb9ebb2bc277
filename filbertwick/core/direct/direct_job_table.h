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

namespace filbertwick::core::direct {

/// Where a task of a job stands.
enum class TaskPhase : uint8_t {
  /// Earlier steps have not ended.
  kBlocked,
  kReady,
  /// At a sidecar: offered, running or being stopped.
  kPlaced,
  kDone,
};

/// A task of a job.
struct JobTask {
  size_t step = 0;
  std::string name;
  TaskPhase phase = TaskPhase::kBlocked;
  /// Number of its newest run; 0 before the first.
  uint64_t run = 0;
  /// Where that run is or was.
  InstanceName place;
  uint32_t failures = 0;
};

/// A job from its arrival to its answer.
struct DirectJob {
  uint64_t number = 0;
  JobRequest spec;
  /// Further requests of the same caller for the same job.
  std::vector<uint64_t> joined;
  std::vector<JobTask> tasks;
  /// Tasks left in each step.
  std::vector<uint32_t> left_in_step;
  uint32_t left = 0;
  Instant arrived;
  /// When it must have been placed; later it is refused.
  Instant start_by;
  Instant deadline;
  /// A sidecar has started a task, or may have.
  bool begun = false;
  /// Lowest number for its next run.
  uint64_t next_run = 1;
};

/// The jobs of an entry, and which runs belong to which task.
class DirectJobTable {
 public:
  /// A task of a job.
  struct TaskRef {
    uint64_t job = 0;
    size_t task = 0;
  };

  /// Adds a job with its tasks; those of steps without conditions are ready.
  DirectJob& Add(DirectJob job);
  DirectJob* Find(uint64_t number);
  DirectJob* FindByRequest(uint64_t request);
  DirectJob* FindById(std::string_view id);
  /// Forgets a job and its runs.
  void Remove(uint64_t number);

  /// Notes that `run` is the present run of a task.
  void Bind(const TaskRun& run, TaskRef task) { runs_[run] = task; }
  /// The task of a run, unless the job is gone or the run was unbound.
  std::optional<TaskRef> FindRun(const TaskRun& run) const;
  void Unbind(const TaskRun& run) { runs_.erase(run); }

  /// Counts a task as done; readies the steps that waited for its step.
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
