#include "filbertwick/core/entry/job_intake.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "filbertwick/core/entry/job_id_time.h"
#include "filbertwick/core/state/rendezvous.h"

namespace filbertwick::core {
namespace {

/// Retry advice for jobs refused with kNoEvidence.
constexpr Duration kEvidenceRetryAfter = std::chrono::seconds(1);
/// Most bytes of kept answers in one handover, newest jobs of each shard first.
/// When a job that was left out is submitted again, the new owner reads its
/// results from the sidecars by a census.
constexpr size_t kMaxHandoverAnswerBytes = 4UL * 1024 * 1024;

int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

size_t AnswerBytes(const wire::JobAnswer& answer) {
  size_t bytes = sizeof(wire::JobAnswer);
  for (const wire::TaskResult& result : answer.tasks) {
    bytes += result.body.size() + sizeof(wire::TaskResult);
  }
  return bytes;
}

}  // namespace

JobIntake::JobIntake(EntryContext& context, JobRunner& runner)
    : context_(context),
      runner_(runner),
      census_(
          context,
          runner,
          [this](const Now& now, Job& job) { ResumeAfterCensus(now, job); },
          [this](Job& job) {
            // The body of this submission may have run before the one that
            // the sidecar knows, so `not_run` is false.
            runner_.Refuse(job, wire::Reason::kDigestMismatch, false,
                           Duration(0));
          }) {
  filters_ = {
      [this](const Now&, const auto& spec) { return CheckNames(spec); },
      [this](const Now& now, const auto& spec) { return CheckAge(now, spec); },
      [this](const Now& now, const auto& spec) {
        return CheckEvidence(now, spec);
      },
  };
}

std::optional<Refusal> JobIntake::CheckNames(const wire::JobSpec& spec) const {
  const bundle::Bundle* bundle = context_.member.control().bundle();
  if (bundle == nullptr || bundle->FindService(spec.service) == nullptr) {
    return Refusal{wire::Reason::kUnknownService, false, Duration(0)};
  }
  if (bundle->FindTeam(spec.team) == nullptr) {
    return Refusal{wire::Reason::kUnknownTeam, false, Duration(0)};
  }
  return std::nullopt;
}

std::optional<Refusal> JobIntake::CheckAge(const Now& now,
                                           const wire::JobSpec& spec) const {
  // Once the dedupe window has passed, no instance remembers whether the job id
  // was used. The clocks of caller and entry may differ by the allowed skew.
  const auto created_at = JobIdCreationTime(spec.id);
  const int64_t max_age_ms = Millis(context_.DedupeWindow()) -
                             Millis(context_.timing().wall_clock_skew);
  if (created_at &&
      created_at->unix_millis + max_age_ms < now.wall.unix_millis) {
    return Refusal{wire::Reason::kExpired, false, Duration(0)};
  }
  return std::nullopt;
}

std::optional<Refusal> JobIntake::CheckEvidence(const Now& now,
                                                const wire::JobSpec&) const {
  // During a short loss of quorum evidence the job waits in the queue; after a
  // long one it is refused at once.
  const Instant until = context_.member.QuorumEvidenceUntil();
  if (until == Instant::min() ||
      until + context_.timing().evidence_age < now.monotonic) {
    return Refusal{wire::Reason::kNoEvidence, false, kEvidenceRetryAfter};
  }
  return std::nullopt;
}

std::optional<Refusal> JobIntake::Admit(const Now& now,
                                        const wire::JobSpec& spec) const {
  const policy::Admission admission = context_.dispatcher.Admit(
      {spec.service, spec.team, static_cast<uint32_t>(spec.payloads.size()),
       spec.deadline},
      now.monotonic);
  if (admission.reason == wire::Reason::kNone) {
    return std::nullopt;
  }
  return Refusal{admission.reason, true, admission.retry_after};
}

bool JobIntake::HasCompleteHistory(Instant now, wire::ShardId shard) const {
  const ShardTerm* term = context_.ownership.FindTerm(shard);
  // Once this entry has served the shard for a whole dedupe window, everything
  // that an earlier owner started is older than the window.
  return term != nullptr &&
         (term->history_complete ||
          (term->serving &&
           term->serving_since + context_.DedupeWindow() <= now));
}

bool JobIntake::IsFirstSubmission(const Now& now,
                                  const wire::JobSpec& spec) const {
  const ShardTerm* term = context_.ownership.FindTerm(ShardOf(spec.id));
  const Duration window = context_.DedupeWindow();
  if (term == nullptr ||
      context_.jobs.MayHaveEvicted(spec.id, now.monotonic, window)) {
    return false;
  }
  if (HasCompleteHistory(now.monotonic, ShardOf(spec.id))) {
    return true;
  }
  const auto created_at = JobIdCreationTime(spec.id);
  if (!created_at) {
    return false;
  }
  // A job id created after this entry began to serve the shard never reached an
  // earlier owner. A creation time that is in the future by more than the clock
  // skew is wrong and does not show when the id was created.
  const int64_t skew = Millis(context_.timing().wall_clock_skew);
  return created_at->unix_millis >
             term->serving_since_wall.unix_millis + skew &&
         created_at->unix_millis <= now.wall.unix_millis + skew;
}

void JobIntake::Submit(const Now& now,
                       const Waiter& waiter,
                       wire::JobSpec spec) {
  // A known job id gets its job's answer even if a new job would be refused.
  if (Job* job = context_.jobs.Find(spec.id)) {
    if (context_.member.settings().rules.digest_check &&
        job->spec.digest != spec.digest) {
      // `not_run`: if the known body is the first that was submitted under this
      // id, no task of the refused body ever ran.
      SendRefusal(
          waiter, spec.id,
          {wire::Reason::kDigestMismatch, job->first_submission, Duration(0)});
      return;
    }
    Attach(waiter, *job);
    return;
  }
  for (const SubmitFilter& filter : filters_) {
    if (const auto refusal = filter(now, spec)) {
      SendRefusal(waiter, spec.id, *refusal);
      return;
    }
  }
  const bool first_submission = IsFirstSubmission(now, spec);
  if (first_submission) {
    if (const auto refusal = Admit(now, spec)) {
      SendRefusal(waiter, spec.id, *refusal);
      return;
    }
  }
  // From here on the job id is known, and further submissions of it start
  // nothing.
  const wire::ShardId shard = ShardOf(spec.id);
  const bundle::Bundle* bundle = context_.member.control().bundle();
  Job& job = context_.jobs.Add(std::move(spec), shard, now.monotonic);
  job.repeatable = bundle->FindService(job.spec.service)->repeatable;
  job.waiters.push_back(waiter);
  job.first_submission = first_submission;
  if (first_submission) {
    runner_.Start(now.monotonic, job);
    return;
  }
  job.stage = JobStage::kCensus;
  census_.Begin(now, job);
}

void JobIntake::Attach(const Waiter& waiter, Job& job) {
  if (job.stage == JobStage::kEnded) {
    wire::ForwardAnswer reply;
    reply.request = waiter.request;
    reply.answer = job.answer;
    context_.answer(waiter, std::move(reply));
    return;
  }
  if (std::ranges::find(job.waiters, waiter) == job.waiters.end()) {
    job.waiters.push_back(waiter);
  }
}

void JobIntake::ResumeAfterCensus(const Now& now, Job& job) {
  const bool nothing_started =
      std::ranges::all_of(job.tasks, [](const Task& task) {
        return task.phase == TaskPhase::kWaiting && task.attempt == 0;
      });
  if (nothing_started) {
    if (const auto refusal = Admit(now, job.spec)) {
      runner_.Refuse(job, refusal->reason, refusal->not_run,
                     refusal->retry_after);
      return;
    }
  }
  job.stage = JobStage::kRunning;
  const bool failed = std::ranges::any_of(job.tasks, [](const Task& task) {
    return task.phase == TaskPhase::kEnded &&
           task.result.outcome != wire::TaskOutcome::kSucceeded;
  });
  if (failed) {
    runner_.End(now.monotonic, job, wire::Reason::kTaskFailed);
    return;
  }
  runner_.Start(now.monotonic, job);
  runner_.FinishIfDone(now.monotonic, job);
}

void JobIntake::SendRefusal(const Waiter& waiter,
                            const JobId& id,
                            const Refusal& refusal) {
  wire::ForwardAnswer reply;
  reply.request = waiter.request;
  reply.answer.id = id;
  reply.answer.reason = refusal.reason;
  reply.answer.not_run = refusal.not_run;
  reply.answer.retry_after = refusal.retry_after;
  context_.answer(waiter, std::move(reply));
}

void JobIntake::Query(const Now& now,
                      const Waiter& waiter,
                      const JobId& id,
                      wire::JobQuery query) {
  Job* job = context_.jobs.Find(id);
  if (job == nullptr) {
    SendRefusal(waiter, id, {wire::Reason::kUnknownJob, false, Duration(0)});
    return;
  }
  if (query == wire::JobQuery::kExplain) {
    wire::ForwardAnswer reply;
    reply.request = waiter.request;
    reply.answer.id = id;
    reply.explanation = runner_.Explain(*job);
    context_.answer(waiter, std::move(reply));
    return;
  }
  Attach(waiter, *job);
  if (query == wire::JobQuery::kCancel) {
    census_.Cancel(job->handle);
    runner_.End(now.monotonic, *job, wire::Reason::kCancelled);
  }
}

void JobIntake::OnCensusReply(const Now& now,
                              const wire::Sender& from,
                              const wire::CensusReply& reply) {
  census_.OnReply(now, from, reply);
}

void JobIntake::ExportJobs(Instant now,
                           std::span<const wire::ShardEpoch> shards,
                           wire::Handover& handover) {
  size_t answer_bytes = 0;
  for (const wire::ShardEpoch& shard : shards) {
    for (const policy::JobHandle handle :
         context_.jobs.JobsInShard(shard.shard) | std::views::reverse) {
      const Job& job = *context_.jobs.Find(handle);
      // The next owner runs its own census for a job whose census is pending.
      if (job.stage == JobStage::kCensus) {
        handover.complete = false;
        continue;
      }
      wire::HandoverJob item;
      item.spec = job.spec;
      item.remaining = job.deadline - now;
      item.ended = job.stage == JobStage::kEnded;
      item.first_submission = job.first_submission;
      if (item.ended) {
        answer_bytes += AnswerBytes(job.answer);
        if (answer_bytes > kMaxHandoverAnswerBytes) {
          handover.complete = false;
          continue;
        }
        item.answer = job.answer;
      }
      for (const Task& task : job.tasks) {
        wire::HandoverTask state;
        state.attempt = task.attempt;
        state.sidecar = task.sidecar;
        state.sidecar_incarnation = task.sidecar_incarnation;
        state.result = task.result;
        state.state =
            task.phase == TaskPhase::kWaiting   ? wire::TaskState::kUnknown
            : task.phase == TaskPhase::kOffered ? wire::TaskState::kQueued
            : task.phase == TaskPhase::kStarted ? wire::TaskState::kStarted
                                                : wire::TaskState::kEnded;
        item.tasks.push_back(std::move(state));
      }
      handover.jobs.push_back(std::move(item));
    }
  }
}

Job& JobIntake::RestoreJob(const Now& now, const wire::HandoverJob& from) {
  const wire::ShardId shard = ShardOf(from.spec.id);
  wire::JobSpec spec = from.spec;
  spec.deadline = from.remaining;
  Job& job = context_.jobs.Add(std::move(spec), shard, now.monotonic);
  job.first_submission = from.first_submission;
  job.tasks.resize(from.tasks.size());
  const bundle::Bundle* bundle = context_.member.control().bundle();
  const bundle::Service* service =
      bundle == nullptr ? nullptr : bundle->FindService(job.spec.service);
  job.repeatable = service != nullptr && service->repeatable;
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    const wire::HandoverTask& state = from.tasks[index];
    Task& task = job.tasks[index];
    task.attempt = state.attempt;
    if (state.state == wire::TaskState::kEnded) {
      task.phase = TaskPhase::kEnded;
      task.result = state.result;
      ++job.ended_tasks;
    } else if (state.state != wire::TaskState::kUnknown) {
      runner_.AdoptTask(job, index, state.sidecar, state.sidecar_incarnation,
                        state.state == wire::TaskState::kStarted
                            ? TaskPhase::kStarted
                            : TaskPhase::kOffered,
                        state.attempt, now.monotonic);
    }
  }
  return job;
}

void JobIntake::ImportJobs(const Now& now,
                           std::span<const wire::HandoverJob> jobs) {
  for (const wire::HandoverJob& item : jobs) {
    if (context_.jobs.Find(item.spec.id) != nullptr) {
      continue;
    }
    Job& job = RestoreJob(now, item);
    if (item.ended) {
      job.stage = JobStage::kEnded;
      job.answer = item.answer;
      context_.jobs.NoteEnded(job, now.monotonic);
      continue;
    }
    job.stage = JobStage::kCensus;
  }
}

void JobIntake::OnShardsGained(const Now& now,
                               std::span<const wire::ShardId> shards) {
  for (const wire::ShardId shard : shards) {
    for (const policy::JobHandle handle : context_.jobs.JobsInShard(shard)) {
      Job* job = context_.jobs.Find(handle);
      if (job->stage == JobStage::kCensus) {
        census_.BeginAtAssignedSidecars(now, *job);
      }
    }
  }
}

}  // namespace filbertwick::core
