#include <fmt/format.h>

#include "filbertwick/core/direct/direct_entry_impl.h"
#include "filbertwick/core/direct/names.h"

namespace filbertwick::core::direct {
namespace {

/// Longest delay until received ends are acknowledged; shorter than
/// DirectSidecarSettings::resend_interval, so that the sidecar need not resend
/// them.
constexpr Duration kAckDelay = std::chrono::milliseconds(12);

}  // namespace

void DirectEntry::Impl::OnMessage(Instant now, const SidecarMessage& message) {
  const auto it = sidecars_.find(message.from.name);
  if (it == sidecars_.end() || message.to_incarnation != self_.incarnation) {
    return;
  }
  SidecarView& view = it->second;
  upstreams_.Touch(view);
  // Incarnations are read from wall clocks, which may jump back, so their order
  // does not tell which one is later. A later incarnation shows itself by
  // replying to a message that was sent after the present one was last heard;
  // any other message is a delayed one of an earlier incarnation.
  if (message.from.incarnation != view.incarnation &&
      FromMicros(message.echoed_sent_at) <= view.last_heard) {
    return;
  }
  if (message.from.incarnation != view.incarnation) {
    BeginIncarnation(now, view, message.from.incarnation);
  }
  for (const RunEnd& end : message.ends) {
    if (end.number > view.acknowledged_end) {
      view.acknowledged_end = end.number;
      view.ack_due = std::min(view.ack_due, now + kAckDelay);
      HandleEnd(now, view, end);
    }
  }
  for (const OfferReply& reply : message.replies) {
    HandleReply(now, view, reply);
  }
  HandleCrashNotice(now, view, message.crash);
  const Instant echo = FromMicros(message.echoed_sent_at);
  if (view.unanswered.Oldest() <= echo) {
    overload_.OnRoundTrip(now, echo, view.name.value());
  }
  view.RecordEcho(now, echo);
  if (message.clock < view.clock) {
    return;
  }
  if (view.accepts_tasks != message.accepts_tasks) {
    effects_.push_back(
        LogLine("sidecar_changed")
            .Add("sidecar", view.name.value())
            .Add("open", static_cast<int64_t>(message.accepts_tasks))
            .Add("zone", message.upstream.zone.value()));
  }
  view.clock = message.clock;
  view.last_heard = now;
  view.accepts_tasks = message.accepts_tasks;
  if (view.upstream != message.upstream) {
    view.upstream = message.upstream;
    upstreams_.OnProfileChanged();
  }
  view.free = message.free;
  view.send_due |= message.granted;
  for (const OpenOffer& open : view.offers | std::views::values) {
    for (const OfferedTask& task : open.offer.tasks) {
      if (!open.ended.contains(task.run)) {
        view.free -= task.needs;
      }
    }
  }
  if (view.accepts_tasks) {
    for (const TaskRun& run : std::exchange(view.unconfirmed_runs, {})) {
      HandleEnd(now, view, {0, run, EndKind::kLost, 0});
    }
  }
  // Replies may have made room for offers that wait to be sent.
  view.ForEachSendableOffer(
      [&](const OpenOffer& open) { view.send_due |= open.sends == 0; });
  upstreams_.Touch(view);
  placement_due_ = true;
}

void DirectEntry::Impl::HandleCrashNotice(Instant now,
                                          SidecarView& view,
                                          const CrashNotice& crash) {
  if (crash.number <= view.last_crash) {
    return;
  }
  view.last_crash = crash.number;
  const Instant at = now - Duration(crash.age_micros);
  const auto suspects = static_cast<uint32_t>(crash.suspects.size());
  for (const CrashSuspect& suspect : crash.suspects) {
    if (containment_.OnCrash(at, suspect.task, suspect.queue, suspects)) {
      effects_.push_back(LogLine("queue_confined")
                             .Add("queue", suspect.queue)
                             .Add("task", suspect.task)
                             .Add("sidecar", view.name.value()));
      placement_due_ = true;
      waiting_changed_ = true;
    }
  }
}

void DirectEntry::Impl::BeginIncarnation(Instant now,
                                         SidecarView& view,
                                         uint64_t incarnation) {
  if (view.incarnation != 0) {
    effects_.push_back(
        LogLine("sidecar_restarted")
            .Add("sidecar", view.name.value())
            .Add("runs", static_cast<int64_t>(view.runs.size())));
  }
  view.unconfirmed_runs = view.TakeUnfinishedRuns();
  // The new incarnation has received none of the stops.
  for (policy::ResendTimer& resend : view.stops | std::views::values) {
    resend = policy::ResendTimer(now);
  }
  view.incarnation = incarnation;
  view.found_at = now;
  view.clock = 0;
  view.accepts_tasks = false;
  view.acknowledged_end = 0;
  view.last_crash = 0;
  view.paced_until = Instant::min();
  view.send_due = true;
  view.wants_reply = true;
}

void DirectEntry::Impl::HandleReply(Instant now,
                                    SidecarView& view,
                                    const OfferReply& reply) {
  const auto it = view.offers.find(reply.id);
  if (it == view.offers.end()) {
    return;
  }
  const OpenOffer open = std::move(it->second);
  view.offers.erase(it);
  for (size_t n = 0; n < open.offer.tasks.size(); ++n) {
    const TaskRun& run = open.offer.tasks[n].run;
    if (open.ended.contains(run)) {
      continue;
    }
    const Refusal refusal =
        n < reply.refusals.size() ? reply.refusals[n] : Refusal::kNotAccepting;
    if (refusal != Refusal::kNone) {
      RemoveStop(view, run);
      HandleRefusal(now, view, run, refusal);
      continue;
    }
    view.runs.insert(run);
    if (const auto ref = jobs_.FindRun(run)) {
      DirectJob& job = *jobs_.Find(ref->job);
      if (!job.started) {
        job.started = true;
        retry_after_.OnJobPlaced(now);
      }
    }
  }
}

bool DirectEntry::Impl::RemoveStop(SidecarView& view, const TaskRun& run) {
  if (view.stops.erase(run) == 0) {
    return false;
  }
  stopping_tasks_.erase(stopping_tasks_.find(run.task));
  waiting_changed_ = true;
  return true;
}

void DirectEntry::Impl::HandleRefusal(Instant now,
                                      SidecarView& view,
                                      const TaskRun& run,
                                      Refusal refusal) {
  view.suspect_runs.erase(run);
  const auto ref = jobs_.FindRun(run);
  if (!ref) {
    return;
  }
  DirectJob& job = *jobs_.Find(ref->job);
  JobTask& task = job.tasks[ref->task];
  if (refusal == Refusal::kStale || refusal == Refusal::kNoCapacity) {
    // This is no reason to avoid the sidecar for the task's next run: the
    // message with the reply has also brought its present capacity and clock.
    task.sidecar = InstanceName();
  }
  job.history.Add(now - job.arrived,
                  fmt::format("{} refused by {}: {}", run.task,
                              view.name.value(), ToString(refusal)));
  MakeReady(job, task);
}

void DirectEntry::Impl::MakeReady(DirectJob& job, JobTask& task) {
  jobs_.Unbind({task.name, task.run});
  task.phase = TaskPhase::kReady;
  Enqueue(job);
  placement_due_ = true;
}

void DirectEntry::Impl::HandleEnd(Instant now,
                                  SidecarView& view,
                                  const RunEnd& end) {
  view.runs.erase(end.run);
  view.suspect_runs.erase(end.run);
  placement_due_ |= RemoveStop(view, end.run);
  // The end may arrive before the reply to the offer. Once all its runs have
  // ended, no reply is needed.
  for (auto it = view.offers.begin(); it != view.offers.end();) {
    OpenOffer& open = it->second;
    if (std::ranges::any_of(open.offer.tasks, [&](const OfferedTask& task) {
          return task.run == end.run;
        })) {
      open.ended.insert(end.run);
    }
    const bool all_ended = open.ended.size() == open.offer.tasks.size();
    it = all_ended ? view.offers.erase(it) : std::next(it);
  }
  const auto ref = jobs_.FindRun(end.run);
  if (!ref) {
    return;
  }
  DirectJob& job = *jobs_.Find(ref->job);
  JobTask& task = job.tasks[ref->task];
  // A run that ended with its session is no fault of the upstream.
  const bool is_own_fault =
      (end.kind == EndKind::kStopped || end.kind == EndKind::kLost) &&
      MayHaveLostSessions();
  if (!is_own_fault) {
    RecordRunEnd(now, end, job.spec.steps[task.step].estimate, view);
  }
  HandleTaskEnd(now, view, job, task, end);
}

void DirectEntry::Impl::HandleTaskEnd(Instant now,
                                      SidecarView& view,
                                      DirectJob& job,
                                      JobTask& task,
                                      const RunEnd& end) {
  job.started |= end.kind != EndKind::kNotStarted;
  if (end.kind == EndKind::kDone) {
    jobs_.Unbind(end.run);
    DirectJobTable::Complete(job, task);
    if (job.tasks_left == 0) {
      Answer(now, job, JobOutcome::kCompleted, "done");
    } else if (std::ranges::any_of(job.tasks, [](const JobTask& other) {
                 return other.phase == TaskPhase::kReady;
               })) {
      Enqueue(job);
      placement_due_ = true;
    }
    return;
  }
  job.history.Add(
      now - job.arrived,
      fmt::format("{} {} at {} after {} us", end.run.task, ToString(end.kind),
                  view.name.value(), end.duration_micros));
  effects_.push_back(LogLine("run_ended_badly")
                         .Add("job", job.spec.id)
                         .Add("task", end.run.task)
                         .Add("sidecar", view.name.value())
                         .Add("kind", ToString(end.kind))
                         .Add("took_us", end.duration_micros));
  if (end.kind == EndKind::kFailed &&
      ++task.failures >= job.spec.max_attempts) {
    task.phase = TaskPhase::kDone;
    Answer(now, job, JobOutcome::kFailed, "attempts_used");
    return;
  }
  if (end.kind == EndKind::kCrashed) {
    task.crashes.OnCrash(end.crash_suspects);
    if (task.crashes.IsExhausted()) {
      task.phase = TaskPhase::kDone;
      Answer(now, job, JobOutcome::kFailed, "upstreams_crashed");
      return;
    }
  }
  MakeReady(job, task);
}

void DirectEntry::Impl::ExpireSidecar(Instant now, SidecarView& view) {
  effects_.push_back(LogLine("sidecar_given_up")
                         .Add("sidecar", view.name.value())
                         .Add("silent_us", (now - view.last_heard).count()));
  // By now the runs there were stopped or their lease has expired. The newest
  // clock reading that this entry can have echoed arrived here at `last_heard`,
  // so the sidecar timed the session out at most session_timeout after that,
  // and SidecarTimeout() also covers the stop and the lease.
  for (const TaskRun& run : view.TakeUnfinishedRuns()) {
    HandleEnd(now, view, {0, run, EndKind::kLost, 0});
  }
  upstreams_.Touch(view);
}

}  // namespace filbertwick::core::direct
