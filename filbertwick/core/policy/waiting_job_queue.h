#ifndef FILBERTWICK_CORE_POLICY_WAITING_JOB_QUEUE_H_
#define FILBERTWICK_CORE_POLICY_WAITING_JOB_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// A job with tasks that wait for free upstream resources.
struct WaitingJob {
  uint64_t job = 0;
  /// 0 is the highest priority.
  uint32_t priority = 0;
  /// Some tasks of the job have run or may have run. Its remaining tasks go
  /// before jobs that have not run, which lose no work when they are refused.
  bool has_run = false;
  /// Latest time for placing the job; afterwards it is refused unless it has
  /// run.
  Instant place_by;
};

/// Queue of the jobs that do not fit on the upstreams yet. Order: jobs that
/// have run first, then by priority, then by earliest `place_by`. Jobs that
/// have not run by `place_by` are returned for refusal while their callers can
/// still try elsewhere. A long overload thus sheds the jobs that cannot end in
/// time, instead of making all jobs late.
class WaitingJobQueue {
 public:
  /// Adds a job; replaces the entry of a job that waits already.
  void Add(const WaitingJob& job);
  /// Removes a job; no effect when it does not wait.
  void Remove(uint64_t job);
  /// All jobs, the next one to be placed first.
  std::vector<uint64_t> InPlacementOrder() const;
  /// Removes and returns the jobs whose `place_by` has passed, except those
  /// that have run.
  std::vector<uint64_t> TakeExpired(Instant now);
  /// Makes room for `newcomer` in a full queue: removes and returns the last
  /// job in order. Removes none and returns nothing when the newcomer itself
  /// would be last, or when the last job has run.
  std::optional<uint64_t> EvictForNewcomer(const WaitingJob& newcomer);
  /// Earliest place_by of the jobs that have not run; Instant::max() when
  /// there is none.
  Instant NextExpiry() const;

  size_t size() const { return jobs_.size(); }
  bool empty() const { return jobs_.empty(); }

 private:
  /// Position in the order: not run yet, priority, place_by, job.
  using Rank = std::tuple<bool, uint32_t, Instant, uint64_t>;
  static Rank RankOf(const WaitingJob& job);

  std::map<uint64_t, WaitingJob> jobs_;
  std::set<Rank> ranks_;
  /// Jobs that have not run, by place_by.
  std::set<std::pair<Instant, uint64_t>> by_deadline_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_WAITING_JOB_QUEUE_H_
