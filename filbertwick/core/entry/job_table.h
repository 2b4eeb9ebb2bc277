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

/// Limits of a JobTable.
struct JobTableSettings {
  /// Most bytes of payloads and kept answers. Above it the jobs that ended
  /// first are evicted.
  uint64_t max_bytes = 256ULL * 1024 * 1024;
};

/// The jobs of the shards that an entry owns. Ended jobs are kept for the
/// dedupe window, so that a repeated submission gets the same answer and starts
/// nothing.
class JobTable {
 public:
  /// Creates an empty table.
  explicit JobTable(const JobTableSettings& settings);

  /// Adds a job under a new handle. No job of this id may be in the table.
  Job& Add(wire::JobSpec spec, wire::ShardId shard, Instant now);
  /// Returns the job of this id, or null.
  Job* Find(const JobId& id);
  /// Returns the job of this handle, or null.
  Job* Find(policy::JobHandle handle);
  /// Removes the deadline of a job that is being ended.
  void NoteEnding(const Job& job);
  /// Records that a job reached kEnded at `now`: frees its payloads and starts
  /// its dedupe window.
  void NoteEnded(Job& job, Instant now);
  /// Removes a job and its id, without recording an eviction.
  void Remove(policy::JobHandle handle);

  /// Removes jobs that ended at least `window` ago, and evicts those that ended
  /// first while the table is above its byte limit.
  void Expire(Instant now, Duration window);
  /// Handles of jobs in kCensus or kRunning whose deadline has passed.
  std::vector<policy::JobHandle> OverdueJobs(Instant now);
  /// The earliest deadline of a job in kCensus or kRunning; Instant::max() for
  /// none.
  Instant NextDeadline() const;

  /// Handles of the jobs of a shard, oldest first.
  std::vector<policy::JobHandle> JobsInShard(wire::ShardId shard) const;
  /// True when a job of this id may have been evicted, so that its absence does
  /// not prove that it was never submitted. For a UUIDv7 id: when an id created
  /// at the same time or later was ever evicted. For any other id: when such an
  /// id was evicted within `window` before `now`.
  bool MayHaveEvicted(const JobId& id, Instant now, Duration window) const;
  /// True when any job was evicted within `window` before `now`.
  bool EvictedWithin(Instant now, Duration window) const;
  /// Number of jobs that have not ended.
  uint64_t running() const { return running_; }
  /// Number of jobs, including ended ones.
  size_t size() const { return jobs_.size(); }
  /// Bytes of payloads and kept answers, with a fixed overhead for each job.
  uint64_t bytes() const { return bytes_; }
  /// Digest of the state.
  uint64_t Hash() const;

 private:
  /// A job that has not begun to end, ordered by its deadline.
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
  /// Ended jobs in the order in which they ended.
  std::deque<policy::JobHandle> ended_;
  uint64_t bytes_ = 0;
  uint64_t running_ = 0;
  /// Latest creation time among the evicted UUIDv7 job ids.
  WallTime newest_evicted_created_at_;
  /// When a job whose id has no creation time was last evicted.
  Instant undated_evicted_at_ = Instant::min();
  /// When any job was last evicted.
  Instant last_eviction_at_ = Instant::min();
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_JOB_TABLE_H_
