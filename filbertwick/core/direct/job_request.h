#ifndef FILBERTWICK_CORE_DIRECT_JOB_REQUEST_H_
#define FILBERTWICK_CORE_DIRECT_JOB_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/resources.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {

/// A step of a job: a number of identical tasks.
struct JobStep {
  uint32_t count = 1;
  Resources needs;
  /// Estimated run time of a task.
  Duration estimate{0};
  /// Indices of earlier steps whose tasks must all have succeeded first.
  std::vector<size_t> after;
  /// Label that the upstream must have; empty for any upstream.
  std::string required_label;
  /// Rack that holds the step's data; empty for any rack.
  std::string data_rack;
  /// Most tasks of the step on one upstream at a time; 0 means no limit.
  uint32_t max_tasks_per_upstream = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(count, needs, estimate, after, required_label, data_rack,
            max_tasks_per_upstream);
  }
};

/// A job whose caller waits for the answer.
struct JobRequest {
  /// Identifies the caller's request in answers; unique within the process.
  uint64_t request = 0;
  std::string id;
  std::string service;
  /// Names the route by which the job came. Jobs of one queue are alike, and so
  /// are their faults.
  std::string queue;
  /// 0 is the highest priority.
  uint32_t priority = 0;
  /// Number of failed runs of one task after which the job fails.
  uint32_t max_attempts = 1;
  /// Target latency, from the arrival of the job to its answer.
  Duration target{0};
  /// Expected time from the start of the first task to the end of the last one.
  Duration expected{0};
  /// Time after which the caller disconnects or the route times out.
  Duration time_limit{0};
  std::string spec;
  std::vector<JobStep> steps;
  /// Time since the caller's request arrived that another entry, or this one
  /// while the job was handed over, has spent on it. Already subtracted from
  /// `target` and `time_limit`.
  Duration age{0};
  /// Lower bound of the job's run numbers.
  uint64_t first_run = 0;
  /// The job was handed over before, to this entry or by it without success. It
  /// is not handed on.
  bool was_handed_over = false;

  /// Leaves out `request` and `was_handed_over`, which are the receiver's.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, service, queue, priority, max_attempts, target, expected,
            time_limit, spec, steps, age, first_run);
  }
};

/// How a job ended.
enum class JobOutcome : uint8_t {
  kCompleted,
  /// A task has used up its attempts, or the job was cancelled when tasks may
  /// already have run.
  kFailed,
  /// No task of the job has run or will run.
  kRefused,
  /// The time limit passed; some tasks may have run.
  kTimedOut,
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_JOB_REQUEST_H_
