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

/// Runs the jobs that this entry owns: offers their tasks to sidecars, applies
/// the updates that sidecars send, withdraws tasks, ends jobs and answers each
/// job once.
///
/// A TaskOffer names the task, its attempt and the newest clock token of the
/// sidecar that this entry holds. The sidecar responds with TaskUpdates in
/// state kQueued, kStarted or kEnded; kRefused and kUnknown mean that the
/// attempt never started and never will. An offer without a response is
/// withdrawn, and the withdrawal is repeated until the sidecar responds or is
/// replaced. A sidecar repeats kEnded until it gets an Acknowledge message for
/// the task.
class JobRunner {
 public:
  /// Keeps a reference to `context`, which must outlive the runner.
  explicit JobRunner(EntryContext& context);

  /// Registers a job in kRunning with the dispatcher and queues its waiting
  /// tasks.
  void Start(Instant now, Job& job);
  /// Stops a job for `reason`: no further task starts, and offered and started
  /// tasks are withdrawn. The job is answered once all its tasks have ended.
  /// Does nothing when the job is already ending or has ended.
  void End(Instant now, Job& job, wire::Reason reason);
  /// Refuses a job to all its waiters and removes it. This entry must not have
  /// started any task of it.
  void Refuse(Job& job,
              wire::Reason reason,
              bool not_run,
              Duration retry_after);
  /// Removes a job that another entry owns now and redirects its waiters there.
  void RedirectAndDrop(Job& job);

  /// Applies updates from a sidecar, in order.
  void OnUpdates(Instant now,
                 const InstanceName& sidecar,
                 std::span<const wire::TaskUpdate> updates);
  /// Applies one update and acknowledges it if it reports an end. Ignores the
  /// state of an update for another sidecar or attempt than the current one.
  void OnUpdate(Instant now,
                const InstanceName& sidecar,
                const wire::TaskUpdate& update);
  /// Ends or retries all tasks at a sidecar whose incarnation no longer exists.
  void OnSidecarLost(Instant now, const InstanceName& sidecar);
  /// Records that a task was offered to or started at a sidecar by an earlier
  /// owner, as learned from a handover or a census.
  void AdoptTask(Job& job,
                 uint32_t index,
                 const InstanceName& sidecar,
                 wire::Incarnation incarnation,
                 TaskPhase phase,
                 uint32_t attempt,
                 Instant now);
  /// Ends a task with kMayHaveRun unless it has ended already.
  void MarkTaskMayHaveRun(Instant now, Job& job, uint32_t index);
  /// Answers a job in kRunning or kEnding if all its tasks have ended.
  void FinishIfDone(Instant now, Job& job);

  /// Offers waiting tasks while the dispatcher has placements for them and the
  /// quorum evidence holds.
  void OfferWaitingTasks(Instant now);
  /// Ends overdue jobs, withdraws offers without a response and repeats
  /// withdrawals.
  void Tick(Instant now);
  /// When Tick() is due; Instant::max() when nothing is pending.
  Instant NextWakeup() const;

  /// Describes the job and the states of its tasks for an operator, one line
  /// for each.
  std::vector<std::string> Explain(const Job& job) const;

 private:
  /// When to withdraw a task unless its sidecar has responded. Entries are not
  /// removed on a response; only one that matches Task::response_due is acted
  /// on.
  struct ResponseCheck {
    Instant at;
    policy::TaskRef task;

    friend auto operator<=>(const ResponseCheck&,
                            const ResponseCheck&) = default;
  };

  void Offer(Instant now, const policy::Placement& placement);
  /// Records the final result of a task.
  void EndTask(Instant now, Job& job, uint32_t index, wire::TaskResult result);
  /// Handles a task that its sidecar no longer holds: ends it, or queues it
  /// again if another start is allowed.
  void OnTaskReturned(Instant now,
                      Job& job,
                      uint32_t index,
                      policy::PlacementOutcome end,
                      wire::TaskResult result,
                      Duration run_time);
  /// Removes a task from the tasks tracked at its sidecar.
  void DetachFromSidecar(const policy::TaskRef& ref, Task& task);
  /// Asks the sidecar to give the task back. With `stop` a started task is
  /// stopped as well.
  void WithdrawTask(Instant now, Job& job, uint32_t index, bool stop);
  /// Withdraws the task at `at` unless its sidecar responds before.
  void ScheduleResponseCheck(Instant at,
                             const policy::TaskRef& ref,
                             Task& task);
  void WithdrawUnanswered(Instant now);
  void EndOverdueJobs(Instant now);
  /// Ends jobs that have been in kEnding for the evidence age. Their remaining
  /// tasks get kMayHaveRun.
  void ForceEndStalledJobs(Instant now);
  /// Withdraws offered tasks that the dispatcher could start sooner elsewhere.
  void WithdrawStragglers(Instant now);
  /// Builds the answer, sends it to all waiters and moves the job to kEnded.
  void Finish(Instant now, Job& job);
  /// Removes a job without an answer.
  void Drop(Job& job);

  EntryContext& context_;
  /// Tasks offered to or started at each sidecar.
  std::map<InstanceName, std::set<policy::TaskRef>> tasks_by_sidecar_;
  std::set<ResponseCheck> response_checks_;
  /// Jobs in kEnding.
  std::set<policy::JobHandle> ending_jobs_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_JOB_RUNNER_H_
