#ifndef FILBERTWICK_CORE_ENTRY_JOB_H_
#define FILBERTWICK_CORE_ENTRY_JOB_H_

#include <cstdint>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/policy/dispatcher.h"
#include "filbertwick/wire/job.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// Progress of a task, as known by the owner of its shard.
enum class TaskPhase : uint8_t {
  /// Waits to be placed on an upstream.
  kWaiting,
  /// Offered to a sidecar, which has not reported a start.
  kOffered,
  /// The sidecar reported that the task started.
  kStarted,
  /// `result` is final.
  kEnded,
};

/// One task of an owned job.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the latest offer; 0 before the first.
  uint32_t attempt = 0;
  /// An earlier attempt started or may have started; the next start repeats it.
  bool repeat = false;
  /// A withdrawal was sent and the sidecar has not responded.
  bool withdrawing = false;
  /// Sidecar and incarnation of the latest offer.
  InstanceName sidecar;
  wire::Incarnation sidecar_incarnation = 0;
  Instant offered_at = Instant::min();
  /// While kOffered: when the task is withdrawn unless its sidecar has sent an
  /// update by then.
  Instant response_due = Instant::min();
  Instant ended_at = Instant::min();
  wire::TaskResult result;
};

/// A request, accepted by this entry or another, that waits for a job's answer.
struct Waiter {
  /// Entry that accepted the request.
  InstanceName entry;
  wire::RequestId request = 0;

  friend auto operator<=>(const Waiter&, const Waiter&) = default;
};

/// Stage of an owned job.
enum class JobStage : uint8_t {
  /// The owner is asking sidecars which tasks earlier owners started; see
  /// Census.
  kCensus,
  /// Tasks may be offered and started.
  kRunning,
  /// No further task starts; offered tasks are being withdrawn and started ones
  /// stopped.
  kEnding,
  /// `answer` is final.
  kEnded,
};

/// A job of a shard that this entry owns.
struct Job {
  policy::JobHandle handle = 0;
  wire::JobSpec spec;
  wire::ShardId shard = 0;
  JobStage stage = JobStage::kRunning;
  /// The service allows the single task of a job to start a second time.
  bool repeatable = false;
  /// No earlier owner can have received this job id, so `spec` is the first
  /// body submitted under it.
  bool first_submission = false;
  /// The job is registered with the dispatcher.
  bool registered = false;
  Instant accepted_at;
  Instant deadline;
  /// When the job entered kEnding or, once it has ended, kEnded.
  Instant ending_at = Instant::min();
  /// Why the job failed; used unless the outcome of the answer is kComplete.
  wire::Reason reason = wire::Reason::kNone;
  std::vector<Task> tasks;
  /// Number of tasks in phase kEnded.
  uint32_t ended_tasks = 0;
  std::vector<Waiter> waiters;
  /// The one answer to the job; set once `stage` is kEnded.
  wire::JobAnswer answer;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_JOB_H_
