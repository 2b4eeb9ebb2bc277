#ifndef FILBERTWICK_CORE_ENTRY_CENSUS_H_
#define FILBERTWICK_CORE_ENTRY_CENSUS_H_

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "filbertwick/core/entry/entry_context.h"
#include "filbertwick/core/entry/job.h"
#include "filbertwick/core/entry/job_runner.h"
#include "filbertwick/core/event.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// Runs the censuses of jobs. A census finds out which tasks of one job earlier
/// owners of its shard started.
///
/// The owner sends a CensusRequest under its epoch to every sidecar that could
/// have received a task of the job. Each CensusReply lists the tasks of the job
/// that the sidecar knows; the owner tracks those at that sidecar again. If a
/// sidecar incarnation that could have received a task no longer exists, a task
/// that no reply lists may have run there: it is reported as kMayHaveRun and is
/// never started, so that no task runs twice.
class Census {
 public:
  /// Called when the census of a job is complete and the job can continue.
  using DoneHook = std::function<void(const Now& now, Job& job)>;
  /// Called when a sidecar knows the job id with a different digest: the id was
  /// submitted before with a different body.
  using DigestMismatchHook = std::function<void(Job& job)>;

  /// Keeps references to `context` and `runner`, which must outlive the census.
  Census(EntryContext& context,
         JobRunner& runner,
         DoneHook done,
         DigestMismatchHook digest_mismatch);

  /// Starts the census of a job in stage kCensus at all sidecars of its service
  /// in the region.
  void Begin(const Now& now, Job& job);
  /// Starts the census of a job that was handed over. Asks only the sidecars
  /// that the handover names for its offered and started tasks.
  void BeginAtAssignedSidecars(const Now& now, Job& job);
  /// Applies a sidecar's reply and completes each census that has all replies.
  void OnReply(const Now& now,
               const wire::Sender& from,
               const wire::CensusReply& reply);
  /// Ends the census of a job without calling a hook.
  void Cancel(policy::JobHandle job);
  /// Repeats requests to sidecars that have not replied.
  void Tick(const Now& now);
  /// When Tick() is due; Instant::max() when no census is pending.
  Instant NextWakeup() const;

 private:
  /// A census that waits for replies.
  struct PendingCensus {
    /// Sidecars that have not replied yet.
    std::set<InstanceName> unanswered;
    /// A sidecar incarnation that may have started a task no longer exists.
    bool incarnation_lost = false;
    /// The previous owner handed the job over, so only the sidecars of its
    /// offered and started tasks are asked.
    bool assigned_only = false;
    Instant resend_at = Instant::max();
  };

  void SendRequests(const Job& job, const PendingCensus& pending);
  /// Tracks the tasks that a reply lists and applies their states.
  void AdoptStartedTasks(const Now& now,
                         const wire::Sender& from,
                         const wire::CensusEntry& entry,
                         Job& job);
  /// Updates the tasks that are at the sidecar according to a handover.
  /// `entry` is null when the sidecar does not know the job.
  void ApplyAssignedSidecarReply(const Now& now,
                                 const wire::Sender& from,
                                 Job& job,
                                 const wire::CensusEntry* entry);
  /// True when an incarnation that ended `uptime` ago or earlier may have
  /// started a task of the job.
  bool EarlierIncarnationMayHaveStarted(const Now& now,
                                        const Job& job,
                                        Duration uptime) const;
  /// True when a sidecar of the job's service left the membership late enough
  /// to have started a task of the job.
  bool DepartedSidecarMayHaveStarted(const Now& now, const Job& job) const;
  /// Ends a census that has all replies. If an incarnation was lost and some
  /// tasks are still kWaiting, these get kMayHaveRun and the job ends with
  /// kWorkerLost. Otherwise calls the DoneHook.
  void Complete(const Now& now, Job& job, const PendingCensus& pending);

  EntryContext& context_;
  JobRunner& runner_;
  DoneHook done_;
  DigestMismatchHook digest_mismatch_;
  std::map<policy::JobHandle, PendingCensus> pending_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_CENSUS_H_
