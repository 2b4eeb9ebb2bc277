#include "filbertwick/core/policy/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "filbertwick/core/policy/fair_queue.h"
#include "filbertwick/core/policy/placement_index.h"
#include "filbertwick/core/policy/run_time_estimator.h"

namespace filbertwick::core::policy {
namespace {

/// Run time assumed of a service nothing was measured of.
constexpr Duration kUnknownRunTime = std::chrono::milliseconds(300);
/// Shortest and longest advice when to try a refused job again.
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(30);

using ServiceId = uint32_t;

/// What is known of a task.
enum class Phase : uint8_t { kIdle, kWaiting, kPlaced, kStarted, kEnded };

struct Task {
  Phase phase = Phase::kIdle;
  UpstreamId upstream = 0;
  Instant placed;
};

struct Job {
  ServiceId service = 0;
  TeamId team = 0;
  /// Tasks that have not ended.
  uint32_t unfinished = 0;
  std::vector<Task> tasks;
};

struct Team {
  uint32_t quota = 0;
  /// Tasks of registered jobs that have not ended.
  uint64_t unfinished = 0;
  bool known = false;
};

struct Upstream {
  UpstreamInfo info;
  ServiceId service = 0;
  bool present = false;
  std::optional<wire::Load> load;
  /// Own tasks there or on the way.
  uint32_t placed = 0;
  uint32_t started = 0;
  /// Tasks of others there, as last reported.
  uint32_t others = 0;
  /// When own tasks that have not started were placed.
  std::multiset<Instant> unstarted;
};

struct Service {
  Service(const PolicySettings& settings, uint64_t seed)
      : queue(settings.queue), index(settings.placement, seed) {}

  bundle::Service spec;
  bool known = false;
  FairQueue queue;
  PlacementIndex index;
  RunTimeEstimator run_time{kUnknownRunTime};
};

}  // namespace

class Dispatcher::Impl {
 public:
  Impl(const PolicySettings& settings, uint64_t seed)
      : settings_(settings), seed_(seed) {}

  void SetBundle(const bundle::Bundle& bundle) {
    for (const auto& service : services_) {
      service->known = false;
    }
    for (const bundle::Service& spec : bundle.services) {
      Service& service = *services_[ServiceOf(spec.name)];
      service.spec = spec;
      service.known = true;
    }
    for (Team& team : teams_) {
      team.known = false;
    }
    for (const bundle::Team& spec : bundle.teams) {
      const TeamId id = TeamOf(spec.name);
      teams_[id].known = true;
      teams_[id].quota = spec.quota;
      for (const auto& service : services_) {
        service->queue.SetWeight(id, spec.weight);
      }
    }
    RefreshAll();
  }

  void SetZoneOut(const ZoneName& zone, bool out, Instant /*now*/) {
    if (out) {
      zones_out_.insert(zone);
    } else {
      zones_out_.erase(zone);
    }
    RefreshAll();
  }

  void UpsertUpstream(const UpstreamInfo& info, Instant /*now*/) {
    const UpstreamId id = UpstreamOf(info.name);
    Upstream& upstream = upstreams_[id];
    if (upstream.present && upstream.info.service != info.service) {
      services_[upstream.service]->index.Remove(id);
    }
    upstream.info = info;
    upstream.service = ServiceOf(info.service);
    upstream.present = true;
    Refresh(id);
  }

  void RemoveUpstream(const InstanceName& name) {
    const auto it = upstream_ids_.find(name);
    if (it == upstream_ids_.end()) {
      return;
    }
    Upstream& upstream = upstreams_[it->second];
    upstream.present = false;
    upstream.load.reset();
    upstream.others = 0;
    Refresh(it->second);
  }

  void UpdateLoad(const InstanceName& name,
                  const wire::Load& load,
                  Instant now) {
    const auto it = upstream_ids_.find(name);
    if (it == upstream_ids_.end()) {
      return;
    }
    Upstream& upstream = upstreams_[it->second];
    upstream.load = load;
    // Own tasks count as seen by the report when their offer had the time to
    // arrive and the report the time to come back.
    const Instant sent = now - 2 * upstream.info.distance;
    const auto seen = static_cast<uint32_t>(std::distance(
        upstream.unstarted.begin(), upstream.unstarted.upper_bound(sent)));
    const uint32_t own = std::min(seen, load.queued) + upstream.started;
    const uint32_t total = load.running + load.queued;
    upstream.others = total - std::min(total, own);
    Refresh(it->second);
  }

  Admission Admit(const JobShape& shape, Instant /*now*/) const {
    const auto service_it = service_ids_.find(shape.service);
    if (service_it == service_ids_.end() ||
        !services_[service_it->second]->known) {
      return {wire::Reason::kUnknownService};
    }
    const auto team_it = team_ids_.find(shape.team);
    if (team_it == team_ids_.end() || !teams_[team_it->second].known) {
      return {wire::Reason::kUnknownTeam};
    }
    const Service& service = *services_[service_it->second];
    if (service.index.slots() == 0) {
      return {wire::Reason::kNoUpstream, RetryAfter(service)};
    }
    const Team& team = teams_[team_it->second];
    if (team.unfinished + shape.tasks > QuotaShare(team, shape)) {
      return {wire::Reason::kOverQuota, RetryAfter(service)};
    }
    if (waiting_ + shape.tasks > settings_.max_waiting_tasks) {
      return {wire::Reason::kOverloaded, RetryAfter(service)};
    }
    return {};
  }

  void AddJob(JobHandle handle, const JobShape& shape, Instant now) {
    Job job;
    job.service = ServiceOf(shape.service);
    job.team = TeamOf(shape.team);
    job.unfinished = shape.tasks;
    job.tasks.resize(shape.tasks);
    teams_[job.team].unfinished += shape.tasks;
    Service& service = *services_[job.service];
    const bool urgent =
        service.spec.deadline_class == bundle::DeadlineClass::kUrgent &&
        shape.deadline <= settings_.urgent_deadline;
    service.queue.AddJob(
        handle, {.team = job.team,
                 .deadline_class = urgent ? bundle::DeadlineClass::kUrgent
                                          : bundle::DeadlineClass::kBulk,
                 .task_run_time = service.run_time.mean(),
                 .unfinished = shape.tasks,
                 .arrival = now});
    const bool added = jobs_.try_emplace(handle, std::move(job)).second;
    assert(added);
  }

  void AddTask(const TaskRef& ref, Instant /*now*/) {
    Job& job = jobs_.at(ref.job);
    Task& task = job.tasks.at(ref.index);
    if (task.phase == Phase::kWaiting) {
      return;
    }
    assert(task.phase == Phase::kIdle || task.phase == Phase::kEnded);
    const bool again = task.placed != Instant();
    if (task.phase == Phase::kEnded) {
      ChangeUnfinished(ref.job, job, 1);
    }
    task.phase = Phase::kWaiting;
    ++waiting_;
    Service& service = *services_[job.service];
    service.queue.AddTask(ref, again);
    Ready(job.service);
  }

  void RemoveTask(const TaskRef& ref) {
    const auto it = jobs_.find(ref.job);
    if (it == jobs_.end() || ref.index >= it->second.tasks.size()) {
      return;
    }
    Task& task = it->second.tasks[ref.index];
    if (task.phase != Phase::kWaiting) {
      return;
    }
    task.phase = Phase::kIdle;
    --waiting_;
    services_[it->second.service]->queue.RemoveTask(ref);
    Ready(it->second.service);
  }

  void RemoveJob(JobHandle handle) {
    const auto it = jobs_.find(handle);
    if (it == jobs_.end()) {
      return;
    }
    Job& job = it->second;
    // Placed tasks that nobody will report free their places here.
    for (Task& task : job.tasks) {
      if (task.phase == Phase::kWaiting) {
        --waiting_;
      } else if (task.phase == Phase::kPlaced ||
                 task.phase == Phase::kStarted) {
        LeaveUpstream(task);
      }
    }
    teams_[job.team].unfinished -= job.unfinished;
    services_[job.service]->queue.RemoveJob(handle);
    Ready(job.service);
    jobs_.erase(it);
  }

  std::optional<Placement> Next(Instant now) {
    if (ready_.empty()) {
      return std::nullopt;
    }
    // Services take turns, so that none keeps the others waiting.
    auto it = ready_.lower_bound(next_service_);
    if (it == ready_.end()) {
      it = ready_.begin();
    }
    const ServiceId id = *it;
    next_service_ = id + 1;
    Service& service = *services_[id];
    const UpstreamId upstream = *service.index.Best();
    const TaskRef ref = *service.queue.Pop();
    Task& task = jobs_.at(ref.job).tasks[ref.index];
    task.phase = Phase::kPlaced;
    task.upstream = upstream;
    task.placed = now;
    --waiting_;
    ++upstreams_[upstream].placed;
    upstreams_[upstream].unstarted.insert(now);
    Refresh(upstream);
    return Placement{ref, upstreams_[upstream].info.name};
  }

  Instant NextChange(Instant /*now*/) const { return Instant::max(); }

  void OnStarted(const TaskRef& ref, Instant /*now*/) {
    Task* task = FindTask(ref);
    if (task == nullptr || task->phase != Phase::kPlaced) {
      return;
    }
    task->phase = Phase::kStarted;
    Upstream& upstream = upstreams_[task->upstream];
    ++upstream.started;
    upstream.unstarted.erase(upstream.unstarted.find(task->placed));
  }

  void OnEnded(const TaskRef& ref,
               TaskEnd end,
               Duration run_time,
               Instant /*now*/) {
    Task* task = FindTask(ref);
    if (task == nullptr ||
        (task->phase != Phase::kPlaced && task->phase != Phase::kStarted)) {
      return;
    }
    Job& job = jobs_.at(ref.job);
    LeaveUpstream(*task);
    if (end == TaskEnd::kNotStarted) {
      task->phase = Phase::kIdle;
      return;
    }
    task->phase = Phase::kEnded;
    ChangeUnfinished(ref.job, job, -1);
    if (end == TaskEnd::kSucceeded) {
      services_[job.service]->run_time.Add(run_time);
    }
  }

  uint64_t waiting() const { return waiting_; }

  uint64_t StateHash() const {
    Hasher hasher;
    hasher.Add(seed_);
    hasher.Add(waiting_);
    hasher.Add(next_service_);
    for (const auto& service : services_) {
      hasher.Add(service->spec.name.value());
      service->queue.Hash(hasher);
      service->index.Hash(hasher);
      service->run_time.Hash(hasher);
    }
    for (const Upstream& upstream : upstreams_) {
      hasher.Add(upstream.info.name.value());
      hasher.Add(upstream.present ? 1 : 0);
      hasher.Add(upstream.placed);
      hasher.Add(upstream.started);
      hasher.Add(upstream.others);
    }
    for (const Team& team : teams_) {
      hasher.Add(team.unfinished);
    }
    return hasher.digest();
  }

 private:
  ServiceId ServiceOf(const ServiceName& name) {
    const auto [it, added] = service_ids_.try_emplace(
        name, static_cast<ServiceId>(services_.size()));
    if (added) {
      services_.push_back(
          std::make_unique<Service>(settings_, Hash64(name.value(), seed_)));
      services_.back()->spec.name = name;
    }
    return it->second;
  }

  TeamId TeamOf(const TeamName& name) {
    const auto [it, added] =
        team_ids_.try_emplace(name, static_cast<TeamId>(teams_.size()));
    if (added) {
      teams_.emplace_back();
    }
    return it->second;
  }

  UpstreamId UpstreamOf(const InstanceName& name) {
    const auto [it, added] = upstream_ids_.try_emplace(
        name, static_cast<UpstreamId>(upstreams_.size()));
    if (added) {
      upstreams_.emplace_back();
    }
    return it->second;
  }

  Task* FindTask(const TaskRef& ref) {
    const auto it = jobs_.find(ref.job);
    if (it == jobs_.end() || ref.index >= it->second.tasks.size()) {
      return nullptr;
    }
    return &it->second.tasks[ref.index];
  }

  void ChangeUnfinished(JobHandle handle, Job& job, int32_t change) {
    job.unfinished += change;
    teams_[job.team].unfinished += change;
    services_[job.service]->queue.SetUnfinished(handle, job.unfinished);
  }

  /// Most unfinished tasks that the team may have at this entry.
  uint64_t QuotaShare(const Team& team, const JobShape& shape) const {
    const uint64_t entries = std::max(settings_.sharing_entries, 1U);
    const uint64_t share = (team.quota + entries - 1) / entries;
    // A job within the quota may pass while the team has nothing else here.
    const bool alone = team.unfinished == 0 && shape.tasks <= team.quota;
    return alone ? std::max<uint64_t>(share, shape.tasks) : share;
  }

  /// Expected time until the work that waits now is placed.
  Duration RetryAfter(const Service& service) const {
    const auto slots =
        static_cast<double>(std::max<uint64_t>(service.index.slots(), 1));
    const double wait =
        service.queue.work_ahead(bundle::DeadlineClass::kBulk) / slots;
    return std::clamp(Duration(static_cast<int64_t>(wait)), kShortestRetryAfter,
                      kLongestRetryAfter);
  }

  void LeaveUpstream(const Task& task) {
    Upstream& upstream = upstreams_[task.upstream];
    --upstream.placed;
    if (task.phase == Phase::kStarted) {
      --upstream.started;
    } else {
      upstream.unstarted.erase(upstream.unstarted.find(task.placed));
    }
    Refresh(task.upstream);
  }

  bool IsOpen(const Upstream& upstream) const {
    const Service& service = *services_[upstream.service];
    const bundle::Service& spec = service.spec;
    const bool named = spec.upstreams.empty() ||
                       std::ranges::find(spec.upstreams, upstream.info.name) !=
                           spec.upstreams.end();
    const bool zone =
        std::ranges::find(spec.zones, upstream.info.zone) != spec.zones.end() &&
        !zones_out_.contains(upstream.info.zone);
    const bool slots = !upstream.load || upstream.load->slots > 0;
    return upstream.present && service.known && named && zone && slots;
  }

  /// Brings the upstream's place in its index up to date.
  void Refresh(UpstreamId id) {
    const Upstream& upstream = upstreams_[id];
    Service& service = *services_[upstream.service];
    if (!IsOpen(upstream)) {
      service.index.Remove(id);
      Ready(upstream.service);
      return;
    }
    const uint32_t slots =
        upstream.load ? std::min(upstream.load->slots, service.spec.slots)
                      : service.spec.slots;
    service.index.Set(id, {.distance = upstream.info.distance,
                           .own_zone = upstream.info.zone == settings_.own_zone,
                           .slots = slots,
                           .busy = upstream.placed + upstream.others,
                           .limit = slots + service.spec.queue,
                           .run_time = service.run_time.mean(),
                           .usual_run_time = service.run_time.mean()});
    Ready(upstream.service);
  }

  void RefreshAll() {
    for (UpstreamId id = 0; id < upstreams_.size(); ++id) {
      Refresh(id);
    }
  }

  /// Notes whether the service has both a waiting task and a place.
  void Ready(ServiceId id) {
    const Service& service = *services_[id];
    if (service.queue.size() > 0 && service.index.Best()) {
      ready_.insert(id);
    } else {
      ready_.erase(id);
    }
  }

  PolicySettings settings_;
  uint64_t seed_;
  std::map<ServiceName, ServiceId> service_ids_;
  std::vector<std::unique_ptr<Service>> services_;
  std::map<TeamName, TeamId> team_ids_;
  std::vector<Team> teams_;
  std::map<InstanceName, UpstreamId> upstream_ids_;
  std::vector<Upstream> upstreams_;
  std::set<ZoneName> zones_out_;
  std::unordered_map<JobHandle, Job> jobs_;
  /// Services with a waiting task and a place.
  std::set<ServiceId> ready_;
  ServiceId next_service_ = 0;
  uint64_t waiting_ = 0;
};

std::unique_ptr<Dispatcher> Dispatcher::Create(const PolicySettings& settings,
                                               uint64_t seed) {
  return std::unique_ptr<Dispatcher>(
      new Dispatcher(std::make_unique<Impl>(settings, seed)));
}

Dispatcher::Dispatcher(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetBundle(const bundle::Bundle& bundle) {
  impl_->SetBundle(bundle);
}

void Dispatcher::SetZoneOut(const ZoneName& zone, bool out, Instant now) {
  impl_->SetZoneOut(zone, out, now);
}

void Dispatcher::UpsertUpstream(const UpstreamInfo& info, Instant now) {
  impl_->UpsertUpstream(info, now);
}

void Dispatcher::RemoveUpstream(const InstanceName& name) {
  impl_->RemoveUpstream(name);
}

void Dispatcher::UpdateLoad(const InstanceName& name,
                            const wire::Load& load,
                            Instant now) {
  impl_->UpdateLoad(name, load, now);
}

Admission Dispatcher::Admit(const JobShape& shape, Instant now) const {
  return impl_->Admit(shape, now);
}

void Dispatcher::AddJob(JobHandle job, const JobShape& shape, Instant now) {
  impl_->AddJob(job, shape, now);
}

void Dispatcher::AddTask(const TaskRef& task, Instant now) {
  impl_->AddTask(task, now);
}

void Dispatcher::RemoveTask(const TaskRef& task) {
  impl_->RemoveTask(task);
}

void Dispatcher::RemoveJob(JobHandle job) {
  impl_->RemoveJob(job);
}

std::optional<Placement> Dispatcher::Next(Instant now) {
  return impl_->Next(now);
}

Instant Dispatcher::NextChange(Instant now) const {
  return impl_->NextChange(now);
}

void Dispatcher::OnStarted(const TaskRef& task, Instant now) {
  impl_->OnStarted(task, now);
}

void Dispatcher::OnEnded(const TaskRef& task,
                         TaskEnd end,
                         Duration run_time,
                         Instant now) {
  impl_->OnEnded(task, end, run_time, now);
}

bool Dispatcher::TakeRetry(const ServiceName& /*service*/, Instant /*now*/) {
  return true;
}

std::vector<TaskRef> Dispatcher::TakeWithdrawals(Instant /*now*/) {
  return {};
}

std::vector<EjectionChange> Dispatcher::TakeEjections() {
  return {};
}

bool Dispatcher::IsEjected(const InstanceName& /*name*/) const {
  return false;
}

uint64_t Dispatcher::waiting() const {
  return impl_->waiting();
}

uint64_t Dispatcher::StateHash() const {
  return impl_->StateHash();
}

}  // namespace filbertwick::core::policy
