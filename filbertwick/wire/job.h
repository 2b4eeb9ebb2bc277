#ifndef FILBERTWICK_WIRE_JOB_H_
#define FILBERTWICK_WIRE_JOB_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/hash.h"
#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"

namespace filbertwick::wire {

/// Maximum number of tasks in a job.
inline constexpr size_t kMaxTasksPerJob = 980;
/// Maximum size of the payload or result of a task, in bytes.
inline constexpr size_t kMaxTaskBytes = 64 * 1024;
/// Maximum total size of the payloads of a job, in bytes.
inline constexpr size_t kMaxJobBytes = 4 * 1024 * 1024;

/// A job as submitted by a caller.
struct JobSpec {
  JobId id;
  ServiceName service;
  TeamName team;
  /// Time limit for the answer, counted from acceptance of the job.
  Duration deadline = std::chrono::seconds(10);
  /// One payload per task, in task order.
  std::vector<std::string> payloads;
  /// Digest by DigestJob(). A resubmission of `id` with a different digest is
  /// refused.
  BodyDigest digest;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, service, team, deadline, payloads, digest);
  }
};

/// Computes a 128-bit digest of the service, team and payloads of a job.
BodyDigest DigestJob(const JobSpec& spec);

/// Outcome of a task, as known when its job ends.
enum class TaskOutcome : uint8_t {
  /// Ran once and succeeded; its result is available.
  kSucceeded,
  /// Ran, but has no result: it failed, was stopped while running, or its
  /// result was too large or is no longer retained.
  kRan,
  /// Definitely never started and never will.
  kNotRun,
  /// Contact with its worker was lost; it may or may not have run.
  kMayHaveRun,
};

/// Outcome of a task with its result, or with an error text.
struct TaskResult {
  TaskOutcome outcome = TaskOutcome::kNotRun;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(outcome, body);
  }
};

/// Outcome of a job.
enum class JobOutcome : uint8_t {
  /// Every task succeeded and its result is in the answer.
  kComplete,
  /// At least one task has no result. No task of the job starts afterwards.
  kFailed,
  /// This submission starts no task. JobAnswer::not_run tells whether the same
  /// holds for all other submissions of the job.
  kRefused,
};

/// Reason for which a job was refused or failed.
enum class Reason : uint8_t {
  kNone,
  kUnknownService,
  kUnknownTeam,
  kInvalidJob,
  kOverQuota,
  kOverloaded,
  kNoUpstream,
  kDigestMismatch,
  kNoEvidence,
  kStopping,
  kOtherRegionCutOff,
  kDeadline,
  kCancelled,
  kTaskFailed,
  kWorkerLost,
  kUnknownJob,
  kExpired,
};

/// Returns the reason as written in answers, such as `over_quota`.
std::string_view ToString(Reason reason);
/// Returns the outcome as written in answers, such as `may_have_run`.
std::string_view ToString(TaskOutcome outcome);
/// Returns the outcome as written in answers, such as `complete`.
std::string_view ToString(JobOutcome outcome);

/// The answer to a job. Each request of a caller receives exactly one.
struct JobAnswer {
  JobId id;
  JobOutcome outcome = JobOutcome::kRefused;
  Reason reason = Reason::kNone;
  /// For refusals: no task of the job has run or will run. False when the
  /// refusing instance can't rule out another submission of the same job.
  bool not_run = false;
  /// For refusals: time to wait before a retry.
  Duration retry_after{0};
  /// One result per task, in task order; empty for refusals.
  std::vector<TaskResult> tasks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, outcome, reason, not_run, retry_after, tasks);
  }
};

}  // namespace filbertwick::wire

#endif  // FILBERTWICK_WIRE_JOB_H_
