#ifndef FILBERTWICK_CORE_ENTRY_JOB_INTAKE_H_
#define FILBERTWICK_CORE_ENTRY_JOB_INTAKE_H_

#include <functional>
#include <optional>
#include <vector>

#include "filbertwick/core/entry/census.h"
#include "filbertwick/core/entry/entry_context.h"
#include "filbertwick/core/entry/job_runner.h"
#include "filbertwick/core/event.h"

namespace filbertwick::core {

/// Why a submission is refused.
struct Refusal {
  wire::Reason reason = wire::Reason::kNone;
  /// No task of the job ever ran or will run.
  bool not_run = false;
  /// When the caller should retry; 0 when a retry does not help.
  Duration retry_after{0};
};

/// A check that every new job passes in turn. Returns std::nullopt to accept
/// the job.
using SubmitFilter =
    std::function<std::optional<Refusal>(const Now& now,
                                         const wire::JobSpec& spec)>;

/// Accepts jobs at the owner of their shard.
///
/// A submission whose job id is known becomes a waiter of the existing job. Any
/// other submission is refused if a filter refuses it. If no earlier owner of
/// the shard can have received the id, the job then starts; otherwise a census
/// finds out first which of its tasks were started. Also exports and imports
/// the jobs of shards that are handed over.
class JobIntake {
 public:
  /// Keeps references to `context` and `runner`, which must outlive the intake.
  JobIntake(EntryContext& context, JobRunner& runner);

  /// Submits a job of a shard that this entry serves. `waiter` gets exactly one
  /// answer, or a redirect when the shard changes its owner.
  void Submit(const Now& now, const Waiter& waiter, wire::JobSpec spec);
  /// Handles a fetch, cancel or explain request for a job of a shard that this
  /// entry serves. Refuses with kUnknownJob when the job is not in the table.
  void Query(const Now& now,
             const Waiter& waiter,
             const JobId& id,
             wire::JobQuery query);
  /// Applies a sidecar's reply to a census.
  void OnCensusReply(const Now& now,
                     const wire::Sender& from,
                     const wire::CensusReply& reply);

  /// Appends the jobs of `shards` to `handover`, with the states of their tasks
  /// and with answers up to a size limit. Clears `handover.complete` when a job
  /// is left out.
  void ExportJobs(Instant now,
                  std::span<const wire::ShardEpoch> shards,
                  wire::Handover& handover);
  /// True when this entry knows every job of the shard that was started within
  /// the dedupe window, apart from evicted ones.
  bool HasCompleteHistory(Instant now, wire::ShardId shard) const;
  /// Adds jobs from a previous owner. Jobs that have not ended stay in kCensus
  /// until OnShardsGained() reports their shard.
  void ImportJobs(const Now& now, std::span<const wire::HandoverJob> jobs);
  /// Starts the censuses of imported jobs of `shards`, which this entry serves
  /// from now on.
  void OnShardsGained(const Now& now, std::span<const wire::ShardId> shards);

  /// Repeats unanswered census requests.
  void Tick(const Now& now) { census_.Tick(now); }
  /// When Tick() is due; Instant::max() when no census is pending.
  Instant NextWakeup() const { return census_.NextWakeup(); }

 private:
  /// Refuses when this entry has had no quorum evidence for longer than the
  /// evidence age.
  std::optional<Refusal> CheckEvidence(const Now& now,
                                       const wire::JobSpec& spec) const;
  /// Refuses a job id that was created longer ago than the dedupe window less
  /// the clock skew. Ids without a creation time pass.
  std::optional<Refusal> CheckAge(const Now& now,
                                  const wire::JobSpec& spec) const;
  /// Refuses a job whose service or team is not in the bundle.
  std::optional<Refusal> CheckNames(const wire::JobSpec& spec) const;
  /// Refuses a job that the admission control of the dispatcher rejects.
  std::optional<Refusal> Admit(const Now& now, const wire::JobSpec& spec) const;
  /// True when no earlier owner can have started this job id.
  bool IsFirstSubmission(const Now& now, const wire::JobSpec& spec) const;
  /// Answers `waiter` if the job has ended, and otherwise adds it to the
  /// waiters.
  void Attach(const Waiter& waiter, Job& job);
  /// Continues a job whose census is complete: refuses, fails or starts it.
  void ResumeAfterCensus(const Now& now, Job& job);
  void SendRefusal(const Waiter& waiter,
                   const JobId& id,
                   const Refusal& refusal);
  /// Adds a job and its tasks from a handover.
  Job& RestoreJob(const Now& now, const wire::HandoverJob& from);

  EntryContext& context_;
  JobRunner& runner_;
  Census census_;
  /// Applied in order to every submission of an unknown job id.
  std::vector<SubmitFilter> filters_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_JOB_INTAKE_H_
