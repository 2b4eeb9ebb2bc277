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

/// Why a submission is not taken in.
struct Refusal {
  wire::Reason reason = wire::Reason::kNone;
  /// Nothing of the job ever ran or will run.
  bool not_run = false;
  Duration retry_after{0};
};

/// A step of the chain that every new job passes; nothing passes the job on.
using SubmitFilter =
    std::function<std::optional<Refusal>(const Now& now,
                                         const wire::JobSpec& spec)>;

/// Takes jobs in at the owner of their shard. A known key attaches to its job;
/// a new one passes the filters and starts; one that an earlier owner may have
/// started goes through a census first.
class JobIntake {
 public:
  /// An intake over `context` and `runner`, which must outlive it.
  JobIntake(EntryContext& context, JobRunner& runner);

  /// Submits a job of a shard that is served here.
  void Submit(const Now& now, const Waiter& waiter, wire::JobSpec spec);
  /// Answers a question about a job of a shard that is served here.
  void Query(const Now& now,
             const Waiter& waiter,
             const JobId& id,
             wire::JobQuery query);
  /// Takes in an answer of a sidecar to a census.
  void OnCensusReply(const Now& now,
                     const wire::Sender& from,
                     const wire::CensusReply& reply);

  /// Adds what the next owner of some shards must know of their jobs.
  void ExportJobs(Instant now,
                  std::span<const wire::ShardEpoch> shards,
                  wire::Handover& handover);
  /// True when no job of the shard that is not known here can have been started
  /// within the dedupe window.
  bool HasCompleteHistory(Instant now, wire::ShardId shard) const;
  /// Takes over jobs of an earlier owner; they go on once served here.
  void ImportJobs(const Now& now, std::span<const wire::HandoverJob> jobs);
  /// Work of these shards may start now.
  void OnShardsGained(const Now& now, std::span<const wire::ShardId> shards);

  /// Repeats what was not answered.
  void Tick(const Now& now) { census_.Tick(now); }
  /// When Tick() is due.
  Instant NextWakeup() const { return census_.NextWakeup(); }

 private:
  std::optional<Refusal> CheckEvidence(const Now& now,
                                       const wire::JobSpec& spec) const;
  std::optional<Refusal> CheckAge(const Now& now,
                                  const wire::JobSpec& spec) const;
  std::optional<Refusal> CheckNames(const wire::JobSpec& spec) const;
  std::optional<Refusal> Admit(const Now& now, const wire::JobSpec& spec) const;
  bool IsFresh(const Now& now, const wire::JobSpec& spec) const;
  void Attach(const Waiter& waiter, Job& job);
  void ResumeAfterCensus(const Now& now, Job& job);
  void SendRefusal(const Waiter& waiter,
                   const JobId& id,
                   const Refusal& refusal);
  Job& RestoreJob(const Now& now, const wire::HandoverJob& from);

  EntryContext& context_;
  JobRunner& runner_;
  Census census_;
  /// Passed by every submission.
  std::vector<SubmitFilter> filters_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_JOB_INTAKE_H_
