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

/// Most tasks of one job.
inline constexpr size_t kMaxTasksPerJob = 980;
/// Most bytes of one task's payload or result.
inline constexpr size_t kMaxTaskBytes = 64 * 1024;
/// Most bytes of all payloads of one job.
inline constexpr size_t kMaxJobBytes = 4 * 1024 * 1024;

/// A job as a caller submits it.
struct JobSpec {
  JobId id;
  ServiceName service;
  TeamName team;
  /// Time the caller waits for the answer, from acceptance.
  Duration deadline = std::chrono::seconds(10);
  /// One payload a task, in order.
  std::vector<std::string> payloads;
  /// Digest of all fields above but the deadline.
  BodyDigest digest;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, service, team, deadline, payloads, digest);
  }
};

/// Digest of a job's service, team and payloads.
BodyDigest DigestJob(const JobSpec& spec);

/// What is known of a task when its job ends.
enum class TaskOutcome : uint8_t {
  /// Ran once and succeeded; a result is there.
  kSucceeded,
  /// Ran and failed, or was stopped while it ran.
  kRan,
  /// Certainly never started, and never will.
  kNotRun,
  /// Its worker was lost; it may have run.
  kMayHaveRun,
};

/// Outcome of one task, with its result or error text.
struct TaskResult {
  TaskOutcome outcome = TaskOutcome::kNotRun;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(outcome, body);
  }
};

/// How a job ended.
enum class JobOutcome : uint8_t {
  /// Every task has its result.
  kComplete,
  /// At least one task has none; nothing of the job starts any more.
  kFailed,
  /// Refused: this submission starts nothing; see JobAnswer::not_run.
  kRefused,
};

/// Why a job was refused or failed.
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

/// The reason as it stands in answers, such as `over_quota`.
std::string_view ToString(Reason reason);
/// The outcome as it stands in answers, such as `may_have_run`.
std::string_view ToString(TaskOutcome outcome);
/// The outcome as it stands in answers, such as `complete`.
std::string_view ToString(JobOutcome outcome);

/// The one answer to a job.
struct JobAnswer {
  JobId id;
  JobOutcome outcome = JobOutcome::kRefused;
  Reason reason = Reason::kNone;
  /// For refusals: no task of the job ever ran or will run. False when the
  /// refusing instance cannot know of other submissions of the same job.
  bool not_run = false;
  /// For refusals: when a retry is worth it.
  Duration retry_after{0};
  /// One a task, in order; empty for refusals.
  std::vector<TaskResult> tasks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, outcome, reason, not_run, retry_after, tasks);
  }
};

}  // namespace filbertwick::wire

#endif  // FILBERTWICK_WIRE_JOB_H_
