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

/// Finds out what earlier owners started of a job: asks every sidecar that
/// could have been given a task of it, at the new epoch. Tasks that an answer
/// names are attached again. When an incarnation that could have had a task is
/// gone, the tasks nobody names may have run and are never started.
class Census {
 public:
  /// Called when the census of a job is complete and the job can go on.
  using DoneHook = std::function<void(const Now& now, Job& job)>;
  /// Called when the key was used with another body before.
  using DigestMismatchHook = std::function<void(Job& job)>;

  /// A census over `context` and `runner`, which must outlive it.
  Census(EntryContext& context,
         JobRunner& runner,
         DoneHook done,
         DigestMismatchHook digest_mismatch);

  /// Asks about a job of stage kCensus.
  void Begin(const Now& now, Job& job);
  /// Asks only the sidecars that hold tasks of a job that was handed over.
  void BeginAtAssignedSidecars(const Now& now, Job& job);
  /// Takes in an answer.
  void OnReply(const Now& now,
               const wire::Sender& from,
               const wire::CensusReply& reply);
  /// Forgets a job.
  void Cancel(policy::JobHandle job);
  /// Asks again those that have not answered.
  void Tick(const Now& now);
  /// When Tick() is due.
  Instant NextWakeup() const;

 private:
  /// What is known so far about one job.
  struct PendingCensus {
    std::set<InstanceName> open;
    /// Somebody that could have had a task is gone.
    bool incarnation_lost = false;
    /// The job's memory was handed over; only its holders are asked.
    bool assigned_only = false;
    Instant resend_at = Instant::max();
  };

  void SendRequests(const Job& job, const PendingCensus& pending);
  void AdoptStartedTasks(const Now& now,
                         const wire::Sender& from,
                         const wire::CensusEntry& entry,
                         Job& job);
  void ApplyAssignedSidecarReply(const Now& now,
                                 const wire::Sender& from,
                                 Job& job,
                                 const wire::CensusEntry* entry);
  bool EarlierIncarnationMayHaveStarted(const Now& now,
                                        const Job& job,
                                        Duration uptime) const;
  bool DepartedSidecarMayHaveStarted(const Now& now, const Job& job) const;
  void Complete(const Now& now, Job& job, const PendingCensus& pending);

  EntryContext& context_;
  JobRunner& runner_;
  DoneHook done_;
  DigestMismatchHook digest_mismatch_;
  std::map<policy::JobHandle, PendingCensus> pending_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_CENSUS_H_
