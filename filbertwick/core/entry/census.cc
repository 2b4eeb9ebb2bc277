#include "filbertwick/core/entry/census.h"

#include <algorithm>
#include <utility>

#include "filbertwick/core/entry/job_birth.h"

namespace filbertwick::core {
namespace {

/// Time after which a request without a reply is repeated.
constexpr Duration kAskAgain = std::chrono::milliseconds(100);

int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

Census::Census(EntryContext& context,
               JobRunner& runner,
               DoneHook done,
               ClashHook clash)
    : context_(context),
      runner_(runner),
      done_(std::move(done)),
      clash_(std::move(clash)) {}

void Census::Begin(const Now& now, Job& job) {
  Inquiry& inquiry = inquiries_[job.handle];
  for (const auto& [name, info] : context_.member.control().instances()) {
    const bool asked = info.role == wire::Role::kSidecar &&
                       info.service == job.spec.service &&
                       info.region == context_.member.settings().info.region;
    if (asked) {
      inquiry.open.insert(name);
    }
  }
  inquiry.gone = SomebodyDeparted(now, job);
  inquiry.ask_again = now.monotonic + kAskAgain;
  Ask(job, inquiry);
  if (inquiry.open.empty()) {
    const Inquiry result = inquiry;
    Conclude(now, job, result);
  }
}

void Census::BeginAtHolders(const Now& now, Job& job) {
  Inquiry inquiry;
  inquiry.holders_only = true;
  for (const Task& task : job.tasks) {
    if (task.phase == TaskPhase::kOffered ||
        task.phase == TaskPhase::kStarted) {
      inquiry.open.insert(task.sidecar);
    }
  }
  inquiry.ask_again = now.monotonic + kAskAgain;
  Ask(job, inquiry);
  if (inquiry.open.empty()) {
    Conclude(now, job, inquiry);
    return;
  }
  inquiries_[job.handle] = std::move(inquiry);
}

void Census::Ask(const Job& job, const Inquiry& inquiry) {
  const wire::ShardEpoch shard = {
      job.shard, context_.member.knowledge().EpochOf(job.shard)};
  for (const InstanceName& name : inquiry.open) {
    context_.outbox.AddCensus(name, shard, job.spec.id);
  }
}

bool Census::CouldHaveStartedBefore(const Now& now,
                                    const Job& job,
                                    Duration uptime) const {
  // The previous incarnation may have run until `uptime` ago. A job id without
  // a creation time may be as old as the dedupe window.
  const auto birth = BirthOf(job.spec.id);
  if (!birth) {
    return uptime < context_.DedupeWindow();
  }
  const int64_t started = now.wall.unix_millis - Millis(uptime);
  return started + Millis(context_.timing().wall_clock_skew) >=
         birth->unix_millis;
}

bool Census::SomebodyDeparted(const Now& now, const Job& job) const {
  return std::ranges::any_of(
      context_.member.control().departures(), [&](const Departure& departure) {
        const int64_t since = now.wall.unix_millis - departure.left.unix_millis;
        return departure.info.role == wire::Role::kSidecar &&
               departure.info.service == job.spec.service &&
               CouldHaveStartedBefore(
                   now, job,
                   std::chrono::milliseconds(std::max<int64_t>(since, 0)));
      });
}

void Census::OnReply(const Now& now,
                     const wire::Sender& from,
                     const wire::CensusReply& reply) {
  // A reply under an older epoch does not count: after it the sidecar may have
  // started an offer of an earlier owner. A sidecar that replies under the
  // current epoch refuses those offers.
  if (reply.epoch != context_.member.knowledge().EpochOf(reply.shard)) {
    return;
  }
  for (const JobId& id : reply.jobs) {
    Job* job = context_.jobs.Find(id);
    const auto it =
        job == nullptr ? inquiries_.end() : inquiries_.find(job->handle);
    if (it == inquiries_.end() || it->second.open.erase(from.name) == 0) {
      continue;
    }
    Inquiry& inquiry = it->second;
    const auto known =
        std::ranges::find(reply.known, id, &wire::CensusEntry::job);
    const bool named = known != reply.known.end();
    if (inquiry.holders_only) {
      ResolveHolder(now, from, *job, named ? &*known : nullptr);
    } else {
      inquiry.gone |= CouldHaveStartedBefore(now, *job, reply.uptime);
      if (named) {
        TakeEntry(now, from, *known, *job);
      }
    }
    // Applying the reply may have removed the job.
    job = context_.jobs.Find(id);
    const auto left =
        job == nullptr ? inquiries_.end() : inquiries_.find(job->handle);
    if (left != inquiries_.end() && left->second.open.empty()) {
      const Inquiry result = left->second;
      Conclude(now, *job, result);
    }
  }
}

void Census::TakeEntry(const Now& now,
                       const wire::Sender& from,
                       const wire::CensusEntry& entry,
                       Job& job) {
  if (context_.member.settings().rules.digest_check &&
      entry.digest != job.spec.digest) {
    // The job id was submitted before with a different body, so no task of this
    // submission may start.
    inquiries_.erase(job.handle);
    clash_(job);
    return;
  }
  for (const wire::TaskUpdate& update : entry.tasks) {
    const bool open = update.key.index < job.tasks.size() &&
                      job.tasks[update.key.index].phase == TaskPhase::kWaiting;
    if (!open) {
      continue;
    }
    runner_.AdoptTask(job, update.key.index, from.name, from.incarnation,
                      TaskPhase::kStarted, update.attempt, now.monotonic);
    runner_.OnUpdate(now.monotonic, from.name, update);
  }
}

void Census::ResolveHolder(const Now& now,
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
    if (update.state == wire::TaskState::kUnknown &&
        task.sidecar_incarnation != from.incarnation) {
      runner_.GiveUpTask(now.monotonic, job, index);
      continue;
    }
    runner_.OnUpdate(now.monotonic, from.name, update);
  }
}

void Census::Conclude(const Now& now, Job& job, const Inquiry& inquiry) {
  inquiries_.erase(job.handle);
  if (job.stage != JobStage::kCensus && !inquiry.holders_only) {
    return;
  }
  if (inquiry.gone) {
    bool unknown = false;
    for (uint32_t index = 0; index < job.tasks.size(); ++index) {
      if (job.tasks[index].phase == TaskPhase::kWaiting) {
        runner_.GiveUpTask(now.monotonic, job, index);
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
  inquiries_.erase(job);
}

void Census::Tick(const Now& now) {
  std::vector<policy::JobHandle> ended;
  for (auto& [handle, inquiry] : inquiries_) {
    const Job* job = context_.jobs.Find(handle);
    if (job == nullptr || job->stage == JobStage::kEnded) {
      ended.push_back(handle);
      continue;
    }
    if (inquiry.ask_again <= now.monotonic) {
      inquiry.ask_again = now.monotonic + kAskAgain;
      Ask(*job, inquiry);
    }
  }
  for (const policy::JobHandle handle : ended) {
    inquiries_.erase(handle);
  }
}

Instant Census::NextWakeup() const {
  Instant next = Instant::max();
  for (const auto& [handle, inquiry] : inquiries_) {
    next = std::min(next, inquiry.ask_again);
  }
  return next;
}

}  // namespace filbertwick::core
