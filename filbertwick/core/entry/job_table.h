#ifndef FILBERTWICK_CORE_ENTRY_JOB_TABLE_H_
#define FILBERTWICK_CORE_ENTRY_JOB_TABLE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "filbertwick/core/entry/job.h"

namespace filbertwick::core {

/// Bounds of a JobTable.
struct JobTableSettings {
  /// Bytes of payloads and kept answers; above it the oldest ended jobs go.
  uint64_t max_bytes = 256ULL * 1024 * 1024;
};

/// The jobs of the shards that an entry owns, running and ended, for the
/// length of the dedupe window.
class JobTable {
 public:
  /// An empty table.
  explicit JobTable(const JobTableSettings& settings);

  /// Adds a job under a new handle; its id must be new.
  Job& Add(wire::JobSpec spec, wire::ShardId shard, Instant now);
  /// The job, or null.
  Job* Find(const JobId& id);
  /// The job, or null.
  Job* Find(policy::JobHandle handle);
  /// Notes that a job is being ended: its deadline no longer matters.
  void NoteEnding(const Job& job);
  /// Notes that a job ended, so that its payloads go and its age counts.
  void NoteEnded(Job& job, Instant now);
  /// Drops a job, forgetting its key.
  void Remove(policy::JobHandle handle);

  /// Drops ended jobs that are older than `window`, and the oldest beyond the
  /// bound of bytes.
  void Expire(Instant now, Duration window);
  /// Jobs whose deadline has come and that still run.
  std::vector<policy::JobHandle> OverdueJobs(Instant now);
  /// The earliest deadline of a running job; Instant::max() for none.
  Instant NextDeadline() const;

  /// Handles of the jobs of a shard, in order.
  std::vector<policy::JobHandle> JobsInShard(wire::ShardId shard) const;
  /// True when a job of this id may have been dropped within `window` to stay
  /// within the bound of bytes, so that its absence proves nothing.
  bool MayHaveEvicted(const JobId& id, Instant now, Duration window) const;
  /// True when any job was dropped early within `window`.
  bool EvictedWithin(Instant now, Duration window) const;
  /// Jobs that have not ended.
  uint64_t running() const { return running_; }
  /// Jobs kept, ended ones included.
  size_t size() const { return jobs_.size(); }
  /// Bytes of payloads and answers kept.
  uint64_t bytes() const { return bytes_; }
  /// Digest of the state.
  uint64_t Hash() const;

 private:
  /// A running job by its deadline.
  struct RunningDeadline {
    Instant at;
    policy::JobHandle job = 0;

    friend auto operator<=>(const RunningDeadline&,
                            const RunningDeadline&) = default;
  };

  void Erase(policy::JobHandle handle);

  JobTableSettings settings_;
  policy::JobHandle next_handle_ = 1;
  std::map<policy::JobHandle, std::unique_ptr<Job>> jobs_;
  std::unordered_map<JobId, policy::JobHandle> by_id_;
  std::set<RunningDeadline> deadlines_;
  /// Ended jobs, oldest end first.
  std::deque<policy::JobHandle> ended_;
  uint64_t bytes_ = 0;
  uint64_t running_ = 0;
  /// Newest birth of a UUIDv7 key that was dropped early.
  WallTime newest_evicted_created_at_;
  /// When a key of another kind, and when any key was last dropped early.
  Instant undated_evicted_at_ = Instant::min();
  Instant last_eviction_at_ = Instant::min();
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_JOB_TABLE_H_
