#include "filbertwick/core/policy/service_scheduler.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace filbertwick::core::policy {
namespace {

/// Run time assumed for a service without measured run times.
constexpr Duration kInitialRunTime = std::chrono::milliseconds(300);
/// Weight of the service's mean run time in the estimate for a job, as a number
/// of measured tasks.
constexpr int64_t kPriorTasks = 2;
/// Minimum number of samples for using an upstream's own run time.
constexpr uint64_t kMinUpstreamSamples = 10;
/// Bounds of the time without placements on an upstream that refused a task;
/// doubles with each consecutive refusal.
constexpr Duration kMinRefusalBackoff = std::chrono::milliseconds(5);
constexpr Duration kMaxRefusalBackoff = std::chrono::milliseconds(500);
/// A task that is stopped after running longer than this multiple of the
/// service's 99.9th percentile counts as a failure of its upstream.
constexpr int kStallFactor = 2;
/// Fraction of the ejection threshold above which an upstream gets only one
/// task at a time.
constexpr double kStrongSuspicion = 0.5;
/// Slow start does not limit the upstream.
constexpr uint32_t kNoSlowStartLimit = std::numeric_limits<uint32_t>::max();

}  // namespace

ServiceScheduler::ServiceScheduler(const PolicySettings& settings,
                                   uint64_t seed)
    : settings_(settings),
      queue_(settings.queue),
      index_(settings.placement, seed),
      run_time_(kInitialRunTime),
      outlier_detector_(settings.ejection),
      retries_(settings.retry) {}

void ServiceScheduler::SetSpec(const bundle::Service* spec) {
  in_bundle_ = spec != nullptr;
  if (in_bundle_) {
    spec_ = *spec;
  }
  reservations_stale_ = true;
  RefreshAll();
}

void ServiceScheduler::SetWeight(TeamId team, uint32_t weight) {
  queue_.SetWeight(team, weight);
}

void ServiceScheduler::SetEntrySharing(uint32_t entry_count,
                                       uint32_t entry_index) {
  settings_.sharing_entries = std::max(entry_count, 1U);
  settings_.entry_index = entry_index;
  reservations_stale_ = true;
}

void ServiceScheduler::SetZoneOut(const ZoneName& zone, bool out) {
  if (out) {
    zones_out_.insert(zone);
  } else if (zones_out_.erase(zone) > 0) {
    for (Upstream& upstream : upstreams_) {
      if (upstream.info.zone == zone) {
        ResetSlowStart(upstream);
      }
    }
  }
  RefreshAll();
}

void ServiceScheduler::UpsertUpstream(const UpstreamInfo& info) {
  const UpstreamId id = FindOrAddId(info.name);
  Upstream& upstream = upstreams_[id];
  if (!upstream.registered) {
    upstream.run_time = RunTimeEstimator(Duration(0));
    ResetSlowStart(upstream);
    reservations_stale_ = true;
  }
  upstream.info = info;
  upstream.registered = true;
  outlier_detector_.Add(id);
  Refresh(id);
}

void ServiceScheduler::RemoveUpstream(const InstanceName& name) {
  const auto it = upstream_ids_.find(name);
  if (it == upstream_ids_.end()) {
    return;
  }
  const UpstreamId id = it->second;
  Upstream& upstream = upstreams_[id];
  upstream.registered = false;
  upstream.load.reset();
  upstream.other_tasks = 0;
  reservations_stale_ = true;
  outlier_detector_.Remove(id);
  Refresh(id);
  ReleaseIfUnused(id);
}

void ServiceScheduler::UpdateLoad(const InstanceName& name,
                                  const wire::Load& load,
                                  Instant now) {
  const auto it = upstream_ids_.find(name);
  if (it == upstream_ids_.end()) {
    return;
  }
  Upstream& upstream = upstreams_[it->second];
  upstream.load = load;
  // The report includes a task of this entry only if the task arrived before
  // the report left, so it must have been placed at least a round trip ago.
  const Instant last_included = now - 2 * upstream.info.distance;
  const auto included = static_cast<uint32_t>(
      std::distance(upstream.unstarted.begin(),
                    upstream.unstarted.upper_bound(last_included)));
  const uint32_t own = std::min(included, load.queued) + upstream.started;
  const uint32_t total = load.running + load.queued;
  upstream.other_tasks = total - std::min(total, own);
  Refresh(it->second);
}

void ServiceScheduler::AddJob(JobHandle handle,
                              TeamId team,
                              bundle::DeadlineClass deadline_class,
                              uint32_t tasks,
                              Instant now) {
  const auto [it, added] = jobs_.try_emplace(handle);
  assert(added);
  it->second.unfinished = tasks;
  it->second.tasks.resize(tasks);
  queue_.AddJob(handle, {.team = team,
                         .deadline_class = deadline_class,
                         .task_run_time = run_time_.mean(),
                         .unfinished = tasks,
                         .arrival = now});
}

void ServiceScheduler::AddTask(const TaskRef& ref) {
  Job& job = jobs_.at(ref.job);
  Task& task = job.tasks.at(ref.index);
  if (task.phase == Phase::kWaiting) {
    return;
  }
  assert(task.phase == Phase::kIdle || task.phase == Phase::kEnded);
  if (task.phase == Phase::kEnded) {
    ++job.unfinished;
    queue_.Update(ref.job, job.unfinished, JobRunTime(job));
  }
  task.phase = Phase::kWaiting;
  // A task that was placed before goes before the job's other tasks.
  queue_.AddTask(ref, task.placed != Instant());
}

void ServiceScheduler::RemoveTask(const TaskRef& ref) {
  Task* task = FindTask(ref);
  if (task == nullptr || task->phase != Phase::kWaiting) {
    return;
  }
  task->phase = Phase::kIdle;
  queue_.RemoveTask(ref);
}

void ServiceScheduler::RemoveJob(JobHandle handle) {
  const auto it = jobs_.find(handle);
  if (it == jobs_.end()) {
    return;
  }
  // No OnEnded() will follow for the placed tasks, so free their slots here.
  for (uint32_t i = 0; i < it->second.tasks.size(); ++i) {
    const Task& task = it->second.tasks[i];
    if (task.phase == Phase::kPlaced || task.phase == Phase::kStarted) {
      ReleaseSlot({handle, i}, task);
    }
  }
  queue_.RemoveJob(handle);
  jobs_.erase(it);
}

uint32_t ServiceScheduler::UnfinishedTasks(JobHandle job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? 0 : it->second.unfinished;
}

bool ServiceScheduler::HasPlacement() const {
  const std::optional<UpstreamId> best = index_.BestUpstream();
  return best && queue_.Peek(AcceptsOnlyUrgent(*best));
}

std::optional<Placement> ServiceScheduler::NextPlacement(Instant now) {
  Advance(now);
  const std::optional<UpstreamId> best = index_.BestUpstream();
  const auto ref = best ? queue_.Pop(AcceptsOnlyUrgent(*best)) : std::nullopt;
  if (!ref) {
    return std::nullopt;
  }
  Task& task = jobs_.at(ref->job).tasks[ref->index];
  if (task.placed == Instant()) {
    retries_.OnFirstAttempt();
  }
  task.phase = Phase::kPlaced;
  task.upstream = *best;
  task.placed = now;
  ++upstreams_[*best].placed;
  ++placed_;
  AddUnstarted(*ref, task);
  Refresh(*best);
  return Placement{*ref, upstreams_[*best].info.name};
}

void ServiceScheduler::Advance(Instant now) {
  if (reservations_stale_) {
    ReserveSlots();
  }
  while (!backoffs_.empty() && backoffs_.begin()->first <= now) {
    const UpstreamId id = backoffs_.begin()->second;
    backoffs_.erase(backoffs_.begin());
    upstreams_[id].backoff_until = Instant();
    Refresh(id);
  }
  if (outlier_detector_.NextProbe() <= now) {
    std::ranges::for_each(outlier_detector_.TakeDueProbes(now),
                          [this](UpstreamId id) { Refresh(id); });
  }
}

Instant ServiceScheduler::NextAdvance() const {
  if (reservations_stale_) {
    return Instant::min();
  }
  return backoffs_.empty() ? outlier_detector_.NextProbe()
                           : std::min(outlier_detector_.NextProbe(),
                                      backoffs_.begin()->first);
}

Instant ServiceScheduler::NextWakeup(Instant now) const {
  Instant next = waiting() > 0 ? NextAdvance() : outlier_detector_.NextProbe();
  if (settings_.withdrawal.enabled && !unstarted_.empty()) {
    // A task that is past this time is withdrawn only when a slot becomes free
    // elsewhere. That is the effect of another call, so no timer is needed.
    const Instant due =
        unstarted_.begin()->first + settings_.withdrawal.min_wait;
    next = due > now ? std::min(next, due) : next;
  }
  return next;
}

void ServiceScheduler::OnStarted(const TaskRef& ref, Instant now) {
  Task* task = FindTask(ref);
  if (task == nullptr || task->phase != Phase::kPlaced) {
    return;
  }
  RemoveUnstarted(ref, *task);
  task->phase = Phase::kStarted;
  task->started = now;
  Upstream& upstream = upstreams_[task->upstream];
  ++upstream.started;
  upstream.refusals = 0;
}

void ServiceScheduler::OnEnded(const TaskRef& ref,
                               PlacementOutcome outcome,
                               Duration run_time,
                               Instant now) {
  Task* task = FindTask(ref);
  if (task == nullptr ||
      (task->phase != Phase::kPlaced && task->phase != Phase::kStarted)) {
    return;
  }
  const UpstreamId id = task->upstream;
  Upstream& upstream = upstreams_[id];
  // A task that did not start counts as refused by its upstream, unless
  // TakeWithdrawals() has removed it from unstarted_.
  const bool refused = outcome == PlacementOutcome::kNotStarted &&
                       unstarted_.contains({task->placed, ref});
  const bool stalled =
      outcome == PlacementOutcome::kStopped && IsStalled(*task, now);
  ReleaseSlot(ref, *task);
  if (refused && upstream.registered) {
    BackOff(id, now);
  }
  if (outcome == PlacementOutcome::kNotStarted) {
    task->phase = Phase::kIdle;
    Refresh(id);
    return;
  }
  task->phase = Phase::kEnded;
  Job& job = jobs_.at(ref.job);
  --job.unfinished;
  if (outcome == PlacementOutcome::kSucceeded) {
    RecordRunTime(job, upstream, run_time);
    has_succeeded_ = true;
    upstream.slow_start_limit +=
        upstream.slow_start_limit < kNoSlowStartLimit ? 1 : 0;
    outlier_detector_.OnSuccess(id);
  } else if (outcome == PlacementOutcome::kFailed || stalled) {
    outlier_detector_.OnFailure(id, ref.job, now);
  }
  queue_.Update(ref.job, job.unfinished, JobRunTime(job));
  Refresh(id);
}

void ServiceScheduler::RecordRunTime(Job& job,
                                     Upstream& upstream,
                                     Duration run_time) {
  run_time_.Add(run_time);
  upstream.run_time.Add(run_time);
  job.measured += run_time;
  ++job.measured_tasks;
  // Compare medians, so that a few long tasks do not mark an upstream as slow.
  if (upstream.run_time.samples() >= kMinUpstreamSamples) {
    const auto baseline = static_cast<double>(run_time_.Quantile(0.5).count());
    upstream.run_time_ratio =
        static_cast<double>(upstream.run_time.Quantile(0.5).count()) /
        std::max(baseline, 1.0);
  }
}

void ServiceScheduler::BackOff(UpstreamId id, Instant now) {
  Upstream& upstream = upstreams_[id];
  const uint32_t doublings = std::min(upstream.refusals++, 10U);
  backoffs_.erase({upstream.backoff_until, id});
  upstream.backoff_until =
      now + std::min(kMinRefusalBackoff * (1 << doublings), kMaxRefusalBackoff);
  backoffs_.emplace(upstream.backoff_until, id);
}

UpstreamId ServiceScheduler::FindOrAddId(const InstanceName& name) {
  const auto next = static_cast<UpstreamId>(upstreams_.size());
  const auto [it, added] = upstream_ids_.try_emplace(name, next);
  if (!added) {
    return it->second;
  }
  if (free_ids_.empty()) {
    upstreams_.emplace_back();
    return next;
  }
  it->second = free_ids_.back();
  free_ids_.pop_back();
  upstreams_[it->second] = Upstream();
  return it->second;
}

void ServiceScheduler::ReleaseIfUnused(UpstreamId id) {
  const Upstream& upstream = upstreams_[id];
  if (upstream.registered || upstream.placed > 0) {
    return;
  }
  backoffs_.erase({upstream.backoff_until, id});
  upstream_ids_.erase(upstream.info.name);
  free_ids_.push_back(id);
}

bool ServiceScheduler::IsStalled(const Task& task, Instant now) const {
  return task.phase == Phase::kStarted &&
         now - task.started > kStallFactor * run_time_.Quantile(0.999);
}

bool ServiceScheduler::TryTakeRetry() {
  return retries_.TryTake();
}

void ServiceScheduler::TakeWithdrawals(Instant now,
                                       std::vector<TaskRef>& tasks) {
  if (!settings_.withdrawal.enabled) {
    return;
  }
  // Withdraw no more tasks than there are free slots left after the waiting
  // tasks of this entry are placed.
  uint64_t places =
      index_.free_slots() - std::min(index_.free_slots(), waiting());
  while (places > 0 && !unstarted_.empty() &&
         unstarted_.begin()->first + settings_.withdrawal.min_wait <= now) {
    const TaskRef ref = unstarted_.begin()->second;
    const Task& task = *FindTask(ref);
    unstarted_.erase(unstarted_.begin());
    // A task is not withdrawn when its upstream has a free slot.
    if (index_.HasFreeSlot(task.upstream)) {
      continue;
    }
    --places;
    tasks.push_back(ref);
  }
}

void ServiceScheduler::TakeEjections(std::vector<EjectionChange>& changes) {
  for (const OutlierDetector::Change& it : outlier_detector_.TakeChanges()) {
    changes.push_back({upstreams_[it.upstream].info.name, it.ejected, it.why});
  }
}

bool ServiceScheduler::IsEjected(const InstanceName& name) const {
  const auto it = upstream_ids_.find(name);
  return it != upstream_ids_.end() && outlier_detector_.IsEjected(it->second);
}

double ServiceScheduler::SlotShare() const {
  const auto slots = static_cast<double>(index_.slots());
  return std::max(slots / settings_.sharing_entries,
                  std::min(slots, static_cast<double>(placed_)));
}

Duration ServiceScheduler::WorkAhead(bundle::DeadlineClass deadline_class,
                                     uint32_t tasks) const {
  // Until a task has succeeded, kInitialRunTime stands in for the run time. No
  // job must be refused because of this guess, so report no work ahead.
  return has_succeeded_
             ? queue_.WorkAhead(deadline_class, run_time_.mean() * tasks)
             : Duration(0);
}

void ServiceScheduler::Hash(Hasher& hasher) const {
  hasher.Add(spec_.name.value());
  hasher.Add(in_bundle_ ? 1 : 0);
  queue_.Hash(hasher);
  index_.Hash(hasher);
  run_time_.Hash(hasher);
  outlier_detector_.Hash(hasher);
  retries_.Hash(hasher);
  for (const Upstream& upstream : upstreams_) {
    hasher.Add(upstream.info.name.value());
    hasher.Add(upstream.registered ? 1 : 0);
    hasher.Add(upstream.placed);
    hasher.Add(upstream.started);
    hasher.Add(upstream.other_tasks);
    hasher.Add(upstream.slow_start_limit);
    hasher.Add(static_cast<uint64_t>(ToMicros(upstream.backoff_until)));
    upstream.run_time.Hash(hasher);
  }
  for (const auto& [placed, ref] : unstarted_) {
    hasher.Add(static_cast<uint64_t>(ToMicros(placed)));
    hasher.Add(ref.job);
    hasher.Add(ref.index);
  }
}

ServiceScheduler::Task* ServiceScheduler::FindTask(const TaskRef& ref) {
  const auto it = jobs_.find(ref.job);
  if (it == jobs_.end() || ref.index >= it->second.tasks.size()) {
    return nullptr;
  }
  return &it->second.tasks[ref.index];
}

void ServiceScheduler::AddUnstarted(const TaskRef& ref, const Task& task) {
  upstreams_[task.upstream].unstarted.insert(task.placed);
  unstarted_.emplace(task.placed, ref);
}

void ServiceScheduler::RemoveUnstarted(const TaskRef& ref, const Task& task) {
  std::multiset<Instant>& unstarted = upstreams_[task.upstream].unstarted;
  unstarted.erase(unstarted.find(task.placed));
  unstarted_.erase({task.placed, ref});
}

void ServiceScheduler::ReleaseSlot(const TaskRef& ref, const Task& task) {
  Upstream& upstream = upstreams_[task.upstream];
  --upstream.placed;
  --placed_;
  if (task.phase == Phase::kStarted) {
    --upstream.started;
  } else {
    RemoveUnstarted(ref, task);
  }
  Refresh(task.upstream);
  ReleaseIfUnused(task.upstream);
}

Duration ServiceScheduler::JobRunTime(const Job& job) const {
  const Duration sum = run_time_.mean() * kPriorTasks + job.measured;
  return sum / (kPriorTasks + job.measured_tasks);
}

bool ServiceScheduler::AcceptsOnlyUrgent(UpstreamId upstream) const {
  return settings_.placement.sidecar_queueing != SidecarQueueing::kAll &&
         !index_.HasFreeSlot(upstream);
}

bool ServiceScheduler::IsEligible(const Upstream& upstream) const {
  const bool named = spec_.upstreams.empty() ||
                     std::ranges::find(spec_.upstreams, upstream.info.name) !=
                         spec_.upstreams.end();
  const bool zone =
      std::ranges::find(spec_.zones, upstream.info.zone) != spec_.zones.end() &&
      !zones_out_.contains(upstream.info.zone);
  const bool slots = !upstream.load || upstream.load->slots > 0;
  return upstream.registered && in_bundle_ && named && zone && slots;
}

UpstreamState ServiceScheduler::StateOf(UpstreamId id) const {
  const Upstream& upstream = upstreams_[id];
  const bool queues =
      settings_.placement.sidecar_queueing != SidecarQueueing::kNone;
  uint32_t slots =
      upstream.load ? std::min(upstream.load->slots, spec_.slots) : spec_.slots;
  uint32_t other_tasks = upstream.other_tasks;
  if (upstream.reservation == Reservation::kOther && slots > 1) {
    --slots;
  } else if (upstream.reservation == Reservation::kOwn && slots > 0) {
    other_tasks = std::min(other_tasks, slots - 1);
  }
  const bool slow =
      upstream.run_time_ratio > settings_.placement.slow_run_time_ratio &&
      settings_.placement.use_upstream_run_time;
  const auto run_time = static_cast<double>(run_time_.mean().count());
  UpstreamState state{.distance = upstream.info.distance,
                      .own_zone = upstream.info.zone == settings_.own_zone,
                      .slots = slots,
                      .task_count = upstream.placed + other_tasks,
                      .task_limit = slots + (queues ? spec_.queue : 0),
                      .run_time = Duration(static_cast<int64_t>(
                          run_time * (slow ? upstream.run_time_ratio : 1.0))),
                      .baseline_run_time = run_time_.mean()};
  // Evidence against an upstream adds to its expected wait, so that the other
  // upstreams get tasks first. Above kStrongSuspicion it also gets only one
  // task at a time.
  const double suspicion =
      outlier_detector_.IsEjected(id) ? 0.0 : outlier_detector_.Suspicion(id);
  if (suspicion > 0) {
    state.distance += Duration(static_cast<int64_t>(
        suspicion *
        static_cast<double>(settings_.ejection.suspicion_penalty.count())));
  }
  uint32_t own_task_limit = upstream.slow_start_limit;
  if (suspicion > kStrongSuspicion) {
    own_task_limit = 1;
  }
  if (outlier_detector_.IsEjected(id)) {
    own_task_limit = outlier_detector_.IsProbing(id) ? 1 : 0;
  }
  const bool backing_off = upstream.backoff_until != Instant();
  if (backing_off || own_task_limit <= upstream.placed) {
    state.task_limit = 0;
  }
  return state;
}

void ServiceScheduler::Refresh(UpstreamId id) {
  if (IsEligible(upstreams_[id])) {
    index_.Set(id, StateOf(id));
  } else {
    index_.Remove(id);
  }
}

void ServiceScheduler::RefreshAll() {
  for (UpstreamId id = 0; id < upstreams_.size(); ++id) {
    Refresh(id);
  }
}

void ServiceScheduler::ResetSlowStart(Upstream& upstream) const {
  // Until a task of the service has succeeded, no upstream is known to be
  // better than this one, so slow start would only delay tasks.
  upstream.slow_start_limit =
      settings_.slow_start && has_succeeded_ ? 1 : kNoSlowStartLimit;
}

void ServiceScheduler::ReserveSlots() {
  reservations_stale_ = false;
  const uint32_t entry_count = settings_.sharing_entries;
  const double share =
      entry_count > 1 ? settings_.sharing.reserved_share * spec_.slots : 0.0;
  // Reserve at most one slot per upstream, spread evenly over the upstreams in
  // order of their names, so that all entries compute the same reservations.
  double accumulated_share = 0;
  uint32_t reserved_count = 0;
  for (const auto& [name, id] : upstream_ids_) {
    Upstream& upstream = upstreams_[id];
    if (!upstream.registered) {
      continue;
    }
    Reservation reservation = Reservation::kUnreserved;
    accumulated_share += share;
    if (accumulated_share >= 1.0) {
      accumulated_share = std::min(accumulated_share - 1.0, 1.0);
      const bool own = reserved_count++ % entry_count == settings_.entry_index;
      reservation = own ? Reservation::kOwn : Reservation::kOther;
    }
    if (std::exchange(upstream.reservation, reservation) != reservation) {
      Refresh(id);
    }
  }
}

}  // namespace filbertwick::core::policy
