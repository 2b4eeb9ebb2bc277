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

/// Where a task is, as its owner knows it.
enum class TaskPhase : uint8_t {
  /// Waits for an upstream.
  kWaiting,
  /// Offered to a sidecar, which has not said that it started.
  kOffered,
  /// Its sidecar said that it started.
  kStarted,
  /// Its result is known.
  kEnded,
};

/// One task of an owned job.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the last offer; 0 before the first.
  uint32_t attempt = 0;
  /// The next start is one more of a task that ran before.
  bool repeat = false;
  /// A withdrawal was sent and is not answered yet.
  bool withdrawing = false;
  InstanceName sidecar;
  wire::Incarnation sidecar_incarnation = 0;
  Instant offered_at = Instant::min();
  /// While kOffered: when its sidecar must have said something of it.
  Instant response_due = Instant::min();
  Instant ended_at = Instant::min();
  wire::TaskResult result;
};

/// Who waits for the answer of a job: a request of this entry or of another.
struct Waiter {
  InstanceName entry;
  wire::RequestId request = 0;

  friend auto operator<=>(const Waiter&, const Waiter&) = default;
};

/// Stage of an owned job.
enum class JobStage : uint8_t {
  /// It is being found out what earlier owners started of it.
  kCensus,
  kRunning,
  /// No task of it starts any more; offered ones are being taken back.
  kEnding,
  /// The answer is final.
  kEnded,
};

/// A job of a shard that this entry owns.
struct Job {
  policy::JobHandle handle = 0;
  wire::JobSpec spec;
  wire::ShardId shard = 0;
  JobStage stage = JobStage::kRunning;
  /// Its service allows a second start of a single request.
  bool repeatable = false;
  /// No earlier owner can have seen its key, so its body is the first one.
  bool fresh = false;
  /// It is registered with the dispatcher.
  bool registered = false;
  Instant accepted_at;
  Instant deadline;
  /// Since when it is kEnding or kEnded.
  Instant ending_at = Instant::min();
  wire::Reason reason = wire::Reason::kNone;
  std::vector<Task> tasks;
  uint32_t ended_tasks = 0;
  std::vector<Waiter> waiters;
  /// Set once `stage` is kEnded.
  wire::JobAnswer answer;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_JOB_H_
