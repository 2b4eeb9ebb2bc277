#ifndef FILBERTWICK_CORE_POLICY_SERVICE_SCHEDULER_H_
#define FILBERTWICK_CORE_POLICY_SERVICE_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "filbertwick/base/hash.h"
#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/bundle/bundle.h"
#include "filbertwick/core/policy/dispatcher.h"
#include "filbertwick/core/policy/fair_queue.h"
#include "filbertwick/core/policy/outlier_detector.h"
#include "filbertwick/core/policy/placement_index.h"
#include "filbertwick/core/policy/policy_settings.h"
#include "filbertwick/core/policy/retry_budget.h"
#include "filbertwick/core/policy/run_time_estimator.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core::policy {

/// Schedules the tasks of one service on its upstreams. Deterministic.
///
/// A task moves from kIdle through kWaiting, kPlaced and kStarted to kEnded. A
/// placed task that certainly has not started returns to kIdle. AddTask() makes
/// an idle or ended task wait again. An upstream gets no more tasks than it has
/// slots and usable queue positions, counting the tasks of other entries that
/// it last reported. Slow start, backoff after refusals, ejection and slots
/// reserved for other entries lower that limit.
class ServiceScheduler {
 public:
  ServiceScheduler(const PolicySettings& settings, uint64_t seed);

  /// Replaces the service's description; nullptr stops placement.
  void SetSpec(const bundle::Service* spec);
  /// Sets the weight of a team's share.
  void SetWeight(TeamId team, uint32_t weight);
  /// Sets the number of entries that share the upstreams, and the index of this
  /// entry among them, from 0.
  void SetEntrySharing(uint32_t entry_count, uint32_t entry_index);
  /// Stops placement into a zone, or resumes it with slow start.
  void SetZoneOut(const ZoneName& zone, bool out);

  /// Adds an upstream or changes its description.
  void UpsertUpstream(const UpstreamInfo& info);
  /// Removes an upstream; no effect when it is unknown.
  void RemoveUpstream(const InstanceName& name);
  /// Updates the load of an upstream; no effect when it is unknown.
  void UpdateLoad(const InstanceName& name,
                  const wire::Load& load,
                  Instant now);

  /// Registers a job of `tasks` tasks, none of which waits yet.
  void AddJob(JobHandle job,
              TeamId team,
              bundle::DeadlineClass deadline_class,
              uint32_t tasks,
              Instant now);
  /// Queues a task; one that has ended counts as unfinished again.
  void AddTask(const TaskRef& task);
  /// Removes a task from the queue; no effect when it does not wait.
  void RemoveTask(const TaskRef& task);
  /// Removes a job and its waiting tasks, and frees the slots of its placed
  /// tasks.
  void RemoveJob(JobHandle job);
  /// Tasks of the job that have not ended.
  uint32_t UnfinishedTasks(JobHandle job) const;

  /// Whether a task waits and an upstream can take it, as of the last
  /// Advance().
  bool HasPlacement() const;
  /// Takes the next placement, if there is one now.
  std::optional<Placement> NextPlacement(Instant now);
  /// Applies the changes that are due: reservations, ends of backoffs after
  /// refusals, and probes.
  void Advance(Instant now);
  /// Time of the next change that Advance() applies; Instant::max() when there
  /// is none.
  Instant NextAdvance() const;
  /// Earliest time at which Advance() or TakeWithdrawals() may have an effect;
  /// Instant::max() when there is none.
  Instant NextWakeup(Instant now) const;

  /// Reports that a placed task has started.
  void OnStarted(const TaskRef& task, Instant now);
  /// Reports that a placed task has ended or was not started.
  void OnEnded(const TaskRef& task,
               PlacementOutcome outcome,
               Duration run_time,
               Instant now);

  /// Takes one retry from the budget; false when it is empty.
  bool TryTakeRetry();
  /// Appends the tasks that should be withdrawn from their sidecars.
  void TakeWithdrawals(Instant now, std::vector<TaskRef>& tasks);
  /// Appends the ejections and reinstatements since the last call.
  void TakeEjections(std::vector<EjectionChange>& changes);
  /// True while the upstream is ejected, also during a probe.
  bool IsEjected(const InstanceName& name) const;

  /// The service's description; its name is empty until SetSpec().
  const bundle::Service& spec() const { return spec_; }
  /// Whether the current bundle contains the service.
  bool in_bundle() const { return in_bundle_; }
  /// Number of waiting tasks.
  uint64_t waiting() const { return queue_.size(); }
  /// Number of slots on which this entry can count while all entries are busy:
  /// the larger of an equal share of all slots and the number of its placed
  /// tasks, but at most all slots.
  double SlotShare() const;
  /// Expected run time of a task.
  Duration run_time() const { return run_time_.mean(); }
  /// Expected total run time of the waiting tasks that precede a new job of
  /// `tasks` tasks; 0 until a task of the service has succeeded.
  Duration WorkAhead(bundle::DeadlineClass deadline_class,
                     uint32_t tasks) const;

  /// Adds the state to a digest.
  void Hash(Hasher& hasher) const;

 private:
  enum class Phase : uint8_t { kIdle, kWaiting, kPlaced, kStarted, kEnded };
  /// Entry for which one slot of an upstream is reserved.
  enum class Reservation : uint8_t { kUnreserved, kOwn, kOther };

  struct Task {
    Phase phase = Phase::kIdle;
    UpstreamId upstream = 0;
    /// Time of the last placement; Instant() when there was none.
    Instant placed;
    Instant started;
  };
  struct Job {
    uint32_t unfinished = 0;
    std::vector<Task> tasks;
    /// Sum of the run times of its tasks that have succeeded.
    Duration measured{0};
    /// Number of run times in the sum.
    uint32_t measured_tasks = 0;
  };
  struct Upstream {
    UpstreamInfo info;
    bool registered = false;
    std::optional<wire::Load> load;
    /// Tasks of this entry at the upstream or on their way to it.
    uint32_t placed = 0;
    /// Those of them that have started.
    uint32_t started = 0;
    /// Tasks of other entries at the upstream, as last reported.
    uint32_t other_tasks = 0;
    /// Maximum of `placed` that slow start allows; rises with each success.
    uint32_t slow_start_limit = 0;
    Reservation reservation = Reservation::kUnreserved;
    /// Placement times of the tasks of this entry that have not started.
    std::multiset<Instant> unstarted;
    RunTimeEstimator run_time{Duration(0)};
    /// Median run time at this upstream divided by the service's; 1 until there
    /// are enough samples.
    double run_time_ratio = 1.0;
    /// Consecutive refusals.
    uint32_t refusals = 0;
    /// End of the backoff after the last refusal; Instant() without a backoff.
    Instant backoff_until;
  };

  Task* FindTask(const TaskRef& task);
  void AddUnstarted(const TaskRef& ref, const Task& task);
  void RemoveUnstarted(const TaskRef& ref, const Task& task);
  void RecordRunTime(Job& job, Upstream& upstream, Duration run_time);
  /// Pauses placement on an upstream that refused a task.
  void BackOff(UpstreamId id, Instant now);
  UpstreamId FindOrAddId(const InstanceName& name);
  /// Makes the id of an upstream reusable if it is removed and has no placed
  /// tasks.
  void ReleaseIfUnused(UpstreamId id);
  /// Whether a started task runs far longer than tasks of the service usually
  /// do.
  bool IsStalled(const Task& task, Instant now) const;
  void ReleaseSlot(const TaskRef& ref, const Task& task);
  /// Expected run time of one task of the job: the mean over its measured run
  /// times and kPriorTasks additional samples equal to the service's mean.
  Duration JobRunTime(const Job& job) const;
  /// Whether the upstream has no free slot, and at most tasks of urgent jobs
  /// may wait in its sidecar's queue.
  bool AcceptsOnlyUrgent(UpstreamId upstream) const;
  /// Whether tasks may be placed on the upstream at all: it is registered and
  /// has slots, the bundle allows it and its zone, and the zone is not out.
  bool IsEligible(const Upstream& upstream) const;
  UpstreamState StateOf(UpstreamId id) const;
  /// Updates the placement index after a change of an upstream.
  void Refresh(UpstreamId id);
  void RefreshAll();
  void ResetSlowStart(Upstream& upstream) const;
  /// Selects the upstreams with a reserved slot and the entry that each of
  /// these slots is reserved for.
  void ReserveSlots();

  PolicySettings settings_;
  bundle::Service spec_;
  bool in_bundle_ = false;
  FairQueue queue_;
  PlacementIndex index_;
  RunTimeEstimator run_time_;
  OutlierDetector outlier_detector_;
  RetryBudget retries_;
  std::map<InstanceName, UpstreamId> upstream_ids_;
  std::vector<Upstream> upstreams_;
  /// Ids of removed upstreams without tasks, for reuse.
  std::vector<UpstreamId> free_ids_;
  std::set<ZoneName> zones_out_;
  std::unordered_map<JobHandle, Job> jobs_;
  /// Placed tasks that have not started, oldest first, except those that
  /// TakeWithdrawals() has examined already.
  std::set<std::pair<Instant, TaskRef>> unstarted_;
  /// Upstreams that refused a task, by the end of their backoff.
  std::set<std::pair<Instant, UpstreamId>> backoffs_;
  /// Placed tasks that have not ended.
  uint64_t placed_ = 0;
  /// ReserveSlots() must run, because upstreams, entries or the service
  /// changed.
  bool reservations_stale_ = false;
  /// A task of the service has succeeded, so run times are measured.
  bool has_succeeded_ = false;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_SERVICE_SCHEDULER_H_
