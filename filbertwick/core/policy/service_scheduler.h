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

/// Decides for the tasks and upstreams of one service. Deterministic.
class ServiceScheduler {
 public:
  ServiceScheduler(const PolicySettings& settings, uint64_t seed);

  /// Replaces the service's description; without one nothing is placed.
  void SetSpec(const bundle::Service* spec);
  /// Sets the share of a team.
  void SetWeight(TeamId team, uint32_t weight);
  /// Says how many entries share the upstreams and which one this is.
  void SetEntrySharing(uint32_t entry_count, uint32_t entry_index);
  /// Stops placement into a zone, or starts it again slowly.
  void SetZoneOut(const ZoneName& zone, bool out);

  /// Adds an upstream or changes its description.
  void UpsertUpstream(const UpstreamInfo& info);
  /// Drops an upstream.
  void RemoveUpstream(const InstanceName& name);
  /// News of an upstream's load; ignored when it is unknown.
  void UpdateLoad(const InstanceName& name,
                  const wire::Load& load,
                  Instant now);

  /// Registers a job of `tasks` tasks, none of which waits.
  void AddJob(JobHandle job,
              TeamId team,
              bundle::DeadlineClass deadline_class,
              uint32_t tasks,
              Instant now);
  /// Makes a task wait; one that has ended counts as unfinished again.
  void AddTask(const TaskRef& task);
  /// A waiting task waits no more; ignored for others.
  void RemoveTask(const TaskRef& task);
  /// Forgets a job.
  void RemoveJob(JobHandle job);
  /// Tasks of the job that have not ended.
  uint32_t UnfinishedTasks(JobHandle job) const;

  /// Whether NextPlacement() has something to give.
  bool HasPlacement() const;
  /// The next placement, if there is one now.
  std::optional<Placement> NextPlacement(Instant now);
  /// Does what is due by time alone.
  void Advance(Instant now);
  /// When Advance() has something to do; Instant::max() when never.
  Instant NextAdvance() const;
  /// When Advance() or TakeWithdrawals() may do something next.
  Instant NextWakeup(Instant now) const;

  /// A placed task has started.
  void OnStarted(const TaskRef& task, Instant now);
  /// A placed task ended or came back.
  void OnEnded(const TaskRef& task,
               PlacementOutcome end,
               Duration run_time,
               Instant now);

  /// Takes one retry from the budget; false when it has none.
  bool TryTakeRetry();
  /// Appends tasks that should be taken back from their sidecars.
  void TakeWithdrawals(Instant now, std::vector<TaskRef>& tasks);
  /// Appends upstreams ejected or taken back since the last call.
  void TakeEjections(std::vector<EjectionChange>& changes);
  /// True while the upstream is set aside.
  bool IsEjected(const InstanceName& name) const;

  /// The service's description; its name is empty until SetSpec().
  const bundle::Service& spec() const { return spec_; }
  /// Whether the service stands in the bundle.
  bool in_bundle() const { return in_bundle_; }
  /// Tasks that wait.
  uint64_t waiting() const { return queue_.size(); }
  /// Slots that this entry has or gets while the others want theirs too.
  double SlotShare() const;
  /// Expected run time of a task.
  Duration run_time() const { return run_time_.mean(); }
  /// Expected run time of all that would go before a new job.
  Duration WorkAhead(bundle::DeadlineClass deadline_class,
                     uint32_t tasks) const;

  /// Adds the state to a digest.
  void Hash(Hasher& hasher) const;

 private:
  enum class Phase : uint8_t { kIdle, kWaiting, kPlaced, kStarted, kEnded };
  /// Whom one slot of an upstream is kept for.
  enum class Reservation : uint8_t { kUnreserved, kOwn, kOther };

  struct Task {
    Phase phase = Phase::kIdle;
    UpstreamId upstream = 0;
    /// When it was placed last; the origin when never.
    Instant placed;
    Instant started;
  };
  struct Job {
    uint32_t unfinished = 0;
    std::vector<Task> tasks;
    /// Run times of its tasks that have ended.
    Duration measured{0};
    uint32_t measured_tasks = 0;
  };
  struct Upstream {
    UpstreamInfo info;
    bool registered = false;
    std::optional<wire::Load> load;
    /// Own tasks there or on the way, and those of them that run.
    uint32_t placed = 0;
    uint32_t started = 0;
    /// Tasks of others there, as last reported.
    uint32_t other_tasks = 0;
    /// Own tasks that slow start allows.
    uint32_t slow_start_limit = 0;
    Reservation reservation = Reservation::kUnreserved;
    /// When own tasks that have not started were placed.
    std::multiset<Instant> unstarted;
    RunTimeEstimator run_time{Duration(0)};
    /// Median run time there against the service's, once it is measured.
    double run_time_ratio = 1.0;
    /// Refusals in a row, and until when nothing is offered after the last.
    uint32_t refusals = 0;
    Instant backoff_until;
  };

  Task* FindTask(const TaskRef& task);
  void MarkUnstarted(const TaskRef& ref, const Task& task);
  void ClearUnstarted(const TaskRef& ref, const Task& task);
  void RecordRunTime(Job& job, Upstream& upstream, Duration run_time);
  void BackOff(UpstreamId id, Instant now);
  UpstreamId FindOrAddId(const InstanceName& name);
  void ReleaseIfUnused(UpstreamId id);
  bool IsStalled(const Task& task, Instant now) const;
  void ReleaseSlot(const TaskRef& ref, const Task& task);
  Duration JobRunTime(const Job& job) const;
  bool AcceptsOnlyUrgent(UpstreamId upstream) const;
  bool IsEligible(const Upstream& upstream) const;
  UpstreamState StateOf(UpstreamId id) const;
  void Refresh(UpstreamId id);
  void RefreshAll();
  void ResetSlowStart(Upstream& upstream) const;
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
  /// Numbers of upstreams that are gone and have no tasks left.
  std::vector<UpstreamId> free_ids_;
  std::set<ZoneName> zones_out_;
  std::unordered_map<JobHandle, Job> jobs_;
  /// Placed tasks, not started nor asked back yet, oldest first.
  std::set<std::pair<Instant, TaskRef>> unstarted_;
  /// Upstreams that refused, by the time when they are offered to again.
  std::set<std::pair<Instant, UpstreamId>> backoffs_;
  /// Tasks placed and not ended.
  uint64_t placed_ = 0;
  bool reservations_stale_ = false;
  /// Some task of the service has succeeded.
  bool has_succeeded_ = false;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_SERVICE_SCHEDULER_H_
