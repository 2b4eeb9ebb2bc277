#include "filbertwick/core/policy/dispatcher.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "filbertwick/core/policy/service_scheduler.h"

namespace filbertwick::core::policy {
namespace {

using ServiceId = uint32_t;

struct Job {
  ServiceId service = 0;
  TeamId team = 0;
};

struct Team {
  bool in_bundle = false;
  uint32_t weight = 1;
  uint32_t quota = 0;
  /// Tasks of registered jobs that have not ended.
  uint64_t unfinished = 0;
};

}  // namespace

/// Finds the service of each call and keeps what services share: teams, zones
/// and the turns that services take.
class Dispatcher::Impl {
 public:
  Impl(const PolicySettings& settings, uint64_t seed)
      : settings_(settings), seed_(seed), admission_(settings.admission) {}

  void SetBundle(const bundle::Bundle& bundle) {
    for (Team& team : teams_) {
      team.in_bundle = false;
    }
    for (const bundle::Team& spec : bundle.teams) {
      const TeamId id = FindOrAddTeam(spec.name);
      teams_[id].in_bundle = true;
      teams_[id].weight = spec.weight;
      teams_[id].quota = spec.quota;
    }
    for (const bundle::Service& spec : bundle.services) {
      FindOrAddService(spec.name);
    }
    for (const auto& [name, id] : service_ids_) {
      services_[id]->SetSpec(bundle.FindService(name));
      for (TeamId team = 0; team < teams_.size(); ++team) {
        services_[id]->SetWeight(team, teams_[team].weight);
      }
      RefreshService(id);
    }
  }

  void SetEntrySharing(uint32_t entry_count, uint32_t entry_index) {
    settings_.sharing_entries = std::max(entry_count, 1U);
    settings_.entry_index = entry_index;
    for (ServiceId id = 0; id < services_.size(); ++id) {
      services_[id]->SetEntrySharing(entry_count, entry_index);
      RefreshService(id);
    }
  }

  void SetZoneOut(const ZoneName& zone, bool out) {
    if (out) {
      zones_out_.insert(zone);
    } else {
      zones_out_.erase(zone);
    }
    for (ServiceId id = 0; id < services_.size(); ++id) {
      services_[id]->SetZoneOut(zone, out);
      RefreshService(id);
    }
  }

  void UpsertUpstream(const UpstreamInfo& info) {
    const ServiceId id = FindOrAddService(info.service);
    const auto [it, added] = upstream_services_.try_emplace(info.name, id);
    if (!added && it->second != id) {
      services_[it->second]->RemoveUpstream(info.name);
      RefreshService(it->second);
      it->second = id;
    }
    services_[id]->UpsertUpstream(info);
    RefreshService(id);
  }

  void RemoveUpstream(const InstanceName& name) {
    const auto it = upstream_services_.find(name);
    if (it != upstream_services_.end()) {
      services_[it->second]->RemoveUpstream(name);
      RefreshService(it->second);
      upstream_services_.erase(it);
    }
  }

  void UpdateLoad(const InstanceName& name,
                  const wire::Load& load,
                  Instant now) {
    const auto it = upstream_services_.find(name);
    if (it != upstream_services_.end()) {
      services_[it->second]->UpdateLoad(name, load, now);
      RefreshService(it->second);
    }
  }

  Admission Admit(const JobShape& shape) const {
    const auto service_it = service_ids_.find(shape.service);
    if (service_it == service_ids_.end() ||
        !services_[service_it->second]->in_bundle()) {
      return {wire::Reason::kUnknownService};
    }
    const auto team_it = team_ids_.find(shape.team);
    if (team_it == team_ids_.end() || !teams_[team_it->second].in_bundle) {
      return {wire::Reason::kUnknownTeam};
    }
    const ServiceScheduler& service = *services_[service_it->second];
    const Team& team = teams_[team_it->second];
    return admission_.Decide(shape.tasks, shape.deadline,
                             {.slots = service.SlotShare(),
                              .work_ahead = service.WorkAhead(
                                  DeadlineClassOf(service, shape), shape.tasks),
                              .task_run_time = service.run_time(),
                              .waiting = waiting(),
                              .waiting_limit = settings_.max_waiting_tasks,
                              .team_unfinished = team.unfinished,
                              .team_quota = QuotaShare(team, shape)});
  }

  void AddJob(JobHandle handle, const JobShape& shape, Instant now) {
    const Job job{FindOrAddService(shape.service), FindOrAddTeam(shape.team)};
    jobs_.emplace(handle, job);
    teams_[job.team].unfinished += shape.tasks;
    ServiceScheduler& service = *services_[job.service];
    service.AddJob(handle, job.team, DeadlineClassOf(service, shape),
                   shape.tasks, now);
  }

  void AddTask(const TaskRef& task) {
    ChangeJob(task.job,
              [&](ServiceScheduler& service) { service.AddTask(task); });
  }

  void RemoveTask(const TaskRef& task) {
    ChangeJob(task.job,
              [&](ServiceScheduler& service) { service.RemoveTask(task); });
  }

  void RemoveJob(JobHandle handle) {
    ChangeJob(handle,
              [&](ServiceScheduler& service) { service.RemoveJob(handle); });
    jobs_.erase(handle);
  }

  std::optional<Placement> NextPlacement(Instant now) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
      const ServiceId id = timers_.begin()->second;
      services_[id]->Advance(now);
      RefreshService(id);
    }
    // Services take turns, so that none keeps the others waiting.
    while (!ready_.empty()) {
      auto it = ready_.lower_bound(next_service_);
      it = it == ready_.end() ? ready_.begin() : it;
      const ServiceId id = *it;
      next_service_ = id + 1;
      std::optional<Placement> placement = services_[id]->NextPlacement(now);
      RefreshService(id);
      if (placement) {
        return placement;
      }
    }
    return std::nullopt;
  }

  Instant NextWakeup(Instant now) const {
    Instant next = Instant::max();
    for (const auto& service : services_) {
      next = std::min(next, service->NextWakeup(now));
    }
    return next;
  }

  void OnStarted(const TaskRef& task, Instant now) {
    ChangeJob(task.job,
              [&](ServiceScheduler& service) { service.OnStarted(task, now); });
  }

  void OnEnded(const TaskRef& task,
               PlacementOutcome end,
               Duration run_time,
               Instant now) {
    ChangeJob(task.job, [&](ServiceScheduler& service) {
      service.OnEnded(task, end, run_time, now);
    });
  }

  bool TryTakeRetry(const ServiceName& name) {
    const auto it = service_ids_.find(name);
    return it != service_ids_.end() && services_[it->second]->TryTakeRetry();
  }

  std::vector<TaskRef> TakeWithdrawals(Instant now) {
    std::vector<TaskRef> tasks;
    for (const auto& service : services_) {
      service->TakeWithdrawals(now, tasks);
    }
    return tasks;
  }

  std::vector<EjectionChange> TakeEjections() {
    std::vector<EjectionChange> changes;
    for (const auto& service : services_) {
      service->TakeEjections(changes);
    }
    return changes;
  }

  bool IsEjected(const InstanceName& name) const {
    const auto it = upstream_services_.find(name);
    return it != upstream_services_.end() &&
           services_[it->second]->IsEjected(name);
  }

  uint64_t waiting() const { return waiting_; }

  uint64_t StateHash() const {
    Hasher hasher;
    hasher.Add(seed_);
    hasher.Add(waiting_);
    hasher.Add(next_service_);
    for (const auto& service : services_) {
      service->Hash(hasher);
    }
    for (const Team& team : teams_) {
      hasher.Add(team.unfinished);
    }
    return hasher.digest();
  }

 private:
  ServiceId FindOrAddService(const ServiceName& name) {
    const auto [it, added] = service_ids_.try_emplace(
        name, static_cast<ServiceId>(services_.size()));
    if (!added) {
      return it->second;
    }
    services_.push_back(std::make_unique<ServiceScheduler>(
        settings_, Hash64(name.value(), seed_)));
    timer_of_.push_back(Instant::max());
    waiting_of_.push_back(0);
    ServiceScheduler& service = *services_.back();
    for (const ZoneName& zone : zones_out_) {
      service.SetZoneOut(zone, true);
    }
    for (TeamId team = 0; team < teams_.size(); ++team) {
      service.SetWeight(team, teams_[team].weight);
    }
    return it->second;
  }

  TeamId FindOrAddTeam(const TeamName& name) {
    const auto [it, added] =
        team_ids_.try_emplace(name, static_cast<TeamId>(teams_.size()));
    if (added) {
      teams_.emplace_back();
    }
    return it->second;
  }

  /// Does something with a job's service and keeps the sums; nothing for an
  /// unknown job.
  template <typename Action>
  void ChangeJob(JobHandle handle, const Action& action) {
    const auto it = jobs_.find(handle);
    if (it == jobs_.end()) {
      return;
    }
    ServiceScheduler& service = *services_[it->second.service];
    Team& team = teams_[it->second.team];
    team.unfinished -= service.UnfinishedTasks(handle);
    action(service);
    team.unfinished += service.UnfinishedTasks(handle);
    RefreshService(it->second.service);
  }

  /// Notes after a change whether a service can place, what waits there and
  /// when time alone changes it.
  void RefreshService(ServiceId id) {
    const ServiceScheduler& service = *services_[id];
    if (service.HasPlacement()) {
      ready_.insert(id);
    } else {
      ready_.erase(id);
    }
    waiting_ +=
        service.waiting() - std::exchange(waiting_of_[id], service.waiting());
    const Instant timer = service.NextAdvance();
    timers_.erase({timer_of_[id], id});
    timer_of_[id] = timer;
    if (timer != Instant::max()) {
      timers_.emplace(timer, id);
    }
  }

  bundle::DeadlineClass DeadlineClassOf(const ServiceScheduler& service,
                                        const JobShape& shape) const {
    const bool urgent =
        service.spec().deadline_class == bundle::DeadlineClass::kUrgent &&
        shape.deadline <= settings_.max_urgent_deadline;
    return urgent ? bundle::DeadlineClass::kUrgent
                  : bundle::DeadlineClass::kBulk;
  }

  /// Most unfinished tasks that the team may have at this entry.
  uint64_t QuotaShare(const Team& team, const JobShape& shape) const {
    const uint64_t entry_count = settings_.sharing_entries;
    const uint64_t share = (team.quota + entry_count - 1) / entry_count;
    // A job within the quota may pass while the team has nothing else here.
    const bool alone = team.unfinished == 0 && shape.tasks <= team.quota;
    return alone ? std::max<uint64_t>(share, shape.tasks) : share;
  }

  PolicySettings settings_;
  uint64_t seed_;
  AdmissionControl admission_;
  std::map<ServiceName, ServiceId> service_ids_;
  std::vector<std::unique_ptr<ServiceScheduler>> services_;
  std::map<TeamName, TeamId> team_ids_;
  std::vector<Team> teams_;
  std::map<InstanceName, ServiceId> upstream_services_;
  std::set<ZoneName> zones_out_;
  std::unordered_map<JobHandle, Job> jobs_;
  /// Services that have a waiting task and a place for it.
  std::set<ServiceId> ready_;
  ServiceId next_service_ = 0;
  /// Services by the time of their next change by time alone.
  std::set<std::pair<Instant, ServiceId>> timers_;
  std::vector<Instant> timer_of_;
  std::vector<uint64_t> waiting_of_;
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

void Dispatcher::SetEntrySharing(uint32_t entry_count, uint32_t entry_index) {
  impl_->SetEntrySharing(entry_count, entry_index);
}

void Dispatcher::SetZoneOut(const ZoneName& zone, bool out, Instant /*now*/) {
  impl_->SetZoneOut(zone, out);
}

void Dispatcher::UpsertUpstream(const UpstreamInfo& info, Instant /*now*/) {
  impl_->UpsertUpstream(info);
}

void Dispatcher::RemoveUpstream(const InstanceName& name) {
  impl_->RemoveUpstream(name);
}

void Dispatcher::UpdateLoad(const InstanceName& name,
                            const wire::Load& load,
                            Instant now) {
  impl_->UpdateLoad(name, load, now);
}

Admission Dispatcher::Admit(const JobShape& shape, Instant /*now*/) const {
  return impl_->Admit(shape);
}

void Dispatcher::AddJob(JobHandle job, const JobShape& shape, Instant now) {
  impl_->AddJob(job, shape, now);
}

void Dispatcher::AddTask(const TaskRef& task, Instant /*now*/) {
  impl_->AddTask(task);
}

void Dispatcher::RemoveTask(const TaskRef& task) {
  impl_->RemoveTask(task);
}

void Dispatcher::RemoveJob(JobHandle job) {
  impl_->RemoveJob(job);
}

std::optional<Placement> Dispatcher::NextPlacement(Instant now) {
  return impl_->NextPlacement(now);
}

Instant Dispatcher::NextWakeup(Instant now) const {
  return impl_->NextWakeup(now);
}

void Dispatcher::OnStarted(const TaskRef& task, Instant now) {
  impl_->OnStarted(task, now);
}

void Dispatcher::OnEnded(const TaskRef& task,
                         PlacementOutcome end,
                         Duration run_time,
                         Instant now) {
  impl_->OnEnded(task, end, run_time, now);
}

bool Dispatcher::TryTakeRetry(const ServiceName& service, Instant /*now*/) {
  return impl_->TryTakeRetry(service);
}

std::vector<TaskRef> Dispatcher::TakeWithdrawals(Instant now) {
  return impl_->TakeWithdrawals(now);
}

std::vector<EjectionChange> Dispatcher::TakeEjections() {
  return impl_->TakeEjections();
}

bool Dispatcher::IsEjected(const InstanceName& name) const {
  return impl_->IsEjected(name);
}

uint64_t Dispatcher::waiting() const {
  return impl_->waiting();
}

uint64_t Dispatcher::StateHash() const {
  return impl_->StateHash();
}

}  // namespace filbertwick::core::policy
