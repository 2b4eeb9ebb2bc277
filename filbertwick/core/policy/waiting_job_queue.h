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

/// A job that waits for room.
struct WaitingJob {
  uint64_t job = 0;
  /// 0 comes first.
  uint32_t priority = 0;
  /// Some of its tasks have run: the rest goes before jobs that lose nothing
  /// by being refused.
  bool has_run = false;
  /// When it must have been placed; later it is refused.
  Instant place_by;
};

/// How jobs wait when more work comes than fits: begun jobs first, then by
/// priority, then by the time that is left to them. A job that waits past its
/// time is handed back to be refused while its caller can still go elsewhere,
/// so a long overload sheds what can't be in time instead of making all late.
class WaitingJobQueue {
 public:
  /// Adds a job, or moves it when it waits already.
  void Add(const WaitingJob& job);
  /// Takes a job out; nothing happens when it does not wait.
  void Remove(uint64_t job);
  /// All jobs, the first to be placed first.
  std::vector<uint64_t> InPlacementOrder() const;
  /// Takes out the jobs whose time has passed, except begun ones.
  std::vector<uint64_t> TakeExpired(Instant now);
  /// Takes out the job that would be placed last if `newcomer` would come
  /// before it; nothing when the newcomer itself is last. For a full line.
  std::optional<uint64_t> EvictForNewcomer(const WaitingJob& newcomer);
  /// The earliest place_by of a job that is not begun; the end of time when
  /// there is none.
  Instant NextExpiry() const;

  size_t size() const { return jobs_.size(); }
  bool empty() const { return jobs_.empty(); }

 private:
  using Rank = std::tuple<bool, uint32_t, Instant, uint64_t>;
  static Rank RankOf(const WaitingJob& job);

  std::map<uint64_t, WaitingJob> jobs_;
  std::set<Rank> ranks_;
  std::set<std::pair<Instant, uint64_t>> by_deadline_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_WAITING_JOB_QUEUE_H_
