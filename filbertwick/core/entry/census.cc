#include "filbertwick/core/entry/census.h"

#include <algorithm>
#include <utility>

#include "filbertwick/core/entry/job_id_time.h"

namespace filbertwick::core {
namespace {

/// Time after which a request without a reply is repeated.
constexpr Duration kResendInterval = std::chrono::milliseconds(100);

int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

Census::Census(EntryContext& context,
               JobRunner& runner,
               DoneHook done,
               DigestMismatchHook digest_mismatch)
    : context_(context),
      runner_(runner),
      done_(std::move(done)),
      digest_mismatch_(std::move(digest_mismatch)) {}

void Census::Begin(const Now& now, Job& job) {
  PendingCensus& pending = pending_[job.handle];
  for (const auto& [name, info] : context_.member.control().instances()) {
    const bool serves_job =
        info.role == wire::Role::kSidecar && info.service == job.spec.service &&
        info.region == context_.member.settings().info.region;
    if (serves_job) {
      pending.unanswered.insert(name);
    }
  }
  pending.incarnation_lost = DepartedSidecarMayHaveStarted(now, job);
  pending.resend_at = now.monotonic + kResendInterval;
  SendRequests(job, pending);
  if (pending.unanswered.empty()) {
    const PendingCensus result = pending;
    Complete(now, job, result);
  }
}

void Census::BeginAtAssignedSidecars(const Now& now, Job& job) {
  PendingCensus pending;
  pending.assigned_only = true;
  for (const Task& task : job.tasks) {
    if (task.phase == TaskPhase::kOffered ||
        task.phase == TaskPhase::kStarted) {
      pending.unanswered.insert(task.sidecar);
    }
  }
  pending.resend_at = now.monotonic + kResendInterval;
  SendRequests(job, pending);
  if (pending.unanswered.empty()) {
    Complete(now, job, pending);
    return;
  }
  pending_[job.handle] = std::move(pending);
}

void Census::SendRequests(const Job& job, const PendingCensus& pending) {
  const wire::ShardEpoch shard = {job.shard,
                                  context_.member.replica().EpochOf(job.shard)};
  for (const InstanceName& name : pending.unanswered) {
    context_.outbox.AddCensusRequest(name, shard, job.spec.id);
  }
}

bool Census::EarlierIncarnationMayHaveStarted(const Now& now,
                                              const Job& job,
                                              Duration uptime) const {
  // The previous incarnation may have run until `uptime` ago. A job id without
  // a creation time may be as old as the dedupe window.
  const auto created_at = JobIdCreationTime(job.spec.id);
  if (!created_at) {
    return uptime < context_.DedupeWindow();
  }
  const int64_t started = now.wall.unix_millis - Millis(uptime);
  return started + Millis(context_.timing().wall_clock_skew) >=
         created_at->unix_millis;
}

bool Census::DepartedSidecarMayHaveStarted(const Now& now,
                                           const Job& job) const {
  return std::ranges::any_of(
      context_.member.control().departures(), [&](const Departure& departure) {
        const int64_t since = now.wall.unix_millis - departure.left.unix_millis;
        return departure.info.role == wire::Role::kSidecar &&
               departure.info.service == job.spec.service &&
               EarlierIncarnationMayHaveStarted(
                   now, job,
                   std::chrono::milliseconds(std::max<int64_t>(since, 0)));
      });
}

void Census::OnReply(const Now& now,
                     const wire::Sender& from,
                     const wire::CensusReply& reply) {
  // A reply under an older epoch does not count: after sending it, the sidecar
  // may have started a task that an earlier owner offered. A sidecar that
  // replies under the current epoch refuses offers of earlier owners.
  if (reply.epoch != context_.member.replica().EpochOf(reply.shard)) {
    return;
  }
  for (const JobId& id : reply.jobs) {
    Job* job = context_.jobs.Find(id);
    const auto it =
        job == nullptr ? pending_.end() : pending_.find(job->handle);
    if (it == pending_.end() || it->second.unanswered.erase(from.name) == 0) {
      continue;
    }
    PendingCensus& pending = it->second;
    const auto known =
        std::ranges::find(reply.known, id, &wire::CensusEntry::job);
    const bool listed = known != reply.known.end();
    if (pending.assigned_only) {
      ApplyAssignedSidecarReply(now, from, *job, listed ? &*known : nullptr);
    } else {
      pending.incarnation_lost |=
          EarlierIncarnationMayHaveStarted(now, *job, reply.uptime);
      if (listed) {
        AdoptStartedTasks(now, from, *known, *job);
      }
    }
    // Applying the reply may have removed the job.
    job = context_.jobs.Find(id);
    const auto updated =
        job == nullptr ? pending_.end() : pending_.find(job->handle);
    if (updated != pending_.end() && updated->second.unanswered.empty()) {
      const PendingCensus result = updated->second;
      Complete(now, *job, result);
    }
  }
}

void Census::AdoptStartedTasks(const Now& now,
                               const wire::Sender& from,
                               const wire::CensusEntry& entry,
                               Job& job) {
  if (context_.member.settings().rules.digest_check &&
      entry.digest != job.spec.digest) {
    // The job id was submitted before with a different body, so no task of this
    // submission may start.
    pending_.erase(job.handle);
    digest_mismatch_(job);
    return;
  }
  for (const wire::TaskUpdate& update : entry.tasks) {
    const bool waiting =
        update.key.index < job.tasks.size() &&
        job.tasks[update.key.index].phase == TaskPhase::kWaiting;
    if (!waiting) {
      continue;
    }
    runner_.AdoptTask(job, update.key.index, from.name, from.incarnation,
                      TaskPhase::kStarted, update.attempt, now.monotonic);
    runner_.OnUpdate(now.monotonic, from.name, update);
  }
}

void Census::ApplyAssignedSidecarReply(const Now& now,
                                       const wire::Sender& from,
                                       Job& job,
                                       const wire::CensusEntry* entry) {
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    const Task& task = job.tasks[index];
    const bool held =
        task.sidecar == from.name && (task.phase == TaskPhase::kOffered ||
                                      task.phase == TaskPhase::kStarted);
    if (!held) {
      continue;
    }
    wire::TaskUpdate update;
    update.key = {job.spec.id, index};
    update.attempt = task.attempt;
    update.state = wire::TaskState::kUnknown;
    if (entry != nullptr) {
      const auto it =
          std::ranges::find(entry->tasks, update.key, &wire::TaskUpdate::key);
      if (it != entry->tasks.end()) {
        update = *it;
        runner_.AdoptTask(job, index, from.name, from.incarnation, task.phase,
                          update.attempt, now.monotonic);
      }
    }
    // A new incarnation does not know whether the previous one started the
    // task.
    if (update.state == wire::TaskState::kUnknown &&
        task.sidecar_incarnation != from.incarnation) {
      runner_.MarkTaskMayHaveRun(now.monotonic, job, index);
      continue;
    }
    runner_.OnUpdate(now.monotonic, from.name, update);
  }
}

void Census::Complete(const Now& now, Job& job, const PendingCensus& pending) {
  pending_.erase(job.handle);
  if (job.stage != JobStage::kCensus && !pending.assigned_only) {
    return;
  }
  if (pending.incarnation_lost) {
    bool unknown = false;
    for (uint32_t index = 0; index < job.tasks.size(); ++index) {
      if (job.tasks[index].phase == TaskPhase::kWaiting) {
        runner_.MarkTaskMayHaveRun(now.monotonic, job, index);
        unknown = true;
      }
    }
    if (unknown) {
      job.stage = JobStage::kRunning;
      runner_.End(now.monotonic, job, wire::Reason::kWorkerLost);
      return;
    }
  }
  done_(now, job);
}

void Census::Cancel(policy::JobHandle job) {
  pending_.erase(job);
}

void Census::Tick(const Now& now) {
  std::vector<policy::JobHandle> ended;
  for (auto& [handle, pending] : pending_) {
    const Job* job = context_.jobs.Find(handle);
    if (job == nullptr || job->stage == JobStage::kEnded) {
      ended.push_back(handle);
      continue;
    }
    if (pending.resend_at <= now.monotonic) {
      pending.resend_at = now.monotonic + kResendInterval;
      SendRequests(*job, pending);
    }
  }
  for (const policy::JobHandle handle : ended) {
    pending_.erase(handle);
  }
}

Instant Census::NextWakeup() const {
  Instant next = Instant::max();
  for (const auto& [handle, pending] : pending_) {
    next = std::min(next, pending.resend_at);
  }
  return next;
}

}  // namespace filbertwick::core
