#include "filbertwick/core/direct/direct_entry_impl.h"

namespace filbertwick::core::direct {
namespace {

/// Run numbers start from the tenths of a second since 2024, so that a job that
/// is resent to another entry gets higher ones without coordination between the
/// entries.
constexpr int64_t kRunNumberEpochMillis = 1'704'067'200'000;
constexpr int64_t kRunNumberUnitMillis = 100;
/// A sidecar that was not heard for longer than this is silent. An idle silent
/// sidecar gets one heartbeat per interval of this length.
constexpr Duration kSilentHeartbeatInterval = std::chrono::seconds(1);
/// Shortest interval between two heartbeats to a sidecar that was never heard.
/// When all instances restart together, the first message often arrives before
/// the sidecar listens.
constexpr Duration kDiscoveryHeartbeatInterval = std::chrono::milliseconds(100);
/// Heartbeats per second to sidecars that were never heard, over all of them;
/// with more sidecars the interval grows.
constexpr uint32_t kDiscoveryHeartbeatsPerSecond = 600;

/// How often a job waits for an entry that is late: to be read, for the answer
/// to an offer or a report of free capacity, and for the end of its last task.
constexpr int kDelaysOfJob = 3;

/// Returns the first run number of a job that arrives at `wall`.
uint64_t FirstRunNumber(WallTime wall) {
  const int64_t units =
      (wall.unix_millis - kRunNumberEpochMillis) / kRunNumberUnitMillis;
  return static_cast<uint64_t>(std::max<int64_t>(units, 1));
}

Duration Scale(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

void DirectEntry::Impl::BeginStep(Instant now) {
  if (now > requested_wakeup_) {
    overload_.OnTimer(now, requested_wakeup_);
  }
  own_delay_ = overload_.OwnDelay(now);
  kept_share_.OnPressure(now,
                         std::max(host_pressure_, overload_.Pressure(now)));
  last_step_ = now;
}

void DirectEntry::Impl::RecordRequestedWakeup(Instant due) {
  // A wake-up can't be late before it was requested. One that is overdue
  // already stays so until the work is done.
  const bool is_overdue = requested_wakeup_ <= last_step_;
  requested_wakeup_ =
      std::max(due, is_overdue ? requested_wakeup_ : last_step_);
}

bool DirectEntry::Impl::MayHaveLostSessions() const {
  // A sidecar's clock reading is read late, is echoed with the next message,
  // and that message is sent late.
  return settings_.heartbeat_interval + 2 * own_delay_ >=
         settings_.times.session_timeout;
}

bool DirectEntry::Impl::IsTooLateFor(Instant now,
                                     const JobRequest& spec) const {
  // An offer whose clock reading was read late, and which is sent late, is
  // refused as stale.
  const Duration delay = overload_.PresentDelay(now);
  return overload_.IsOverloaded(now) &&
         (spec.expected + kDelaysOfJob * delay > spec.target ||
          2 * delay > settings_.times.max_offer_age);
}

void DirectEntry::Impl::OnJob(Instant now, WallTime wall, JobRequest spec) {
  if (handover_.Attach(spec.id, spec.request)) {
    return;
  }
  if (DirectJob* duplicate = jobs_.FindById(spec.id)) {
    // The caller has lost its connection without this entry noticing, and has
    // resent the job. It is not executed again; one answer goes to both
    // requests.
    duplicate->duplicate_requests.push_back(spec.request);
    return;
  }
  if (TryHandOver(now, wall, spec)) {
    return;
  }
  DirectJob job;
  job.number = ++last_job_number_;
  job.arrived = now;
  job.deadline = now + spec.time_limit;
  job.place_by = now + MaxWait(spec);
  job.next_run_number =
      std::max(FirstRunNumberOf(wall, spec.id), spec.first_run);
  for (size_t step = 0; step < spec.steps.size(); ++step) {
    for (size_t index = 0; index < spec.steps[step].count; ++index) {
      JobTask task;
      task.step = step;
      task.name = name_task_(spec.id, step, index);
      // The job may have run at another entry before.
      task.crashes = containment_.BudgetOf(task.name);
      job.tasks.push_back(std::move(task));
    }
  }
  job.spec = std::move(spec);
  DirectJob& added = jobs_.Add(std::move(job));
  deadlines_.emplace(added.deadline, added.number);
  if (std::ranges::any_of(added.tasks, [](const JobTask& task) {
        return task.crashes.IsExhausted();
      })) {
    Answer(now, added, JobOutcome::kFailed, "upstreams_crashed");
    return;
  }
  if (!FitsIntoOffers(added.spec)) {
    Refuse(now, added, "task_too_large");
    return;
  }
  if (!CanEverFit(now, added)) {
    Refuse(now, added, "no_upstream_fits");
    return;
  }
  if (added.place_by <= now) {
    Refuse(now, added, "time_limit_too_short");
    return;
  }
  if (load_sharing_ && IsTooLateFor(now, added.spec)) {
    Refuse(now, added, "entry_overloaded");
    return;
  }
  // Where no job waits for its service, the job may not have to wait.
  if (wait_queue_.size() >= settings_.max_waiting_jobs &&
      IsWaitedFor(added.spec.service)) {
    const auto last = wait_queue_.EvictForNewcomer(QueueEntryFor(added));
    Refuse(now, last ? *jobs_.Find(*last) : added, "line_full");
    if (!last) {
      return;
    }
  }
  Enqueue(added);
  placement_due_ = true;
}

bool DirectEntry::Impl::IsWaitedFor(std::string_view service) {
  return std::ranges::any_of(
      wait_queue_.InPlacementOrder(), [&](uint64_t number) {
        return jobs_.Find(number)->spec.service == service;
      });
}

Duration DirectEntry::Impl::MaxWait(const JobRequest& spec) const {
  // A job that waits for more than target - expected can't meet its target
  // latency any more; the capacity serves other jobs better.
  const Duration min_wait = Scale(spec.target, settings_.min_wait_fraction);
  const Duration min_run_time =
      Scale(spec.expected, settings_.min_run_time_fraction);
  return std::min(spec.time_limit - min_run_time,
                  std::max(spec.target - spec.expected, min_wait));
}

bool DirectEntry::Impl::CanEverFit(Instant now, const DirectJob& job) const {
  const auto views = sidecars_ | std::views::values;
  const auto is_known = [](const SidecarView& view) {
    return view.incarnation != 0;
  };
  // The first condition usually holds for one of the first views.
  return std::ranges::all_of(
             job.spec.steps,
             [&](const JobStep& step) {
               return std::ranges::any_of(views, [&](const SidecarView& view) {
                 return view.upstream.service == job.spec.service &&
                        view.upstream.capacity.Covers(step.needs) &&
                        HasLabel(view.upstream, step.required_label);
               });
             }) ||
         std::ranges::none_of(views, is_known) ||
         std::ranges::any_of(views, [&](const SidecarView& it) {
           return it.MayFindUpstream(now);
         });
}

bool DirectEntry::Impl::MayHaveRun(const DirectJob& job) {
  return job.started || std::ranges::any_of(job.tasks, [](const JobTask& task) {
           return task.phase == TaskPhase::kPlaced;
         });
}

policy::WaitingJob DirectEntry::Impl::QueueEntryFor(
    const DirectJob& job) const {
  return {job.number, job.spec.priority, MayHaveRun(job), job.place_by};
}

void DirectEntry::Impl::Enqueue(const DirectJob& job) {
  wait_queue_.Add(QueueEntryFor(job));
  waiting_changed_ = true;
  NoteWaitingNeeds(job);
}

uint64_t DirectEntry::Impl::FirstRunNumberOf(WallTime wall,
                                             std::string_view job) const {
  return recent_run_numbers_.AtLeast(job, FirstRunNumber(wall));
}

void DirectEntry::Impl::OnCallerGone(Instant now, uint64_t request) {
  if (!RemoveRelayRequest(request)) {
    RemoveRequest(now, request);
  }
}

DirectEntry::Impl::RequestRemoval DirectEntry::Impl::RemoveRequest(
    Instant now,
    uint64_t request) {
  RequestRemoval removal;
  DirectJob* job = jobs_.FindByRequest(request);
  if (job == nullptr) {
    for (DirectJob& other : jobs_.all() | std::views::values) {
      std::erase(other.duplicate_requests, request);
    }
    return removal;
  }
  if (!job->duplicate_requests.empty()) {
    // The job continues for the other requests, and ends when the last of them
    // goes.
    jobs_.ChangeRequest(*job, job->duplicate_requests.front());
    job->duplicate_requests.erase(job->duplicate_requests.begin());
    return removal;
  }
  LogHistory(*job);
  effects_.emplace_back(LogLine("caller_gone")
                            .Add("job", job->spec.id)
                            .Add("age_us", (now - job->arrived).count())
                            .Add("tasks_left", job->tasks_left));
  removal = {MayHaveRun(*job) ? HandoverEnd::kDropped : HandoverEnd::kNotRun,
             job->spec.id, job->next_run_number};
  StopAndRemove(now, *job);
  return removal;
}

bool DirectEntry::Impl::Cancel(Instant now, std::string_view id) {
  if (CancelRelay(now, id)) {
    return true;
  }
  DirectJob* job = jobs_.FindById(id);
  if (job == nullptr) {
    return false;
  }
  Answer(now, *job,
         MayHaveRun(*job) ? JobOutcome::kFailed : JobOutcome::kRefused,
         "cancelled");
  return true;
}

void DirectEntry::Impl::Answer(Instant now,
                               DirectJob& job,
                               JobOutcome outcome,
                               std::string_view cause) {
  AnswerJobEffect answer;
  answer.outcome = outcome;
  answer.cause = cause;
  answer.age = now - job.arrived + job.spec.age;
  if (outcome == JobOutcome::kRefused) {
    answer.retry_after = retry_after_.Refuse(now, job.spec.id);
  }
  LogAnswer(now, job, answer);
  std::vector<uint64_t> requests = job.duplicate_requests;
  requests.insert(requests.begin(), job.spec.request);
  SendAnswers(now, requests, answer, job.next_run_number);
  StopAndRemove(now, job);
}

void DirectEntry::Impl::Refuse(Instant now,
                               DirectJob& job,
                               std::string_view cause) {
  assert(!MayHaveRun(job));
  Answer(now, job, JobOutcome::kRefused, cause);
}

void DirectEntry::Impl::StopAndRemove(Instant now, DirectJob& job) {
  std::set<SidecarView*> views;
  for (const JobTask& task : job.tasks) {
    if (task.phase == TaskPhase::kPlaced) {
      views.insert(&sidecars_.at(task.sidecar));
    }
  }
  std::set<TaskRun> unsent;
  for (SidecarView* view : views) {
    unsent.merge(RemoveUnsentOffers(*view, job.number));
    for (OpenOffer& open : view->offers | std::views::values) {
      open.is_withdrawn |= open.job == job.number;
    }
  }
  for (const JobTask& task : job.tasks) {
    const TaskRun run = {task.name, task.run};
    if (task.phase == TaskPhase::kPlaced && !unsent.contains(run)) {
      StopRun(now, sidecars_.at(task.sidecar), run);
    }
  }
  recent_run_numbers_.Record(now, job.spec.id, job.next_run_number);
  wait_queue_.Remove(job.number);
  waiting_changed_ = true;
  deadlines_.erase({job.deadline, job.number});
  jobs_.Remove(job.number);
}

std::set<TaskRun> DirectEntry::Impl::RemoveUnsentOffers(SidecarView& view,
                                                        uint64_t job) {
  std::set<TaskRun> runs;
  std::erase_if(view.offers, [&](const auto& item) {
    const OpenOffer& open = item.second;
    if (open.job != job || open.sends > 0) {
      return false;
    }
    for (const OfferedTask& task : open.offer.tasks) {
      runs.insert(task.run);
      view.suspect_runs.erase(task.run);
      view.free += task.needs;
    }
    return true;
  });
  if (!runs.empty()) {
    upstreams_.Touch(view);
    placement_due_ = true;
  }
  return runs;
}

void DirectEntry::Impl::StopRun(Instant now,
                                SidecarView& view,
                                const TaskRun& run) {
  upstreams_.Touch(view);
  if (view.stops.emplace(run, policy::ResendTimer(now)).second) {
    stopping_tasks_.insert(run.task);
  }
  view.send_due = true;
}

void DirectEntry::Impl::ExpireJobs(Instant now) {
  // First of all, also after a pause of the process: a job whose origin may be
  // dead must not get another run.
  HandleHandoverEvents(now, {}, handover_.TakeExpiredLeases(now));
  for (const uint64_t number : wait_queue_.TakeExpired(now)) {
    DirectJob& job = *jobs_.Find(number);
    // From now on, slow upstreams count as soon enough for the job. They are
    // left to jobs that no other upstream had room for.
    waiting_changed_ = true;
    upstreams_.BeginPass();
    if (PlaceReadyTasks(now, job, false)) {
      continue;
    }
    if (MayHaveRun(job)) {
      Enqueue(job);
    } else {
      Refuse(now, job, "no_room_in_time");
    }
  }
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    DirectJob& job = *jobs_.Find(deadlines_.begin()->second);
    Answer(now, job,
           MayHaveRun(job) ? JobOutcome::kTimedOut : JobOutcome::kRefused,
           "time_limit");
  }
}

void DirectEntry::Impl::AddSidecars(Instant now,
                                    std::span<const InstanceName> names) {
  bool any_added = false;
  for (const InstanceName& name : names) {
    const auto [it, added] = sidecars_.try_emplace(name);
    SidecarView& view = it->second;
    if (added) {
      view.name = name;
      view.found_at = now;
      any_added = true;
    }
    if (added || now - view.last_heard > kSilentHeartbeatInterval) {
      view.heartbeat_due = now;
    }
  }
  if (any_added) {
    upstreams_.Rebuild(sidecars_);
  }
}

Duration DirectEntry::Impl::HeartbeatInterval(Instant now,
                                              const SidecarView& view) const {
  if (view.incarnation == 0 && now - view.found_at < kUpstreamDiscoveryTime) {
    const Duration interval = std::chrono::duration_cast<Duration>(
        std::chrono::seconds(1) * sidecars_.size() /
        kDiscoveryHeartbeatsPerSecond);
    return std::clamp(interval, kDiscoveryHeartbeatInterval,
                      kSilentHeartbeatInterval);
  }
  if (now - view.last_heard > kSilentHeartbeatInterval) {
    return view.IsBusy() ? settings_.heartbeat_interval
                         : kSilentHeartbeatInterval;
  }
  const Duration idle = std::chrono::duration_cast<Duration>(
      std::chrono::seconds(1) * sidecars_.size() /
      settings_.idle_heartbeats_per_second);
  return view.IsBusy() || !view.claimed.empty()
             ? settings_.heartbeat_interval
             : std::max(settings_.heartbeat_interval, idle);
}

void DirectEntry::Impl::OnWakeup(Instant now) {
  ExpireJobs(now);
  for (SidecarView& view : sidecars_ | std::views::values) {
    if (view.IsBusy() && now - view.last_heard > SidecarTimeout()) {
      ExpireSidecar(now, view);
    }
  }
  for (SidecarView& view : sidecars_ | std::views::values) {
    if (now >= view.heartbeat_due) {
      view.send_due = true;
      view.wants_reply = true;
    }
    view.ForEachResend([&](const policy::ResendTimer& resend) {
      view.send_due |= now >= view.DueTime(resend);
    });
    view.send_due |= now >= view.ack_due;
  }
  // MayPlaceMore() tells whether the time has changed anything.
  placement_due_ |= !wait_queue_.empty();
}

Instant DirectEntry::Impl::NextWakeup() const {
  Instant next = std::min(
      {wait_queue_.NextExpiry(), NextClaims(), handover_.NextWakeup()});
  const auto note_due = [&next](Instant due) { next = std::min(next, due); };
  if (!deadlines_.empty()) {
    note_due(deadlines_.begin()->first);
  }
  for (const SidecarView& view : sidecars_ | std::views::values) {
    note_due(view.heartbeat_due);
    note_due(view.ack_due);
    if (view.IsBusy()) {
      note_due(view.last_heard + SidecarTimeout() + Duration(1));
    }
    view.ForEachResend([&](const policy::ResendTimer& resend) {
      note_due(view.DueTime(resend));
    });
  }
  return next;
}

void DirectEntry::Impl::FlushEffects(Instant now, EntryEffects& effects) {
  ExpireJobs(now);
  HandleHandoverEvents(now, {}, handover_.OnWakeup(now));
  if (placement_due_) {
    PlaceWaitingJobs(now);
  }
  HandOverWaitingJobs(now);
  AnnounceWaitingJobs(now);
  overload_.OnWaitingJobs(wait_queue_.size(), settings_.max_waiting_jobs);
  for (SidecarView* view : upstreams_.TakeDueToSend()) {
    SendMessages(now, *view);
  }
  SendHandoverMessages(now);
  std::ranges::move(effects_, std::back_inserter(effects));
  effects_.clear();
}

size_t DirectEntry::Impl::CountWaitingJobs(std::string_view service) const {
  return static_cast<size_t>(std::ranges::count_if(
      jobs_.all() | std::views::values, [&](const DirectJob& job) {
        return !job.started && job.spec.service == service;
      }));
}

DirectEntryStatus DirectEntry::Impl::Status(Instant now) const {
  DirectEntryStatus status;
  status.jobs = jobs_.all().size();
  status.waiting_jobs = wait_queue_.size();
  status.usable_sidecars = static_cast<size_t>(std::ranges::count_if(
      sidecars_ | std::views::values,
      [&](const SidecarView& view) { return IsUsable(now, view); }));
  status.handed_in_jobs = handover_.CountOpen(now);
  return status;
}

DirectEntry::DirectEntry(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

DirectEntry::~DirectEntry() = default;

std::unique_ptr<DirectEntry> DirectEntry::Create(
    Peer self,
    const DirectEntrySettings& settings,
    TaskNamer name_task) {
  return std::unique_ptr<DirectEntry>(new DirectEntry(
      std::make_unique<Impl>(std::move(self), settings, std::move(name_task))));
}

void DirectEntry::OnJob(Instant now,
                        WallTime wall,
                        JobRequest job,
                        EntryEffects& effects) {
  impl_->BeginStep(now);
  impl_->OnJob(now, wall, std::move(job));
  impl_->FlushEffects(now, effects);
}

void DirectEntry::OnCallerGone(Instant now,
                               uint64_t request,
                               EntryEffects& effects) {
  impl_->BeginStep(now);
  impl_->OnCallerGone(now, request);
  impl_->FlushEffects(now, effects);
}

bool DirectEntry::Cancel(Instant now,
                         std::string_view id,
                         EntryEffects& effects) {
  impl_->BeginStep(now);
  const bool found = impl_->Cancel(now, id);
  impl_->FlushEffects(now, effects);
  return found;
}

void DirectEntry::OnMessage(Instant now,
                            const SidecarMessage& message,
                            EntryEffects& effects) {
  OnMessages(now, {&message, 1}, effects);
}

void DirectEntry::OnMessages(Instant now,
                             std::span<const SidecarMessage> messages,
                             EntryEffects& effects,
                             bool more_left) {
  impl_->BeginStep(now);
  impl_->OnMessagesRead(now, messages.size(), more_left);
  std::ranges::for_each(messages, [&](const SidecarMessage& message) {
    impl_->OnMessage(now, message);
  });
  impl_->FlushEffects(now, effects);
}

void DirectEntry::OnNotSent(Instant now,
                            const InstanceName& to,
                            const EntryMessage& message) {
  impl_->OnNotSent(now, to, message);
}

void DirectEntry::OnNotSent(Instant now,
                            const InstanceName& to,
                            const HandoverMessage& message) {
  impl_->OnNotSent(now, to, message);
}

void DirectEntry::OnHandoverMessages(Instant now,
                                     WallTime wall,
                                     std::span<const HandoverMessage> messages,
                                     EntryEffects& effects) {
  impl_->BeginStep(now);
  std::ranges::for_each(messages, [&](const HandoverMessage& message) {
    impl_->OnHandoverMessage(now, wall, message);
  });
  impl_->FlushEffects(now, effects);
}

void DirectEntry::OnEntryLoad(Instant now,
                              const Peer& entry,
                              const ZoneName& zone,
                              const EntryLoad& load) {
  impl_->OnEntryLoad(now, entry, zone, load);
}

EntryLoad DirectEntry::Load(Instant now) const {
  return impl_->Load(now);
}

void DirectEntry::SetPressure(Instant now, double pressure) {
  impl_->SetPressure(now, pressure);
}

void DirectEntry::BeginStop() {
  impl_->BeginStop();
}

void DirectEntry::AddSidecars(Instant now,
                              std::span<const InstanceName> names) {
  impl_->AddSidecars(now, names);
}

void DirectEntry::SetZonesOut(std::set<ZoneName> zones) {
  impl_->SetZonesOut(std::move(zones));
}

void DirectEntry::SetControlPosition(const ControlPosition& position) {
  impl_->SetControlPosition(position);
}

void DirectEntry::OnWakeup(Instant now, EntryEffects& effects) {
  impl_->BeginStep(now);
  impl_->OnWakeup(now);
  impl_->FlushEffects(now, effects);
}

Instant DirectEntry::NextWakeup() const {
  const Instant due = impl_->NextWakeup();
  impl_->RecordRequestedWakeup(due);
  return due;
}

size_t DirectEntry::CountWaitingJobs(std::string_view service) const {
  return impl_->CountWaitingJobs(service);
}

void DirectEntry::SetLoadSharing(bool on) {
  impl_->SetLoadSharing(on);
}

const policy::OverloadDetector& DirectEntry::overload() const {
  return impl_->overload();
}

uint64_t DirectEntry::CountExaminedCandidates() const {
  return impl_->examined_candidates();
}

DirectEntryStatus DirectEntry::Status(Instant now) const {
  return impl_->Status(now);
}

}  // namespace filbertwick::core::direct
