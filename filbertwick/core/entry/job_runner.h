#ifndef FILBERTWICK_CORE_ENTRY_JOB_RUNNER_H_
#define FILBERTWICK_CORE_ENTRY_JOB_RUNNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "filbertwick/core/entry/entry_context.h"
#include "filbertwick/core/entry/job.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// Runs the jobs that this entry owns: offers their tasks, takes in what the
/// sidecars say, takes tasks back, ends jobs and answers them once.
class JobRunner {
 public:
  /// A runner over `context`, which must outlive it.
  explicit JobRunner(EntryContext& context);

  /// Lets the waiting tasks of a job compete for places.
  void Start(Instant now, Job& job);
  /// Stops a job: nothing of it starts any more, offered tasks are taken back.
  void End(Instant now, Job& job, wire::Reason reason);
  /// Refuses a job of which nothing started, and forgets it.
  void Refuse(Job& job,
              wire::Reason reason,
              bool not_run,
              Duration retry_after);
  /// Drops a job that another entry owns now; its waiters are sent there.
  void RedirectAndDrop(Job& job);

  /// News of tasks from a sidecar.
  void OnUpdates(Instant now,
                 const InstanceName& sidecar,
                 std::span<const wire::TaskUpdate> updates);
  /// Takes in one piece of news about a task of a job.
  void OnUpdate(Instant now,
                const InstanceName& sidecar,
                const wire::TaskUpdate& update);
  /// The incarnation of a sidecar that held tasks is gone.
  void OnSidecarLost(Instant now, const InstanceName& sidecar);
  /// Notes that a task is at a sidecar, learned from an earlier owner.
  void AdoptTask(Job& job,
                 uint32_t index,
                 const InstanceName& sidecar,
                 wire::Incarnation incarnation,
                 TaskPhase phase,
                 uint32_t attempt,
                 Instant now);
  /// Marks a task of unknown fate as one that may have run.
  void MarkTaskMayHaveRun(Instant now, Job& job, uint32_t index);
  /// Answers a job whose tasks have all ended; does nothing before.
  void FinishIfDone(Instant now, Job& job);

  /// Offers as many waiting tasks as have a place.
  void OfferWaitingTasks(Instant now);
  /// Deadlines, offers without an answer, withdrawals that wait.
  void Tick(Instant now);
  /// When Tick() is due.
  Instant NextWakeup() const;

  /// What was decided about a job, one line a step.
  std::vector<std::string> Explain(const Job& job) const;

 private:
  /// An offer or withdrawal that wants an answer by a certain time.
  struct ResponseCheck {
    Instant at;
    policy::TaskRef task;

    friend auto operator<=>(const ResponseCheck&,
                            const ResponseCheck&) = default;
  };

  void Offer(Instant now, const policy::Placement& placement);
  void EndTask(Instant now, Job& job, uint32_t index, wire::TaskResult result);
  void OnTaskReturned(Instant now,
                      Job& job,
                      uint32_t index,
                      policy::PlacementOutcome end,
                      wire::TaskResult result,
                      Duration run_time);
  void DetachFromSidecar(const policy::TaskRef& ref, Task& task);
  void WithdrawTask(Instant now, Job& job, uint32_t index, bool stop);
  void ScheduleResponseCheck(Instant at,
                             const policy::TaskRef& ref,
                             Task& task);
  void WithdrawUnanswered(Instant now);
  void EndOverdueJobs(Instant now);
  void ForceEndStalledJobs(Instant now);
  void WithdrawStragglers(Instant now);
  void Finish(Instant now, Job& job);
  void Drop(Job& job);

  EntryContext& context_;
  /// Tasks offered to or started at each sidecar.
  std::map<InstanceName, std::set<policy::TaskRef>> tasks_by_sidecar_;
  std::set<ResponseCheck> response_checks_;
  /// Jobs that are kEnding.
  std::set<policy::JobHandle> ending_jobs_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_JOB_RUNNER_H_
