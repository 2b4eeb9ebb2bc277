#include "filbertwick/core/policy/service_scheduler.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace filbertwick::core::policy {
namespace {

/// Run time assumed for a service without measured run times.
constexpr Duration kUnknownRunTime = std::chrono::milliseconds(300);
/// Weight of the service's mean run time in the estimate for a job, as a number
/// of measured tasks.
constexpr int64_t kPriorTasks = 2;
/// Minimum number of samples for using an upstream's own run time.
constexpr uint64_t kUpstreamSamples = 10;
/// Bounds of the time without placements on an upstream that refused a task;
/// doubles with each consecutive refusal.
constexpr Duration kFirstBlock = std::chrono::milliseconds(5);
constexpr Duration kLongestBlock = std::chrono::milliseconds(500);
/// A task that is stopped after running longer than this multiple of the
/// service's 99.9th percentile counts as a failure of its upstream.
constexpr int kStalledTimes = 2;
/// Fraction of the ejection threshold above which an upstream gets only one
/// task at a time.
constexpr double kStrongSuspicion = 0.5;
/// Slow start does not limit the upstream.
constexpr uint32_t kAllAllowed = std::numeric_limits<uint32_t>::max();

}  // namespace

ServiceScheduler::ServiceScheduler(const PolicySettings& settings,
                                   uint64_t seed)
    : settings_(settings),
      queue_(settings.queue),
      index_(settings.placement, seed),
      run_time_(kUnknownRunTime),
      ejector_(settings.ejection),
      retries_(settings.retry) {}

void ServiceScheduler::SetSpec(const bundle::Service* spec) {
  known_ = spec != nullptr;
  if (known_) {
    spec_ = *spec;
  }
  reservations_due_ = true;
  RefreshAll();
}

void ServiceScheduler::SetWeight(TeamId team, uint32_t weight) {
  queue_.SetWeight(team, weight);
}

void ServiceScheduler::SetSharing(uint32_t entries, uint32_t number) {
  settings_.sharing_entries = std::max(entries, 1U);
  settings_.entry_number = number;
  reservations_due_ = true;
}

void ServiceScheduler::SetZoneOut(const ZoneName& zone, bool out) {
  if (out) {
    zones_out_.insert(zone);
  } else if (zones_out_.erase(zone) > 0) {
    for (Upstream& upstream : upstreams_) {
      if (upstream.info.zone == zone) {
        RestartSlowly(upstream);
      }
    }
  }
  RefreshAll();
}

void ServiceScheduler::UpsertUpstream(const UpstreamInfo& info) {
  const UpstreamId id = IdOf(info.name);
  Upstream& upstream = upstreams_[id];
  if (!upstream.present) {
    upstream.run_time = RunTimeEstimator(Duration(0));
    RestartSlowly(upstream);
    reservations_due_ = true;
  }
  upstream.info = info;
  upstream.present = true;
  ejector_.Add(id);
  Refresh(id);
}

void ServiceScheduler::RemoveUpstream(const InstanceName& name) {
  const auto it = upstream_ids_.find(name);
  if (it == upstream_ids_.end()) {
    return;
  }
  const UpstreamId id = it->second;
  Upstream& upstream = upstreams_[id];
  upstream.present = false;
  upstream.load.reset();
  upstream.others = 0;
  reservations_due_ = true;
  ejector_.Remove(id);
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
  const Instant sent = now - 2 * upstream.info.distance;
  const auto seen = static_cast<uint32_t>(std::distance(
      upstream.unstarted.begin(), upstream.unstarted.upper_bound(sent)));
  const uint32_t own = std::min(seen, load.queued) + upstream.started;
  const uint32_t total = load.running + load.queued;
  upstream.others = total - std::min(total, own);
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
      LeaveUpstream({handle, i}, task);
    }
  }
  queue_.RemoveJob(handle);
  jobs_.erase(it);
}

uint32_t ServiceScheduler::Unfinished(JobHandle job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? 0 : it->second.unfinished;
}

bool ServiceScheduler::HasPlacement() const {
  const std::optional<UpstreamId> best = index_.Best();
  return best && queue_.Peek(UrgentOnly(*best));
}

std::optional<Placement> ServiceScheduler::Next(Instant now) {
  Advance(now);
  const std::optional<UpstreamId> best = index_.Best();
  const auto ref = best ? queue_.Pop(UrgentOnly(*best)) : std::nullopt;
  if (!ref) {
    return std::nullopt;
  }
  Task& task = jobs_.at(ref->job).tasks[ref->index];
  if (task.placed == Instant()) {
    retries_.OnFirstSend();
  }
  task.phase = Phase::kPlaced;
  task.upstream = *best;
  task.placed = now;
  ++upstreams_[*best].placed;
  ++placed_;
  MarkUnstarted(*ref, task);
  Refresh(*best);
  return Placement{*ref, upstreams_[*best].info.name};
}

void ServiceScheduler::Advance(Instant now) {
  if (reservations_due_) {
    ReserveSlots();
  }
  while (!blocked_.empty() && blocked_.begin()->first <= now) {
    const UpstreamId id = blocked_.begin()->second;
    blocked_.erase(blocked_.begin());
    upstreams_[id].blocked_until = Instant();
    Refresh(id);
  }
  if (ejector_.NextProbe() <= now) {
    std::ranges::for_each(ejector_.TakeDueProbes(now),
                          [this](UpstreamId id) { Refresh(id); });
  }
}

Instant ServiceScheduler::NextAdvance() const {
  if (reservations_due_) {
    return Instant::min();
  }
  return blocked_.empty()
             ? ejector_.NextProbe()
             : std::min(ejector_.NextProbe(), blocked_.begin()->first);
}

Instant ServiceScheduler::NextChange(Instant now) const {
  Instant next = waiting() > 0 ? NextAdvance() : ejector_.NextProbe();
  if (settings_.withdrawal.enabled && !unstarted_.empty()) {
    // A task that is past this time is withdrawn only after a load report that
    // shows a free slot elsewhere, so no timer is needed for it.
    const Instant due =
        unstarted_.begin()->first + settings_.withdrawal.patience;
    next = due > now ? std::min(next, due) : next;
  }
  return next;
}

void ServiceScheduler::OnStarted(const TaskRef& ref, Instant now) {
  Task* task = FindTask(ref);
  if (task == nullptr || task->phase != Phase::kPlaced) {
    return;
  }
  ClearUnstarted(ref, *task);
  task->phase = Phase::kStarted;
  task->started = now;
  Upstream& upstream = upstreams_[task->upstream];
  ++upstream.started;
  upstream.refusals = 0;
}

void ServiceScheduler::OnEnded(const TaskRef& ref,
                               TaskEnd end,
                               Duration run_time,
                               Instant now) {
  Task* task = FindTask(ref);
  if (task == nullptr ||
      (task->phase != Phase::kPlaced && task->phase != Phase::kStarted)) {
    return;
  }
  const UpstreamId id = task->upstream;
  Upstream& upstream = upstreams_[id];
  // A task that has not started and was not withdrawn was refused.
  const bool refused =
      end == TaskEnd::kNotStarted && unstarted_.contains({task->placed, ref});
  const bool stalled = end == TaskEnd::kStopped && IsStalled(*task, now);
  LeaveUpstream(ref, *task);
  if (refused && upstream.present) {
    Block(id, now);
  }
  if (end == TaskEnd::kNotStarted) {
    task->phase = Phase::kIdle;
    Refresh(id);
    return;
  }
  task->phase = Phase::kEnded;
  Job& job = jobs_.at(ref.job);
  --job.unfinished;
  if (end == TaskEnd::kSucceeded) {
    Measure(job, upstream, run_time);
    proven_ = true;
    upstream.allowed += upstream.allowed < kAllAllowed ? 1 : 0;
    ejector_.OnSuccess(id);
  } else if (end == TaskEnd::kFailed || stalled) {
    ejector_.OnFailure(id, ref.job, now);
  }
  queue_.Update(ref.job, job.unfinished, JobRunTime(job));
  Refresh(id);
}

void ServiceScheduler::Measure(Job& job,
                               Upstream& upstream,
                               Duration run_time) {
  run_time_.Add(run_time);
  upstream.run_time.Add(run_time);
  job.measured += run_time;
  ++job.measured_tasks;
  // Compare medians, so that a few long tasks do not mark an upstream as slow.
  if (upstream.run_time.samples() >= kUpstreamSamples) {
    const auto usual = static_cast<double>(run_time_.Quantile(0.5).count());
    upstream.slowness =
        static_cast<double>(upstream.run_time.Quantile(0.5).count()) /
        std::max(usual, 1.0);
  }
}

void ServiceScheduler::Block(UpstreamId id, Instant now) {
  Upstream& upstream = upstreams_[id];
  const uint32_t doublings = std::min(upstream.refusals++, 10U);
  blocked_.erase({upstream.blocked_until, id});
  upstream.blocked_until =
      now + std::min(kFirstBlock * (1 << doublings), kLongestBlock);
  blocked_.emplace(upstream.blocked_until, id);
}

UpstreamId ServiceScheduler::IdOf(const InstanceName& name) {
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
  if (upstream.present || upstream.placed > 0) {
    return;
  }
  blocked_.erase({upstream.blocked_until, id});
  upstream_ids_.erase(upstream.info.name);
  free_ids_.push_back(id);
}

bool ServiceScheduler::IsStalled(const Task& task, Instant now) const {
  return task.phase == Phase::kStarted &&
         now - task.started > kStalledTimes * run_time_.Quantile(0.999);
}

bool ServiceScheduler::TakeRetry() {
  return retries_.Take();
}

void ServiceScheduler::TakeWithdrawals(Instant now,
                                       std::vector<TaskRef>& tasks) {
  if (!settings_.withdrawal.enabled) {
    return;
  }
  // Withdraw no more tasks than the free slots can take in addition to the
  // tasks that wait here.
  uint64_t places =
      index_.free_slots() - std::min(index_.free_slots(), waiting());
  while (places > 0 && !unstarted_.empty() &&
         unstarted_.begin()->first + settings_.withdrawal.patience <= now) {
    const TaskRef ref = unstarted_.begin()->second;
    const Task& task = *FindTask(ref);
    unstarted_.erase(unstarted_.begin());
    if (index_.HasFreeSlot(task.upstream)) {
      continue;
    }
    --places;
    tasks.push_back(ref);
  }
}

void ServiceScheduler::TakeEjections(std::vector<EjectionChange>& changes) {
  for (const Ejector::Change& it : ejector_.TakeChanges()) {
    changes.push_back({upstreams_[it.upstream].info.name, it.ejected, it.why});
  }
}

bool ServiceScheduler::IsEjected(const InstanceName& name) const {
  const auto it = upstream_ids_.find(name);
  return it != upstream_ids_.end() && ejector_.IsEjected(it->second);
}

double ServiceScheduler::SlotShare() const {
  const auto slots = static_cast<double>(index_.slots());
  return std::max(slots / settings_.sharing_entries,
                  std::min(slots, static_cast<double>(placed_)));
}

Duration ServiceScheduler::WorkAhead(bundle::DeadlineClass deadline_class,
                                     uint32_t tasks) const {
  // Until a run time is measured, the estimate is a guess, by which no job must
  // be refused.
  return proven_ ? queue_.WorkAhead(deadline_class, run_time_.mean() * tasks)
                 : Duration(0);
}

void ServiceScheduler::Hash(Hasher& hasher) const {
  hasher.Add(spec_.name.value());
  hasher.Add(known_ ? 1 : 0);
  queue_.Hash(hasher);
  index_.Hash(hasher);
  run_time_.Hash(hasher);
  ejector_.Hash(hasher);
  retries_.Hash(hasher);
  for (const Upstream& upstream : upstreams_) {
    hasher.Add(upstream.info.name.value());
    hasher.Add(upstream.present ? 1 : 0);
    hasher.Add(upstream.placed);
    hasher.Add(upstream.started);
    hasher.Add(upstream.others);
    hasher.Add(upstream.allowed);
    hasher.Add(static_cast<uint64_t>(ToMicros(upstream.blocked_until)));
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

void ServiceScheduler::MarkUnstarted(const TaskRef& ref, const Task& task) {
  upstreams_[task.upstream].unstarted.insert(task.placed);
  unstarted_.emplace(task.placed, ref);
}

void ServiceScheduler::ClearUnstarted(const TaskRef& ref, const Task& task) {
  std::multiset<Instant>& unstarted = upstreams_[task.upstream].unstarted;
  unstarted.erase(unstarted.find(task.placed));
  unstarted_.erase({task.placed, ref});
}

void ServiceScheduler::LeaveUpstream(const TaskRef& ref, const Task& task) {
  Upstream& upstream = upstreams_[task.upstream];
  --upstream.placed;
  --placed_;
  if (task.phase == Phase::kStarted) {
    --upstream.started;
  } else {
    ClearUnstarted(ref, task);
  }
  Refresh(task.upstream);
  ReleaseIfUnused(task.upstream);
}

Duration ServiceScheduler::JobRunTime(const Job& job) const {
  const Duration sum = run_time_.mean() * kPriorTasks + job.measured;
  return sum / (kPriorTasks + job.measured_tasks);
}

bool ServiceScheduler::UrgentOnly(UpstreamId upstream) const {
  return settings_.placement.queue_use != QueueUse::kAll &&
         !index_.HasFreeSlot(upstream);
}

bool ServiceScheduler::IsOpen(const Upstream& upstream) const {
  const bool named = spec_.upstreams.empty() ||
                     std::ranges::find(spec_.upstreams, upstream.info.name) !=
                         spec_.upstreams.end();
  const bool zone =
      std::ranges::find(spec_.zones, upstream.info.zone) != spec_.zones.end() &&
      !zones_out_.contains(upstream.info.zone);
  const bool slots = !upstream.load || upstream.load->slots > 0;
  return upstream.present && known_ && named && zone && slots;
}

UpstreamPlace ServiceScheduler::PlaceOf(UpstreamId id) const {
  const Upstream& upstream = upstreams_[id];
  const bool queues = settings_.placement.queue_use != QueueUse::kNone;
  uint32_t slots =
      upstream.load ? std::min(upstream.load->slots, spec_.slots) : spec_.slots;
  uint32_t others = upstream.others;
  if (upstream.reserved == Reserved::kForOther && slots > 1) {
    --slots;
  } else if (upstream.reserved == Reserved::kForSelf && slots > 0) {
    others = std::min(others, slots - 1);
  }
  const bool slow = upstream.slowness > settings_.placement.slow_ratio &&
                    settings_.placement.use_run_time;
  const auto run_time = static_cast<double>(run_time_.mean().count());
  UpstreamPlace place{.distance = upstream.info.distance,
                      .own_zone = upstream.info.zone == settings_.own_zone,
                      .slots = slots,
                      .busy = upstream.placed + others,
                      .limit = slots + (queues ? spec_.queue : 0),
                      .run_time = Duration(static_cast<int64_t>(
                          run_time * (slow ? upstream.slowness : 1.0))),
                      .usual_run_time = run_time_.mean()};
  // With evidence against it an upstream gets work later than the others, and
  // with strong evidence only one task at a time.
  const double suspicion =
      ejector_.IsEjected(id) ? 0.0 : ejector_.Suspicion(id);
  if (suspicion > 0) {
    place.distance += Duration(static_cast<int64_t>(
        suspicion *
        static_cast<double>(settings_.ejection.suspicion_wait.count())));
  }
  uint32_t allowed = upstream.allowed;
  if (suspicion > kStrongSuspicion) {
    allowed = 1;
  }
  if (ejector_.IsEjected(id)) {
    allowed = ejector_.IsProbing(id) ? 1 : 0;
  }
  const bool blocked = upstream.blocked_until != Instant();
  if (blocked || allowed <= upstream.placed) {
    place.limit = 0;
  }
  return place;
}

void ServiceScheduler::Refresh(UpstreamId id) {
  if (IsOpen(upstreams_[id])) {
    index_.Set(id, PlaceOf(id));
  } else {
    index_.Remove(id);
  }
}

void ServiceScheduler::RefreshAll() {
  for (UpstreamId id = 0; id < upstreams_.size(); ++id) {
    Refresh(id);
  }
}

void ServiceScheduler::RestartSlowly(Upstream& upstream) const {
  // Until a task of the service has succeeded, no upstream is known to be
  // better than this one, so slow start would only delay tasks.
  upstream.allowed = settings_.slow_start && proven_ ? 1 : kAllAllowed;
}

void ServiceScheduler::ReserveSlots() {
  reservations_due_ = false;
  const uint32_t entries = settings_.sharing_entries;
  const double share =
      entries > 1 ? settings_.sharing.reserved_share * spec_.slots : 0.0;
  // Reserve at most one slot per upstream, spread evenly over the upstreams in
  // order of their names, so that all entries compute the same reservations.
  double due = 0;
  uint32_t dealt = 0;
  for (const auto& [name, id] : upstream_ids_) {
    Upstream& upstream = upstreams_[id];
    if (!upstream.present) {
      continue;
    }
    Reserved reserved = Reserved::kForNobody;
    due += share;
    if (due >= 1.0) {
      due = std::min(due - 1.0, 1.0);
      const bool own = dealt++ % entries == settings_.entry_number;
      reserved = own ? Reserved::kForSelf : Reserved::kForOther;
    }
    if (std::exchange(upstream.reserved, reserved) != reserved) {
      Refresh(id);
    }
  }
}

}  // namespace filbertwick::core::policy
