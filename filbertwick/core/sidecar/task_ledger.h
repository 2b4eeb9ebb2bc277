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

/// Bounds of a TaskLedger.
struct TaskLedgerSettings {
  /// Bytes of kept results; above it the oldest bodies go, their keys stay.
  uint64_t max_result_bytes = 16ULL * 1024 * 1024;
};

/// What a sidecar keeps of one task that started here.
struct LedgerEntry {
  wire::TaskKey key;
  uint32_t attempt = 1;
  BodyDigest digest;
  /// Owner that hears of it.
  InstanceName owner;
  bool ended = false;
  /// The owner said that it has the result.
  bool acknowledged = false;
  /// The result's body was dropped to stay within the bound.
  bool body_dropped = false;
  Instant started_at;
  Instant ended_at;
  /// When an end that is not settled is told again.
  Instant resend_at;
  wire::TaskResult result;
};

/// The tasks that started at one sidecar, kept for the dedupe window, so that
/// none starts twice here and a new owner finds what it may not start again.
class TaskLedger {
 public:
  /// An empty ledger.
  explicit TaskLedger(const TaskLedgerSettings& settings);

  /// Notes a start, before the upstream is called.
  LedgerEntry& Start(const wire::TaskOffer& offer,
                     const InstanceName& owner,
                     Instant now);
  /// Notes an end; null when the attempt is not running here.
  LedgerEntry* End(const wire::TaskKey& key,
                   uint32_t attempt,
                   const wire::TaskResult& result,
                   Instant now);
  /// Takes a start back: the upstream certainly did not run it.
  void RevertStart(const wire::TaskKey& key);

  /// The entry of a task, or null.
  LedgerEntry* Find(const wire::TaskKey& key);
  /// The entries of a job, in order of index.
  std::vector<LedgerEntry*> EntriesOf(const JobId& job);
  /// Tasks that run now.
  uint32_t running() const { return running_; }
  /// Ends that no owner has confirmed and whose time has come, with the time
  /// of the next telling set to `next`.
  std::vector<const LedgerEntry*> TakeUnacknowledged(Instant now, Instant next);
  /// When TakeUnacknowledged() may give something; Instant::max() for never.
  Instant NextResend() const;
  /// True while some end is not confirmed.
  bool HasUnacknowledged() const { return !unacknowledged_.empty(); }
  /// Notes that the owner has the result.
  void Acknowledge(const wire::TaskKey& key);
  /// Drops ended tasks that are older than `window`.
  void Expire(Instant now, Duration window);

  /// Keys kept.
  size_t size() const { return entries_.size(); }
  /// Bytes of results kept.
  uint64_t result_bytes() const { return result_bytes_; }
  /// Digest of the state.
  uint64_t Hash() const;

 private:
  /// An ended task, by its end.
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
  /// Entries of ended_ before this one have no body any more.
  size_t first_kept_body_ = 0;
  std::map<wire::TaskKey, Instant> unacknowledged_;
  uint32_t running_ = 0;
  uint64_t result_bytes_ = 0;
};

/// The update that tells an owner what the ledger knows.
wire::TaskUpdate MakeUpdate(const LedgerEntry& entry);

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_SIDECAR_TASK_LEDGER_H_
