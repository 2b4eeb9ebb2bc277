#ifndef FILBERTWICK_CORE_SIDECAR_TASK_LEDGER_H_
#define FILBERTWICK_CORE_SIDECAR_TASK_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "filbertwick/base/hash.h"
#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// Limits of a TaskLedger.
struct TaskLedgerSettings {
  /// Maximum total size of the retained results, in bytes. Beyond it the bodies
  /// of the oldest results are dropped, but never that of the newest; their
  /// tasks remain in the ledger.
  uint64_t max_result_bytes = 16ULL * 1024 * 1024;
};

/// Record of a task that was started at this sidecar.
struct LedgerEntry {
  wire::TaskKey key;
  uint32_t attempt = 1;
  BodyDigest digest;
  /// Owner of the task, to which updates are sent.
  InstanceName owner;
  bool ended = false;
  /// The owner has acknowledged the result.
  bool acknowledged = false;
  /// The body of the result was dropped to stay within max_result_bytes.
  bool body_dropped = false;
  Instant started_at;
  Instant ended_at;
  /// Set to `ended_at`, but not used: TaskLedger::unacknowledged_ holds the
  /// time of the next report.
  Instant report_at;
  wire::TaskResult result;
};

/// The tasks that were started at a sidecar. Ended tasks are retained for the
/// dedupe window, so that no task is started twice here and a new owner of a
/// shard learns which tasks it must not start again.
class TaskLedger {
 public:
  /// Creates an empty ledger.
  explicit TaskLedger(const TaskLedgerSettings& settings);

  /// Records the start of a task; must be called before the upstream is.
  LedgerEntry& Start(const wire::TaskOffer& offer,
                     const InstanceName& owner,
                     Instant now);
  /// Records the end of a task. Returns null when the attempt isn't running
  /// here.
  LedgerEntry* End(const wire::TaskKey& key,
                   uint32_t attempt,
                   const wire::TaskResult& result,
                   Instant now);
  /// Removes a started task that the upstream has definitely not run.
  void RevertStart(const wire::TaskKey& key);

  /// Returns the entry of a task, or null.
  LedgerEntry* Find(const wire::TaskKey& key);
  /// Returns the entries of a job, in order of task index.
  std::vector<LedgerEntry*> EntriesOf(const JobId& job);
  /// Number of running tasks.
  uint32_t running() const { return running_; }
  /// Returns the ended tasks whose unacknowledged end is due to be sent, and
  /// schedules the next transmission of each at `next`.
  std::vector<const LedgerEntry*> TakeUnacknowledged(Instant now, Instant next);
  /// Returns when the next unacknowledged end is due; Instant::max() when there
  /// is none.
  Instant NextResend() const;
  /// True while any end is unacknowledged.
  bool HasUnacknowledged() const { return !unacknowledged_.empty(); }
  /// Records that the owner has acknowledged the result of a task.
  void Acknowledge(const wire::TaskKey& key);
  /// Removes the tasks that ended `window` or more ago, acknowledged or not.
  void Expire(Instant now, Duration window);

  /// Number of tasks in the ledger.
  size_t size() const { return entries_.size(); }
  /// Total size of the retained results, in bytes.
  uint64_t result_bytes() const { return result_bytes_; }
  /// Digest of the state.
  uint64_t Hash() const;

 private:
  /// End of an attempt, in order of time.
  struct Ended {
    Instant at;
    wire::TaskKey key;
    uint32_t attempt = 0;
  };

  void EvictBodies();
  void DropBody(LedgerEntry& entry);

  TaskLedgerSettings settings_;
  std::map<wire::TaskKey, LedgerEntry> entries_;
  std::deque<Ended> ended_;
  /// Index into ended_: the bodies of all earlier ones were dropped.
  size_t first_kept_body_ = 0;
  /// Ended tasks whose result isn't acknowledged, with the time of the next
  /// report.
  std::map<wire::TaskKey, Instant> unacknowledged_;
  uint32_t running_ = 0;
  uint64_t result_bytes_ = 0;
};

/// Returns an update with the state of a ledger entry, to be sent to its owner.
wire::TaskUpdate MakeUpdate(const LedgerEntry& entry);

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_SIDECAR_TASK_LEDGER_H_
