#include "filbertwick/core/entry/job_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "filbertwick/core/entry/task_restart.h"

namespace filbertwick::core {
namespace {

/// Time after which an offer without a response is withdrawn and an unanswered
/// withdrawal is repeated.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(200);
/// Time after which a task that is still queued at its sidecar is withdrawn.
constexpr Duration kSidecarQueueTimeout = std::chrono::seconds(1);
/// Time limit of a task whose service is no longer in the bundle.
constexpr Duration kDefaultTaskTimeout = std::chrono::seconds(30);
/// Most tasks that Explain() describes.
constexpr size_t kMaxExplainedTasks = 32;

wire::TaskResult MakeResult(wire::TaskOutcome outcome, std::string_view text) {
  return {outcome, std::string(text)};
}

std::string_view ToString(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::kWaiting:
      return "waiting";
    case TaskPhase::kOffered:
      return "offered";
    case TaskPhase::kStarted:
      return "started";
    case TaskPhase::kEnded:
      return "ended";
  }
  return "unknown";
}

}  // namespace

JobRunner::JobRunner(EntryContext& context) : context_(context) {}

void JobRunner::Start(Instant now, Job& job) {
  assert(job.stage == JobStage::kRunning);
  const policy::JobShape shape = {job.spec.service, job.spec.team,
                                  static_cast<uint32_t>(job.tasks.size()),
                                  job.deadline - now};
  context_.dispatcher.AddJob(job.handle, shape, now);
  job.registered = true;
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    if (job.tasks[index].phase == TaskPhase::kWaiting) {
      context_.dispatcher.AddTask({job.handle, index}, now);
    }
  }
}

void JobRunner::OfferWaitingTasks(Instant now) {
  while (context_.member.HasQuorumEvidence(now)) {
    const auto placement = context_.dispatcher.NextPlacement(now);
    if (!placement) {
      return;
    }
    Offer(now, *placement);
  }
}

void JobRunner::Offer(Instant now, const policy::Placement& placement) {
  Job* job = context_.jobs.Find(placement.task.job);
  const PeerView* view = context_.member.FindView(placement.upstream);
  assert(job != nullptr && job->stage == JobStage::kRunning);
  if (view == nullptr || view->token == 0 ||
      !context_.ownership.Serves(job->shard)) {
    context_.dispatcher.OnEnded(placement.task,
                                policy::PlacementOutcome::kNotStarted,
                                Duration(0), now);
    return;
  }
  // Record the offer before it is sent.
  const uint32_t index = placement.task.index;
  Task& task = job->tasks[index];
  task.phase = TaskPhase::kOffered;
  ++task.attempt;
  task.withdrawing = false;
  task.sidecar = placement.upstream;
  task.sidecar_incarnation = view->incarnation;
  task.offered_at = now;
  tasks_by_sidecar_[task.sidecar].insert(placement.task);
  ScheduleResponseCheck(now + kResponseTimeout, placement.task, task);
  // Send it with the newest clock token of the sidecar.
  const bundle::Bundle* bundle = context_.member.control().bundle();
  const bundle::Service* service =
      bundle == nullptr ? nullptr : bundle->FindService(job->spec.service);
  wire::TaskOffer offer;
  offer.key = {job->spec.id, index};
  offer.attempt = task.attempt;
  offer.repeat = task.repeat;
  offer.shard = job->shard;
  offer.epoch = context_.member.replica().EpochOf(job->shard);
  offer.service = job->spec.service;
  offer.digest = job->spec.digest;
  offer.token = view->token;
  offer.timeout =
      service == nullptr ? kDefaultTaskTimeout : service->task_timeout;
  offer.payload = job->spec.payloads[index];
  context_.outbox.AddOffer(task.sidecar, view->incarnation, std::move(offer));
}

void JobRunner::OnUpdates(Instant now,
                          const InstanceName& sidecar,
                          std::span<const wire::TaskUpdate> updates) {
  for (const wire::TaskUpdate& update : updates) {
    OnUpdate(now, sidecar, update);
  }
}

void JobRunner::OnUpdate(Instant now,
                         const InstanceName& sidecar,
                         const wire::TaskUpdate& update) {
  // The sidecar repeats the update until it gets this acknowledgement.
  if (update.state == wire::TaskState::kEnded) {
    context_.outbox.AddAcknowledge(sidecar, update.key);
  }
  Job* job = context_.jobs.Find(update.key.job);
  if (job == nullptr || job->stage == JobStage::kEnded ||
      update.key.index >= job->tasks.size()) {
    return;
  }
  Task& task = job->tasks[update.key.index];
  const policy::TaskRef ref = {job->handle, update.key.index};
  const bool current =
      task.sidecar == sidecar && task.attempt == update.attempt &&
      (task.phase == TaskPhase::kOffered || task.phase == TaskPhase::kStarted);
  if (!current) {
    return;
  }
  switch (update.state) {
    case wire::TaskState::kQueued:
      ScheduleResponseCheck(now + kSidecarQueueTimeout, ref, task);
      return;
    case wire::TaskState::kStarted:
      if (task.phase == TaskPhase::kOffered) {
        task.phase = TaskPhase::kStarted;
        context_.dispatcher.OnStarted(ref, now);
      }
      return;
    case wire::TaskState::kEnded: {
      const bool succeeded =
          update.result.outcome == wire::TaskOutcome::kSucceeded;
      const bool lost = update.result.outcome == wire::TaskOutcome::kMayHaveRun;
      OnTaskReturned(now, *job, ref.index,
                     succeeded ? policy::PlacementOutcome::kSucceeded
                     : lost    ? policy::PlacementOutcome::kLost
                               : policy::PlacementOutcome::kFailed,
                     update.result, update.run_time);
      return;
    }
    case wire::TaskState::kRefused:
    case wire::TaskState::kUnknown:
      if (update.cause == wire::RefusalCause::kDigestMismatch) {
        End(now, *job, wire::Reason::kDigestMismatch);
      }
      OnTaskReturned(now, *job, ref.index,
                     policy::PlacementOutcome::kNotStarted,
                     MakeResult(wire::TaskOutcome::kNotRun, ""), Duration(0));
      return;
  }
}

void JobRunner::OnTaskReturned(Instant now,
                               Job& job,
                               uint32_t index,
                               policy::PlacementOutcome end,
                               wire::TaskResult result,
                               Duration run_time) {
  Task& task = job.tasks[index];
  const policy::TaskRef ref = {job.handle, index};
  DetachFromSidecar(ref, task);
  // The failure of a task that the owner stopped counts against its upstream
  // only if the job had exceeded its deadline.
  const bool stopped = job.stage == JobStage::kEnding &&
                       end == policy::PlacementOutcome::kFailed &&
                       job.reason != wire::Reason::kDeadline;
  context_.dispatcher.OnEnded(
      ref, stopped ? policy::PlacementOutcome::kStopped : end, run_time, now);
  if (end == policy::PlacementOutcome::kNotStarted &&
      job.stage == JobStage::kCensus) {
    task.phase = TaskPhase::kWaiting;
    return;
  }
  if (end == policy::PlacementOutcome::kSucceeded ||
      job.stage != JobStage::kRunning) {
    EndTask(now, job, index, std::move(result));
    FinishIfDone(now, job);
    return;
  }
  const TaskRestartDecision decision = DecideTaskRestart(job, end);
  const bool may_restart =
      decision == TaskRestartDecision::kOfferAgain ||
      (decision == TaskRestartDecision::kRepeat &&
       context_.dispatcher.TryTakeRetry(job.spec.service, now));
  if (may_restart) {
    task.phase = TaskPhase::kWaiting;
    task.repeat = task.repeat || decision == TaskRestartDecision::kRepeat;
    context_.dispatcher.AddTask(ref, now);
    return;
  }
  // A task without a result fails the whole job.
  EndTask(now, job, index, std::move(result));
  End(now, job,
      end == policy::PlacementOutcome::kLost ? wire::Reason::kWorkerLost
                                             : wire::Reason::kTaskFailed);
}

void JobRunner::DetachFromSidecar(const policy::TaskRef& ref, Task& task) {
  const auto it = tasks_by_sidecar_.find(task.sidecar);
  if (it != tasks_by_sidecar_.end()) {
    it->second.erase(ref);
  }
  task.withdrawing = false;
}

void JobRunner::EndTask(Instant now,
                        Job& job,
                        uint32_t index,
                        wire::TaskResult result) {
  Task& task = job.tasks[index];
  assert(task.phase != TaskPhase::kEnded);
  DetachFromSidecar({job.handle, index}, task);
  task.phase = TaskPhase::kEnded;
  task.ended_at = now;
  task.result = std::move(result);
  ++job.ended_tasks;
}

void JobRunner::End(Instant now, Job& job, wire::Reason reason) {
  if (job.stage == JobStage::kEnding || job.stage == JobStage::kEnded) {
    return;
  }
  const bool census = job.stage == JobStage::kCensus;
  job.stage = JobStage::kEnding;
  job.ending_at = now;
  context_.jobs.NoteEnding(job);
  job.reason = reason;
  ending_jobs_.insert(job.handle);
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    Task& task = job.tasks[index];
    if (task.phase == TaskPhase::kWaiting) {
      context_.dispatcher.RemoveTask({job.handle, index});
      // An earlier owner may have started the task unless the census is
      // complete.
      EndTask(now, job, index,
              MakeResult(census ? wire::TaskOutcome::kMayHaveRun
                                : wire::TaskOutcome::kNotRun,
                         ""));
    } else if (task.phase != TaskPhase::kEnded) {
      // Wait for the sidecar to report whether the task ran: even a started
      // task may still be refused by the upstream.
      WithdrawTask(now, job, index, true);
    }
  }
  FinishIfDone(now, job);
}

void JobRunner::WithdrawTask(Instant now, Job& job, uint32_t index, bool stop) {
  Task& task = job.tasks[index];
  task.withdrawing = true;
  context_.outbox.AddWithdrawal(task.sidecar,
                                {{job.spec.id, index}, task.attempt, stop});
  ScheduleResponseCheck(now + kResponseTimeout, {job.handle, index}, task);
}

void JobRunner::FinishIfDone(Instant now, Job& job) {
  const bool finishable =
      job.stage == JobStage::kRunning || job.stage == JobStage::kEnding;
  if (finishable && job.ended_tasks == job.tasks.size()) {
    Finish(now, job);
  }
}

void JobRunner::Finish(Instant now, Job& job) {
  // Build the answer, ordered by task index.
  wire::JobAnswer& answer = job.answer;
  answer.id = job.spec.id;
  for (const Task& task : job.tasks) {
    answer.tasks.push_back(task.result);
  }
  const bool complete =
      std::ranges::all_of(answer.tasks, [](const wire::TaskResult& result) {
        return result.outcome == wire::TaskOutcome::kSucceeded;
      });
  answer.outcome =
      complete ? wire::JobOutcome::kComplete : wire::JobOutcome::kFailed;
  answer.reason = complete ? wire::Reason::kNone : job.reason;
  // End the job and answer all waiters.
  if (job.registered) {
    context_.dispatcher.RemoveJob(job.handle);
    job.registered = false;
  }
  ending_jobs_.erase(job.handle);
  job.stage = JobStage::kEnded;
  const std::vector<Waiter> waiters = std::exchange(job.waiters, {});
  for (const Waiter& waiter : waiters) {
    wire::ForwardAnswer reply;
    reply.request = waiter.request;
    reply.answer = job.answer;
    context_.answer(waiter, std::move(reply));
  }
  context_.jobs.NoteEnded(job, now);
}

void JobRunner::Drop(Job& job) {
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    DetachFromSidecar({job.handle, index}, job.tasks[index]);
  }
  if (job.registered) {
    context_.dispatcher.RemoveJob(job.handle);
  }
  ending_jobs_.erase(job.handle);
  context_.jobs.Remove(job.handle);
}

void JobRunner::Refuse(Job& job,
                       wire::Reason reason,
                       bool not_run,
                       Duration retry_after) {
  for (const Waiter& waiter : job.waiters) {
    wire::ForwardAnswer reply;
    reply.request = waiter.request;
    reply.answer.id = job.spec.id;
    reply.answer.reason = reason;
    reply.answer.not_run = not_run;
    reply.answer.retry_after = retry_after;
    context_.answer(waiter, std::move(reply));
  }
  Drop(job);
}

void JobRunner::RedirectAndDrop(Job& job) {
  for (const Waiter& waiter : job.waiters) {
    wire::ForwardAnswer reply;
    reply.request = waiter.request;
    reply.not_owner = true;
    reply.known = {job.shard, context_.member.replica().EpochOf(job.shard)};
    context_.answer(waiter, std::move(reply));
  }
  Drop(job);
}

void JobRunner::OnSidecarLost(Instant now, const InstanceName& sidecar) {
  const auto it = tasks_by_sidecar_.find(sidecar);
  if (it == tasks_by_sidecar_.end()) {
    return;
  }
  const std::set<policy::TaskRef> lost_tasks = std::exchange(it->second, {});
  for (const policy::TaskRef& ref : lost_tasks) {
    Job* job = context_.jobs.Find(ref.job);
    if (job != nullptr && job->stage != JobStage::kEnded &&
        job->tasks[ref.index].phase != TaskPhase::kEnded) {
      OnTaskReturned(now, *job, ref.index, policy::PlacementOutcome::kLost,
                     MakeResult(wire::TaskOutcome::kMayHaveRun, "worker lost"),
                     Duration(0));
    }
  }
}

void JobRunner::AdoptTask(Job& job,
                          uint32_t index,
                          const InstanceName& sidecar,
                          wire::Incarnation incarnation,
                          TaskPhase phase,
                          uint32_t attempt,
                          Instant now) {
  Task& task = job.tasks[index];
  task.phase = phase;
  task.attempt = std::max(task.attempt, attempt);
  task.sidecar = sidecar;
  task.sidecar_incarnation = incarnation;
  task.offered_at = now;
  tasks_by_sidecar_[sidecar].insert({job.handle, index});
  if (phase == TaskPhase::kOffered) {
    ScheduleResponseCheck(now + kResponseTimeout, {job.handle, index}, task);
  }
}

void JobRunner::MarkTaskMayHaveRun(Instant now, Job& job, uint32_t index) {
  if (job.tasks[index].phase != TaskPhase::kEnded) {
    EndTask(now, job, index,
            MakeResult(wire::TaskOutcome::kMayHaveRun, "worker lost"));
  }
}

void JobRunner::ScheduleResponseCheck(Instant at,
                                      const policy::TaskRef& ref,
                                      Task& task) {
  task.response_due = at;
  response_checks_.insert({at, ref});
}

void JobRunner::WithdrawUnanswered(Instant now) {
  while (!response_checks_.empty() && response_checks_.begin()->at <= now) {
    const ResponseCheck due = *response_checks_.begin();
    response_checks_.erase(response_checks_.begin());
    Job* job = context_.jobs.Find(due.task.job);
    if (job == nullptr || job->stage == JobStage::kEnded) {
      continue;
    }
    const Task& task = job->tasks[due.task.index];
    if (task.phase == TaskPhase::kOffered && task.response_due == due.at) {
      WithdrawTask(now, *job, due.task.index, job->stage == JobStage::kEnding);
    }
  }
}

void JobRunner::EndOverdueJobs(Instant now) {
  for (const policy::JobHandle handle : context_.jobs.OverdueJobs(now)) {
    if (Job* job = context_.jobs.Find(handle)) {
      End(now, *job, wire::Reason::kDeadline);
    }
  }
}

void JobRunner::ForceEndStalledJobs(Instant now) {
  const std::vector<policy::JobHandle> handles(ending_jobs_.begin(),
                                               ending_jobs_.end());
  for (const policy::JobHandle handle : handles) {
    Job* job = context_.jobs.Find(handle);
    assert(job != nullptr);
    if (now < job->ending_at + context_.timing().evidence_age) {
      continue;
    }
    for (uint32_t index = 0; index < job->tasks.size(); ++index) {
      MarkTaskMayHaveRun(now, *job, index);
    }
    FinishIfDone(now, *job);
  }
}

void JobRunner::WithdrawStragglers(Instant now) {
  for (const policy::TaskRef& ref : context_.dispatcher.TakeWithdrawals(now)) {
    Job* job = context_.jobs.Find(ref.job);
    if (job != nullptr && job->stage == JobStage::kRunning &&
        job->tasks[ref.index].phase == TaskPhase::kOffered) {
      WithdrawTask(now, *job, ref.index, false);
    }
  }
}

void JobRunner::Tick(Instant now) {
  EndOverdueJobs(now);
  ForceEndStalledJobs(now);
  WithdrawUnanswered(now);
  WithdrawStragglers(now);
}

Instant JobRunner::NextWakeup() const {
  Instant next = context_.jobs.NextDeadline();
  if (!response_checks_.empty()) {
    next = std::min(next, response_checks_.begin()->at);
  }
  for (const policy::JobHandle handle : ending_jobs_) {
    const Job* job = context_.jobs.Find(handle);
    next = std::min(next, job->ending_at + context_.timing().evidence_age);
  }
  return next;
}

std::vector<std::string> JobRunner::Explain(const Job& job) const {
  std::vector<std::string> lines;
  lines.push_back(fmt::format(
      "job {}: shard {}, owner {}, service {}, team {}, {} tasks",
      job.spec.id.value(), job.shard, context_.self().value(),
      job.spec.service.value(), job.spec.team.value(), job.tasks.size()));
  const auto millis = [&](Instant at) {
    return static_cast<double>((at - job.accepted_at).count()) / 1000.0;
  };
  for (size_t i = 0; i < std::min(job.tasks.size(), kMaxExplainedTasks); ++i) {
    const Task& task = job.tasks[i];
    std::string line = fmt::format("task {}: {}", i, ToString(task.phase));
    if (task.attempt > 0) {
      line += fmt::format(", offer {} to {} at +{:.1f} ms", task.attempt,
                          task.sidecar.value(), millis(task.offered_at));
    }
    if (task.phase == TaskPhase::kEnded) {
      line +=
          fmt::format(", {} at +{:.1f} ms", wire::ToString(task.result.outcome),
                      millis(task.ended_at));
    }
    lines.push_back(std::move(line));
  }
  if (job.stage == JobStage::kEnded) {
    lines.push_back(fmt::format("answered {}, reason {}",
                                wire::ToString(job.answer.outcome),
                                wire::ToString(job.answer.reason)));
  }
  return lines;
}

}  // namespace filbertwick::core
